"""Model of one partition's lease: two daemons, one row, no shared clock.

A write may be refused, lost before or after it takes effect, or take effect
long after its sender has given it up. A daemon may do nothing for as long as
the others need. The clocks of the daemons differ by ``OFFSETS_S``.
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
# Before and after each deadline of a lease taken at the first moment, and of
# one renewed at the second.
MOMENTS_S = (0.0, 4.0, 12.5)
MOST_WRITES = 2


class Row(typing.NamedTuple):
    """The lease row, as a value that can be hashed."""

    version: int
    value: bytes

    def thaw(self) -> tables.Row:
        """Returns it as the port gives it."""
        return tables.Row(
            key="", version=self.version, value=msgspec.Raw(self.value)
        )


class Taking(typing.NamedTuple):
    """A write on its way, as a value that can be hashed."""

    token: str
    expected_version: int
    value: bytes

    def thaw(self) -> leases.Take:
        """Returns it as the core planned it."""
        write = tables.Write(
            table=leases.TABLE,
            key="",
            expected_version=self.expected_version,
            value=msgspec.Raw(self.value),
        )
        return leases.Take(token=self.token, write=write)


class World(typing.NamedTuple):
    """One state.

    Attributes:
        step: Index of the time in ``MOMENTS_S``.
        row: The lease row.
        leases: Each daemon's view, frozen.
        calls: Each daemon's write, or its answer, on its way; None without
            one. A read takes no time: one that is answered late shows an
            older row, which makes its reader wait longer.
        ghost: A write whose sender has given it up and that may yet arrive.
        writes: Writes made by each daemon.
    """

    step: int
    row: Row | None
    leases: tuple[typing.Any, ...]
    calls: tuple[typing.Any, ...]
    ghost: Taking | None
    writes: tuple[int, ...]


class Answer(typing.NamedTuple):
    """The answer to a write, on its way.

    Attributes:
        taking: The write.
        committed: Whether it took effect.
    """

    taking: Taking
    committed: bool


Move = tuple[str, World]


def _now(world: World, place: int) -> float:
    return MOMENTS_S[world.step] + OFFSETS_S[place]


def _put(
    values: tuple[typing.Any, ...], place: int, item: object
) -> typing.Any:
    return (*values[:place], item, *values[place + 1 :])


def _apply(row: Row | None, write: Taking) -> tuple[Row | None, bool]:
    version = row.version if row is not None else 0
    if version != write.expected_version:
        return row, False
    return Row(version=version + 1, value=write.value), True


def _list_moves(world: World) -> list[Move]:
    moves: list[Move] = []
    if world.step + 1 < len(MOMENTS_S):
        moves.append(("time passes", world._replace(step=world.step + 1)))
    if world.ghost is not None:
        row, _ = _apply(world.row, world.ghost)
        moves.append(
            ("a late write arrives", world._replace(row=row, ghost=None))
        )
        moves.append(("a late write is lost", world._replace(ghost=None)))
    for place, name in enumerate(DAEMONS):
        call = world.calls[place]
        if call is None:
            moves += _list_plans(world, place, name)
        elif isinstance(call, Answer):
            moves += _list_answers(world, place, name, call)
        else:
            moves += _list_services(world, place, name, call)
    return moves


def _list_plans(world: World, place: int, name: str) -> list[Move]:
    """The daemon's tick: the next store call, as the core plans it."""
    lease = frozen.thaw(world.leases[place])
    call = lease.plan(candidate=True, now=_now(world, place))
    if call is None:
        return []
    planned = world._replace(
        leases=_put(world.leases, place, frozen.freeze(lease))
    )
    if isinstance(call, leases.Read):
        row = world.row.thaw() if world.row is not None else None
        told = _tell(planned, place, lambda x, now: x.record_row(row, now))
        return [(f"{name} reads the row", told)]
    if world.writes[place] >= MOST_WRITES:
        return []
    value = call.write.value
    taking = Taking(call.token, call.write.expected_version, bytes(value))
    sent = planned._replace(
        calls=_put(world.calls, place, taking),
        writes=_put(world.writes, place, world.writes[place] + 1),
    )
    return [(f"{name} sends a write", sent)]


def _list_services(
    world: World, place: int, name: str, call: Taking
) -> list[Move]:
    """The store serves a write, or its sender gives it up."""
    row, committed = _apply(world.row, call)
    answer = Answer(taking=call, committed=committed)
    served = world._replace(row=row, calls=_put(world.calls, place, answer))
    moves = [(f"{name}'s write is served", served)]
    if world.ghost is None:
        given_up = _tell(world, place, _record_unconfirmed)
        moves.append(
            (f"{name} gives up a write", given_up._replace(ghost=call))
        )
    return moves


def _list_answers(
    world: World, place: int, name: str, answer: Answer
) -> list[Move]:
    """The answer to a write arrives, or is lost."""
    take = answer.taking.thaw()
    if answer.committed:
        told = _tell(world, place, lambda x, now: x.record_committed(take, now))
    else:
        told = _tell(world, place, lambda x, now: x.record_conflict(now))
    lost = _tell(world, place, _record_unconfirmed)
    return [
        (f"{name}'s write is answered", told),
        (f"{name}'s answer is lost", lost),
    ]


def _record_unconfirmed(lease: leases.Lease, now: float) -> None:
    lease.record_unconfirmed(now)


def _tell(world: World, place: int, step: typing.Any) -> World:
    now = _now(world, place)
    lease = frozen.change(world.leases[place], lambda x: step(x, now))
    return world._replace(
        leases=_put(world.leases, place, lease),
        calls=_put(world.calls, place, None),
    )


def _is_exclusive(state: dict[str, typing.Any]) -> bool:
    """Tells whether nobody else has held a lease since its holder took it.

    Gates rely on this to know from when on they alone grant permits.
    """
    found = [frozen.thaw(item) for item in state["leases"]]
    for place, lease in enumerate(found):
        now = MOMENTS_S[state["step"]] + OFFSETS_S[place]
        if not lease.is_held(now):
            continue
        taken_at = lease.taken_at - OFFSETS_S[place]
        for other_place, other in enumerate(found):
            other_end = other.ends_at - OFFSETS_S[other_place]
            if other_place != place and other_end > taken_at:
                return False
    return True


class _TakesAtOnce(leases.Lease):
    """Takes a row whose holder may still be at work."""

    __slots__ = ()

    def _is_free(self, now: float) -> bool:
        del now
        return True


class _CountsFromAnswer(leases.Lease):
    """Counts its lease from the answer, not from the write."""

    __slots__ = ()

    def record_committed(self, take: leases.Take, now: float) -> None:
        super().record_committed(take, now)
        if self.ends_at > float("-inf"):
            self.ends_at = (
                now + leases.LEASE_DURATION_S - leases.EXPIRY_MARGIN_S
            )


class _TrustsLostAnswers(leases.Lease):
    """Takes a write whose answer was lost for one that took effect."""

    __slots__ = ()

    def record_unconfirmed(self, now: float) -> None:
        super().record_unconfirmed(now)
        sent_at = max(self._sent_at.values(), default=None)
        if sent_at is not None:
            self._record_held(sent_at, self._version + 1)


class _NeverLooksAtClock(leases.Lease):
    """Believes that it holds the lease until it is told otherwise."""

    __slots__ = ()

    def is_held(self, now: float) -> bool:
        del now
        return self.ends_at > float("-inf")

    def _record_held(self, sent_at: float, version: int) -> None:
        super()._record_held(sent_at, version)
        self.ends_at = sent_at + 1000.0


class _KeepsOldSighting(leases.Lease):
    """Counts the wait from the first version seen, not from the newest."""

    __slots__ = ()

    def record_row(self, row: tables.Row | None, now: float) -> None:
        seen_at = self._version_seen_at
        known = self._version > 0
        super().record_row(row, now)
        if known:
            self._version_seen_at = seen_at


_MUTANTS: dict[str, type[leases.Lease]] = {
    "a lease is taken only after it must have ended": _TakesAtOnce,
    "a lease counts from when its write was sent": _CountsFromAnswer,
    "a lost answer is read back": _TrustsLostAnswers,
    "a holder looks at its clock": _NeverLooksAtClock,
    "a renewed row is waited for anew": _KeepsOldSighting,
}


def _build(kind: type[leases.Lease]) -> minicheck.Protocol:
    start = World(
        step=0,
        row=None,
        leases=tuple(
            frozen.freeze(kind(partition=0, daemon=name)) for name in DAEMONS
        ),
        calls=(None,) * len(DAEMONS),
        ghost=None,
        writes=(0,) * len(DAEMONS),
    )
    return minicheck.Protocol(
        name="leases",
        candidate=False,
        fields=World._fields,
        initial=start,
        transitions=lambda state: _list_moves(World(*state)),
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
