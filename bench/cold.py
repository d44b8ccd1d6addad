"""Measures the cold-start protection: overload, detection and recovery."""

import random

import msgspec

from bench import baselines
from bench import fleet
from bench import measures
from bench import traffic

RATE = 20.0
CHATS = 300
SEEDS = 5
DURATION_S = 60.0
MAX_RECOVERY_S = 60.0
RECOVERY_WINDOW_S = 2.0
MAX_FIRST_TOKEN_S = 2.0
MIN_SERVED_SHARE = 0.95
MAX_DETECTION_REQUESTS = 2
MAX_DETECTION_S = 1.0


class ColdOverload(msgspec.Struct, frozen=True, kw_only=True):
    """Overload of cold engines in a run.

    Attributes:
        peak_excess: Largest number of attempts in flight above the cold limit
            of an engine.
        overload_deaths: Times that an engine died of it.
        complete_share: Share of the requests that got a complete answer.
        recovered_at: Virtual time from which requests are served in time: the
            end of the last window in which fewer than 95 in 100 got their
            first token within ``MAX_FIRST_TOKEN_S``.
    """

    peak_excess: int
    overload_deaths: int
    complete_share: float
    recovered_at: float


def run_faults(
    seed: int, *, gated: bool, restart_s: float = 4.0
) -> ColdOverload:
    """Crashes engines while gates flap, pause and lose the store.

    Args:
        seed: Seed of the run.
        gated: Whether daemons use gates; otherwise they choose targets
            by plain hash.
        restart_s: Time that a dead engine takes to restart.
    """
    simulation = fleet.FleetSimulation(
        config=fleet.FleetConfig(restart_s=restart_s), seed=seed
    )
    if not gated:
        simulation.set_placement_policy(baselines.choose_hash)
    rng = random.Random(seed)
    call_at = simulation.loop.call_at
    for number in range(6):
        name = f"e{rng.randrange(simulation.config.engines)}"
        call_at(8.0 + 7.0 * number, simulation.engines[name].crash)
    # Membership changes reach each daemon after its own lag, so lists differ.
    for number in range(5):
        call_at(9.0 + 8.0 * number, lambda: _flap_daemon(simulation, rng))
        call_at(12.0 + 8.0 * number, lambda: _pause_gate(simulation, rng))
    call_at(25.0, lambda: _set_store_down(simulation, down=True))
    call_at(45.0, lambda: _set_store_down(simulation, down=False))
    return _run(simulation, seed)


def run_all_cold(seed: int, *, gated: bool) -> ColdOverload:
    """Starts all engines cold, with the store down from the start."""
    simulation = fleet.FleetSimulation(
        config=fleet.FleetConfig(cold=True), seed=seed
    )
    if not gated:
        simulation.set_placement_policy(baselines.choose_hash)
    _set_store_down(simulation, down=True)
    return _run(simulation, seed)


def run_silent_cold(seed: int) -> list[tuple[int, float]]:
    """Has one engine become cold without a restart.

    Returns:
        For each daemon the attempts that it started there until it treated
        the engine as cold, and the seconds until then.
    """
    simulation = fleet.FleetSimulation(
        config=fleet.FleetConfig(dies_when_overloaded=False), seed=seed
    )
    cold_at = 30.0
    detections: dict[str, tuple[int, float]] = {}
    started = {daemon.id: 0 for daemon in simulation.daemons}

    def make_cold() -> None:
        simulation.engines["e0"].become_cold()
        simulation.on_attempt = on_attempt

    def on_attempt(daemon: fleet.Daemon, target_id: str) -> None:
        if target_id == "e0" and daemon.id not in detections:
            started[daemon.id] += 1

    def check_detection() -> None:
        for daemon in simulation.daemons:
            cold = daemon.router.targets["e0"].is_cold()
            if (
                simulation.loop.now > cold_at
                and cold
                and daemon.id not in detections
            ):
                delay_s = simulation.loop.now - cold_at
                detections[daemon.id] = (started[daemon.id], delay_s)

    simulation.loop.call_at(cold_at, make_cold)
    simulation.loop.call_every(0.02, DURATION_S, check_detection)
    _run(simulation, seed)
    return [
        detections.get(daemon.id, (started[daemon.id], DURATION_S))
        for daemon in simulation.daemons
    ]


def measure(seed: int) -> list[measures.Measure]:
    """Measures overload and detection of cold engines, and recovery."""
    return [
        _measure_faults(seed),
        *_measure_all_cold(seed),
        _measure_silent_cold(seed),
    ]


def _measure_faults(seed: int) -> measures.Measure:
    results = [
        run_faults(seed + offset, gated=True, restart_s=restart_s)
        for offset in range(SEEDS)
        for restart_s in (4.0, 0.5)
    ]
    ungated = run_faults(seed, gated=False)
    peak_excess = max(item.peak_excess for item in results)
    return measures.Measure(
        measure="cold_most_calls_above_what_it_bears",
        value=peak_excess,
        bound=0,
        ok=peak_excess == 0,
        baselines={"no_gate": ungated.peak_excess},
        best=0,
        seed=seed,
        detail={
            "fell_over": sum(item.overload_deaths for item in results),
            "fell_over_no_gate": ungated.overload_deaths,
            "complete": min(item.complete_share for item in results),
            "complete_no_gate": ungated.complete_share,
        },
    )


def _measure_all_cold(seed: int) -> list[measures.Measure]:
    results = [
        run_all_cold(seed + offset, gated=True) for offset in range(SEEDS)
    ]
    ungated = run_all_cold(seed, gated=False)
    peak_excess = max(item.peak_excess for item in results)
    recovered_at = max(item.recovered_at for item in results)
    return [
        measures.Measure(
            measure="cold_all_store_down_most_calls_above",
            value=peak_excess,
            bound=0,
            ok=peak_excess == 0,
            baselines={"no_gate": ungated.peak_excess},
            best=0,
            seed=seed,
            detail={"fell_over_no_gate": ungated.overload_deaths},
        ),
        measures.Measure(
            measure="cold_all_store_down_s_until_up",
            value=recovered_at,
            bound=MAX_RECOVERY_S,
            ok=recovered_at < MAX_RECOVERY_S,
            baselines={"no_gate": ungated.recovered_at},
            best=None,
            seed=seed,
            detail={"complete": min(item.complete_share for item in results)},
        ),
    ]


def _measure_silent_cold(seed: int) -> measures.Measure:
    results = [
        item
        for offset in range(SEEDS)
        for item in run_silent_cold(seed + offset)
    ]
    late = [
        item
        for item in results
        if item[0] > MAX_DETECTION_REQUESTS and item[1] > MAX_DETECTION_S
    ]
    return measures.Measure(
        measure="cold_unnoticed_share_found_late",
        value=len(late) / len(results),
        bound=0.0,
        ok=not late,
        baselines={},
        best=0.0,
        seed=seed,
        detail={
            "most_requests": max(item[0] for item in results),
            "most_s": max(item[1] for item in results),
        },
    )


def _run(simulation: fleet.FleetSimulation, seed: int) -> ColdOverload:
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
    complete_count = sum(item.complete for item in simulation.samples)
    return ColdOverload(
        peak_excess=max(
            item.peak_excess for item in simulation.engines.values()
        ),
        overload_deaths=sum(
            item.overload_deaths for item in simulation.engines.values()
        ),
        complete_share=complete_count / len(simulation.samples),
        recovered_at=_find_recovery(simulation.samples),
    )


def _find_recovery(samples: list[fleet.Sample]) -> float:
    """Returns the end of the last window that was not served in time."""
    windows: dict[int, list[bool]] = {}
    for item in samples:
        time_s = item.first_token_s
        in_time = time_s is not None and time_s <= MAX_FIRST_TOKEN_S
        window = int(item.at / RECOVERY_WINDOW_S)
        windows.setdefault(window, []).append(in_time and item.complete)
    failed_windows = [
        window
        for window, served in windows.items()
        if sum(served) < MIN_SERVED_SHARE * len(served)
    ]
    return (max(failed_windows, default=-1) + 1) * RECOVERY_WINDOW_S


def _set_store_down(simulation: fleet.FleetSimulation, *, down: bool) -> None:
    simulation.table.down = down


def _flap_daemon(simulation: fleet.FleetSimulation, rng: random.Random) -> None:
    """Removes one daemon from the membership list for 5 seconds."""
    simulation.unlisted_daemons = {rng.choice(simulation.daemons).id}
    simulation.change_members()

    def restore_daemon() -> None:
        simulation.unlisted_daemons = set()
        simulation.change_members()

    simulation.loop.call_later(5.0, restore_daemon)


def _pause_gate(simulation: fleet.FleetSimulation, rng: random.Random) -> None:
    """Pauses a daemon, for less or more than its leases last."""
    daemon = rng.choice(simulation.daemons)
    daemon.paused_until = simulation.loop.now + rng.choice((2.0, 15.0))
