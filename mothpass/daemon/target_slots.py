"""Slots for requests at targets, and rejections of requests without one."""

import msgspec

from mothpass.core import errors
from mothpass.core import gates
from mothpass.core import results
from mothpass.core import targets

RETRY_AFTER_MS = 1000
_TERMINAL_OUTCOMES = (
    targets.Outcome.ANSWERED,
    targets.Outcome.FAILED,
    targets.Outcome.REFUSED,
    targets.Outcome.UNREACHABLE,
)


class TargetSlot(msgspec.Struct, frozen=True, kw_only=True):
    """A reserved slot at a target; the request counts as in flight there.

    Attributes:
        target_id: Id of the target.
        address: ``ip:port`` of the target.
        permit: Permit for a cold target, None for a warm one.
    """

    target_id: str
    address: str
    permit: gates.Permit | None


def is_releasable(permit: gates.Permit, outcome: targets.Outcome) -> bool:
    """Returns whether a permit is released when its attempt ends.

    The permit of a trial is kept if the attempt may still run at the target:
    with a second trial beside it, a crash couldn't be attributed to either.
    """
    if permit.source is gates.Source.TRIAL:
        return outcome in _TERMINAL_OUTCOMES
    return permit.source is gates.Source.GATE


def build_deadline_rejection() -> errors.Refusal:
    """Returns the rejection of a request that expired before placement."""
    return errors.Refusal(
        code=results.Code.DEADLINE_EXCEEDED,
        ran=results.Ran.NO,
        message="no target had a free slot before the deadline",
        retry_after_ms=RETRY_AFTER_MS,
    )


def build_queue_full_rejection() -> errors.Refusal:
    """Returns the rejection of a request evicted from a full queue."""
    return errors.Refusal(
        code=results.Code.OVERLOADED,
        ran=results.Ran.NO,
        message="the request queue is full",
        retry_after_ms=RETRY_AFTER_MS,
    )
