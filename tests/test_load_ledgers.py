"""Tests that calls are held against the services' ledgers."""

import unittest

from mothpass.load import ledgers
from mothpass.load import samples


def tell(
    key: str, fate: samples.Fate, ran: str = ""
) -> ledgers.ReportedOutcome:
    """Returns what a caller was told of a payment."""
    return ledgers.ReportedOutcome(
        service="payment", key=key, fate=fate, ran=ran
    )


def list_runs(*keys: str) -> list[ledgers.Entry]:
    """Returns ledger entries of payments."""
    return [ledgers.Entry(service="payment", key=key) for key in keys]


class AuditTest(unittest.TestCase):
    """Checks each way in which callers and ledgers may differ."""

    def test_calls_that_ran_once_are_good(self) -> None:
        outcomes = [
            tell("a", samples.Fate.WHOLE),
            tell("a", samples.Fate.WHOLE),
        ]
        audit = ledgers.audit_calls(outcomes, list_runs("a"))
        self.assertEqual(audit, samples.Audit(keys=1, ran=1))
        self.assertTrue(audit.good)

    def test_key_that_ran_twice_is_found(self) -> None:
        outcomes = [
            tell("a", samples.Fate.WHOLE),
            tell("b", samples.Fate.WHOLE),
        ]
        audit = ledgers.audit_calls(outcomes, list_runs("a", "b", "a"))
        self.assertEqual(audit.ran_twice, 1)
        self.assertFalse(audit.good)

    def test_same_key_of_another_service_is_another_call(self) -> None:
        other = ledgers.Entry(service="booking", key="a")
        outcomes = [tell("a", samples.Fate.WHOLE)]
        audit = ledgers.audit_calls(outcomes, [*list_runs("a"), other])
        self.assertTrue(audit.good)

    def test_untrue_not_run_is_found(self) -> None:
        outcomes = [tell("a", samples.Fate.REFUSED, "no")]
        audit = ledgers.audit_calls(outcomes, list_runs("a"))
        self.assertEqual(audit.untrue_not_run, 1)
        self.assertFalse(audit.good)

    def test_not_run_before_a_later_run_may_be_true(self) -> None:
        refused = tell("a", samples.Fate.REFUSED, "no")
        outcomes = [refused, tell("a", samples.Fate.WHOLE)]
        self.assertTrue(ledgers.audit_calls(outcomes, list_runs("a")).good)

    def test_unknown_outcome_may_have_run_or_not(self) -> None:
        outcomes = [tell("a", samples.Fate.REFUSED, "unknown")]
        self.assertTrue(ledgers.audit_calls(outcomes, list_runs("a")).good)
        self.assertTrue(ledgers.audit_calls(outcomes, []).good)

    def test_whole_answer_without_a_run_is_found(self) -> None:
        audit = ledgers.audit_calls([tell("a", samples.Fate.WHOLE)], [])
        self.assertEqual(audit.unrecorded, 1)
        self.assertFalse(audit.good)


if __name__ == "__main__":
    unittest.main()
