"""Tests of at-most-once payments with real daemons, a service and a store."""

import contextlib
import threading
import time
import typing
import unittest

from tests import deployments
from tests import http_calls
from tests import processes

_PATH = f"/v1/services/{deployments.SERVICE}"
_BODY = b'{"chair": "victoria-12", "amount": 30}'
_SERVICE_DELAY_MS = 1500
# Bounds the time from a claim to the arrival of the request at the service.
_CLAIM_TO_SEND_S = 0.4
# Less than the time after which daemons treat an answer of the store as lost.
_STORE_DELAY_MS = 400
_SHORT_DEADLINE_MS = 600
_MAX_SUSPEND_TRIES = 10


class PaymentsTest(unittest.TestCase):
    """Checks one payment per test, each with its own idempotency key."""

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
        cls.second = cls.deployment.add_daemon("d2")
        cls.deployment.wait_ready()
        processes.wait_until(cls._warm_up)

    @classmethod
    def _warm_up(cls) -> bool:
        """Pays once through each daemon; returns whether both succeeded."""
        answers = [
            _pay(daemon, f"warm-up-{index}")
            for index, daemon in enumerate((cls.first, cls.second))
        ]
        return all(answer.status == http_calls.OK for answer in answers)

    def setUp(self) -> None:
        self.key = self.id()[-100:]
        self.addCleanup(self.service.clear_faults)
        self.addCleanup(self.deployment.table.clear_faults)

    def pay(
        self, daemon: processes.Process, deadline_ms: int = 10_000
    ) -> http_calls.Answer:
        return _pay(daemon, self.key, deadline_ms=deadline_ms)

    def start_payment(self, daemon: processes.Process) -> "_BackgroundPayment":
        """Starts a payment; returns while the service is processing it."""
        expected_claims = self.count_claims() + 1
        self.service.set_faults(late_ms=_SERVICE_DELAY_MS)
        payment = _BackgroundPayment(daemon=daemon, key=self.key)
        payment.start()
        processes.wait_until(lambda: self.count_claims() == expected_claims)
        time.sleep(_CLAIM_TO_SEND_S)
        # The delay applies to all requests; this one is already delayed.
        self.service.clear_faults()
        processes.wait_until(lambda: self.count_runs() == 1)
        return payment

    def count_claims(self) -> int:
        """Returns the number of claim rows, finished ones included."""
        path = "/v1/tables/claims/rows?prefix=&limit=100"
        found = http_calls.call(self.deployment.table.address, "GET", path)
        return len(typing.cast(list[object], found.decode()["rows"]))

    def count_runs(self) -> int:
        """Returns how often the service ran this test's payment."""
        ledger = http_calls.call(self.service.address, "GET", "/v1/ledger")
        entries = typing.cast(
            list[dict[str, object]], ledger.decode()["entries"]
        )
        ledger_key = f"{deployments.TEAM}/{self.key}"
        return sum(entry["key"] == ledger_key for entry in entries)

    def check_rejected(
        self, answer: http_calls.Answer, name: str, ran: str
    ) -> None:
        error = typing.cast(dict[str, object], answer.decode()["error"])
        self.assertEqual((error["name"], error["ran"]), (name, ran))

    def test_three_requests_through_both_daemons_run_once(self) -> None:
        answers = [
            self.pay(daemon) for daemon in (self.first, self.second, self.first)
        ]
        self.assertEqual([item.status for item in answers], [200] * 3)
        self.assertEqual(len({item.body for item in answers}), 1)
        self.assertEqual(self.count_runs(), 1)

    def test_two_concurrent_requests_run_once(self) -> None:
        running = self.start_payment(self.first)
        second = self.pay(self.second)
        first = running.join()
        self.assertEqual((first.status, second.status), (200, 200))
        self.assertEqual(first.body, second.body)
        self.assertEqual(self.count_runs(), 1)

    def test_lost_answers_of_the_store_lead_to_one_run(self) -> None:
        for count in (1, 2, 3):
            self.deployment.table.set_faults(lose_answers=count)
            self.assertEqual(self.pay(self.first).status, http_calls.OK)
        self.assertEqual(self.count_runs(), 1)

    def test_store_outage_is_rejected_as_unknown_without_a_run(self) -> None:
        self.deployment.table.set_faults(down=True)
        answer = self.pay(self.first)
        self.check_rejected(answer, "STORE_UNAVAILABLE", "unknown")
        self.assertEqual(self.count_runs(), 0)
        self.deployment.table.clear_faults()
        self.assertEqual(self.pay(self.second).status, http_calls.OK)
        self.assertEqual(self.count_runs(), 1)

    def test_store_outage_after_the_claim_still_returns_the_answer(
        self,
    ) -> None:
        running = self.start_payment(self.first)
        self.deployment.table.set_faults(down=True)
        self.assertEqual(running.join().status, http_calls.OK)
        answer = self.pay(self.second)
        self.check_rejected(answer, "STORE_UNAVAILABLE", "unknown")
        self.deployment.table.clear_faults()
        self.assertEqual(self.pay(self.second).status, http_calls.OK)
        self.assertEqual(self.count_runs(), 1)

    def test_lost_answer_of_the_service_is_unknown_at_both_daemons(
        self,
    ) -> None:
        self.service.set_faults(lose_answers=1)
        for daemon in (self.first, self.second):
            self.check_rejected(self.pay(daemon), "OUTCOME_UNKNOWN", "unknown")
        self.assertEqual(self.count_runs(), 1)

    def test_reused_key_with_another_body_is_rejected(self) -> None:
        self.pay(self.first)
        answer = _pay(self.second, self.key, body=b'{"amount": 31}')
        self.check_rejected(answer, "IDEMPOTENCY_KEY_REUSED", "unknown")
        self.assertEqual(self.count_runs(), 1)

    def test_suspended_daemon_keeps_its_claim_and_answers_after_resuming(
        self,
    ) -> None:
        running = self.start_payment(self.first)
        self.first.suspend()
        self.addCleanup(self.first.resume)
        answer = self.pay(self.second, deadline_ms=500)
        self.check_rejected(answer, "IN_PROGRESS", "unknown")
        self.first.resume()
        self.assertEqual(running.join().status, http_calls.OK)
        self.assertEqual(self.pay(self.second).body, running.join().body)
        self.assertEqual(self.count_runs(), 1)

    def test_daemon_suspended_after_its_claim_sends_nothing_past_the_deadline(
        self,
    ) -> None:
        running = self.suspend_after_claim()
        answer = self.pay(self.second, deadline_ms=_SHORT_DEADLINE_MS)
        self.check_rejected(answer, "IN_PROGRESS", "unknown")
        time.sleep(_SHORT_DEADLINE_MS / 1000)
        self.first.resume()
        self.assertNotEqual(running.join().status, http_calls.OK)
        self.assertEqual(self.count_runs(), 0)
        processes.wait_until(
            lambda: self.pay(self.second).status == http_calls.OK
        )
        self.assertEqual(self.count_runs(), 1)

    def suspend_after_claim(self) -> "_BackgroundPayment":
        """Suspends the first daemon after its claim and before it sends.

        The store delays its answer to the claim, and the daemon is suspended
        meanwhile. Retries with another key if the timing was off.
        """
        self.addCleanup(self.first.resume)
        for attempt in range(_MAX_SUSPEND_TRIES):
            self.key = f"{self.key[:90]}-{attempt}"
            expected_claims = self.count_claims() + 1
            self.deployment.table.set_faults(late_ms=_STORE_DELAY_MS)
            payment = _BackgroundPayment(
                daemon=self.first,
                key=self.key,
                deadline_ms=2 * _SHORT_DEADLINE_MS,
            )
            payment.start()
            time.sleep(_STORE_DELAY_MS / 2000)
            self.first.suspend()
            self.deployment.table.clear_faults()
            if (
                self.count_claims() == expected_claims
                and self.count_runs() == 0
            ):
                return payment
            self.first.resume()
            payment.wait()
        raise AssertionError(
            "no try suspended the daemon between claim and send"
        )

    def test_killed_daemon_keeps_its_claim_and_causes_no_second_run(
        self,
    ) -> None:
        daemon = self.deployment.add_daemon("d3")
        self.deployment.wait_ready()
        processes.wait_until(
            lambda: _pay(daemon, "warm-up-3").status == http_calls.OK
        )
        running = self.start_payment(daemon)
        daemon.kill()
        self.assertIsNone(running.wait())
        answer = self.pay(self.second, deadline_ms=500)
        self.check_rejected(answer, "IN_PROGRESS", "unknown")
        self.assertEqual(self.count_runs(), 1)


class _BackgroundPayment:
    """A payment in a background thread."""

    __slots__ = ("_answer", "_daemon", "_deadline_ms", "_key", "_thread")

    def __init__(
        self,
        *,
        daemon: processes.Process,
        key: str,
        deadline_ms: int = 10_000,
    ) -> None:
        self._daemon = daemon
        self._deadline_ms = deadline_ms
        self._key = key
        self._answer: http_calls.Answer | None = None
        self._thread = threading.Thread(target=self._run)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def _run(self) -> None:
        """Pays; leaves the answer None if the connection fails."""
        with contextlib.suppress(OSError):
            self._answer = _pay(
                self._daemon, self._key, deadline_ms=self._deadline_ms
            )

    def wait(self) -> http_calls.Answer | None:
        """Waits for the answer; returns None if the connection failed."""
        self._thread.join()
        return self._answer

    def join(self) -> http_calls.Answer:
        """Waits for the answer, which must exist."""
        answer = self.wait()
        assert answer is not None
        return answer


def _pay(
    daemon: processes.Process,
    key: str,
    *,
    body: bytes = _BODY,
    deadline_ms: int = 10_000,
) -> http_calls.Answer:
    headers = {
        "Authorization": f"Bearer {deployments.TEAM_KEY}",
        "Idempotency-Key": key,
        "X-Deadline-Ms": str(deadline_ms),
    }
    return http_calls.call(daemon.address, "POST", _PATH, body, headers)


if __name__ == "__main__":
    unittest.main()
