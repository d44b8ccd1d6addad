"""Tracks the progress of a request over all of its attempts."""

from mothpass.core import errors
from mothpass.core import results
from mothpass.core import target_table
from mothpass.relay import admission
from mothpass.relay import attempts

# Retry-After of a request that timed out before it got a slot.
TIMEOUT_RETRY_AFTER_MS = 200


class PendingRead:
    """Prompt tokens that a target has yet to read for one attempt."""

    __slots__ = ("_target", "_tokens")

    def __init__(self, *, target: target_table.Target, tokens: int) -> None:
        """Adds the tokens to the target's pending ones."""
        self._target = target
        self._tokens = tokens
        target.prefill_backlog_tokens += tokens

    def finish(self) -> None:
        """Removes the tokens, as they are read or the attempt has ended."""
        self._target.prefill_backlog_tokens -= self._tokens
        self._tokens = 0


class Progress:
    """Progress of a request over all of its attempts.

    Attributes:
        delivery: State of the answer to the client.
        tried: Ids of the targets of all attempts.
        sends: Attempts so far.
        runs: Attempts in which the request ran, or may have run.
        reached_sends: Attempts that reached a target, as far as is known.
        not_run_sends: Attempts in which the request didn't run.
        failure: Last attempt whose target answered with a failure.
        reason: Why the last attempt ended.
    """

    __slots__ = (
        "delivery",
        "failure",
        "not_run_sends",
        "reached_sends",
        "reason",
        "runs",
        "sends",
        "tried",
    )

    def __init__(self, *, delivery: attempts.Delivery) -> None:
        """Creates the progress of a request without attempts."""
        self.delivery = delivery
        self.tried: set[str] = set()
        self.sends = 0
        self.runs = 0
        self.reached_sends = 0
        self.not_run_sends = 0
        self.failure: attempts.Outcome | None = None
        self.reason = ""


def make_timeout_refusal(progress: Progress) -> errors.Refusal:
    """Returns the refusal of a request that reached its deadline."""
    if progress.sends > progress.not_run_sends:
        return errors.Refusal(
            code=results.Code.OUTCOME_UNKNOWN,
            ran=results.Ran.UNKNOWN,
            message="no answer before the deadline",
        )
    return admission.make_refusal(
        results.Code.OVERLOADED,
        "no slot before the deadline",
        TIMEOUT_RETRY_AFTER_MS,
    )
