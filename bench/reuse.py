"""Cache reuse of returning chats, steady and while engines come and go."""

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
# The largest multiple, in steps of 0.05, with which the oracle has no sample
# above the catalogue's 1.25 in the runs of bench.skew.
ORACLE_MULTIPLE = 1.15
STEADY_BOUND = 0.95
CHURN_BOUND = 0.85
LARGE_TEAM = 0

Way = abc.Callable[[fleet.Fleet], fleet.Choose] | None


def run_reuse(
    way: Way, *, seed: int, churn: bool = False, surge: bool = False
) -> dict[int, float]:
    """Runs returning chats under one way to choose.

    Args:
        way: The way, None for the router.
        seed: Seed of the run.
        churn: Whether engines leave, flap and come back cold.
        surge: Whether a large team sends five times as much for a while.

    Returns:
        For each team the share of its returning chats' prompt tokens that
        were found cached after the warm-up; under -1 that of all teams.
    """
    layout = fleet.Layout(cache_tokens=CACHE_TOKENS)
    world = fleet.Fleet(layout=layout, seed=seed)
    if way is not None:
        world.set_choose(way(world))
    world.start(DURATION_S)
    if churn:
        _plan_churn(world)
    more = traffic.Surge(
        team=LARGE_TEAM, factor=5.0, begin=WARM_UP_S, end=WARM_UP_S + 60.0
    )
    world.submit(
        traffic.make_turns(
            rng=random.Random(seed),
            rate=RATE,
            duration=DURATION_S,
            chats=CHATS,
            surge=more if surge else None,
        )
    )
    world.loop.run(DURATION_S + fleet.DEADLINE_S)
    return _sum_reuse(world.samples)


def measure(seed: int) -> list[measures.Measure]:
    """Measures the reuse against that of an oracle."""
    return [
        _compare("reuse_steady_share_of_oracle", seed, STEADY_BOUND),
        _compare("reuse_churn_share_of_oracle", seed, CHURN_BOUND, churn=True),
        _measure_small_teams(seed),
    ]


def _compare(
    name: str, seed: int, bound: float, *, churn: bool = False
) -> measures.Measure:
    shares = []
    for step in range(SEEDS):
        own = run_reuse(None, seed=seed + step, churn=churn)[-1]
        best = run_reuse(_make_oracle, seed=seed + step, churn=churn)[-1]
        shares.append(own / best)
    best = run_reuse(_make_oracle, seed=seed, churn=churn)[-1]
    free = run_reuse(_make_free_oracle, seed=seed, churn=churn)[-1]
    ways: dict[str, Way] = {
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
            way: run_reuse(choose, seed=seed, churn=churn)[-1] / best
            for way, choose in ways.items()
        },
        best=1.0,
        seed=seed,
        detail={
            "oracle_reuse": best,
            "share_of_oracle_above_the_skew_bound": shares[0] * best / free,
        },
    )


def _measure_small_teams(seed: int) -> measures.Measure:
    """Compares the other teams' reuse in a large one's surge."""
    own = run_reuse(None, seed=seed, surge=True)
    best = run_reuse(_make_oracle, seed=seed, surge=True)
    calm = run_reuse(None, seed=seed)
    others = own.keys() - {-1, LARGE_TEAM}
    worst = min(own[team] / best[team] for team in others)
    return measures.Measure(
        measure="reuse_in_surge_worst_other_team_share_of_oracle",
        value=worst,
        bound=CHURN_BOUND,
        ok=worst >= CHURN_BOUND,
        baselines={},
        best=1.0,
        seed=seed,
        detail={
            "worst_other_team_against_no_surge": min(
                own[team] / calm[team] for team in others
            )
        },
    )


def _make_oracle(world: fleet.Fleet) -> fleet.Choose:
    """Returns the oracle that keeps the bound on skew at each sample."""
    return baselines.make_oracle(world.engines, ORACLE_MULTIPLE)


def _make_free_oracle(world: fleet.Fleet) -> fleet.Choose:
    """Returns the oracle that fills engines up to the bound itself."""
    return baselines.make_oracle(world.engines, world.layout.skew_multiple)


def _plan_churn(world: fleet.Fleet) -> None:
    """One engine leaves and returns, one dies, one flaps in the list."""
    call_at = world.loop.call_at
    call_at(WARM_UP_S + 5.0, lambda: _set_leaving(world, "e1", True))
    call_at(WARM_UP_S + 15.0, lambda: world.engines["e1"].crash())
    call_at(WARM_UP_S + 20.0, lambda: _set_leaving(world, "e1", False))
    call_at(WARM_UP_S + 40.0, lambda: world.engines["e3"].crash())
    for number in range(3):
        begin = WARM_UP_S + 60.0 + 8.0 * number
        call_at(begin, lambda: _set_gone(world, {"e2"}))
        call_at(begin + 3.0, lambda: _set_gone(world, set()))


def _set_leaving(world: fleet.Fleet, name: str, leaving: bool) -> None:
    world.leaving = {name} if leaving else set()
    world.change_members()


def _set_gone(world: fleet.Fleet, names: set[str]) -> None:
    world.gone = names
    world.change_members()


def _sum_reuse(samples: abc.Iterable[fleet.Sample]) -> dict[int, float]:
    cached: dict[int, int] = {}
    asked: dict[int, int] = {}
    for item in samples:
        turn = item.turn
        if turn.at < WARM_UP_S or not turn.returning or not item.complete:
            continue
        for team in (turn.team, -1):
            cached[team] = cached.get(team, 0) + item.cached_tokens
            asked[team] = asked.get(team, 0) + turn.prompt_tokens
    return {team: cached[team] / asked[team] for team in asked}
