"""Incremental decoder for the server-sent events of targets."""

import re

from mothpass.core import errors
from mothpass.ports import targets

# A longer event means that the target doesn't follow the protocol.
MAX_EVENT_BYTES = 1_048_576

_EVENT = re.compile(
    rb"(event: finish\n)?id: ([!-~]+):([0-9]{1,9})\ndata: ([^\n]*)\n\n"
)


class EventDecoder:
    """Decoder that buffers an incomplete event between calls."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        """Starts with an empty buffer."""
        self._buffer = bytearray()

    def decode(self, data: bytes) -> list[targets.Event]:
        """Returns the events that these bytes complete.

        Raises:
            errors.TargetAnswerLostError: If the bytes are not such events.
        """
        searched = max(0, len(self._buffer) - 1)
        self._buffer += data
        events = []
        # Matching reads all that is buffered, so it waits for an event's end.
        if self._buffer.find(b"\n\n", searched) >= 0:
            events = self._take_events()
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise errors.TargetAnswerLostError("event too large")
        return events

    def _take_events(self) -> list[targets.Event]:
        """Takes the whole events out of the buffer."""
        data = bytes(self._buffer)
        events = []
        end = 0
        while match := _EVENT.match(data, end):
            finish, attempt, position, body = match.groups()
            event = targets.Event(
                attempt_id=attempt.decode("ascii"),
                position=int(position),
                data=body,
                last=finish is not None,
            )
            events.append(event)
            end = match.end()
        del self._buffer[:end]
        if b"\n\n" in self._buffer:
            raise errors.TargetAnswerLostError("malformed event")
        return events
