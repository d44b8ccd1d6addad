"""HTTP listener that reads whole requests and writes responses as raw bytes.

It uses httptools directly: uvicorn and blacksheep decode and encode what passes
through, but a relay must forward the bytes of both sides unchanged and use
little memory.
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
# Pipelined requests queued on a connection before reading is paused.
_MAX_PIPELINED = 8
_ACCEPT_BACKLOG = 2048

# Returns the request limits in force.
FindLimits = abc.Callable[[], route_table.RequestLimits]

# Handles one request and writes its response to the connection.
Handle = abc.Callable[
    [relay.ClientHead, bytes, "ClientConnection"], abc.Awaitable[None]
]


class Responder(typing.Protocol):
    """Writes the response to one request; see ``ClientConnection``."""

    @property
    def response_started(self) -> bool:
        """Whether any byte of the response was written."""

    def write_response(
        self, status: int, headers: abc.Iterable[relay.Header], body: bytes
    ) -> None:
        """Writes a complete response."""

    def write_rejection(self, refusal: errors.Refusal) -> None:
        """Writes a refusal."""

    def start_stream(
        self, status: int, headers: abc.Iterable[relay.Header]
    ) -> None:
        """Writes the head of a stream."""

    async def write_chunk(self, data: bytes) -> None:
        """Writes a part of a stream and waits while the buffer is full."""

    def end_stream(self) -> None:
        """Writes the end of a stream."""

    def abort(self) -> None:
        """Closes the connection at once."""


class ListenerState:
    """State that all connections of a listener share.

    Attributes:
        connections: Open connections.
        is_closing: Whether each connection closes after its next response.
    """

    __slots__ = ("connections", "find_limits", "handle", "is_closing")

    def __init__(self, *, handle: Handle, find_limits: FindLimits) -> None:
        """Starts without connections."""
        self.handle = handle
        self.find_limits = find_limits
        self.connections: set[ClientConnection] = set()
        self.is_closing = False

    def has_requests(self) -> bool:
        """Returns whether any connection has a request."""
        return any(not item.is_idle for item in self.connections)

    def close_idle(self) -> None:
        """Closes the connections without a request."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    def abort(self) -> None:
        """Closes all connections at once."""
        for connection in list(self.connections):
            connection.abort()


class ClientConnection(asyncio.Protocol):
    """Client connection; it handles one request at a time.

    Attributes:
        response_started: Whether any byte of the current response was
            written.
    """

    __slots__ = (
        "_body",
        "_body_bytes",
        "_chunked",
        "_head_bytes",
        "_headers",
        "_in_head",
        "_keep_alive",
        "_loop",
        "_parser",
        "_queued",
        "_rejection",
        "_started_at",
        "_state",
        "_task",
        "_timer",
        "_transport",
        "_url",
        "_writable",
        "response_started",
    )

    def __init__(self, *, state: ListenerState) -> None:
        """Is bound to its transport by ``connection_made``."""
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        # Whole requests, and whether the connection may stay open after each.
        self._queued: collections.deque[
            tuple[relay.ClientHead, bytes, bool]
        ] = collections.deque()
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._rejection: errors.Refusal | None = None
        self._keep_alive = True
        self._chunked = False
        self.response_started = False
        self._in_head = True
        self._head_bytes = 0
        self._headers: list[relay.Header] = []
        self._url = b""
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._started_at = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether no request is running, queued or partly received."""
        return self._task is None and not self._queued and not self._head_bytes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection and starts its idle timeout."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._state.connections.add(self)
        self._start_timer(self._state.find_limits().idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the running request, as its client is gone."""
        del exc
        self._transport = None
        self._state.connections.discard(self)
        self._stop_timer()
        self._writable.set()
        self._queued.clear()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Treats a half-closed connection as a disconnect."""
        return False

    def pause_writing(self) -> None:
        """Blocks writers while the send buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblocks the writers."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and rejects malformed or oversized requests."""
        if self._rejection is not None:
            return
        if not self._head_bytes and self._in_head and self._task is None:
            self._start_header_timer()
        if self._in_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(
                results.Code.BAD_REQUEST, "protocol upgrades are not supported"
            )
        except httptools.HttpParserError as error:
            self._reject(results.Code.BAD_REQUEST, f"not HTTP: {error}")
        else:
            limit = self._state.find_limits().header_bytes
            if self._in_head and self._head_bytes > limit:
                self._reject(results.Code.HEADERS_TOO_LARGE, "head too large")
        self._serve_next()

    def on_message_begin(self) -> None:
        """Starts reading a request."""
        self._headers = []
        self._url = b""
        self._body = []
        self._body_bytes = 0
        self._started_at = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Appends a part of the URL."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; trailers after a body are ignored."""
        if self._in_head:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Checks the request head and answers ``Expect: 100-continue``."""
        self._in_head = False
        self._stop_timer()
        limits = self._state.find_limits()
        size = len(self._url) + sum(len(n) + len(v) for n, v in self._headers)
        if size > limits.header_bytes:
            self._reject(results.Code.HEADERS_TOO_LARGE, "head too large")
        elif self._parser.get_http_version() != "1.1":
            self._reject(results.Code.BAD_REQUEST, "only HTTP/1.1 is served")
        elif self._parse_content_length() > limits.body_bytes:
            self._reject(results.Code.BODY_TOO_LARGE, "body too large")
        elif self._task is None and self._expects_continue():
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Adds a body chunk; rejects bodies above the limit."""
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self._state.find_limits().body_bytes:
            self._reject(results.Code.BODY_TOO_LARGE, "body too large")

    def on_message_complete(self) -> None:
        """Queues the complete request."""
        if self._rejection is not None:
            return
        head = relay.ClientHead(
            method=self._parser.get_method(),
            url=self._url,
            headers=tuple(self._headers),
            arrived_at=self._started_at,
        )
        keep_alive = bool(self._parser.should_keep_alive())
        self._queued.append((head, b"".join(self._body), keep_alive))
        self._reset_request()
        if len(self._queued) >= _MAX_PIPELINED and self._transport is not None:
            self._transport.pause_reading()

    def write_response(
        self, status: int, headers: abc.Iterable[relay.Header], body: bytes
    ) -> None:
        """Writes a complete response."""
        head = self._encode_head(status, headers)
        self.response_started = True
        self._write(b"%scontent-length: %d\r\n\r\n" % (head, len(body)) + body)

    def write_rejection(self, refusal: errors.Refusal) -> None:
        """Writes a rejection as a JSON response."""
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
        self.write_response(status, headers, body)

    def start_stream(
        self, status: int, headers: abc.Iterable[relay.Header]
    ) -> None:
        """Writes the head of a chunked response."""
        head = self._encode_head(status, headers)
        self.response_started = True
        self._chunked = True
        self._write(head + b"transfer-encoding: chunked\r\n\r\n")

    async def write_chunk(self, data: bytes) -> None:
        """Writes a response chunk and waits while the send buffer is full."""
        self._write(b"%x\r\n%s\r\n" % (len(data), data))
        await self._writable.wait()

    def end_stream(self) -> None:
        """Writes the last chunk of a response."""
        self._chunked = False
        self._write(b"0\r\n\r\n")

    async def wait_until_sent(self) -> None:
        """Waits while the send buffer is full."""
        await self._writable.wait()

    def close(self) -> None:
        """Closes the connection after sending the buffered bytes."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection at once.

        An unfinished response then ends in an error at the client and can't
        be taken for a complete one.
        """
        if self._transport is not None:
            self._transport.abort()

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def _encode_head(
        self, status: int, headers: abc.Iterable[relay.Header]
    ) -> bytes:
        if self._state.is_closing and not self._queued:
            self._keep_alive = False
        try:
            phrase = http.HTTPStatus(status).phrase.encode()
        except ValueError:
            phrase = b"Unknown"
        lines = [b"HTTP/1.1 %d %s\r\n" % (status, phrase)]
        lines += [b"%s: %s\r\n" % header for header in headers]
        if not self._keep_alive:
            lines.append(b"connection: close\r\n")
        return b"".join(lines)

    def _parse_content_length(self) -> int:
        for name, value in self._headers:
            if name == b"content-length" and value.isdigit():
                return int(value)
        return 0

    def _expects_continue(self) -> bool:
        return any(
            name == b"expect" and value.lower() == b"100-continue"
            for name, value in self._headers
        )

    def _reset_request(self) -> None:
        self._in_head = True
        self._head_bytes = 0
        self._headers = []
        self._url = b""
        self._body = []
        self._body_bytes = 0
        self._started_at = 0.0

    def _start_header_timer(self) -> None:
        self._start_timer(self._state.find_limits().header_timeout_s)

    def _start_timer(self, seconds: float) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(seconds, self.close)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _reject(self, code: results.Code, message: str) -> None:
        """Rejects the incoming request after the pending responses are sent."""
        self._rejection = errors.Refusal(
            code=code, ran=results.Ran.NO, message=message
        )

    def _serve_next(self) -> None:
        """Starts the next queued request, or closes the connection."""
        if self._task is not None or self._transport is None:
            return
        if not self._keep_alive:
            # The last answer said so: the client knows that nothing which it
            # sent after that request is served.
            self.close()
        elif self._queued:
            head, body, self._keep_alive = self._queued.popleft()
            if len(self._queued) < _MAX_PIPELINED:
                self._transport.resume_reading()
            self.response_started = False
            self._stop_timer()
            self._task = self._loop.create_task(self._serve(head, body))
        elif self._rejection is not None:
            self._keep_alive = False
            self.write_rejection(self._rejection)
            self.close()
        elif self._state.is_closing and not self._head_bytes:
            # The head of the last answer may be from before the shutdown.
            self.close()
        elif not self._head_bytes:
            self._start_timer(self._state.find_limits().idle_timeout_s)
        elif self._in_head and self._timer is None:
            # The head began during the last answer.
            self._start_header_timer()

    async def _serve(self, head: relay.ClientHead, body: bytes) -> None:
        try:
            await self._state.handle(head, body, self)
        except Exception:  # noqa: BLE001 - the client must get a response
            _logger.exception("request_failed")
            if not self.response_started:
                # It is unknown whether the request ran at a target.
                self.write_rejection(_INTERNAL)
        finally:
            self._task = None
            if self._chunked or not self.response_started:
                # A response without its end must not look complete.
                self.abort()
        self._serve_next()


async def open_listener(
    state: ListenerState, address: str
) -> asyncio.AbstractServer:
    """Starts listening.

    Args:
        state: State that the connections share.
        address: ``ip:port``.

    Raises:
        OSError: If it can't listen on the address.
    """
    host, _, port = address.rpartition(":")
    return await asyncio.get_running_loop().create_server(
        lambda: ClientConnection(state=state),
        host,
        int(port),
        backlog=_ACCEPT_BACKLOG,
        reuse_address=True,
    )
