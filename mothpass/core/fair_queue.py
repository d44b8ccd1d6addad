"""Weighted fair queue of the requests that wait for a target.

Urgent classes go first. Within a class, teams share by weight: each request
gets a virtual finish time that grows by the inverse of its team's weight
(start-time fair queueing), so a team that sends more than others only
lengthens its own queue. When the queue is full, the request that was queued
last by the team with the longest queue for its weight is shed.
"""

import msgspec
import sortedcontainers


class QueuedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that waits.

    Attributes:
        id: Unique on this daemon.
        team: Its team.
        weight: Weight of the team.
        priority: Priority of its class; 0 is the most urgent.
        deadline: Monotonic seconds at which it must have been dispatched.
    """

    id: int
    team: str
    weight: int
    priority: int
    deadline: float


class Popped(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of taking from the queue.

    Attributes:
        ticket: The request whose turn it is, None if none waits.
        expired: Requests found whose deadline has passed; they have left the
            queue and must be refused.
    """

    request: QueuedRequest | None
    expired: list[QueuedRequest]


class _Entry(msgspec.Struct, kw_only=True):
    """A queued ticket with its place in the order."""

    ticket: QueuedRequest
    key: tuple[int, float, int]


class FairQueue:
    """Queue of one model or service on one daemon."""

    __slots__ = (
        "_capacity",
        "_entries",
        "_finish_times",
        "_order",
        "_team_ids",
        "_virtual_now",
    )

    def __init__(self, *, capacity: int) -> None:
        """Makes an empty queue.

        Args:
            capacity: Most requests that may wait at once.
        """
        self._capacity = capacity
        self._entries: dict[int, _Entry] = {}
        self._order: sortedcontainers.SortedList = sortedcontainers.SortedList()
        # Ids of each team's waiting requests, oldest first.
        self._team_ids: dict[str, dict[int, int]] = {}
        self._finish_times: dict[str, float] = {}
        self._virtual_now = 0.0

    def __len__(self) -> int:
        """Returns how many requests wait."""
        return len(self._entries)

    def set_capacity(self, capacity: int) -> None:
        """Sets the most requests that may wait; sheds none by itself."""
        self._capacity = capacity

    def count_ahead(self, priority: int) -> int:
        """Returns how many requests of a priority or above wait."""
        return int(self._order.bisect_right((priority, float("inf"), 0)))

    def count_waiting(self, team: str) -> int:
        """Returns how many requests of a team wait."""
        return len(self._team_ids.get(team, ()))

    def offer(self, ticket: QueuedRequest) -> list[QueuedRequest]:
        """Queues a request.

        Returns:
            The requests shed to make room, which may include the one offered;
            they are not in the queue and must be refused.
        """
        started = max(
            self._virtual_now, self._finish_times.get(ticket.team, 0.0)
        )
        finish = started + 1.0 / ticket.weight
        self._finish_times[ticket.team] = finish
        self._insert(ticket, (ticket.priority, finish, ticket.id))
        shed = []
        while len(self._entries) > self._capacity:
            shed.append(self._shed_one())
        return shed

    def pop(self, *, now: float) -> Popped:
        """Takes the request whose turn it is, passing over expired ones."""
        expired = []
        while self._order:
            _, finish, ticket_id = self._order[0]
            ticket = self._remove(ticket_id)
            if ticket.deadline <= now:
                expired.append(ticket)
                continue
            self._virtual_now = max(
                self._virtual_now, finish - 1.0 / ticket.weight
            )
            self._forget_idle_teams()
            return Popped(request=ticket, expired=expired)
        return Popped(request=None, expired=expired)

    def put_back(self, ticket: QueuedRequest) -> None:
        """Queues a request that was popped ahead of its team's others."""
        key = (ticket.priority, self._virtual_now, ticket.id)
        self._insert(ticket, key)

    def cancel(self, ticket_id: int) -> bool:
        """Takes a request out. Returns whether it was waiting."""
        if ticket_id not in self._entries:
            return False
        self._remove(ticket_id)
        return True

    def _insert(
        self, ticket: QueuedRequest, key: tuple[int, float, int]
    ) -> None:
        self._entries[ticket.id] = _Entry(ticket=ticket, key=key)
        self._order.add(key)
        self._team_ids.setdefault(ticket.team, {})[ticket.id] = ticket.weight

    def _remove(self, ticket_id: int) -> QueuedRequest:
        entry = self._entries.pop(ticket_id)
        self._order.remove(entry.key)
        ids = self._team_ids[entry.ticket.team]
        del ids[ticket_id]
        if not ids:
            del self._team_ids[entry.ticket.team]
        return entry.ticket

    def _shed_one(self) -> QueuedRequest:
        """Sheds the newest request of the longest queue for its weight."""
        longest = max(
            self._team_ids.values(),
            key=lambda ids: len(ids) / next(iter(ids.values())),
        )
        return self._remove(next(reversed(longest)))

    def _forget_idle_teams(self) -> None:
        """Drops finish times in the past; they no longer matter."""
        if len(self._finish_times) < 2 * len(self._team_ids) + 64:
            return
        self._finish_times = {
            team: finish
            for team, finish in self._finish_times.items()
            if finish > self._virtual_now
        }
