"""A call's place at a target, and the refusals of calls without one."""

import msgspec

from mothpass.core import errors
from mothpass.core import gates
from mothpass.core import results
from mothpass.core import targets

RETRY_AFTER_MS = 1000
_SURELY_ENDED = (
    targets.Outcome.ANSWERED,
    targets.Outcome.FAILED,
    targets.Outcome.REFUSED,
    targets.Outcome.UNREACHABLE,
)


class Place(msgspec.Struct, frozen=True, kw_only=True):
    """A target that takes a call now; the call is counted there.

    Attributes:
        target_id: The target.
        address: ``ip:port`` of it.
        permit: Permit for a cold target, None for a warm one.
    """

    target_id: str
    address: str
    permit: gates.Permit | None


def may_release(permit: gates.Permit, outcome: targets.Outcome) -> bool:
    """Tells whether a permit goes back to its gate with the call's end.

    That of a trial is kept where the call may still run at the target, since
    another trial beside it could not be told from it if the target died.
    """
    if permit.source is gates.Source.TRIAL:
        return outcome in _SURELY_ENDED
    return permit.source is gates.Source.GATE


def refuse_late() -> errors.Refusal:
    """Returns the refusal of a call whose deadline came while it waited."""
    return errors.Refusal(
        code=results.Code.DEADLINE_EXCEEDED,
        ran=results.Ran.NO,
        message="no target had room before the deadline",
        retry_after_ms=RETRY_AFTER_MS,
    )


def refuse_full() -> errors.Refusal:
    """Returns the refusal of a call that was shed from a full queue."""
    return errors.Refusal(
        code=results.Code.OVERLOADED,
        ran=results.Ran.NO,
        message="too many requests wait already",
        retry_after_ms=RETRY_AFTER_MS,
    )
