"""Tests of what an attempt delivers of a target's answer."""

import asyncio
from collections import abc
import unittest

from mothpass.adapters import http_pool
from mothpass.core import errors
from mothpass.platform import targets
from mothpass.ports import relay
from mothpass.relay import attempts
from tests.platform import target_standin

_TEXTS = (
    b"the server is out of memory\n\n",
    b"event: error\ndata: out of memory\n\n",
    b"HTTP/1.1 500 Internal Server Error\nServer-Seal: x\n\n",
    b"id: last\ndata: part\n\n",
)
make_events = target_standin.make_events


class _Client:
    """Client that keeps its answer."""

    def __init__(self) -> None:
        self.body = b""
        self.is_whole = False
        self.response_started = False

    def record_answer_size(
        self, size_bytes: int, give_up: abc.Callable[[], None]
    ) -> None:
        """Takes an answer of any size."""

    def write_response(
        self, status: int, headers: abc.Iterable[relay.Header], body: bytes
    ) -> None:
        del status, headers
        self.body = body
        self.is_whole = True

    def write_rejection(self, refusal: errors.Refusal) -> None:
        raise AssertionError(refusal)

    def start_stream(
        self, status: int, headers: abc.Iterable[relay.Header]
    ) -> None:
        del status, headers
        self.response_started = True

    async def write_chunk(self, data: bytes) -> None:
        self.body += data

    def end_stream(self) -> None:
        self.is_whole = True

    def abort(self) -> None:
        pass


class StreamTest(unittest.IsolatedAsyncioTestCase):
    """Streams of four events, by one or several attempts."""

    async def asyncSetUp(self) -> None:
        self.outcomes: list[attempts.Outcome] = []

    async def deliver(
        self,
        *scripts: target_standin.Script,
        position: int | None = None,
        expects_stream: bool = True,
    ) -> _Client:
        """Returns the client after attempts at targets with these scripts."""
        client = _Client()
        delivery = attempts.Delivery(client=client, position=position)
        pool = http_pool.ConnectionPool(connect_timeout_ms=1000)
        sender = attempts.AttemptSender(
            pool=pool, read_head=targets.read_answer_head
        )
        self.outcomes.clear()
        for script in scripts:
            target = target_standin.Target("i-1")
            await target.open()
            target.answer = script
            outcome = await sender.send(
                _make_attempt(target, delivery, expects_stream), delivery
            )
            target.close()
            self.outcomes.append(outcome)
            if outcome.end is attempts.End.DELIVERED:
                break
        return client

    def check(
        self, client: _Client, body: bytes, *, is_whole: bool = False
    ) -> None:
        """Checks what a client got."""
        self.assertEqual((client.body, client.is_whole), (body, is_whole))

    async def test_events_before_a_gap_are_not_lost(self) -> None:
        """Guards against a missing event where a gap follows at once."""
        client = await self.deliver(
            target_standin.break_stream(1),
            target_standin.stream_text(make_events(1, 2) + make_events(3, 4)),
            target_standin.stream(4),
        )
        self.check(client, make_events(0, 4), is_whole=True)
        client = await self.deliver(
            target_standin.break_stream(2),
            target_standin.stream_text(make_events(2, 3) + make_events(4, 5)),
            target_standin.stream(4),
        )
        self.check(client, make_events(0, 4), is_whole=True)

    async def test_unsigned_stream_is_no_answer(self) -> None:
        """Guards against a success, or a rest, that no target has signed."""
        script = target_standin.stream_text(make_events(0, 4), is_signed=False)
        self.check(await self.deliver(script), b"")
        rest = target_standin.stream_text(make_events(2, 4), is_signed=False)
        client = await self.deliver(target_standin.break_stream(2), rest)
        self.check(client, make_events(0, 2))

    async def test_success_without_a_stream_is_none_where_one_is_due(
        self,
    ) -> None:
        """Guards against an empty or short body in place of a stream."""
        for rest in target_standin.RESTS_WITHOUT_STREAM:
            with self.subTest(rest=rest):
                script = target_standin.close_after(
                    target_standin.SIGNED_HEAD + rest
                )
                self.check(await self.deliver(script), b"")
                self.assertEqual(self.outcomes[-1].end, attempts.End.LOST)

    async def test_body_may_end_with_its_connection(self) -> None:
        """Guards against whole answers without a length that are refused."""
        for body in (b"", b"done"):
            script = target_standin.close_after(
                target_standin.SIGNED_HEAD + b"\r\n" + body
            )
            client = await self.deliver(script, expects_stream=False)
            self.check(client, body, is_whole=True)

    async def test_text_without_an_event_id_does_not_follow(self) -> None:
        """Guards against the text of an error in the middle of a stream."""
        for text in _TEXTS:
            for events in (2, 3):
                with self.subTest(text=text, events=events):
                    rest = make_events(2, events) + text
                    client = await self.deliver(
                        target_standin.break_stream(2),
                        target_standin.stream_text(rest),
                    )
                    self.check(client, make_events(0, events))

    async def test_text_does_not_follow_what_a_client_has(self) -> None:
        """Guards against the text of an error behind a client's events."""
        for text in _TEXTS:
            with self.subTest(text=text):
                client = await self.deliver(
                    target_standin.stream_text(text),
                    target_standin.stream(4),
                    position=1,
                )
                self.check(client, make_events(2, 4), is_whole=True)

    async def test_text_of_a_first_run_is_unchanged(self) -> None:
        """Guards against a body that is no longer the target's."""
        body = b": beat\n\n" + make_events(0, 1) + b"event: error\ndata: x\n\n"
        client = await self.deliver(target_standin.stream_text(body))
        self.check(client, body, is_whole=True)

    async def test_comments_of_the_rest_are_dropped(self) -> None:
        """Guards against streams that end for a heartbeat."""
        client = await self.deliver(
            target_standin.break_stream(2),
            target_standin.stream_text(
                b": beat\n\n", make_events(2, 3), b":\n\n", make_events(3, 4)
            ),
        )
        self.check(client, make_events(0, 4), is_whole=True)

    async def test_rest_without_an_event_is_no_end(self) -> None:
        """Guards against a part of a stream that ends as if complete."""
        for rest in ([], [b": beat\n\n"], [make_events(0, 2)], [b"id: 2\nda"]):
            with self.subTest(rest=rest):
                client = await self.deliver(
                    target_standin.break_stream(2),
                    target_standin.stream_text(*rest),
                )
                self.check(client, make_events(0, 2))

    async def test_client_with_all_events_gets_the_end(self) -> None:
        """Guards against a stream whose end can't be fetched."""
        client = await self.deliver(target_standin.stream(4), position=3)
        self.check(client, b"", is_whole=True)

    async def test_end_below_the_position_is_no_end(self) -> None:
        """Guards against a shorter run's end for a stream that goes on."""
        shorter = target_standin.stream_text(make_events(0, 3))
        client = await self.deliver(shorter, position=12)
        self.check(client, b"")
        self.assertNotEqual(self.outcomes[-1].end, attempts.End.DELIVERED)
        client = await self.deliver(
            shorter, target_standin.stream(14), position=12
        )
        self.check(client, make_events(13, 14), is_whole=True)

    async def test_overlap_up_to_the_position_is_followed_by_the_end(
        self,
    ) -> None:
        """Guards against an end that a client with all events never gets."""
        for start in (0, 3):
            with self.subTest(start=start):
                client = await self.deliver(
                    target_standin.stream_text(make_events(start, 4)),
                    position=3,
                )
                self.check(client, b"", is_whole=True)

    async def test_torn_head_does_not_end_a_stream(self) -> None:
        """Guards against a torn head in a stream, or as its end."""
        head = (
            target_standin.SIGNED_HEAD + b"Content-Type: text/event-stream\r\n"
        )
        for rest in (b"", b"Transfer-Enc", b"\r\n", b"\r\nerror\n\n"):
            with self.subTest(rest=rest):
                client = await self.deliver(
                    target_standin.break_stream(2),
                    target_standin.close_after(head + rest),
                )
                self.check(client, make_events(0, 2))


def _make_attempt(
    target: target_standin.Target,
    delivery: attempts.Delivery,
    expects_stream: bool,
) -> attempts.Attempt:
    deadline = asyncio.get_running_loop().time() + 10
    position = b""
    if delivery.position is not None:
        position = b"Last-Event-Id: %d\r\n" % delivery.position
    return attempts.Attempt(
        request=relay.Request(
            id="a1",
            method=b"POST",
            url=b"/chat/1",
            host="shop.example",
            headers=(),
            body=b"",
            api_key=None,
            deadline=deadline,
            prompt=(),
            prompt_tokens=0,
            position=delivery.position,
            resumed_id=None,
            arrived_at=0.0,
        ),
        address=target.address,
        data=b"POST /chat/1 HTTP/1.1\r\nAttempt-Id: a1\r\n%s\r\n" % position,
        deadline=deadline,
        silence_timeout_s=None,
        expects_stream=expects_stream,
        needs_new_connection=True,
        max_idle_connections=0,
        may_send=lambda: True,
        on_connected=lambda _: None,
        on_sent=lambda: None,
        on_bytes=lambda _: None,
        on_head=lambda _: None,
        on_event=lambda _: None,
    )


if __name__ == "__main__":
    unittest.main()
