"""Tests for mothpass.adapters.targets_http against a scripted server."""

import asyncio
from collections import abc
import unittest

from mothpass.adapters import http_pool
from mothpass.adapters import targets_http
from mothpass.core import errors
from mothpass.ports import targets
from tests import processes

_SILENCE_MS = 100
_HEAD = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Boot-Id: b1\r\n"
    b"X-Attempt-Id: a1\r\n\r\n"
)
_END = b"0\r\n\r\n"


def _chunk(event: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(event), event)


def _event(position: int, *, last: bool = False) -> bytes:
    name = b"event: finish\n" if last else b""
    return _chunk(b"%bid: a1:%d\ndata: {}\n\n" % (name, position))


def _response(body: bytes, status: bytes = b"200 OK") -> bytes:
    return (
        b"HTTP/1.1 %b\r\nX-Attempt-Id: a1\r\nX-Boot-Id: b1\r\n"
        b"Content-Length: %d\r\n\r\n%b" % (status, len(body), body)
    )


class ScriptedServerCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests with a server that responds with scripted bytes.

    A script of None closes the connection; an empty one sends nothing. The
    server closes the connection after a script that ends with ``CUT``.
    """

    async def asyncSetUp(self) -> None:
        self.scripts: list[bytes | None] = []
        self.requests: list[bytes] = []
        self.connections = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.handler_tasks: list[asyncio.Task[None]] = []
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.pool = http_pool.ConnectionPool(connect_timeout_ms=500)
        self.targets = targets_http.HttpTargets(
            pool=self.pool, silence_ms=_SILENCE_MS
        )

    async def asyncTearDown(self) -> None:
        self.pool.close()
        for writer in self.writers:
            writer.close()
        self.server.close()
        await asyncio.gather(*self.handler_tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self.writers.append(writer)
        task = asyncio.current_task()
        assert task is not None
        self.handler_tasks.append(task)
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            size = 0
            for line in head.split(b"\r\n"):
                if line.lower().startswith(b"content-length:"):
                    size = int(line.partition(b":")[2])
            self.requests.append(head + await reader.readexactly(size))
            script = self.scripts.pop(0)
            if script is None:
                writer.close()
                return
            writer.write(script)
            if script.endswith(b"CUT"):
                writer.close()
                return

    def _build_attempt(
        self, *, key: str | None = None, left_s: float = 5.0
    ) -> targets.Attempt:
        return targets.Attempt(
            id="a1",
            target_id="t1",
            address=self.address,
            path="/v1/call/log",
            body=b'{"x":1}',
            priority=3,
            idempotency_key=key,
            fencing=8,
            deadline=asyncio.get_running_loop().time() + left_s,
        )

    async def _collect(
        self, stream: abc.AsyncGenerator[targets.EventBatch, None]
    ) -> list[int]:
        positions: list[int] = []
        async for batch in stream:
            self.assertEqual(batch.boot_id, "b1")
            positions.extend(event.position for event in batch.events)
        return positions


class StreamTest(ScriptedServerCase):
    """Checks streams and how their failures are classified."""

    async def test_yields_events_up_to_last(self) -> None:
        self.scripts = [_HEAD + _event(0) + _event(1, last=True) + _END]
        stream = self.targets.open_stream(self._build_attempt())
        self.assertEqual(await self._collect(stream), [0, 1])

    async def test_sends_protocol_headers_and_body(self) -> None:
        self.scripts = [_HEAD + _event(0, last=True) + _END]
        await self._collect(self.targets.open_stream(self._build_attempt()))
        head, _, body = self.requests[0].partition(b"\r\n\r\n")
        for line in (b"X-Attempt-Id: a1", b"X-Priority: 3", b"X-Fencing: 8"):
            self.assertIn(line, head)
        self.assertEqual(body, b'{"x":1}')

    async def test_reuses_connection(self) -> None:
        response = _HEAD + _event(0, last=True) + _END
        self.scripts = [response, response]
        for _ in range(2):
            await self._collect(self.targets.open_stream(self._build_attempt()))
            await asyncio.sleep(0.01)
        self.assertEqual(self.connections, 1)

    async def test_resumes_over_new_connection(self) -> None:
        response = _HEAD + _event(0, last=True) + _END
        self.scripts = [response, _HEAD + _event(4, last=True) + _END]
        await self._collect(self.targets.open_stream(self._build_attempt()))
        stream = self.targets.resume_stream(self._build_attempt(), 4)
        self.assertEqual(await self._collect(stream), [4])
        self.assertEqual(self.connections, 2)
        self.assertIn(b"/v1/attempts/a1/events?from=4 ", self.requests[1])

    async def test_end_without_last_event_is_lost(self) -> None:
        self.scripts = [_HEAD + _event(0) + _END]
        with self.assertRaises(errors.TargetAnswerLostError):
            await self._collect(self.targets.open_stream(self._build_attempt()))

    async def test_closed_connection_is_lost(self) -> None:
        for script in (None, _HEAD + _event(0) + b"CUT"):
            self.scripts = [script]
            with self.assertRaises(errors.TargetAnswerLostError):
                await self._collect(
                    self.targets.open_stream(self._build_attempt())
                )

    async def test_stalled_stream_is_silent(self) -> None:
        self.scripts = [_HEAD + _event(0)]
        with self.assertRaises(errors.TargetSilentError):
            await self._collect(self.targets.open_stream(self._build_attempt()))

    async def test_missing_response_is_lost_and_not_silent(self) -> None:
        self.scripts = [b""]
        with self.assertRaises(errors.TargetAnswerLostError) as caught:
            await self._collect(self.targets.open_stream(self._build_attempt()))
        self.assertNotIsInstance(caught.exception, errors.TargetSilentError)

    async def test_ends_at_the_deadline(self) -> None:
        self.scripts = [_response(b"{}"), _HEAD]
        # Opens the connection first, as connecting may take longer than the
        # deadline on a busy machine.
        await self.targets.call(self._build_attempt())
        attempt = self._build_attempt(left_s=0.05)
        with self.assertRaises(errors.TargetAnswerLostError) as caught:
            await self._collect(self.targets.open_stream(attempt))
        self.assertNotIsInstance(caught.exception, errors.TargetSilentError)

    async def test_rejection_that_did_not_run_is_refused(self) -> None:
        self.scripts = [_response(b'{"ran":"no"}', b"503 X")]
        with self.assertRaises(errors.TargetRefusedError):
            await self._collect(self.targets.open_stream(self._build_attempt()))

    async def test_refusal_of_an_earlier_attempt_is_skipped(self) -> None:
        """Guards against 'not run' for an attempt that the target runs."""
        earlier = _response(b'{"ran":"no"}', b"503 X").replace(b"a1", b"a0")
        self.scripts = [earlier + _HEAD + _event(0, last=True) + _END]
        stream = self.targets.open_stream(self._build_attempt())
        self.assertEqual(await self._collect(stream), [0])

    async def test_other_503_is_lost(self) -> None:
        self.scripts = [_response(b"busy", b"503 X")]
        with self.assertRaises(errors.TargetAnswerLostError):
            await self._collect(self.targets.open_stream(self._build_attempt()))

    async def test_unknown_attempt_carries_boot_id(self) -> None:
        self.scripts = [_response(b"", b"404 X")]
        with self.assertRaises(errors.AttemptUnknownError) as caught:
            await self._collect(
                self.targets.resume_stream(self._build_attempt(), 0)
            )
        self.assertEqual(caught.exception.boot_id, "b1")

    async def test_no_listener_is_unreachable(self) -> None:
        self.address = processes.find_free_address()
        with self.assertRaises(errors.TargetUnreachableError):
            await self._collect(self.targets.open_stream(self._build_attempt()))


class CallTest(ScriptedServerCase):
    """Checks unary requests, cancellations and load reports."""

    async def test_bytes_behind_an_answer_do_not_hold_it_up(self) -> None:
        """Guards against whole answers that wait for their deadline."""
        self.scripts = [_response(b"{}") + b"no HTTP"]
        async with asyncio.timeout(1.0):
            answer = await self.targets.call(self._build_attempt())
        self.assertEqual((answer.status, answer.body), (200, b"{}"))

    async def test_returns_response_with_attempt_id(self) -> None:
        self.scripts = [_response(b'{"y":2}')]
        answer = await self.targets.call(self._build_attempt(key="k"))
        expected = targets.Answer(
            attempt_id="a1", status=200, body=b'{"y":2}', boot_id="b1"
        )
        self.assertEqual(answer, expected)
        self.assertIn(b"Idempotency-Key: k", self.requests[0])

    async def test_request_with_key_uses_new_connection(self) -> None:
        self.scripts = [_response(b"1"), _response(b"2")]
        for _ in range(2):
            await self.targets.call(self._build_attempt(key="k"))
        self.assertEqual(self.connections, 2)

    async def test_truncated_body_is_lost(self) -> None:
        self.scripts = [_response(b"x" * 50)[:-20] + b"CUT"]
        with self.assertRaises(errors.TargetAnswerLostError):
            await self.targets.call(self._build_attempt())

    async def test_ends_at_the_deadline(self) -> None:
        self.scripts = [_response(b"{}"), b""]
        # Opens the connection first, as connecting may take longer than the
        # deadline on a busy machine.
        await self.targets.call(self._build_attempt())
        with self.assertRaises(errors.TargetAnswerLostError):
            await self.targets.call(self._build_attempt(left_s=0.05))

    async def test_malformed_response_is_lost(self) -> None:
        self.scripts = [b"hello\r\n\r\n"]
        with self.assertRaises(errors.TargetAnswerLostError):
            await self.targets.call(self._build_attempt())

    async def test_reads_load_report(self) -> None:
        report = (
            b'{"target_id":"t1","boot_id":"b1","phase":"warm",'
            b'"running":2,"queued":1,"age_ms":7}'
        )
        self.scripts = [_response(report)]
        found = await self.targets.read_load(self.address)
        self.assertEqual((found.running, found.queued), (2, 1))

    async def test_malformed_load_report_is_lost(self) -> None:
        self.scripts = [_response(b"{}")]
        with self.assertRaises(errors.TargetAnswerLostError):
            await self.targets.read_load(self.address)

    async def test_failed_cancellation_is_ignored(self) -> None:
        self.scripts = [None]
        await self.targets.cancel(self._build_attempt())
        self.assertIn(b"DELETE /v1/attempts/a1 ", self.requests[0])


if __name__ == "__main__":
    unittest.main()
