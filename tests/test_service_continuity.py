"""Shutdown, zones, leaving targets and kills in a running deployment."""

import itertools
import threading
import time
import unittest

from tests import chats
from tests import deployments
from tests import processes

_NO_NEW_WORK_AFTER_S = 3.0
_LONG_TOKENS = 150
_WHOLE = chats.Kind.WHOLE


class ContinuityCase(unittest.TestCase):
    """Base of these tests: one engine in each of two zones."""

    def setUp(self) -> None:
        started = processes.open_processes(self)
        self.deployment = deployments.Deployment(started=started)
        for zone, name in enumerate(("e1", "e2")):
            self.deployment.add_engine(name, zone, token_us=20_000)
        self.daemon = self.deployment.add_daemon("d1")

    def start_chats(self, count: int, name: str) -> list[chats.Chat]:
        """Starts chats with long answers and waits for their first events."""
        started = [
            chats.Chat(
                address=self.daemon.address,
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

    def ask(self, content: str) -> chats.Outcome:
        """Asks for a short answer."""
        chat = chats.Chat(
            address=self.daemon.address, content=content, max_tokens=2
        )
        return chat.run()


class ShutdownTest(ContinuityCase):
    """A daemon that is shut down gracefully cuts no request."""

    def test_sigterm_lets_all_requests_finish_whole(self) -> None:
        running = self.start_chats(8, "before the end")
        self.daemon.terminate()
        kinds = [chat.join().kind for chat in running]
        self.assertEqual(kinds, [_WHOLE] * len(running))
        self.assertEqual(self.daemon.wait(), 0)

    def test_requests_are_served_until_the_balancer_has_seen_it(self) -> None:
        running = self.start_chats(2, "keeps it open")
        self.daemon.terminate()
        processes.wait_until(lambda: not processes.is_ready(self.daemon))
        outcome = self.ask("just after the end began")
        self.assertNotEqual(outcome.kind, chats.Kind.WRONG)
        if outcome.kind == chats.Kind.ERROR:
            self.assertEqual((outcome.error or {})["ran"], "no")
        for chat in running:
            self.assertEqual(chat.join().kind, _WHOLE)


class TakingOutTest(ContinuityCase):
    """What is taken out or leaves gets no new work and finishes its own."""

    def _check_no_new_work(self, target: str) -> None:
        time.sleep(_NO_NEW_WORK_AFTER_S)
        before = self.deployment.read_started(target)
        outcomes = [self.ask(f"after {index}") for index in range(20)]
        self.assertEqual({item.kind for item in outcomes}, {_WHOLE})
        self.assertEqual(self.deployment.read_started(target), before)

    def _start_on_both(self) -> list[chats.Chat]:
        running = self.start_chats(16, "running")
        for name in self.deployment.targets:
            self.assertGreater(self.deployment.read_started(name), 0)
        return running

    def _check_whole(self, running: list[chats.Chat]) -> None:
        kinds = [chat.join().kind for chat in running]
        self.assertEqual(kinds, [_WHOLE] * len(running))

    def test_zone_taken_out(self) -> None:
        running = self._start_on_both()
        zone = deployments.ZONES[0]
        for step in ("out", "in"):
            path = f"/v1/availability-zones/{zone}/{step}"
            answer = self.deployment.operate(
                "d1", "POST", path, {"author": "tests"}
            )
            self.assertEqual(answer.status, 200, answer.body)
            if step == "out":
                self._check_no_new_work("e1")
        self._check_whole(running)
        self._check_is_used_again("e1")

    def test_instance_taken_out(self) -> None:
        running = self._start_on_both()
        answer = self.deployment.operate(
            "d1", "POST", "/v1/instances/e1/out", {"author": "tests"}
        )
        self.assertEqual(answer.status, 200, answer.body)
        self._check_no_new_work("e1")
        self._check_whole(running)

    def test_leaving_target(self) -> None:
        running = self._start_on_both()
        self.deployment.targets["e1"].set_faults(leaving=True)
        self._check_no_new_work("e1")
        self._check_whole(running)

    def _check_is_used_again(self, target: str) -> None:
        before = self.deployment.read_started(target)
        names = itertools.count()

        def is_used() -> bool:
            self.assertEqual(self.ask(f"back {next(names)}").kind, _WHOLE)
            return self.deployment.read_started(target) > before

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
