"""Client side of HTTP: one request and its response over a connection."""

import asyncio
from collections import abc
import functools
import typing

import httptools

from mothpass.adapters import loop_turns
from mothpass.core import errors

# Bytes buffered and not yet read above which reading is paused.
MAX_BUFFERED_BYTES = 262_144
# Bytes of an exchange that are no body of its response: heads, interim
# responses, framing and trailers, and late responses to earlier requests.
MAX_OVERHEAD_BYTES = 262_144
# Bytes received and not yet parsed above which reading is paused.
_MAX_UNPARSED_BYTES = 65_536
# Header lines, heads and pieces of bodies parsed before other connections get
# their turn.
_MAX_PARTS_PER_TURN = 500
# Bytes parsed at a time: where the last ones held many parts, and otherwise.
_SMALL_SLICE_BYTES = 1024
_LARGE_SLICE_BYTES = 16_384
_MAX_PARTS_PER_LARGE_SLICE = 8
# Time in which a busy event loop gets to read what has arrived, before a
# deadline takes it for missing.
_POLL_S = 0.005
# Framing that a piece of a body may have in addition.
_PIECE_OVERHEAD_BYTES = 64
# Statuses whose responses have no body, whatever their headers say.
_BODILESS_STATUSES = (204, 304)

# Returns whether a response, by its status and headers, is for the request.
AcceptsResponse = abc.Callable[[int, list[tuple[bytes, bytes]]], bool]


def accept_any(status: int, headers: list[tuple[bytes, bytes]]) -> bool:
    """Accepts every response as the one for the request."""
    del status, headers
    return True


class Exchange:
    """The response to one request, as far as it has arrived.

    Attributes:
        status: HTTP status, 0 until all headers have arrived.
        headers: Response headers, names in lower case.
        complete: Whether the whole body has arrived.
        response_started: Whether any byte of a response has arrived.
        content_ended: Whether the reader has all it needs, although the end
            of the HTTP message may still be outstanding.
        header_list: All headers in order, names in lower case.
        last_byte_at: Event-loop time at which bytes last arrived.
        read_until_close: Whether the end of the connection ends the body.
        body_bytes: Bytes of the body that have arrived.
    """

    __slots__ = (
        "_buffered_bytes",
        "_chunks",
        "_deadline",
        "_failure",
        "_loop",
        "_on_failure",
        "_pause_reading",
        "_reader",
        "_resume_reading",
        "_silence_deadline",
        "_silence_s",
        "_timer",
        "body_bytes",
        "complete",
        "content_ended",
        "header_list",
        "headers",
        "last_byte_at",
        "read_until_close",
        "response_started",
        "status",
    )

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        silence_ms: int | None,
        deadline: float,
        pause_reading: abc.Callable[[], None],
        resume_reading: abc.Callable[[], None],
        on_failure: abc.Callable[[], None],
    ) -> None:
        """Starts waiting for the response.

        Args:
            loop: The running event loop.
            silence_ms: Longest time without a byte, in milliseconds; None for
                no limit but the deadline.
            deadline: Event-loop time at which the exchange fails.
            pause_reading: Stops reading from the connection.
            resume_reading: Starts reading again.
            on_failure: Called when the exchange fails.
        """
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.header_list: list[tuple[bytes, bytes]] = []
        self.last_byte_at = loop.time()
        self.read_until_close = False
        self.complete = False
        self.response_started = False
        self.content_ended = False
        self.body_bytes = 0
        self._loop = loop
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0
        self._failure: errors.MothpassError | None = None
        self._reader: asyncio.Future[None] | None = None
        self._pause_reading = pause_reading
        self._resume_reading = resume_reading
        self._on_failure = on_failure
        self._deadline = deadline
        self._silence_s = (
            float("inf") if silence_ms is None else silence_ms / 1000
        )
        self._silence_deadline = loop.time() + self._silence_s
        self._timer = loop.call_at(
            min(self._silence_deadline, deadline), self._check_deadlines
        )

    @property
    def framing(self) -> str:
        """What ends the body: ``length``, ``chunks``, ``close`` or ``none``.

        It is empty until all headers have arrived.
        """
        if not self.status:
            return ""
        if self.read_until_close:
            return "close"
        if b"transfer-encoding" in self.headers:
            return "chunks"
        return "length" if b"content-length" in self.headers else "none"

    @property
    def has_ended(self) -> bool:
        """Whether the response is complete or the exchange has failed."""
        return self.complete or self._failure is not None

    @property
    def is_paused(self) -> bool:
        """Whether unread bytes have paused reading from the connection."""
        return self._buffered_bytes > MAX_BUFFERED_BYTES

    async def wait_for_progress(self) -> None:
        """Waits until body bytes can be read or the response is complete.

        Returns at once while unread bytes are buffered. Also returns when
        headers have arrived without a body.

        Raises:
            errors.TargetSilentError: If the response started and then stalled.
            errors.TargetAnswerLostError: If the response is lost.
        """
        if self._chunks or self.complete:
            return
        if self._failure is None:
            self._reader = self._loop.create_future()
            try:
                await self._reader
            finally:
                self._reader = None
        if self._failure is not None and not self._chunks:
            raise self._failure

    @property
    def has_unread(self) -> bool:
        """Whether body bytes have arrived that weren't read yet."""
        return bool(self._chunks)

    def read_available(self, max_bytes: int | None = None) -> bytes:
        """Returns the body bytes that arrived since the last call.

        Args:
            max_bytes: Most bytes to return; None for all.
        """
        chunks = self._chunks
        if not chunks:
            return b""
        data = chunks[0] if len(chunks) == 1 else b"".join(chunks)
        rest = b"" if max_bytes is None else data[max_bytes:]
        self._chunks = [rest] if rest else []
        was_paused = self.is_paused
        self._buffered_bytes = len(rest)
        if was_paused and not self.is_paused:
            self._resume_reading()
        return data[:max_bytes]

    def set_timeouts(self, *, silence_s: float, deadline: float) -> None:
        """Replaces the silence timeout and the deadline.

        Args:
            silence_s: Longest time without a byte, in seconds, counted from
                the last byte received.
            deadline: Event-loop time at which the exchange fails.
        """
        self._silence_s = silence_s
        self._silence_deadline = self.last_byte_at + silence_s
        self._deadline = deadline
        self._timer.cancel()
        self._timer = self._loop.call_at(
            min(self._silence_deadline, deadline), self._check_deadlines
        )

    def close(self) -> None:
        """Cancels the timer and drops unread bytes.

        The exchange can't be awaited afterwards.
        """
        self._timer.cancel()
        self._chunks = []

    def fail(self, failure: errors.MothpassError) -> None:
        """Fails the exchange, unless the response is complete."""
        if self.complete or self._failure is not None:
            return
        self._failure = failure
        self.wake_reader()
        self._on_failure()

    def set_status(self, status: int) -> None:
        """Sets the status after all headers have arrived."""
        self.status = status

    def append_body(self, chunk: bytes) -> None:
        """Buffers body bytes; pauses reading above the limit."""
        self._chunks.append(chunk)
        self.body_bytes += len(chunk)
        self._buffered_bytes += len(chunk)
        if self.is_paused:
            self._pause_reading()

    def mark_complete(self) -> None:
        """Marks the response as complete, unless the exchange has failed."""
        if self._failure is None:
            self.complete = True

    def record_progress(self) -> None:
        """Restarts the silence timeout after bytes have arrived.

        Bytes of a head that isn't whole are no progress.
        """
        self.response_started = True
        self.last_byte_at = self._loop.time()
        if self.status:
            self._silence_deadline = self.last_byte_at + self._silence_s

    def wake_reader(self) -> None:
        """Wakes the task in ``wait_for_progress``."""
        reader = self._reader
        if reader is not None and not reader.done():
            reader.set_result(None)

    def _check_deadlines(self, is_polled: bool = False) -> None:
        """Fails a silent or late exchange; otherwise restarts the timer.

        The timer isn't reset for each byte, since that would cost more than
        receiving the byte.

        Args:
            is_polled: Whether what had arrived by the deadline has been read.
        """
        now = self._loop.time()
        if self._chunks:
            # The reader is slow, not the target.
            self._silence_deadline = now + self._silence_s
        next_deadline = min(self._silence_deadline, self._deadline)
        if now < next_deadline:
            self._timer = self._loop.call_at(
                next_deadline, self._check_deadlines
            )
        elif not is_polled:
            self._timer = self._loop.call_later(
                _POLL_S, functools.partial(self._check_deadlines, True)
            )
        elif now >= self._deadline:
            self.fail(
                errors.TargetAnswerLostError("no response before the deadline")
            )
        elif self.status:
            self.fail(errors.TargetSilentError("response stalled"))
        else:
            self.fail(errors.TargetAnswerLostError("no response"))


class Connection(asyncio.Protocol):
    """HTTP connection that carries one exchange at a time.

    Attributes:
        idle_deadline: Event-loop time after which it isn't reused.
        exchange_count: Exchanges that it has carried.
    """

    __slots__ = (
        "_accepts_response",
        "_awaits_turn",
        "_exchange",
        "_has_ended",
        "_headers",
        "_is_paused",
        "_keep_alive",
        "_loop",
        "_loss",
        "_on_message_end",
        "_overhead_bytes",
        "_parser",
        "_parts",
        "_skips_message",
        "_slice_bytes",
        "_transport",
        "_turns",
        "_unparsed",
        "exchange_count",
        "idle_deadline",
    )

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        turns: loop_turns.LoopTurns | None = None,
    ) -> None:
        """Initializes a connection that isn't open yet.

        Args:
            loop: The running event loop.
            turns: Turns that connections with much to parse share; None for
                turns of its own.
        """
        self._loop = loop
        self._turns = loop_turns.LoopTurns() if turns is None else turns
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: Exchange | None = None
        self._on_message_end: abc.Callable[[], None] | None = None
        self._keep_alive = False
        self._accepts_response: AcceptsResponse = accept_any
        self._headers: list[tuple[bytes, bytes]] = []
        self._skips_message = False
        self._overhead_bytes = 0
        self._unparsed = b""
        self._awaits_turn = False
        self._is_paused = False
        self._parts = 0
        self._slice_bytes = _SMALL_SLICE_BYTES
        # Whether the target has closed its side, and the error if it did so
        # by a reset.
        self._has_ended = False
        self._loss: Exception | None = None
        self.idle_deadline = 0.0
        self.exchange_count = 0

    def send(
        self,
        request: bytes,
        *,
        silence_ms: int | None,
        deadline: float,
        accepts_response: AcceptsResponse = accept_any,
    ) -> Exchange:
        """Writes a request and returns the exchange that receives its response.

        Args:
            request: Encoded head and body.
            silence_ms: Longest time without a byte, in milliseconds; None for
                no limit but the deadline.
            deadline: Event-loop time at which the exchange fails.
            accepts_response: Returns whether a response is for this request;
                others are skipped, as a target may respond late to an earlier
                request.

        Raises:
            errors.TargetUnreachableError: If the connection was lost before
                any byte was written.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            raise errors.TargetUnreachableError(
                "connection lost, request not sent"
            )
        self.exchange_count += 1
        self._overhead_bytes = 0
        self._accepts_response = accepts_response
        self._exchange = Exchange(
            loop=self._loop,
            silence_ms=silence_ms,
            deadline=deadline,
            pause_reading=self._update_reading,
            resume_reading=self._update_reading,
            on_failure=self._run_message_end_callback,
        )
        transport.write(request)
        return self._exchange

    def call_on_message_end(self, callback: abc.Callable[[], None]) -> bool:
        """Calls back when the rest of the message has arrived or is lost.

        Returns:
            False, without setting the callback, if nothing is outstanding.
        """
        exchange = self._exchange
        if exchange is None or exchange.has_ended or not self.is_open():
            return False
        if not exchange.content_ended:
            return False
        self._on_message_end = callback
        return True

    def finish(self) -> bool:
        """Ends the exchange; returns whether the connection is reusable."""
        exchange = self._exchange
        self._exchange = None
        if exchange is None:
            return False
        # What is left is behind the response, and belongs to no request. A
        # paused connection receives no further response.
        is_reusable = (
            exchange.complete and not exchange.is_paused and not self._unparsed
        )
        self._unparsed = b""
        exchange.close()
        return is_reusable and self._keep_alive and self.is_open()

    def is_open(self) -> bool:
        """Returns whether the connection is open, as far as is known."""
        return self._transport is not None and not self._transport.is_closing()

    def close(self) -> None:
        """Closes the connection at once, without waiting for the peer."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        # uvloop's transports don't inherit from those of asyncio.
        self._transport = typing.cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the exchange in progress, once all that came is parsed."""
        self._transport = None
        self._has_ended = True
        self._loss = exc
        if not self._unparsed:
            self._end_exchange()

    def eof_received(self) -> bool:
        """Handles the end of the stream.

        Returns:
            Whether the transport stays open, as there is more to parse.
        """
        self._has_ended = True
        if self._unparsed:
            return True
        self._complete_at_close()
        return False

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and wakes the reader."""
        if self._exchange is None:
            # Bytes that belong to no request: the connection can't be trusted.
            self.close()
            return
        self._exchange.record_progress()
        if self._unparsed:
            self._unparsed += data
            self._update_reading()
        else:
            self._parse(data)

    def _parse(self, data: bytes) -> None:
        """Parses what one turn allows and keeps the rest for the next one."""
        exchange = self._exchange
        assert exchange is not None
        view = memoryview(data)
        start = 0
        failure = None
        self._parts = 0
        while (
            start < len(view)
            and self._parts <= _MAX_PARTS_PER_TURN
            and failure is None
            and not exchange.complete
            and not exchange.is_paused
        ):
            end = start + self._slice_bytes
            failure = self._parse_slice(view[start:end])
            start = end
        self._unparsed = b"" if failure else bytes(view[start:])
        if failure is not None:
            # A complete response stays one, whatever comes behind it.
            exchange.fail(errors.TargetAnswerLostError(failure))
            self.close()
        self._update_reading()
        exchange.wake_reader()
        if exchange.complete:
            self._run_message_end_callback()

    def _parse_slice(self, data: memoryview) -> str | None:
        """Parses bytes; returns what is wrong with them, if anything."""
        parts = self._parts
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return "response is not HTTP"
        has_many_parts = self._parts - parts > _MAX_PARTS_PER_LARGE_SLICE
        self._slice_bytes = (
            _SMALL_SLICE_BYTES if has_many_parts else _LARGE_SLICE_BYTES
        )
        # A body may not earn room for trailers.
        self._overhead_bytes = max(0, self._overhead_bytes)
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            return f"over {MAX_OVERHEAD_BYTES} bytes that are no body"
        return None

    def _take_turn(self) -> None:
        self._awaits_turn = False
        exchange = self._exchange
        if exchange is None or exchange.complete or not self._unparsed:
            return
        # Bytes that had to wait here are no silence of the target.
        exchange.record_progress()
        self._parse(self._unparsed)
        if self._has_ended and not self._unparsed:
            self._end_exchange()

    def _update_reading(self) -> None:
        """Reads on, and parses on, unless too much waits for that."""
        exchange = self._exchange
        is_full = exchange is not None and exchange.is_paused
        if (
            exchange is not None
            and self._unparsed
            and not (is_full or exchange.complete or self._awaits_turn)
        ):
            self._awaits_turn = True
            self._turns.add(self._take_turn)
        is_paused = is_full or len(self._unparsed) > _MAX_UNPARSED_BYTES
        if self._transport is None or is_paused == self._is_paused:
            return
        self._is_paused = is_paused
        if is_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _end_exchange(self) -> None:
        """Ends the exchange as the target has closed the connection."""
        if self._loss is None:
            self._complete_at_close()
        if self._transport is not None:
            self._transport.close()
            return
        if self._exchange is not None:
            reason = f"connection lost: {self._loss or 'closed by the target'}"
            self._exchange.fail(errors.TargetAnswerLostError(reason))
        self._run_message_end_callback()

    def on_message_begin(self) -> None:
        """Starts a response; a second one belongs to no request."""
        self._parts += 1
        self._headers = []
        self._skips_message = False
        if self._exchange is None or self._exchange.complete:
            self._keep_alive = False
            self._skips_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header of the response."""
        self._parts += 1
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Records status and headers, or skips the response."""
        exchange = self._exchange
        status = self._parser.get_status_code()
        if self._skips_message or exchange is None or status < 200:
            # The final response follows an interim one.
            self._skips_message = True
            return
        if not self._accepts_response(status, self._headers):
            self._skips_message = True
            return
        if not _is_transfer_coding_known(self._headers):
            self._skips_message = True
            exchange.fail(
                errors.TargetAnswerLostError("unknown transfer coding")
            )
            return
        exchange.headers = dict(self._headers)
        exchange.header_list = self._headers
        exchange.set_status(status)
        exchange.read_until_close = _is_read_until_close(
            status, exchange.headers
        )
        # The parser drops this at the end of the message.
        self._keep_alive = bool(self._parser.should_keep_alive())

    def on_body(self, body: bytes) -> None:
        """Passes a body chunk to the exchange."""
        self._parts += 1
        if self._exchange is not None and not self._skips_message:
            self._overhead_bytes -= len(body) + _PIECE_OVERHEAD_BYTES
            self._exchange.append_body(body)

    def on_message_complete(self) -> None:
        """Marks the response as complete."""
        if self._exchange is not None and not self._skips_message:
            self._exchange.mark_complete()

    def _complete_at_close(self) -> None:
        """Completes a response whose body ends with the connection."""
        exchange = self._exchange
        if (
            exchange is not None
            and exchange.read_until_close
            and not self._skips_message
        ):
            exchange.mark_complete()
            exchange.wake_reader()

    def _run_message_end_callback(self) -> None:
        callback = self._on_message_end
        self._on_message_end = None
        if callback is not None:
            callback()


def _is_transfer_coding_known(headers: list[tuple[bytes, bytes]]) -> bool:
    """Returns whether a body is sent as it is or in chunks."""
    codings = [
        value.strip().lower()
        for name, value in headers
        if name == b"transfer-encoding"
    ]
    return codings in ([], [b"chunked"])


def _is_read_until_close(status: int, headers: dict[bytes, bytes]) -> bool:
    """Returns whether a response has neither a length nor chunks."""
    return (
        status not in _BODILESS_STATUSES
        and b"content-length" not in headers
        and b"transfer-encoding" not in headers
    )
