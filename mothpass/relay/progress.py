"""Tracks the progress of a request over all of its attempts."""

from mothpass.core import errors
from mothpass.core import results
from mothpass.core import target_table
from mothpass.relay import admission
from mothpass.relay import attempts
from mothpass.relay import peer_requests

# Retry-After of a request that timed out before it got a slot.
TIMEOUT_RETRY_AFTER_MS = 200
# Of one that is turned away by a shutdown: other daemons take it at once.
SHUTDOWN_RETRY_AFTER_MS = 0


class PendingPrefill:
    """Share of one attempt in the prefill backlog of its target."""

    __slots__ = ("_target", "_tokens")

    def __init__(self, *, target: target_table.Target, tokens: int) -> None:
        """Adds the tokens to the target's prefill backlog."""
        self._target = target
        self._tokens = tokens
        target.prefill_backlog_tokens += tokens

    def finish(self) -> None:
        """Removes the tokens, once prefilled or when the attempt has ended."""
        self._target.prefill_backlog_tokens -= self._tokens
        self._tokens = 0


class Progress:
    """Progress of a request over all of its attempts.

    Attributes:
        delivery: State of the answer to the client.
        tried: Ids of the targets of all attempts.
        attempt_count: Attempts so far.
        runs: Attempts in which the request ran, or may have run.
        reached_attempts: Attempts that reached a target, as far as is known.
        not_run_attempts: Attempts in which the request didn't run.
        tried_peers: Ids of the peers that it was forwarded to.
        lacks_path: Whether its last attempt may have failed for want of a path
            to the targets.
        max_attempts: Attempts in which the request may run.
        is_forwarded: Whether a peer forwarded the request to this daemon.
        failure: Last attempt whose target answered with a failure.
        reason: Why the last attempt ended.
        version: Fingerprint of the software version that began the stream,
            None before its first event.
    """

    __slots__ = (
        "attempt_count",
        "delivery",
        "failure",
        "is_forwarded",
        "lacks_path",
        "max_attempts",
        "not_run_attempts",
        "reached_attempts",
        "reason",
        "runs",
        "tried",
        "tried_peers",
        "version",
    )

    def __init__(
        self,
        *,
        delivery: attempts.Delivery,
        max_attempts: int,
        forwarded: peer_requests.ForwardedRequest | None = None,
    ) -> None:
        """Creates the progress of a request without attempts here.

        Args:
            delivery: State of the answer to the client.
            max_attempts: Attempts in which its route lets it run.
            forwarded: The request as a peer forwarded it, None for a request
                of a client.
        """
        self.delivery = delivery
        self.is_forwarded = forwarded is not None
        self.max_attempts = max_attempts
        self.tried: set[str] = set()
        self.tried_peers: set[str] = set()
        self.lacks_path = False
        self.attempt_count = 0
        self.runs = 0
        self.reached_attempts = 0
        self.not_run_attempts = 0
        self.failure: attempts.Outcome | None = None
        self.reason = ""
        self.version: int | None = None
        if forwarded is not None:
            self.max_attempts = min(max_attempts, forwarded.max_attempts)
            self.tried.update(forwarded.avoided)
            self.version = forwarded.version


def make_timeout_refusal(
    progress: Progress, *, is_shutdown: bool
) -> errors.Refusal:
    """Returns the refusal of a request that reached its deadline.

    Args:
        progress: Progress of the request.
        is_shutdown: Whether the deadline is the end of a shutdown.
    """
    if progress.attempt_count > progress.not_run_attempts:
        return errors.Refusal(
            code=results.Code.OUTCOME_UNKNOWN,
            ran=results.Ran.UNKNOWN,
            message="no answer before the shutdown"
            if is_shutdown
            else "no answer before the deadline",
        )
    if is_shutdown:
        return make_shutdown_refusal()
    return admission.make_refusal(
        results.Code.OVERLOADED,
        "no slot before the deadline",
        TIMEOUT_RETRY_AFTER_MS,
    )


def make_shutdown_refusal() -> errors.Refusal:
    """Returns the refusal of a request that another daemon is to serve."""
    return admission.make_refusal(
        results.Code.SHUTTING_DOWN,
        "this daemon is shutting down",
        SHUTDOWN_RETRY_AFTER_MS,
    )
