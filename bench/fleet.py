"""Daemons with the real core before fake engines, in virtual time.

Each daemon has its own lagging view: load reports and membership lists reach
each of them after a time of its own.
"""

from collections import abc
import functools
import random

import msgspec

from bench import clock
from bench import engines
from bench import store
from bench import traffic
from mothpass.core import catalogue
from mothpass.core import errors
from mothpass.core import gate_table
from mothpass.core import gates
from mothpass.core import leases
from mothpass.core import routing
from mothpass.core import targets
from mothpass.ports import members

MODEL = "advice"
CALL_LIMIT_MS = 60_000
DEADLINE_S = 30.0
PEER_S = 0.001
REPORT_INTERVAL_S = 1.0
TICK_S = 0.25
RESTART_S = 4.0
ZONES = ("a", "b", "c")

# Chooses for one daemon; the baselines replace Router.choose by their own.
Choose = abc.Callable[
    [routing.Router, routing.RouteRequest, float], routing.Placement
]


class Layout(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes and lags of a fleet.

    Attributes:
        daemons: Count of daemons, and of their slots.
        engines: Count of engines.
        batch: Calls that an engine runs at once.
        cache_tokens: Prompt tokens that an engine keeps.
        cold_start: What a cold engine bears.
        skew_multiple: Bound of the catalogue.
        report_lag_s: Least and most age of a load report at a daemon.
        member_lag_s: Least and most age of a membership list at a daemon.
        cold: Whether all engines start cold.
        falls_over: Whether a cold engine dies when it is pushed.
        restart_s: Time that a dead engine takes to come up.
    """

    daemons: int = 8
    engines: int = 5
    batch: int = 64
    cache_tokens: int = 400_000
    cold_start: catalogue.ColdStart = catalogue.ColdStart(
        in_flight=4, answers_per_step=2, warm_in_flight=16
    )
    skew_multiple: float = 1.25
    report_lag_s: tuple[float, float] = (0.75, 1.25)
    member_lag_s: tuple[float, float] = (0.5, 3.0)
    cold: bool = False
    falls_over: bool = True
    restart_s: float = RESTART_S


class Sample(msgspec.Struct, frozen=True, kw_only=True):
    """What became of one request.

    Attributes:
        at: Virtual seconds of its arrival.
        turn: The request.
        target_id: Engine of its last attempt, empty where there was none.
        cached_tokens: Prompt tokens found in the cache.
        first_token_s: Time to the first token, None where none came.
        complete: Whether a whole answer came.
        attempts: Calls of engines that it took.
    """

    at: float
    turn: traffic.Turn
    target_id: str
    cached_tokens: int
    first_token_s: float | None
    complete: bool
    attempts: int


class Daemon:
    """One daemon of the bench.

    Attributes:
        id: Instance id.
        router: The real router.
        gate_table: The real gates.
        paused_until: Virtual seconds until which it does nothing.
        dead: Whether it has died.
        control_sends: Messages to other daemons.
    """

    __slots__ = (
        "control_sends",
        "dead",
        "gate_table",
        "id",
        "paused_until",
        "router",
    )

    def __init__(self, *, slot: int, slots: int, seed: int) -> None:
        """Knows neither a catalogue nor a target."""
        self.id = f"d{slot}"
        self.router = routing.Router(
            instance_id=self.id,
            availability_zone=ZONES[slot % len(ZONES)],
            slot=slot,
            slots=slots,
            random=random.Random(seed * 1000 + slot),
        )
        self.gate_table = gate_table.GateTable(
            instance_id=self.id,
            find_start=self._find_start,
            call_limit_ms=CALL_LIMIT_MS,
        )
        self.paused_until = 0.0
        self.dead = False
        self.control_sends = 0

    def _find_start(self, target_id: str) -> catalogue.ColdStart | None:
        target = self.router.targets.get(target_id)
        return target.cold_start if target is not None else None


class Request:
    """One request at a daemon, over its attempts."""

    __slots__ = ("attempts", "daemon", "excluded", "turn", "work")

    def __init__(self, *, turn: traffic.Turn, daemon: Daemon) -> None:
        """Has made no attempt yet."""
        self.turn = turn
        self.daemon = daemon
        self.excluded: frozenset[str] = frozenset()
        self.attempts = 0
        self.work: engines.Work | None = None


class Fleet:
    """Daemons, engines and the lagging news between them.

    Attributes:
        loop: Virtual time.
        layout: Sizes and lags.
        engines: Engines by id.
        daemons: All daemons.
        table: The table service.
        samples: What became of each request that has ended.
        leaving: Engines that the list shows as leaving.
        gone: Engines that the list doesn't show.
        hidden: Daemons that the list doesn't show.
        teams: Team of each chat.
        watch: Called at each call of an engine, if set.
    """

    def __init__(
        self,
        *,
        layout: Layout,
        seed: int,
        reserve_only: bool = False,
    ) -> None:
        """Builds the fleet; nothing runs before ``loop.run``."""
        self.loop = clock.Loop()
        self.layout = layout
        self.rng = random.Random(seed)
        self.table = store.Table()
        self.samples: list[Sample] = []
        self.leaving: set[str] = set()
        self.gone: set[str] = set()
        self.hidden: set[str] = set()
        self.teams: dict[int, int] = {}
        self.watch: abc.Callable[[Daemon, str], None] | None = None
        self.catalogue = make_catalogue(layout)
        self._choose: Choose | None = None
        self._reserve_only = reserve_only
        self._next_daemon = 0
        self._revision = 0
        self.engines = {
            f"e{number}": engines.Engine(
                loop=self.loop,
                engine_id=f"e{number}",
                batch=layout.batch,
                cache_tokens=layout.cache_tokens,
                cold_start=layout.cold_start,
                cold=layout.cold,
                falls_over=layout.falls_over,
                restart_s=layout.restart_s,
            )
            for number in range(layout.engines)
        }
        self.daemons = [
            Daemon(slot=slot, slots=layout.daemons, seed=seed)
            for slot in range(layout.daemons)
        ]

    def set_choose(self, choose: Choose) -> None:
        """Replaces the routers' choice by another one."""
        self._choose = choose

    def start(self, until: float) -> None:
        """Gives the first news and starts the ticks of reports and leases."""
        now = self.loop.now
        for daemon in self.daemons:
            daemon.router.set_catalogue(self.catalogue, now=now)
            daemon.router.set_members(self._list_members(), now=now)
            self._deliver(daemon, self._read_loads())
        self.loop.call_every(REPORT_INTERVAL_S, until, self._send_reports)
        self.loop.call_every(TICK_S, until, self._tick_leases)
        for daemon in self.daemons:
            tell = functools.partial(self._send_counts, daemon)
            daemon.router.publish_now = tell
            # Daemons keep no step with each other.
            self.loop.call_later(
                self.rng.uniform(0.0, TICK_S),
                functools.partial(self.loop.call_every, TICK_S, until, tell),
            )

    def submit(self, turns: abc.Iterable[traffic.Turn]) -> None:
        """Has each request arrive at the next daemon that is up, in turn."""
        for turn in turns:
            self.teams[turn.chat] = turn.team
            self.loop.call_at(turn.at, functools.partial(self._arrive, turn))

    def change_members(self) -> None:
        """Tells each daemon of the present list, after its own lag."""
        listed = self._list_members()
        for daemon in self.daemons:
            lag = self.rng.uniform(*self.layout.member_lag_s)
            self.loop.call_later(
                lag,
                functools.partial(self._give_members, daemon, listed),
            )

    def change_catalogue(
        self, changed: catalogue.Catalogue, most_lag_s: float
    ) -> None:
        """Puts a catalogue into force on each daemon after its own lag."""
        self.catalogue = changed
        for daemon in self.daemons:
            lag = self.rng.uniform(0.0, most_lag_s)
            self.loop.call_later(
                lag,
                functools.partial(self._give_catalogue, daemon, changed),
            )

    def find_zone(self, engine_id: str) -> str:
        """Returns the availability zone of an engine."""
        return ZONES[list(self.engines).index(engine_id) % len(ZONES)]

    def list_loads(self) -> list[int]:
        """Returns what each engine that is up carries at this moment."""
        return [item.in_flight for item in self.engines.values() if item.up]

    def _give_members(self, daemon: Daemon, listed: members.Members) -> None:
        if not daemon.dead:
            daemon.router.set_members(listed, now=self.loop.now)

    def _give_catalogue(
        self, daemon: Daemon, changed: catalogue.Catalogue
    ) -> None:
        if not daemon.dead:
            daemon.router.set_catalogue(changed, now=self.loop.now)

    def _list_members(self) -> members.Members:
        self._revision += 1
        instances = [
            make_instance(item.id, members.Role.DAEMON, number)
            for number, item in enumerate(self.daemons)
            if not item.dead and item.id not in self.hidden
        ]
        instances += [
            make_instance(
                item, members.Role.ENGINE, number, item in self.leaving
            )
            for number, item in enumerate(self.engines)
            if item not in self.gone
        ]
        return members.Members(revision=self._revision, instances=instances)

    def _read_loads(self) -> list[targets.LoadRecord]:
        return [
            targets.LoadRecord(
                target_id=item.id,
                boot_id=item.boot_id,
                phase=item.phase,
                running=item.running,
                queued=item.queued,
                received_at=self.loop.now,
            )
            for item in self.engines.values()
            if item.up
        ]

    def _send_reports(self) -> None:
        records = self._read_loads()
        for daemon in self.daemons:
            for record in records:
                lag = self.rng.uniform(*self.layout.report_lag_s)
                self.loop.call_later(
                    lag,
                    functools.partial(self._deliver, daemon, [record]),
                )

    def _send_counts(self, daemon: Daemon) -> None:
        """Tells each other daemon this one's calls in flight."""
        now = self.loop.now
        if daemon.dead or now < daemon.paused_until:
            return
        own = daemon.router.publish_counts(now=now)
        lost = daemon.router.list_dead_boots(now=now)
        for other in self.daemons:
            if other is not daemon and not other.dead:
                daemon.control_sends += 1
                self.loop.call_later(
                    PEER_S,
                    functools.partial(
                        self._take_counts, other, daemon.id, own, lost
                    ),
                )

    def _take_counts(
        self,
        daemon: Daemon,
        sender: str,
        counts: dict[str, int],
        lost: dict[str, str],
    ) -> None:
        now = self.loop.now
        daemon.router.record_dead_boots(lost, now=now)
        daemon.router.record_counts(sender, counts, now=now)

    def _deliver(
        self, daemon: Daemon, records: list[targets.LoadRecord]
    ) -> None:
        now = self.loop.now
        if daemon.dead or now < daemon.paused_until:
            return
        daemon.router.record_loads(records, now=now)
        for record in records:
            daemon.gate_table.record_load(record)

    def _tick_leases(self) -> None:
        if self._reserve_only:
            return
        now = self.loop.now
        for daemon in self.daemons:
            if daemon.dead or now < daemon.paused_until:
                continue
            daemon.gate_table.expire(now)
            for lease, step in daemon.gate_table.plan(
                daemon.router.daemons, now=now
            ):
                self._run_step(lease, step, now)

    def _run_step(
        self, lease: leases.Lease, step: leases.Read | leases.Take, now: float
    ) -> None:
        try:
            if isinstance(step, leases.Read):
                lease.record_row(self.table.read(step.key), now)
            elif self.table.write(step.write):
                lease.record_committed(step, now)
            else:
                lease.record_conflict(now)
        except errors.StoreUnavailableError:
            lease.record_unavailable(now)
        except errors.StoreUnconfirmedError:
            lease.record_unconfirmed(now)

    def _arrive(self, turn: traffic.Turn) -> None:
        for _ in self.daemons:
            daemon = self.daemons[self._next_daemon % len(self.daemons)]
            self._next_daemon += 1
            if not daemon.dead and self.loop.now >= daemon.paused_until:
                self._route(Request(turn=turn, daemon=daemon))
                return

    def _route(self, request: Request) -> None:
        now = self.loop.now
        daemon = request.daemon
        if now < daemon.paused_until:
            self.loop.call_at(daemon.paused_until, lambda: self._route(request))
            return
        if daemon.dead or now > request.turn.at + DEADLINE_S:
            self._end(request, complete=False)
            return
        ask = routing.RouteRequest(
            name=MODEL, chat=request.turn.chat, excluded=request.excluded
        )
        if self._choose is None:
            choice = daemon.router.choose(ask, now=now)
        else:
            choice = self._choose(daemon.router, ask, now)
        if isinstance(choice, routing.Send):
            self._send(request, choice.target_id, choice.permit)
        elif isinstance(choice, routing.RequestPermit):
            self._ask(request, choice, 0, now)
        elif isinstance(choice, routing.Wait):
            self.loop.call_at(choice.until, lambda: self._route(request))
        else:
            # All targets have failed this request once: begin again.
            request.excluded = frozenset()
            self.loop.call_later(0.2, lambda: self._route(request))

    def _ask(
        self,
        request: Request,
        ask: routing.RequestPermit,
        place: int,
        requested_at: float,
    ) -> None:
        """Asks the gates in order, each over the network."""
        if place >= len(ask.gates):
            self._route(request)
            return
        request.daemon.control_sends += 1
        found = [item for item in self.daemons if item.id == ask.gates[place]]
        grant_request = gates.GrantRequest(
            target_id=ask.target_id,
            boot_id=ask.boot_id,
            call_ms=CALL_LIMIT_MS,
        )

        def answer() -> None:
            now = self.loop.now
            gate = found[0]
            if gate.dead or now < gate.paused_until:
                self.loop.call_later(
                    0.1,
                    lambda: self._ask(request, ask, place + 1, requested_at),
                )
                return
            reply = gate.gate_table.grant(grant_request, now=now)
            if isinstance(reply, gates.Granted):
                permit = gates.make_permit(
                    grant_request,
                    reply,
                    gate=gate.id,
                    requested_at=requested_at,
                )
                self.loop.call_later(
                    PEER_S, lambda: self._send(request, ask.target_id, permit)
                )
                return
            self.loop.call_later(
                PEER_S, lambda: self._ask(request, ask, place + 1, requested_at)
            )

        if found:
            self.loop.call_later(PEER_S, answer)
        else:
            self._ask(request, ask, place + 1, requested_at)

    def _send(
        self, request: Request, target_id: str, permit: gates.Permit | None
    ) -> None:
        daemon = request.daemon
        now = self.loop.now
        if daemon.dead:
            self._end(request, complete=False)
            return
        if now < daemon.paused_until:
            self.loop.call_at(
                daemon.paused_until,
                lambda: self._send(request, target_id, permit),
            )
            return
        if self._choose is not None:
            daemon.router.targets[target_id].start_attempt(now)
        elif not daemon.router.start_attempt(target_id, permit=permit, now=now):
            self._tell_gate(daemon, permit, answered=False)
            self.loop.call_later(0.0, lambda: self._route(request))
            return
        request.attempts += 1
        if self.watch is not None:
            self.watch(daemon, target_id)
        engine = self.engines[target_id]
        turn = request.turn
        work = engines.Work(
            chat=turn.chat,
            prompt_tokens=turn.prompt_tokens,
            output_tokens=turn.output_tokens,
            on_first_token=lambda: daemon.router.record_first_token(
                target_id,
                first_token_ms=(self.loop.now - now) * 1000,
                now=self.loop.now,
                prompt_tokens=turn.prompt_tokens,
            ),
            on_end=lambda whole: self._finish(
                request, target_id, permit, whole
            ),
        )
        request.work = work
        if not engine.take(work):
            self._note_end(
                request, target_id, permit, targets.Outcome.UNREACHABLE
            )
            request.excluded |= {target_id}
            self.loop.call_later(0.05, lambda: self._route(request))

    def _finish(
        self,
        request: Request,
        target_id: str,
        permit: gates.Permit | None,
        whole: bool,
    ) -> None:
        outcome = targets.Outcome.ANSWERED if whole else targets.Outcome.LOST
        self._note_end(request, target_id, permit, outcome)
        if whole:
            self._end(request, complete=True, target_id=target_id)
            return
        work = request.work
        if work is not None and work.first_token_at is not None:
            # The caller has seen a part, so that it can't be sent again.
            self._end(request, complete=False, target_id=target_id)
            return
        request.excluded |= {target_id}
        self.loop.call_later(0.05, lambda: self._route(request))

    def _note_end(
        self,
        request: Request,
        target_id: str,
        permit: gates.Permit | None,
        outcome: targets.Outcome,
    ) -> None:
        request.daemon.router.finish_attempt(
            target_id,
            outcome,
            first_token_ms=None,
            now=self.loop.now,
            permit=permit,
        )
        answered = outcome is targets.Outcome.ANSWERED
        self._tell_gate(request.daemon, permit, answered=answered)

    def _tell_gate(
        self, daemon: Daemon, permit: gates.Permit | None, *, answered: bool
    ) -> None:
        """Releases a gate's permit at that gate."""
        if permit is None or daemon.dead:
            return
        if permit.source is not gates.Source.GATE:
            return
        release = gates.make_release(permit, answered=answered)
        daemon.control_sends += 1
        for gate in self.daemons:
            if gate.id == permit.gate:
                self.loop.call_later(
                    PEER_S, functools.partial(self._release, gate, release)
                )

    def _release(self, gate: Daemon, release: gates.Release) -> None:
        if not gate.dead:
            gate.gate_table.release(release, now=self.loop.now)

    def _end(
        self, request: Request, *, complete: bool, target_id: str = ""
    ) -> None:
        work = request.work
        first = None
        if work is not None and work.first_token_at is not None:
            first = work.first_token_at - request.turn.at
        self.samples.append(
            Sample(
                at=request.turn.at,
                turn=request.turn,
                target_id=target_id,
                cached_tokens=work.cached_tokens if work is not None else 0,
                first_token_s=first,
                complete=complete,
                attempts=request.attempts,
            )
        )


def make_catalogue(
    layout: Layout,
    *,
    zones_out: tuple[str, ...] = (),
    instances_out: tuple[str, ...] = (),
) -> catalogue.Catalogue:
    """Returns the catalogue of the bench: one model, three zones."""
    limits = catalogue.Limits(
        in_flight=100_000, requests_per_s=100_000, queued=100_000
    )
    return catalogue.Catalogue(
        classes=[],
        teams=[],
        services=[],
        models=[
            catalogue.Model(
                name=MODEL,
                owner="bench",
                service_class="chat",
                limits=limits,
                target_in_flight=layout.batch,
                skew_multiple=layout.skew_multiple,
                cold_start=layout.cold_start,
            )
        ],
        availability_zones=[
            catalogue.AvailabilityZone(
                name=zone, region="bc-west", out=zone in zones_out
            )
            for zone in ZONES
        ],
        instances_out=list(instances_out),
    )


def make_instance(
    instance_id: str,
    role: members.Role,
    number: int,
    leaving: bool = False,
) -> members.Instance:
    """Returns an entry of the membership list."""
    return members.Instance(
        id=instance_id,
        role=role,
        state=members.State.LEAVING if leaving else members.State.LIVE,
        address=f"127.0.0.1:{9000 + number}",
        availability_zone=ZONES[number % len(ZONES)],
        serves=[MODEL] if role is members.Role.ENGINE else [],
    )
