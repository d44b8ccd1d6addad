"""Tests of shutdown, removed zones and targets, and kills under load."""

import itertools
import threading
import time
import typing
import unittest

from tests import chats
from tests import deployments
from tests import http_calls
from tests import payments
from tests import processes

_REMOVAL_DELAY_S = 3.0
_LONG_TOKENS = 60
_SLOW_TOKEN_US = 20_000
# Longer than a daemon announces its shutdown.
_PAYMENT_DELAY_MS = 1300
_MIN_WHOLE_AFTER_KILL = 30
_BACKOFF_S = 0.05
_ZONE = deployments.ZONES[0]
_WHOLE = chats.Kind.WHOLE


def _start_chats(
    daemon: processes.Process, count: int, name: str
) -> list[chats.Chat]:
    """Starts chats with long answers and waits for their first events."""
    started = [
        chats.Chat(
            address=daemon.address,
            content=f"{name} {index}",
            max_tokens=_LONG_TOKENS,
            stream=index % 2 == 0,
        )
        for index in range(count)
    ]
    for chat in started:
        chat.start()
    for chat in started[::2]:
        chat.wait_for_event()
    return started


def _request_answer(daemon: processes.Process, content: str) -> chats.Outcome:
    """Requests a short answer and returns the outcome."""
    chat = chats.Chat(address=daemon.address, content=content, max_tokens=2)
    return chat.run()


class ShutdownTest(unittest.TestCase):
    """Checks that a graceful shutdown breaks no request in flight.

    The daemon gets SIGTERM while chats and a payment are in flight.
    """

    running: typing.ClassVar[list[chats.Outcome]]
    paid: typing.ClassVar[list[payments.Outcome]]
    announced: typing.ClassVar[list[chats.Outcome]]
    status: typing.ClassVar[int]

    @classmethod
    def setUpClass(cls) -> None:
        started = processes.open_class_processes(cls)
        deployment = deployments.Deployment(started=started)
        for zone, name in enumerate(("e1", "e2")):
            deployment.add_engine(name, zone, token_us=_SLOW_TOKEN_US)
        service = deployment.add_service("s1")
        daemon = deployment.add_daemon("d1")
        deployment.wait_ready()
        running = _start_chats(daemon, 8, "before the end")
        service.set_faults(late_ms=_PAYMENT_DELAY_MS)
        paying, cls.paid = payments.start_payment(daemon, "before the end")
        processes.wait_until(
            lambda: payments.count_runs([service], "before the end") > 0
        )
        daemon.terminate()
        processes.wait_until(lambda: not processes.is_ready(daemon))
        cls.announced = [
            _request_answer(daemon, f"announced {x}") for x in range(3)
        ]
        cls.running = [chat.join() for chat in running]
        paying.join()
        cls.status = daemon.wait()

    def test_chats_in_flight_finish_whole(self) -> None:
        kinds = [item.kind for item in self.running]
        self.assertEqual(kinds, [_WHOLE] * len(kinds))

    def test_payment_in_flight_is_answered(self) -> None:
        self.assertEqual([item.ran for item in self.paid], ["yes"])

    def test_requests_are_served_until_the_load_balancer_notices(self) -> None:
        kinds = [item.kind for item in self.announced]
        self.assertEqual(kinds, [_WHOLE] * len(kinds))

    def test_exits_with_status_zero(self) -> None:
        self.assertEqual(self.status, 0)


class RemovalTest(unittest.TestCase):
    """Checks that removed targets finish requests and get no new ones.

    While requests are in flight, a zone and an instance of the other zone are
    taken out, and a third engine is leaving.
    """

    deployment: typing.ClassVar[deployments.Deployment]
    daemon: typing.ClassVar[processes.Process]
    running: typing.ClassVar[list[chats.Chat]]
    started_before: typing.ClassVar[dict[str, int]]
    started_later: typing.ClassVar[dict[str, int]]
    later_outcomes: typing.ClassVar[list[chats.Outcome]]

    @classmethod
    def setUpClass(cls) -> None:
        started = processes.open_class_processes(cls)
        cls.deployment = deployments.Deployment(started=started)
        for name, zone in (("in-zone", 0), ("out", 1), ("leaving", 1)):
            cls.deployment.add_engine(name, zone, token_us=_SLOW_TOKEN_US)
        cls.deployment.add_engine("stays", 1)
        cls.daemon = cls.deployment.add_daemon("d1")
        cls.deployment.wait_ready()
        cls.running = _start_chats(cls.daemon, 24, "running")
        cls._remove_targets()
        time.sleep(_REMOVAL_DELAY_S)
        cls.started_before = cls._read_started()
        cls.later_outcomes = [
            _request_answer(cls.daemon, f"later {x}") for x in range(20)
        ]
        cls.started_later = cls._read_started()

    @classmethod
    def _remove_targets(cls) -> None:
        for path in (f"availability-zones/{_ZONE}", "instances/out"):
            cls._operate(f"/v1/{path}/out")
        cls.deployment.targets["leaving"].set_faults(leaving=True)

    @classmethod
    def _operate(cls, path: str) -> None:
        answer = cls.deployment.call_operator_api(
            "d1", "POST", path, {"author": "t"}
        )
        if answer.status != http_calls.OK:
            raise AssertionError(answer.body)

    @classmethod
    def _read_started(cls) -> dict[str, int]:
        names = cls.deployment.targets
        return {
            name: cls.deployment.count_started_attempts(name) for name in names
        }

    def _check_no_new_requests(self, target: str) -> None:
        self.assertGreater(self.started_before[target], 0)
        before = self.started_before[target]
        self.assertEqual(self.started_later[target], before)

    def test_removed_zone_gets_no_new_requests(self) -> None:
        self._check_no_new_requests("in-zone")

    def test_removed_instance_gets_no_new_requests(self) -> None:
        self._check_no_new_requests("out")

    def test_leaving_target_gets_no_new_requests(self) -> None:
        self._check_no_new_requests("leaving")

    def test_new_requests_are_served_by_other_targets(self) -> None:
        kinds = [item.kind for item in self.later_outcomes]
        self.assertEqual(kinds, [_WHOLE] * len(kinds))

    def test_requests_in_flight_finish_whole(self) -> None:
        kinds = [chat.join().kind for chat in self.running]
        self.assertEqual(kinds, [_WHOLE] * len(kinds))

    def test_restored_zone_is_used_again(self) -> None:
        self._operate(f"/v1/availability-zones/{_ZONE}/in")
        names = itertools.count()

        def is_used() -> bool:
            outcome = _request_answer(self.daemon, f"back {next(names)}")
            self.assertEqual(outcome.kind, _WHOLE)
            before = self.started_later["in-zone"]
            return self.deployment.count_started_attempts("in-zone") > before

        processes.wait_until(is_used)


class BackgroundLoad:
    """Continuous chats through the daemons that are alive.

    Attributes:
        outcomes: Outcomes of the chats, in the order of completion.
    """

    __slots__ = ("_addresses", "_stopped", "_workers", "outcomes")

    def __init__(self, *, addresses: list[str]) -> None:
        """Starts the workers.

        Args:
            addresses: Addresses of the daemons.
        """
        self.outcomes: list[chats.Outcome] = []
        self._addresses = addresses
        self._stopped = threading.Event()
        self._workers = [
            threading.Thread(
                target=self._run_worker, args=(index,), daemon=True
            )
            for index in range(6)
        ]
        for worker in self._workers:
            worker.start()

    def stop(self) -> None:
        """Stops the workers and waits for their chats."""
        self._stopped.set()
        for worker in self._workers:
            worker.join()

    def remove_address(self, address: str) -> None:
        """Stops sending chats to a daemon."""
        self._addresses = [x for x in self._addresses if x != address]

    def wait_for_whole_answers(self, seen: int) -> None:
        """Waits for whole answers after the first ``seen`` outcomes."""
        processes.wait_until(
            lambda: (
                sum(x.kind == _WHOLE for x in self.outcomes[seen:])
                >= _MIN_WHOLE_AFTER_KILL
            )
        )

    def _run_worker(self, worker: int) -> None:
        for number in itertools.count():
            if self._stopped.is_set():
                return
            addresses = self._addresses
            chat = chats.Chat(
                address=addresses[(worker + number) % len(addresses)],
                content=f"worker {worker} chat {number}",
                max_tokens=20,
                stream=number % 3 != 0,
            )
            outcome = chat.run()
            self.outcomes.append(outcome)
            # A worker whose chat failed retries after a pause.
            if outcome.kind != _WHOLE:
                self._stopped.wait(_BACKOFF_S)


class KillTest(unittest.TestCase):
    """Kills the processes of a deployment one by one under load."""

    def setUp(self) -> None:
        started = processes.open_processes(self)
        self.deployment = deployments.Deployment(started=started)
        for zone, name in enumerate(("e1", "e2")):
            self.deployment.add_engine(name, zone)
        for zone, name in enumerate(("d1", "d2")):
            self.deployment.add_daemon(name, zone)
        self.deployment.wait_ready()
        daemons = self.deployment.daemons.values()
        self.load = BackgroundLoad(addresses=[item.address for item in daemons])
        self.addCleanup(self.load.stop)
        self.load.wait_for_whole_answers(0)

    def test_no_kill_yields_a_partial_answer_marked_as_whole(self) -> None:
        self._kill("engine", self.deployment.targets["e1"])
        self._kill("membership list", self.deployment.members)
        self._kill("object store", self.deployment.objects)
        self._kill("table service", self.deployment.table)
        kinds = [item.kind for item in self.load.outcomes]
        self.assertNotIn(chats.Kind.CUT, kinds)
        self._kill("daemon", self.deployment.daemons["d1"])

    def _kill(self, name: str, victim: processes.Process) -> None:
        """Kills a process and waits until chats succeed again."""
        seen = len(self.load.outcomes)
        victim.kill()
        self.load.remove_address(victim.address)
        self.load.wait_for_whole_answers(seen)
        kinds = [item.kind for item in self.load.outcomes]
        with self.subTest(killed=name):
            self.assertNotIn(chats.Kind.WRONG, kinds)


if __name__ == "__main__":
    unittest.main()
