"""Measures the skew of load across engines while one team surges tenfold."""

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
    """Load of the engines relative to the skew bound, over all samples.

    Attributes:
        worst_ratio: Largest load of an engine, as a multiple of the bound.
        share_above: Share of the samples with an engine above the bound.
        mean_load: Mean load of an engine over all samples.
        control_messages_per_s: Control messages per second and daemon.
    """

    worst_ratio: float
    share_above: float
    mean_load: float
    control_messages_per_s: float


def run_skew(
    policy_factory: abc.Callable[[fleet.FleetSimulation], fleet.PlacementPolicy]
    | None,
    *,
    seed: int,
    rate: float = RATE,
    config: fleet.FleetConfig | None = None,
) -> Skew:
    """Runs the surge under one placement policy.

    Args:
        policy_factory: Builds the policy, None for that of the router.
        seed: Seed of the run.
        rate: Requests per second without the surge.
        config: Sizes and lags, None for the defaults.
    """
    simulation = fleet.FleetSimulation(
        config=config or fleet.FleetConfig(), seed=seed
    )
    if policy_factory is not None:
        simulation.set_placement_policy(policy_factory(simulation))
    simulation.start(DURATION_S)
    simulation.submit(
        traffic.make_turns(
            rng=random.Random(seed),
            rate=rate,
            duration=DURATION_S,
            chats=CHATS,
            surge=SURGE,
        )
    )
    ratios: list[tuple[float, float]] = []

    def sample() -> None:
        if simulation.loop.now < SETTLE_S:
            return
        loads = simulation.list_loads()
        mean_load = sum(loads) / len(loads)
        bound = max(1, math.ceil(simulation.config.skew_multiple * mean_load))
        ratios.append((max(loads) / bound, mean_load))

    simulation.loop.call_every(SAMPLE_S, DURATION_S, sample)
    simulation.loop.run(DURATION_S)
    return Skew(
        worst_ratio=max(ratio for ratio, _ in ratios),
        share_above=sum(ratio > 1 for ratio, _ in ratios) / len(ratios),
        mean_load=sum(mean_load for _, mean_load in ratios) / len(ratios),
        control_messages_per_s=sum(
            item.control_messages for item in simulation.daemons
        )
        / len(simulation.daemons)
        / DURATION_S,
    )


def measure(seed: int) -> list[measures.Measure]:
    """Measures the worst load relative to the bound, and that of baselines."""
    return [
        _compare("skew_worst_load_over_bound", seed, RATE),
        _compare("skew_light_worst_load_over_bound", seed, LIGHT_RATE),
    ]


def _compare(name: str, seed: int, rate: float) -> measures.Measure:
    results = [
        run_skew(None, seed=seed + offset, rate=rate) for offset in range(SEEDS)
    ]
    worst_ratio = max(item.worst_ratio for item in results)
    factories: dict[
        str, abc.Callable[[fleet.FleetSimulation], fleet.PlacementPolicy]
    ] = {
        "random": lambda _: baselines.make_random(seed),
        "round_robin": lambda _: baselines.make_round_robin(),
        "least_reported": lambda _: baselines.choose_least_reported,
        "plain_hash": lambda _: baselines.choose_hash,
    }
    best = run_skew(
        lambda simulation: baselines.make_least_loaded(simulation.engines),
        seed=seed,
        rate=rate,
    )
    return measures.Measure(
        measure=name,
        value=worst_ratio,
        bound=1.0,
        ok=worst_ratio <= 1.0,
        baselines={
            label: run_skew(policy_factory, seed=seed, rate=rate).worst_ratio
            for label, policy_factory in factories.items()
        },
        best=best.worst_ratio,
        seed=seed,
        detail={
            "runs_above": sum(item.worst_ratio > 1.0 for item in results)
            / SEEDS,
            "share_of_samples_above": sum(item.share_above for item in results)
            / SEEDS,
            "control_sends_per_daemon_s": max(
                item.control_messages_per_s for item in results
            ),
        },
    )
