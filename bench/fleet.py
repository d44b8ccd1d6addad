"""Simulates a fleet: daemons with the real core and simulated engines.

Load reports and membership lists reach each daemon after a delay of its own,
so daemons place requests on different, stale views.
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
MAX_REQUEST_MS = 60_000
DEADLINE_S = 30.0
PEER_DELAY_S = 0.001
REPORT_INTERVAL_S = 1.0
CONTROL_INTERVAL_S = 0.25
RESTART_DELAY_S = 4.0
ZONES = ("a", "b", "c")

# Chooses the placement of a request; baselines replace Router.choose with it.
PlacementPolicy = abc.Callable[
    [routing.Router, routing.RouteRequest, float], routing.Placement
]


class FleetConfig(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes, lags and fault behaviour of a simulated fleet.

    Attributes:
        daemons: Number of daemons, and of their slots.
        engines: Number of engines.
        batch_size: Attempts that an engine runs at once.
        cache_tokens: Size of an engine's prefix cache in tokens.
        cold_start: Attempts in flight that a cold engine survives.
        skew_multiple: Skew bound of the catalogue, as a multiple of the mean.
        report_lag_s: Range of the delay of a load report to a daemon.
        member_lag_s: Range of the delay of a membership list to a daemon.
        cold: Whether all engines start cold.
        dies_when_overloaded: Whether a cold engine dies above its limit.
        restart_s: Time that a dead engine takes to restart.
    """

    daemons: int = 8
    engines: int = 5
    batch_size: int = 64
    cache_tokens: int = 400_000
    cold_start: catalogue.ColdStart = catalogue.ColdStart(
        in_flight=4, answers_per_step=2, warm_in_flight=16
    )
    skew_multiple: float = 1.25
    report_lag_s: tuple[float, float] = (0.75, 1.25)
    member_lag_s: tuple[float, float] = (0.5, 3.0)
    cold: bool = False
    dies_when_overloaded: bool = True
    restart_s: float = RESTART_DELAY_S


class Sample(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of one request.

    Attributes:
        at: Virtual time of its arrival in seconds.
        turn: The request.
        target_id: Engine of its last attempt, empty where none was sent.
        cached_tokens: Prompt tokens found in the cache.
        first_token_s: Time to the first token, None where none came.
        complete: Whether the client received a complete answer.
        attempt_count: Number of attempts made.
    """

    at: float
    turn: traffic.Turn
    target_id: str
    cached_tokens: int
    first_token_s: float | None
    complete: bool
    attempt_count: int


class Daemon:
    """A simulated daemon.

    Attributes:
        id: Instance id.
        router: Router of mothpass.core.
        gate_table: Gate table of mothpass.core.
        paused_until: Virtual time until which it makes no progress.
        dead: Whether it has died.
        control_messages: Messages sent to other daemons.
    """

    __slots__ = (
        "control_messages",
        "dead",
        "gate_table",
        "id",
        "paused_until",
        "router",
    )

    def __init__(self, *, slot: int, slots: int, seed: int) -> None:
        """Starts without a catalogue and without targets."""
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
            call_limit_ms=MAX_REQUEST_MS,
        )
        self.paused_until = 0.0
        self.dead = False
        self.control_messages = 0

    def _find_start(self, target_id: str) -> catalogue.ColdStart | None:
        target = self.router.targets.get(target_id)
        return target.cold_start if target is not None else None


class Request:
    """A request at a daemon, with its attempts so far."""

    __slots__ = ("attempt", "attempt_count", "daemon", "excluded", "turn")

    def __init__(self, *, turn: traffic.Turn, daemon: Daemon) -> None:
        """Starts without an attempt."""
        self.turn = turn
        self.daemon = daemon
        self.excluded: frozenset[str] = frozenset()
        self.attempt_count = 0
        self.attempt: engines.Attempt | None = None


class FleetSimulation:
    """Simulation of daemons, engines and the delayed messages between them.

    Attributes:
        loop: Event loop in virtual time.
        config: Sizes and lags.
        engines: Engines by id.
        daemons: All daemons.
        table: Simulated table service.
        samples: Outcomes of the requests that have ended.
        leaving: Engines that the membership list shows as leaving.
        unlisted_engines: Engines missing from the membership list.
        unlisted_daemons: Daemons missing from the membership list.
        teams: Team of each chat, by chat hash.
        on_attempt: Called with daemon and engine at each attempt, if set.
    """

    def __init__(
        self,
        *,
        config: FleetConfig,
        seed: int,
        reserve_only: bool = False,
    ) -> None:
        """Builds the fleet; nothing runs before ``loop.run``.

        Args:
            config: Sizes and lags.
            seed: Seed of all randomness.
            reserve_only: Whether daemons take no leases, so that permits
                come from the reserves alone.
        """
        self.loop = clock.EventLoop()
        self.config = config
        self.rng = random.Random(seed)
        self.table = store.Table()
        self.samples: list[Sample] = []
        self.leaving: set[str] = set()
        self.unlisted_engines: set[str] = set()
        self.unlisted_daemons: set[str] = set()
        self.teams: dict[int, int] = {}
        self.on_attempt: abc.Callable[[Daemon, str], None] | None = None
        self.catalogue = make_catalogue(config)
        self._placement_policy: PlacementPolicy | None = None
        self._reserve_only = reserve_only
        self._next_daemon = 0
        self._revision = 0
        self.engines = {
            f"e{number}": engines.Engine(
                loop=self.loop,
                engine_id=f"e{number}",
                batch_size=config.batch_size,
                cache_tokens=config.cache_tokens,
                cold_start=config.cold_start,
                cold=config.cold,
                dies_when_overloaded=config.dies_when_overloaded,
                restart_s=config.restart_s,
            )
            for number in range(config.engines)
        }
        self.daemons = [
            Daemon(slot=slot, slots=config.daemons, seed=seed)
            for slot in range(config.daemons)
        ]

    def set_placement_policy(self, choose: PlacementPolicy) -> None:
        """Replaces the routers' placement by another policy."""
        self._placement_policy = choose

    def start(self, until: float) -> None:
        """Delivers the first view to all daemons and starts periodic work.

        Args:
            until: Virtual time at which periodic work stops.
        """
        now = self.loop.now
        for daemon in self.daemons:
            daemon.router.set_catalogue(self.catalogue, now=now)
            daemon.router.set_members(self._build_members(), now=now)
            self._record_loads(daemon, self._build_load_records())
        self.loop.call_every(REPORT_INTERVAL_S, until, self._send_load_reports)
        self.loop.call_every(CONTROL_INTERVAL_S, until, self._renew_leases)
        for daemon in self.daemons:
            publish = functools.partial(self._publish_counts, daemon)
            daemon.router.publish_now = publish
            # Daemons publish at independent phases.
            self.loop.call_later(
                self.rng.uniform(0.0, CONTROL_INTERVAL_S),
                functools.partial(
                    self.loop.call_every, CONTROL_INTERVAL_S, until, publish
                ),
            )

    def submit(self, turns: abc.Iterable[traffic.Turn]) -> None:
        """Schedules requests; daemons that are up receive them round-robin."""
        for turn in turns:
            self.teams[turn.chat] = turn.team
            self.loop.call_at(turn.at, functools.partial(self._receive, turn))

    def change_members(self) -> None:
        """Sends the membership list to each daemon after its own lag."""
        listing = self._build_members()
        for daemon in self.daemons:
            lag = self.rng.uniform(*self.config.member_lag_s)
            self.loop.call_later(
                lag,
                functools.partial(self._apply_members, daemon, listing),
            )

    def change_catalogue(
        self, changed: catalogue.Catalogue, max_lag_s: float
    ) -> None:
        """Applies a catalogue on each daemon after its own lag."""
        self.catalogue = changed
        for daemon in self.daemons:
            lag = self.rng.uniform(0.0, max_lag_s)
            self.loop.call_later(
                lag,
                functools.partial(self._apply_catalogue, daemon, changed),
            )

    def find_zone(self, engine_id: str) -> str:
        """Returns the availability zone of an engine."""
        return ZONES[list(self.engines).index(engine_id) % len(ZONES)]

    def list_loads(self) -> list[int]:
        """Returns the attempts in flight at each engine that is up."""
        return [item.in_flight for item in self.engines.values() if item.up]

    def _apply_members(self, daemon: Daemon, listing: members.Members) -> None:
        if not daemon.dead:
            daemon.router.set_members(listing, now=self.loop.now)

    def _apply_catalogue(
        self, daemon: Daemon, changed: catalogue.Catalogue
    ) -> None:
        if not daemon.dead:
            daemon.router.set_catalogue(changed, now=self.loop.now)

    def _build_members(self) -> members.Members:
        self._revision += 1
        instances = [
            make_instance(item.id, members.Role.DAEMON, number)
            for number, item in enumerate(self.daemons)
            if not item.dead and item.id not in self.unlisted_daemons
        ]
        instances += [
            make_instance(
                item, members.Role.ENGINE, number, item in self.leaving
            )
            for number, item in enumerate(self.engines)
            if item not in self.unlisted_engines
        ]
        return members.Members(revision=self._revision, instances=instances)

    def _build_load_records(self) -> list[targets.LoadRecord]:
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

    def _send_load_reports(self) -> None:
        records = self._build_load_records()
        for daemon in self.daemons:
            for record in records:
                lag = self.rng.uniform(*self.config.report_lag_s)
                self.loop.call_later(
                    lag,
                    functools.partial(self._record_loads, daemon, [record]),
                )

    def _publish_counts(self, daemon: Daemon) -> None:
        """Sends this daemon's counts in flight to all other daemons."""
        now = self.loop.now
        if daemon.dead or now < daemon.paused_until:
            return
        own = daemon.router.publish_counts(now=now)
        dead_boots = daemon.router.list_dead_boots(now=now)
        for other in self.daemons:
            if other is not daemon and not other.dead:
                daemon.control_messages += 1
                self.loop.call_later(
                    PEER_DELAY_S,
                    functools.partial(
                        self._record_counts, other, daemon.id, own, dead_boots
                    ),
                )

    def _record_counts(
        self,
        daemon: Daemon,
        sender: str,
        counts: dict[str, int],
        dead_boots: dict[str, str],
    ) -> None:
        now = self.loop.now
        daemon.router.record_dead_boots(dead_boots, now=now)
        daemon.router.record_counts(sender, counts, now=now)

    def _record_loads(
        self, daemon: Daemon, records: list[targets.LoadRecord]
    ) -> None:
        now = self.loop.now
        if daemon.dead or now < daemon.paused_until:
            return
        daemon.router.record_loads(records, now=now)
        for record in records:
            daemon.gate_table.record_load(record)

    def _renew_leases(self) -> None:
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
                self._run_lease_step(lease, step, now)

    def _run_lease_step(
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

    def _receive(self, turn: traffic.Turn) -> None:
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
            self._finish_request(request, complete=False)
            return
        route_request = routing.RouteRequest(
            name=MODEL, chat=request.turn.chat, excluded=request.excluded
        )
        if self._placement_policy is None:
            placement = daemon.router.choose(route_request, now=now)
        else:
            placement = self._placement_policy(
                daemon.router, route_request, now
            )
        if isinstance(placement, routing.Send):
            self._start_attempt(request, placement.target_id, placement.permit)
        elif isinstance(placement, routing.RequestPermit):
            self._request_permit(request, placement, 0, now)
        elif isinstance(placement, routing.Wait):
            self.loop.call_at(placement.until, lambda: self._route(request))
        else:
            # Every target has failed this request once: try all of them again.
            request.excluded = frozenset()
            self.loop.call_later(0.2, lambda: self._route(request))

    def _request_permit(
        self,
        request: Request,
        permit_request: routing.RequestPermit,
        gate_index: int,
        requested_at: float,
    ) -> None:
        """Requests a permit from the gates in order, each over the network."""
        if gate_index >= len(permit_request.gates):
            self._route(request)
            return
        request.daemon.control_messages += 1
        matching = [
            item
            for item in self.daemons
            if item.id == permit_request.gates[gate_index]
        ]
        grant_request = gates.GrantRequest(
            target_id=permit_request.target_id,
            boot_id=permit_request.boot_id,
            call_ms=MAX_REQUEST_MS,
        )

        def handle_grant_request() -> None:
            now = self.loop.now
            gate = matching[0]
            if gate.dead or now < gate.paused_until:
                self.loop.call_later(
                    0.1,
                    lambda: self._request_permit(
                        request, permit_request, gate_index + 1, requested_at
                    ),
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
                    PEER_DELAY_S,
                    lambda: self._start_attempt(
                        request, permit_request.target_id, permit
                    ),
                )
                return
            self.loop.call_later(
                PEER_DELAY_S,
                lambda: self._request_permit(
                    request, permit_request, gate_index + 1, requested_at
                ),
            )

        if matching:
            self.loop.call_later(PEER_DELAY_S, handle_grant_request)
        else:
            self._request_permit(
                request, permit_request, gate_index + 1, requested_at
            )

    def _start_attempt(
        self, request: Request, target_id: str, permit: gates.Permit | None
    ) -> None:
        daemon = request.daemon
        now = self.loop.now
        if daemon.dead:
            self._finish_request(request, complete=False)
            return
        if now < daemon.paused_until:
            self.loop.call_at(
                daemon.paused_until,
                lambda: self._start_attempt(request, target_id, permit),
            )
            return
        if self._placement_policy is not None:
            daemon.router.targets[target_id].start_attempt(now)
        elif not daemon.router.start_attempt(target_id, permit=permit, now=now):
            self._release_permit(daemon, permit, answered=False)
            self.loop.call_later(0.0, lambda: self._route(request))
            return
        request.attempt_count += 1
        if self.on_attempt is not None:
            self.on_attempt(daemon, target_id)
        engine = self.engines[target_id]
        turn = request.turn
        attempt = engines.Attempt(
            chat=turn.chat,
            prompt_tokens=turn.prompt_tokens,
            output_tokens=turn.output_tokens,
            on_first_token=lambda: daemon.router.record_first_token(
                target_id,
                first_token_ms=(self.loop.now - now) * 1000,
                now=self.loop.now,
                prompt_tokens=turn.prompt_tokens,
            ),
            on_end=lambda is_complete: self._handle_attempt_end(
                request, target_id, permit, is_complete
            ),
        )
        request.attempt = attempt
        if not engine.enqueue(attempt):
            self._finish_attempt(
                request, target_id, permit, targets.Outcome.UNREACHABLE
            )
            request.excluded |= {target_id}
            self.loop.call_later(0.05, lambda: self._route(request))

    def _handle_attempt_end(
        self,
        request: Request,
        target_id: str,
        permit: gates.Permit | None,
        is_complete: bool,
    ) -> None:
        outcome = (
            targets.Outcome.ANSWERED if is_complete else targets.Outcome.LOST
        )
        self._finish_attempt(request, target_id, permit, outcome)
        if is_complete:
            self._finish_request(request, complete=True, target_id=target_id)
            return
        attempt = request.attempt
        if attempt is not None and attempt.first_token_at is not None:
            # The client has received part of the answer: no retry is possible.
            self._finish_request(request, complete=False, target_id=target_id)
            return
        request.excluded |= {target_id}
        self.loop.call_later(0.05, lambda: self._route(request))

    def _finish_attempt(
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
        self._release_permit(request.daemon, permit, answered=answered)

    def _release_permit(
        self, daemon: Daemon, permit: gates.Permit | None, *, answered: bool
    ) -> None:
        """Releases a permit at the gate that granted it."""
        if permit is None or daemon.dead:
            return
        if permit.source is not gates.Source.GATE:
            return
        release = gates.make_release(permit, answered=answered)
        daemon.control_messages += 1
        for gate in self.daemons:
            if gate.id == permit.gate:
                self.loop.call_later(
                    PEER_DELAY_S,
                    functools.partial(self._apply_release, gate, release),
                )

    def _apply_release(self, gate: Daemon, release: gates.Release) -> None:
        if not gate.dead:
            gate.gate_table.release(release, now=self.loop.now)

    def _finish_request(
        self, request: Request, *, complete: bool, target_id: str = ""
    ) -> None:
        attempt = request.attempt
        time_to_first_token_s = None
        if attempt is not None and attempt.first_token_at is not None:
            time_to_first_token_s = attempt.first_token_at - request.turn.at
        self.samples.append(
            Sample(
                at=request.turn.at,
                turn=request.turn,
                target_id=target_id,
                cached_tokens=attempt.cached_tokens
                if attempt is not None
                else 0,
                first_token_s=time_to_first_token_s,
                complete=complete,
                attempt_count=request.attempt_count,
            )
        )


def make_catalogue(
    config: FleetConfig,
    *,
    zones_out: tuple[str, ...] = (),
    instances_out: tuple[str, ...] = (),
) -> catalogue.Catalogue:
    """Returns a catalogue of one model and three availability zones."""
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
                target_in_flight=config.batch_size,
                skew_multiple=config.skew_multiple,
                cold_start=config.cold_start,
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
    """Returns an entry of the membership list.

    Args:
        instance_id: Instance id.
        role: Role of the instance.
        number: Determines its address and availability zone.
        leaving: Whether it is listed as leaving.
    """
    return members.Instance(
        id=instance_id,
        role=role,
        state=members.State.LEAVING if leaving else members.State.LIVE,
        address=f"127.0.0.1:{9000 + number}",
        availability_zone=ZONES[number % len(ZONES)],
        serves=[MODEL] if role is members.Role.ENGINE else [],
    )
