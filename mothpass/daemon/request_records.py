"""One request from its arrival to its end, for logs and metrics."""

import msgspec

from mothpass.adapters import http_guard
from mothpass.core import errors
from mothpass.core import results
from mothpass.daemon import attempts
from mothpass.daemon import calls
from mothpass.daemon import telemetry


class Record:
    """One request.

    Attributes:
        caller: Who sent it.
        headers: Headers that it depends on.
        call: The request once it has been read.
        code: How a streamed answer has ended.
        started_at: Monotonic seconds at which the request came.
        trace: Its attempts.
    """

    __slots__ = (
        "call",
        "caller",
        "code",
        "headers",
        "started_at",
        "trace",
    )

    def __init__(
        self,
        *,
        caller: http_guard.Caller,
        headers: calls.Headers,
        started_at: float,
    ) -> None:
        """Starts with a request that hasn't been read."""
        self.caller = caller
        self.headers = headers
        self.started_at = started_at
        self.call: calls.Call | None = None
        self.code = results.Code.CALLER_GONE
        self.trace = attempts.Trace()

    @property
    def request_id(self) -> str:
        """Name of the request in logs and answers."""
        return self.headers.request_id

    def summarize(self, code: results.Code, now: float) -> telemetry.Ended:
        """Returns what is reported of the request's end."""
        call = self.call
        return telemetry.Ended(
            request_id=self.request_id,
            team=call.team if call else "",
            service_class=call.service_class if call else "",
            name=call.name if call else "",
            target=self.trace.target_id,
            code=code,
            attempts=self.trace.attempts,
            first_token_ms=self._measure_ms(self.trace.first_at),
            whole_ms=(now - self.started_at) * 1000,
            added_ms=self._measure_ms(self.trace.sent_at),
        )

    def correct(self, refusal: errors.Refusal) -> errors.Refusal:
        """Takes back a "not run" that can't be known.

        Under an idempotency key the request may have run at an earlier ask;
        only the claim tells.
        """
        repeatable = self.call is not None and self.call.repeatable
        if repeatable or not self.headers.idempotency_key:
            return refusal
        if self.trace.claim_known or refusal.ran is not results.Ran.NO:
            return refusal
        return msgspec.structs.replace(refusal, ran=results.Ran.UNKNOWN)

    def refuse_internal(self) -> errors.Refusal:
        """Returns the refusal for a fault of the daemon itself."""
        ran = results.Ran.UNKNOWN if self.trace.attempts else results.Ran.NO
        refusal = errors.Refusal(
            code=results.Code.INTERNAL,
            ran=ran,
            message="the daemon failed; its log has the request id",
        )
        return self.correct(refusal)

    def _measure_ms(self, moment: float | None) -> float | None:
        """Returns the time from the start of the request to a moment."""
        if moment is None:
            return None
        return (moment - self.started_at) * 1000
