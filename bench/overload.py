"""Measures recovery from a surge and isolation of teams from one another."""

import msgspec

from bench import clients
from bench import measures
from bench import overload_simulation

SURGE_AT_S = 30.0
SURGE_S = 5.0
WINDOW_S = 5.0
WINDOW_STEP_S = 1.0
MAX_RECOVERY_S = 5.0
MIN_GOODPUT_SHARE = 0.99
MAX_FIRST_TOKEN_RATIO = 1.5


def _find_rate_all_surge(team: str, now: float) -> float:
    """Returns a team's rate; all surge to three times the capacity together."""
    del team
    if SURGE_AT_S <= now < SURGE_AT_S + SURGE_S:
        return (
            3
            * overload_simulation.CAPACITY_PER_S
            / len(overload_simulation.TEAMS)
        )
    return overload_simulation.USUAL_RATE_PER_S / len(overload_simulation.TEAMS)


def _find_rate_one_surge(team: str, now: float) -> float:
    """Returns a team's rate; the first surges to ten times its usual rate."""
    usual = overload_simulation.USUAL_RATE_PER_S / len(
        overload_simulation.TEAMS
    )
    if (
        team == overload_simulation.TEAMS[0]
        and SURGE_AT_S <= now < SURGE_AT_S + 4 * SURGE_S
    ):
        return 10 * usual
    return usual


class Recovery(msgspec.Struct, frozen=True, kw_only=True):
    """Recovery of service after a surge.

    Attributes:
        before: Share of requests answered in time before the surge.
        recovery_s: Time from the surge's end until every later window has
            recovered; the rest of the run where service never recovers.
        after: Share answered in time in the last 20 s in which requests can
            still be answered.
    """

    before: float
    recovery_s: float
    after: float


def run_recovery(*, seed: int, plain_proxy: bool) -> Recovery:
    """Runs a surge of all teams and returns how service recovers."""
    simulation = overload_simulation.Simulation(
        seed=seed, plain_proxy=plain_proxy, rate=_find_rate_all_surge
    )
    simulation.run()
    client_timeout_s = clients.ClientBehaviour().timeout_s
    before = _compute_answered_share(
        simulation.requests, 5.0, SURGE_AT_S - client_timeout_s
    )
    surge_end = SURGE_AT_S + SURGE_S
    last_window_end = overload_simulation.END_S - client_timeout_s
    recovered_at = surge_end
    window_start = surge_end
    while window_start + WINDOW_S <= last_window_end:
        answered_share = _compute_answered_share(
            simulation.requests, window_start, window_start + WINDOW_S
        )
        if answered_share < MIN_GOODPUT_SHARE * before:
            recovered_at = window_start + WINDOW_STEP_S
        window_start += WINDOW_STEP_S
    return Recovery(
        before=before,
        recovery_s=recovered_at - surge_end,
        after=_compute_answered_share(
            simulation.requests, last_window_end - 20.0, last_window_end
        ),
    )


def run_isolation(*, seed: int, plain_proxy: bool) -> float:
    """Runs a surge of one team.

    Returns:
        First-token p95 of the other teams during the surge, as a multiple of
        that before it.
    """
    simulation = overload_simulation.Simulation(
        seed=seed, plain_proxy=plain_proxy, rate=_find_rate_one_surge
    )
    simulation.run()
    others = [
        item
        for item in simulation.requests
        if item.team != overload_simulation.TEAMS[0]
    ]
    before = _compute_first_token_p95(others, 5.0, SURGE_AT_S)
    during = _compute_first_token_p95(
        others, SURGE_AT_S, SURGE_AT_S + 4 * SURGE_S
    )
    return during / before


def _compute_answered_share(
    requests: list[clients.ClientRequest], begin: float, end: float
) -> float:
    """Returns the share answered in time of the requests sent in a window."""
    client_timeout_s = clients.ClientBehaviour().timeout_s
    sent = [item for item in requests if begin <= item.first_sent_at < end]
    in_time = sum(
        item.answered_at is not None
        and item.answered_at - item.first_sent_at <= client_timeout_s
        for item in sent
    )
    return in_time / len(sent)


def _compute_first_token_p95(
    requests: list[clients.ClientRequest], begin: float, end: float
) -> float:
    """Returns the p95; a request without an answer counts as ``END_S``."""
    times = sorted(
        overload_simulation.END_S
        if item.first_token_s is None
        else item.first_token_s
        for item in requests
        if begin <= item.first_sent_at < end
    )
    return times[int(0.95 * len(times))]


def measure(seed: int) -> list[measures.Measure]:
    """Measures recovery and isolation, and those of a plain proxy."""
    recovery = run_recovery(seed=seed, plain_proxy=False)
    plain_proxy = run_recovery(seed=seed, plain_proxy=True)
    first_token_ratio = run_isolation(seed=seed, plain_proxy=False)
    return [
        measures.Measure(
            measure="overload_seconds_to_recover",
            value=recovery.recovery_s,
            bound=MAX_RECOVERY_S,
            ok=recovery.recovery_s <= MAX_RECOVERY_S,
            baselines={
                "plain_proxy": plain_proxy.recovery_s,
                "plain_proxy_goodput_after": plain_proxy.after,
            },
            best=0.0,
            seed=seed,
        ),
        measures.Measure(
            measure="surge_first_token_p95_of_others_over_usual",
            value=first_token_ratio,
            bound=MAX_FIRST_TOKEN_RATIO,
            ok=first_token_ratio <= MAX_FIRST_TOKEN_RATIO,
            baselines={
                "plain_proxy": run_isolation(seed=seed, plain_proxy=True)
            },
            best=1.0,
            seed=seed,
        ),
    ]
