"""The targets of one model or service, and the bound on the load of each."""

from collections import abc
import math

from mothpass.core import preference
from mothpass.core import targets

RATE_WINDOW_S = 5.0
REPORT_LAG_MOST_S = 3.0
NOISE_FACTOR = 1.0
WATERMARK_SHARE = 0.8


class Pool:
    """Targets that may take calls of one model or service.

    Attributes:
        name: Model or service.
        members: Targets that may take new work, cold ones included.
        ring: The same on a ring.
        target_in_flight: Calls in flight that one warm target bears.
        skew_multiple: Bound on the load, as a multiple of the mean;
            None for a plain service, which has none.
    """

    __slots__ = (
        "_mean",
        "_rate",
        "_rate_at",
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
        self._mean = 0.0
        self._rate = 0.0
        self._rate_at = 0.0

    def set_members(self, members: abc.Iterable[targets.Target]) -> None:
        """Takes the targets that may take new work."""
        self.members = {item.id: item for item in members}
        if set(self.ring.ids) != self.members.keys():
            self.ring = preference.HashRing(ids=self.members)
        self.refresh()

    def refresh(self) -> None:
        """Computes the mean load anew, after reports came in."""
        warm = [item for item in self.members.values() if not item.is_cold()]
        total = sum(item.load for item in warm)
        self._mean = total / len(warm) if warm else 0.0

    def record_start(self, now: float) -> None:
        """Counts one call of this daemon into its rate of calls."""
        self._rate = self.rate(now) + 1.0 / RATE_WINDOW_S
        self._rate_at = now

    def rate(self, now: float) -> float:
        """Returns this daemon's calls a second, over the last seconds."""
        age = max(0.0, now - self._rate_at)
        return self._rate * math.exp(-age / RATE_WINDOW_S)

    def bound(self) -> int:
        """Returns the load that no warm target may exceed.

        It is the larger of one and the multiple of the mean load, rounded
        up, and never more than what a warm target bears. The mean is taken
        over the warm targets that may take work.
        """
        if self.skew_multiple is None:
            return self.target_in_flight
        skew = max(1, math.ceil(self.skew_multiple * self._mean))
        return min(skew, self.target_in_flight)

    def watermark(self) -> int:
        """Returns the load up to which warm targets take calls.

        It lies below the bound, as the mean may fall before a call has
        ended and as some calls are always unseen.
        """
        if self.skew_multiple is None:
            return self.target_in_flight
        multiple = 1 + (self.skew_multiple - 1) * WATERMARK_SHARE
        skew = max(1, math.floor(multiple * self._mean))
        return min(skew, self.target_in_flight)

    def target_rate(self, daemons: int, now: float) -> float:
        """Returns the calls a second that one target gets of all daemons."""
        return self.rate(now) * daemons / max(1, len(self.members))


def estimate_noise(rate: float, age_s: float) -> float:
    """Returns how far a target's load may stray unseen by a daemon.

    Starts and ends of calls are counted as independent of each other.

    Args:
        rate: Calls a second that the target gets of all daemons.
        age_s: Age of what is known of its load.
    """
    lag = min(max(age_s, 0.0), REPORT_LAG_MOST_S)
    return NOISE_FACTOR * math.sqrt(2 * rate * lag)


def share_room(room: int, *, daemons: int, rank: int, spread: int) -> int:
    """Returns one daemon's whole part of the room at a target.

    Args:
        room: Calls that all daemons together may add.
        daemons: Count of daemons.
        rank: Place of this daemon among them, from 0.
        spread: Number that daemons with the same view have in common, and
            that changes who gets the parts that are left over.

    Returns:
        Parts that sum to the room over all ranks; 0 for no room.
    """
    if room <= 0:
        return 0
    turn = (rank + spread) % daemons
    return room // daemons + (1 if turn < room % daemons else 0)
