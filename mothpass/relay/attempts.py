"""Sends a request to one target and hands its answer to the client."""

import asyncio
from collections import abc
import enum

import msgspec

from mothpass.adapters import http_exchanges
from mothpass.adapters import http_fetch
from mothpass.adapters import http_pool
from mothpass.adapters import relay_listener
from mothpass.core import errors
from mothpass.core import server_sent_events
from mothpass.core import target_table
from mothpass.ports import relay

# Targets close idle connections after a time that they state in whole
# seconds; one that is about to be closed isn't used again.
IDLE_MARGIN_S = 1.0
# Where a target doesn't state it.
DEFAULT_IDLE_S = 2.0
_EVENT_STREAM = b"text/event-stream"


class End(enum.StrEnum):
    """How an attempt ended.

    DELIVERED: the client has the whole answer. NOT_RUN: the target, or the
    connection, shows that the request didn't run. FAILED: the target answered
    that it failed. LOST: nobody knows whether it ran. BROKEN: its stream broke
    after the client got a part of it.
    """

    DELIVERED = "delivered"
    NOT_RUN = "not_run"
    FAILED = "failed"
    LOST = "lost"
    BROKEN = "broken"


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of an attempt.

    Attributes:
        end: How it ended.
        reason: What happened, for logs.
        status: Status of the answer, 0 for none.
        is_reached: Whether the target can be reached, as far as is known.
        is_cut: Whether the target broke off the connection.
        head: Head of an answer that wasn't delivered.
        body: Its body.
    """

    end: End
    reason: str = ""
    status: int = 0
    is_reached: bool = True
    is_cut: bool = False
    head: relay.AnswerHead | None = None
    body: bytes = b""


class Delivery:
    """What the client of a request has been sent so far.

    Attributes:
        client: Connection of the client.
        position: Id of the last event that the client has, None for none.
        is_streaming: Whether the head of a stream was sent.
        first_at: Time of the loop of the first bytes sent, None before.
        longest_gap_s: Longest pause between the bytes sent.
    """

    __slots__ = (
        "_sent_at",
        "client",
        "first_at",
        "is_streaming",
        "longest_gap_s",
        "position",
    )

    def __init__(
        self,
        *,
        client: relay_listener.ClientConnection,
        position: int | None,
    ) -> None:
        """Starts with nothing sent."""
        self.client = client
        self.position = position
        self.is_streaming = False
        self.first_at: float | None = None
        self.longest_gap_s = 0.0
        self._sent_at = 0.0

    def note_sent(self) -> None:
        """Keeps the times of bytes that the client is sent now."""
        now = asyncio.get_running_loop().time()
        if self.first_at is None:
            self.first_at = now
        else:
            gap_s = now - self._sent_at
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self._sent_at = now


class Attempt(msgspec.Struct, frozen=True, kw_only=True):
    """One send of a request.

    Attributes:
        request: The request.
        target: Where it goes.
        data: Bytes of the request as the target gets it.
        deadline: Monotonic seconds at which to stop waiting.
        silence_s: Time without a byte after which it is given up; None to
            wait until the deadline.
        fresh: Whether it needs a new connection.
        most_idle: Idle connections that may be kept to the target.
        on_event: Called with the id of each event that was handed on.
    """

    request: relay.Request
    target: target_table.Target
    data: bytes
    deadline: float
    silence_s: float | None
    fresh: bool
    most_idle: int
    on_event: abc.Callable[[int], None]


class Sender:
    """Makes attempts over one pool of connections."""

    __slots__ = ("_pool", "_read_head")

    def __init__(
        self, *, pool: http_pool.ConnectionPool, read_head: relay.ReadAnswerHead
    ) -> None:
        """Keeps its parts."""
        self._pool = pool
        self._read_head = read_head

    async def send(self, attempt: Attempt, delivery: Delivery) -> Outcome:
        """Sends a request and hands the answer on."""
        address = attempt.target.registration.address
        try:
            connection = await self._pool.acquire(address, fresh=attempt.fresh)
        except errors.TargetUnreachableError as error:
            return Outcome(end=End.NOT_RUN, reason=str(error), is_reached=False)
        is_kept = connection.exchange_count > 0
        idle_s = 0.0
        exchange = None
        try:
            exchange = self._start(attempt, connection)
            head = await self._wait_for_head(attempt, exchange)
            idle_s = _find_idle_time(head)
            return await self._deliver(attempt, exchange, head, delivery)
        except errors.TargetUnreachableError as error:
            return Outcome(end=End.NOT_RUN, reason=str(error))
        except errors.TargetAnswerLostError as error:
            is_cut = not connection.is_open()
            return Outcome(
                end=End.BROKEN if delivery.is_streaming else End.LOST,
                reason=str(error),
                is_reached=is_cut
                or exchange is None
                or exchange.response_started,
                # A kept connection that the target closes shows nothing.
                is_cut=is_cut and not is_kept,
            )
        finally:
            self._pool.release(
                address,
                connection,
                idle_s=idle_s,
                most_idle=attempt.most_idle,
            )

    def _start(
        self, attempt: Attempt, connection: http_exchanges.Connection
    ) -> http_exchanges.Exchange:
        request_id = attempt.request.id

        def accepts_response(status: int, headers: list[relay.Header]) -> bool:
            head = self._read_head(status, tuple(headers))
            if head.request_id is None:
                # Refusals of a target that has read no more than the head.
                return (
                    head.execution_state is not relay.ExecutionState.RAN
                    or not request_id
                )
            return head.request_id == request_id

        silence = attempt.silence_s
        return connection.send(
            attempt.data,
            silence_ms=None if silence is None else int(silence * 1000),
            deadline=attempt.deadline,
            accepts_response=accepts_response,
        )

    async def _wait_for_head(
        self, attempt: Attempt, exchange: http_exchanges.Exchange
    ) -> relay.AnswerHead:
        while not exchange.status:
            await exchange.wait_for_progress()
        attempt.target.last_byte_at = exchange.last_byte_at
        return self._read_head(exchange.status, tuple(exchange.header_list))

    async def _deliver(
        self,
        attempt: Attempt,
        exchange: http_exchanges.Exchange,
        head: relay.AnswerHead,
        delivery: Delivery,
    ) -> Outcome:
        if head.status == 200 and _is_event_stream(head):
            return await self._pass_stream(attempt, exchange, head, delivery)
        body = await http_fetch.read_body(exchange)
        attempt.target.last_byte_at = exchange.last_byte_at
        if head.execution_state is relay.ExecutionState.NOT_RUN:
            reason = "other target" if head.is_other_target else "refused"
            return Outcome(
                end=End.NOT_RUN,
                reason=f"{reason} with {head.status}",
                status=head.status,
                is_reached=not head.is_other_target,
            )
        if delivery.is_streaming:
            # A stream goes on with a stream or not at all.
            return Outcome(end=End.BROKEN, reason=f"status {head.status}")
        fault = _find_fault(head)
        if fault is not None:
            return Outcome(
                end=fault,
                reason=f"status {head.status}",
                status=head.status,
                head=head,
                body=body,
            )
        delivery.note_sent()
        delivery.client.write_response(head.status, head.headers, body)
        return Outcome(end=End.DELIVERED, status=head.status)

    async def _pass_stream(
        self,
        attempt: Attempt,
        exchange: http_exchanges.Exchange,
        head: relay.AnswerHead,
        delivery: Delivery,
    ) -> Outcome:
        splitter = server_sent_events.EventSplitter()
        while True:
            await exchange.wait_for_progress()
            attempt.target.last_byte_at = exchange.last_byte_at
            # Read before the bytes are taken, as more may arrive meanwhile.
            is_last = exchange.complete
            try:
                blocks = splitter.split(exchange.read_available())
            except ValueError as error:
                raise errors.TargetAnswerLostError(str(error)) from error
            data = _join_new(blocks, delivery)
            if data:
                _start_stream(head, delivery)
                delivery.note_sent()
                await delivery.client.write_chunk(data)
                attempt.on_event(delivery.position or 0)
            if is_last:
                break
        if splitter.has_partial_event or exchange.read_until_close:
            raise errors.TargetAnswerLostError("stream ended within an event")
        _start_stream(head, delivery)
        delivery.client.end_stream()
        return Outcome(end=End.DELIVERED, status=head.status)


def _start_stream(head: relay.AnswerHead, delivery: Delivery) -> None:
    """Sends the head of a stream once; a resumed one keeps the first head."""
    if not delivery.is_streaming:
        delivery.is_streaming = True
        delivery.client.start_stream(head.status, head.headers)


def _join_new(
    blocks: list[server_sent_events.Event], delivery: Delivery
) -> bytes:
    """Returns the events that the client hasn't got, and notes them.

    Raises:
        errors.TargetAnswerLostError: If an event is missing.
    """
    parts = []
    for block in blocks:
        if block.id is not None:
            last = delivery.position
            if last is not None and block.id <= last:
                continue
            if last is not None and block.id != last + 1:
                raise errors.TargetAnswerLostError(
                    f"event {block.id} follows {last}"
                )
            delivery.position = block.id
        parts.append(block.data)
    return b"".join(parts)


def _find_fault(head: relay.AnswerHead) -> End | None:
    """Returns how an attempt ended whose answer isn't to be delivered yet."""
    if head.execution_state is relay.ExecutionState.UNKNOWN:
        return End.LOST
    if 200 <= head.status < 300 and not head.is_signed:
        return End.LOST
    return End.FAILED if head.status >= 500 else None


def _is_event_stream(head: relay.AnswerHead) -> bool:
    return any(
        name == b"content-type" and value.lower().startswith(_EVENT_STREAM)
        for name, value in head.headers
    )


def _find_idle_time(head: relay.AnswerHead) -> float:
    """Returns for how long the connection is used again, in seconds."""
    if head.idle_timeout_s is None:
        return DEFAULT_IDLE_S
    return max(0.0, head.idle_timeout_s - IDLE_MARGIN_S)
