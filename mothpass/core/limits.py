"""Limits of teams, models and services, enforced by each daemon for its share.

The catalogue states limits for the whole fleet. The load balancer spreads the
requests of a team about evenly, so each of N daemons enforces an N-th of a
limit without any message. A share is never less than one request, and a burst
allows for the unevenness of the load balancer.
"""

import math

import msgspec

from mothpass.core import catalogue
from mothpass.core import errors
from mothpass.core import results

_BURST_S = 2.0
_MIN_BURST_REQUESTS = 4.0
_SHARE_HEADROOM_MULTIPLE = 1.25
_IN_FLIGHT_RETRY_AFTER_MS = 500


class _Usage:
    """Usage of the share of one team, model or service."""

    __slots__ = ("in_flight", "refilled_at", "tokens")

    def __init__(self, *, tokens: float, now: float) -> None:
        self.in_flight = 0
        self.tokens = tokens
        self.refilled_at = now


class Share(msgspec.Struct, frozen=True, kw_only=True):
    """One daemon's share of a set of limits.

    Attributes:
        in_flight: Maximum number of requests in flight on this daemon.
        requests_per_s: Maximum number of requests per second admitted by this
            daemon.
        burst: Maximum number of requests admitted at once after a pause.
        queued: Maximum number of requests queued on this daemon.
    """

    in_flight: int
    requests_per_s: float
    burst: float
    queued: int


def compute_share(limits: catalogue.Limits, daemons: int) -> Share:
    """Returns the share of one of ``daemons`` daemons, at least one each."""
    fraction = _SHARE_HEADROOM_MULTIPLE / daemons if daemons > 1 else 1.0
    requests_per_s = limits.requests_per_s * fraction
    return Share(
        in_flight=max(1, math.ceil(limits.in_flight * fraction)),
        requests_per_s=requests_per_s,
        burst=max(_MIN_BURST_REQUESTS, requests_per_s * _BURST_S),
        queued=math.ceil(limits.queued * fraction),
    )


class Limiter:
    """Admits requests up to the shares of their teams, models or services.

    One limiter holds the teams, another holds the models and services.
    """

    __slots__ = ("_code", "_daemons", "_limits", "_shares", "_usages")

    def __init__(self, *, code: results.Code) -> None:
        """Initializes a limiter without limits, which rejects with ``code``."""
        self._code = code
        self._daemons = 1
        self._limits: dict[str, catalogue.Limits] = {}
        self._shares: dict[str, Share] = {}
        self._usages: dict[str, _Usage] = {}

    def set_limits(self, limits: dict[str, catalogue.Limits]) -> None:
        """Replaces all limits; requests in flight stay counted."""
        self._limits = limits
        self._shares = {}

    def set_daemons(self, daemons: int) -> None:
        """Sets the number of live daemons that share the limits."""
        if daemons != self._daemons:
            self._daemons = max(1, daemons)
            self._shares = {}

    def get_share(self, name: str) -> Share:
        """Returns the share of a name that has limits.

        Raises:
            KeyError: The name has no limits.
        """
        share = self._shares.get(name)
        if share is None:
            share = compute_share(self._limits[name], self._daemons)
            self._shares[name] = share
        return share

    def admit(self, name: str, *, now: float) -> errors.Refusal | None:
        """Admits a request, or returns the refusal that rejects it.

        The caller must call ``release`` for each admitted request.
        """
        share = self.get_share(name)
        usage = self._find_usage(name, share, now)
        self._refill(usage, share, now)
        if usage.in_flight >= share.in_flight:
            return self._refuse(name, "in flight", _IN_FLIGHT_RETRY_AFTER_MS)
        if usage.tokens < 1.0:
            wait_s = (1.0 - usage.tokens) / share.requests_per_s
            return self._refuse(name, "per second", math.ceil(wait_s * 1000.0))
        usage.tokens -= 1.0
        usage.in_flight += 1
        return None

    def release(self, name: str) -> None:
        """Releases an admitted request that has ended."""
        usage = self._usages[name]
        usage.in_flight -= 1

    def count_in_flight(self, name: str) -> int:
        """Returns the number of requests of a name in flight."""
        usage = self._usages.get(name)
        return 0 if usage is None else usage.in_flight

    def _find_usage(self, name: str, share: Share, now: float) -> _Usage:
        usage = self._usages.get(name)
        if usage is None:
            usage = _Usage(tokens=share.burst, now=now)
            self._usages[name] = usage
        return usage

    def _refill(self, usage: _Usage, share: Share, now: float) -> None:
        elapsed_s = max(0.0, now - usage.refilled_at)
        usage.refilled_at = now
        refill = elapsed_s * share.requests_per_s
        usage.tokens = min(share.burst, usage.tokens + refill)

    def _refuse(
        self, name: str, limit_name: str, retry_after_ms: int
    ) -> errors.Refusal:
        return errors.Refusal(
            code=self._code,
            ran=results.Ran.NO,
            message=f"{name} has reached its limit of requests {limit_name}",
            retry_after_ms=retry_after_ms,
        )
