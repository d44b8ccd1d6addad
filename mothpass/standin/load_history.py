"""Keeps the recent load of a stand-in target for lagging load reports."""

import collections

import msgspec


class LoadSample(msgspec.Struct, frozen=True, kw_only=True):
    """Load at one time.

    Attributes:
        at: Monotonic time in seconds.
        running: Running requests.
        queued: Queued requests.
        phase: Phase of the target.
    """

    at: float
    running: int
    queued: int
    phase: str


class LoadHistory:
    """Recent load samples in order of time."""

    __slots__ = ("_lag_s", "_samples")

    def __init__(self, *, lag_s: float) -> None:
        """Initializes an empty history.

        Args:
            lag_s: Age of the load in reports, in seconds.
        """
        self._lag_s = lag_s
        self._samples: collections.deque[LoadSample] = collections.deque()

    def record(self, load: LoadSample) -> None:
        """Records the current load if it changed."""
        if self._samples:
            last = msgspec.structs.replace(self._samples[-1], at=load.at)
            if last == load:
                return
        self._samples.append(load)
        self._trim(load.at)

    def read(self, *, now: float) -> LoadSample:
        """Returns the load of ``lag_s`` ago, or the oldest known load."""
        self._trim(now)
        if not self._samples:
            return LoadSample(at=now, running=0, queued=0, phase="cold")
        return msgspec.structs.replace(
            self._samples[0], at=max(self._samples[0].at, now - self._lag_s)
        )

    def _trim(self, now: float) -> None:
        oldest_needed_at = now - self._lag_s
        while (
            len(self._samples) > 1 and self._samples[1].at <= oldest_needed_at
        ):
            self._samples.popleft()
