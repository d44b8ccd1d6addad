"""Tests for the load client and the open loop against a scripted server."""

import asyncio
from collections import abc
import hashlib
import io
import json
import pathlib
import time
import unittest

import msgspec

from mothpass.load import checks
from mothpass.load import clients
from mothpass.load import profiles
from mothpass.load import recordings
from mothpass.load import runner
from mothpass.load import samples
from mothpass.load import traffic
from mothpass.standin import answers
from tests import test_load_traffic

_GUILD = pathlib.Path(__file__).resolve().parent.parent / "examples" / "guild"
_MAX_TOKENS = 4
_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

ServeRequest = abc.Callable[
    [str, bytes, asyncio.StreamWriter], abc.Awaitable[bool]
]


def encode_chunk(data: bytes) -> bytes:
    """Returns bytes as a chunk of a chunked body; empty bytes end the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def encode_response(status: str, body: bytes) -> bytes:
    """Returns an HTTP response with a body."""
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def encode_events(body: bytes) -> list[bytes]:
    """Returns the events of the complete answer to a chat request."""
    chat = json.loads(body)
    messages = [answers.Message(**item) for item in chat["messages"]]
    tokens = answers.compose_answer(messages, chat["max_tokens"])
    events = []
    for position, token in enumerate([*tokens, ""]):
        finish = "stop" if position == len(tokens) else None
        choice = {"delta": {"content": token}, "finish_reason": finish}
        data = json.dumps({"choices": [choice]})
        events.append(f"id: {position}\ndata: {data}\n\n".encode())
    return [*events, b"data: [DONE]\n\n"]


async def serve_complete_answer(
    path: str, body: bytes, writer: asyncio.StreamWriter
) -> bool:
    """Sends the complete answer and keeps the connection open."""
    if path.startswith("/v1/services/"):
        digest = hashlib.sha256(body).hexdigest()
        receipt = json.dumps({"body_sha256": digest}).encode()
        writer.write(encode_response("200 OK", receipt))
        return True
    events = map(encode_chunk, encode_events(body))
    writer.write(_RESPONSE_HEAD + b"".join(events) + encode_chunk(b""))
    return True


class ServerCase(unittest.IsolatedAsyncioTestCase):
    """Base class that serves a test's script on a loopback port."""

    async def asyncSetUp(self) -> None:
        self.serve_request: ServeRequest = serve_complete_answer
        self.connections = 0
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.addCleanup(server.close)
        self.pool = clients.ConnectionPool()
        self.addCleanup(self.pool.close)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while await self._serve_one(reader, writer):
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            # The test ended while a response was held back.
            pass
        finally:
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        size = int(head.lower().split("content-length: ")[1].split("\r")[0])
        body = await reader.readexactly(size)
        return await self.serve_request(head.split()[1], body, writer)

    async def send(
        self, planned: traffic.PlannedRequest, *, timeout_s: float = 5.0
    ) -> clients.Result:
        now = time.monotonic()
        return await clients.send_request(
            self.pool,
            self.address,
            "key",
            planned,
            due=now,
            deadline=now + timeout_s,
        )


CHAT = traffic.PlannedRequest(
    at_ms=0.0,
    team="quay",
    service_class="quick",
    name="advice",
    chat_id="c",
    messages=[answers.Message(role="user", content="Hello")],
    max_tokens=_MAX_TOKENS,
    stream=True,
)
SERVICE_REQUEST = traffic.PlannedRequest(
    at_ms=0.0,
    team="quay",
    service_class="quick",
    name="booking",
    idempotency_key="k",
    body=b"{}",
)


class ClientTest(ServerCase):
    """Checks the result of the client for each kind of response."""

    async def test_complete_stream_is_measured(self) -> None:
        result = await self.send(CHAT)
        self.assertIs(result.verdict.fate, samples.Fate.WHOLE)
        self.assertEqual(len(result.gaps_ms), _MAX_TOKENS - 1)
        assert result.first_token_ms is not None
        assert result.whole_ms is not None
        self.assertLessEqual(result.first_token_ms, result.whole_ms)

    async def test_connection_is_reused(self) -> None:
        for planned in (CHAT, SERVICE_REQUEST, CHAT):
            result = await self.send(planned)
            self.assertIs(result.verdict.fate, samples.Fate.WHOLE)
        self.assertEqual(self.connections, 1)

    async def test_request_is_resent_if_the_idle_connection_was_closed(
        self,
    ) -> None:
        async def serve_once(
            path: str, body: bytes, writer: asyncio.StreamWriter
        ) -> bool:
            await serve_complete_answer(path, body, writer)
            return False

        self.serve_request = serve_once
        await self.send(CHAT)
        result = await self.send(CHAT)
        self.assertIs(result.verdict.fate, samples.Fate.WHOLE)
        self.assertEqual(self.connections, 2)

    async def test_truncated_stream_is_lost(self) -> None:
        async def cut(
            _path: str, body: bytes, writer: asyncio.StreamWriter
        ) -> bool:
            events = encode_events(body)[:2]
            writer.write(_RESPONSE_HEAD + b"".join(map(encode_chunk, events)))
            return False

        self.serve_request = cut
        result = await self.send(CHAT)
        self.assertIs(result.verdict.fate, samples.Fate.LOST)
        self.assertIsNotNone(result.first_token_ms)
        self.assertIsNone(result.whole_ms)

    async def test_request_without_response_is_lost_at_the_deadline(
        self,
    ) -> None:
        async def hang(
            _path: str, _body: bytes, _writer: asyncio.StreamWriter
        ) -> bool:
            await asyncio.sleep(30)
            return False

        self.serve_request = hang
        result = await self.send(CHAT, timeout_s=0.05)
        self.assertIs(result.verdict.fate, samples.Fate.LOST)

    async def test_rejection_keeps_its_code(self) -> None:
        error = {"code": 201, "name": "TEAM_LIMIT", "ran": "no"}
        body = json.dumps({"error": error}).encode()

        async def reject(
            _path: str, _body: bytes, writer: asyncio.StreamWriter
        ) -> bool:
            writer.write(encode_response("429 Too Many", body))
            return True

        self.serve_request = reject
        for planned in (CHAT, SERVICE_REQUEST):
            verdict = (await self.send(planned)).verdict
            self.assertIs(verdict.fate, samples.Fate.REFUSED)
            self.assertEqual((verdict.code, verdict.ran), (201, "no"))

    async def test_refused_connection_is_lost(self) -> None:
        self.address = "127.0.0.1:1"
        result = await self.send(SERVICE_REQUEST)
        self.assertIs(result.verdict.fate, samples.Fate.LOST)


class SampleTest(unittest.TestCase):
    """Checks how many prompt tokens count as reusable."""

    def test_all_messages_but_the_new_one_are_reusable(self) -> None:
        turns = ["a" * 400, "b" * 40]
        for turn in range(2):
            messages = recordings.build_messages(turns, turn, _MAX_TOKENS)
            answer = sum(len(x.content) // 4 + 1 for x in messages[1:-1])
            planned = msgspec.structs.replace(
                CHAT, messages=messages, returning=turn > 0
            )
            verdict = checks.Verdict(fate=samples.Fate.WHOLE)
            result = clients.Result(verdict=verdict)
            sample = clients.build_sample(planned, "", result)
            expected = 101 + answer if turn else 0
            self.assertEqual(sample.reusable_tokens, expected)


class OpenLoopTest(ServerCase):
    """Checks that the schedule and the limits of a profile are kept."""

    def build_plan(
        self, *, drain_ms: int = 5000, **changes: object
    ) -> runner.Plan:
        profile: profiles.Profile = test_load_traffic.build_profile(
            daemons=[self.address],
            duration_ms=400,
            drain_ms=drain_ms,
            **changes,
        )
        keys = profiles.read_keys(_GUILD / "profile.json", profile)
        return runner.Plan(name="p", profile=profile, keys=keys)

    async def run_plan(self, plan: runner.Plan) -> list[samples.Sample]:
        output = io.BytesIO()
        self.summary = await runner.run_plan(plan, output)
        lines = output.getvalue().splitlines()
        self.kinds = [json.loads(line)["kind"] for line in lines]
        return [
            msgspec.json.decode(line, type=samples.Sample)
            for line, kind in zip(lines, self.kinds, strict=True)
            if kind == "request"
        ]

    async def test_all_planned_requests_are_sent_and_checked(self) -> None:
        plan = self.build_plan()
        expected = list(traffic.plan_requests(plan.profile, None))
        found = await self.run_plan(plan)
        self.assertEqual(len(found), len(expected))
        self.assertEqual(self.summary.fates, {"whole": len(expected)})
        self.assertEqual(self.kinds[0], "run")
        self.assertEqual(self.kinds[-1], "summary")

    async def test_slow_answers_delay_no_later_request(self) -> None:
        waiting = 0
        max_waiting = 0
        release = asyncio.Event()

        async def hold(
            path: str, body: bytes, writer: asyncio.StreamWriter
        ) -> bool:
            nonlocal waiting, max_waiting
            waiting += 1
            max_waiting = max(max_waiting, waiting)
            if waiting == 5:
                release.set()
            await release.wait()
            return await serve_complete_answer(path, body, writer)

        self.serve_request = hold
        found = await self.run_plan(self.build_plan())
        self.assertGreaterEqual(max_waiting, 5)
        self.assertEqual({x.fate for x in found}, {samples.Fate.WHOLE})

    async def test_requests_over_the_limit_are_counted_but_not_sent(
        self,
    ) -> None:
        async def hang(
            _path: str, _body: bytes, _writer: asyncio.StreamWriter
        ) -> bool:
            await asyncio.sleep(30)
            return False

        self.serve_request = hang
        plan = self.build_plan(in_flight_limit=2, drain_ms=100)
        found = await self.run_plan(plan)
        self.assertEqual(self.connections, 2)
        fates = [item.fate for item in found]
        self.assertEqual(fates.count(samples.Fate.LOST), 2)
        unsent = fates.count(samples.Fate.NOT_SENT)
        self.assertEqual(unsent, len(found) - 2)


if __name__ == "__main__":
    unittest.main()
