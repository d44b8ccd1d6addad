"""Splits a stream of server-sent events into whole events, bytes unchanged."""

import re

import msgspec

# A longer event means that the stream holds no server-sent events.
MAX_EVENT_BYTES = 1_048_576
_EVENT_END = re.compile(rb"\n\n")
# Bytes of an event's end but for its last one.
_END_OVERLAP = 1


class Event(msgspec.Struct, frozen=True):
    """One complete event.

    Attributes:
        data: Bytes of the event with the empty line that ends it.
        id: Numeric id of the event, None without one.
    """

    data: bytes
    id: int | None

    @property
    def is_comment(self) -> bool:
        """Whether there is no field, so that receivers ignore it."""
        return all(
            not line or line.startswith(b":") for line in self.data.split(b"\n")
        )


class EventSplitter:
    """Splits received bytes into events and buffers an incomplete one."""

    __slots__ = ("_buffer", "_searched_bytes")

    def __init__(self) -> None:
        """Starts at the beginning of a stream."""
        self._buffer = bytearray()
        self._searched_bytes = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether part of an event has arrived."""
        return bool(self._buffer)

    def split(self, data: bytes) -> list[Event]:
        """Adds received bytes and returns the events that are now complete.

        Raises:
            ValueError: An event is longer than ``MAX_EVENT_BYTES``.
        """
        self._buffer += data
        events = []
        start = 0
        while end := _EVENT_END.search(self._buffer, self._searched_bytes):
            event = bytes(self._buffer[start : end.end()])
            events.append(Event(data=event, id=_find_id(event)))
            start = self._searched_bytes = end.end()
        del self._buffer[:start]
        size = len(self._buffer)
        # An end may have arrived in part.
        self._searched_bytes = max(0, size - _END_OVERLAP)
        if size > MAX_EVENT_BYTES:
            raise ValueError("server-sent event is too long")
        return events


def _find_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            return int(value)
    return None
