"""Encodes the events of an attempt and injects faults into them."""

import asyncio
from collections import abc

import msgspec

from mothpass.standin import attempts
from mothpass.standin import connections
from mothpass.standin import faults

_MS_PER_S = 1000
_CROSSED_EVENT_DATA = b'{"choices":[{"delta":{"content":"crossed"}}]}'

# Returns the fault to inject at a position, None if there is none.
TakeFault = abc.Callable[[int], faults.StreamFault | None]


class EventFrame(msgspec.Struct, frozen=True, kw_only=True):
    """One encoded event.

    Attributes:
        position: Position in the answer.
        data: Encoded server-sent event.
    """

    position: int
    data: bytes


def encode_event(
    attempt_id: str, position: int, data: bytes, last: bool
) -> bytes:
    """Encodes one server-sent event."""
    event_line = b"event: finish\n" if last else b""
    id_line = f"id: {attempt_id}:{position}\n".encode()
    return b"".join((event_line, id_line, b"data: ", data, b"\n\n"))


async def stream_events(
    attempt: attempts.Attempt,
    start: int,
    connection: connections.Connection,
) -> abc.AsyncIterator[EventFrame]:
    """Yields the events of an attempt as they are emitted.

    Args:
        attempt: Attempt to read.
        start: Position of the first event to yield.
        connection: Connection of the client; the events end once it is closed.

    Yields:
        Events in order, up to the last one or to where the attempt stopped.
    """
    position = start
    connection.add_close_callback(attempt.wake)
    try:
        while not connection.closed.is_set():
            if position < len(attempt.events):
                yield _build_frame(attempt, position)
                position += 1
            elif attempt.ended:
                return
            else:
                await attempt.wait_changed()
    finally:
        connection.remove_close_callback(attempt.wake)


def _build_frame(attempt: attempts.Attempt, position: int) -> EventFrame:
    last = attempt.finished and position == len(attempt.events) - 1
    data = encode_event(
        attempt.generation.attempt_id, position, attempt.events[position], last
    )
    return EventFrame(position=position, data=data)


async def inject_faults(
    frames: abc.AsyncIterator[EventFrame],
    take_fault: TakeFault,
    attempt_id: str,
    connection: connections.Connection,
) -> abc.AsyncIterator[bytes]:
    """Yields the bytes of events with the faults of their positions.

    Args:
        frames: Events in order.
        take_fault: Returns the fault to inject at a position.
        attempt_id: Attempt that the events belong to.
        connection: Connection of the client.

    Yields:
        Bytes to send.
    """
    delayed = b""
    async for frame in frames:
        fault = take_fault(frame.position)
        fault_kind = None if fault is None else fault.kind
        if fault is not None and fault_kind == "late":
            await asyncio.sleep(fault.delay_ms / _MS_PER_S)
        if fault_kind == "reorder":
            delayed = frame.data
            continue
        data = _encode_with_fault(frame, fault_kind, attempt_id) + delayed
        delayed = b""
        # An empty chunk would end the response.
        if data:
            yield data
        if fault_kind == "silent":
            connection.silent = True
        elif fault_kind == "cut":
            connection.close()
            return
    if delayed:
        yield delayed


def _encode_with_fault(
    frame: EventFrame, fault_kind: faults.StreamKind | None, attempt_id: str
) -> bytes:
    """Returns the bytes that replace an event with a fault."""
    if fault_kind == "skip":
        return b""
    if fault_kind == "double":
        return frame.data + frame.data
    if fault_kind == "cross":
        crossed = encode_event(
            f"other-{attempt_id}",
            frame.position + 1,
            _CROSSED_EVENT_DATA,
            False,
        )
        return frame.data + crossed
    return frame.data
