"""Decodes the server-sent events of targets as they arrive."""

import re

from mothpass.core import errors
from mothpass.ports import targets

# A longer event means that the target doesn't speak this protocol.
EVENT_LIMIT_BYTES = 1_048_576

_EVENT = re.compile(
    rb"(event: finish\n)?id: ([!-~]+):([0-9]{1,9})\ndata: ([^\n]*)\n\n"
)


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
        self._rest = data[end:]
        if self._rest:
            self._check_rest()
        return events

    def _check_rest(self) -> None:
        """Raises if what is left can't become an event."""
        if b"\n\n" in self._rest:
            raise errors.TargetAnswerLostError("not an event of an attempt")
        if len(self._rest) > EVENT_LIMIT_BYTES:
            raise errors.TargetAnswerLostError("event without an end")
