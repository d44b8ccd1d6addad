"""Simpler ways to choose a target, and one that knows all."""

from collections import abc
import random

import msgspec

from bench import engines
from bench import fleet
from mothpass.core import routing
from mothpass.core import targets


def _list_open(
    router: routing.Router, request: routing.RouteRequest, now: float
) -> list[targets.Target]:
    found = [
        item
        for item in router.targets.values()
        if item.id not in request.excluded
        and now >= item.backoff_until
        and router.may_take_work(item)
    ]
    return sorted(found, key=lambda item: item.id)


def _read_report(target: targets.Target) -> int:
    return (
        target.latest_record.in_flight
        if target.latest_record is not None
        else 0
    )


def _send(target: targets.Target | None, now: float) -> routing.Placement:
    if target is None:
        return routing.Wait(until=now + routing.RECHECK_INTERVAL_S)
    return routing.Send(
        target_id=target.id, address=target.instance.address, permit=None
    )


def make_random(seed: int) -> fleet.Choose:
    """Returns a choice at random."""
    rng = random.Random(seed)

    def choose(
        router: routing.Router, request: routing.RouteRequest, now: float
    ) -> routing.Placement:
        found = _list_open(router, request, now)
        return _send(rng.choice(found) if found else None, now)

    return choose


def make_round_robin() -> fleet.Choose:
    """Returns a choice in turn, for each daemon by itself."""
    turns: dict[int, int] = {}

    def choose(
        router: routing.Router, request: routing.RouteRequest, now: float
    ) -> routing.Placement:
        found = _list_open(router, request, now)
        if not found:
            return _send(None, now)
        turn = turns.get(id(router), len(turns))
        turns[id(router)] = turn + 1
        return _send(found[turn % len(found)], now)

    return choose


def choose_least_reported(
    router: routing.Router, request: routing.RouteRequest, now: float
) -> routing.Placement:
    """Chooses the least load of the newest reports, as they are."""
    found = _list_open(router, request, now)
    return _send(min(found, key=_read_report, default=None), now)


def choose_hash(
    router: routing.Router, request: routing.RouteRequest, now: float
) -> routing.Placement:
    """Chooses the first in the chat's order, however loaded it is."""
    found = {item.id: item for item in _list_open(router, request, now)}
    assert request.chat is not None
    for target_id in router.rank(request.name, request.chat):
        if target_id in found:
            return _send(found[target_id], now)
    return _send(None, now)


def make_oracle(
    known: abc.Mapping[str, engines.Engine], multiple: float
) -> fleet.Choose:
    """Returns a choice that sees each load and each cache as it is now.

    It takes the engine with the largest part of the chat cached among those
    that stay within the bound, and the least loaded one where none has any.
    """

    def choose(
        router: routing.Router, request: routing.RouteRequest, now: float
    ) -> routing.Placement:
        found = _list_open(router, request, now)
        found = [item for item in found if known[item.id].up]
        if not found:
            return _send(None, now)
        loads = {item.id: known[item.id].in_flight for item in found}
        mean = sum(loads.values()) / len(loads)
        bound = max(1.0, multiple * mean)
        able = [item for item in found if loads[item.id] + 1 <= bound]
        chat = request.chat
        assert chat is not None
        best = min(
            able or [min(found, key=lambda x: loads[x.id])],
            key=lambda x: (-known[x.id].find_cached(chat), loads[x.id]),
        )
        return _send(best, now)

    return choose


def make_least(known: abc.Mapping[str, engines.Engine]) -> fleet.Choose:
    """Returns a choice of the least load as it is now, caches aside."""

    def choose(
        router: routing.Router, request: routing.RouteRequest, now: float
    ) -> routing.Placement:
        found = [x for x in _list_open(router, request, now) if known[x.id].up]
        best = min(found, key=lambda x: known[x.id].in_flight, default=None)
        return _send(best, now)

    return choose


def make_team_hash(teams: abc.Mapping[int, int]) -> fleet.Choose:
    """Returns a choice that sends all chats of a team to one target.

    Args:
        teams: Team of each chat.
    """

    def choose(
        router: routing.Router, request: routing.RouteRequest, now: float
    ) -> routing.Placement:
        assert request.chat is not None
        whole = msgspec.structs.replace(request, chat=teams[request.chat])
        return choose_hash(router, whole, now)

    return choose
