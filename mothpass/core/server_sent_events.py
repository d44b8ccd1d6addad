"""Splits a stream of server-sent events into whole events, bytes unchanged."""

import msgspec

# A longer event means that this is no stream of events.
MAX_EVENT_BYTES = 1_048_576


class Event(msgspec.Struct, frozen=True):
    """One whole event.

    Attributes:
        data: Its bytes with the empty line that ends it.
        id: Its id, None where it has none.
    """

    data: bytes
    id: int | None


class EventSplitter:
    """Holds the bytes of an event that has arrived only in part."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        """Starts at the beginning of a stream."""
        self._rest = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether part of an event has arrived."""
        return bool(self._rest)

    def split(self, data: bytes) -> list[Event]:
        """Returns the events that are whole with these bytes.

        Raises:
            ValueError: An event is too long.
        """
        data = self._rest + data
        blocks = []
        start = 0
        while (end := data.find(b"\n\n", start)) >= 0:
            block = data[start : end + 2]
            blocks.append(Event(data=block, id=_find_id(block)))
            start = end + 2
        self._rest = data[start:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError("event without an end")
        return blocks


def _find_id(block: bytes) -> int | None:
    for line in block.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            return int(value)
    return None
