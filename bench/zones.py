"""Service while an availability zone is taken out and brought back."""

import random

import msgspec

from bench import fleet
from bench import measures
from bench import traffic

RATE = 20.0
CHATS = 300
OUT_AT_S = 40.0
IN_AT_S = 70.0
DURATION_S = 110.0
CATALOGUE_LAG_S = 2.0
NO_WORK_AFTER_S = 3.0
FIRST_TOKEN_RATIO = 1.5
ZONE = "a"
SEEDS = 3


class Moved(msgspec.Struct, frozen=True, kw_only=True):
    """What a zone's leaving and return did to the service.

    Attributes:
        late: Calls started in the zone later than ``NO_WORK_AFTER_S``.
        ratio: First-token p95 from the zone's leaving to the end of the run,
            as a multiple of that before.
        broken: Requests that were cut, lost or refused.
        pushed: Most calls in flight above what a returning engine bore.
    """

    late: int
    ratio: float
    broken: int
    pushed: int


def run_zone(seed: int, *, watched: bool = True) -> Moved:
    """Takes a zone out, restarts its engines, and brings it back.

    Args:
        seed: Seed of the run.
        watched: Whether the daemons learn of the catalogue's change.
    """
    world = fleet.Fleet(layout=fleet.Layout(), seed=seed)
    inside = [name for name in world.engines if world.find_zone(name) == ZONE]
    late: list[str] = []

    def watch(daemon: fleet.Daemon, target_id: str) -> None:
        del daemon
        since = world.loop.now - OUT_AT_S
        if target_id in inside and since > NO_WORK_AFTER_S:
            late.append(target_id)

    def take_out() -> None:
        changed = fleet.make_catalogue(world.layout, zones_out=(ZONE,))
        if watched:
            world.change_catalogue(changed, CATALOGUE_LAG_S)
        world.watch = watch

    def restart() -> None:
        for name in inside:
            world.engines[name].crash()

    def bring_back() -> None:
        world.watch = None
        changed = fleet.make_catalogue(world.layout)
        world.change_catalogue(changed, CATALOGUE_LAG_S)

    world.loop.call_at(OUT_AT_S, take_out)
    if watched:
        # Operators work on the zone once its calls have ended.
        world.loop.call_at(OUT_AT_S + 25.0, restart)
    world.loop.call_at(IN_AT_S, bring_back)
    world.start(DURATION_S)
    world.submit(
        traffic.make_turns(
            rng=random.Random(seed),
            rate=RATE,
            duration=DURATION_S - 10.0,
            chats=CHATS,
        )
    )
    world.loop.run(DURATION_S + fleet.DEADLINE_S)
    return Moved(
        late=len(late),
        ratio=_find_p95(world.samples, OUT_AT_S, DURATION_S)
        / _find_p95(world.samples, 10.0, OUT_AT_S),
        broken=sum(not item.complete for item in world.samples),
        pushed=max(item.peak_over for item in world.engines.values()),
    )


def measure(seed: int) -> list[measures.Measure]:
    """Measures late starts, the first token and broken requests."""
    found = [run_zone(seed + step) for step in range(SEEDS)]
    unaware = run_zone(seed, watched=False)
    late = max(item.late for item in found)
    ratio = max(item.ratio for item in found)
    broken = max(item.broken for item in found)
    return [
        measures.Measure(
            measure="zone_calls_started_after_3_s",
            value=late,
            bound=0,
            ok=late == 0,
            baselines={"catalogue_not_heeded": unaware.late},
            best=0,
            seed=seed,
            detail={"pushed": max(item.pushed for item in found)},
        ),
        measures.Measure(
            measure="zone_first_token_p95_ratio",
            value=ratio,
            bound=FIRST_TOKEN_RATIO,
            ok=ratio <= FIRST_TOKEN_RATIO,
            baselines={},
            best=1.0,
            seed=seed,
        ),
        measures.Measure(
            measure="zone_requests_cut_or_lost",
            value=broken,
            bound=0,
            ok=broken == 0,
            baselines={},
            best=0,
            seed=seed,
        ),
    ]


def _find_p95(samples: list[fleet.Sample], begin: float, end: float) -> float:
    found = sorted(
        item.first_token_s if item.first_token_s is not None else 1e9
        for item in samples
        if begin <= item.at < end
    )
    return found[int(0.95 * len(found))]
