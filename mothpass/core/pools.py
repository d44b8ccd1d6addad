"""Pools of the targets of one model or service, with their load bounds."""

from collections import abc
import math

from mothpass.core import preference
from mothpass.core import targets

RATE_WINDOW_S = 5.0
MAX_REPORT_LAG_S = 3.0
DRIFT_FACTOR = 1.0
WATERMARK_SHARE = 0.8


class Pool:
    """Targets that may take requests of one model or service.

    Attributes:
        name: Model or service.
        members: Targets that may take new work by id, cold ones included.
        ring: Hash ring of the members.
        target_in_flight: Maximum requests in flight at one warm target.
        skew_multiple: Skew bound as a multiple of the mean load; None for a
            service, which has no skew bound.
    """

    __slots__ = (
        "_mean_load",
        "_rate",
        "_rate_updated_at",
        "members",
        "name",
        "ring",
        "skew_multiple",
        "target_in_flight",
    )

    def __init__(
        self, *, name: str, target_in_flight: int, skew_multiple: float | None
    ) -> None:
        """Starts without a target."""
        self.name = name
        self.target_in_flight = target_in_flight
        self.skew_multiple = skew_multiple
        self.members: dict[str, targets.Target] = {}
        self.ring = preference.HashRing(ids=())
        self._mean_load = 0.0
        self._rate = 0.0
        self._rate_updated_at = 0.0

    def set_members(self, members: abc.Iterable[targets.Target]) -> None:
        """Replaces the members by the targets that may take new work."""
        self.members = {item.id: item for item in members}
        if set(self.ring.ids) != self.members.keys():
            self.ring = preference.HashRing(ids=self.members)
        self.refresh()

    def refresh(self) -> None:
        """Recomputes the mean load after loads have changed."""
        warm = [item for item in self.members.values() if not item.is_cold()]
        total = sum(item.load for item in warm)
        self._mean_load = total / len(warm) if warm else 0.0

    def record_attempt(self, now: float) -> None:
        """Adds a started attempt of this daemon to its rate."""
        self._rate = self.compute_rate(now) + 1.0 / RATE_WINDOW_S
        self._rate_updated_at = now

    def compute_rate(self, now: float) -> float:
        """Returns this daemon's attempts per second, decayed exponentially."""
        age = max(0.0, now - self._rate_updated_at)
        return self._rate * math.exp(-age / RATE_WINDOW_S)

    def compute_skew_bound(self) -> int:
        """Returns the load that no warm target may exceed.

        It is the skew multiple of the mean load, rounded up, at least 1 and at
        most ``target_in_flight``. The mean is taken over the warm members.
        """
        if self.skew_multiple is None:
            return self.target_in_flight
        skew = max(1, math.ceil(self.skew_multiple * self._mean_load))
        return min(skew, self.target_in_flight)

    def compute_watermark(self) -> int:
        """Returns the load up to which warm targets accept requests.

        It lies below the skew bound, since the mean may fall before a request
        has ended and some requests of other daemons are not known yet.
        """
        if self.skew_multiple is None:
            return self.target_in_flight
        multiple = 1 + (self.skew_multiple - 1) * WATERMARK_SHARE
        skew = max(1, math.floor(multiple * self._mean_load))
        return min(skew, self.target_in_flight)

    def compute_target_rate(self, daemons: int, now: float) -> float:
        """Returns the attempts per second at one target, of all daemons."""
        return self.compute_rate(now) * daemons / max(1, len(self.members))


def estimate_load_drift(rate: float, age_s: float) -> float:
    """Estimates how far a target's load has drifted from its known value.

    Starts and ends of requests are taken as independent of each other.

    Args:
        rate: Attempts per second at the target, of all daemons.
        age_s: Age of the known load.
    """
    lag_s = min(max(age_s, 0.0), MAX_REPORT_LAG_S)
    return DRIFT_FACTOR * math.sqrt(2 * rate * lag_s)


def share_headroom(
    headroom: int, *, daemons: int, rank: int, rotation: int
) -> int:
    """Returns one daemon's share of the headroom at a target.

    Args:
        headroom: Requests that all daemons together may add.
        daemons: Number of daemons.
        rank: Rank of this daemon among them, from 0.
        rotation: Number that is equal at daemons with the same view; it
            decides which ranks get the remainder.

    Returns:
        Whole shares that sum to the headroom over all ranks; 0 without
        headroom.
    """
    if headroom <= 0:
        return 0
    position = (rank + rotation) % daemons
    return headroom // daemons + (1 if position < headroom % daemons else 0)
