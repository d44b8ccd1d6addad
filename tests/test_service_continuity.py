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
    """A daemon that is shut down gracefully cuts no request."""

    def setUp(self) -> None:
        started = processes.open_processes(self)
        deployment = deployments.Deployment(started=started)
        for zone, name in enumerate(("e1", "e2")):
            deployment.add_engine(name, zone, token_us=_SLOW_TOKEN_US)
        self.service = deployment.add_service("s1")
        self.daemon = deployment.add_daemon("d1")
        deployment.wait_ready()

    def test_sigterm_lets_all_requests_finish_whole(self) -> None:
        running = _start_chats(self.daemon, 8, "before the end")
        self.service.set_faults(late_ms=_LATE_PAYMENT_MS)
        paying, paid = payments.start_pay(self.daemon, "before the end")
        processes.wait_until(
            lambda: payments.count_runs([self.service], "before the end") > 0
        )
        self.daemon.terminate()
        kinds = [chat.join().kind for chat in running]
        self.assertEqual(kinds, [_WHOLE] * len(running))
        paying.join()
        self.assertEqual([item.ran for item in paid], ["yes"])
        self.assertEqual(self.daemon.wait(), 0)

    def test_requests_are_served_until_the_balancer_has_seen_it(self) -> None:
        running = _start_chats(self.daemon, 2, "keeps it open")
        self.daemon.terminate()
        processes.wait_until(lambda: not processes.is_ready(self.daemon))
        for index in range(5):
            outcome = _ask(self.daemon, f"just after the end began {index}")
            self.assertEqual(outcome.kind, _WHOLE, outcome)
        for chat in running:
            self.assertEqual(chat.join().kind, _WHOLE)


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


class KillTest(unittest.TestCase):
    """Kills one process of a deployment at a time under load."""

    def _run_load(
        self, deployment: deployments.Deployment, stop: threading.Event
    ) -> tuple[list[threading.Thread], list[chats.Outcome]]:
        outcomes: list[chats.Outcome] = []
        addresses = [item.address for item in deployment.daemons.values()]

        def ask_on(worker: int) -> None:
            for number in itertools.count():
                if stop.is_set():
                    return
                chat = chats.Chat(
                    address=addresses[(worker + number) % len(addresses)],
                    content=f"worker {worker} chat {number}",
                    max_tokens=20,
                    stream=number % 3 != 0,
                )
                outcomes.append(chat.run())
                # A refused worker comes back a little later.
                if outcomes[-1].kind != _WHOLE:
                    stop.wait(0.05)

        workers = [
            threading.Thread(target=ask_on, args=(index,), daemon=True)
            for index in range(6)
        ]
        for worker in workers:
            worker.start()
        return workers, outcomes

    def _check_kill(self, victim: str) -> None:
        started = processes.open_processes(self)
        deployment = deployments.Deployment(started=started)
        for zone, name in enumerate(("e1", "e2")):
            deployment.add_engine(name, zone)
        for zone, name in enumerate(("d1", "d2")):
            deployment.add_daemon(name, zone)
        deployment.wait_ready()
        platform = {
            "table": deployment.table,
            "objects": deployment.objects,
            "members": deployment.members,
        }
        found = platform | deployment.targets | deployment.daemons
        stop = threading.Event()
        self.addCleanup(stop.set)
        workers, outcomes = self._run_load(deployment, stop)
        processes.wait_until(lambda: len(outcomes) >= 12)
        found[victim].kill()
        seen = len(outcomes)
        processes.wait_until(
            lambda: sum(x.kind == _WHOLE for x in outcomes[seen:]) >= 30
        )
        stop.set()
        for worker in workers:
            worker.join()
        wrong = [x for x in outcomes if x.kind == chats.Kind.WRONG]
        self.assertEqual(wrong, [])
        if victim not in deployment.daemons:
            cut = [x for x in outcomes if x.kind == chats.Kind.CUT]
            self.assertEqual(cut, [])

    def test_kill_an_engine(self) -> None:
        self._check_kill("e1")

    def test_kill_a_daemon(self) -> None:
        self._check_kill("d1")

    def test_kill_the_table_service(self) -> None:
        self._check_kill("table")

    def test_kill_the_object_store(self) -> None:
        self._check_kill("objects")

    def test_kill_the_membership_list(self) -> None:
        self._check_kill("members")


if __name__ == "__main__":
    unittest.main()
