"""Tests that requests of one connection leave each other's responses alone."""

import asyncio
import unittest
from unittest import mock

from mothpass.adapters import held_bytes
from mothpass.adapters import http_listener
from mothpass.core import errors
from tests import scripted_listeners

_HEADER_LIMIT_BYTES = 2000
_HELD_LIMIT_BYTES = 1 << 20
_LARGE_HEAD = b"GET /next HTTP/1.1\r\nHost: x\r\nA: " + b"y" * 3000
_INVALID = b"\x00invalid\r\n\r\n"
_SIZED = (
    b"HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n" + b"a" * 10 + b"b" * 10
)
_CHUNKED = (
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    b"a\r\naaaaaaaaaa\r\na\r\nbbbbbbbbbb\r\n0\r\n\r\n"
)


class PipelinedRequestTest(unittest.IsolatedAsyncioTestCase):
    """Sends bytes behind a request whose response isn't complete."""

    async def asyncSetUp(self) -> None:
        self.header_timeout_ms = http_listener.HEADER_TIMEOUT_MS
        self.paths: list[str] = []
        self.started = asyncio.Event()
        self.go_on = asyncio.Event()
        self.limits = http_listener.ListenerLimits(
            header_limit_bytes=_HEADER_LIMIT_BYTES,
            max_connections=4,
            held_limit_bytes=_HELD_LIMIT_BYTES,
            encode_refusal=_encode_refusal,
        )
        self.listener = await scripted_listeners.open_listener(
            self, self._answer, self.limits
        )

    async def _answer(
        self,
        scope: scripted_listeners.Message,
        receive: scripted_listeners.Receive,
        send: scripted_listeners.Send,
    ) -> None:
        """Answers in two parts; waits in between, or before at /late."""
        del receive
        self.paths.append(scope["path"])
        headers = []
        if scope["path"] != "/chunked":
            headers = [(b"content-length", b"20")]
        if scope["path"] == "/late":
            await self._wait()
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
        await send(
            {
                "type": "http.response.body",
                "body": b"a" * 10,
                "more_body": True,
            }
        )
        if scope["path"] != "/late":
            await self._wait()
        await send({"type": "http.response.body", "body": b"b" * 10})

    async def _wait(self) -> None:
        self.started.set()
        await self.go_on.wait()

    async def _send_behind(self, path: bytes, data: bytes) -> bytes:
        """Returns all bytes of the connection that receives the data."""
        self.started.clear()
        self.go_on.clear()
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.listener.port
        )
        writer.write(b"GET %b HTTP/1.1\r\nHost: x\r\n\r\n" % path)
        async with asyncio.timeout(5):
            await self.started.wait()
            with mock.patch.object(
                http_listener, "HEADER_TIMEOUT_MS", self.header_timeout_ms
            ):
                writer.write(data)
                await asyncio.sleep(0.1)
                self.go_on.set()
                answer = await reader.read()
        writer.close()
        return answer

    async def _check_whole(self, data: bytes, status: bytes) -> None:
        """Checks that a whole response precedes the one to the data."""
        for path, expected in (
            (b"/sized", _SIZED),
            (b"/chunked", _CHUNKED),
            (b"/late", _SIZED),
        ):
            with self.subTest(path=path):
                self.paths.clear()
                answer = await self._send_behind(path, data)
                self.assertEqual(answer[: len(expected)], expected)
                rest = answer[len(expected) :]
                self.assertEqual(rest[: len(status)], status)
                self.assertEqual(rest.count(b"HTTP/1.1"), 1 if status else 0)
                self.assertEqual(self.paths, [path.decode()])
        self.assertEqual(self.limits.held.total, 0)

    async def test_late_headers_of_the_next_request_do_not_cut_a_response(
        self,
    ) -> None:
        """Guards against a timeout that closes a running response."""
        self.header_timeout_ms = 30
        await self._check_whole(b"GET /nex", b"")

    async def test_large_headers_of_the_next_request_wait_for_a_response(
        self,
    ) -> None:
        """Guards against 431 inside of, or instead of, another response."""
        await self._check_whole(_LARGE_HEAD + b"\r\n\r\n", b"HTTP/1.1 431 ")
        await self._check_whole(_LARGE_HEAD, b"HTTP/1.1 431 ")

    async def test_requests_behind_large_headers_are_not_run(self) -> None:
        """Guards against running what follows a rejected request."""
        with mock.patch.object(http_listener, "_PIECE_BYTES", 8192):
            await self._check_whole(
                _LARGE_HEAD + b"\r\n\r\nGET /more HTTP/1.1\r\nHost: x\r\n\r\n",
                b"HTTP/1.1 431 ",
            )

    async def test_invalid_bytes_behind_a_request_wait_for_a_response(
        self,
    ) -> None:
        """Guards against 400 inside of, or instead of, another response."""
        await self._check_whole(_INVALID, b"HTTP/1.1 400 ")

    async def test_invalid_url_behind_a_request_waits_for_a_response(
        self,
    ) -> None:
        """Guards against 400 inside of, or instead of, another response."""
        await self._check_whole(
            b"CONNECT x:y HTTP/1.1\r\nHost: x\r\n\r\n", b"HTTP/1.1 400 "
        )

    async def test_invalid_body_behind_a_request_waits_for_a_response(
        self,
    ) -> None:
        """Guards against 400 inside of, or instead of, another response."""
        await self._check_whole(
            b"POST /next HTTP/1.1\r\nHost: x\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\nnot a size\r\n",
            b"HTTP/1.1 400 ",
        )

    async def test_bytes_behind_a_request_are_given_up_without_its_response(
        self,
    ) -> None:
        """Guards against cutting a response to free the bytes behind it."""
        self.limits.held = held_bytes.HeldBytes(limit_bytes=4096)
        await self._check_whole(
            b"POST /next HTTP/1.1\r\nHost: x\r\n"
            b"Content-Length: 50000\r\n\r\n" + b"x" * 50000,
            b"HTTP/1.1 503 ",
        )


def _encode_refusal(refusal: errors.Refusal) -> bytes:
    return b'{"code":%d}' % refusal.code


if __name__ == "__main__":
    unittest.main()
