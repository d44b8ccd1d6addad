"""What became of a request so far."""

from mothpass.core import errors
from mothpass.core import results
from mothpass.core import target_table
from mothpass.relay import admission
from mothpass.relay import attempts

# After a wait without a place.
LATE_RETRY_MS = 200


class Reading:
    """Tokens that a target has yet to read for one attempt."""

    __slots__ = ("_target", "_tokens")

    def __init__(self, *, target: target_table.Target, tokens: int) -> None:
        """Adds them to those of the target."""
        self._target = target
        self._tokens = tokens
        target.prefill_backlog_tokens += tokens

    def end(self) -> None:
        """Notes that they are read, or won't be."""
        self._target.prefill_backlog_tokens -= self._tokens
        self._tokens = 0


class Progress:
    """What became of a request so far.

    Attributes:
        delivery: What its client has been sent.
        tried: Ids of the targets that it was sent to.
        runs: Sends after which it has run, or may have.
        arrivals: Sends that reached a target, as far as is known.
        refusals: Sends that showed that it didn't run.
        failure: Last failure that a target answered.
        reason: Why the last send ended.
    """

    __slots__ = (
        "arrivals",
        "delivery",
        "failure",
        "reason",
        "refusals",
        "runs",
        "sends",
        "tried",
    )

    def __init__(self, *, delivery: attempts.Delivery) -> None:
        """Starts with nothing sent."""
        self.delivery = delivery
        self.tried: set[str] = set()
        self.sends = 0
        self.runs = 0
        self.arrivals = 0
        self.refusals = 0
        self.failure: attempts.Outcome | None = None
        self.reason = ""


def refuse_late(progress: Progress) -> errors.Refusal:
    """Returns the refusal of a request whose time is over."""
    if progress.sends > progress.refusals:
        return errors.Refusal(
            code=results.Code.OUTCOME_UNKNOWN,
            ran=results.Ran.UNKNOWN,
            message="no answer in time",
        )
    return admission.refuse(
        results.Code.OVERLOADED, "no place in time", LATE_RETRY_MS
    )
