"""Whole answers, one's own, through a daemon while engines misbehave."""

import typing
import unittest

from tests import chats
from tests import deployments
from tests import processes

_TOKENS = 4
_POSITIONS = range(_TOKENS + 1)
_KINDS = ("cut", "silent", "cross", "double", "skip", "reorder", "late")


class StreamTest(unittest.TestCase):
    """Puts each fault at each position of a stream."""

    deployment: typing.ClassVar[deployments.Deployment]
    daemon: typing.ClassVar[processes.Process]
    engine: typing.ClassVar[processes.Process]

    @classmethod
    def setUpClass(cls) -> None:
        started = processes.open_class_processes(cls)
        cls.deployment = deployments.Deployment(started=started)
        cls.engine = cls.deployment.add_engine("e1")
        cls.daemon = cls.deployment.add_daemon("d1")
        cls.deployment.wait_ready()

    def setUp(self) -> None:
        self.addCleanup(self.engine.clear_faults)

    def _ask(
        self, content: str, stream: bool = True, tokens: int = _TOKENS
    ) -> chats.Outcome:
        chat = chats.Chat(
            address=self.daemon.address,
            content=content,
            max_tokens=tokens,
            stream=stream,
        )
        return chat.run()

    def _check_fault(self, kind: str) -> None:
        for position in _POSITIONS:
            with self.subTest(kind=kind, position=position):
                fault = {"kind": kind, "at": position, "delay_ms": 50}
                self.engine.set_faults(streams=[fault])
                before = self.deployment.read_started("e1")
                outcome = self._ask(f"{kind} at {position}")
                self.assertEqual(outcome.kind, chats.Kind.WHOLE, outcome)
                self.assertEqual(self.deployment.read_started("e1"), before + 1)

    def test_without_faults(self) -> None:
        for stream in (True, False):
            outcome = self._ask("no fault", stream)
            self.assertEqual(outcome.kind, chats.Kind.WHOLE, outcome)

    def test_cut_is_resumed_at_each_position(self) -> None:
        self._check_fault("cut")

    def test_silent_connection_is_resumed_at_each_position(self) -> None:
        self._check_fault("silent")

    def test_crossed_event_is_dropped_at_each_position(self) -> None:
        self._check_fault("cross")

    def test_doubled_event_is_dropped_at_each_position(self) -> None:
        self._check_fault("double")

    def test_skipped_event_is_fetched_at_each_position(self) -> None:
        self._check_fault("skip")

    def test_swapped_events_are_put_right_at_each_position(self) -> None:
        self._check_fault("reorder")

    def test_late_event_is_waited_for_at_each_position(self) -> None:
        self._check_fault("late")

    def test_cut_again_and_again_is_resumed(self) -> None:
        faults = [{"kind": "cut", "at": x} for x in _POSITIONS]
        self.engine.set_faults(streams=faults)
        outcome = self._ask("cut at each")
        self.assertEqual(outcome.kind, chats.Kind.WHOLE, outcome)

    def test_crossed_whole_answer_is_not_shown(self) -> None:
        self.engine.set_faults(crossed_answers=1)
        outcome = self._ask("crossed whole answer", stream=False)
        self.assertIn(outcome.kind, (chats.Kind.WHOLE, chats.Kind.ERROR))

    def test_idle_connections_that_went_silent_spoil_nothing(self) -> None:
        for stream in (True, False):
            with self.subTest(stream=stream):
                self._ask("leaves an idle connection", stream)
                self.engine.set_faults(silent=True)
                outcome = self._ask(f"over a silent one {stream}", stream)
                self.assertEqual(outcome.kind, chats.Kind.WHOLE, outcome)

    def test_lost_answer_is_resumed_or_ends_in_an_error(self) -> None:
        for stream in (True, False):
            with self.subTest(stream=stream):
                self.engine.set_faults(lose_answers=1)
                outcome = self._ask(f"answer is lost {stream}", stream)
                self.assertIn(
                    outcome.kind, (chats.Kind.WHOLE, chats.Kind.ERROR)
                )

    def test_paused_engine_delays_and_spoils_nothing(self) -> None:
        chat = chats.Chat(
            address=self.daemon.address, content="pause", max_tokens=50
        )
        chat.start()
        chat.wait_shown()
        self.engine.set_faults(pause_ms=700)
        self.assertEqual(chat.join().kind, chats.Kind.WHOLE, chat.outcome)


class UnresumableTest(unittest.TestCase):
    """Cuts streams that cannot be resumed.

    There is an engine for each position, since one that failed gets no work
    for a while.
    """

    def test_cut_ends_in_an_error_at_each_position(self) -> None:
        started = processes.open_processes(self)
        deployment = deployments.Deployment(started=started)
        engines = [
            deployment.add_engine(f"e{position}")
            for position in _POSITIONS[:-1]
        ]
        daemon = deployment.add_daemon("d1")
        deployment.wait_ready()
        for position in _POSITIONS[:-1]:
            fault = {"kind": "cut", "at": position, "count": 9}
            for engine in engines:
                engine.set_faults(streams=[fault], forget_attempts=True)
            chat = chats.Chat(
                address=daemon.address,
                content=f"lost at {position}",
                max_tokens=_TOKENS,
            )
            with self.subTest(position=position):
                outcome = chat.run()
                self.assertEqual(outcome.kind, chats.Kind.ERROR, outcome)
                shown = list(range(position + 1))
                self.assertEqual(outcome.positions, shown)


class EndOfTargetTest(unittest.TestCase):
    """Ends an engine in the middle of its streams."""

    def setUp(self) -> None:
        started = processes.open_processes(self)
        self.deployment = deployments.Deployment(started=started)
        self.engine = self.deployment.add_engine("e1", token_us=20_000)
        self.daemon = self.deployment.add_daemon("d1")
        self.deployment.wait_ready()

    def _start_chats(self, count: int) -> list[chats.Chat]:
        started = [
            chats.Chat(
                address=self.daemon.address,
                content=f"chat {index}",
                max_tokens=100,
                stream=index % 2 == 0,
            )
            for index in range(count)
        ]
        for chat in started:
            chat.start()
        started[0].wait_shown()
        return started

    def test_killed_engine_ends_its_streams_in_errors(self) -> None:
        running = self._start_chats(4)
        self.engine.kill()
        kinds = {chat.join().kind for chat in running}
        self.assertEqual(kinds, {chats.Kind.ERROR})

    def test_frozen_engine_never_shows_a_partial_answer_as_whole(self) -> None:
        running = self._start_chats(4)
        self.engine.freeze()
        kinds = {chat.join().kind for chat in running}
        self.assertEqual(kinds, {chats.Kind.ERROR})


if __name__ == "__main__":
    unittest.main()
