"""Sends the events of an attempt, with the faults that are set."""

import asyncio
from collections import abc

import msgspec

from mothpass.standin import attempts
from mothpass.standin import connections
from mothpass.standin import faults

_MS_PER_S = 1000


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
    planned: list[faults.StreamFault],
    attempt_id: str,
    connection: connections.Connection,
) -> abc.AsyncIterator[bytes]:
    """Yields the bytes of events with faults at the positions asked for."""
    held = b""
    by_position = {item.at: item for item in planned}
    async for frame in frames:
        fault = by_position.get(frame.position)
        kind = None if fault is None else fault.kind
        if fault is not None and kind == "late":
            await asyncio.sleep(fault.delay_ms / _MS_PER_S)
        if kind == "reorder":
            held = frame.data
            continue
        if kind != "skip":
            yield frame.data
        if held:
            yield held
            held = b""
        if kind == "double":
            yield frame.data
        elif kind == "cross":
            yield encode_event(
                f"other-{attempt_id}",
                frame.position + 1,
                b'{"choices":[{"delta":{"content":"crossed"}}]}',
                False,
            )
        elif kind == "cut":
            connection.close()
            return
        elif kind == "silent":
            connection.silent = True
