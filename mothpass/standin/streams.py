"""Sends the events of an attempt, with the faults that are set."""

import asyncio
from collections import abc

import msgspec

from mothpass.standin import attempts
from mothpass.standin import connections
from mothpass.standin import faults

_MS_PER_S = 1000
_CROSSED_DATA = b'{"choices":[{"delta":{"content":"crossed"}}]}'

# Returns the fault to show with the event at a position, None without one.
TakeFault = abc.Callable[[int], faults.StreamFault | None]


class Frame(msgspec.Struct, frozen=True, kw_only=True):
    """One event as it is sent.

    Attributes:
        position: Its position in the answer.
        data: The bytes to send.
    """

    position: int
    data: bytes


def encode_event(
    attempt_id: str, position: int, data: bytes, last: bool
) -> bytes:
    """Encodes one event as server-sent events do."""
    kind = b"event: finish\n" if last else b""
    mark = f"id: {attempt_id}:{position}\n".encode()
    return b"".join((kind, mark, b"data: ", data, b"\n\n"))


async def read_frames(
    attempt: attempts.Attempt,
    start: int,
    connection: connections.Connection,
) -> abc.AsyncIterator[Frame]:
    """Yields the events of an attempt as they come.

    Args:
        attempt: The attempt.
        start: Position of the first event to yield.
        connection: Where they are sent; they end once it is closed.

    Yields:
        Events in order, up to the last one or to where the attempt stopped.
    """
    position = start
    connection.call_when_lost(attempt.wake)
    try:
        while not connection.lost.is_set():
            if position < len(attempt.events):
                yield _build_frame(attempt, position)
                position += 1
            elif attempt.ended:
                return
            else:
                await attempt.wait_changed()
    finally:
        connection.forget_call(attempt.wake)


def _build_frame(attempt: attempts.Attempt, position: int) -> Frame:
    last = attempt.finished and position == len(attempt.events) - 1
    data = encode_event(
        attempt.order.attempt_id, position, attempt.events[position], last
    )
    return Frame(position=position, data=data)


async def show_faults(
    frames: abc.AsyncIterator[Frame],
    take_fault: TakeFault,
    attempt_id: str,
    connection: connections.Connection,
) -> abc.AsyncIterator[bytes]:
    """Yields the bytes of events with faults at the positions asked for.

    Args:
        frames: Events in order.
        take_fault: Returns the fault to show with an event.
        attempt_id: Attempt that the events belong to.
        connection: Where they are sent.

    Yields:
        What to send.
    """
    held = b""
    async for frame in frames:
        fault = take_fault(frame.position)
        kind = None if fault is None else fault.kind
        if fault is not None and kind == "late":
            await asyncio.sleep(fault.delay_ms / _MS_PER_S)
        if kind == "reorder":
            held = frame.data
            continue
        data = _spoil_frame(frame, kind, attempt_id) + held
        held = b""
        # An empty chunk would end the answer.
        if data:
            yield data
        if kind == "silent":
            connection.silent = True
        elif kind == "cut":
            connection.close()
            return
    if held:
        yield held


def _spoil_frame(
    frame: Frame, kind: faults.StreamKind | None, attempt_id: str
) -> bytes:
    """Returns what is sent in the place of one event."""
    if kind == "skip":
        return b""
    if kind == "double":
        return frame.data + frame.data
    if kind == "cross":
        crossed = encode_event(
            f"other-{attempt_id}", frame.position + 1, _CROSSED_DATA, False
        )
        return frame.data + crossed
    return frame.data
