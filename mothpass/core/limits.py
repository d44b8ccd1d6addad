"""Limits of teams, models and services, as one daemon's share of them.

The catalogue states limits over the whole fleet. The balancer spreads a
team's requests about evenly, so each of N daemons enforces an N-th by itself
and no message is needed. A share is never less than one request, and a burst
allows for the unevenness of the balancer.
"""

import math

import msgspec

from mothpass.core import catalogue
from mothpass.core import errors
from mothpass.core import results

_BURST_S = 2.0
_LEAST_BURST = 4.0
_SHARE_HEADROOM = 1.25
_IN_FLIGHT_RETRY_MS = 500


class _Account:
    """What one team, model or service has used of its share."""

    __slots__ = ("in_flight", "refilled_at", "tokens")

    def __init__(self, *, tokens: float, now: float) -> None:
        self.in_flight = 0
        self.tokens = tokens
        self.refilled_at = now


class Share(msgspec.Struct, frozen=True, kw_only=True):
    """One daemon's share of a set of limits.

    Attributes:
        in_flight: Requests that may run at once on this daemon.
        requests_per_s: Requests a second that may start on this daemon.
        burst: Requests that may start at once after a pause.
        queued: Requests that may wait on this daemon.
    """

    in_flight: int
    requests_per_s: float
    burst: float
    queued: int


def compute_share(limits: catalogue.Limits, daemons: int) -> Share:
    """Returns the share of one of ``daemons`` daemons, at least one each."""
    part = _SHARE_HEADROOM / daemons if daemons > 1 else 1.0
    rate = limits.requests_per_s * part
    return Share(
        in_flight=max(1, math.ceil(limits.in_flight * part)),
        requests_per_s=rate,
        burst=max(_LEAST_BURST, rate * _BURST_S),
        queued=math.ceil(limits.queued * part),
    )


class Limiter:
    """Admits requests up to the shares of their names.

    One limiter holds teams, another holds models and services.
    """

    __slots__ = ("_accounts", "_code", "_daemons", "_limits", "_shares")

    def __init__(self, *, code: results.Code) -> None:
        """Makes an empty limiter whose refusals carry ``code``."""
        self._code = code
        self._daemons = 1
        self._limits: dict[str, catalogue.Limits] = {}
        self._shares: dict[str, Share] = {}
        self._accounts: dict[str, _Account] = {}

    def set_limits(self, limits: dict[str, catalogue.Limits]) -> None:
        """Replaces all limits; what is in flight stays counted."""
        self._limits = limits
        self._shares = {}

    def set_daemons(self, daemons: int) -> None:
        """Sets among how many live daemons the limits are shared."""
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
        """Counts one request in, or returns why it may not start.

        Each admitted request must be counted out by ``finish``.
        """
        share = self.get_share(name)
        account = self._find_account(name, share, now)
        self._refill(account, share, now)
        if account.in_flight >= share.in_flight:
            return self._refuse(name, "in flight", _IN_FLIGHT_RETRY_MS)
        if account.tokens < 1.0:
            wait_s = (1.0 - account.tokens) / share.requests_per_s
            return self._refuse(name, "a second", math.ceil(wait_s * 1000.0))
        account.tokens -= 1.0
        account.in_flight += 1
        return None

    def release(self, name: str) -> None:
        """Counts one admitted request out."""
        account = self._accounts[name]
        account.in_flight -= 1

    def count_in_flight(self, name: str) -> int:
        """Returns how many admitted requests of a name have not finished."""
        account = self._accounts.get(name)
        return 0 if account is None else account.in_flight

    def _find_account(self, name: str, share: Share, now: float) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            account = _Account(tokens=share.burst, now=now)
            self._accounts[name] = account
        return account

    def _refill(self, account: _Account, share: Share, now: float) -> None:
        elapsed = max(0.0, now - account.refilled_at)
        account.refilled_at = now
        earned = elapsed * share.requests_per_s
        account.tokens = min(share.burst, account.tokens + earned)

    def _refuse(self, name: str, what: str, wait_ms: int) -> errors.Refusal:
        return errors.Refusal(
            code=self._code,
            ran=results.Ran.NO,
            message=f"{name} has reached its limit of requests {what}",
            retry_after_ms=wait_ms,
        )
