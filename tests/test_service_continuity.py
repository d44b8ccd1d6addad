"""Shutdown, zones, leaving targets and kills in a running deployment."""

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

_NO_NEW_WORK_AFTER_S = 3.0
_LONG_TOKENS = 60
_SLOW_TOKEN_US = 20_000
# Longer than a daemon announces its end.
_LATE_PAYMENT_MS = 1300
_WHOLE_AFTER_KILL = 30
_BACK_OFF_S = 0.05
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
        chat.wait_shown()
    return started


def _ask(daemon: processes.Process, content: str) -> chats.Outcome:
    """Asks for a short answer."""
    chat = chats.Chat(address=daemon.address, content=content, max_tokens=2)
    return chat.run()


class ShutdownTest(unittest.TestCase):
    """A daemon that is shut down gracefully cuts no request.

    It gets SIGTERM while chats and a payment run.
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
        service.set_faults(late_ms=_LATE_PAYMENT_MS)
        paying, cls.paid = payments.start_pay(daemon, "before the end")
        processes.wait_until(
            lambda: payments.count_runs([service], "before the end") > 0
        )
        daemon.terminate()
        processes.wait_until(lambda: not processes.is_ready(daemon))
        cls.announced = [_ask(daemon, f"announced {x}") for x in range(3)]
        cls.running = [chat.join() for chat in running]
        paying.join()
        cls.status = daemon.wait()

    def test_running_chats_finish_whole(self) -> None:
        kinds = [item.kind for item in self.running]
        self.assertEqual(kinds, [_WHOLE] * len(kinds))

    def test_running_payment_is_answered(self) -> None:
        self.assertEqual([item.ran for item in self.paid], ["yes"])

    def test_requests_are_served_until_the_balancer_has_seen_it(self) -> None:
        kinds = [item.kind for item in self.announced]
        self.assertEqual(kinds, [_WHOLE] * len(kinds))

    def test_ends_with_status_zero(self) -> None:
        self.assertEqual(self.status, 0)


class TakingOutTest(unittest.TestCase):
    """What is taken out or leaves gets no new work and finishes its own.

    A zone is taken out, an instance of the other zone is taken out and a
    third engine is leaving, all while requests run.
    """

    deployment: typing.ClassVar[deployments.Deployment]
    daemon: typing.ClassVar[processes.Process]
    running: typing.ClassVar[list[chats.Chat]]
    started_before: typing.ClassVar[dict[str, int]]
    started_later: typing.ClassVar[dict[str, int]]
    later: typing.ClassVar[list[chats.Outcome]]

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
        cls._take_out()
        time.sleep(_NO_NEW_WORK_AFTER_S)
        cls.started_before = cls._read_started()
        cls.later = [_ask(cls.daemon, f"later {x}") for x in range(20)]
        cls.started_later = cls._read_started()

    @classmethod
    def _take_out(cls) -> None:
        for path in (f"availability-zones/{_ZONE}", "instances/out"):
            cls._operate(f"/v1/{path}/out")
        cls.deployment.targets["leaving"].set_faults(leaving=True)

    @classmethod
    def _operate(cls, path: str) -> None:
        answer = cls.deployment.operate("d1", "POST", path, {"author": "t"})
        if answer.status != http_calls.OK:
            raise AssertionError(answer.body)

    @classmethod
    def _read_started(cls) -> dict[str, int]:
        names = cls.deployment.targets
        return {name: cls.deployment.read_started(name) for name in names}

    def _check_no_new_work(self, target: str) -> None:
        self.assertGreater(self.started_before[target], 0)
        before = self.started_before[target]
        self.assertEqual(self.started_later[target], before)

    def test_zone_taken_out_gets_no_new_work(self) -> None:
        self._check_no_new_work("in-zone")

    def test_instance_taken_out_gets_no_new_work(self) -> None:
        self._check_no_new_work("out")

    def test_leaving_target_gets_no_new_work(self) -> None:
        self._check_no_new_work("leaving")

    def test_new_requests_are_served_elsewhere(self) -> None:
        kinds = [item.kind for item in self.later]
        self.assertEqual(kinds, [_WHOLE] * len(kinds))

    def test_what_ran_finishes_whole(self) -> None:
        kinds = [chat.join().kind for chat in self.running]
        self.assertEqual(kinds, [_WHOLE] * len(kinds))

    def test_zone_that_returns_is_used_again(self) -> None:
        self._operate(f"/v1/availability-zones/{_ZONE}/in")
        names = itertools.count()

        def is_used() -> bool:
            outcome = _ask(self.daemon, f"back {next(names)}")
            self.assertEqual(outcome.kind, _WHOLE)
            before = self.started_later["in-zone"]
            return self.deployment.read_started("in-zone") > before

        processes.wait_until(is_used)


class Load:
    """Chats sent without a pause through the daemons that are left.

    Attributes:
        outcomes: What came of them, in the order of their ends.
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
            threading.Thread(target=self._ask_on, args=(index,), daemon=True)
            for index in range(6)
        ]
        for worker in self._workers:
            worker.start()

    def stop(self) -> None:
        """Stops and waits for what runs."""
        self._stopped.set()
        for worker in self._workers:
            worker.join()

    def forget_address(self, address: str) -> None:
        """Sends no more to a daemon."""
        self._addresses = [x for x in self._addresses if x != address]

    def wait_whole(self, seen: int) -> None:
        """Waits for whole answers after the first ``seen`` outcomes."""
        processes.wait_until(
            lambda: (
                sum(x.kind == _WHOLE for x in self.outcomes[seen:])
                >= _WHOLE_AFTER_KILL
            )
        )

    def _ask_on(self, worker: int) -> None:
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
            # A refused worker comes back a little later.
            if outcome.kind != _WHOLE:
                self._stopped.wait(_BACK_OFF_S)


class KillTest(unittest.TestCase):
    """Kills one process of a deployment after another under load."""

    def setUp(self) -> None:
        started = processes.open_processes(self)
        self.deployment = deployments.Deployment(started=started)
        for zone, name in enumerate(("e1", "e2")):
            self.deployment.add_engine(name, zone)
        for zone, name in enumerate(("d1", "d2")):
            self.deployment.add_daemon(name, zone)
        self.deployment.wait_ready()
        daemons = self.deployment.daemons.values()
        self.load = Load(addresses=[item.address for item in daemons])
        self.addCleanup(self.load.stop)
        self.load.wait_whole(0)

    def test_no_kill_yields_a_partial_answer_that_looks_whole(self) -> None:
        self._kill("engine", self.deployment.targets["e1"])
        self._kill("membership list", self.deployment.members)
        self._kill("object store", self.deployment.objects)
        self._kill("table service", self.deployment.table)
        kinds = [item.kind for item in self.load.outcomes]
        self.assertNotIn(chats.Kind.CUT, kinds)
        self._kill("daemon", self.deployment.daemons["d1"])

    def _kill(self, name: str, victim: processes.Process) -> None:
        """Kills a process and waits until chats are answered again."""
        seen = len(self.load.outcomes)
        victim.kill()
        self.load.forget_address(victim.address)
        self.load.wait_whole(seen)
        kinds = [item.kind for item in self.load.outcomes]
        with self.subTest(killed=name):
            self.assertNotIn(chats.Kind.WRONG, kinds)


if __name__ == "__main__":
    unittest.main()
