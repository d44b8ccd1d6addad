"""Cold engines: never pushed, found soon, and up again without a store."""

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
COME_UP_LIMIT_S = 60.0
UP_WINDOW_S = 2.0
UP_FIRST_TOKEN_S = 2.0
UP_SHARE = 0.95
FIND_LIMIT_REQUESTS = 2
FIND_LIMIT_S = 1.0


class Pushed(msgspec.Struct, frozen=True, kw_only=True):
    """How far cold engines were pushed.

    Attributes:
        over: Most calls in flight above what an engine bore.
        fell_over: How often an engine died of it.
        complete: Share of the requests that got a whole answer.
        up_at: Virtual seconds from which requests are served well: the end
            of the last window in which fewer than 95 in 100 got their first
            token within ``UP_FIRST_TOKEN_S``.
    """

    over: int
    fell_over: int
    complete: float
    up_at: float


def run_trouble(seed: int, *, gated: bool, restart_s: float = 4.0) -> Pushed:
    """Kills engines while gates die, are paused and lose the store."""
    world = fleet.Fleet(layout=fleet.Layout(restart_s=restart_s), seed=seed)
    if not gated:
        world.set_choose(baselines.choose_hash)
    rng = random.Random(seed)
    call_at = world.loop.call_at
    for number in range(6):
        name = f"e{rng.randrange(world.layout.engines)}"
        call_at(8.0 + 7.0 * number, world.engines[name].crash)
    # The daemons' lists differ: each change reaches each after its own lag.
    for number in range(5):
        call_at(9.0 + 8.0 * number, lambda: _flap_daemon(world, rng))
        call_at(12.0 + 8.0 * number, lambda: _pause_gate(world, rng))
    call_at(25.0, lambda: _set_store(world, down=True))
    call_at(45.0, lambda: _set_store(world, down=False))
    return _run(world, seed)


def run_all_cold(seed: int, *, gated: bool) -> Pushed:
    """Starts all engines cold, with the store down from the first moment."""
    world = fleet.Fleet(layout=fleet.Layout(cold=True), seed=seed)
    if not gated:
        world.set_choose(baselines.choose_hash)
    _set_store(world, down=True)
    return _run(world, seed)


def run_unnoticed(seed: int) -> list[tuple[int, float]]:
    """Has one engine turn cold without a restart.

    Returns:
        For each daemon the calls it began there until it took the engine
        for cold, and the seconds that this took.
    """
    world = fleet.Fleet(layout=fleet.Layout(falls_over=False), seed=seed)
    turned_at = 30.0
    found: dict[str, tuple[int, float]] = {}
    begun = {daemon.id: 0 for daemon in world.daemons}

    def turn() -> None:
        world.engines["e0"].turn_cold()
        world.watch = watch

    def watch(daemon: fleet.Daemon, target_id: str) -> None:
        if target_id == "e0" and daemon.id not in found:
            begun[daemon.id] += 1

    def check() -> None:
        for daemon in world.daemons:
            cold = daemon.router.targets["e0"].is_cold()
            if world.loop.now > turned_at and cold and daemon.id not in found:
                took = world.loop.now - turned_at
                found[daemon.id] = (begun[daemon.id], took)

    world.loop.call_at(turned_at, turn)
    world.loop.call_every(0.02, DURATION_S, check)
    _run(world, seed)
    return [
        found.get(daemon.id, (begun[daemon.id], DURATION_S))
        for daemon in world.daemons
    ]


def measure(seed: int) -> list[measures.Measure]:
    """Measures how far cold engines are pushed, and how soon one is found."""
    return [
        _measure_trouble(seed),
        *_measure_all_cold(seed),
        _measure_unnoticed(seed),
    ]


def _measure_trouble(seed: int) -> measures.Measure:
    found = [
        run_trouble(seed + step, gated=True, restart_s=restart_s)
        for step in range(SEEDS)
        for restart_s in (4.0, 0.5)
    ]
    free = run_trouble(seed, gated=False)
    over = max(item.over for item in found)
    return measures.Measure(
        measure="cold_most_calls_above_what_it_bears",
        value=over,
        bound=0,
        ok=over == 0,
        baselines={"no_gate": free.over},
        best=0,
        seed=seed,
        detail={
            "fell_over": sum(item.fell_over for item in found),
            "fell_over_no_gate": free.fell_over,
            "complete": min(item.complete for item in found),
            "complete_no_gate": free.complete,
        },
    )


def _measure_all_cold(seed: int) -> list[measures.Measure]:
    found = [run_all_cold(seed + step, gated=True) for step in range(SEEDS)]
    free = run_all_cold(seed, gated=False)
    over = max(item.over for item in found)
    up_at = max(item.up_at for item in found)
    return [
        measures.Measure(
            measure="cold_all_store_down_most_calls_above",
            value=over,
            bound=0,
            ok=over == 0,
            baselines={"no_gate": free.over},
            best=0,
            seed=seed,
            detail={"fell_over_no_gate": free.fell_over},
        ),
        measures.Measure(
            measure="cold_all_store_down_s_until_up",
            value=up_at,
            bound=COME_UP_LIMIT_S,
            ok=up_at < COME_UP_LIMIT_S,
            baselines={"no_gate": free.up_at},
            best=None,
            seed=seed,
            detail={"complete": min(item.complete for item in found)},
        ),
    ]


def _measure_unnoticed(seed: int) -> measures.Measure:
    found = [
        item for step in range(SEEDS) for item in run_unnoticed(seed + step)
    ]
    late = [
        item
        for item in found
        if item[0] > FIND_LIMIT_REQUESTS and item[1] > FIND_LIMIT_S
    ]
    return measures.Measure(
        measure="cold_unnoticed_share_found_late",
        value=len(late) / len(found),
        bound=0.0,
        ok=not late,
        baselines={},
        best=0.0,
        seed=seed,
        detail={
            "most_requests": max(item[0] for item in found),
            "most_s": max(item[1] for item in found),
        },
    )


def _run(world: fleet.Fleet, seed: int) -> Pushed:
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
    done = sum(item.complete for item in world.samples)
    return Pushed(
        over=max(item.peak_over for item in world.engines.values()),
        fell_over=sum(item.fell_over for item in world.engines.values()),
        complete=done / len(world.samples),
        up_at=_find_up(world.samples),
    )


def _find_up(samples: list[fleet.Sample]) -> float:
    """Returns the end of the last window that was not served well."""
    windows: dict[int, list[bool]] = {}
    for item in samples:
        first = item.first_token_s
        soon = first is not None and first <= UP_FIRST_TOKEN_S
        window = int(item.at / UP_WINDOW_S)
        windows.setdefault(window, []).append(soon and item.complete)
    bad = [
        window
        for window, served in windows.items()
        if sum(served) < UP_SHARE * len(served)
    ]
    return (max(bad, default=-1) + 1) * UP_WINDOW_S


def _set_store(world: fleet.Fleet, *, down: bool) -> None:
    world.table.down = down


def _flap_daemon(world: fleet.Fleet, rng: random.Random) -> None:
    """Hides one daemon from the list for some seconds."""
    world.hidden = {rng.choice(world.daemons).id}
    world.change_members()

    def show() -> None:
        world.hidden = set()
        world.change_members()

    world.loop.call_later(5.0, show)


def _pause_gate(world: fleet.Fleet, rng: random.Random) -> None:
    """Pauses a daemon, past its leases' end or not."""
    daemon = rng.choice(world.daemons)
    daemon.paused_until = world.loop.now + rng.choice((2.0, 15.0))
