"""Tests that clients get their own whole answers while engines fail."""

import typing
import unittest

from tests import chats
from tests import deployments
from tests import processes

_TOKENS = 4
_POSITIONS = range(_TOKENS + 1)
# Longer than the daemons of these tests wait before they resume a stream.
_EVENT_DELAY_MS = 450


class StreamTest(unittest.TestCase):
    """Injects each fault at each position of a stream."""

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

    def _request(
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
                fault = {
                    "kind": kind,
                    "at": position,
                    "delay_ms": _EVENT_DELAY_MS,
                }
                self.engine.set_faults(streams=[fault])
                before = self.deployment.count_started_attempts("e1")
                outcome = self._request(f"{kind} at {position}")
                self.assertEqual(outcome.kind, chats.Kind.WHOLE, outcome)
                self.assertEqual(
                    self.deployment.count_started_attempts("e1"), before + 1
                )

    def test_without_faults(self) -> None:
        for stream in (True, False):
            outcome = self._request("no fault", stream)
            self.assertEqual(outcome.kind, chats.Kind.WHOLE, outcome)

    def test_broken_connection_is_resumed_at_each_position(self) -> None:
        self._check_fault("cut")

    def test_silent_connection_is_resumed_at_each_position(self) -> None:
        self._check_fault("silent")

    def test_event_of_another_attempt_is_dropped_at_each_position(self) -> None:
        self._check_fault("cross")

    def test_duplicate_event_is_dropped_at_each_position(self) -> None:
        self._check_fault("double")

    def test_skipped_event_is_fetched_at_each_position(self) -> None:
        self._check_fault("skip")

    def test_reordered_events_are_sorted_at_each_position(self) -> None:
        self._check_fault("reorder")

    def test_late_event_is_fetched_by_a_resumed_stream(self) -> None:
        self._check_fault("late")

    def test_repeatedly_broken_connection_is_resumed(self) -> None:
        faults = [{"kind": "cut", "at": x} for x in _POSITIONS]
        self.engine.set_faults(streams=faults)
        outcome = self._request("cut at each")
        self.assertEqual(outcome.kind, chats.Kind.WHOLE, outcome)

    def test_whole_answer_of_another_attempt_is_not_returned(self) -> None:
        self.engine.set_faults(crossed_answers=1)
        outcome = self._request("crossed whole answer", stream=False)
        self.assertIn(outcome.kind, (chats.Kind.WHOLE, chats.Kind.ERROR))

    def test_silent_idle_connections_break_no_answer(self) -> None:
        for stream in (True, False):
            with self.subTest(stream=stream):
                self._request("leaves an idle connection", stream)
                self.engine.set_faults(silent=True)
                outcome = self._request(f"over a silent one {stream}", stream)
                self.assertEqual(outcome.kind, chats.Kind.WHOLE, outcome)

    def test_lost_answer_is_resumed_or_ends_in_an_error(self) -> None:
        for stream in (True, False):
            with self.subTest(stream=stream):
                self.engine.set_faults(lose_answers=1)
                outcome = self._request(f"answer is lost {stream}", stream)
                self.assertIn(
                    outcome.kind, (chats.Kind.WHOLE, chats.Kind.ERROR)
                )

    def test_paused_engine_delays_but_breaks_no_answer(self) -> None:
        chat = chats.Chat(
            address=self.daemon.address, content="pause", max_tokens=50
        )
        chat.start()
        chat.wait_for_event()
        self.engine.set_faults(pause_ms=700)
        self.assertEqual(chat.join().kind, chats.Kind.WHOLE, chat.outcome)


class UnresumableTest(unittest.TestCase):
    """Breaks the connections of streams that can't be resumed.

    Uses one engine per position, as a failed engine gets no requests for some
    time.
    """

    def test_broken_connection_ends_in_an_error_at_each_position(self) -> None:
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
                expected = list(range(position + 1))
                self.assertEqual(outcome.positions, expected)


class EngineFailureTest(unittest.TestCase):
    """Kills or suspends an engine with streams in flight."""

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
        started[0].wait_for_event()
        return started

    def test_killed_engine_ends_its_answers_in_errors(self) -> None:
        chats_in_flight = self._start_chats(4)
        self.engine.kill()
        kinds = {chat.join().kind for chat in chats_in_flight}
        self.assertEqual(kinds, {chats.Kind.ERROR})

    def test_suspended_engine_never_yields_a_partial_answer_as_whole(
        self,
    ) -> None:
        chats_in_flight = self._start_chats(4)
        self.engine.suspend()
        kinds = {chat.join().kind for chat in chats_in_flight}
        self.assertEqual(kinds, {chats.Kind.ERROR})


if __name__ == "__main__":
    unittest.main()
