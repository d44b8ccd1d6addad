"""Takes requests of clients whole and lets answers be written as bytes.

uvicorn and blacksheep decode and encode what passes through; a relay must hand
on the bytes of both sides unchanged, and pays for each megabyte of memory, so
that httptools is used directly.
"""

import asyncio
import collections
from collections import abc
import http
import logging
import typing

import httptools

from mothpass.core import errors
from mothpass.core import results
from mothpass.core import route_table
from mothpass.ports import relay

_logger = logging.getLogger("mothpass.listener")
_INTERNAL = errors.Refusal(
    code=results.Code.INTERNAL,
    ran=results.Ran.UNKNOWN,
    message="internal error",
)
# Requests read ahead on one connection before reading pauses.
_MOST_QUEUED = 8
_BACKLOG = 2048

# Returns the limits on requests that are in force.
FindLimits = abc.Callable[[], route_table.RequestLimits]

# Answers one request over its connection.
Handle = abc.Callable[
    [relay.ClientHead, bytes, "ClientConnection"], abc.Awaitable[None]
]


class Listener:
    """What the connections of a listener share.

    Attributes:
        connections: Open connections.
        is_closing: Whether each connection closes after its next answer.
    """

    __slots__ = ("connections", "find_limits", "handle", "is_closing")

    def __init__(self, *, handle: Handle, find_limits: FindLimits) -> None:
        """Starts without connections."""
        self.handle = handle
        self.find_limits = find_limits
        self.connections: set[ClientConnection] = set()
        self.is_closing = False

    def close_idle(self) -> None:
        """Closes the connections that no request is running on."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    def abort(self) -> None:
        """Closes all connections at once."""
        for connection in list(self.connections):
            connection.cut()


class ClientConnection(asyncio.Protocol):
    """One connection of a client; it carries one request after the other.

    Attributes:
        has_answered: Whether any byte of the present answer was written.
    """

    __slots__ = (
        "_body",
        "_body_bytes",
        "_can_write",
        "_chunked",
        "_failure",
        "_head_bytes",
        "_headers",
        "_in_head",
        "_keeps",
        "_listener",
        "_loop",
        "_parser",
        "_queue",
        "_started_at",
        "_task",
        "_timer",
        "_transport",
        "_url",
        "has_answered",
    )

    def __init__(self, *, listener: Listener) -> None:
        """Is bound to its transport by ``connection_made``."""
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queue: collections.deque[tuple[relay.ClientHead, bytes]] = (
            collections.deque()
        )
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._failure: errors.Refusal | None = None
        self._keeps = True
        self._chunked = False
        self.has_answered = False
        self._in_head = True
        self._head_bytes = 0
        self._headers: list[relay.Header] = []
        self._url = b""
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._started_at = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether no request runs, waits or has begun to arrive."""
        return self._task is None and not self._queue and not self._head_bytes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport and waits for a first request."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._listener.connections.add(self)
        self._start_timer(self._listener.find_limits().idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the request that is running, since nobody waits for it."""
        del exc
        self._transport = None
        self._listener.connections.discard(self)
        self._stop_timer()
        self._can_write.set()
        self._queue.clear()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Takes a client that ends its side for one that has left."""
        return False

    def pause_writing(self) -> None:
        """Holds the writer back while the client doesn't read."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Lets the writer go on."""
        self._can_write.set()

    def data_received(self, data: bytes) -> None:
        """Parses what arrived."""
        if self._failure is not None:
            return
        if not self._head_bytes and self._in_head:
            self._start_head()
        if self._in_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(results.Code.BAD_REQUEST, "no upgrade is offered")
        except httptools.HttpParserError as error:
            self._fail(results.Code.BAD_REQUEST, f"not HTTP: {error}")
        else:
            limit = self._listener.find_limits().header_bytes
            if self._in_head and self._head_bytes > limit:
                self._fail(results.Code.HEADERS_TOO_LARGE, "head too large")
        self._serve_next()

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._headers = []
        self._url = b""
        self._body = []
        self._body_bytes = 0
        self._started_at = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Takes a part of the request's path."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header; those that follow a body are of no use."""
        if self._in_head:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Checks the head and asks for the body."""
        self._in_head = False
        self._stop_timer()
        limits = self._listener.find_limits()
        size = len(self._url) + sum(len(n) + len(v) for n, v in self._headers)
        if size > limits.header_bytes:
            self._fail(results.Code.HEADERS_TOO_LARGE, "head too large")
        elif self._parser.get_http_version() != "1.1":
            self._fail(results.Code.BAD_REQUEST, "only HTTP/1.1 is served")
        elif self._declared_length() > limits.body_bytes:
            self._fail(results.Code.BODY_TOO_LARGE, "body too large")
        elif self._task is None and self._expects_continue():
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Takes a part of a body."""
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self._listener.find_limits().body_bytes:
            self._fail(results.Code.BODY_TOO_LARGE, "body too large")

    def on_message_complete(self) -> None:
        """Queues a whole request."""
        if self._failure is not None:
            return
        head = relay.ClientHead(
            method=self._parser.get_method(),
            url=self._url,
            headers=tuple(self._headers),
            arrived_at=self._started_at,
        )
        self._keeps = self._keeps and self._parser.should_keep_alive()
        self._queue.append((head, b"".join(self._body)))
        self._reset_head()
        if len(self._queue) >= _MOST_QUEUED and self._transport is not None:
            self._transport.pause_reading()

    def write_answer(
        self, status: int, headers: abc.Iterable[relay.Header], body: bytes
    ) -> None:
        """Writes a whole answer."""
        head = self._encode_head(status, headers)
        self.has_answered = True
        self._write(b"%scontent-length: %d\r\n\r\n" % (head, len(body)) + body)

    def write_refusal(self, refusal: errors.Refusal) -> None:
        """Writes a final answer of our own."""
        status = results.get_http_status(refusal.code)
        headers = [(b"content-type", b"application/json")]
        if refusal.retry_after_ms is not None:
            seconds = b"%.3f" % (refusal.retry_after_ms / 1000)
            headers.append((b"retry-after", seconds))
        body = b'{"code":%d,"ran":"%s","message":"%s"}' % (
            refusal.code,
            refusal.ran.value.encode(),
            refusal.message.replace("\\", "/").replace('"', "'").encode(),
        )
        self.write_answer(status, headers, body)

    def start_stream(
        self, status: int, headers: abc.Iterable[relay.Header]
    ) -> None:
        """Writes the head of an answer whose parts follow."""
        head = self._encode_head(status, headers)
        self.has_answered = True
        self._chunked = True
        self._write(head + b"transfer-encoding: chunked\r\n\r\n")

    async def write_part(self, data: bytes) -> None:
        """Writes a part of a streamed answer and waits for a slow client."""
        self._write(b"%x\r\n%s\r\n" % (len(data), data))
        await self._can_write.wait()

    def end_stream(self) -> None:
        """Ends a streamed answer as complete."""
        self._chunked = False
        self._write(b"0\r\n\r\n")

    async def wait_until_sent(self) -> None:
        """Waits while more is unsent than the transport buffers."""
        await self._can_write.wait()

    def close(self) -> None:
        """Closes once all that was written has been sent."""
        if self._transport is not None:
            self._transport.close()

    def cut(self) -> None:
        """Closes at once, so that an unfinished answer can't look whole."""
        if self._transport is not None:
            self._transport.abort()

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def _encode_head(
        self, status: int, headers: abc.Iterable[relay.Header]
    ) -> bytes:
        self._keeps = self._keeps and not self._listener.is_closing
        try:
            phrase = http.HTTPStatus(status).phrase.encode()
        except ValueError:
            phrase = b"Unknown"
        lines = [b"HTTP/1.1 %d %s\r\n" % (status, phrase)]
        lines += [b"%s: %s\r\n" % header for header in headers]
        if not self._keeps:
            lines.append(b"connection: close\r\n")
        return b"".join(lines)

    def _declared_length(self) -> int:
        for name, value in self._headers:
            if name == b"content-length" and value.isdigit():
                return int(value)
        return 0

    def _expects_continue(self) -> bool:
        return any(
            name == b"expect" and value.lower() == b"100-continue"
            for name, value in self._headers
        )

    def _reset_head(self) -> None:
        self._in_head = True
        self._head_bytes = 0
        self._headers = []
        self._url = b""
        self._body = []
        self._body_bytes = 0
        self._started_at = 0.0

    def _start_head(self) -> None:
        self._start_timer(self._listener.find_limits().header_timeout_s)

    def _start_timer(self, seconds: float) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(seconds, self.close)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _fail(self, code: results.Code, message: str) -> None:
        """Refuses what arrives now, after the answers that are still due."""
        self._failure = errors.Refusal(
            code=code, ran=results.Ran.NO, message=message
        )

    def _serve_next(self) -> None:
        """Starts the next request, or ends the connection."""
        if self._task is not None or self._transport is None:
            return
        if self._queue:
            head, body = self._queue.popleft()
            if len(self._queue) < _MOST_QUEUED:
                self._transport.resume_reading()
            self.has_answered = False
            self._stop_timer()
            self._task = self._loop.create_task(self._serve(head, body))
        elif self._failure is not None:
            self._keeps = False
            self.write_refusal(self._failure)
            self.close()
        elif not self._keeps:
            self.close()
        elif not self._head_bytes:
            self._start_timer(self._listener.find_limits().idle_timeout_s)

    async def _serve(self, head: relay.ClientHead, body: bytes) -> None:
        try:
            await self._listener.handle(head, body, self)
        except Exception:  # noqa: BLE001 - the client must get an answer
            _logger.exception("request_failed")
            if not self.has_answered:
                # Whether it ran is unknown here, so that this isn't a refusal.
                self.write_refusal(_INTERNAL)
        finally:
            self._task = None
            if self._chunked or not self.has_answered:
                # An answer without its end must not look complete.
                self.cut()
        self._serve_next()


async def open_listener(
    listener: Listener, address: str
) -> asyncio.AbstractServer:
    """Starts to listen.

    Args:
        listener: What the connections share.
        address: ``ip:port``.

    Raises:
        OSError: If the address can't be listened at.
    """
    host, _, port = address.rpartition(":")
    return await asyncio.get_running_loop().create_server(
        lambda: ClientConnection(listener=listener),
        host,
        int(port),
        backlog=_BACKLOG,
        reuse_address=True,
    )
