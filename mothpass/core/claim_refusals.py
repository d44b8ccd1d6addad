"""Refusals of calls that run at most once, and what each may say."""

import msgspec

from mothpass.core import errors
from mothpass.core import results

RETRY_AFTER_MS = 1000


def refuse_in_progress() -> errors.Refusal:
    """Returns the answer while another attempt holds the row."""
    return errors.Refusal(
        code=results.Code.IN_PROGRESS,
        ran=results.Ran.UNKNOWN,
        message="another request with this idempotency key is in progress",
        retry_after_ms=RETRY_AFTER_MS,
    )


def refuse_without_store(retry_after_ms: int) -> errors.Refusal:
    """Returns the answer when the row can't be had.

    This attempt sent nothing, but an earlier one under the key may have run.

    Args:
        retry_after_ms: When the caller may come back, in milliseconds.

    Returns:
        The refusal, which says ``unknown``.
    """
    return errors.Refusal(
        code=results.Code.STORE_UNAVAILABLE,
        ran=results.Ran.UNKNOWN,
        message=(
            "the store can't be asked; this attempt was not sent, "
            "but an earlier one with this key may have run"
        ),
        retry_after_ms=retry_after_ms,
    )


def refuse_not_run(code: results.Code, message: str) -> errors.Refusal:
    """Returns the answer of an attempt that held the row and sent nothing.

    The row shows that no attempt ran before it, and none could run beside it.
    """
    return errors.Refusal(
        code=code,
        ran=results.Ran.NO,
        message=message,
        retry_after_ms=RETRY_AFTER_MS,
    )


def refuse_unknown() -> errors.Refusal:
    """Returns the answer where the outcome can't be learnt any more."""
    return errors.Refusal(
        code=results.Code.OUTCOME_UNKNOWN,
        ran=results.Ran.UNKNOWN,
        message=(
            "the call was or may have been sent and its answer is not known; "
            "it will not be sent again under this key"
        ),
    )


def refuse_reused_key() -> errors.Refusal:
    """Returns the answer to a key that came with another body.

    The call with this body was not sent; but the key's other call may have
    run, so that "not run" might be taken for a word on that one.
    """
    return errors.Refusal(
        code=results.Code.IDEMPOTENCY_KEY_REUSED,
        ran=results.Ran.UNKNOWN,
        message=(
            "this idempotency key came with another body before; "
            "the call with this body was not sent"
        ),
    )


def refuse_expired_key() -> errors.Refusal:
    """Returns the answer to a key whose row is about to be pruned."""
    return errors.Refusal(
        code=results.Code.OUTCOME_UNKNOWN,
        ran=results.Ran.UNKNOWN,
        message=(
            "the time for which this idempotency key is kept is over; "
            "this attempt was not sent; use a new key"
        ),
    )


def refuse_unreadable_result() -> errors.Refusal:
    """Returns the answer where the call has run and its body can't be read."""
    return errors.Refusal(
        code=results.Code.STORE_UNAVAILABLE,
        ran=results.Ran.YES,
        message="the call has run; its answer can't be read from the store now",
        retry_after_ms=RETRY_AFTER_MS,
    )


def mark_unknown(refusal: errors.Refusal) -> errors.Refusal:
    """Returns a refusal as it may be given without asking the store.

    A call that may not be repeated can be refused by a limit before its row
    is read. An earlier attempt under its key may have run, so that "not run"
    is not known to be true of the request.
    """
    return msgspec.structs.replace(refusal, ran=results.Ran.UNKNOWN)
