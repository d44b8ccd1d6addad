"""Model of one cold target: gates in turn, a reserve, and late messages.

The first gate's lease ends and a second one takes over. Grants and load
reports may arrive late or never, releases never (a late one is counted for
longer, which allows less); a daemon may do nothing between any two steps, or
start anew and forget what it knew. The target bears two calls at
first, of which one is the reserve.
"""

import typing

import minicheck

from mothpass.core import catalogue
from mothpass.core import cold
from mothpass.core import gates
from mothpass.core import reserves
from spec import frozen
from spec import results
from spec import runner

TARGET = "e0"
BOOT = "e0-1"
CALL_MS = 3000
START = catalogue.ColdStart(in_flight=2, answers_per_step=1, warm_in_flight=9)
# The first gate's lease ends at ``FIRST_ENDS_S``, and the second gate takes
# the row at ``SECOND_TAKES_S``. The other moments lie on both sides of the
# ends of permits and of calls.
FIRST_ENDS_S = 2.0
SECOND_TAKES_S = 2.0
MOMENTS_S = (1.5, 2.0, 2.4, 3.2, 5.6, 8.0)


class Scope(typing.NamedTuple):
    """How far the model goes.

    Attributes:
        grants: Grants of all gates.
        reserve_calls: Calls under the reserve.
        restarts: Times that the reserve's daemon starts anew.
    """

    grants: int
    reserve_calls: int
    restarts: int


class Call(typing.NamedTuple):
    """A call that runs at the target.

    Attributes:
        permit: Its permit, as a value.
        ends_by: Moment at which it has ended at the latest.
    """

    permit: gates.Permit
    ends_by: float


class World(typing.NamedTuple):
    """One state.

    Attributes:
        moment: Index of the time in ``MOMENTS_S``.
        gates: The first gate and the second, frozen; None where it is not
            at work.
        reserve: The daemon that holds the reserve, frozen.
        permits: Permits that were granted and whose call has not started.
        calls: Calls that run.
        finished: Answers that the target has finished.
        reports: Load reports on their way, as (calls, moment).
        granted: Grants of all gates so far.
        reserved: Calls under the reserve so far.
        restarts: Times that the reserve's daemon has started anew.
    """

    moment: int
    gates: tuple[typing.Any, ...]
    reserve: typing.Any
    permits: tuple[gates.Permit, ...]
    calls: tuple[Call, ...]
    finished: int
    reports: tuple[tuple[int, float], ...]
    granted: int
    reserved: int
    restarts: int


class Rules(typing.NamedTuple):
    """What a mutant changes.

    Attributes:
        gate: Class of the gates.
        reserve: Class of the reserve.
        check_permit: Check right before a call starts.
        lease_ends_s: Until when the first gate believes in its lease.
        scope: How far the model goes.
    """

    gate: type[gates.Gate] = gates.Gate
    reserve: type[reserves.ReserveShare] = reserves.ReserveShare
    check_permit: typing.Callable[..., bool] = gates.may_dispatch
    lease_ends_s: float = FIRST_ENDS_S
    scope: Scope = Scope(grants=2, reserve_calls=1, restarts=0)


Move = tuple[str, World]


def _without(items: tuple[typing.Any, ...], item: object) -> typing.Any:
    place = items.index(item)
    return (*items[:place], *items[place + 1 :])


def _with(items: tuple[typing.Any, ...], item: object) -> typing.Any:
    """Returns the items with one more, in an order of their own."""
    return tuple(sorted((*items, item), key=repr))


def _make_gate(kind: type[gates.Gate], fencing: int, taken_at: float) -> object:
    return frozen.freeze(
        kind(
            target_id=TARGET,
            boot_id=BOOT,
            fencing=fencing,
            ramp=cold.Ramp(start=START),
            taken_at=taken_at,
            call_limit_ms=CALL_MS,
            is_first=fencing == 1,
        )
    )


def _make_reserve(
    kind: type[reserves.ReserveShare], started_at: float
) -> object:
    reserve = kind(
        boot_id=BOOT,
        is_holder=True,
        answers_per_step=START.answers_per_step,
        inherited_until=started_at
        + CALL_MS / 1000
        + gates.PERMIT_EXPIRY_MARGIN_S,
    )
    if started_at == MOMENTS_S[0]:
        reserve.record_idle()
    return frozen.freeze(reserve)


def _list_moves(rules: Rules, world: World) -> list[Move]:
    now = MOMENTS_S[world.moment]
    return [
        *_list_time(rules, world, now),
        *_list_grants(rules, world, now),
        *_list_reserve(rules, world, now),
        *_list_starts(rules, world, now),
        *_list_ends(world),
        *_list_messages(world, now),
    ]


def _list_time(rules: Rules, world: World, now: float) -> list[Move]:
    """Time passes; calls whose deadline has come end without a release."""
    moves: list[Move] = []
    if world.moment + 1 < len(MOMENTS_S):
        later = MOMENTS_S[world.moment + 1]
        still = tuple(x for x in world.calls if x.ends_by > later)
        passed = world._replace(moment=world.moment + 1, calls=still)
        moves.append(("time passes", passed))
    if world.gates[1] is None and now >= SECOND_TAKES_S:
        second = _make_gate(rules.gate, 2, now)
        taken = world._replace(gates=(world.gates[0], second))
        moves.append(("the second gate takes over", taken))
    return moves


def _list_grants(rules: Rules, world: World, now: float) -> list[Move]:
    """A daemon asks a gate; the answer may be on its way for any time."""
    moves: list[Move] = []
    if world.granted >= rules.scope.grants:
        return moves
    request = gates.GrantRequest(
        target_id=TARGET, boot_id=BOOT, call_ms=CALL_MS
    )
    for place, name in enumerate(("first", "second")):
        if world.gates[place] is None:
            continue
        gate = frozen.thaw(world.gates[place])
        ends_at = rules.lease_ends_s if place == 0 else float("inf")
        reply = gate.grant(request, lease_ends_at=ends_at, now=now)
        if not isinstance(reply, gates.Granted):
            continue
        permit = gates.make_permit(request, reply, gate=name, asked_at=now)
        kept = list(world.gates)
        kept[place] = frozen.freeze(gate)
        granted = world._replace(
            gates=tuple(kept),
            permits=_with(world.permits, permit),
            granted=world.granted + 1,
        )
        moves.append((f"the {name} gate grants", granted))
    return moves


def _list_reserve(rules: Rules, world: World, now: float) -> list[Move]:
    """The reserve's daemon takes a permit, or starts anew."""
    moves: list[Move] = []
    if world.restarts < rules.scope.restarts and world.moment > 0:
        anew = world._replace(
            reserve=_make_reserve(rules.reserve, now),
            restarts=world.restarts + 1,
            permits=tuple(
                x for x in world.permits if x.source is gates.Source.GATE
            ),
        )
        moves.append(("the reserve's daemon starts anew", anew))
    if world.reserved < rules.scope.reserve_calls:
        reserve = frozen.thaw(world.reserve)
        permit = reserve.take(target_id=TARGET, daemon="d0", now=now)
        if permit is not None:
            taken = world._replace(
                reserve=frozen.freeze(reserve),
                permits=_with(world.permits, permit),
                reserved=world.reserved + 1,
            )
            moves.append(("the reserve is used", taken))
    return moves


def _list_starts(rules: Rules, world: World, now: float) -> list[Move]:
    """A daemon starts the call of a permit, however late it got to it."""
    moves: list[Move] = []
    for permit in dict.fromkeys(world.permits):
        if not rules.check_permit(permit, boot_id=BOOT, now=now):
            continue
        reserve = world.reserve
        if permit.source is gates.Source.RESERVE:
            own = frozen.thaw(reserve)
            if not own.start(permit):
                continue
            reserve = frozen.freeze(own)
        call = Call(permit=permit, ends_by=now + CALL_MS / 1000)
        started = world._replace(
            reserve=reserve,
            permits=_without(world.permits, permit),
            calls=_with(world.calls, call),
        )
        moves.append((f"a call starts ({permit.source.value})", started))
    return moves


def _list_ends(world: World) -> list[Move]:
    """A call ends with a whole answer; its release arrives or is lost."""
    moves: list[Move] = []
    for call in dict.fromkeys(world.calls):
        permit = call.permit
        ended = world._replace(
            calls=_without(world.calls, call), finished=world.finished + 1
        )
        told = _release(ended, permit)
        moves.append((f"a call is answered ({permit.source.value})", told))
        if permit.source is gates.Source.GATE:
            moves.append(("a call is answered, its release lost", ended))
    return moves


def _release(world: World, permit: gates.Permit) -> World:
    if permit.source is gates.Source.RESERVE:
        reserve = frozen.thaw(world.reserve)
        reserve.release(permit, answered=True)
        return world._replace(reserve=frozen.freeze(reserve))
    release = gates.make_release(permit, answered=True)
    told = []
    for item in world.gates:
        gate = frozen.thaw(item)
        if gate is not None:
            gate.release(release)
        told.append(frozen.freeze(gate))
    return world._replace(gates=tuple(told))


def _list_messages(world: World, now: float) -> list[Move]:
    """A load report is sent to the second gate, and arrives later."""
    moves: list[Move] = []
    if world.gates[1] is None:
        return moves
    if not world.reports:
        sent = world._replace(reports=((len(world.calls), now),))
        moves.append(("the target reports its load", sent))
    for in_flight, measured_at in world.reports:
        second = frozen.thaw(world.gates[1])
        second.record_load(in_flight, measured_at=measured_at)
        arrived = world._replace(
            gates=(world.gates[0], frozen.freeze(second)), reports=()
        )
        moves.append(("a load report arrives", arrived))
    return moves


def _is_borne(state: dict[str, typing.Any]) -> bool:
    """Tells whether the target carries no more than it bears."""
    earned = state["finished"] // START.answers_per_step
    bears = min(START.in_flight + earned, START.warm_in_flight)
    return bool(len(state["calls"]) <= bears)


class _GrantsReserve(gates.Gate):
    """Grants all that the target bears, the reserve included."""

    __slots__ = ()

    def _compute_limit(self) -> int:
        return self.ramp.max_in_flight


class _ForgetsPredecessor(gates.Gate):
    """Counts no calls of the gate before it."""

    __slots__ = ()

    def count_in_flight(self, now: float) -> int:
        del now
        return len(self._expires_at)


class _TrustsOldReports(gates.Gate):
    """Uses reports from while an earlier permit could still be used."""

    __slots__ = ()

    def record_load(self, in_flight: int, *, measured_at: float) -> None:
        super().record_load(in_flight, measured_at=measured_at)
        self._inherited = min(self._inherited, in_flight)


class _DropsPermitsEarly(gates.Gate):
    """Takes a permit for ended once its call can no longer start."""

    __slots__ = ()

    def grant(
        self, request: gates.GrantRequest, *, lease_ends_at: float, now: float
    ) -> gates.Granted | gates.Denied:
        reply = super().grant(request, lease_ends_at=lease_ends_at, now=now)
        if isinstance(reply, gates.Granted):
            self._expires_at[reply.number] = now + gates.DISPATCH_TIMEOUT_S
        return reply


class _ForgetsLastDaemon(reserves.ReserveShare):
    """Counts no call of the daemon that had the slot before."""

    __slots__ = ()

    def take(
        self, *, target_id: str, daemon: str, now: float
    ) -> gates.Permit | None:
        self.record_idle()
        return super().take(target_id=target_id, daemon=daemon, now=now)


def _ignore_deadline(permit: gates.Permit, *, boot_id: str, now: float) -> bool:
    del now
    return permit.boot_id == boot_id


_RESTART = Scope(grants=1, reserve_calls=2, restarts=1)
_RESTART_MUTANTS = {
    "a new daemon in a slot waits for the last one's calls": Rules(
        reserve=_ForgetsLastDaemon, scope=_RESTART
    ),
}
_MUTANTS = {
    "a gate leaves the reserve alone": Rules(gate=_GrantsReserve),
    "a new gate counts calls it doesn't know": Rules(gate=_ForgetsPredecessor),
    "a report counts only once old permits are late": Rules(
        gate=_TrustsOldReports
    ),
    "a permit counts until its call has ended": Rules(gate=_DropsPermitsEarly),
    "a late permit starts no call": Rules(check_permit=_ignore_deadline),
    "a gate grants only under its lease": Rules(lease_ends_s=float("inf")),
}


def _build(rules: Rules) -> minicheck.Protocol:
    start = World(
        moment=0,
        gates=(_make_gate(rules.gate, 1, MOMENTS_S[0]), None),
        reserve=_make_reserve(rules.reserve, MOMENTS_S[0]),
        permits=(),
        calls=(),
        finished=0,
        reports=(),
        granted=0,
        reserved=0,
        restarts=0,
    )
    return minicheck.Protocol(
        name="gates",
        candidate=False,
        fields=World._fields,
        initial=start,
        transitions=lambda state: _list_moves(rules, World(*state)),
        invariants={"no more calls than it bears": _is_borne},
    )


def run() -> list[results.SpecResult]:
    """Checks the gate, and that each guard is needed."""
    handover = runner.check_model(
        "gates in turn",
        _build(Rules()),
        {guard: _build(rules) for guard, rules in _MUTANTS.items()},
    )
    restart = runner.check_model(
        "reserve after a restart",
        _build(Rules(scope=_RESTART)),
        {guard: _build(rules) for guard, rules in _RESTART_MUTANTS.items()},
    )
    return [handover, restart]
