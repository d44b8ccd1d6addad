"""Chooses the target of a request among those that may take it.

A request whose prompt others share goes where that prompt was read, as reading
it again costs more than the request is worth. It stays there while targets
come and go; only a prompt that nobody holds goes to the first in its order,
which is the same at all daemons (rendezvous hashing). The load that this
answers is a prompt that gets much of the traffic: it spills to the next in
order once its holders have more than a multiple of the mean, counted over all
daemons, and the next fetches the memory instead of reading the prompt.

Requests without such a prompt go to the target with the least in flight for
its slots.
"""

from collections import abc
import random

import msgspec

from mothpass.core import preference
from mothpass.core import prompts
from mothpass.core import target_table

# Spilling starts below the bound on load (twice the mean and three more), as
# the counts of other daemons lag by a tick.
_SPILL_MULTIPLE = 1.5
_SPILL_EXTRA = 2.0
# Requests for each slot of a target; a few that wait there keep it busy while
# daemons hear of places that became free.
_ROOM_MULTIPLE = 1.5
# A target known for less than this is no source of prompt memory.
_SOURCE_AGE_S = 4.0

# Returns the requests that all daemons have in flight at a target.
CountLoad = abc.Callable[[target_table.Target], int]

# Tells whether one more request may be sent to a cold target now.
AllowsCold = abc.Callable[[target_table.Target], bool]


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """Where a request goes.

    Attributes:
        target: The target.
        source: Target from which it fetches the prompt's memory, or None.
    """

    target: target_table.Target
    source: target_table.Target | None = None


class Chooser:
    """Chooses among the targets of a service.

    Attributes:
        memory: Which targets have read which prompts, as this daemon knows.
    """

    __slots__ = ("_allows_cold", "_count_load", "_random", "memory")

    def __init__(
        self,
        *,
        memory: prompts.PromptMemory,
        count_load: CountLoad,
        allows_cold: AllowsCold,
        source: random.Random,
    ) -> None:
        """Keeps its parts."""
        self.memory = memory
        self._count_load = count_load
        self._allows_cold = allows_cold
        self._random = source

    def choose(
        self,
        usable: abc.Sequence[target_table.Target],
        *,
        key: str | None,
        avoided: abc.Container[str],
        sources: abc.Sequence[target_table.Target],
        now: float,
    ) -> Choice | None:
        """Returns where a request goes, None where no target may take it now.

        Args:
            usable: Targets of the service that may get work.
            key: Key of the prompt, None where it shares none.
            avoided: Ids of targets that failed this request.
            sources: Targets that prompt memory may be fetched from; none
                where the service can't.
            now: Monotonic seconds.
        """
        allowed = [
            target
            for target in usable
            if self._has_room(target)
            and (not target.is_cold(now) or self._allows_cold(target))
        ]
        pool = [
            target
            for target in allowed
            if target.id not in avoided and not target.is_paused(now)
        ]
        # Where all have failed, trying one of them beats refusing.
        pool = pool or [item for item in allowed if item.id not in avoided]
        if not pool:
            return None
        if key is None:
            return Choice(target=self._choose_least_loaded(pool, now))
        chosen = self._choose_by_prompt(pool, usable, key, now)
        source = self._find_source(chosen, sources, key, now)
        return Choice(target=chosen, source=source)

    def _has_room(self, target: target_table.Target) -> bool:
        """Tells whether a target bears one more request.

        What is sent beyond that waits there out of order, or is refused.
        """
        slots = target.entry.slots
        return slots <= 0 or self._count_load(target) < slots * _ROOM_MULTIPLE

    def _choose_least_loaded(
        self, pool: list[target_table.Target], now: float
    ) -> target_table.Target:
        def rate(target: target_table.Target) -> tuple[float, float]:
            load = self._count_load(target) / max(1, target.entry.slots)
            # A target that has just started is slow for some seconds.
            cold = 0.5 if target.is_cold(now) else 0.0
            return load + cold, self._random.random()

        return min(pool, key=rate)

    def _choose_by_prompt(
        self,
        pool: list[target_table.Target],
        usable: abc.Sequence[target_table.Target],
        key: str,
        now: float,
    ) -> target_table.Target:
        loads = {target.id: self._count_load(target) for target in usable}
        limit = _SPILL_MULTIPLE * sum(loads.values()) / len(loads)
        limit += _SPILL_EXTRA
        holders = set(self.memory.list_holders(key, now))
        held = [item for item in pool if item.id in holders]
        for target in sorted(held, key=lambda item: loads[item.id]):
            if loads[target.id] < limit:
                return target
        for target in _rank_targets(key, pool):
            if loads[target.id] < limit:
                return target
        return min(pool, key=lambda target: loads[target.id])

    def _find_source(
        self,
        chosen: target_table.Target,
        sources: abc.Sequence[target_table.Target],
        key: str,
        now: float,
    ) -> target_table.Target | None:
        """Returns who else probably holds the prompt, if the chosen doesn't."""
        holders = self.memory.list_holders(key, now)
        if not sources or chosen.id in holders:
            return None
        by_id = {target.id: target for target in sources}
        for holder in holders:
            target = by_id.get(holder)
            if target is not None and not target.is_paused(now):
                return target
        for target in _rank_targets(key, sources):
            is_known = now - target.first_seen > _SOURCE_AGE_S
            if target is not chosen and is_known and not target.is_paused(now):
                return target
        return None


def _rank_targets(
    key: str, targets: abc.Sequence[target_table.Target]
) -> list[target_table.Target]:
    """Returns targets in the order in which a prompt prefers them."""
    by_id = {target.id: target for target in targets}
    return [by_id[name] for name in preference.rank_names(key.encode(), by_id)]
