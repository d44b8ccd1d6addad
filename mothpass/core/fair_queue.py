"""Weighted fair queue of the requests that wait for a slot at a target.

Urgent classes go first. Within a class, teams share by weight (start-time fair
queueing): each request gets a virtual finish time that grows by the inverse of
its team's weight, so a team that sends more than others only lengthens its own
queue. When the queue is full, it sheds the newest request of the team with the
longest queue relative to its weight.
"""

import msgspec
import sortedcontainers


class QueuedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request in the queue.

    Attributes:
        id: Id of the request, unique on this daemon.
        team: Name of its team.
        weight: Weight of the team.
        priority: Priority of its class; 0 is the most urgent.
        deadline: Monotonic seconds at which it must have been dispatched.
    """

    id: int
    team: str
    weight: int
    priority: int
    deadline: float


class PopResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a pop.

    Attributes:
        request: The request whose turn it is, None if none is queued.
        expired: Requests whose deadline has passed; they were removed from
            the queue and must be rejected.
    """

    request: QueuedRequest | None
    expired: list[QueuedRequest]


class _Entry(msgspec.Struct, kw_only=True):
    """A queued request with its sort key."""

    request: QueuedRequest
    key: tuple[int, float, int]


class FairQueue:
    """Queue of one model or service on one daemon."""

    __slots__ = (
        "_capacity",
        "_entries",
        "_finish_times",
        "_order",
        "_team_weights",
        "_virtual_time",
    )

    def __init__(self, *, capacity: int) -> None:
        """Initializes an empty queue.

        Args:
            capacity: Maximum number of queued requests.
        """
        self._capacity = capacity
        self._entries: dict[int, _Entry] = {}
        self._order: sortedcontainers.SortedList = sortedcontainers.SortedList()
        # Weights of each team's queued requests by id, oldest first.
        self._team_weights: dict[str, dict[int, int]] = {}
        self._finish_times: dict[str, float] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        """Returns the number of queued requests."""
        return len(self._entries)

    def set_capacity(self, capacity: int) -> None:
        """Sets the maximum number of queued requests, without shedding any."""
        self._capacity = capacity

    def count_ahead(self, priority: int) -> int:
        """Returns the number of queued requests of a priority or above."""
        return int(self._order.bisect_right((priority, float("inf"), 0)))

    def count_queued(self, team: str) -> int:
        """Returns the number of queued requests of a team."""
        return len(self._team_weights.get(team, ()))

    def offer(self, request: QueuedRequest) -> list[QueuedRequest]:
        """Queues a request.

        Returns:
            The requests shed to make room, which may include the offered one;
            they were removed from the queue and must be rejected.
        """
        start_time = max(
            self._virtual_time, self._finish_times.get(request.team, 0.0)
        )
        finish_time = start_time + 1.0 / request.weight
        self._finish_times[request.team] = finish_time
        self._insert(request, (request.priority, finish_time, request.id))
        shed = []
        while len(self._entries) > self._capacity:
            shed.append(self._shed_one())
        return shed

    def pop(self, *, now: float) -> PopResult:
        """Removes the request whose turn it is, and expired ones before it."""
        expired = []
        while self._order:
            _, finish_time, request_id = self._order[0]
            request = self._remove(request_id)
            if request.deadline <= now:
                expired.append(request)
                continue
            self._virtual_time = max(
                self._virtual_time, finish_time - 1.0 / request.weight
            )
            self._drop_past_finish_times()
            return PopResult(request=request, expired=expired)
        return PopResult(request=None, expired=expired)

    def requeue(self, request: QueuedRequest) -> None:
        """Returns a popped request to the queue, ahead of its team's others."""
        key = (request.priority, self._virtual_time, request.id)
        self._insert(request, key)

    def cancel(self, request_id: int) -> bool:
        """Removes a request. Returns whether it was queued."""
        if request_id not in self._entries:
            return False
        self._remove(request_id)
        return True

    def _insert(
        self, request: QueuedRequest, key: tuple[int, float, int]
    ) -> None:
        self._entries[request.id] = _Entry(request=request, key=key)
        self._order.add(key)
        self._team_weights.setdefault(request.team, {})[request.id] = (
            request.weight
        )

    def _remove(self, request_id: int) -> QueuedRequest:
        entry = self._entries.pop(request_id)
        self._order.remove(entry.key)
        weights = self._team_weights[entry.request.team]
        del weights[request_id]
        if not weights:
            del self._team_weights[entry.request.team]
        return entry.request

    def _shed_one(self) -> QueuedRequest:
        """Sheds the newest request of the longest queue for its weight."""
        longest = max(
            self._team_weights.values(),
            key=lambda weights: len(weights) / next(iter(weights.values())),
        )
        return self._remove(next(reversed(longest)))

    def _drop_past_finish_times(self) -> None:
        """Drops finish times before the virtual time, which have no effect."""
        if len(self._finish_times) < 2 * len(self._team_weights) + 64:
            return
        self._finish_times = {
            team: finish_time
            for team, finish_time in self._finish_times.items()
            if finish_time > self._virtual_time
        }
