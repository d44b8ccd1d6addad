"""Calls that run at most once, over real processes that fail."""

import typing
import unittest

from tests import deployments
from tests import payments
from tests import processes

_HELD_S = 0.2
# At each one a daemon of that name is killed, with the name as its key.
_MOMENTS = (
    "before-the-claim",
    "claim-answered-late",
    "before-the-call-ran",
    "before-the-call-ended",
)


class PaymentTest(unittest.TestCase):
    """Two daemons before one service and the table service."""

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
        """Pays and checks what was said against the ledger."""
        outcome = payments.pay(daemon, self.key)
        payments.check_truth(self, outcome, self._count_runs())
        return outcome

    def test_asked_three_times_runs_once_with_one_result(self) -> None:
        daemons = (self.first, self.second, self.first)
        outcomes = [self._pay(daemon) for daemon in daemons]
        self.assertEqual([item.ran for item in outcomes], ["yes"] * 3)
        receipts = [item.receipt for item in outcomes]
        self.assertEqual(receipts, [receipts[0]] * 3)

    def test_two_asks_at_once_run_once(self) -> None:
        self.service.set_faults(late_ms=300)
        asks = [
            payments.start_pay(daemon, self.key)
            for daemon in (self.first, self.second)
        ]
        for thread, _ in asks:
            thread.join()
        self.assertEqual(self._count_runs(), 1)
        outcomes = [found[0] for _, found in asks]
        self.assertIn("yes", {item.ran for item in outcomes})
        for outcome in outcomes:
            payments.check_truth(self, outcome, 1)

    def test_same_key_with_another_body_is_an_error(self) -> None:
        self._pay(self.first)
        outcome = payments.pay(self.second, self.key, amount=41)
        self.assertEqual(outcome.name, "IDEMPOTENCY_KEY_REUSED")
        self.assertEqual(self._count_runs(), 1)

    def test_lost_answer_of_the_service_is_unknown_for_good(self) -> None:
        self.service.set_faults(lose_answers=1)
        outcome = self._pay(self.first)
        self.assertEqual(outcome.ran, "unknown")
        self.service.clear_faults()
        again = [self._pay(x).ran for x in (self.first, self.second)]
        self.assertEqual(again, ["unknown"] * 2)
        self.assertEqual(self._count_runs(), 1)

    def test_silent_connection_to_the_service_runs_at_most_once(self) -> None:
        for number in range(3):
            payments.pay(self.first, f"{self.key}-before-{number}")
        self.service.set_faults(silent=True)
        self._pay(self.first)
        self._pay(self.second)

    def test_service_that_is_down_is_said_not_to_have_run(self) -> None:
        self.service.set_faults(down=True)
        outcome = payments.pay(self.first, self.key)
        self.service.clear_faults()
        payments.check_truth(self, outcome, self._count_runs())
        self.assertEqual(outcome.ran, "no")

    def test_lost_answers_of_the_store_are_read_back(self) -> None:
        for lost in (1, 2, 3):
            with self.subTest(lost=lost):
                self.key = f"lost-store-answers-{lost}"
                self.deployment.table.set_faults(lose_answers=lost)
                self._pay(self.first)
                self.deployment.table.clear_faults()
                outcome = self._pay(self.second)
                if outcome.ran != "yes":
                    self.assertIn(outcome.ran, ("unknown", "no"))

    def test_store_outage_refuses_and_later_it_runs_once(self) -> None:
        self.deployment.table.set_faults(down=True)
        outcome = self._pay(self.first)
        # An earlier ask with this key may have run, for all the daemon knows.
        self.assertEqual(outcome.ran, "unknown")
        self.assertEqual(self._count_runs(), 0)
        self.deployment.table.clear_faults()
        processes.wait_until(lambda: self._pay(self.second).ran == "yes")
        self.assertEqual(self._count_runs(), 1)

    def test_frozen_store_says_nothing_untrue(self) -> None:
        self.deployment.table.freeze()
        self.addCleanup(self.deployment.table.thaw)
        self._pay(self.first)
        self.deployment.table.thaw()
        self._pay(self.second)


class KilledDaemonTest(unittest.TestCase):
    """Kills the daemon that carries a payment at several moments."""

    def setUp(self) -> None:
        started = processes.open_processes(self)
        self.deployment = deployments.Deployment(started=started)
        self.service = self.deployment.add_service("s1")
        self.survivor = self.deployment.add_daemon("d0")
        for moment in _MOMENTS:
            self.deployment.add_daemon(moment)
        self.deployment.wait_ready()

    def test_ask_through_another_daemon_never_runs_it_again(self) -> None:
        table, service = self.deployment.table, self.service
        self._pay_and_kill(_MOMENTS[0], table, slow_ms=400)
        self._pay_and_kill(_MOMENTS[1], table, late_ms=400)
        self._pay_and_kill(_MOMENTS[2], service, slow_ms=400)
        self._pay_and_kill(_MOMENTS[3], service, late_ms=400)
        self.assertEqual(self._count_runs(_MOMENTS[3]), 1)
        for _ in range(2):
            self._ask_again()

    def _count_runs(self, key: str) -> int:
        return payments.count_runs([self.service], key)

    def _pay_and_kill(
        self, key: str, slowed: processes.Process, **faults: object
    ) -> None:
        """Kills a daemon while its call is held at one moment.

        The daemon has the key as its name.
        """
        victim = self.deployment.daemons[key]
        slowed.set_faults(**faults)
        thread, _ = payments.start_pay(victim, key)
        thread.join(_HELD_S)
        victim.kill()
        thread.join()
        slowed.clear_faults()

    def _ask_again(self) -> None:
        """Asks for all payments at once through the daemon that is left."""
        asks = {key: payments.start_pay(self.survivor, key) for key in _MOMENTS}
        for key, (thread, outcomes) in asks.items():
            thread.join()
            with self.subTest(key=key):
                runs = self._count_runs(key)
                payments.check_truth(self, outcomes[0], runs)


if __name__ == "__main__":
    unittest.main()
