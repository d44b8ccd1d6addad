"""Decides the steps of a call that runs at most once per idempotency key.

Each idempotency key of a team and service has one row in the store, its
claim. An attempt writes its token to the row and must be confirmed as the
holder before it sends anything; from then on the row records that the call
may have run. No other attempt takes the row over, however long the holder is
silent: others wait, or answer that the outcome is unknown. Only the holder
writes the final state of the row.

Rows are changed by compare-and-set on their version and are never deleted
before their retention time has passed, so that a delayed write finds another
version and has no effect.
"""

import enum
import hashlib

import msgspec

from mothpass.core import claim_refusals
from mothpass.core import decoding
from mothpass.core import errors
from mothpass.ports import tables
from mothpass.ports import targets

TABLE = "claims"
MAX_ROW_BODY_BYTES = 16_384
# Upper bound on the sum of the difference between the wall clocks of two
# daemons and the delay with which a write takes effect in the store.
MAX_CLOCK_SKEW_MS = 60_000


class State(enum.StrEnum):
    """State of the row of an idempotency key."""

    # An attempt holds the row; the call may have run or may still run.
    CLAIMED = "claimed"
    # No attempt has run so far, and none holds the row.
    NOT_RUN = "not_run"
    # The call ran; the row holds its answer.
    RESULT = "result"
    # An attempt sent the call and received no answer.
    UNKNOWN = "unknown"


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt at a call that must not run twice.

    Attributes:
        team: Name of the team.
        service: Name of the service.
        idempotency_key: Key that the client chose.
        body_sha256: Digest of the body; a key is valid with one body only.
        token: Unique id of this attempt.
        deadline: Monotonic seconds after which nothing may be sent.
        may_run_until_ms: The deadline as wall time, in milliseconds since
            the epoch, for other daemons.
        kept_until_ms: Wall time until which the row is kept.
    """

    team: str
    service: str
    idempotency_key: str
    body_sha256: str
    token: str
    deadline: float
    may_run_until_ms: int
    kept_until_ms: int


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """The row of an idempotency key.

    Attributes:
        state: State of the row.
        token: Id of the attempt that holds the row, or held it last.
        team: Name of the team.
        service: Name of the service.
        idempotency_key: Key that the client chose.
        body_sha256: Digest of the request's body.
        may_run_until_ms: Wall time after which the attempt sends nothing.
        kept_until_ms: Wall time until which the row is kept.
        status: HTTP status of the answer, in state RESULT.
        boot_id: Boot id of the target that answered.
        body: Body of the answer, if it fits into the row.
        body_object: Name of the object that holds a larger body, else "".
    """

    state: State
    token: str
    team: str
    service: str
    idempotency_key: str
    body_sha256: str
    may_run_until_ms: int
    kept_until_ms: int
    status: int = 0
    boot_id: str = ""
    body: bytes = b""
    body_object: str = ""


class Stored(msgspec.Struct, frozen=True, kw_only=True):
    """A claim as stored, with its row's version."""

    version: int
    claim: Claim


class Take(msgspec.Struct, frozen=True, kw_only=True):
    """Claim the row by this write; send nothing until it is confirmed.

    Attributes:
        write: The conditional write.
    """

    write: tables.Write


class Send(msgspec.Struct, frozen=True, kw_only=True):
    """This attempt holds the row and may send the call once.

    Attributes:
        stored: The confirmed row.
    """

    stored: Stored


class Wait(msgspec.Struct, frozen=True, kw_only=True):
    """Another attempt holds the row; read it again later."""


class Known(msgspec.Struct, frozen=True, kw_only=True):
    """The call has run and the row holds its answer.

    Attributes:
        claim: The row, in state RESULT.
    """

    claim: Claim


Step = Take | Send | Wait | Known | errors.Refusal


def name_row(team: str, service: str, idempotency_key: str) -> str:
    """Returns the row's key; keys are spread evenly over hex prefixes."""
    # Names of teams and services contain no "/", so the text is unambiguous.
    text = f"{team}/{service}/{idempotency_key}"
    return hashlib.sha256(text.encode()).hexdigest()


def hash_body(body: bytes) -> str:
    """Returns the digest that compares the bodies sent with one key."""
    return hashlib.sha256(body).hexdigest()


def decode_row(row: tables.Row | None) -> Stored | None:
    """Decodes a row as read from the store."""
    if row is None:
        return None
    claim = decoding.decode_json(row.value, Claim)
    return Stored(version=row.version, claim=claim)


def examine(call: Call, found: Stored | None, *, wall_ms: int) -> Step:
    """Decides the next step of an attempt from the row of its key.

    Args:
        call: The call.
        found: The stored row, None if there is none. An attempt may assume
            None before its first read; if that is wrong, the store reports a
            conflict.
        wall_ms: Wall time in milliseconds since the epoch, taken right
            before the step is carried out.

    Returns:
        The step. A row with this attempt's own token proves that a write
        whose answer was lost took effect.
    """
    if found is None:
        return Take(write=_build_claim_write(call, 0, build_claim(call)))
    claim = found.claim
    if claim.body_sha256 != call.body_sha256:
        return claim_refusals.refuse_reused_key()
    match claim.state:
        case State.RESULT:
            step: Step = Known(claim=claim)
        case State.UNKNOWN:
            step = claim_refusals.refuse_unknown()
        case State.NOT_RUN if is_kept(claim, wall_ms=wall_ms):
            step = Take(
                write=_build_claim_write(call, found.version, build_claim(call))
            )
        case State.NOT_RUN:
            # The row may be pruned before the write arrives, and a new row
            # may then have the version that the write expects.
            step = claim_refusals.refuse_expired_key()
        case State.CLAIMED:
            step = _examine_claimed(call, found, wall_ms)
    return step


def _examine_claimed(call: Call, found: Stored, wall_ms: int) -> Step:
    """Decides the next step for a row that is held by any attempt."""
    if found.claim.token == call.token:
        return Send(stored=found)
    if wall_ms > found.claim.may_run_until_ms + MAX_CLOCK_SKEW_MS:
        return claim_refusals.refuse_unknown()
    return Wait()


def confirm(
    take: Take, outcome: tables.Committed | tables.Conflict | None, call: Call
) -> Send | None:
    """Returns the step after a write that claims the row.

    Args:
        take: The step that was carried out.
        outcome: The store's answer; None if it was lost.
        call: The call.

    Returns:
        The step after a confirmed write. None if the row must be read to
        find its holder, as after every lost answer.
    """
    if not isinstance(outcome, tables.Committed):
        return None
    version = take.write.expected_version + 1
    return Send(stored=Stored(version=version, claim=build_claim(call)))


def may_send(call: Call, *, now: float) -> bool:
    """Returns whether a confirmed attempt may send, right before it does.

    The row outlives the deadline. An attempt that was paused past its
    deadline therefore never sends alongside an attempt that claimed the key
    after the row was pruned.
    """
    return now < call.deadline


def refuse_unsent(
    refusal: errors.Refusal, claim: Claim, *, wall_ms: int
) -> errors.Refusal:
    """Returns the refusal of an attempt that held the row and sent nothing.

    Args:
        refusal: Why nothing was sent; it states that the call did not run.
        claim: The row as this attempt claimed it.
        wall_ms: Wall time now.

    Returns:
        The refusal unchanged, since no attempt ran before the row was
        claimed and none can run while it is held. If the row may have been
        pruned since, the refusal with an unknown outcome instead.
    """
    if is_kept(claim, wall_ms=wall_ms):
        return refusal
    return claim_refusals.mark_unknown(refusal)


def end_not_run(claim: Claim) -> Claim:
    """Returns the final row of an attempt that sent no byte."""
    return msgspec.structs.replace(claim, state=State.NOT_RUN)


def end_unknown(claim: Claim) -> Claim:
    """Returns the final row of an attempt that was sent and not answered."""
    return msgspec.structs.replace(claim, state=State.UNKNOWN)


def end_result(
    claim: Claim, answer: targets.Answer, *, body_object: str
) -> Claim:
    """Returns the final row of an attempt that was answered.

    Args:
        claim: The claimed row.
        answer: The complete answer.
        body_object: Name of the object that holds the body; "" to keep the
            body in the row.

    Returns:
        The row in state RESULT.
    """
    return msgspec.structs.replace(
        claim,
        state=State.RESULT,
        status=answer.status,
        boot_id=answer.boot_id,
        body=b"" if body_object else answer.body,
        body_object=body_object,
    )


def name_body_object(answer: targets.Answer) -> str:
    """Returns the object's name for a body too large for a row, else ""."""
    if len(answer.body) <= MAX_ROW_BODY_BYTES:
        return ""
    return f"claims/{hashlib.sha256(answer.body).hexdigest()}"


def plan_end(found: Stored | None, end: Claim) -> tables.Write | None:
    """Plans the write of the final state of a row by its holder.

    Args:
        found: The row as confirmed or read.
        end: The final row, with the attempt's token.

    Returns:
        The write; None if the row already has a final state or another
        attempt holds it.
    """
    if found is None or found.claim.token != end.token:
        return None
    if found.claim.state is not State.CLAIMED:
        return None
    return _build_write(_name_claim_row(end), found.version, end)


def plan_abandon(
    found: Stored | None, end: Claim, *, expected_version: int
) -> tables.Write | None:
    """Plans the write after a claim that was sent and never confirmed.

    The claiming write may still arrive. If the row has the version that it
    expects, this write advances the version, so that the claiming write has
    no effect.

    Args:
        found: The row as read.
        end: The row in state NOT_RUN, with the attempt's token.
        expected_version: Version that the newest claiming write expects.

    Returns:
        The write; None if there is nothing to write.
    """
    version = found.version if found else 0
    if version == expected_version:
        return _build_write(_name_claim_row(end), version, end)
    return plan_end(found, end)


def is_kept(claim: Claim, *, wall_ms: int) -> bool:
    """Returns whether a row certainly exists, so that it may be written.

    Once the row may have been pruned, a new row may have the version that
    the write expects.
    """
    return wall_ms <= claim.kept_until_ms


def may_prune(claim: Claim, *, wall_ms: int) -> bool:
    """Returns whether a row's retention has ended on every daemon's clock."""
    return wall_ms > claim.kept_until_ms + MAX_CLOCK_SKEW_MS


def plan_prune(row: tables.Row) -> tables.Write:
    """Returns the write that deletes a row unless it has changed since."""
    return tables.Write(
        table=TABLE, key=row.key, expected_version=row.version, value=None
    )


def build_claim(call: Call) -> Claim:
    """Returns the row with which an attempt claims its key."""
    return Claim(
        state=State.CLAIMED,
        token=call.token,
        team=call.team,
        service=call.service,
        idempotency_key=call.idempotency_key,
        body_sha256=call.body_sha256,
        may_run_until_ms=call.may_run_until_ms,
        kept_until_ms=call.kept_until_ms,
    )


def _name_claim_row(claim: Claim) -> str:
    return name_row(claim.team, claim.service, claim.idempotency_key)


def _build_claim_write(
    call: Call, expected_version: int, claim: Claim
) -> tables.Write:
    key = name_row(call.team, call.service, call.idempotency_key)
    return _build_write(key, expected_version, claim)


def _build_write(key: str, expected_version: int, claim: Claim) -> tables.Write:
    return tables.Write(
        table=TABLE,
        key=key,
        expected_version=expected_version,
        value=msgspec.Raw(msgspec.json.encode(claim)),
    )
