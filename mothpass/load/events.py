"""Splits a stream of server-sent events as its bytes arrive."""

import msgspec

_END = b"\n\n"


class Event(msgspec.Struct, frozen=True, kw_only=True):
    """One server-sent event.

    Attributes:
        name: Value of ``event``, empty without it.
        id: Value of ``id``, empty without it.
        data: Lines of ``data``, joined.
    """

    name: str
    id: str
    data: bytes


class Splitter:
    """Holds the bytes of an event that isn't whole yet."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        """Starts without bytes."""
        self._rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Takes bytes and returns the events that are whole with them."""
        # A pair of CR and LF may be split between two reads, so the pairs are
        # replaced in all that is held and not in the new bytes alone.
        held = (self._rest + data).replace(b"\r\n", b"\n")
        *blocks, self._rest = held.split(_END)
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
