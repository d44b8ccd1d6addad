"""Decodes the server-sent events of targets as they arrive."""

from mothpass.core import errors
from mothpass.ports import targets

# A longer event means that the target doesn't speak this protocol.
EVENT_LIMIT_BYTES = 1_048_576


class EventDecoder:
    """Holds the bytes of an event that has arrived only in part."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        """Starts at the beginning of a stream."""
        self._rest = b""

    def decode(self, data: bytes) -> list[targets.Event]:
        """Returns the events that are whole with these bytes.

        Raises:
            errors.TargetAnswerLostError: If the bytes are no such events.
        """
        if self._rest:
            data = self._rest + data
        blocks = data.split(b"\n\n")
        self._rest = blocks.pop()
        if len(self._rest) > EVENT_LIMIT_BYTES:
            raise errors.TargetAnswerLostError("event without an end")
        return [_decode_event(block) for block in blocks]


def _decode_event(block: bytes) -> targets.Event:
    name = b""
    identity = b""
    data = b""
    for line in block.split(b"\n"):
        field, _, value = line.partition(b": ")
        if field == b"data":
            data = value
        elif field == b"id":
            identity = value
        elif field == b"event":
            name = value
    attempt, separator, position = identity.rpartition(b":")
    if not separator or not position.isdigit():
        raise errors.TargetAnswerLostError("event without attempt and position")
    return targets.Event(
        attempt_id=attempt.decode("latin-1"),
        position=int(position),
        data=data,
        last=name == b"finish",
    )
