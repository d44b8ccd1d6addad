"""Steps of a call that runs at most once.

Each idempotency key of a team and service has one row in the store. An
attempt writes its token there and is confirmed before it may send anything;
from then on the row says that the call may have run. No other attempt takes
the row from it, however long it is silent: others wait, or say that the
outcome is unknown. The attempt itself ends the row with what came of it.

Rows are changed by compare-and-set on their version and are never deleted
before their time, so that a write that arrives late finds another version and
has no effect.
"""

import enum
import hashlib

import msgspec

from mothpass.core import claim_refusals
from mothpass.core import errors
from mothpass.ports import tables
from mothpass.ports import targets

TABLE = "claims"
MAX_ROW_BODY_BYTES = 16_384
# What wall clocks of two daemons differ by, and how late a write of the one
# takes effect in the store, stay below this together.
MAX_CLOCK_SKEW_MS = 60_000


class State(enum.StrEnum):
    """What the row of a key says."""

    # An attempt holds the row; the call may have run, or may run yet.
    CLAIMED = "claimed"
    # No attempt so far has run, and none holds the row.
    NOT_RUN = "not_run"
    # The call ran; the row has its answer.
    RESULT = "result"
    # The attempt sent the call and lost the answer.
    UNKNOWN = "unknown"


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """A call that may not be repeated, as one attempt sees it.

    Attributes:
        team: Name of the team.
        service: Name of the service.
        idempotency_key: Key that the caller chose.
        body_sha256: Digest of the body; a key goes with one body.
        token: Unique id of this attempt.
        deadline: Monotonic seconds after which nothing may be sent.
        may_run_until_ms: The deadline as wall time, milliseconds since the
            epoch, for other daemons.
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
    """The row of a key.

    Attributes:
        state: What it says.
        token: Attempt that holds it, or held it last.
        team: Name of the team.
        service: Name of the service.
        idempotency_key: Key that the caller chose.
        body_sha256: Digest of the body.
        may_run_until_ms: Wall time after which the attempt sends nothing.
        kept_until_ms: Wall time until which the row is kept.
        status: HTTP status of the answer, in state RESULT.
        boot_id: Boot id of the target that answered.
        body: Body of the answer, where it is small.
        body_object: Name of the object with the body, where it is large.
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
    """A row as read, with its version."""

    version: int
    claim: Claim


class Take(msgspec.Struct, frozen=True, kw_only=True):
    """Try to get the row by this write; nothing may be sent before that."""

    write: tables.Write


class Send(msgspec.Struct, frozen=True, kw_only=True):
    """The row is this attempt's; it may send once.

    Attributes:
        stored: The confirmed row.
    """

    stored: Stored


class Wait(msgspec.Struct, frozen=True, kw_only=True):
    """Another attempt holds the row; read it again later."""


class Known(msgspec.Struct, frozen=True, kw_only=True):
    """The call has run and the row has its answer."""

    claim: Claim


Step = Take | Send | Wait | Known | errors.Refusal


def name_row(team: str, service: str, idempotency_key: str) -> str:
    """Returns the row's key; keys are spread evenly over hex prefixes."""
    # Names of teams and services hold no "/", so that the parts are distinct.
    text = f"{team}/{service}/{idempotency_key}"
    return hashlib.sha256(text.encode()).hexdigest()


def hash_body(body: bytes) -> str:
    """Returns the digest by which bodies under one key are compared."""
    return hashlib.sha256(body).hexdigest()


def decode_row(row: tables.Row | None) -> Stored | None:
    """Decodes a row as read from the store."""
    if row is None:
        return None
    claim = msgspec.json.decode(row.value, type=Claim)
    return Stored(version=row.version, claim=claim)


def examine(call: Call, found: Stored | None, *, wall_ms: int) -> Step:
    """Decides the next step of an attempt from the row of its key.

    Args:
        call: The call.
        found: The row as the store has it, None for no row. An attempt may
            assume None at first; the store refuses the write if it is wrong.
        wall_ms: Wall time, milliseconds since the epoch, right before the
            step is carried out.

    Returns:
        The step. A row with this attempt's own token is the proof that a
        write took effect whose answer was lost.
    """
    if found is None:
        return Take(write=_write(call, 0, build_claim(call)))
    claim = found.claim
    if claim.body_sha256 != call.body_sha256:
        return claim_refusals.refuse_reused_key()
    match claim.state:
        case State.RESULT:
            step: Step = Known(claim=claim)
        case State.UNKNOWN:
            step = claim_refusals.refuse_unknown()
        case State.NOT_RUN if is_kept(claim, wall_ms=wall_ms):
            step = Take(write=_write(call, found.version, build_claim(call)))
        case State.NOT_RUN:
            # The row may be gone when the write arrives, and another one may
            # have its version by then.
            step = claim_refusals.refuse_expired_key()
        case State.CLAIMED:
            step = _examine_claimed(call, found, wall_ms)
    return step


def _examine_claimed(call: Call, found: Stored, wall_ms: int) -> Step:
    """Decides the next step when an attempt, perhaps this one, has the row."""
    if found.claim.token == call.token:
        return Send(stored=found)
    if wall_ms > found.claim.may_run_until_ms + MAX_CLOCK_SKEW_MS:
        return claim_refusals.refuse_unknown()
    return Wait()


def confirm(
    take: Take, outcome: tables.Committed | tables.Conflict | None, call: Call
) -> Send | None:
    """Tells whether a write that was sent gave this attempt the row.

    Args:
        take: The step that was carried out.
        outcome: What the store answered; None for a lost answer.
        call: The call.

    Returns:
        The step after a confirmed write. None where only reading the row can
        tell, which includes every lost answer.
    """
    if not isinstance(outcome, tables.Committed):
        return None
    version = take.write.expected_version + 1
    return Send(stored=Stored(version=version, claim=build_claim(call)))


def may_send(call: Call, *, now: float) -> bool:
    """Tells whether a confirmed attempt may still send, right before it does.

    The row outlives the deadline, so that an attempt that was paused past it
    never sends beside one that came after the row was pruned.
    """
    return now < call.deadline


def conclude_not_run(
    refusal: errors.Refusal, claim: Claim, *, wall_ms: int
) -> errors.Refusal:
    """Returns what an attempt that held the row and sent nothing may say.

    Args:
        refusal: Why it was not sent; it says "not run".
        claim: The row as this attempt claimed it.
        wall_ms: Wall time now.

    Returns:
        The refusal as it is, since no attempt ran before the row was claimed
        and none can run beside it. After a pause so long that the row may
        have been pruned the refusal says "unknown".
    """
    if is_kept(claim, wall_ms=wall_ms):
        return refusal
    return claim_refusals.mark_unknown(refusal)


def end_not_run(claim: Claim) -> Claim:
    """Returns the row after an attempt of which no byte left."""
    return msgspec.structs.replace(claim, state=State.NOT_RUN)


def end_unknown(claim: Claim) -> Claim:
    """Returns the row after an attempt that was sent and not answered."""
    return msgspec.structs.replace(claim, state=State.UNKNOWN)


def end_result(
    claim: Claim, answer: targets.Answer, *, body_object: str
) -> Claim:
    """Returns the row after an answer.

    Args:
        claim: The claimed row.
        answer: The whole answer.
        body_object: Object that holds the body; "" to keep it in the row.

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
    """Returns the object for a body too large for a row; "" if it isn't."""
    if len(answer.body) <= MAX_ROW_BODY_BYTES:
        return ""
    return f"claims/{hashlib.sha256(answer.body).hexdigest()}"


def plan_end(found: Stored | None, end: Claim) -> tables.Write | None:
    """Decides the write that ends the row of an attempt that held it.

    Args:
        found: The row as confirmed or read.
        end: The row as it should become, with the attempt's token.

    Returns:
        The write; None where there is nothing to write, since the row has
        ended or isn't the attempt's.
    """
    if found is None or found.claim.token != end.token:
        return None
    if found.claim.state is not State.CLAIMED:
        return None
    return _write_at(_name_claim(end), found.version, end)


def plan_abandon(
    found: Stored | None, end: Claim, *, expected_version: int
) -> tables.Write | None:
    """Decides the write after a claim that was sent and never confirmed.

    The claim may be on its way still. If the row has the version that it
    expects, the row gets a new one, so that it has no effect any more.

    Args:
        found: The row as read.
        end: The row in state NOT_RUN, with the attempt's token.
        expected_version: Version that the newest claim expects.

    Returns:
        The write; None where there is nothing to write.
    """
    version = found.version if found else 0
    if version == expected_version:
        return _write_at(_name_claim(end), version, end)
    return plan_end(found, end)


def is_kept(end: Claim, *, wall_ms: int) -> bool:
    """Tells whether a daemon may still write the end of its row.

    Once the row may have been pruned, a new row could have the version that
    the write expects.
    """
    return wall_ms <= end.kept_until_ms


def may_prune(claim: Claim, *, wall_ms: int) -> bool:
    """Tells whether a row's time is over on every daemon's clock."""
    return wall_ms > claim.kept_until_ms + MAX_CLOCK_SKEW_MS


def plan_prune(row: tables.Row) -> tables.Write:
    """Returns the write that deletes a row exactly as it was read."""
    return tables.Write(
        table=TABLE, key=row.key, expected_version=row.version, value=None
    )


def build_claim(call: Call) -> Claim:
    """Returns the row by which an attempt claims its key."""
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


def _name_claim(claim: Claim) -> str:
    return name_row(claim.team, claim.service, claim.idempotency_key)


def _write(call: Call, expected_version: int, claim: Claim) -> tables.Write:
    key = name_row(call.team, call.service, call.idempotency_key)
    return _write_at(key, expected_version, claim)


def _write_at(key: str, expected_version: int, claim: Claim) -> tables.Write:
    return tables.Write(
        table=TABLE,
        key=key,
        expected_version=expected_version,
        value=msgspec.Raw(msgspec.json.encode(claim)),
    )
