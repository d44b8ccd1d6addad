"""Chooses the target of a request among those that may take it.

A request whose prompt others share goes where that prompt was read, as reading
it again costs more than the request is worth. The order of targets for a
prompt is the same at all daemons (rendezvous hashing). As targets come and go,
prompts move with the order, which keeps the load even and leaves copies; what
moves is fetched from a target that holds it, as daemons tell each other.

Two loads are answered. A prompt that gets much of the traffic spills to the
next in order once its target holds more than a multiple of the mean, counted
over all daemons. Long prompts that arrive together delay each other and all
that runs beside them, while counts of requests are still even: a target that
has much to read is passed over, too.

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
# The bound counts the targets that may get nothing, as in a closed zone.
_BOUND_MULTIPLE = 1.75
_SPILL_EXTRA = 2.0
# A target that has this many tokens to read is left to itself: the sheets'
# engines read 55 in a millisecond, so that what comes behind is late.
_MOST_READING_TOKENS = 20_000
# Requests for each slot of a target; a few that wait there keep it busy while
# daemons hear of places that became free.
_ROOM_MULTIPLE = 1.5
# A target known for less than this is no source of prompt memory.
_SOURCE_AGE_S = 4.0

# Returns the requests that all daemons have in flight at a target.
CountLoad = abc.Callable[[target_table.Target], int]

# Returns the tokens that a target has yet to read for all daemons.
CountPrefillBacklog = abc.Callable[[target_table.Target], int]

# Tells whether one more request may be sent to a cold target now.
AllowsCold = abc.Callable[[target_table.Target], bool]


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """Where a request goes.

    Attributes:
        target: The target.
        cache_source: Target from which it fetches the prompt's memory, or None.
        is_held: Whether the target or its source probably holds the prompt.
    """

    target: target_table.Target
    cache_source: target_table.Target | None = None
    is_held: bool = False


class Chooser:
    """Chooses among the targets of a service.

    Attributes:
        memory: Which targets have read which prompts, as this daemon knows.
    """

    __slots__ = (
        "_allows_cold",
        "_count_load",
        "_count_reading",
        "_random",
        "prompt_caches",
    )

    def __init__(
        self,
        *,
        prompt_caches: prompts.PromptCacheIndex,
        count_load: CountLoad,
        count_prefill_backlog: CountPrefillBacklog,
        allows_cold: AllowsCold,
        source: random.Random,
    ) -> None:
        """Keeps its parts."""
        self.prompt_caches = prompt_caches
        self._count_load = count_load
        self._count_reading = count_prefill_backlog
        self._allows_cold = allows_cold
        self._random = source

    def choose(
        self,
        usable: abc.Sequence[target_table.Target],
        *,
        registered: abc.Sequence[target_table.Target],
        key: str | None,
        avoided: abc.Container[str],
        can_fetch: bool,
        now: float,
    ) -> Choice | None:
        """Returns where a request goes, None where no target may take it now.

        Args:
            usable: Targets of the service that may get work.
            registered: All targets of the service; one that gets no work
                still holds its memory.
            key: Key of the prompt, None where it shares none.
            avoided: Ids of targets that failed this request.
            can_fetch: Whether targets fetch prompt memory from each other.
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
        limit = self._compute_limit(usable, registered)
        chosen = self._choose_by_prompt(pool, key, limit)
        cache_source = None
        if can_fetch:
            cache_source = self._find_cache_source(chosen, registered, key, now)
        holders = self.prompt_caches.list_holders(key, now)
        is_held = chosen.id in holders or (
            cache_source is not None and cache_source.id in holders
        )
        return Choice(target=chosen, cache_source=cache_source, is_held=is_held)

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

    def _compute_limit(
        self,
        usable: abc.Sequence[target_table.Target],
        registered: abc.Sequence[target_table.Target],
    ) -> float:
        """Returns the requests in flight from which a target counts as full."""
        total = sum(self._count_load(target) for target in registered)
        return _SPILL_EXTRA + min(
            _SPILL_MULTIPLE * total / len(usable),
            _BOUND_MULTIPLE * total / max(1, len(registered)),
        )

    def _choose_by_prompt(
        self, pool: list[target_table.Target], key: str, limit: float
    ) -> target_table.Target:
        loads = {target.id: self._count_load(target) for target in pool}
        below = [target for target in pool if loads[target.id] < limit]
        if not below:
            return min(pool, key=lambda target: loads[target.id])
        ranked = _rank_targets(key, below)
        for target in ranked:
            if self._count_reading(target) < _MOST_READING_TOKENS:
                return target
        return ranked[0]

    def _find_cache_source(
        self,
        chosen: target_table.Target,
        registered: abc.Sequence[target_table.Target],
        key: str,
        now: float,
    ) -> target_table.Target | None:
        """Returns who else probably holds the prompt, if the chosen doesn't."""
        holders = self.prompt_caches.list_holders(key, now)
        if chosen.id in holders:
            return None
        by_id = {target.id: target for target in registered}
        for holder in holders:
            target = by_id.get(holder)
            if target is not None and not target.is_paused(now):
                return target
        for target in _rank_targets(key, registered):
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
