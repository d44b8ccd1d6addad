"""Model of one partition's lease: two daemons, one row, no shared clock.

A write may conflict, be lost before or after it takes effect, or take effect
long after its sender has given it up. A daemon may pause for any time. The
clocks of the daemons differ by ``OFFSETS_S``.
"""

import typing

import minicheck
import msgspec

from mothpass.core import leases
from mothpass.ports import tables
from spec import frozen
from spec import results
from spec import runner

DAEMONS = ("a", "b")
OFFSETS_S = (0.0, 1000.0)
# Times before and after each deadline of a lease that is taken at the first
# time, and of one that is renewed at the second.
TIMES_S = (0.0, 4.0, 12.5)
MAX_WRITES = 2


class Row(typing.NamedTuple):
    """The lease row, hashable."""

    version: int
    value: bytes

    def thaw(self) -> tables.Row:
        """Returns the row as the table port returns it."""
        return tables.Row(
            key="", version=self.version, value=msgspec.Raw(self.value)
        )


class PendingWrite(typing.NamedTuple):
    """A write in transit, hashable."""

    token: str
    expected_version: int
    value: bytes

    def thaw(self) -> leases.Take:
        """Returns the write as the core planned it."""
        write = tables.Write(
            table=leases.TABLE,
            key="",
            expected_version=self.expected_version,
            value=msgspec.Raw(self.value),
        )
        return leases.Take(token=self.token, write=write)


class ModelState(typing.NamedTuple):
    """State of the model.

    Attributes:
        time_index: Index of the time in ``TIMES_S``.
        row: The lease row.
        leases: Each daemon's view of the lease, frozen.
        calls: Each daemon's write, or the answer to it, in transit; None
            without one. A read takes no time: one that is answered late
            shows an older row, which makes its reader wait longer.
        delayed_write: A write that its sender has given up and that may still
            arrive.
        writes: Number of writes that each daemon has sent.
    """

    time_index: int
    row: Row | None
    leases: tuple[typing.Any, ...]
    calls: tuple[typing.Any, ...]
    delayed_write: PendingWrite | None
    writes: tuple[int, ...]


class WriteAnswer(typing.NamedTuple):
    """The answer to a write, in transit.

    Attributes:
        pending: The write.
        committed: Whether it took effect.
    """

    pending: PendingWrite
    committed: bool


Transition = tuple[str, ModelState]


def _now(state: ModelState, index: int) -> float:
    return TIMES_S[state.time_index] + OFFSETS_S[index]


def _replace_item(
    values: tuple[typing.Any, ...], index: int, item: object
) -> typing.Any:
    return (*values[:index], item, *values[index + 1 :])


def _apply(row: Row | None, write: PendingWrite) -> tuple[Row | None, bool]:
    version = row.version if row is not None else 0
    if version != write.expected_version:
        return row, False
    return Row(version=version + 1, value=write.value), True


def _list_transitions(state: ModelState) -> list[Transition]:
    transitions: list[Transition] = []
    if state.time_index + 1 < len(TIMES_S):
        transitions.append(
            ("time passes", state._replace(time_index=state.time_index + 1))
        )
    if state.delayed_write is not None:
        row, _ = _apply(state.row, state.delayed_write)
        transitions.append(
            (
                "a late write arrives",
                state._replace(row=row, delayed_write=None),
            )
        )
        transitions.append(
            ("a late write is lost", state._replace(delayed_write=None))
        )
    for index, name in enumerate(DAEMONS):
        call = state.calls[index]
        if call is None:
            transitions += _list_plans(state, index, name)
        elif isinstance(call, WriteAnswer):
            transitions += _list_answers(state, index, name, call)
        else:
            transitions += _list_served_writes(state, index, name, call)
    return transitions


def _list_plans(state: ModelState, index: int, name: str) -> list[Transition]:
    """Lists the daemon's next store call, as the core plans it."""
    lease = frozen.thaw(state.leases[index])
    call = lease.plan(candidate=True, now=_now(state, index))
    if call is None:
        return []
    planned = state._replace(
        leases=_replace_item(state.leases, index, frozen.freeze(lease))
    )
    if isinstance(call, leases.Read):
        row = state.row.thaw() if state.row is not None else None
        updated = _update_lease(
            planned, index, lambda x, now: x.record_row(row, now)
        )
        return [(f"{name} reads the row", updated)]
    if state.writes[index] >= MAX_WRITES:
        return []
    value = call.write.value
    pending = PendingWrite(
        call.token, call.write.expected_version, bytes(value)
    )
    sent = planned._replace(
        calls=_replace_item(state.calls, index, pending),
        writes=_replace_item(state.writes, index, state.writes[index] + 1),
    )
    return [(f"{name} sends a write", sent)]


def _list_served_writes(
    state: ModelState, index: int, name: str, call: PendingWrite
) -> list[Transition]:
    """Lists that the store serves a write, or that its sender gives it up."""
    row, committed = _apply(state.row, call)
    answer = WriteAnswer(pending=call, committed=committed)
    served = state._replace(
        row=row, calls=_replace_item(state.calls, index, answer)
    )
    transitions = [(f"{name}'s write is served", served)]
    if state.delayed_write is None:
        given_up = _update_lease(state, index, _record_unconfirmed)
        transitions.append(
            (f"{name} gives up a write", given_up._replace(delayed_write=call))
        )
    return transitions


def _list_answers(
    state: ModelState, index: int, name: str, answer: WriteAnswer
) -> list[Transition]:
    """Lists that the answer to a write arrives or is lost."""
    take = answer.pending.thaw()
    if answer.committed:
        updated = _update_lease(
            state, index, lambda x, now: x.record_committed(take, now)
        )
    else:
        updated = _update_lease(
            state, index, lambda x, now: x.record_conflict(now)
        )
    lost = _update_lease(state, index, _record_unconfirmed)
    return [
        (f"{name}'s write is answered", updated),
        (f"{name}'s answer is lost", lost),
    ]


def _record_unconfirmed(lease: leases.Lease, now: float) -> None:
    lease.record_unconfirmed(now)


def _update_lease(
    state: ModelState, index: int, record: typing.Any
) -> ModelState:
    now = _now(state, index)
    lease = frozen.apply(state.leases[index], lambda x: record(x, now))
    return state._replace(
        leases=_replace_item(state.leases, index, lease),
        calls=_replace_item(state.calls, index, None),
    )


def _is_exclusive(state: dict[str, typing.Any]) -> bool:
    """Returns whether no other daemon held the lease since its holder took it.

    A gate relies on this: since then, no other gate has granted permits.
    """
    views = [frozen.thaw(item) for item in state["leases"]]
    for index, lease in enumerate(views):
        now = TIMES_S[state["time_index"]] + OFFSETS_S[index]
        if not lease.is_held(now):
            continue
        taken_at = lease.taken_at - OFFSETS_S[index]
        for other_index, other in enumerate(views):
            other_end = other.ends_at - OFFSETS_S[other_index]
            if other_index != index and other_end > taken_at:
                return False
    return True


class _TakesHeldLease(leases.Lease):
    """Takes the lease while its holder may still act on it."""

    __slots__ = ()

    def _is_free(self, now: float) -> bool:
        del now
        return True


class _CountsFromAnswer(leases.Lease):
    """Measures the lease from the answer instead of from the write."""

    __slots__ = ()

    def record_committed(self, take: leases.Take, now: float) -> None:
        super().record_committed(take, now)
        if self.ends_at > float("-inf"):
            self.ends_at = (
                now + leases.LEASE_DURATION_S - leases.EXPIRY_MARGIN_S
            )


class _TrustsLostAnswers(leases.Lease):
    """Assumes that a write whose answer was lost took effect."""

    __slots__ = ()

    def record_unconfirmed(self, now: float) -> None:
        super().record_unconfirmed(now)
        sent_at = max(self._sent_at.values(), default=None)
        if sent_at is not None:
            self._record_held(sent_at, self._version + 1)


class _IgnoresClock(leases.Lease):
    """Holds the lease until a read or a conflict shows otherwise."""

    __slots__ = ()

    def is_held(self, now: float) -> bool:
        del now
        return self.ends_at > float("-inf")

    def _record_held(self, sent_at: float, version: int) -> None:
        super()._record_held(sent_at, version)
        self.ends_at = sent_at + 1000.0


class _KeepsFirstSeenTime(leases.Lease):
    """Measures the wait from the first version seen, not the newest."""

    __slots__ = ()

    def record_row(self, row: tables.Row | None, now: float) -> None:
        version_seen_at = self._version_seen_at
        known = self._version > 0
        super().record_row(row, now)
        if known:
            self._version_seen_at = version_seen_at


_MUTANTS: dict[str, type[leases.Lease]] = {
    "a lease is taken only after it must have ended": _TakesHeldLease,
    "a lease counts from when its write was sent": _CountsFromAnswer,
    "a lost answer is read back": _TrustsLostAnswers,
    "a holder looks at its clock": _IgnoresClock,
    "a renewed row is waited for anew": _KeepsFirstSeenTime,
}


def _build(kind: type[leases.Lease]) -> minicheck.Protocol:
    start = ModelState(
        time_index=0,
        row=None,
        leases=tuple(
            frozen.freeze(kind(partition=0, daemon=name)) for name in DAEMONS
        ),
        calls=(None,) * len(DAEMONS),
        delayed_write=None,
        writes=(0,) * len(DAEMONS),
    )
    return minicheck.Protocol(
        name="leases",
        candidate=False,
        fields=ModelState._fields,
        initial=start,
        transitions=lambda state: _list_transitions(ModelState(*state)),
        invariants={"one holder since it took the lease": _is_exclusive},
    )


def run() -> list[results.SpecResult]:
    """Checks the model, and that each guard is needed."""
    return [
        runner.check_model(
            "leases",
            _build(leases.Lease),
            {guard: _build(kind) for guard, kind in _MUTANTS.items()},
        )
    ]
