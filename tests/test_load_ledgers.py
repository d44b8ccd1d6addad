"""Tests for mothpass.load.ledgers."""

import unittest

from mothpass.load import ledgers
from mothpass.load import samples


def build_outcome(
    key: str, fate: samples.Fate, ran: str = ""
) -> ledgers.ReportedOutcome:
    """Returns the outcome of a payment as reported to the client."""
    return ledgers.ReportedOutcome(
        service="payment", key=key, fate=fate, ran=ran
    )


def build_entries(*keys: str) -> list[ledgers.LedgerEntry]:
    """Returns ledger entries of payments."""
    return [ledgers.LedgerEntry(service="payment", key=key) for key in keys]


class AuditTest(unittest.TestCase):
    """Checks each difference between reported outcomes and ledgers."""

    def test_requests_that_ran_once_pass(self) -> None:
        outcomes = [
            build_outcome("a", samples.Fate.WHOLE),
            build_outcome("a", samples.Fate.WHOLE),
        ]
        audit = ledgers.audit_requests(outcomes, build_entries("a"))
        self.assertEqual(audit, samples.Audit(keys=1, ran=1))
        self.assertTrue(audit.good)

    def test_key_that_ran_twice_is_reported(self) -> None:
        outcomes = [
            build_outcome("a", samples.Fate.WHOLE),
            build_outcome("b", samples.Fate.WHOLE),
        ]
        audit = ledgers.audit_requests(outcomes, build_entries("a", "b", "a"))
        self.assertEqual(audit.ran_twice, 1)
        self.assertFalse(audit.good)

    def test_same_key_at_another_service_is_another_request(self) -> None:
        other = ledgers.LedgerEntry(service="booking", key="a")
        outcomes = [build_outcome("a", samples.Fate.WHOLE)]
        audit = ledgers.audit_requests(outcomes, [*build_entries("a"), other])
        self.assertTrue(audit.good)

    def test_untrue_not_run_is_reported(self) -> None:
        outcomes = [build_outcome("a", samples.Fate.REFUSED, "no")]
        audit = ledgers.audit_requests(outcomes, build_entries("a"))
        self.assertEqual(audit.untrue_not_run, 1)
        self.assertFalse(audit.good)

    def test_not_run_before_a_later_run_may_be_true(self) -> None:
        rejected = build_outcome("a", samples.Fate.REFUSED, "no")
        outcomes = [rejected, build_outcome("a", samples.Fate.WHOLE)]
        self.assertTrue(
            ledgers.audit_requests(outcomes, build_entries("a")).good
        )

    def test_unknown_outcome_may_have_run_or_not(self) -> None:
        outcomes = [build_outcome("a", samples.Fate.REFUSED, "unknown")]
        self.assertTrue(
            ledgers.audit_requests(outcomes, build_entries("a")).good
        )
        self.assertTrue(ledgers.audit_requests(outcomes, []).good)

    def test_complete_answer_without_a_run_is_reported(self) -> None:
        audit = ledgers.audit_requests(
            [build_outcome("a", samples.Fate.WHOLE)], []
        )
        self.assertEqual(audit.unrecorded, 1)
        self.assertFalse(audit.good)


if __name__ == "__main__":
    unittest.main()
