"""Records of client requests for logs and metrics."""

import msgspec

from mothpass.adapters import http_disconnects
from mothpass.core import errors
from mothpass.core import results
from mothpass.daemon import attempts
from mothpass.daemon import client_requests
from mothpass.daemon import telemetry


class RequestRecord:
    """One client request, from its arrival to its end.

    Attributes:
        connection: The client's connection.
        headers: The headers that the daemon reads.
        request: The validated request, None until it has been read.
        code: Result code of a streamed answer.
        started_at: Monotonic seconds when the request arrived.
        trace: Its attempts.
    """

    __slots__ = (
        "code",
        "connection",
        "headers",
        "request",
        "started_at",
        "trace",
    )

    def __init__(
        self,
        *,
        connection: http_disconnects.RequestConnection,
        headers: client_requests.Headers,
        started_at: float,
    ) -> None:
        """Starts with a request that hasn't been validated."""
        self.connection = connection
        self.headers = headers
        self.started_at = started_at
        self.request: client_requests.ClientRequest | None = None
        self.code = results.Code.CALLER_GONE
        self.trace = attempts.Trace()

    @property
    def request_id(self) -> str:
        """Id of the request in logs and responses."""
        return self.headers.request_id

    def build_summary(
        self, code: results.Code, now: float
    ) -> telemetry.EndedRequest:
        """Returns the telemetry record of the ended request."""
        request = self.request
        return telemetry.EndedRequest(
            request_id=self.request_id,
            team=request.team if request else "",
            service_class=request.service_class if request else "",
            name=request.name if request else "",
            target=self.trace.target_id,
            code=code,
            attempts=self.trace.attempts,
            first_token_ms=self._measure_ms(self.trace.first_event_at),
            whole_ms=(now - self.started_at) * 1000,
            added_ms=self._measure_ms(self.trace.sent_at),
        )

    def correct_ran(self, refusal: errors.Refusal) -> errors.Refusal:
        """Replaces "not run" by "unknown" in a rejection if it isn't certain.

        An earlier request with the same idempotency key may have run; only
        the claim shows whether it did.
        """
        repeatable = self.request is not None and self.request.repeatable
        if repeatable or not self.headers.idempotency_key:
            return refusal
        if self.trace.claim_known or refusal.ran is not results.Ran.NO:
            return refusal
        return msgspec.structs.replace(refusal, ran=results.Ran.UNKNOWN)

    def build_internal_error(self) -> errors.Refusal:
        """Returns the rejection for an internal error of the daemon."""
        ran = results.Ran.UNKNOWN if self.trace.attempts else results.Ran.NO
        refusal = errors.Refusal(
            code=results.Code.INTERNAL,
            ran=ran,
            message="internal error; see the daemon's log for the request id",
        )
        return self.correct_ran(refusal)

    def _measure_ms(self, at: float | None) -> float | None:
        """Returns the time from the request's arrival to a time, if known."""
        if at is None:
            return None
        return (at - self.started_at) * 1000
