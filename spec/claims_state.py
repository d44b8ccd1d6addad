"""State of the model of calls that run at most once."""

from collections import abc
import dataclasses
import functools
import typing

import msgspec

from mothpass.core import claim_refusals
from mothpass.core import claims
from mothpass.core import errors
from mothpass.ports import tables

# Time goes in units of the clocks' difference. A deadline ends one unit after
# its ask, and the row is kept as long; so it is pruned after three at the
# earliest.
UNIT_MS = claims.MAX_CLOCK_SKEW_MS


class Scope(typing.NamedTuple):
    """How far the model goes.

    Attributes:
        asks_a: Asks that come through daemon a.
        asks_b: Asks that come through daemon b.
        last_time: Units of time that pass.
        step: Units that pass at once.
        late: Whether writes may take effect late.
    """

    asks_a: int
    asks_b: int
    last_time: int
    step: int
    late: bool


# Three asks before any deadline.
RACES = Scope(asks_a=2, asks_b=1, last_time=0, step=1, late=True)
# Two asks, with time for a row to be pruned between them.
TIMES = Scope(asks_a=1, asks_b=1, last_time=3, step=1, late=True)
# Three asks, of which some come when the row of the first may be pruned.
REMAINS = Scope(asks_a=2, asks_b=1, last_time=3, step=3, late=False)


class Ask(typing.NamedTuple):
    """An ask on its way.

    Attributes:
        at: ``take``, ``read``, ``confirmed`` or ``sent``.
        call: The call.
        found: The row as this ask knows it.
        lost: Version that its newest claim expects, if an answer to a claim
            was lost; None otherwise.
    """

    at: str
    call: claims.Call
    found: claims.Stored | None
    lost: int | None


class Ending(typing.NamedTuple):
    """A row that a daemon is about to end.

    Attributes:
        found: The row as known.
        end: The row as it should become.
        abandoned: Version that an unconfirmed claim expects, None for a row
            that was confirmed.
    """

    found: claims.Stored | None
    end: claims.Claim
    abandoned: int | None


class Daemon(typing.NamedTuple):
    """One daemon."""

    asks: int
    ask: Ask | None
    ending: Ending | None


class Late(typing.NamedTuple):
    """A write that will take effect later."""

    sent_at: int
    expected_version: int
    claim: claims.Claim | None


class World(typing.NamedTuple):
    """A state of the model.

    Attributes:
        time: Units of time passed.
        row: The row in the store.
        may_be_late: Whether writes may take effect late.
        late: A write on its way.
        pruning: Versions at which pruners have read the row as old.
        runs: Times that the service ran the call since the last prune.
        ran: Whether it ever ran.
        false_word: Whether an answer was given that isn't true.
        a: The one daemon.
        b: The other.
    """

    time: int
    row: claims.Stored | None
    may_be_late: bool
    late: Late | None
    pruning: tuple[int, ...]
    runs: int
    ran: bool
    false_word: bool
    a: Daemon
    b: Daemon


Moves = abc.Iterator[tuple[str, World]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rules:
    """The functions of the core that the model calls; mutants replace one."""

    examine: abc.Callable[..., claims.Step] = claims.examine
    confirm: abc.Callable[..., claims.Send | None] = claims.confirm
    may_send: abc.Callable[..., bool] = claims.may_send
    plan_end: abc.Callable[..., tables.Write | None] = claims.plan_end
    plan_abandon: abc.Callable[..., tables.Write | None] = claims.plan_abandon
    end_lost: abc.Callable[[claims.Claim], claims.Claim] = claims.end_unknown
    may_prune: abc.Callable[..., bool] = claims.may_prune
    is_kept: abc.Callable[..., bool] = claims.is_kept
    pruners: int = 1
    conclude: abc.Callable[..., errors.Refusal] = claims.conclude_not_run
    refuse: abc.Callable[[int], errors.Refusal] = (
        claim_refusals.refuse_without_store
    )


INITIAL = World(
    time=0,
    row=None,
    may_be_late=True,
    late=None,
    pruning=(),
    runs=0,
    ran=False,
    false_word=False,
    a=Daemon(asks=0, ask=None, ending=None),
    b=Daemon(asks=0, ask=None, ending=None),
)


def list_effects(
    world: World, write: tables.Write
) -> abc.Iterator[tuple[str, World, tables.Committed | tables.Conflict | None]]:
    """Yields what may become of a write: state and answer, None for lost."""
    claim = _decode(write)
    row, committed = apply_write(world.row, write.expected_version, claim)
    after = world._replace(row=row)
    if committed:
        yield "confirmed", after, tables.Committed()
        yield "answer lost", after, None
    else:
        version = world.row.version if world.row else 0
        conflict = tables.Conflict(
            table=write.table, key=write.key, version=version
        )
        yield "conflict", world, conflict
    yield "lost", world, None
    if world.may_be_late and world.late is None:
        late = Late(
            sent_at=world.time,
            expected_version=write.expected_version,
            claim=claim,
        )
        yield "late", world._replace(late=late), None


def apply_write(
    row: claims.Stored | None, expected: int, claim: claims.Claim | None
) -> tuple[claims.Stored | None, bool]:
    """Applies a conditional write as the table service does."""
    version = row.version if row else 0
    if version != expected:
        return row, False
    if claim is None:
        return None, True
    return claims.Stored(version=version + 1, claim=claim), True


def _decode(write: tables.Write) -> claims.Claim | None:
    if write.value is None:
        return None
    return _decode_claim(bytes(write.value))


@functools.lru_cache(maxsize=4096)
def _decode_claim(data: bytes) -> claims.Claim:
    row = tables.Row(key="", version=1, value=msgspec.Raw(data))
    stored = claims.decode_row(row)
    assert stored is not None
    return stored.claim


def put_daemon(world: World, name: str, daemon: Daemon) -> World:
    """Returns the state with one daemon replaced."""
    if name == "a":
        return world._replace(a=daemon)
    return world._replace(b=daemon)
