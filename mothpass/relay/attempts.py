"""Sends a request to one target and forwards the answer to the client."""

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
from mothpass.ports import relay

# Targets state their idle timeout in whole seconds; a connection that is about
# to be closed isn't reused.
IDLE_TIMEOUT_MARGIN_S = 1.0
# Time by which an attempt may outlive the deadline of its request, which
# passes first and decides the answer.
DEADLINE_MARGIN_S = 0.25
# Of the time that a request has left when the head of an answer arrives, what
# the body may take if another attempt may follow.
MAX_BODY_TIME_SHARE = 0.5
# Bytes of a stream that are split into events before others get their turn.
MAX_PIECE_BYTES = 4096
# For targets that state no idle timeout.
DEFAULT_IDLE_TIMEOUT_S = 2.0
_EVENT_STREAM = b"text/event-stream"


class End(enum.StrEnum):
    """How an attempt ended.

    DELIVERED: the client has the whole answer. NOT_RUN: the target or the
    connection shows that the request didn't run. FAILED: the target answered
    with a failure. LOST: it is unknown whether the request ran. BROKEN: the
    stream broke after the client got a part of it.
    """

    DELIVERED = "delivered"
    NOT_RUN = "not_run"
    FAILED = "failed"
    LOST = "lost"
    BROKEN = "broken"


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of an attempt.

    Attributes:
        end: How the attempt ended.
        reason: Cause of the end, for logs.
        status: HTTP status of the answer, 0 without an answer.
        is_reachable: Whether the target can be reached, as far as is known.
        has_arrived: Whether the request may have arrived at a target.
        is_replaced: Whether another target answered at the address.
        is_disconnected: Whether the target closed the connection early.
        is_reused: Whether a failed attempt went over a reused connection.
        head: Head of an answer that wasn't delivered.
        body: Body of that answer.
    """

    end: End
    reason: str = ""
    status: int = 0
    is_reachable: bool = True
    has_arrived: bool = True
    is_replaced: bool = False
    is_disconnected: bool = False
    is_reused: bool = False
    head: relay.AnswerHead | None = None
    body: bytes = b""


class Delivery:
    """State of the answer to a client, over all attempts.

    Attributes:
        client: Writes the answer to the client.
        position: Id of the last event sent to the client, None for none.
        skips_ids: Whether the ids of its events are known to skip numbers.
        is_streaming: Whether the head of a stream was sent.
        is_numbered: Whether all events sent to the client have an id.
        first_byte_at: Monotonic seconds of the first bytes, None before.
        longest_gap_s: Longest pause between bytes sent to the client.
        framing: What ends the body of the last answer; see
            ``http_exchanges.Exchange.framing``.
        has_whole_answer: Whether all of the last answer has arrived.
        failure_bytes: Size of the body of a failure that is kept, as it may
            become the final answer.
    """

    __slots__ = (
        "_jump",
        "_sent_at",
        "client",
        "failure_bytes",
        "first_byte_at",
        "framing",
        "has_whole_answer",
        "is_numbered",
        "is_streaming",
        "longest_gap_s",
        "position",
        "skips_ids",
    )

    def __init__(
        self,
        *,
        client: relay_listener.Responder,
        position: int | None,
    ) -> None:
        """Creates the state before any byte is sent."""
        self.client = client
        self.position = position
        self.skips_ids = False
        self._jump: tuple[int, int] | None = None
        self.is_streaming = False
        self.is_numbered = True
        self.first_byte_at: float | None = None
        self.longest_gap_s = 0.0
        self.framing = ""
        self.has_whole_answer = False
        self.failure_bytes = 0
        self._sent_at = 0.0

    def may_follow(self, event_id: int, last_id: int) -> bool:
        """Returns whether no event is missing between two that have an id.

        Ids increase, by any step. Where a run goes on with a stream of another
        one, a skipped id is a missing event unless the stream has skipped ids
        before, or two runs go on with the same event.
        """
        if event_id != last_id + 1 and not self.skips_ids:
            jump = (last_id, event_id)
            self.skips_ids = self._jump == jump
            self._jump = jump
            return self.skips_ids
        return True

    def begin_attempt(self) -> None:
        """Forgets how far the answer of the attempt before had arrived."""
        self.framing = ""
        self.has_whole_answer = False

    def record_end(self, exchange: http_exchanges.Exchange) -> None:
        """Records how far the answer of an attempt has arrived."""
        self.framing = exchange.framing
        self.has_whole_answer = exchange.complete

    def record_sent(self) -> None:
        """Records that bytes are sent to the client now."""
        now = asyncio.get_running_loop().time()
        if self.first_byte_at is None:
            self.first_byte_at = now
        else:
            gap_s = now - self._sent_at
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self._sent_at = now


class _StreamRun:
    """How far one run of a stream has come.

    Attributes:
        has_events: Whether it had events, beside comments.
        highest_id: The highest id of an event, None if none has one.
        progress_at: Event-loop time at which the last new event arrived.
    """

    __slots__ = ("has_events", "highest_id", "progress_at")

    def __init__(self, *, started_at: float) -> None:
        """Creates a run without events."""
        self.has_events = False
        self.highest_id: int | None = None
        self.progress_at = started_at

    def record(
        self, events: list[server_sent_events.Event], arrived_at: float
    ) -> None:
        """Records events in order; comments and repeated ids aren't new."""
        for event in events:
            if event.id is None:
                if event.is_comment:
                    continue
            elif self.highest_id is None or event.id > self.highest_id:
                self.highest_id = event.id
            else:
                continue
            self.has_events = True
            self.progress_at = arrived_at


class Attempt(msgspec.Struct, frozen=True, kw_only=True):
    """One dispatch of a request to a target.

    Attributes:
        request: The request.
        address: ``ip:port`` of the target, or of a peer to forward to.
        data: Encoded request for it.
        deadline: Monotonic seconds at which the attempt times out.
        silence_timeout_s: Time without a byte after which the attempt is
            abandoned for another one; None if there is none, to wait until
            the deadline.
        expects_stream: Whether only an event stream is a success; otherwise
            each answer is read whole before the client gets it.
        needs_new_connection: Whether a pooled connection may not be reused.
        max_idle_connections: Idle connections that the pool may keep to the
            target.
        may_send: Returns whether the target may still get the request; asked
            once a connection is open.
        on_connected: Called once the request is about to be sent over a
            connection, with whether it was opened for this.
        on_sent: Called once the request is on its way over the connection.
        on_bytes: Called with the monotonic seconds of the last byte received.
        on_head: Called with the head of the answer.
        on_event: Called with the id of the last event to forward.
    """

    request: relay.Request
    address: str
    data: bytes
    deadline: float
    silence_timeout_s: float | None
    expects_stream: bool
    needs_new_connection: bool
    max_idle_connections: int
    may_send: abc.Callable[[], bool]
    on_connected: abc.Callable[[bool], None]
    on_sent: abc.Callable[[], None]
    on_bytes: abc.Callable[[float], None]
    on_head: abc.Callable[[relay.AnswerHead], None]
    on_event: abc.Callable[[int], None]


class AttemptSender:
    """Makes attempts over a pool of connections."""

    __slots__ = ("_pool", "_read_head")

    def __init__(
        self, *, pool: http_pool.ConnectionPool, read_head: relay.ReadAnswerHead
    ) -> None:
        """Creates a sender.

        Args:
            pool: Connections to targets.
            read_head: Decodes the head of a target's answer.
        """
        self._pool = pool
        self._read_head = read_head

    async def send(self, attempt: Attempt, delivery: Delivery) -> Outcome:
        """Sends a request and forwards the answer to the client."""
        delivery.begin_attempt()
        address = attempt.address
        try:
            connection = await self._pool.acquire(
                address, fresh=attempt.needs_new_connection
            )
        except errors.TargetUnreachableError as error:
            return Outcome(
                end=End.NOT_RUN,
                reason=str(error),
                is_reachable=False,
                has_arrived=False,
            )
        is_reused = connection.exchange_count > 0
        attempt.on_connected(not is_reused)
        idle_timeout_s = 0.0
        is_named = False
        exchange = None
        try:
            if not attempt.may_send():
                return Outcome(
                    end=End.NOT_RUN,
                    reason="the target no longer takes requests",
                    has_arrived=False,
                )
            exchange = self._send_request(attempt, connection)
            attempt.on_sent()
            head = await self._wait_for_head(attempt, exchange)
            idle_timeout_s = _compute_idle_timeout(head)
            is_named = head.request_id is not None
            return await self._deliver(attempt, exchange, head, delivery)
        except errors.TargetUnreachableError as error:
            return Outcome(end=End.NOT_RUN, reason=str(error))
        except errors.TargetAnswerLostError as error:
            is_disconnected = not connection.is_open()
            return Outcome(
                end=End.BROKEN if delivery.is_streaming else End.LOST,
                reason=str(error),
                is_reachable=is_disconnected
                or exchange is None
                or exchange.response_started,
                is_disconnected=is_disconnected,
                is_reused=is_reused,
            )
        finally:
            if exchange is not None:
                delivery.record_end(exchange)
            self._pool.release(
                address,
                connection,
                idle_s=idle_timeout_s,
                # An answer that names no request may come once more in place
                # of the next one, and nothing would tell it from that.
                max_idle_connections=attempt.max_idle_connections
                if is_named
                else 0,
            )

    def _send_request(
        self, attempt: Attempt, connection: http_exchanges.Connection
    ) -> http_exchanges.Exchange:
        request_id = attempt.request.id

        def matches_request(status: int, headers: list[relay.Header]) -> bool:
            head = self._read_head(status, tuple(headers))
            if head.request_id is None:
                # A target that rejects a request after its head sends no id.
                return (
                    head.execution_state is not relay.ExecutionState.RAN
                    or not request_id
                )
            return head.request_id == request_id

        timeout_s = attempt.silence_timeout_s
        return connection.send(
            attempt.data,
            silence_ms=None if timeout_s is None else int(timeout_s * 1000),
            deadline=attempt.deadline,
            accepts_response=matches_request,
        )

    async def _wait_for_head(
        self, attempt: Attempt, exchange: http_exchanges.Exchange
    ) -> relay.AnswerHead:
        while not exchange.status:
            await exchange.wait_for_progress()
        attempt.on_bytes(exchange.last_byte_at)
        head = self._read_head(exchange.status, tuple(exchange.header_list))
        attempt.on_head(head)
        return head

    async def _deliver(
        self,
        attempt: Attempt,
        exchange: http_exchanges.Exchange,
        head: relay.AnswerHead,
        delivery: Delivery,
    ) -> Outcome:
        if (
            attempt.expects_stream
            and head.status == 200
            and _is_event_stream(head)
        ):
            if not head.is_signed:
                raise errors.TargetAnswerLostError("unsigned stream")
            return await self._forward_stream(attempt, exchange, head, delivery)
        _leave_time_for_another(attempt, exchange)
        body = await _read_body(exchange, delivery)
        attempt.on_bytes(exchange.last_byte_at)
        if head.execution_state is relay.ExecutionState.NOT_RUN:
            reason = "other target" if head.is_other_target else "refused"
            return Outcome(
                end=End.NOT_RUN,
                reason=f"{reason} with {head.status}",
                status=head.status,
                is_reachable=not head.is_other_target,
                is_replaced=head.is_other_target,
                head=head,
            )
        if delivery.is_streaming:
            # A started stream can only be resumed by another stream.
            return Outcome(end=End.BROKEN, reason=f"status {head.status}")
        failure_end = _classify_failure(
            head, expects_stream=attempt.expects_stream
        )
        if failure_end is not None:
            # It is the final answer if no other attempt is made.
            delivery.failure_bytes = len(body)
            return Outcome(
                end=failure_end,
                reason=f"status {head.status}",
                status=head.status,
                head=head,
                body=body,
            )
        delivery.record_sent()
        delivery.client.write_response(head.status, head.headers, body)
        return Outcome(end=End.DELIVERED, status=head.status)

    async def _forward_stream(
        self,
        attempt: Attempt,
        exchange: http_exchanges.Exchange,
        head: relay.AnswerHead,
        delivery: Delivery,
    ) -> Outcome:
        splitter = server_sent_events.EventSplitter()
        was_streaming = delivery.is_streaming
        first_position = delivery.position
        goes_on = was_streaming or first_position is not None
        run = _StreamRun(started_at=exchange.last_byte_at)
        while True:
            await exchange.wait_for_progress()
            attempt.on_bytes(exchange.last_byte_at)
            data = exchange.read_available(MAX_PIECE_BYTES)
            is_last = exchange.complete and not exchange.has_unread
            try:
                events = splitter.split(data)
            except ValueError as error:
                raise errors.TargetAnswerLostError(str(error)) from error
            run.record(events, exchange.last_byte_at)
            _check_event_in_time(attempt, exchange, run)
            data, failure = _take_new_events(events, delivery, goes_on=goes_on)
            if data:
                # The client may disconnect, and the stream be taken up
                # elsewhere, while the write is pending.
                attempt.on_event(delivery.position or 0)
                _start_stream(head, delivery)
                delivery.record_sent()
                await delivery.client.write_chunk(data)
            if failure is not None:
                raise failure
            if is_last:
                break
            if exchange.has_unread:
                # Very many small events hold up no other request.
                await asyncio.sleep(0)
        if was_streaming and delivery.position == first_position:
            # Nothing shows that this run knows where the stream ends.
            raise errors.TargetAnswerLostError("stream went on without events")
        if splitter.has_partial_event:
            raise errors.TargetAnswerLostError("stream ended within an event")
        _check_end(attempt, exchange, run, first_position)
        _start_stream(head, delivery)
        if not goes_on and (rest := splitter.take_rest()):
            await delivery.client.write_chunk(rest)
        delivery.client.end_stream()
        return Outcome(end=End.DELIVERED, status=head.status)


def _leave_time_for_another(
    attempt: Attempt, exchange: http_exchanges.Exchange
) -> None:
    """Bounds the time of a body if another attempt may follow this one."""
    if attempt.silence_timeout_s is None:
        return
    now = asyncio.get_running_loop().time()
    exchange.set_timeouts(
        silence_s=attempt.silence_timeout_s,
        deadline=now + (attempt.deadline - now) * MAX_BODY_TIME_SHARE,
    )


async def _read_body(
    exchange: http_exchanges.Exchange, delivery: Delivery
) -> bytes:
    """Returns a whole body, which counts as memory held for the client.

    Raises:
        errors.TargetAnswerLostError: If it is lost, or is given up for want of
            memory.
    """

    def give_up() -> None:
        exchange.fail(
            errors.TargetAnswerLostError("too much memory is held for answers")
        )

    def record_size(size_bytes: int) -> None:
        delivery.client.record_answer_size(
            delivery.failure_bytes + size_bytes, give_up
        )

    try:
        return await http_fetch.read_body(exchange, record_size)
    except errors.TargetAnswerLostError:
        record_size(0)
        raise


def _start_stream(head: relay.AnswerHead, delivery: Delivery) -> None:
    """Sends the head of a stream, unless a previous attempt sent one."""
    if not delivery.is_streaming:
        delivery.is_streaming = True
        delivery.client.start_stream(head.status, head.headers)


def _check_end(
    attempt: Attempt,
    exchange: http_exchanges.Exchange,
    run: _StreamRun,
    first_position: int | None,
) -> None:
    """Checks that the end of a whole answer is that of its stream.

    Args:
        attempt: The attempt.
        exchange: The answer, which is complete.
        run: The run that it is of.
        first_position: Last event that the client had before, None for none.

    Raises:
        errors.TargetAnswerLostError: If the stream has more events.
    """
    if first_position is None:
        is_empty = not run.has_events
    else:
        is_empty = run.highest_id is None or run.highest_id <= first_position
        # Two runs without a new event confirm that the client has all.
        is_empty = is_empty and attempt.silence_timeout_s is not None
    if exchange.read_until_close and is_empty:
        # A target that dies may close its connection.
        raise errors.TargetAnswerLostError("connection ended, no new event")
    if (
        first_position is not None
        and run.highest_id is not None
        and run.highest_id < first_position
    ):
        # The end of a run that is shorter than what the client has.
        raise errors.TargetAnswerLostError(
            f"stream ended at event {run.highest_id}, before {first_position}"
        )


def _check_event_in_time(
    attempt: Attempt, exchange: http_exchanges.Exchange, run: _StreamRun
) -> None:
    """Checks that bytes that arrive also bring the stream on at times.

    Raises:
        errors.TargetSilentError: If no new event came within the silence
            timeout.
    """
    timeout_s = attempt.silence_timeout_s
    if exchange.complete or timeout_s is None:
        return
    if exchange.last_byte_at - run.progress_at > timeout_s:
        raise errors.TargetSilentError("no new event, though bytes arrive")


def _take_new_events(
    events: list[server_sent_events.Event],
    delivery: Delivery,
    *,
    goes_on: bool,
) -> tuple[bytes, errors.TargetAnswerLostError | None]:
    """Takes the events that are new to the client; advances its position.

    Args:
        events: Events of a run, in order.
        delivery: State of the answer.
        goes_on: Whether the client has an earlier part of the stream from
            another run. Only events with the next ids may follow it; see
            ``Delivery.may_follow``.

    Returns:
        The bytes for the client, and the failure if nothing that follows them
        belongs to the stream.
    """
    new_events: list[bytes] = []
    failure = None
    for event in events:
        if event.id is not None:
            last_id = delivery.position
            if goes_on and last_id is not None and event.id <= last_id:
                continue
            if last_id is not None:
                if not goes_on and event.id > last_id + 1:
                    delivery.skips_ids = True
                if event.id <= last_id or not delivery.may_follow(
                    event.id, last_id
                ):
                    failure = f"event {event.id} follows event {last_id}"
                    break
            delivery.position = event.id
        elif not event.is_comment:
            if goes_on:
                failure = f"no event id after event {delivery.position}"
                break
            delivery.is_numbered = False
        elif goes_on:
            continue
        new_events.append(event.data)
    return b"".join(new_events), (
        None if failure is None else errors.TargetAnswerLostError(failure)
    )


def _classify_failure(
    head: relay.AnswerHead, *, expects_stream: bool
) -> End | None:
    """Returns the end of a failed attempt, None if the answer is delivered."""
    if head.execution_state is relay.ExecutionState.UNKNOWN:
        return End.LOST
    if 200 <= head.status < 300 and (expects_stream or not head.is_signed):
        return End.LOST
    return End.FAILED if head.status >= 500 else None


def _is_event_stream(head: relay.AnswerHead) -> bool:
    return any(
        name == b"content-type" and value.lower().startswith(_EVENT_STREAM)
        for name, value in head.headers
    )


def _compute_idle_timeout(head: relay.AnswerHead) -> float:
    """Returns how long the idle connection may be reused, in seconds."""
    if head.idle_timeout_s is None:
        return DEFAULT_IDLE_TIMEOUT_S
    return max(0.0, head.idle_timeout_s - IDLE_TIMEOUT_MARGIN_S)
