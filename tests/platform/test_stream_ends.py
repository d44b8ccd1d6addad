"""Tests that streams end whole, in whatever way the target ends them."""

import asyncio
import unittest
from unittest import mock

import msgspec

from mothpass.core import server_sent_events
from mothpass.relay import service as service_module
from tests.platform import fleet
from tests.platform import target_standin
from tests.platform import wire

_EVENTS = target_standin.make_events(0, target_standin.EVENTS)
_STREAM_HEAD = (
    target_standin.SIGNED_HEAD + b"Content-Type: text/event-stream\r\n"
)
_CHUNKED = b"Transfer-Encoding: chunked\r\n"
_CLOSE = b"Connection: close\r\n"
_SECOND = target_standin.SIGNED_HEAD + b"Content-Length: 5\r\n\r\nagain"


def _encode_chunks(*parts: bytes) -> bytes:
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)


# A stream of very many events, and those that one turn may split.
_TINY_BYTES = 262_144
_MAX_EVENTS_PER_TURN = 5000
_FIRST = _EVENTS[:30]
_LAST = _EVENTS[30:]
_FIRST_CHUNK = b"\r\n" + _encode_chunks(_FIRST)
_LAST_CHUNKS = _encode_chunks(_LAST, b"")
# Whole streams with bytes behind them that are no part of any answer.
_WITH_BYTES_BEHIND = {
    "no HTTP": (
        _STREAM_HEAD + _CHUNKED + _FIRST_CHUNK,
        _LAST_CHUNKS + b"\x00\x01 no HTTP\r\n",
    ),
    "a second answer behind the last one": (
        _STREAM_HEAD + _CHUNKED + _CLOSE + _FIRST_CHUNK,
        _LAST_CHUNKS + _SECOND,
    ),
    "no HTTP behind a length": (
        _STREAM_HEAD + b"Content-Length: %d\r\n\r\n" % len(_EVENTS) + _FIRST,
        _LAST + b"no HTTP",
    ),
    "all in one piece": (
        _STREAM_HEAD + _CHUNKED + _FIRST_CHUNK + _LAST_CHUNKS + b"no HTTP",
    ),
}


class StreamEndsTest(fleet.FleetTest):
    """Streams on a route that may be resumed and on one that may not."""

    async def check_whole(
        self, script: target_standin.Script, body: bytes = _EVENTS
    ) -> None:
        """Checks that a stream gets its end, by one run, on both routes."""
        for path in ("/chat/1", "/once/1"):
            with self.subTest(path):
                for target in self.models:
                    target.runs.clear()
                self.script_all(self.models, script)
                answer = await self.send_request(
                    "POST", path, self.make_chat_headers()
                )
                self.assertEqual((answer.status, answer.body), (200, body))
                self.assertTrue(answer.is_whole)
                runs = [len(target.runs) for target in self.models]
                self.assertEqual(sum(runs), 1)

    async def test_bytes_behind_a_stream_do_not_hold_up_its_end(self) -> None:
        """Guards against whole streams that wait for their deadline."""
        for name, pieces in _WITH_BYTES_BEHIND.items():
            with self.subTest(name):
                await self.check_whole(target_standin.send_bytes(*pieces))

    async def test_stream_that_ends_with_its_connection_is_whole(self) -> None:
        """Guards against whole streams that are cut after their last event."""
        for fields in (b"", _CLOSE):
            with self.subTest(fields=fields):
                script = target_standin.close_after(
                    _STREAM_HEAD + fields + b"\r\n" + _EVENTS
                )
                await self.check_whole(script)

    async def test_lines_may_end_with_crlf_or_cr(self) -> None:
        """Guards against whole streams in which no event is found."""
        for line_end in (b"\r\n", b"\r"):
            with self.subTest(line_end=line_end):
                body = _EVENTS.replace(b"\n", line_end)
                await self.check_whole(
                    target_standin.stream_text(body[:41], body[41:]), body
                )

    async def test_ids_that_do_not_increase_end_a_stream(self) -> None:
        """Guards against a dropped event in front of a complete end."""
        for ids in ((0, 2, 1, 3), (0, 1, 1, 2), (1, 0)):
            with self.subTest(ids=ids):
                events = [target_standin.make_event(number) for number in ids]
                self.script_all(
                    self.models, target_standin.stream_text(b"".join(events))
                )
                answer = await self.send_request(
                    "POST", "/once/1", self.make_chat_headers()
                )
                self.assertFalse(answer.is_whole)
                sent = max(1, len(ids) - 2)
                self.assertEqual(answer.body, b"".join(events[:sent]))

    async def test_ids_may_skip_numbers(self) -> None:
        """Guards against whole streams that are cut at a skipped id."""
        part = target_standin.make_event
        for ids in ((0, 2, 4), (0, 1, 3), (1, 2, 3), (5, 70, 71)):
            with self.subTest(ids=ids):
                body = b"".join(part(number) for number in ids)
                await self.check_whole(target_standin.stream_text(body), body)

    async def test_empty_lines_behind_the_last_event_are_part_of_it(
        self,
    ) -> None:
        """Guards against whole streams that count as torn."""
        body = _EVENTS + b"\n"
        await self.check_whole(target_standin.stream_text(body), body)

    async def test_event_without_its_empty_line_is_torn(self) -> None:
        """Guards against a part of a stream that ends as if complete."""
        self.script_all(self.models, target_standin.stream_text(_EVENTS[:-1]))
        answer = await self.send_request(
            "POST", "/once/1", self.make_chat_headers()
        )
        self.assertFalse(answer.is_whole)

    async def test_connection_that_ends_too_soon_is_no_end(self) -> None:
        """Guards against a part of a stream that ends as if complete."""
        head = _STREAM_HEAD + b"\r\n"
        for body in (_EVENTS[:-1], _FIRST + _LAST[:9], b"id: 0\nda"):
            with self.subTest(body=body):
                script = target_standin.close_after(head + body)
                self.script_all(self.models, script)
                answer = await self.send_request(
                    "POST", "/once/1", self.make_chat_headers()
                )
                self.assertFalse(answer.is_whole and answer.status == 200)

    async def test_connection_that_ends_before_an_event_is_no_stream(
        self,
    ) -> None:
        """Guards against an empty stream in place of an answer."""
        for body in (b"", b": beat\n\n"):
            with self.subTest(body=body):
                script = target_standin.close_after(
                    _STREAM_HEAD + b"\r\n" + body
                )
                self.script_all(self.models, script)
                answer = await self.send_request(
                    "POST", "/once/1", self.make_chat_headers()
                )
                self.assertFalse(answer.is_whole and answer.status == 200)

    async def test_stream_whose_connection_is_reset_is_not_whole(self) -> None:
        """Guards against a reset that counts as the end of a stream."""
        events = target_standin.make_events(0, 2)
        script = target_standin.reset_after(_STREAM_HEAD + b"\r\n" + events)
        self.script_all(self.models, script)
        answer = await self.send_request(
            "POST", "/once/1", self.make_chat_headers()
        )
        self.assertEqual((answer.body, answer.is_whole), (events, False))
        # On the route that may be resumed, the rest comes from elsewhere.
        self.script_all(self.models, script)
        answer = await self.send_request(
            "POST", "/chat/1", self.make_chat_headers()
        )
        self.assertEqual((answer.body, answer.is_whole), (_EVENTS, True))

    async def test_connection_that_ends_is_no_end_for_a_client_with_a_part(
        self,
    ) -> None:
        """Guards against a target that dies after its head."""
        for body in (b"", b": beat\n\n", target_standin.make_event(1)):
            with self.subTest(body=body):
                script = target_standin.close_after(
                    _STREAM_HEAD + b"\r\n" + body
                )
                self.script_all(self.models, script)
                answer = await self.send_request(
                    "POST", "/chat/1", self.make_chat_headers(Last_Event_Id="1")
                )
                self.assertEqual(answer.body, target_standin.make_events(2, 4))
                self.assertTrue(answer.is_whole)

    async def test_client_with_all_events_gets_the_end(self) -> None:
        """Guards against a stream whose end can't be fetched."""
        script = target_standin.close_after(_STREAM_HEAD + b"\r\n")
        self.script_all(self.models, script, script)
        answer = await self.send_request(
            "POST", "/chat/1", self.make_chat_headers(Last_Event_Id="3")
        )
        self.assertEqual((answer.body, answer.is_whole), (b"", True))


class TinyEventsTest(fleet.FleetTest):
    """Other requests beside a stream of very many events."""

    async def test_tiny_events_are_split_in_turns(self) -> None:
        """Guards against events of one target that hold up the loop."""
        split = server_sent_events.EventSplitter.split
        turn = 0
        split_in_turn: dict[int, int] = {}

        def count_events(
            splitter: server_sent_events.EventSplitter, data: bytes
        ) -> list[server_sent_events.Event]:
            events = split(splitter, data)
            split_in_turn[turn] = split_in_turn.get(turn, 0) + len(events)
            return events

        async def count_turns() -> None:
            nonlocal turn
            while True:
                turn += 1
                await asyncio.sleep(0)

        counting = asyncio.ensure_future(count_turns())
        self.addCleanup(counting.cancel)
        for unit in (b"\n\n", b":\n\n", b"id: 0\n\n", b"d\n\n"):
            with (
                self.subTest(unit=unit),
                mock.patch.object(
                    server_sent_events.EventSplitter, "split", count_events
                ),
            ):
                body = unit * (_TINY_BYTES // len(unit))
                split_in_turn.clear()
                script = target_standin.close_after(
                    _STREAM_HEAD + b"\r\n" + body + _EVENTS
                )
                self.script_all(self.models, script)
                await self.send_request(
                    "POST", "/once/1", self.make_chat_headers()
                )
                self.assertLessEqual(
                    max(split_in_turn.values()), _MAX_EVENTS_PER_TURN
                )


class ShutdownTest(fleet.FleetTest):
    """Streams whose targets are done well before a shutdown ends."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        patch = mock.patch.object(service_module, "BALANCER_DRAIN_S", 0.2)
        patch.start()
        self.addCleanup(patch.stop)

    async def stream_and_stop(
        self, script: target_standin.Script
    ) -> tuple[wire.Answer, dict[str, object]]:
        """Stops the daemon beside a stream.

        Returns:
            The answer, and the log line of its attempt.
        """
        [service] = self.services
        service.settings = msgspec.structs.replace(
            service.settings, grace_s=1.6
        )
        self.script_all(self.models, script)
        client = await wire.Client.connect(self.addresses[0])
        self.addCleanup(client.close)
        with self.assertLogs("mothpass.requests") as logs:
            client.send("POST", "/once/1", self.make_chat_headers())
            await self.wait_for(lambda: any(item.runs for item in self.models))
            stopping = asyncio.ensure_future(service.stop())
            answer = await client.read()
            await stopping
        [attempt] = [
            record.__dict__["fields"]
            for record in logs.records
            if record.getMessage() == "attempt"
        ]
        return answer, attempt

    async def test_stream_that_its_target_has_ended_is_whole(self) -> None:
        """Guards against a shutdown that cuts what has arrived whole."""
        scripts = {
            name: target_standin.send_bytes(*pieces)
            for name, pieces in _WITH_BYTES_BEHIND.items()
        }
        scripts["end of the connection"] = target_standin.close_after(
            _STREAM_HEAD + b"\r\n" + _EVENTS
        )
        for name, script in scripts.items():
            with self.subTest(name):
                await self.asyncTearDown()
                self.services.clear()
                self.addresses.clear()
                await self.add_daemon(0)
                answer, attempt = await self.stream_and_stop(script)
                self.assertEqual((answer.status, answer.body), (200, _EVENTS))
                self.assertTrue(attempt["is_whole"])
                self.assertTrue(answer.is_whole)

    async def test_streams_that_a_shutdown_cuts_are_counted(self) -> None:
        """Guards against a log in which a shutdown has cut nothing."""
        with self.assertLogs("mothpass.relay") as logs:
            answer, attempt = await self.stream_and_stop(
                target_standin.silence_stream(2)
            )
        self.assertEqual((answer.status, answer.is_whole), (200, False))
        self.assertFalse(attempt["is_whole"])
        [stopped] = [
            record.__dict__["fields"]
            for record in logs.records
            if record.getMessage() == "stopped"
        ]
        self.assertEqual(stopped["cut"], 1)


if __name__ == "__main__":
    unittest.main()
