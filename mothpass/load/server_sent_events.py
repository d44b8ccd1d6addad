"""Parses a stream of server-sent events incrementally."""

import msgspec

_EVENT_SEPARATOR = b"\n\n"


class Event(msgspec.Struct, frozen=True, kw_only=True):
    """One server-sent event.

    Attributes:
        name: Value of the ``event`` field, empty if it is absent.
        id: Value of the ``id`` field, empty if it is absent.
        data: Values of the ``data`` fields, joined by line feeds.
    """

    name: str
    id: str
    data: bytes


class EventSplitter:
    """Incremental parser that buffers the bytes of an incomplete event."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        """Initializes an empty buffer."""
        self._buffer = b""

    def feed(self, data: bytes) -> list[Event]:
        """Appends bytes and returns the events that are now complete."""
        # A CRLF may be split between two reads, so it is replaced in the
        # whole buffer and not in the new bytes alone.
        buffered = (self._buffer + data).replace(b"\r\n", b"\n")
        *blocks, self._buffer = buffered.split(_EVENT_SEPARATOR)
        return [_parse_block(block) for block in blocks if block]


def _parse_block(block: bytes) -> Event:
    name, id_ = "", ""
    data: list[bytes] = []
    for line in block.split(b"\n"):
        field, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if field == b"data":
            data.append(value)
        elif field == b"event":
            name = value.decode(errors="replace")
        elif field == b"id":
            id_ = value.decode(errors="replace")
    return Event(name=name, id=id_, data=b"\n".join(data))
