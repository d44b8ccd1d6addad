"""Publishes the cache events of a stand-in engine, delayed and with losses."""

import collections
import random
import typing

import msgspec

_MAX_EVENTS = 10_000

Kind = typing.Literal["stored", "evicted"]


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One change of the cache.

    Attributes:
        sequence: Sequence number from 1; lost events use one up too.
        chat: Chat whose prefix changed.
        kind: Kind of the change.
    """

    sequence: int
    chat: str
    kind: Kind


class EventList(msgspec.Struct, frozen=True, kw_only=True):
    """Response to a read of cache events.

    Attributes:
        events: Events published after the requested sequence number.
        last: Sequence number of the last event published or lost.
    """

    events: list[CacheEvent]
    last: int


class CacheEventLog:
    """Bounded log of cache events, each visible after a delay."""

    __slots__ = ("_events", "_lag_s", "_last_sequence", "_loss", "_random")

    def __init__(
        self, *, lag_s: float, loss: float, random: random.Random
    ) -> None:
        """Initializes an empty log.

        Args:
            lag_s: Delay before an event is visible, in seconds.
            loss: Share of the events that are lost.
            random: Decides which events are lost.
        """
        self._lag_s = lag_s
        self._loss = loss
        self._random = random
        self._last_sequence = 0
        self._events: collections.deque[tuple[float, CacheEvent | None]] = (
            collections.deque(maxlen=_MAX_EVENTS)
        )

    def record(self, chat: str, kind: Kind, *, now: float) -> None:
        """Records an event, which may be lost."""
        self._last_sequence += 1
        lost = self._random.random() < self._loss
        event = (
            None
            if lost
            else CacheEvent(sequence=self._last_sequence, chat=chat, kind=kind)
        )
        self._events.append((now + self._lag_s, event))

    def read(self, after: int, *, now: float) -> EventList:
        """Returns the visible events after a sequence number."""
        first = self._last_sequence - len(self._events) + 1
        visible = []
        last = first - 1
        for visible_at, event in self._events:
            if visible_at > now:
                break
            last += 1
            if event is not None and event.sequence > after:
                visible.append(event)
        return EventList(events=visible, last=last)
