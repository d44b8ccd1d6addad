"""HTTP listener with limits on header sizes, slow clients and connections.

uvicorn parses requests and blacksheep routes them. uvicorn's server class
isn't used, because the daemon controls its own shutdown.
"""

import asyncio
from collections import abc
import contextlib
import http
import typing

import uvicorn
from uvicorn import server as uvicorn_server
from uvicorn.protocols.http import flow_control
from uvicorn.protocols.http import httptools_impl

from mothpass.adapters import held_bytes
from mothpass.adapters import http_disconnects
from mothpass.adapters import loop_turns
from mothpass.core import errors
from mothpass.core import results

HEADER_TIMEOUT_MS = 10_000
# How long the rest of a body may take once its request is answered.
DISCARD_TIMEOUT_MS = 10_000
# How long a client may leave a response unread while more of it is buffered.
UNREAD_TIMEOUT_MS = 30_000
# Body bytes discarded after a rejection; a client that is still sending can
# read the rejection only while the connection stays open.
DISCARD_LIMIT_BYTES = 16_777_216
KEEP_ALIVE_TIMEOUT_S = 5
# Bytes parsed at a time. Requests behind one that isn't answered yet are left
# unparsed from the next piece on, since a parsed one takes many times its size.
_PIECE_BYTES = 1024
_BODY_PIECE_BYTES = 8192
# Header lines and parts of a body parsed before other connections get their
# turn.
_MAX_PARTS_PER_TURN = 1000
# Encodes a rejection as a response body.
EncodeRefusal = abc.Callable[[errors.Refusal], bytes]


class ListenerLimits:
    """Limits of a listener.

    Attributes:
        header_limit_bytes: Most bytes of a request's headers; more get 431.
        max_connections: Most open connections. A further one takes the place
            of one without a whole request; if there is none, it gets 503.
        encode_refusal: Encodes the body of these responses.
        held: Bytes that the clients make the daemon hold.
        idle: Connections without a request, the longest idle first.
        unfinished: Connections whose request isn't whole, the oldest first.
        all_closed: Set when the last connection closes.
        turns: Turns of connections that have much to parse.
    """

    __slots__ = (
        "all_closed",
        "encode_refusal",
        "header_limit_bytes",
        "held",
        "idle",
        "max_connections",
        "turns",
        "unfinished",
    )

    def __init__(
        self,
        *,
        header_limit_bytes: int,
        max_connections: int,
        held_limit_bytes: int,
        encode_refusal: EncodeRefusal,
    ) -> None:
        """Initializes the limits.

        Args:
            header_limit_bytes: Most bytes of a request's headers.
            max_connections: Most open connections.
            held_limit_bytes: Most bytes of requests and unread responses that
                all connections together make the daemon hold.
            encode_refusal: Encodes the body of refusals.
        """
        self.header_limit_bytes = header_limit_bytes
        self.max_connections = max_connections
        self.encode_refusal = encode_refusal
        self.all_closed = asyncio.Event()
        self.held = held_bytes.HeldBytes(limit_bytes=held_limit_bytes)
        self.idle: dict[BoundedProtocol, None] = {}
        self.turns = loop_turns.LoopTurns()
        self.unfinished: dict[BoundedProtocol, None] = {}


class _RequestFlow(flow_control.FlowControl):
    """Flow control that stays paused while requests are left unparsed."""

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__(transport)
        self.has_unparsed = False

    def resume_reading(self) -> None:
        if not self.has_unparsed:
            super().resume_reading()


class BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """Client connection that enforces the limits of its listener."""

    def __init__(
        self,
        *,
        config: uvicorn.Config,
        state: uvicorn_server.ServerState,
        limits: ListenerLimits,
    ) -> None:
        """Initializes the connection before any byte is read."""
        super().__init__(config, state, {})
        self._limits = limits
        self._discarded_bytes = 0
        self._header_bytes = 0
        self._in_headers = True
        self._head_begun = False
        self._rejected = False
        # Writes the rejection of a request behind others, once they are
        # answered.
        self._write_rejection: abc.Callable[[], None] | None = None
        self._header_timer: asyncio.TimerHandle | None = None
        self._unread_timer: asyncio.TimerHandle | None = None
        self._requests: list[http_disconnects.RequestConnection] = []
        # Bytes of the current message since the last one of its body.
        self._framing_bytes = 0
        self._parts_in_turn = 0
        self._awaits_turn = False
        # Parts of a body in the piece that is parsed. They are passed on
        # together, since that copies what the request hasn't taken yet.
        self._parts = bytearray()
        self._unparsed = b""
        self._unparsed_held: held_bytes.Holding | None = None
        self._unread_held: held_bytes.Holding | None = None

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Accepts the connection, or rejects it above the connection limit."""
        super().connection_made(transport)
        self._flow = _RequestFlow(transport)
        self.flow = self._flow
        self._start_header_timer(HEADER_TIMEOUT_MS)
        if len(self.connections) > self._limits.max_connections:
            self._make_place()
        if not self._rejected:
            self._limits.idle[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Notifies the running requests that the client disconnected."""
        self._stop_header_timer()
        self._stop_unread_timer()
        self._limits.idle.pop(self, None)
        self._limits.unfinished.pop(self, None)
        self._drop_unparsed()
        super().connection_lost(exc)
        if not self.connections:
            self._limits.all_closed.set()
        for request in self._requests:
            request.mark_disconnected()
        for request in self._requests[1:]:
            # It has no task that would release it.
            request.body.drop()
        self._requests.clear()

    def make_way(self) -> None:
        """Closes the connection, which has no whole request."""
        if self in self._limits.idle:
            self._rejected = True
            self.transport.abort()
        else:
            self._reject(results.Code.OVERLOADED, "too many connections", 1000)
        self._limits.idle.pop(self, None)
        self._limits.unfinished.pop(self, None)

    def eof_received(self) -> bool:  # type: ignore[override]
        """Keeps a connection with a truncated body half open, to reject it."""
        cycle = self.cycle
        if self._rejected or cycle is None or not cycle.more_body:
            return False
        if cycle.response_complete or not self._requests:
            return False
        self._requests[-1].body_truncated = True
        cycle.more_body = False
        cycle.keep_alive = False
        cycle.message_event.set()
        return True

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; rejects headers above the limit."""
        if self._unparsed:
            self._keep_unparsed(self._unparsed + data)
        elif not self._rejected:
            self._parse(data)

    def _parse(self, data: bytes) -> None:
        """Parses bytes up to a request that must wait for another one."""
        self._parts_in_turn = 0
        offset = 0
        view = memoryview(data)
        while offset < len(data):
            if self._rejected or self.transport.is_closing():
                return
            if self.pipeline:
                self._keep_unparsed(data[offset:])
                return
            if self._parts_in_turn > _MAX_PARTS_PER_TURN:
                self._keep_unparsed(data[offset:])
                self._awaits_turn = True
                self._limits.turns.add(self._take_turn)
                return
            size = _PIECE_BYTES if self._in_headers else _BODY_PIECE_BYTES
            piece = view[offset : offset + size]
            offset += len(piece)
            self._parse_piece(piece)

    def _take_turn(self) -> None:
        self._awaits_turn = False
        self._parse_unparsed()

    def _parse_unparsed(self) -> None:
        """Goes on with the bytes that were left unparsed."""
        if self._awaits_turn or self.transport.is_closing() or self.pipeline:
            return
        data = self._unparsed
        self._drop_unparsed()
        self._parse(data)
        if not self.transport.is_closing():
            self._flow.resume_reading()

    def _keep_unparsed(self, data: bytes) -> None:
        """Keeps bytes of requests that must wait, and reads no more."""
        self._drop_unparsed()
        self._unparsed = data
        self._flow.has_unparsed = True
        self._flow.pause_reading()
        self._unparsed_held = self._limits.held.open_holding(self._evict)
        self._unparsed_held.grow(len(data))

    def _drop_unparsed(self) -> None:
        self._unparsed = b""
        self._flow.has_unparsed = False
        if self._unparsed_held is not None:
            self._unparsed_held.drop()
            self._unparsed_held = None

    def _parse_piece(self, piece: memoryview) -> None:
        limit = self._limits.header_limit_bytes
        if self._in_headers:
            self._header_bytes += len(piece)
        self._framing_bytes += len(piece)
        super().data_received(piece)  # type: ignore[arg-type]
        self._pass_parts()
        if self._rejected:
            return
        if self._in_headers and self._header_bytes > limit:
            self._reject_headers()
        elif not self._in_headers and self._framing_bytes > 2 * limit:
            # The parser keeps a trailer until its end.
            self._reject_headers()
        elif self in self._limits.idle and self._header_timer is None:
            # Line ends before a request begin no message.
            self._start_header_timer(HEADER_TIMEOUT_MS)

    def on_message_begin(self) -> None:
        """Starts reading the headers of a request."""
        super().on_message_begin()
        self._in_headers = True
        self._head_begun = True
        # The timeout behind a request without a response starts after that.
        if self._header_timer is None and not self._requests:
            self._start_header_timer(HEADER_TIMEOUT_MS)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; trailers after a body are ignored."""
        self._parts_in_turn += 1
        if self._in_headers:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Starts the application, or rejects headers above the limit."""
        if self._rejected:
            return
        self._header_bytes = 0
        self._framing_bytes = 0
        self._head_begun = False
        self._stop_header_timer()
        size = len(self.url)
        size += sum(len(name) + len(value) for name, value in self.headers)
        if size > self._limits.header_limit_bytes:
            self._reject_headers()
            return
        connection = http_disconnects.RequestConnection(
            body=self._limits.held.open_holding(self._evict)
        )
        scope = typing.cast(dict[str, object], self.scope)
        scope[http_disconnects.CONNECTION_KEY] = connection
        try:
            super().on_headers_complete()
        except Exception:
            # An invalid URL; no task will release the holding.
            connection.body.drop()
            raise
        self._in_headers = False
        self._requests.append(connection)
        self._limits.idle.pop(self, None)
        if len(self._requests) == 1:
            self._limits.unfinished[self] = None

    def on_body(self, body: bytes) -> None:
        """Adds a part of a body to those parsed with it."""
        self._framing_bytes = 0
        self._parts_in_turn += 1
        self._parts += body

    def _pass_parts(self) -> None:
        """Passes body parts on; discards them after a complete response."""
        body = bytes(self._parts)
        self._parts.clear()
        if self._rejected or not body:
            return
        if self.cycle.response_complete:
            self._discarded_bytes += len(body)
            if self._discarded_bytes > DISCARD_LIMIT_BYTES:
                self.transport.abort()
            return
        super().on_body(body)
        self._requests[-1].body.grow(len(body))

    def on_message_complete(self) -> None:
        """Ends the request and expects the headers of the next one."""
        self._pass_parts()
        if not self._rejected:
            super().on_message_complete()
            if self.cycle.response_complete:
                self._stop_header_timer()
                self._limits.idle[self] = None
            else:
                self._requests[-1].body.settle()
        self._limits.unfinished.pop(self, None)
        self._in_headers = True
        self._header_bytes = 0

    def on_response_complete(self) -> None:
        """Removes the request whose response is complete."""
        if self._requests:
            self._requests.pop(0)
        super().on_response_complete()
        if self.transport.is_closing() or self.pipeline:
            return
        if self._write_rejection is not None:
            self._write_rejection()
            return
        if self.cycle.response_complete:
            if not self._in_headers:
                self._start_header_timer(DISCARD_TIMEOUT_MS)
            else:
                self._limits.idle[self] = None
                if self._head_begun:
                    self._start_header_timer(HEADER_TIMEOUT_MS)
        if self._unparsed:
            self.loop.call_soon(self._parse_unparsed)

    def pause_writing(self) -> None:
        """Starts the timeout of a client that doesn't read its response."""
        super().pause_writing()
        self._unread_timer = self.loop.call_later(
            UNREAD_TIMEOUT_MS / 1000, self.transport.abort
        )
        self._unread_held = self._limits.held.open_holding(self.transport.abort)
        self._unread_held.grow(self.transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Stops the timeout when the client reads again."""
        self._stop_unread_timer()
        super().resume_writing()

    def _stop_unread_timer(self) -> None:
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None
        if self._unread_held is not None:
            self._unread_held.drop()
            self._unread_held = None

    def _start_header_timer(self, timeout_ms: int) -> None:
        self._stop_header_timer()
        self._header_timer = self.loop.call_later(
            timeout_ms / 1000, self._close_slow_client
        )

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _close_slow_client(self) -> None:
        """Closes a connection whose headers are late."""
        self.transport.close()

    def _make_place(self) -> None:
        """Closes a connection without a whole request, or else this one."""
        for candidates in (self._limits.idle, self._limits.unfinished):
            if candidates:
                next(iter(candidates)).make_way()
                return
        self._reject(results.Code.OVERLOADED, "too many connections", 1000)

    def _evict(self) -> None:
        """Gives up the bytes that are being received."""
        self._reject(
            results.Code.OVERLOADED, "too many bytes of requests", 1000
        )

    def _reject_headers(self) -> None:
        self._reject(results.Code.HEADERS_TOO_LARGE, "headers too large", None)

    def _reject(
        self, code: results.Code, message: str, retry_after_ms: int | None
    ) -> None:
        """Rejects a request without running the application, then closes."""
        # The request isn't read, so it may repeat one that already ran.
        refusal = errors.Refusal(
            code=code,
            ran=results.Ran.UNKNOWN,
            message=message,
            retry_after_ms=retry_after_ms,
        )

        def write() -> None:
            self.transport.write(_encode_rejection(refusal, self._limits))
            self.transport.close()

        self._reject_in_turn(write)

    def send_400_response(self, msg: str) -> None:
        """Rejects bytes that aren't a request, then closes."""
        send = super().send_400_response
        self._reject_in_turn(lambda: send(msg))

    def _reject_in_turn(self, write: abc.Callable[[], None]) -> None:
        """Rejects the request being received once those before are answered.

        Args:
            write: Writes the response and closes the connection.
        """
        if self._rejected:
            return
        self._rejected = True
        self._stop_header_timer()
        self._drop_unparsed()
        is_first = not self._requests
        if not self._in_headers:
            if self.cycle.response_started:
                # The client would take this for a part of its response.
                self.transport.abort()
                return
            is_first = len(self._requests) == 1
            if not is_first:
                self.pipeline.popleft()
                self._requests.pop().body.drop()
        if is_first:
            write()
        else:
            self._write_rejection = write


class Listener:
    """Open listener and its client connections."""

    __slots__ = ("_limits", "_server", "_state")

    def __init__(
        self,
        *,
        server: asyncio.AbstractServer,
        state: uvicorn_server.ServerState,
        limits: ListenerLimits,
    ) -> None:
        """Wraps a listening server."""
        self._limits = limits
        self._server = server
        self._state = state

    @property
    def port(self) -> int:
        """The port that it listens on."""
        server = typing.cast(asyncio.Server, self._server)
        return int(server.sockets[0].getsockname()[1])

    def stop_accepting(self) -> None:
        """Closes the listening socket and the idle connections.

        Connections with a running request close after its response.
        """
        self._server.close()
        for connection in list(self._state.connections):
            connection.shutdown()

    async def drain(self, deadline: float) -> int:
        """Waits until all responses are sent.

        Args:
            deadline: Event-loop time at which to stop waiting.

        Returns:
            Number of connections still open.
        """
        self._limits.all_closed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(deadline):
                while self._state.connections:
                    await self._limits.all_closed.wait()
                    self._limits.all_closed.clear()
        return len(self._state.connections)

    def abort(self) -> None:
        """Closes all connections at once."""
        for connection in list(self._state.connections):
            connection.transport.abort()


async def open_listener(
    application: typing.Any, address: str, limits: ListenerLimits
) -> Listener:
    """Opens a listener.

    Args:
        application: Started ASGI application.
        address: ``ip:port``; port 0 picks a free one.
        limits: Limits of the listener.

    Raises:
        OSError: If it can't listen on the address.
    """
    config = uvicorn.Config(
        application,
        http=httptools_impl.HttpToolsProtocol,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        proxy_headers=False,
        server_header=False,
        date_header=False,
        timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
    )
    config.load()
    state = uvicorn_server.ServerState()
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: BoundedProtocol(config=config, state=state, limits=limits),
        host,
        int(port),
        backlog=2048,
        reuse_address=True,
    )
    return Listener(server=server, state=state, limits=limits)


def _encode_rejection(refusal: errors.Refusal, limits: ListenerLimits) -> bytes:
    status = results.get_http_status(refusal.code)
    body = limits.encode_refusal(refusal)
    lines = [
        f"HTTP/1.1 {status} {http.HTTPStatus(status).phrase}",
        "content-type: application/json",
        f"content-length: {len(body)}",
        "connection: close",
    ]
    if refusal.retry_after_ms is not None:
        lines.append(f"retry-after: {-(-refusal.retry_after_ms // 1000)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
