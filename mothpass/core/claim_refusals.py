"""Builds the refusals of calls that run at most once.

Each refusal states whether the call ran as far as the row of its idempotency
key proves it.
"""

import msgspec

from mothpass.core import errors
from mothpass.core import results

RETRY_AFTER_MS = 1000


def refuse_in_progress() -> errors.Refusal:
    """Returns the refusal while another attempt holds the row."""
    return errors.Refusal(
        code=results.Code.IN_PROGRESS,
        ran=results.Ran.UNKNOWN,
        message="another request with this idempotency key is in progress",
        retry_after_ms=RETRY_AFTER_MS,
    )


def refuse_without_store(retry_after_ms: int) -> errors.Refusal:
    """Returns the refusal when the row can't be read or claimed.

    This attempt sent nothing, but an earlier one with the key may have run.

    Args:
        retry_after_ms: Milliseconds after which the client may retry.

    Returns:
        The refusal, with the outcome ``unknown``.
    """
    return errors.Refusal(
        code=results.Code.STORE_UNAVAILABLE,
        ran=results.Ran.UNKNOWN,
        message=(
            "the store is unavailable; this attempt was not sent, "
            "but an earlier one with this key may have run"
        ),
        retry_after_ms=retry_after_ms,
    )


def refuse_not_run(code: results.Code, message: str) -> errors.Refusal:
    """Returns the refusal of an attempt that held the row and sent nothing.

    The row proves that no earlier attempt ran and that none ran meanwhile.
    """
    return errors.Refusal(
        code=code,
        ran=results.Ran.NO,
        message=message,
        retry_after_ms=RETRY_AFTER_MS,
    )


def refuse_unknown() -> errors.Refusal:
    """Returns the refusal when the outcome can no longer be determined."""
    return errors.Refusal(
        code=results.Code.OUTCOME_UNKNOWN,
        ran=results.Ran.UNKNOWN,
        message=(
            "the call may have been sent and its answer is not known; "
            "it will not be sent again with this idempotency key"
        ),
    )


def refuse_reused_key() -> errors.Refusal:
    """Returns the refusal of a key that was used with another body.

    The call with this body was not sent, but the key's other call may have
    run. Stating "not run" could be read as a statement about that call.
    """
    return errors.Refusal(
        code=results.Code.IDEMPOTENCY_KEY_REUSED,
        ran=results.Ran.UNKNOWN,
        message=(
            "this idempotency key was used with another body before; "
            "the call with this body was not sent"
        ),
    )


def refuse_expired_key() -> errors.Refusal:
    """Returns the refusal of a key whose row may be pruned at any time."""
    return errors.Refusal(
        code=results.Code.OUTCOME_UNKNOWN,
        ran=results.Ran.UNKNOWN,
        message=(
            "this idempotency key has expired; "
            "this attempt was not sent; use a new key"
        ),
    )


def refuse_unreadable_result() -> errors.Refusal:
    """Returns the refusal when the call ran and its answer can't be read."""
    return errors.Refusal(
        code=results.Code.STORE_UNAVAILABLE,
        ran=results.Ran.YES,
        message="the call has run; its answer can't be read from the store now",
        retry_after_ms=RETRY_AFTER_MS,
    )


def mark_unknown(refusal: errors.Refusal) -> errors.Refusal:
    """Returns a refusal with the outcome ``unknown``.

    A call that must not run twice can be rejected by a limit before its row
    is read. An earlier attempt with its key may have run, so "not run" can't
    be stated without the row.
    """
    return msgspec.structs.replace(refusal, ran=results.Ran.UNKNOWN)
