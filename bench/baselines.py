"""Baseline placement policies, and oracles that know the engines' state."""

from collections import abc
import random

import msgspec

from bench import engines
from bench import fleet
from mothpass.core import routing
from mothpass.core import targets


def _list_available(
    router: routing.Router, request: routing.RouteRequest, now: float
) -> list[targets.Target]:
    available = [
        item
        for item in router.targets.values()
        if item.id not in request.excluded
        and now >= item.backoff_until
        and router.may_take_work(item)
    ]
    return sorted(available, key=lambda item: item.id)


def _get_reported_load(target: targets.Target) -> int:
    return (
        target.latest_record.in_flight
        if target.latest_record is not None
        else 0
    )


def _build_placement(
    target: targets.Target | None, now: float
) -> routing.Placement:
    if target is None:
        return routing.Wait(until=now + routing.RECHECK_INTERVAL_S)
    return routing.Send(
        target_id=target.id, address=target.instance.address, permit=None
    )


def make_random(seed: int) -> fleet.PlacementPolicy:
    """Returns a policy that chooses a target at random."""
    rng = random.Random(seed)

    def choose(
        router: routing.Router, request: routing.RouteRequest, now: float
    ) -> routing.Placement:
        available = _list_available(router, request, now)
        return _build_placement(
            rng.choice(available) if available else None, now
        )

    return choose


def make_round_robin() -> fleet.PlacementPolicy:
    """Returns a round-robin policy; each daemon has a turn of its own."""
    next_turns: dict[int, int] = {}

    def choose(
        router: routing.Router, request: routing.RouteRequest, now: float
    ) -> routing.Placement:
        available = _list_available(router, request, now)
        if not available:
            return _build_placement(None, now)
        turn = next_turns.get(id(router), len(next_turns))
        next_turns[id(router)] = turn + 1
        return _build_placement(available[turn % len(available)], now)

    return choose


def choose_least_reported(
    router: routing.Router, request: routing.RouteRequest, now: float
) -> routing.Placement:
    """Chooses the target with the least load in the latest reports."""
    available = _list_available(router, request, now)
    return _build_placement(
        min(available, key=_get_reported_load, default=None), now
    )


def choose_hash(
    router: routing.Router, request: routing.RouteRequest, now: float
) -> routing.Placement:
    """Chooses the first available target in the chat's hash order."""
    available = {
        item.id: item for item in _list_available(router, request, now)
    }
    assert request.chat is not None
    for target_id in router.rank(request.name, request.chat):
        if target_id in available:
            return _build_placement(available[target_id], now)
    return _build_placement(None, now)


def make_oracle(
    engines_by_id: abc.Mapping[str, engines.Engine], multiple: float
) -> fleet.PlacementPolicy:
    """Returns a policy that knows the current load and cache of each engine.

    It chooses the engine with the most cached tokens of the chat among those
    that stay within the bound, and the least loaded one where none has any.

    Args:
        engines_by_id: The engines.
        multiple: Bound on an engine's load, as a multiple of the mean.
    """

    def choose(
        router: routing.Router, request: routing.RouteRequest, now: float
    ) -> routing.Placement:
        available = _list_available(router, request, now)
        available = [item for item in available if engines_by_id[item.id].up]
        if not available:
            return _build_placement(None, now)
        loads = {
            item.id: engines_by_id[item.id].in_flight for item in available
        }
        mean = sum(loads.values()) / len(loads)
        bound = max(1.0, multiple * mean)
        within_bound = [
            item for item in available if loads[item.id] + 1 <= bound
        ]
        chat = request.chat
        assert chat is not None
        best = min(
            within_bound or [min(available, key=lambda x: loads[x.id])],
            key=lambda x: (
                -engines_by_id[x.id].count_cached_tokens(chat),
                loads[x.id],
            ),
        )
        return _build_placement(best, now)

    return choose


def make_least_loaded(
    engines_by_id: abc.Mapping[str, engines.Engine],
) -> fleet.PlacementPolicy:
    """Returns a policy that chooses the least current load, ignoring caches."""

    def choose(
        router: routing.Router, request: routing.RouteRequest, now: float
    ) -> routing.Placement:
        available = [
            x
            for x in _list_available(router, request, now)
            if engines_by_id[x.id].up
        ]
        best = min(
            available, key=lambda x: engines_by_id[x.id].in_flight, default=None
        )
        return _build_placement(best, now)

    return choose


def make_team_hash(teams: abc.Mapping[int, int]) -> fleet.PlacementPolicy:
    """Returns a policy that sends all chats of a team to one target.

    Args:
        teams: Team of each chat, by chat hash.
    """

    def choose(
        router: routing.Router, request: routing.RouteRequest, now: float
    ) -> routing.Placement:
        assert request.chat is not None
        team_request = msgspec.structs.replace(
            request, chat=teams[request.chat]
        )
        return choose_hash(router, team_request, now)

    return choose
