"""Splits a stream of server-sent events into whole events, bytes unchanged.

Lines end with LF, CRLF or CR, as the WHATWG HTML standard has it.
"""

import re

import msgspec

# A longer event means that the stream holds no server-sent events.
MAX_EVENT_BYTES = 1_048_576
_LINE_END = rb"(?:\r\n|\n|\r(?!\n))"
_EVENT_END = re.compile(_LINE_END + _LINE_END)
# Bytes of an event's end but for its last one.
_END_OVERLAP = 3
_LINE_END_BYTES = b"\r\n"


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
            not line or line.startswith(b":") for line in self.data.splitlines()
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
        """Whether part of an event has arrived.

        Empty lines behind an event are part of none.
        """
        return bool(self._buffer.strip(_LINE_END_BYTES))

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
        # An end may have arrived in part. The LF of a CRLF whose CR ended an
        # event is found again, which makes no event of it.
        self._searched_bytes = max(0, size - _END_OVERLAP)
        if size > MAX_EVENT_BYTES:
            raise ValueError("server-sent event is too long")
        return events

    def take_rest(self) -> bytes:
        """Returns the bytes behind the last event; the buffer is then empty."""
        rest = bytes(self._buffer)
        self._buffer.clear()
        self._searched_bytes = 0
        return rest


def _find_id(event: bytes) -> int | None:
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            return int(value)
    return None
