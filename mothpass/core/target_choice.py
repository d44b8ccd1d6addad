"""Chooses the target of a request among those that may take it.

A request whose prompt others share goes where that prompt was read, as reading
it again costs more than the request is worth. The order of targets for a
prompt is the same at all daemons (rendezvous hashing). The load that this
answers is a prompt that gets much of the traffic: it spills to the next in
order once its target holds more than a multiple of the mean, counted over all
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
        can_fetch: bool,
        now: float,
    ) -> Choice | None:
        """Returns where a request goes, None where no target may take it now.

        Args:
            usable: Targets of the service that may get work.
            key: Key of the prompt, None where it shares none.
            avoided: Ids of targets that failed this request.
            can_fetch: Whether targets fetch prompt memory from each other.
            now: Monotonic seconds.
        """
        allowed = [
            target
            for target in usable
            if not target.is_cold(now) or self._allows_cold(target)
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
        return self._choose_by_prompt(pool, usable, key, can_fetch, now)

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
        can_fetch: bool,
        now: float,
    ) -> Choice:
        by_id = {target.id: target for target in usable}
        ranked = [
            by_id[name] for name in preference.rank_names(key.encode(), by_id)
        ]
        loads = {target.id: self._count_load(target) for target in usable}
        mean = sum(loads.values()) / len(loads)
        limit = _SPILL_MULTIPLE * mean + _SPILL_EXTRA
        open_ids = {target.id for target in pool}
        ranked_pool = [target for target in ranked if target.id in open_ids]
        chosen = next(
            (item for item in ranked_pool if loads[item.id] < limit), None
        )
        if chosen is None:
            chosen = min(pool, key=lambda target: loads[target.id])
        source = None
        if can_fetch:
            source = self._find_source(chosen, ranked, by_id, key, now)
        return Choice(target=chosen, source=source)

    def _find_source(
        self,
        chosen: target_table.Target,
        ranked: list[target_table.Target],
        by_id: dict[str, target_table.Target],
        key: str,
        now: float,
    ) -> target_table.Target | None:
        """Returns who else probably holds the prompt, if the chosen doesn't."""
        holders = self.memory.list_holders(key, now)
        if chosen.id in holders:
            return None
        known = [by_id[item] for item in holders if item in by_id]
        for target in [*known, *ranked]:
            if target is chosen or target.is_paused(now):
                continue
            if target in known or now - target.first_seen > _SOURCE_AGE_S:
                return target
        return None
