"""Cache events of a stand-in engine, published late and with gaps."""

import collections
import random
import typing

import msgspec

_KEPT_EVENTS = 10_000

Kind = typing.Literal["stored", "evicted"]


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One change of the cache.

    Attributes:
        sequence: 1 for the first and one more for each, shown or not.
        chat: Chat that it is about.
        kind: What happened to the chat's prefix.
    """

    sequence: int
    chat: str
    kind: Kind


class EventList(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a read of cache events.

    Attributes:
        events: What was published after the sequence asked for.
        last: Sequence of the last event published or lost.
    """

    events: list[CacheEvent]
    last: int


class CacheEvents:
    """Events by the time at which they are shown."""

    __slots__ = ("_events", "_lag_s", "_last", "_loss", "_random")

    def __init__(
        self, *, lag_s: float, loss: float, random: random.Random
    ) -> None:
        """Starts without events.

        Args:
            lag_s: Seconds before an event is shown.
            loss: Share of the events that are never shown.
            random: Decides which are lost.
        """
        self._lag_s = lag_s
        self._loss = loss
        self._random = random
        self._last = 0
        self._events: collections.deque[tuple[float, CacheEvent | None]] = (
            collections.deque(maxlen=_KEPT_EVENTS)
        )

    def record(self, chat: str, kind: Kind, *, now: float) -> None:
        """Notes an event, which may be lost."""
        self._last += 1
        lost = self._random.random() < self._loss
        event = (
            None
            if lost
            else CacheEvent(sequence=self._last, chat=chat, kind=kind)
        )
        self._events.append((now + self._lag_s, event))

    def read(self, after: int, *, now: float) -> EventList:
        """Returns what is shown after a sequence."""
        first = self._last - len(self._events) + 1
        shown = []
        last = first - 1
        for shows_at, event in self._events:
            if shows_at > now:
                break
            last += 1
            if event is not None and event.sequence > after:
                shown.append(event)
        return EventList(events=shown, last=last)
