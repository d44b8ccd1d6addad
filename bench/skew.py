"""Skew of load across engines while one team surges tenfold."""

from collections import abc
import math
import random

import msgspec

from bench import baselines
from bench import fleet
from bench import measures
from bench import traffic

RATE = 33.0
LIGHT_RATE = 12.0
SEEDS = 10
DURATION_S = 60.0
SURGE = traffic.Surge(team=1, factor=10.0, begin=20.0, end=40.0)
SETTLE_S = 5.0
SAMPLE_S = 0.1
CHATS = 400


class Skew(msgspec.Struct, frozen=True, kw_only=True):
    """Load of the engines against the bound, over all samples.

    Attributes:
        worst: Largest load of an engine, as a share of the bound.
        above: Share of the samples with an engine above the bound.
        mean: Mean load over all samples.
        sends: Control messages that a daemon sends a second.
    """

    worst: float
    above: float
    mean: float
    sends: float


def run_skew(
    choose: abc.Callable[[fleet.Fleet], fleet.Choose] | None,
    *,
    seed: int,
    rate: float = RATE,
    layout: fleet.Layout | None = None,
) -> Skew:
    """Runs the surge under one way to choose."""
    world = fleet.Fleet(layout=layout or fleet.Layout(), seed=seed)
    if choose is not None:
        world.set_choose(choose(world))
    world.start(DURATION_S)
    world.submit(
        traffic.make_turns(
            rng=random.Random(seed),
            rate=rate,
            duration=DURATION_S,
            chats=CHATS,
            surge=SURGE,
        )
    )
    seen: list[tuple[float, float]] = []

    def sample() -> None:
        if world.loop.now < SETTLE_S:
            return
        loads = world.list_loads()
        mean = sum(loads) / len(loads)
        bound = max(1, math.ceil(world.layout.skew_multiple * mean))
        seen.append((max(loads) / bound, mean))

    world.loop.call_every(SAMPLE_S, DURATION_S, sample)
    world.loop.run(DURATION_S)
    return Skew(
        worst=max(ratio for ratio, _ in seen),
        above=sum(ratio > 1 for ratio, _ in seen) / len(seen),
        mean=sum(mean for _, mean in seen) / len(seen),
        sends=sum(item.control_sends for item in world.daemons)
        / len(world.daemons)
        / DURATION_S,
    )


def measure(seed: int) -> list[measures.Measure]:
    """Measures the worst load against the bound, beside the baselines."""
    return [
        _compare("skew_worst_load_over_bound", seed, RATE),
        _compare("skew_light_worst_load_over_bound", seed, LIGHT_RATE),
    ]


def _compare(name: str, seed: int, rate: float) -> measures.Measure:
    found = [
        run_skew(None, seed=seed + step, rate=rate) for step in range(SEEDS)
    ]
    worst = max(item.worst for item in found)
    ways: dict[str, abc.Callable[[fleet.Fleet], fleet.Choose]] = {
        "random": lambda _: baselines.make_random(seed),
        "round_robin": lambda _: baselines.make_round_robin(),
        "least_reported": lambda _: baselines.choose_least_reported,
        "plain_hash": lambda _: baselines.choose_hash,
    }
    best = run_skew(
        lambda world: baselines.make_least(world.engines), seed=seed, rate=rate
    )
    return measures.Measure(
        measure=name,
        value=worst,
        bound=1.0,
        ok=worst <= 1.0,
        baselines={
            way: run_skew(choose, seed=seed, rate=rate).worst
            for way, choose in ways.items()
        },
        best=best.worst,
        seed=seed,
        detail={
            "runs_above": sum(item.worst > 1.0 for item in found) / SEEDS,
            "share_of_samples_above": sum(item.above for item in found) / SEEDS,
            "control_sends_per_daemon_s": max(item.sends for item in found),
        },
    )
