"""Chooses the target of a request among those that may take it.

A request whose prompt prefix is shared goes to the target that holds the
prefix in its prompt cache, as prefilling it again costs more than the request
is worth. Rendezvous hashing gives all daemons the same order of targets for
a prefix. When targets join or leave, prefixes move with the order, which keeps
the load even and leaves copies behind; a moved prefix is fetched from a target
that holds it, which daemons learn from each other's announcements.

Two kinds of overload change the order. A prefix that gets much of the traffic
spills to the next target in order once its target has more than a multiple of
the mean load, counted over all daemons. Long prompts that arrive together
delay each other and every request beside them while the request counts are
still even, so a target with a large prefill backlog is skipped as well.

Requests without a shared prefix go to the target with the fewest requests in
flight per slot.

A target that states a limit gets requests within it; others go to the next one
in order.
"""

from collections import abc
import random as random_module

import msgspec

from mothpass.core import preference
from mothpass.core import prompts
from mothpass.core import target_table

# Requests spill below the load bound (twice the mean plus three), as the
# counts of other daemons lag by a tick.
_SPILL_USABLE_MEAN_MULTIPLE = 1.5
# The load bound takes its mean over all registered targets, including those
# that may get no requests, as in a closed availability zone.
_SPILL_REGISTERED_MEAN_MULTIPLE = 1.75
_SPILL_EXTRA_REQUESTS = 2.0
# The deployments' engines prefill 55 tokens per millisecond, so a request
# behind this backlog would be late.
_MAX_PREFILL_BACKLOG_TOKENS = 20_000
# A few requests queued per target keep it busy until daemons learn that slots
# have become free.
_MAX_REQUESTS_PER_SLOT = 1.5
# A target known for less than this is no source of a cached prompt.
_MIN_CACHE_SOURCE_AGE_S = 4.0

# Returns the number of requests that all daemons have in flight at a target.
CountLoad = abc.Callable[[target_table.Target], int]

# Returns the prompt tokens that a target has yet to prefill for all daemons.
CountPrefillBacklog = abc.Callable[[target_table.Target], int]

# Returns whether one more request may be sent to a cold target now.
AllowsCold = abc.Callable[[target_table.Target], bool]

# Returns whether a target may get one more request now, as far as it may be
# fragile.
AdmitsFragile = abc.Callable[[target_table.Target], bool]

# Returns whether the limit that a target states admits one more request now.
# The second argument says whether the request has waited for a target.
AdmitsLimited = abc.Callable[[target_table.Target, bool], bool]


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """The placement of a request.

    Attributes:
        target: Target that runs the request.
        cache_source: Target from which it fetches the cached prompt, or None.
        is_cached: Whether the target or the cache source probably holds the
            prompt.
    """

    target: target_table.Target
    cache_source: target_table.Target | None = None
    is_cached: bool = False


class TargetChooser:
    """Chooses among the targets of a service.

    Attributes:
        prompt_caches: Which targets hold which prompts, as far as this daemon
            knows.
    """

    __slots__ = (
        "_admits_fragile",
        "_admits_limited",
        "_allows_cold",
        "_count_load",
        "_count_prefill_backlog",
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
        admits_limited: AdmitsLimited,
        admits_fragile: AdmitsFragile = lambda _: True,
        random: random_module.Random,
    ) -> None:
        """Initializes the chooser.

        Args:
            prompt_caches: Which targets hold which prompts.
            count_load: Counts the requests in flight at a target.
            count_prefill_backlog: Counts the tokens that a target has yet to
                prefill.
            allows_cold: Returns whether a cold target may get a request now.
            admits_limited: Returns whether the limit that a target states
                admits a request now.
            admits_fragile: Returns whether a target may get a request now
                without falling over.
            random: Source of randomness.
        """
        self.prompt_caches = prompt_caches
        self._count_load = count_load
        self._count_prefill_backlog = count_prefill_backlog
        self._allows_cold = allows_cold
        self._admits_limited = admits_limited
        self._admits_fragile = admits_fragile
        self._random = random

    def choose(
        self,
        usable: abc.Sequence[target_table.Target],
        *,
        registered: abc.Sequence[target_table.Target],
        key: str | None,
        avoided: abc.Container[str],
        can_fetch: bool,
        now: float,
        alive_since: float | None = None,
        is_waiting: bool = False,
    ) -> Choice | None:
        """Returns the placement of a request, or None if no target may take it.

        Args:
            usable: Targets of the service that may get new requests.
            registered: All targets of the service; one that gets no requests
                still holds its prompt cache.
            key: Key of the shared prompt prefix, None if there is none.
            avoided: Ids of targets that failed this request.
            can_fetch: Whether targets fetch cached prompts from each other.
            now: Monotonic seconds.
            alive_since: Monotonic seconds; targets that have answered since
                then go first. None for no preference.
            is_waiting: Whether the request has waited for a target.
        """
        admissible = [
            target
            for target in usable
            if self._has_free_slot(target)
            and (not is_waiting or target.limit.may_admit_waiting(now))
            and (not target.is_cold(now) or self._allows_cold(target))
            and self._admits_fragile(target)
        ]
        candidates = [
            target
            for target in admissible
            if target.id not in avoided and not target.is_backing_off(now)
        ]
        # If all are backing off, an attempt at one beats a rejection.
        candidates = candidates or [
            target for target in admissible if target.id not in avoided
        ]
        spill_limit = self._compute_spill_limit(usable, registered)
        while candidates:
            preferred = candidates
            if alive_since is not None:
                preferred = self._prefer_alive(
                    candidates, alive_since, spill_limit
                )
            if key is None:
                target = self._choose_least_loaded(preferred, now)
            else:
                target = self._choose_by_prompt(preferred, key, spill_limit)
            if self._admits_limited(target, is_waiting):
                return self._make_choice(
                    target, registered, key, can_fetch, now
                )
            candidates = [item for item in candidates if item is not target]
        return None

    def _make_choice(
        self,
        target: target_table.Target,
        registered: abc.Sequence[target_table.Target],
        key: str | None,
        can_fetch: bool,
        now: float,
    ) -> Choice:
        """Returns the placement at a target, with the source of its prompt."""
        if key is None:
            return Choice(target=target)
        cache_source = None
        if can_fetch:
            cache_source = self._find_cache_source(target, registered, key, now)
        holders = self.prompt_caches.list_holders(key, now)
        is_cached = target.id in holders or (
            cache_source is not None and cache_source.id in holders
        )
        return Choice(
            target=target, cache_source=cache_source, is_cached=is_cached
        )

    def _has_free_slot(self, target: target_table.Target) -> bool:
        """Returns whether a target may get one more request.

        Requests beyond that would wait at the target out of order, or be
        rejected by it.
        """
        if target.is_resuming() and target.in_flight:
            # All requests that its pause held back would come at once.
            return False
        slots = target.registration.slots
        return (
            slots <= 0
            or self._count_load(target) < slots * _MAX_REQUESTS_PER_SLOT
        )

    def _prefer_alive(
        self,
        candidates: list[target_table.Target],
        alive_since: float,
        spill_limit: float,
    ) -> list[target_table.Target]:
        """Returns the candidates that answered since, all if there are none."""
        alive = [
            target
            for target in candidates
            if target.last_success_at >= alive_since
            and self._count_load(target) < spill_limit
        ]
        return alive or candidates

    def _choose_least_loaded(
        self, candidates: list[target_table.Target], now: float
    ) -> target_table.Target:
        def compute_rank(target: target_table.Target) -> tuple[float, float]:
            load = self._count_load(target) / max(1, target.registration.slots)
            # A target is slow for some seconds after its start.
            cold_penalty = 0.5 if target.is_cold(now) else 0.0
            return load + cold_penalty, self._random.random()

        return min(candidates, key=compute_rank)

    def _compute_spill_limit(
        self,
        usable: abc.Sequence[target_table.Target],
        registered: abc.Sequence[target_table.Target],
    ) -> float:
        """Returns the requests in flight at which prompts spill over."""
        total = sum(self._count_load(target) for target in registered)
        return _SPILL_EXTRA_REQUESTS + min(
            _SPILL_USABLE_MEAN_MULTIPLE * total / max(1, len(usable)),
            _SPILL_REGISTERED_MEAN_MULTIPLE * total / max(1, len(registered)),
        )

    def _choose_by_prompt(
        self,
        candidates: list[target_table.Target],
        key: str,
        spill_limit: float,
    ) -> target_table.Target:
        loads = {target.id: self._count_load(target) for target in candidates}
        below_limit = [
            target for target in candidates if loads[target.id] < spill_limit
        ]
        if not below_limit:
            return min(candidates, key=lambda target: loads[target.id])
        ranked = _rank_targets(key, below_limit)
        for target in ranked:
            if (
                self._count_prefill_backlog(target)
                < _MAX_PREFILL_BACKLOG_TOKENS
            ):
                return target
        return ranked[0]

    def _find_cache_source(
        self,
        destination: target_table.Target,
        registered: abc.Sequence[target_table.Target],
        key: str,
        now: float,
    ) -> target_table.Target | None:
        """Returns another target that probably holds the prompt.

        None if the destination holds it itself, or if no other target can
        serve as the source.
        """
        holders = self.prompt_caches.list_holders(key, now)
        if destination.id in holders:
            return None
        by_id = {target.id: target for target in registered}
        for holder_id in holders:
            target = by_id.get(holder_id)
            if target is not None and not target.is_backing_off(now):
                return target
        for target in _rank_targets(key, registered):
            is_settled = now - target.first_seen > _MIN_CACHE_SOURCE_AGE_S
            if (
                target is not destination
                and is_settled
                and not target.is_backing_off(now)
            ):
                return target
        return None


def _rank_targets(
    key: str, targets: abc.Sequence[target_table.Target]
) -> list[target_table.Target]:
    """Returns targets in the rendezvous order of a prompt key."""
    by_id = {target.id: target for target in targets}
    return [
        by_id[target_id]
        for target_id in preference.rank_names(key.encode(), by_id)
    ]
