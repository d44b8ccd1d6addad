"""Measures service while an availability zone is removed and restored."""

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
REMOVAL_GRACE_S = 3.0
MAX_FIRST_TOKEN_RATIO = 1.5
ZONE = "a"
SEEDS = 3


class ZoneMove(msgspec.Struct, frozen=True, kw_only=True):
    """Effects of removing and restoring an availability zone.

    Attributes:
        late_attempts: Attempts started in the zone more than
            ``REMOVAL_GRACE_S`` after its removal.
        first_token_ratio: First-token p95 from the removal to the end of the
            run, as a multiple of that before.
        incomplete_requests: Requests cut off, lost or rejected.
        peak_excess: Largest number of attempts in flight above the cold limit
            of an engine.
    """

    late_attempts: int
    first_token_ratio: float
    incomplete_requests: int
    peak_excess: int


def run_zone(seed: int, *, daemons_notified: bool = True) -> ZoneMove:
    """Removes a zone, restarts its engines and restores the zone.

    Args:
        seed: Seed of the run.
        daemons_notified: Whether the removal reaches the daemons.
    """
    simulation = fleet.FleetSimulation(config=fleet.FleetConfig(), seed=seed)
    zone_engines = [
        name
        for name in simulation.engines
        if simulation.find_zone(name) == ZONE
    ]
    late_attempts: list[str] = []

    def on_attempt(daemon: fleet.Daemon, target_id: str) -> None:
        del daemon
        since_removal_s = simulation.loop.now - OUT_AT_S
        if target_id in zone_engines and since_removal_s > REMOVAL_GRACE_S:
            late_attempts.append(target_id)

    def take_out() -> None:
        changed = fleet.make_catalogue(simulation.config, zones_out=(ZONE,))
        if daemons_notified:
            simulation.change_catalogue(changed, CATALOGUE_LAG_S)
        simulation.on_attempt = on_attempt

    def restart() -> None:
        for name in zone_engines:
            simulation.engines[name].crash()

    def restore() -> None:
        simulation.on_attempt = None
        changed = fleet.make_catalogue(simulation.config)
        simulation.change_catalogue(changed, CATALOGUE_LAG_S)

    simulation.loop.call_at(OUT_AT_S, take_out)
    if daemons_notified:
        # Operators restart engines once the zone's requests have ended.
        simulation.loop.call_at(OUT_AT_S + 25.0, restart)
    simulation.loop.call_at(IN_AT_S, restore)
    simulation.start(DURATION_S)
    simulation.submit(
        traffic.make_turns(
            rng=random.Random(seed),
            rate=RATE,
            duration=DURATION_S - 10.0,
            chats=CHATS,
        )
    )
    simulation.loop.run(DURATION_S + fleet.DEADLINE_S)
    return ZoneMove(
        late_attempts=len(late_attempts),
        first_token_ratio=_find_p95(simulation.samples, OUT_AT_S, DURATION_S)
        / _find_p95(simulation.samples, 10.0, OUT_AT_S),
        incomplete_requests=sum(
            not item.complete for item in simulation.samples
        ),
        peak_excess=max(
            item.peak_excess for item in simulation.engines.values()
        ),
    )


def measure(seed: int) -> list[measures.Measure]:
    """Measures late attempts, time to first token and incomplete requests."""
    results = [run_zone(seed + offset) for offset in range(SEEDS)]
    unnotified = run_zone(seed, daemons_notified=False)
    late_attempts = max(item.late_attempts for item in results)
    first_token_ratio = max(item.first_token_ratio for item in results)
    incomplete_requests = max(item.incomplete_requests for item in results)
    return [
        measures.Measure(
            measure="zone_calls_started_after_3_s",
            value=late_attempts,
            bound=0,
            ok=late_attempts == 0,
            baselines={"catalogue_not_heeded": unnotified.late_attempts},
            best=0,
            seed=seed,
            detail={"pushed": max(item.peak_excess for item in results)},
        ),
        measures.Measure(
            measure="zone_first_token_p95_ratio",
            value=first_token_ratio,
            bound=MAX_FIRST_TOKEN_RATIO,
            ok=first_token_ratio <= MAX_FIRST_TOKEN_RATIO,
            baselines={},
            best=1.0,
            seed=seed,
        ),
        measures.Measure(
            measure="zone_requests_cut_or_lost",
            value=incomplete_requests,
            bound=0,
            ok=incomplete_requests == 0,
            baselines={},
            best=0,
            seed=seed,
        ),
    ]


def _find_p95(samples: list[fleet.Sample], begin: float, end: float) -> float:
    times = sorted(
        item.first_token_s if item.first_token_s is not None else 1e9
        for item in samples
        if begin <= item.at < end
    )
    return times[int(0.95 * len(times))]
