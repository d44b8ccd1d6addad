"""A request that crashes each target that runs it, sent again and again.

Daemons run the real suspects and trials before fake engines; records reach
the other daemons with the control batches. The baselines know no suspects,
or refuse at once all that ran when a target died.
"""

from collections import abc
import enum
import itertools
import random

import msgspec

from bench import clock
from bench import measures
from mothpass.core import gates
from mothpass.core import suspects
from mothpass.core import trials

DAEMONS = 8
ENGINES = 5
RATE_PER_S = 40.0
SERVICE_S = (0.6, 1.4)
FIRST_EVENT_SHARE = 0.1
KILL_AFTER_S = 0.2
RESTART_S = 3.0
TICK_S = 0.5
PEER_DELAY_S = 0.005
KILLER_AT_S = 10.0
END_S = 60.0
DRAIN_S = 30.0
PATIENCE_S = 20.0
RESEND_S = 0.3
RETRY_S = 0.05
KILLS_BOUND = 2
KILLER = 0


class Way(enum.Enum):
    """How daemons treat requests that ran when a target died."""

    TRIALS = "trials"
    NONE = "none"
    REFUSE_ALL = "refuse_all"


class _Request:
    """One request of a caller, over all its sendings."""

    def __init__(self, *, fingerprint: int, born_at: float) -> None:
        self.fingerprint = fingerprint
        self.born_at = born_at
        self.served = False
        self.was_beside = False


class _Run:
    """One run of a request at an engine."""

    def __init__(
        self,
        *,
        request: _Request,
        daemon: int,
        on_death: abc.Callable[[], None],
    ) -> None:
        self.request = request
        self.daemon = daemon
        self.on_death = on_death
        self.events = 0
        self.over = False


class _Engine:
    """An engine that dies when the killer has run for a moment."""

    def __init__(self, *, number: int) -> None:
        self.id = f"e{number}"
        self.boot = 1
        self.up = True
        self.runs: list[_Run] = []

    @property
    def boot_id(self) -> str:
        return f"{self.id}-{self.boot}"


class World:
    """A fleet with one caller whose request crashes targets.

    Attributes:
        kills: Engines that died.
        requests: All requests of innocent callers.
    """

    def __init__(self, *, seed: int, way: Way) -> None:
        """Prepares a run.

        Args:
            seed: Seed of all randomness.
            way: How daemons treat suspects.
        """
        self.loop = clock.Loop()
        self.kills = 0
        self.requests: list[_Request] = []
        self._random = random.Random(seed)
        self._way = way
        self._engines = [_Engine(number=number) for number in range(ENGINES)]
        self._suspects = [
            suspects.SuspectTable(own_id=f"d{number}")
            for number in range(DAEMONS)
        ]
        self._gate = trials.TrialTable()
        self._refused: set[int] = set()
        self._turns = itertools.count()
        self._fingerprints = itertools.count(KILLER + 1)

    def run(self) -> None:
        """Runs to the end."""
        self._schedule_arrival()
        killer = _Request(fingerprint=KILLER, born_at=KILLER_AT_S)
        self.loop.call_at(KILLER_AT_S, lambda: self._send(killer))
        self.loop.call_every(TICK_S, END_S, self._exchange)
        self.loop.run(END_S)

    def _schedule_arrival(self) -> None:
        def arrive() -> None:
            request = _Request(
                fingerprint=next(self._fingerprints), born_at=self.loop.now
            )
            self.requests.append(request)
            self._send(request)
            self._schedule_arrival()

        pause_s = self._random.expovariate(RATE_PER_S)
        self.loop.call_later(pause_s, arrive)

    def _exchange(self) -> None:
        """Passes each daemon's records to all others, a little later."""
        now = self.loop.now
        for sender in range(DAEMONS):
            records = self._suspects[sender].export(
                changed_since=now - 2 * TICK_S, now=now
            )
            if records:
                self.loop.call_later(
                    PEER_DELAY_S, self._make_delivery(sender, records)
                )

    def _make_delivery(
        self, sender: int, records: list[suspects.Record]
    ) -> abc.Callable[[], None]:
        def deliver() -> None:
            for number, found in enumerate(self._suspects):
                if number != sender:
                    found.merge(records, now=self.loop.now)

        return deliver

    def _send(self, request: _Request) -> None:
        """Sends a request through the next daemon of the balancer."""
        is_late = self.loop.now > request.born_at + PATIENCE_S
        if is_late and request.fingerprint != KILLER:
            return
        self._route(request, next(self._turns) % DAEMONS)

    def _resend(self, request: _Request, pause_s: float = RESEND_S) -> None:
        self.loop.call_later(pause_s, lambda: self._send(request))

    def _route(self, request: _Request, daemon: int) -> None:
        """Does what a daemon's dispatcher does."""
        if self._way is Way.REFUSE_ALL and (
            request.fingerprint in self._refused
        ):
            self._resend(request)
            return
        found = self._suspects[daemon]
        decision = suspects.Decision(verdict=suspects.Verdict.CLEAR)
        if self._way is Way.TRIALS:
            decision = found.check(request.fingerprint, now=self.loop.now)
        if decision.verdict is suspects.Verdict.CLEAR:
            self._start_anywhere(request, daemon)
        elif decision.verdict is suspects.Verdict.HELD:
            self.loop.call_at(
                decision.until, lambda: self._route(request, daemon)
            )
        elif decision.verdict is suspects.Verdict.ALONE:
            self._start_trial(request, daemon)
        elif decision.verdict is suspects.Verdict.ELSEWHERE:
            self._resend(request, 2.0)
        else:
            # The caller of the killer doesn't wait as it is told.
            self._resend(request)

    def _start_anywhere(self, request: _Request, daemon: int) -> None:
        up = [engine for engine in self._engines if engine.up]
        if not up:
            self.loop.call_later(RETRY_S, lambda: self._route(request, daemon))
            return
        self._start(request, daemon, self._random.choice(up), None)

    def _start_trial(self, request: _Request, daemon: int) -> None:
        """Asks gates until one grants the trial at its target."""
        order = self._random.sample(self._engines, ENGINES)
        for engine in (item for item in order if item.up):
            ask = gates.GrantRequest(
                target_id=engine.id,
                boot_id=engine.boot_id,
                call_ms=5000,
                alone=True,
            )
            reply = self._gate.grant(ask, fencing=1, now=self.loop.now)
            if isinstance(reply, gates.Granted):
                permit = gates.make_permit(
                    ask, reply, gate="d0", requested_at=self.loop.now
                )
                self._start(request, daemon, engine, permit)
                return
        self.loop.call_later(
            RETRY_S, lambda: self._start_trial(request, daemon)
        )

    def _start(
        self,
        request: _Request,
        daemon: int,
        engine: _Engine,
        permit: gates.Permit | None,
    ) -> None:
        def release() -> None:
            if permit is not None:
                self._gate.release(gates.make_release(permit, answered=True))

        def on_death() -> None:
            release()
            self._lose(request, daemon, run)

        run = _Run(request=request, daemon=daemon, on_death=on_death)
        engine.runs.append(run)
        if request.fingerprint == KILLER:
            self.loop.call_later(KILL_AFTER_S, lambda: self._kill(engine, run))
            return
        service_s = self._random.uniform(*SERVICE_S)

        def show_first() -> None:
            if not run.over:
                run.events = 1
                self._progress(request, daemon, 1, release)

        def end() -> None:
            if not run.over:
                run.over = True
                engine.runs.remove(run)
                request.served = True
                self._progress(request, daemon, 1 << 30, release)

        self.loop.call_later(FIRST_EVENT_SHARE * service_s, show_first)
        self.loop.call_later(service_s, end)

    def _progress(
        self,
        request: _Request,
        daemon: int,
        position: int,
        release: abc.Callable[[], None],
    ) -> None:
        found = self._suspects[daemon]
        if found.record_progress(
            request.fingerprint, position, now=self.loop.now
        ):
            release()

    def _kill(self, engine: _Engine, killer_run: _Run) -> None:
        if killer_run.over or not engine.up:
            return
        self.kills += 1
        engine.up = False
        lost, engine.runs = engine.runs, []
        boot_id = engine.boot_id
        for daemon in range(DAEMONS):
            running = [
                suspects.InFlightRequest(
                    fingerprint=run.request.fingerprint, position=run.events
                )
                for run in lost
                if run.daemon == daemon
            ]
            if running and self._way is Way.TRIALS:
                self._suspects[daemon].record_death(
                    boot_id, running, now=self.loop.now
                )
        for run in lost:
            run.over = True
            run.request.was_beside = True
            self._refused.add(run.request.fingerprint)
            run.on_death()
        self.loop.call_later(RESTART_S, lambda: self._restart(engine))

    def _restart(self, engine: _Engine) -> None:
        engine.boot += 1
        engine.up = True

    def _lose(self, request: _Request, daemon: int, run: _Run) -> None:
        """Runs a request again if its caller has seen nothing of it."""
        if run.events == 0:
            self._route(request, daemon)
            return
        self._suspects[daemon].release_trial(
            request.fingerprint, now=self.loop.now
        )
        self._resend(request)


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """What a run showed.

    Attributes:
        kills: Engines that died.
        beside_served: Share of the requests beside the killer that got a
            whole answer in time; 1 where there were none.
        served: Share of all innocent requests.
    """

    kills: int
    beside_served: float
    served: float


def run_killer(*, seed: int, way: Way) -> Outcome:
    """Runs the killer against one way to treat suspects."""
    world = World(seed=seed, way=way)
    world.run()
    settled = [
        item for item in world.requests if item.born_at < END_S - DRAIN_S
    ]
    beside = [item for item in settled if item.was_beside]
    return Outcome(
        kills=world.kills,
        beside_served=_share_served(beside),
        served=_share_served(settled),
    )


def _share_served(requests: list[_Request]) -> float:
    if not requests:
        return 1.0
    return sum(item.served for item in requests) / len(requests)


def measure(seed: int) -> list[measures.Measure]:
    """Measures kills and service beside the killer."""
    found = run_killer(seed=seed, way=Way.TRIALS)
    none = run_killer(seed=seed, way=Way.NONE)
    refuse = run_killer(seed=seed, way=Way.REFUSE_ALL)
    return [
        measures.Measure(
            measure="killer_targets_killed",
            value=found.kills,
            bound=KILLS_BOUND,
            ok=found.kills <= KILLS_BOUND,
            baselines={"no_suspects": none.kills, "refuse_all": refuse.kills},
            best=1,
            seed=seed,
        ),
        measures.Measure(
            measure="killer_share_served_of_those_beside",
            value=found.beside_served,
            bound=1.0,
            ok=found.beside_served >= 1.0,
            baselines={
                "no_suspects": none.beside_served,
                "refuse_all": refuse.beside_served,
            },
            best=1.0,
            seed=seed,
        ),
    ]
