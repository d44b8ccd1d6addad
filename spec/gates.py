"""Model of one cold target: gates in turn, a reserve, and late messages.

The first gate's lease ends and a second gate takes over. Grants and load
reports may arrive late or never. Releases may get lost but aren't delayed,
since a permit whose release is late counts for longer, which allows less. A
daemon may pause between any two steps, or restart and lose its state. The
target's initial limit is two requests in flight, one of them the reserve.
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
MAX_REQUEST_MS = 3000
START = catalogue.ColdStart(in_flight=2, answers_per_step=1, warm_in_flight=9)
# The first gate's lease ends at ``FIRST_LEASE_ENDS_S``; the second gate takes
# the lease at ``SECOND_TAKES_OVER_S``. The other times are before and after
# the dispatch deadlines of permits and the ends of requests.
FIRST_LEASE_ENDS_S = 2.0
SECOND_TAKES_OVER_S = 2.0
TIMES_S = (1.5, 2.0, 2.4, 3.2, 5.6, 8.0)


class Scope(typing.NamedTuple):
    """Bounds of the model.

    Attributes:
        grants: Maximum grants of all gates.
        reserve_requests: Maximum requests under the reserve.
        restarts: Maximum restarts of the daemon that holds the reserve.
    """

    grants: int
    reserve_requests: int
    restarts: int


class Request(typing.NamedTuple):
    """A request in flight at the target.

    Attributes:
        permit: Its permit.
        ends_by: Time at which it ends at the latest.
    """

    permit: gates.Permit
    ends_by: float


class ModelState(typing.NamedTuple):
    """State of the model.

    Attributes:
        time_index: Index of the time in ``TIMES_S``.
        gates: The first gate and the second, frozen; None before the second
            takes over.
        reserve: The share of the daemon that holds the reserve, frozen.
        permits: Permits whose requests are not dispatched yet.
        requests: Requests in flight at the target.
        finished: Answers that the target has finished.
        reports: Load reports in transit, as (requests in flight, time).
        granted: Grants of all gates so far.
        reserved: Requests under the reserve so far.
        restarts: Restarts of the daemon that holds the reserve so far.
    """

    time_index: int
    gates: tuple[typing.Any, ...]
    reserve: typing.Any
    permits: tuple[gates.Permit, ...]
    requests: tuple[Request, ...]
    finished: int
    reports: tuple[tuple[int, float], ...]
    granted: int
    reserved: int
    restarts: int


class Rules(typing.NamedTuple):
    """The parts of the model that mutants replace.

    Attributes:
        gate: Class of the gates.
        reserve: Class of the reserve's share.
        check_permit: Check right before a request is dispatched.
        lease_ends_s: Time until which the first gate grants permits.
        scope: Bounds of the model.
    """

    gate: type[gates.Gate] = gates.Gate
    reserve: type[reserves.ReserveShare] = reserves.ReserveShare
    check_permit: typing.Callable[..., bool] = gates.may_dispatch
    lease_ends_s: float = FIRST_LEASE_ENDS_S
    scope: Scope = Scope(grants=2, reserve_requests=1, restarts=0)


Transition = tuple[str, ModelState]


def _remove(items: tuple[typing.Any, ...], item: object) -> typing.Any:
    index = items.index(item)
    return (*items[:index], *items[index + 1 :])


def _add(items: tuple[typing.Any, ...], item: object) -> typing.Any:
    """Returns the items with one more, sorted."""
    return tuple(sorted((*items, item), key=repr))


def _make_gate(kind: type[gates.Gate], fencing: int, taken_at: float) -> object:
    return frozen.freeze(
        kind(
            target_id=TARGET,
            boot_id=BOOT,
            fencing=fencing,
            ramp=cold.Ramp(start=START),
            taken_at=taken_at,
            call_limit_ms=MAX_REQUEST_MS,
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
        + MAX_REQUEST_MS / 1000
        + gates.PERMIT_EXPIRY_MARGIN_S,
    )
    if started_at == TIMES_S[0]:
        reserve.record_idle()
    return frozen.freeze(reserve)


def _list_transitions(rules: Rules, state: ModelState) -> list[Transition]:
    now = TIMES_S[state.time_index]
    return [
        *_list_time_steps(rules, state, now),
        *_list_grants(rules, state, now),
        *_list_reserve_steps(rules, state, now),
        *_list_starts(rules, state, now),
        *_list_ends(state),
        *_list_messages(state, now),
    ]


def _list_time_steps(
    rules: Rules, state: ModelState, now: float
) -> list[Transition]:
    """Lists the passing of time and the change of gates.

    Requests whose deadline has passed end without a release.
    """
    transitions: list[Transition] = []
    if state.time_index + 1 < len(TIMES_S):
        later = TIMES_S[state.time_index + 1]
        remaining = tuple(x for x in state.requests if x.ends_by > later)
        passed = state._replace(
            time_index=state.time_index + 1, requests=remaining
        )
        transitions.append(("time passes", passed))
    if state.gates[1] is None and now >= SECOND_TAKES_OVER_S:
        second = _make_gate(rules.gate, 2, now)
        taken = state._replace(gates=(state.gates[0], second))
        transitions.append(("the second gate takes over", taken))
    return transitions


def _list_grants(
    rules: Rules, state: ModelState, now: float
) -> list[Transition]:
    """Lists grants of the gates, whose messages may take any time."""
    transitions: list[Transition] = []
    if state.granted >= rules.scope.grants:
        return transitions
    request = gates.GrantRequest(
        target_id=TARGET, boot_id=BOOT, call_ms=MAX_REQUEST_MS
    )
    for index, name in enumerate(("first", "second")):
        if state.gates[index] is None:
            continue
        gate = frozen.thaw(state.gates[index])
        ends_at = rules.lease_ends_s if index == 0 else float("inf")
        reply = gate.grant(request, lease_ends_at=ends_at, now=now)
        if not isinstance(reply, gates.Granted):
            continue
        permit = gates.make_permit(request, reply, gate=name, requested_at=now)
        updated = list(state.gates)
        updated[index] = frozen.freeze(gate)
        granted = state._replace(
            gates=tuple(updated),
            permits=_add(state.permits, permit),
            granted=state.granted + 1,
        )
        transitions.append((f"the {name} gate grants", granted))
    return transitions


def _list_reserve_steps(
    rules: Rules, state: ModelState, now: float
) -> list[Transition]:
    """Lists permits of the reserve, and restarts of its daemon."""
    transitions: list[Transition] = []
    if state.restarts < rules.scope.restarts and state.time_index > 0:
        restarted = state._replace(
            reserve=_make_reserve(rules.reserve, now),
            restarts=state.restarts + 1,
            permits=tuple(
                x for x in state.permits if x.source is gates.Source.GATE
            ),
        )
        transitions.append(("the reserve's daemon restarts", restarted))
    if state.reserved < rules.scope.reserve_requests:
        reserve = frozen.thaw(state.reserve)
        permit = reserve.take(target_id=TARGET, daemon="d0", now=now)
        if permit is not None:
            taken = state._replace(
                reserve=frozen.freeze(reserve),
                permits=_add(state.permits, permit),
                reserved=state.reserved + 1,
            )
            transitions.append(("the reserve is used", taken))
    return transitions


def _list_starts(
    rules: Rules, state: ModelState, now: float
) -> list[Transition]:
    """Lists dispatches of requests with a permit, however late."""
    transitions: list[Transition] = []
    for permit in dict.fromkeys(state.permits):
        if not rules.check_permit(permit, boot_id=BOOT, now=now):
            continue
        reserve = state.reserve
        if permit.source is gates.Source.RESERVE:
            own = frozen.thaw(reserve)
            if not own.start_attempt(permit):
                continue
            reserve = frozen.freeze(own)
        request = Request(permit=permit, ends_by=now + MAX_REQUEST_MS / 1000)
        started = state._replace(
            reserve=reserve,
            permits=_remove(state.permits, permit),
            requests=_add(state.requests, request),
        )
        transitions.append(
            (f"a request starts ({permit.source.value})", started)
        )
    return transitions


def _list_ends(state: ModelState) -> list[Transition]:
    """Lists complete answers, whose release arrives or is lost."""
    transitions: list[Transition] = []
    for request in dict.fromkeys(state.requests):
        permit = request.permit
        ended = state._replace(
            requests=_remove(state.requests, request),
            finished=state.finished + 1,
        )
        released = _release(ended, permit)
        transitions.append(
            (f"a request is answered ({permit.source.value})", released)
        )
        if permit.source is gates.Source.GATE:
            transitions.append(
                ("a request is answered, its release lost", ended)
            )
    return transitions


def _release(state: ModelState, permit: gates.Permit) -> ModelState:
    if permit.source is gates.Source.RESERVE:
        reserve = frozen.thaw(state.reserve)
        reserve.release(permit, answered=True)
        return state._replace(reserve=frozen.freeze(reserve))
    release = gates.make_release(permit, answered=True)
    released = []
    for item in state.gates:
        gate = frozen.thaw(item)
        if gate is not None:
            gate.release(release)
        released.append(frozen.freeze(gate))
    return state._replace(gates=tuple(released))


def _list_messages(state: ModelState, now: float) -> list[Transition]:
    """Lists load reports that are sent to the second gate or arrive there."""
    transitions: list[Transition] = []
    if state.gates[1] is None:
        return transitions
    if not state.reports:
        sent = state._replace(reports=((len(state.requests), now),))
        transitions.append(("the target reports its load", sent))
    for in_flight, measured_at in state.reports:
        second = frozen.thaw(state.gates[1])
        second.record_load(in_flight, measured_at=measured_at)
        arrived = state._replace(
            gates=(state.gates[0], frozen.freeze(second)), reports=()
        )
        transitions.append(("a load report arrives", arrived))
    return transitions


def _is_within_limit(state: dict[str, typing.Any]) -> bool:
    """Returns whether the requests in flight are within the target's limit."""
    earned = state["finished"] // START.answers_per_step
    limit = min(START.in_flight + earned, START.warm_in_flight)
    return bool(len(state["requests"]) <= limit)


class _GrantsReserveToo(gates.Gate):
    """Grants the whole limit of the target, including the reserve."""

    __slots__ = ()

    def _compute_limit(self) -> int:
        return self.ramp.max_in_flight


class _IgnoresInherited(gates.Gate):
    """Counts no requests that the previous gate admitted."""

    __slots__ = ()

    def count_in_flight(self, now: float) -> int:
        del now
        return len(self._expires_at)


class _TrustsOldReports(gates.Gate):
    """Uses reports from before the previous gate's dispatch deadlines."""

    __slots__ = ()

    def record_load(self, in_flight: int, *, measured_at: float) -> None:
        super().record_load(in_flight, measured_at=measured_at)
        self._inherited = min(self._inherited, in_flight)


class _ExpiresPermitsEarly(gates.Gate):
    """Drops a permit once its request can no longer be dispatched."""

    __slots__ = ()

    def grant(
        self, request: gates.GrantRequest, *, lease_ends_at: float, now: float
    ) -> gates.Granted | gates.Denied:
        reply = super().grant(request, lease_ends_at=lease_ends_at, now=now)
        if isinstance(reply, gates.Granted):
            self._expires_at[reply.number] = now + gates.DISPATCH_TIMEOUT_S
        return reply


class _IgnoresPreviousDaemon(reserves.ReserveShare):
    """Counts no request of the slot's previous daemon."""

    __slots__ = ()

    def take(
        self, *, target_id: str, daemon: str, now: float
    ) -> gates.Permit | None:
        self.record_idle()
        return super().take(target_id=target_id, daemon=daemon, now=now)


def _ignore_deadline(permit: gates.Permit, *, boot_id: str, now: float) -> bool:
    del now
    return permit.boot_id == boot_id


_RESTART = Scope(grants=1, reserve_requests=2, restarts=1)
_RESTART_MUTANTS = {
    "a new daemon in a slot waits for the last one's calls": Rules(
        reserve=_IgnoresPreviousDaemon, scope=_RESTART
    ),
}
_MUTANTS = {
    "a gate leaves the reserve alone": Rules(gate=_GrantsReserveToo),
    "a new gate counts calls it doesn't know": Rules(gate=_IgnoresInherited),
    "a report counts only once old permits are late": Rules(
        gate=_TrustsOldReports
    ),
    "a permit counts until its call has ended": Rules(
        gate=_ExpiresPermitsEarly
    ),
    "a late permit starts no call": Rules(check_permit=_ignore_deadline),
    "a gate grants only under its lease": Rules(lease_ends_s=float("inf")),
}


def _build(rules: Rules) -> minicheck.Protocol:
    start = ModelState(
        time_index=0,
        gates=(_make_gate(rules.gate, 1, TIMES_S[0]), None),
        reserve=_make_reserve(rules.reserve, TIMES_S[0]),
        permits=(),
        requests=(),
        finished=0,
        reports=(),
        granted=0,
        reserved=0,
        restarts=0,
    )
    return minicheck.Protocol(
        name="gates",
        candidate=False,
        fields=ModelState._fields,
        initial=start,
        transitions=lambda state: _list_transitions(rules, ModelState(*state)),
        invariants={"no more calls than it bears": _is_within_limit},
    )


def run() -> list[results.SpecResult]:
    """Checks the gates and the reserve, and that each guard is needed."""
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
