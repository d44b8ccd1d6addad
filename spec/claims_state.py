"""State of the model of a call that runs at most once."""

from collections import abc
import dataclasses
import functools
import typing

import msgspec

from mothpass.core import claim_refusals
from mothpass.core import claims
from mothpass.core import errors
from mothpass.ports import tables

# Time passes in units of the clock skew bound. The deadline is one unit after
# an attempt starts and the row is kept as long, so that it is pruned three
# units after the start at the earliest.
TIME_UNIT_MS = claims.MAX_CLOCK_SKEW_MS


class Scope(typing.NamedTuple):
    """Bounds of the model.

    Attributes:
        attempts_a: Maximum attempts of daemon a.
        attempts_b: Maximum attempts of daemon b.
        last_time: Units of time that pass in total.
        time_step: Units of time that pass at once.
        delays_writes: Whether writes may take effect late.
    """

    attempts_a: int
    attempts_b: int
    last_time: int
    time_step: int
    delays_writes: bool


# Three concurrent attempts before any deadline.
RACES = Scope(
    attempts_a=2, attempts_b=1, last_time=0, time_step=1, delays_writes=True
)
# Two attempts, with time for a row to be pruned between them.
DEADLINES = Scope(
    attempts_a=1, attempts_b=1, last_time=3, time_step=1, delays_writes=True
)
# Three attempts, some of them once the row of the first may be pruned.
AFTER_PRUNING = Scope(
    attempts_a=2, attempts_b=1, last_time=3, time_step=3, delays_writes=False
)


class Attempt(typing.NamedTuple):
    """An attempt in progress.

    Attributes:
        stage: Stage of the attempt: ``take``, ``read``, ``confirmed`` or
            ``sent``.
        call: The call.
        found: The row as this attempt knows it.
        unconfirmed_version: Version that its newest claiming write expects,
            if the answer to such a write was lost; None otherwise.
    """

    stage: str
    call: claims.Call
    found: claims.Stored | None
    unconfirmed_version: int | None


class FinalWrite(typing.NamedTuple):
    """The pending write of a row's final state.

    Attributes:
        found: The row as known.
        end: The final row.
        unconfirmed_version: Version that an unconfirmed claiming write
            expects, None for a confirmed row.
    """

    found: claims.Stored | None
    end: claims.Claim
    unconfirmed_version: int | None


class DaemonState(typing.NamedTuple):
    """One daemon.

    Attributes:
        attempts: Attempts started so far.
        attempt: The attempt in progress.
        final_write: The pending write of a row's final state.
    """

    attempts: int
    attempt: Attempt | None
    final_write: FinalWrite | None


class DelayedWrite(typing.NamedTuple):
    """A write that takes effect later than it was sent.

    Attributes:
        sent_at: Time at which it was sent.
        expected_version: Version of the row that it expects.
        claim: The new row, None to delete it.
    """

    sent_at: int
    expected_version: int
    claim: claims.Claim | None


class ModelState(typing.NamedTuple):
    """State of the model.

    Attributes:
        time: Units of time passed.
        row: The row in the store.
        delays_writes: Whether writes may take effect late.
        delayed_write: A write that hasn't taken effect yet.
        pruning: Versions at which pruners have read the row as expired.
        runs: Times that the service ran the call since the last prune.
        ran: Whether the call ever ran.
        gave_false_answer: Whether a client was given a false outcome.
        a: The first daemon.
        b: The second daemon.
    """

    time: int
    row: claims.Stored | None
    delays_writes: bool
    delayed_write: DelayedWrite | None
    pruning: tuple[int, ...]
    runs: int
    ran: bool
    gave_false_answer: bool
    a: DaemonState
    b: DaemonState


Transitions = abc.Iterator[tuple[str, ModelState]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rules:
    """The core's functions that the model calls; each mutant replaces one.

    Attributes:
        pruners: Maximum pruners at the same time.
    """

    examine: abc.Callable[..., claims.Step] = claims.examine
    confirm: abc.Callable[..., claims.Send | None] = claims.confirm
    may_send: abc.Callable[..., bool] = claims.may_send
    plan_end: abc.Callable[..., tables.Write | None] = claims.plan_end
    plan_abandon: abc.Callable[..., tables.Write | None] = claims.plan_abandon
    end_lost: abc.Callable[[claims.Claim], claims.Claim] = claims.end_unknown
    may_prune: abc.Callable[..., bool] = claims.may_prune
    is_kept: abc.Callable[..., bool] = claims.is_kept
    pruners: int = 1
    refuse_unsent: abc.Callable[..., errors.Refusal] = claims.refuse_unsent
    refuse: abc.Callable[[int], errors.Refusal] = (
        claim_refusals.refuse_without_store
    )


INITIAL = ModelState(
    time=0,
    row=None,
    delays_writes=True,
    delayed_write=None,
    pruning=(),
    runs=0,
    ran=False,
    gave_false_answer=False,
    a=DaemonState(attempts=0, attempt=None, final_write=None),
    b=DaemonState(attempts=0, attempt=None, final_write=None),
)


def list_outcomes(
    state: ModelState, write: tables.Write
) -> abc.Iterator[
    tuple[str, ModelState, tables.Committed | tables.Conflict | None]
]:
    """Yields the possible outcomes of a write.

    Each is a label, the state after it, and the store's answer, None if it is
    lost.
    """
    claim = _decode(write)
    row, committed = apply_write(state.row, write.expected_version, claim)
    after = state._replace(row=row)
    if committed:
        yield "confirmed", after, tables.Committed()
        yield "answer lost", after, None
    else:
        version = state.row.version if state.row else 0
        conflict = tables.Conflict(
            table=write.table, key=write.key, version=version
        )
        yield "conflict", state, conflict
    yield "lost", state, None
    if state.delays_writes and state.delayed_write is None:
        delayed_write = DelayedWrite(
            sent_at=state.time,
            expected_version=write.expected_version,
            claim=claim,
        )
        yield "late", state._replace(delayed_write=delayed_write), None


def apply_write(
    row: claims.Stored | None, expected_version: int, claim: claims.Claim | None
) -> tuple[claims.Stored | None, bool]:
    """Applies a conditional write as the table service does."""
    version = row.version if row else 0
    if version != expected_version:
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


def replace_daemon(
    state: ModelState, name: str, daemon: DaemonState
) -> ModelState:
    """Returns the state with one daemon replaced."""
    if name == "a":
        return state._replace(a=daemon)
    return state._replace(b=daemon)
