"""One HTTP request and its answer over a connection to a target."""

import asyncio
from collections import abc
import typing

import httptools

from mothpass.core import errors

# Bytes received and not yet taken at which reading is paused.
UNREAD_LIMIT_BYTES = 262_144
# Answers without a body, whatever their headers say.
_BODILESS = (204, 304)

# Tells by status and headers whether an answer belongs to the request.
AcceptsHead = abc.Callable[[int, list[tuple[bytes, bytes]]], bool]


def accept_any(status: int, headers: list[tuple[bytes, bytes]]) -> bool:
    """Takes each answer for that of the request."""
    del status, headers
    return True


class Exchange:
    """The answer to one request, as far as it has arrived.

    Attributes:
        status: HTTP status, 0 until the headers are whole.
        headers: Headers of the answer, names in lower case.
        complete: Whether the body has arrived whole.
        answered: Whether any byte of an answer has arrived.
        content_ended: Whether the reader needs nothing more, though the end
            of the HTTP message may be still to come.
        header_list: All headers in order, names in lower case.
        heard_at: Time of the loop at which bytes last arrived.
        ends_with_connection: Whether the body ends where the target closes.
    """

    __slots__ = (
        "_chunks",
        "_deadline",
        "_failure",
        "_loop",
        "_pause",
        "_quiet_deadline",
        "_resume",
        "_silence_s",
        "_timer",
        "_unread",
        "_waiter",
        "response_started",
        "complete",
        "content_ended",
        "read_until_close",
        "header_list",
        "headers",
        "last_byte_at",
        "status",
    )

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        silence_ms: int | None,
        deadline: float,
        pause: abc.Callable[[], None],
        resume: abc.Callable[[], None],
    ) -> None:
        """Starts to wait for an answer.

        Args:
            loop: The running loop.
            silence_ms: Time without a byte after which the wait fails, None
                for no bound but the deadline.
            deadline: Time of the loop after which the wait fails.
            pause: Stops reading from the connection.
            resume: Starts reading again.
        """
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.header_list: list[tuple[bytes, bytes]] = []
        self.last_byte_at = loop.time()
        self.read_until_close = False
        self.complete = False
        self.response_started = False
        self.content_ended = False
        self._loop = loop
        self._chunks: list[bytes] = []
        self._unread = 0
        self._failure: errors.MothpassError | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._pause = pause
        self._resume = resume
        self._deadline = deadline
        self._silence_s = (
            float("inf") if silence_ms is None else silence_ms / 1000
        )
        self._quiet_deadline = loop.time() + self._silence_s
        self._timer = loop.call_at(
            min(self._quiet_deadline, deadline), self._check_time
        )

    async def wait_for_progress(self) -> None:
        """Waits until bytes have arrived that weren't taken, or the end.

        Returns at once while there are such bytes. Also returns when only
        headers have arrived.

        Raises:
            errors.TargetSilentError: If the target answered and went quiet.
            errors.TargetAnswerLostError: If the answer is lost.
        """
        if self._chunks or self.complete:
            return
        if self._failure is None:
            self._waiter = self._loop.create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        if self._failure is not None and not self._chunks:
            raise self._failure

    def read_available(self) -> bytes:
        """Returns the body's bytes that arrived since the last call."""
        chunks = self._chunks
        if not chunks:
            return b""
        self._chunks = []
        if self._unread > UNREAD_LIMIT_BYTES:
            self._resume()
        self._unread = 0
        return chunks[0] if len(chunks) == 1 else b"".join(chunks)

    def close(self) -> None:
        """Stops the timer; nothing may be waited for after this."""
        self._timer.cancel()

    def fail(self, failure: errors.MothpassError) -> None:
        """Ends the exchange, unless the answer is complete."""
        if self.complete or self._failure is not None:
            return
        self._failure = failure
        self.wake()

    def receive_start(self, status: int) -> None:
        """Takes the status, once all headers have arrived."""
        self.status = status

    def receive_body(self, chunk: bytes) -> None:
        """Takes bytes of the body."""
        self._chunks.append(chunk)
        self._unread += len(chunk)
        if self._unread > UNREAD_LIMIT_BYTES:
            self._pause()

    def receive_end(self) -> None:
        """Notes that the answer is complete."""
        self.complete = True

    def note_progress(self) -> None:
        """Notes that bytes have arrived."""
        self.response_started = True
        self.last_byte_at = self._loop.time()
        self._quiet_deadline = self.last_byte_at + self._silence_s

    def wake(self) -> None:
        """Lets the waiting reader go on."""
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _check_time(self) -> None:
        """Fails a quiet or late exchange; else looks again later.

        The timer isn't moved with each byte, since that would cost more than
        taking the byte.
        """
        now = self._loop.time()
        until = min(self._quiet_deadline, self._deadline)
        if now < until:
            self._timer = self._loop.call_at(until, self._check_time)
        elif now >= self._deadline:
            self.fail(errors.TargetAnswerLostError("no answer in time"))
        elif self.status:
            self.fail(errors.TargetSilentError("no progress"))
        else:
            self.fail(errors.TargetAnswerLostError("no answer"))


class Connection(asyncio.Protocol):
    """A connection that carries one exchange at a time.

    Attributes:
        idle_deadline: Monotonic seconds after which it isn't used again.
        used: Exchanges that it has carried.
    """

    __slots__ = (
        "_accepts",
        "_exchange",
        "_headers",
        "_loop",
        "_may_keep",
        "_on_end",
        "_parser",
        "_skips",
        "_transport",
        "idle_deadline",
        "exchange_count",
    )

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        """Is bound to its transport by ``connection_made``."""
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: Exchange | None = None
        self._on_end: abc.Callable[[], None] | None = None
        self._may_keep = False
        self._accepts: AcceptsHead = accept_any
        self._headers: list[tuple[bytes, bytes]] = []
        self._skips = False
        self.idle_deadline = 0.0
        self.exchange_count = 0

    def send(
        self,
        request: bytes,
        *,
        silence_ms: int | None,
        deadline: float,
        accepts: AcceptsHead = accept_any,
    ) -> Exchange:
        """Writes a request and returns the exchange that its answer fills.

        Args:
            request: Head and body.
            silence_ms: Time without a byte after which the wait fails.
            deadline: Time of the loop after which the wait fails.
            accepts: Tells which answer is that of this request; others are
                passed over, as a target may answer an earlier request late.

        Raises:
            errors.TargetUnreachableError: If the connection was lost before
                any byte was written.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            raise errors.TargetUnreachableError("connection lost, not sent")
        self.exchange_count += 1
        self._accepts = accepts
        self._exchange = Exchange(
            loop=self._loop,
            silence_ms=silence_ms,
            deadline=deadline,
            pause=transport.pause_reading,
            resume=transport.resume_reading,
        )
        transport.write(request)
        return self._exchange

    def await_end(self, on_end: abc.Callable[[], None]) -> bool:
        """Calls back when the rest of the message has arrived, or never can.

        Returns:
            False, without a call back, if there is nothing to wait for.
        """
        exchange = self._exchange
        if exchange is None or exchange.complete or not self.is_open():
            return False
        if not exchange.content_ended:
            return False
        self._on_end = on_end
        return True

    def finish(self) -> bool:
        """Ends the exchange; tells whether the connection may carry another."""
        exchange = self._exchange
        self._exchange = None
        if exchange is None:
            return False
        exchange.close()
        return exchange.complete and self._may_keep and self.is_open()

    def is_open(self) -> bool:
        """Tells whether the connection is open as far as is known."""
        return self._transport is not None and not self._transport.is_closing()

    def close(self) -> None:
        """Closes the connection at once, without waiting for the target."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        # uvloop's transports don't inherit from those of asyncio.
        self._transport = typing.cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the exchange that was running."""
        self._transport = None
        exchange = self._exchange
        if exchange is not None and exc is None:
            self._end_with_connection(exchange)
        if self._exchange is not None:
            reason = f"connection lost: {exc or 'closed by the target'}"
            self._exchange.fail(errors.TargetAnswerLostError(reason))
        self._call_on_end()

    def data_received(self, data: bytes) -> None:
        """Parses what arrived and wakes the reader once."""
        exchange = self._exchange
        if exchange is None:
            # Nothing was asked, so the connection can't be trusted further.
            self.close()
            return
        exchange.note_progress()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            exchange.fail(errors.TargetAnswerLostError("answer isn't HTTP"))
            self.close()
            return
        exchange.wake()
        if exchange.complete:
            self._call_on_end()

    def on_message_begin(self) -> None:
        """Starts an answer; a second one belongs to no request."""
        self._headers = []
        self._skips = False
        if self._exchange is None or self._exchange.complete:
            self._may_keep = False
            self._skips = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header from the parser."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Takes the end of the headers from the parser."""
        exchange = self._exchange
        status = self._parser.get_status_code()
        if self._skips or exchange is None or status < 200:
            # Interim answers are followed by the one that counts.
            self._skips = True
            return
        if not self._accepts(status, self._headers):
            self._skips = True
            return
        exchange.headers = dict(self._headers)
        exchange.header_list = self._headers
        exchange.receive_start(status)
        exchange.read_until_close = _ends_with_connection(
            status, exchange.headers
        )
        # The parser forgets this with the end of the message.
        self._may_keep = bool(self._parser.should_keep_alive())

    def on_body(self, body: bytes) -> None:
        """Takes a part of the body from the parser."""
        if self._exchange is not None and not self._skips:
            self._exchange.receive_body(body)

    def on_message_complete(self) -> None:
        """Takes the end of the answer from the parser."""
        if self._exchange is not None and not self._skips:
            self._exchange.receive_end()

    def eof_received(self) -> bool:
        """Takes the target's end of the connection."""
        if self._exchange is not None:
            self._end_with_connection(self._exchange)
        return False

    def _end_with_connection(self, exchange: Exchange) -> None:
        """Completes an answer that has no other end than the connection's."""
        if exchange.read_until_close and not self._skips:
            exchange.receive_end()
            exchange.wake()

    def _call_on_end(self) -> None:
        on_end = self._on_end
        self._on_end = None
        if on_end is not None:
            on_end()


def _ends_with_connection(status: int, headers: dict[bytes, bytes]) -> bool:
    """Tells whether an answer has neither a length nor chunks."""
    if status in _BODILESS or b"content-length" in headers:
        return False
    return b"chunked" not in headers.get(b"transfer-encoding", b"").lower()
