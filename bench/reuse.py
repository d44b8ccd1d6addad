"""Measures prompt cache reuse of returning chats, steady and under churn."""

from collections import abc
import random

from bench import baselines
from bench import fleet
from bench import measures
from bench import traffic

RATE = 40.0
CHATS = 600
CACHE_TOKENS = 600_000
WARM_UP_S = 60.0
DURATION_S = 130.0
SEEDS = 3
# The largest multiple, in steps of 0.05, with which the oracle stays within the
# catalogue's 1.25 at each sample in the runs of bench.skew.
ORACLE_MULTIPLE = 1.15
STEADY_BOUND = 0.95
CHURN_BOUND = 0.85
SURGE_BOUND = 0.75
LARGE_TEAM = 0

PolicyFactory = (
    abc.Callable[[fleet.FleetSimulation], fleet.PlacementPolicy] | None
)


def run_reuse(
    factory: PolicyFactory,
    *,
    seed: int,
    churn: bool = False,
    surge: bool = False,
) -> dict[int, float]:
    """Runs returning chats under one placement policy.

    Args:
        factory: Builds the policy, None for that of the router.
        seed: Seed of the run.
        churn: Whether engines leave, flap and restart cold.
        surge: Whether a large team sends at five times its rate for 60 s.

    Returns:
        For each team the share of its returning chats' prompt tokens that
        were cached after the warm-up; the key -1 holds that of all teams.
    """
    config = fleet.FleetConfig(cache_tokens=CACHE_TOKENS)
    simulation = fleet.FleetSimulation(config=config, seed=seed)
    if factory is not None:
        simulation.set_placement_policy(factory(simulation))
    simulation.start(DURATION_S)
    if churn:
        _schedule_churn(simulation)
    team_surge = traffic.Surge(
        team=LARGE_TEAM, factor=5.0, begin=WARM_UP_S, end=WARM_UP_S + 60.0
    )
    simulation.submit(
        traffic.make_turns(
            rng=random.Random(seed),
            rate=RATE,
            duration=DURATION_S,
            chats=CHATS,
            surge=team_surge if surge else None,
        )
    )
    simulation.loop.run(DURATION_S + fleet.DEADLINE_S)
    return _compute_reuse(simulation.samples)


def measure(seed: int) -> list[measures.Measure]:
    """Measures the reuse as a share of an oracle's."""
    return [
        _compare("reuse_steady_share_of_oracle", seed, STEADY_BOUND),
        _compare("reuse_churn_share_of_oracle", seed, CHURN_BOUND, churn=True),
        _measure_small_teams(seed),
    ]


def _compare(
    name: str, seed: int, bound: float, *, churn: bool = False
) -> measures.Measure:
    shares = []
    for offset in range(SEEDS):
        router_reuse = run_reuse(None, seed=seed + offset, churn=churn)[-1]
        best = run_reuse(_make_oracle, seed=seed + offset, churn=churn)[-1]
        shares.append(router_reuse / best)
    best = run_reuse(_make_oracle, seed=seed, churn=churn)[-1]
    reuse_at_bound = run_reuse(_make_oracle_at_bound, seed=seed, churn=churn)[
        -1
    ]
    factories: dict[str, PolicyFactory] = {
        "random": lambda _: baselines.make_random(seed),
        "round_robin": lambda _: baselines.make_round_robin(),
        "least_reported": lambda _: baselines.choose_least_reported,
        "plain_hash": lambda _: baselines.choose_hash,
    }
    return measures.Measure(
        measure=name,
        value=min(shares),
        bound=bound,
        ok=min(shares) >= bound,
        baselines={
            label: run_reuse(policy_factory, seed=seed, churn=churn)[-1] / best
            for label, policy_factory in factories.items()
        },
        best=1.0,
        seed=seed,
        detail={
            "oracle_reuse": best,
            "share_of_oracle_above_the_skew_bound": shares[0]
            * best
            / reuse_at_bound,
        },
    )


def _measure_small_teams(seed: int) -> measures.Measure:
    """Compares the other teams' reuse with and without a large team's surge."""
    return measures.Measure(
        measure="reuse_worst_other_team_in_surge_against_none",
        value=(value := _find_worst_retention(None, seed)),
        bound=SURGE_BOUND,
        ok=value >= SURGE_BOUND,
        baselines={
            "team_hash": _find_worst_retention(
                lambda simulation: baselines.make_team_hash(simulation.teams),
                seed,
            )
        },
        best=_find_worst_retention(_make_oracle, seed),
        seed=seed,
    )


def _find_worst_retention(factory: PolicyFactory, seed: int) -> float:
    usual = run_reuse(factory, seed=seed)
    during_surge = run_reuse(factory, seed=seed, surge=True)
    others = usual.keys() - {-1, LARGE_TEAM}
    return min(during_surge.get(team, 0.0) / usual[team] for team in others)


def _make_oracle(simulation: fleet.FleetSimulation) -> fleet.PlacementPolicy:
    """Returns the oracle that stays within the skew bound at each sample."""
    return baselines.make_oracle(simulation.engines, ORACLE_MULTIPLE)


def _make_oracle_at_bound(
    simulation: fleet.FleetSimulation,
) -> fleet.PlacementPolicy:
    """Returns the oracle that fills engines up to the skew bound itself."""
    return baselines.make_oracle(
        simulation.engines, simulation.config.skew_multiple
    )


def _schedule_churn(simulation: fleet.FleetSimulation) -> None:
    """Schedules a leaving engine, a crash and a flapping engine."""
    call_at = simulation.loop.call_at
    call_at(WARM_UP_S + 5.0, lambda: _set_leaving(simulation, "e1", True))
    call_at(WARM_UP_S + 15.0, lambda: simulation.engines["e1"].crash())
    call_at(WARM_UP_S + 20.0, lambda: _set_leaving(simulation, "e1", False))
    call_at(WARM_UP_S + 40.0, lambda: simulation.engines["e3"].crash())
    for number in range(3):
        begin = WARM_UP_S + 60.0 + 8.0 * number
        call_at(begin, lambda: _set_unlisted(simulation, {"e2"}))
        call_at(begin + 3.0, lambda: _set_unlisted(simulation, set()))


def _set_leaving(
    simulation: fleet.FleetSimulation, name: str, leaving: bool
) -> None:
    simulation.leaving = {name} if leaving else set()
    simulation.change_members()


def _set_unlisted(simulation: fleet.FleetSimulation, names: set[str]) -> None:
    simulation.unlisted_engines = names
    simulation.change_members()


def _compute_reuse(samples: abc.Iterable[fleet.Sample]) -> dict[int, float]:
    cached: dict[int, int] = {}
    total: dict[int, int] = {}
    for item in samples:
        turn = item.turn
        if turn.at < WARM_UP_S or not turn.returning or not item.complete:
            continue
        for team in (turn.team, -1):
            cached[team] = cached.get(team, 0) + item.cached_tokens
            total[team] = total.get(team, 0) + turn.prompt_tokens
    return {team: cached[team] / total[team] for team in total}
