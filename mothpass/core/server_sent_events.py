"""Splits a stream of server-sent events into whole events, bytes unchanged."""

import msgspec

# A longer event means that the stream holds no server-sent events.
MAX_EVENT_BYTES = 1_048_576


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

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        """Starts at the beginning of a stream."""
        self._rest = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether part of an event has arrived."""
        return bool(self._rest)

    def split(self, data: bytes) -> list[Event]:
        """Adds received bytes and returns the events that are now complete.

        Raises:
            ValueError: An event is longer than ``MAX_EVENT_BYTES``.
        """
        data = self._rest + data
        events = []
        start = 0
        while (end := data.find(b"\n\n", start)) >= 0:
            event = data[start : end + 2]
            events.append(Event(data=event, id=_find_id(event)))
            start = end + 2
        self._rest = data[start:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError("server-sent event is too long")
        return events


def _find_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            return int(value)
    return None
