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
import msgspec

from mothpass.adapters import loop_turns
from mothpass.core import client_memory
from mothpass.core import connection_slots
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
# Bytes behind a request in service above which reading is paused. Below that
# it goes on, so that a disconnect is seen at once.
_MAX_UNPARSED_BYTES = 65_536
# Bytes parsed at a time: all requests that end within them are queued.
_SLICE_BYTES = 1024
# Header lines and chunks parsed before other connections get their turn.
_MAX_PARTS_PER_TURN = 500
# What a connection, a request and a header take beside their own bytes.
_CONNECTION_BYTES = 4096
_REQUEST_BYTES = 2048
_HEADER_BYTES = 160
# Copies of a body while its request is in service: as received, and as sent
# to a target.
BODY_COPIES = 2
# Copies of a response while it is joined from its parts.
_ANSWER_COPIES = 2
# After a rejection for want of room.
_RETRY_AFTER_MS = 500
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

    def record_answer_size(
        self, size_bytes: int, give_up: abc.Callable[[], None]
    ) -> None:
        """Records how much of a response is held before it is written.

        ``give_up`` is called if that is too much; see ``ClientConnection``.
        """

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


class _QueuedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A whole request that isn't in service yet.

    Attributes:
        head: Its head.
        body: Its body.
        keep_alive: Whether the connection may stay open after it.
        head_cost: Bytes that it takes beside its body.
    """

    head: relay.ClientHead
    body: bytes
    keep_alive: bool
    head_cost: int


class ListenerState:
    """State that all connections of a listener share.

    Attributes:
        connections: Open connections.
        is_closing: Whether each connection closes after its next response.
        displaced_count: Connections that were closed for a new one, or not
            accepted, at the limit.
        turns: Turns of connections that have much to parse.
    """

    __slots__ = (
        "body_copies",
        "connections",
        "find_limits",
        "handle",
        "is_closing",
        "memory",
        "displaced_count",
        "slots",
        "turns",
    )

    def __init__(
        self,
        *,
        handle: Handle,
        find_limits: FindLimits,
        memory: client_memory.ClientMemory,
        max_connections: int,
        body_copies: int = BODY_COPIES,
    ) -> None:
        """Starts without connections.

        Args:
            handle: Handles a request.
            find_limits: Returns the limits of requests in force.
            memory: Budget that the connections of all listeners share.
            max_connections: Maximum number of open connections.
            body_copies: Copies of a body while its request is in service.
        """
        self.handle = handle
        self.find_limits = find_limits
        self.memory = memory
        self.body_copies = body_copies
        self.connections: set[ClientConnection] = set()
        self.slots: connection_slots.ConnectionSlots[ClientConnection] = (
            connection_slots.ConnectionSlots(limit=max_connections)
        )
        self.turns = loop_turns.LoopTurns()
        self.is_closing = False
        self.displaced_count = 0

    def add(self, connection: "ClientConnection") -> bool:
        """Adds a connection; another one may have to close.

        Returns:
            False if there is no room, as all others are in service.
        """
        while len(self.connections) >= self.slots.limit:
            self.displaced_count += 1
            victim = self.slots.pick_victim()
            if victim is None:
                return False
            # It counts until it is closed, unless it is removed here.
            self.remove(victim)
            victim.give_way()
        self.connections.add(connection)
        return True

    def remove(self, connection: "ClientConnection") -> None:
        """Removes a connection that is closed or about to be."""
        self.connections.discard(connection)
        self.slots.remove(connection)

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

    What it holds for its client is bounded in each phase: heads, bodies and
    trailers by the limits of requests, all together by the budget that the
    connections share. Bytes behind the request in service aren't parsed.

    Attributes:
        response_started: Whether any byte of the current response was
            written.
    """

    __slots__ = (
        "_answer_bytes",
        "_awaits_turn",
        "_body",
        "_body_bytes_left",
        "_chunked",
        "_deadline",
        "_give_up_answer",
        "_head_bytes",
        "_header_cost",
        "_headers",
        "_held_bytes",
        "_in_head",
        "_in_message",
        "_is_paused",
        "_is_used",
        "_is_waiting",
        "_keep_alive",
        "_last_byte_at",
        "_loop",
        "_parser",
        "_parts_in_turn",
        "_queued",
        "_queued_cost",
        "_reading_since",
        "_rejection",
        "_serving_cost",
        "_started_at",
        "_state",
        "_task",
        "_timer",
        "_trailer_bytes",
        "_transport",
        "_unparsed",
        "_unparsed_since",
        "_unsent_bytes",
        "_unsent_timer",
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
        self._queued: collections.deque[_QueuedRequest] = collections.deque()
        self._queued_cost = 0
        self._serving_cost = 0
        self._held_bytes = 0
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._deadline = 0.0
        self._writable = asyncio.Event()
        self._writable.set()
        self._unsent_bytes = 0
        self._unsent_timer: asyncio.TimerHandle | None = None
        self._rejection: errors.Refusal | None = None
        self._keep_alive = True
        self._chunked = False
        self._is_paused = False
        self._is_used = False
        # For a request, with its idle timeout running.
        self._is_waiting = False
        self.response_started = False
        self._unparsed = bytearray()
        self._unparsed_since = 0.0
        self._parts_in_turn = 0
        self._awaits_turn = False
        self._last_byte_at = 0.0
        self._answer_bytes = 0
        self._give_up_answer: abc.Callable[[], None] = self.abort
        self._trailer_bytes = 0
        self._reset_request()

    @property
    def is_idle(self) -> bool:
        """Whether no request is running, queued or partly received."""
        return self._task is None and not self._queued and not self._in_message

    @property
    def reclaimable_bytes(self) -> int:
        """Bytes that ``reclaim`` frees; see ``client_memory.Holder``."""
        if self._transport is None:
            return 0
        return max(self._count_unserved(), self._count_unsent())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection and starts its idle timeout."""
        self._transport = typing.cast(asyncio.Transport, transport)
        if not self._state.add(self):
            self._transport.abort()
            return
        self._update_held()
        self._enter_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the running request, as its client is gone."""
        del exc
        self._transport = None
        self._state.remove(self)
        self._stop_timer()
        self._stop_unsent_timer()
        self._unsent_bytes = 0
        self._writable.set()
        self._drop_unserved()
        if self._task is not None:
            self._task.cancel()
        self._update_held()

    def eof_received(self) -> bool:
        """Treats a half-closed connection as a disconnect."""
        return False

    def pause_writing(self) -> None:
        """Blocks writers while the send buffer is full."""
        self._writable.clear()
        self._watch_unsent()

    def resume_writing(self) -> None:
        """Unblocks the writers."""
        self._writable.set()
        self._stop_unsent_timer()
        self._unsent_bytes = 0
        self._update_held()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and rejects malformed or oversized requests."""
        if self._rejection is not None:
            return
        self._last_byte_at = self._loop.time()
        if self._is_serving() or self._awaits_turn:
            self._keep_unparsed(data)
            return
        self._parse(data)
        self._serve_next()

    def on_message_begin(self) -> None:
        """Starts reading a request."""
        self._in_message = True
        self._started_at = self._last_byte_at

    def on_url(self, url: bytes) -> None:
        """Appends a part of the URL."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; trailers after a body are ignored."""
        self._parts_in_turn += 1
        if self._in_head:
            self._headers.append((name.lower(), value))
            self._header_cost += _HEADER_BYTES + len(name) + len(value)

    def on_headers_complete(self) -> None:
        """Checks the request head and answers ``Expect: 100-continue``."""
        self._in_head = False
        limits = self._state.find_limits()
        size = len(self._url) + sum(len(n) + len(v) for n, v in self._headers)
        self._body_bytes_left = self._parse_content_length()
        if size > limits.header_bytes:
            self._reject(results.Code.HEADERS_TOO_LARGE, "head too large")
        elif self._parser.get_http_version() != "1.1":
            self._reject(results.Code.BAD_REQUEST, "only HTTP/1.1 is served")
        elif self._body_bytes_left > limits.body_bytes:
            self._reject(results.Code.BODY_TOO_LARGE, "body too large")
        elif not self._is_serving() and self._expects_continue():
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Adds a body chunk."""
        self._parts_in_turn += 1
        # Its size is checked once for all chunks that are parsed together.
        self._body += body

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
        request = _QueuedRequest(
            head=head,
            body=bytes(self._body),
            keep_alive=bool(self._parser.should_keep_alive()),
            head_cost=_REQUEST_BYTES + len(self._url) + self._header_cost,
        )
        self._queued.append(request)
        self._queued_cost += request.head_cost + len(request.body)
        self._reset_request()

    def record_answer_size(
        self, size_bytes: int, give_up: abc.Callable[[], None]
    ) -> None:
        """Records how much of a response is held before it is written.

        Args:
            size_bytes: Size of what is held.
            give_up: Called if that is too much for the budget; must end the
                reading of the response, but not the request.
        """
        self._answer_bytes = _ANSWER_COPIES * size_bytes
        self._give_up_answer = give_up
        self._update_held()

    def write_response(
        self, status: int, headers: abc.Iterable[relay.Header], body: bytes
    ) -> None:
        """Writes a complete response."""
        self._answer_bytes = 0
        head = self._encode_head(status, headers)
        self.response_started = True
        self._write(b"%scontent-length: %d\r\n\r\n" % (head, len(body)))
        self._write(body)

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
            if self._transport.get_write_buffer_size():
                self._watch_unsent()

    def abort(self) -> None:
        """Closes the connection at once.

        An unfinished response then ends in an error at the client and can't
        be taken for a complete one.
        """
        if self._transport is not None:
            self._transport.abort()

    def reclaim(self) -> None:
        """Gives up a request or response that is unfinished, or isn't read."""
        if self._count_unsent() <= self._count_unserved():
            self._turn_away("too much memory is held for clients")
        elif self._answer_bytes > self._unsent_bytes:
            self._answer_bytes = 0
            self._update_held()
            self._give_up_answer()
        else:
            self._unsent_bytes = 0
            self._update_held()
            self._loop.call_soon(self.abort)

    def give_way(self) -> None:
        """Closes for a new connection; see ``ListenerState.add``."""
        if self._transport is None or self._transport.get_write_buffer_size():
            self.abort()
        elif self.is_idle:
            self.close()
        else:
            self._turn_away("too many connections")

    def _turn_away(self, message: str) -> None:
        """Rejects all requests that aren't in service, and then closes."""
        self._drop_unserved()
        self._update_held()
        self._reject(results.Code.OVERLOADED, message, _RETRY_AFTER_MS)
        # Not at once, as this may be called while the connection parses.
        self._loop.call_soon(self._serve_next)

    def _is_serving(self) -> bool:
        return self._task is not None or bool(self._queued)

    def _keep_unparsed(self, data: bytes | memoryview) -> None:
        """Keeps bytes whose time to be parsed hasn't come."""
        if not self._unparsed:
            self._unparsed_since = self._last_byte_at
        self._unparsed += data
        if len(self._unparsed) > _MAX_UNPARSED_BYTES:
            self._pause_reading()
        self._update_held()

    def _parse_unparsed(self) -> None:
        """Parses the bytes that were kept."""
        data = bytes(self._unparsed)
        self._unparsed.clear()
        # Deadlines of clients count from when their bytes arrived.
        self._last_byte_at = self._unparsed_since
        self._parse(data)
        self._last_byte_at = self._loop.time()
        if len(self._unparsed) <= _MAX_UNPARSED_BYTES:
            self._resume_reading()

    def _parse(self, data: bytes) -> None:
        """Parses bytes until a request is whole; keeps the rest.

        Very many header lines or chunks are parsed in several turns.
        """
        view = memoryview(data)
        start = 0
        self._parts_in_turn = 0
        while start < len(view) and self._rejection is None:
            if self._queued:
                self._keep_unparsed(view[start:])
                break
            if self._parts_in_turn > _MAX_PARTS_PER_TURN:
                self._keep_unparsed(view[start:])
                self._awaits_turn = True
                self._state.turns.add(self._take_turn)
                break
            end = start + max(_SLICE_BYTES, self._body_bytes_left)
            self._parse_slice(view[start:end])
            start = end
            self._update_held()

    def _take_turn(self) -> None:
        self._awaits_turn = False
        self._serve_next()

    def _parse_slice(self, data: memoryview) -> None:
        body_bytes = len(self._body)
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
            self._check_size(len(data), len(self._body) - body_bytes)

    def _check_size(self, parsed_bytes: int, body_bytes: int) -> None:
        """Rejects a request that has grown too large.

        Args:
            parsed_bytes: Bytes that were just parsed.
            body_bytes: How many of them were added to the body.
        """
        limits = self._state.find_limits()
        header_limit = limits.header_bytes + _SLICE_BYTES
        if self._in_head:
            if self._head_bytes > header_limit:
                self._reject(results.Code.HEADERS_TOO_LARGE, "head too large")
            return
        self._body_bytes_left -= max(0, body_bytes)
        # Chunk headers and trailers, which aren't kept.
        self._trailer_bytes = (
            0 if body_bytes > 0 else self._trailer_bytes + parsed_bytes
        )
        if len(self._body) > limits.body_bytes:
            self._reject(results.Code.BODY_TOO_LARGE, "body too large")
        elif self._trailer_bytes > header_limit:
            self._reject(results.Code.HEADERS_TOO_LARGE, "trailers too large")

    def _pause_reading(self) -> None:
        if self._transport is not None and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._transport is not None and self._is_paused:
            self._is_paused = False
            self._transport.resume_reading()

    def _count_unserved(self) -> int:
        """Returns the bytes held for requests that aren't in service."""
        return (
            self._head_bytes
            + self._header_cost
            + len(self._body)
            + len(self._unparsed)
            + self._queued_cost
        )

    def _count_unsent(self) -> int:
        """Returns the bytes held of a response."""
        return self._answer_bytes + self._unsent_bytes

    def _update_held(self) -> None:
        """Reports to the budget what the connection holds now."""
        held = self._serving_cost
        if self._transport is not None:
            held += _CONNECTION_BYTES + self._count_unserved()
            held += self._count_unsent()
        change = held - self._held_bytes
        self._held_bytes = held
        self._state.memory.update(self, change)

    def _drop_unserved(self) -> None:
        """Drops all requests that aren't in service."""
        self._queued.clear()
        self._queued_cost = 0
        self._unparsed = bytearray()
        self._reset_request()

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def _encode_head(
        self, status: int, headers: abc.Iterable[relay.Header]
    ) -> bytes:
        if self._state.is_closing and not (self._queued or self._unparsed):
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
        self._in_message = False
        self._in_head = True
        self._head_bytes = 0
        self._headers: list[relay.Header] = []
        self._header_cost = 0
        self._url = b""
        self._body = bytearray()
        self._body_bytes_left = 0
        self._trailer_bytes = 0
        self._started_at = 0.0
        self._reading_since: float | None = None

    def _enter_idle(self) -> None:
        self._is_waiting = True
        self._state.slots.record_idle(self, is_used=self._is_used)
        self._set_deadline(
            self._loop.time() + self._state.find_limits().idle_timeout_s
        )

    def _enter_reading(self) -> None:
        """Sets the time by which more of the request must have arrived."""
        now = self._loop.time()
        if self._reading_since is None:
            # What came during an answer has its time from here on.
            self._reading_since = now
            self._is_waiting = False
            self._state.slots.record_reading(self)
        limits = self._state.find_limits()
        if self._in_head:
            deadline = self._reading_since + limits.header_timeout_s
        else:
            deadline = min(
                self._reading_since + limits.body_timeout_s,
                now + limits.idle_timeout_s,
            )
        self._set_deadline(deadline)

    def _set_deadline(self, deadline: float) -> None:
        """Sets the time at which the connection is closed.

        The timer isn't set anew while it fires early enough, since that would
        cost more than receiving the bytes.
        """
        self._deadline = deadline
        if self._timer is None or self._timer.when() > deadline:
            self._stop_timer()
            self._timer = self._loop.call_at(deadline, self._check_deadline)

    def _check_deadline(self) -> None:
        self._timer = None
        if self._loop.time() < self._deadline:
            self._set_deadline(self._deadline)
        elif self._in_message and not self._in_head:
            self._turn_away("the body is late")
        else:
            self.close()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _watch_unsent(self) -> None:
        """Aborts the connection if its client reads nothing for a time."""
        self._stop_unsent_timer()
        if self._transport is None:
            return
        size = self._transport.get_write_buffer_size()
        self._unsent_bytes = size
        self._unsent_timer = self._loop.call_later(
            self._state.find_limits().idle_timeout_s, self._check_unsent, size
        )
        self._update_held()

    def _check_unsent(self, size: int) -> None:
        if self._transport is None:
            return
        if self._transport.get_write_buffer_size() >= size:
            self.abort()
        else:
            self._watch_unsent()

    def _stop_unsent_timer(self) -> None:
        if self._unsent_timer is not None:
            self._unsent_timer.cancel()
            self._unsent_timer = None

    def _reject(
        self,
        code: results.Code,
        message: str,
        retry_after_ms: int | None = None,
    ) -> None:
        """Rejects the incoming request after the response in progress.

        What came before it and isn't in service is rejected as well.
        """
        self._rejection = errors.Refusal(
            code=code,
            ran=results.Ran.NO,
            message=message,
            retry_after_ms=retry_after_ms,
        )

    def _serve_next(self) -> None:
        """Starts the next queued request, or closes the connection."""
        if self._task is not None or self._transport is None:
            return
        if not self._keep_alive:
            # The last answer said so: the client knows that nothing which it
            # sent after that request is served.
            self.close()
            return
        if self._unparsed and not self._queued and not self._awaits_turn:
            self._parse_unparsed()
        if self._queued:
            self._start_task()
        elif self._rejection is not None:
            self._keep_alive = False
            self.write_rejection(self._rejection)
            self.close()
        elif self._state.is_closing and not self._in_message:
            # The head of the last answer may be from before the shutdown.
            self.close()
        elif self._in_message:
            self._enter_reading()
        elif not self._is_waiting:
            self._enter_idle()

    def _start_task(self) -> None:
        request = self._queued.popleft()
        body_bytes = len(request.body)
        self._queued_cost -= request.head_cost + body_bytes
        self._serving_cost = (
            request.head_cost + self._state.body_copies * body_bytes
        )
        self._keep_alive = request.keep_alive
        self.response_started = False
        self._is_used = True
        self._is_waiting = False
        self._state.slots.remove(self)
        self._stop_timer()
        self._update_held()
        self._task = self._loop.create_task(
            self._serve(request.head, request.body)
        )

    async def _serve(self, head: relay.ClientHead, body: bytes) -> None:
        try:
            await self._respond(head, body)
            # A client that doesn't read its responses gets no more of them.
            await self._writable.wait()
        finally:
            # The task would keep what a cancelled request held.
            self._task = None
        self._serve_next()

    async def _respond(self, head: relay.ClientHead, body: bytes) -> None:
        try:
            await self._state.handle(head, body, self)
        except Exception:  # noqa: BLE001 - the client must get a response
            _logger.exception("request_failed")
            if not self.response_started:
                # It is unknown whether the request ran at a target.
                self.write_rejection(_INTERNAL)
        finally:
            self._serving_cost = 0
            self._answer_bytes = 0
            self._update_held()
            if self._chunked or not self.response_started:
                # A response without its end must not look complete.
                self.abort()


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
