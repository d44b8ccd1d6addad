"""Tests that payments run at most once while processes fail."""

import typing
import unittest

from tests import deployments
from tests import payments
from tests import processes

_KILL_DELAY_S = 0.2
# Points at which a daemon is killed; each names the daemon and its key.
_KILL_POINTS = (
    "before-the-claim",
    "claim-answered-late",
    "before-the-call-ran",
    "before-the-call-ended",
)


class PaymentTest(unittest.TestCase):
    """Checks two daemons with one service and the table service."""

    deployment: typing.ClassVar[deployments.Deployment]
    first: typing.ClassVar[processes.Process]
    second: typing.ClassVar[processes.Process]
    service: typing.ClassVar[processes.Process]

    @classmethod
    def setUpClass(cls) -> None:
        started = processes.open_class_processes(cls)
        cls.deployment = deployments.Deployment(started=started)
        cls.service = cls.deployment.add_service("s1")
        cls.first = cls.deployment.add_daemon("d1")
        cls.second = cls.deployment.add_daemon("d2", 1)
        cls.deployment.wait_ready()

    def setUp(self) -> None:
        self.key = self.id().rpartition(".")[2]
        self.addCleanup(self.service.clear_faults)
        self.addCleanup(self.deployment.table.clear_faults)

    def _count_runs(self) -> int:
        return payments.count_runs([self.service], self.key)

    def _pay(self, daemon: processes.Process) -> payments.Outcome:
        """Pays and checks the outcome against the ledger."""
        outcome = payments.pay(daemon, self.key)
        payments.check_outcome(self, outcome, self._count_runs())
        return outcome

    def test_three_requests_run_once_with_one_result(self) -> None:
        daemons = (self.first, self.second, self.first)
        outcomes = [self._pay(daemon) for daemon in daemons]
        self.assertEqual([item.ran for item in outcomes], ["yes"] * 3)
        receipts = [item.receipt for item in outcomes]
        self.assertEqual(receipts, [receipts[0]] * 3)

    def test_two_concurrent_requests_run_once(self) -> None:
        self.service.set_faults(late_ms=300)
        started_payments = [
            payments.start_payment(daemon, self.key)
            for daemon in (self.first, self.second)
        ]
        for thread, _ in started_payments:
            thread.join()
        self.assertEqual(self._count_runs(), 1)
        outcomes = [results[0] for _, results in started_payments]
        self.assertIn("yes", {item.ran for item in outcomes})
        for outcome in outcomes:
            payments.check_outcome(self, outcome, 1)

    def test_reused_key_with_another_body_is_rejected(self) -> None:
        self._pay(self.first)
        outcome = payments.pay(self.second, self.key, amount=41)
        self.assertEqual(outcome.name, "IDEMPOTENCY_KEY_REUSED")
        self.assertEqual(self._count_runs(), 1)

    def test_lost_answer_of_the_service_is_unknown_for_good(self) -> None:
        self.service.set_faults(lose_answers=1)
        outcome = self._pay(self.first)
        self.assertEqual(outcome.ran, "unknown")
        self.service.clear_faults()
        outcomes_after = [self._pay(x).ran for x in (self.first, self.second)]
        self.assertEqual(outcomes_after, ["unknown"] * 2)
        self.assertEqual(self._count_runs(), 1)

    def test_silent_connection_to_the_service_runs_at_most_once(self) -> None:
        for number in range(3):
            payments.pay(self.first, f"{self.key}-before-{number}")
        self.service.set_faults(silent=True)
        self._pay(self.first)
        self._pay(self.second)

    def test_service_outage_is_reported_as_not_run(self) -> None:
        self.service.set_faults(down=True)
        outcome = payments.pay(self.first, self.key)
        self.service.clear_faults()
        payments.check_outcome(self, outcome, self._count_runs())
        self.assertEqual(outcome.ran, "no")

    def test_lost_answers_of_the_store_are_read_back(self) -> None:
        for lost_count in (1, 2, 3):
            with self.subTest(lost_count=lost_count):
                self.key = f"lost-store-answers-{lost_count}"
                self.deployment.table.set_faults(lose_answers=lost_count)
                self._pay(self.first)
                self.deployment.table.clear_faults()
                outcome = self._pay(self.second)
                if outcome.ran != "yes":
                    self.assertIn(outcome.ran, ("unknown", "no"))

    def test_store_outage_is_rejected_and_a_later_request_runs_once(
        self,
    ) -> None:
        self.deployment.table.set_faults(down=True)
        outcome = self._pay(self.first)
        # The daemon can't rule out that an earlier request with this key ran.
        self.assertEqual(outcome.ran, "unknown")
        self.assertEqual(self._count_runs(), 0)
        self.deployment.table.clear_faults()
        processes.wait_until(lambda: self._pay(self.second).ran == "yes")
        self.assertEqual(self._count_runs(), 1)

    def test_suspended_store_leads_to_no_wrong_outcome(self) -> None:
        self.deployment.table.suspend()
        self.addCleanup(self.deployment.table.resume)
        self._pay(self.first)
        self.deployment.table.resume()
        self._pay(self.second)


class KilledDaemonTest(unittest.TestCase):
    """Kills the daemon of a payment at several points."""

    def setUp(self) -> None:
        started = processes.open_processes(self)
        self.deployment = deployments.Deployment(started=started)
        self.service = self.deployment.add_service("s1")
        self.survivor = self.deployment.add_daemon("d0")
        for kill_point in _KILL_POINTS:
            self.deployment.add_daemon(kill_point)
        self.deployment.wait_ready()

    def test_resending_through_another_daemon_never_runs_twice(self) -> None:
        table, service = self.deployment.table, self.service
        self._kill_while_paying(_KILL_POINTS[0], table, slow_ms=400)
        self._kill_while_paying(_KILL_POINTS[1], table, late_ms=400)
        self._kill_while_paying(_KILL_POINTS[2], service, slow_ms=400)
        self._kill_while_paying(_KILL_POINTS[3], service, late_ms=400)
        self.assertEqual(self._count_runs(_KILL_POINTS[3]), 1)
        for _ in range(2):
            self._resend_all()

    def _count_runs(self, key: str) -> int:
        return payments.count_runs([self.service], key)

    def _kill_while_paying(
        self, key: str, delayed: processes.Process, **faults: object
    ) -> None:
        """Kills a daemon while a fault delays its payment.

        The daemon is named like the key.
        """
        victim = self.deployment.daemons[key]
        delayed.set_faults(**faults)
        thread, _ = payments.start_payment(victim, key)
        thread.join(_KILL_DELAY_S)
        victim.kill()
        thread.join()
        delayed.clear_faults()

    def _resend_all(self) -> None:
        """Resends all payments concurrently through the surviving daemon."""
        started_payments = {
            key: payments.start_payment(self.survivor, key)
            for key in _KILL_POINTS
        }
        for key, (thread, outcomes) in started_payments.items():
            thread.join()
            with self.subTest(key=key):
                runs = self._count_runs(key)
                payments.check_outcome(self, outcomes[0], runs)


if __name__ == "__main__":
    unittest.main()
