"""Tests of which responses of a target count as whole."""

import asyncio
import typing
import unittest

from mothpass.adapters import http_exchanges

_HEAD = b"HTTP/1.1 200 OK\r\nServer-Seal: x\r\n"
_CHUNKED_BODY = b"\r\n4\r\ndone\r\n0\r\n\r\n"


class _Transport:
    """Transport of a connection to a target that only listens."""

    def __init__(self) -> None:
        self._is_closing = False
        self.is_reading = True

    def write(self, data: bytes) -> None:
        del data

    def pause_reading(self) -> None:
        self.is_reading = False

    def resume_reading(self) -> None:
        self.is_reading = True

    def is_closing(self) -> bool:
        return self._is_closing

    def abort(self) -> None:
        self._is_closing = True


class WholeResponseTest(unittest.IsolatedAsyncioTestCase):
    """Responses that end with a clean close of the connection."""

    def receive(self, data: bytes) -> http_exchanges.Exchange:
        """Returns the exchange after a target has sent bytes and closed."""
        loop = asyncio.get_running_loop()
        connection = http_exchanges.Connection(loop=loop)
        connection.connection_made(typing.cast(asyncio.Transport, _Transport()))
        exchange = connection.send(
            b"", silence_ms=None, deadline=loop.time() + 60
        )
        self.addCleanup(exchange.close)
        connection.data_received(data)
        if connection.is_open():
            connection.eof_received()
        connection.connection_lost(None)
        return exchange

    async def test_bytes_behind_a_response_do_not_hold_up_its_reader(
        self,
    ) -> None:
        """Guards against whole responses that wait for their deadline."""
        loop = asyncio.get_running_loop()
        second = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"
        for fields in (b"", b"Connection: close\r\n"):
            for body in (
                b"Content-Length: 4\r\n\r\ndone",
                b"Transfer-Encoding: chunked\r\n" + _CHUNKED_BODY,
            ):
                for rest in (
                    b"\r\n",
                    b"no HTTP",
                    second,
                    b"x" * http_exchanges.MAX_OVERHEAD_BYTES,
                ):
                    with self.subTest(fields=fields, body=body, rest=rest[:9]):
                        connection = http_exchanges.Connection(loop=loop)
                        connection.connection_made(
                            typing.cast(asyncio.Transport, _Transport())
                        )
                        exchange = connection.send(
                            b"", silence_ms=None, deadline=loop.time() + 60
                        )
                        self.addCleanup(exchange.close)
                        waiting = loop.create_task(exchange.wait_for_progress())
                        await asyncio.sleep(0)
                        connection.data_received(_HEAD + fields + body + rest)
                        async with asyncio.timeout(0.5):
                            await waiting
                        self.assertTrue(exchange.complete)
                        self.assertEqual(exchange.read_available(), b"done")

    async def test_framed_response_cut_at_any_byte_is_not_whole(self) -> None:
        """Guards against a head or body that a close makes whole."""
        for response in (
            _HEAD + b"Content-Length: 4\r\n\r\ndone",
            b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nSeal: x\r\n\r\ndone",
            b"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\ndone",
            _HEAD + b"Transfer-Encoding: chunked\r\n" + _CHUNKED_BODY,
            _HEAD
            + b"Transfer-Encoding: chunked\r\n\r\n0\r\nTrailer: x\r\n\r\n",
            b"HTTP/1.1 103 Early Hints\r\n\r\n"
            + _HEAD
            + b"Content-Length: 4\r\n\r\ndone",
        ):
            for size in range(1, len(response)):
                with self.subTest(cut=response[:size]):
                    self.assertFalse(self.receive(response[:size]).complete)
            self.assertTrue(self.receive(response).complete)

    async def test_unframed_response_cut_within_its_head_is_not_whole(
        self,
    ) -> None:
        """Guards against a head without its end that counts as an answer."""
        head = _HEAD + b"Content-Type: text/plain\r\n\r\n"
        for size in range(1, len(head)):
            with self.subTest(cut=head[:size]):
                exchange = self.receive(head[:size])
                self.assertEqual((exchange.status, exchange.complete), (0, 0))
        self.assertTrue(self.receive(head).complete)

    async def test_damaged_head_is_no_response(self) -> None:
        """Guards against a length that is guessed."""
        for fields in (
            b"Content-Length: 8\r\n 00\r\n\r\n12345678",
            b"Content-Length: 4\r\nContent-Length: 4\r\n\r\ndone",
            b"Content-Length: 4\r\nContent-Length: 8\r\n\r\ndone",
            b"Content-Length: 4, 4\r\n\r\ndone",
            b"Content-Length: +4\r\n\r\ndone",
            b"Content-Length: -4\r\n\r\ndone",
            b"Content-Length: 4x\r\n\r\ndone",
            b"Content-Length:\r\n\r\ndone",
            b"Content-Length : 4\r\n\r\ndone",
            b"Content-Length: 99999999999999999999999\r\n\r\ndone",
            b"Content-Len\r\n\r\ndone",
            b"Content-Length: 4\n\ndone",
            b"\ndone",
            b"\rdone",
            b"Odd: a\r\n b\r\n\r\ndone",
            b"Odd: a\0b\r\n\r\ndone",
            b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"
            + _CHUNKED_BODY,
            b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n"
            + _CHUNKED_BODY,
            b"Transfer-Encoding:\r\n\r\ndone",
        ):
            with self.subTest(fields=fields):
                exchange = self.receive(_HEAD + fields)
                self.assertEqual((exchange.status, exchange.complete), (0, 0))

    async def test_unknown_transfer_coding_is_no_response(self) -> None:
        """Guards against encoded bytes that pass for the body."""
        for codings in (
            [b"gzip"],
            [b"chunke"],
            [b"xchunked"],
            [b"gzip, chunked"],
            [b"chunked, gzip"],
            [b"gzip", b"chunked"],
            [b"chunked", b"gzip"],
        ):
            fields = b"".join(
                b"Transfer-Encoding: %s\r\n" % item for item in codings
            )
            with self.subTest(codings=codings):
                exchange = self.receive(_HEAD + fields + _CHUNKED_BODY)
                self.assertEqual((exchange.status, exchange.complete), (0, 0))

    async def test_abandoned_response_is_not_completed_by_the_close(
        self,
    ) -> None:
        """Guards against a part of a body that this side has cut off."""
        interim = b"HTTP/1.1 103 Early Hints\r\n\r\n"
        count = http_exchanges.MAX_OVERHEAD_BYTES // len(interim) + 9
        exchange = self.receive(interim * count + _HEAD + b"\r\na part")
        self.assertFalse(exchange.complete)


class UnreadResponseTest(unittest.IsolatedAsyncioTestCase):
    """Whole responses whose readers are cancelled before they read them."""

    async def test_connection_is_reusable_only_while_it_is_read(self) -> None:
        """Guards against a kept connection whose next answer is never read."""
        loop = asyncio.get_running_loop()
        limit = http_exchanges.MAX_BUFFERED_BYTES
        for size, reads, is_reusable in (
            (limit, False, True),
            (limit + 1, False, False),
            (limit + 1, True, True),
        ):
            with self.subTest(size=size, reads=reads):
                connection = http_exchanges.Connection(loop=loop)
                transport = _Transport()
                connection.connection_made(
                    typing.cast(asyncio.Transport, transport)
                )
                exchange = connection.send(
                    b"", silence_ms=None, deadline=loop.time() + 60
                )
                self.addCleanup(exchange.close)
                connection.data_received(
                    _HEAD + b"Content-Length: %d\r\n\r\n" % size + b"x" * size
                )
                self.assertTrue(exchange.complete)
                if reads:
                    self.assertEqual(len(exchange.read_available()), size)
                self.assertEqual(transport.is_reading, is_reusable)
                self.assertEqual(connection.finish(), is_reusable)

    async def test_ended_exchange_keeps_no_unread_bytes(self) -> None:
        """Guards against memory held by requests that were cancelled."""
        loop = asyncio.get_running_loop()
        connection = http_exchanges.Connection(loop=loop)
        connection.connection_made(typing.cast(asyncio.Transport, _Transport()))
        exchange = connection.send(
            b"", silence_ms=None, deadline=loop.time() + 60
        )
        connection.data_received(_HEAD + b"Content-Length: 4\r\n\r\ndone")
        connection.finish()
        self.assertEqual(exchange.read_available(), b"")


if __name__ == "__main__":
    unittest.main()
