"""Load figures of a stand-in target as they were some time ago."""

import collections

import msgspec


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """Figures at one moment.

    Attributes:
        at: Monotonic seconds.
        running: Calls that run.
        queued: Calls that wait.
        phase: How ready the target was.
    """

    at: float
    running: int
    queued: int
    phase: str


class LoadHistory:
    """Figures by time, of which the report shows old ones."""

    __slots__ = ("_lag_s", "_samples")

    def __init__(self, *, lag_s: float) -> None:
        """Starts without figures.

        Args:
            lag_s: Age of the figures in the report, in seconds.
        """
        self._lag_s = lag_s
        self._samples: collections.deque[Load] = collections.deque()

    def record(self, load: Load) -> None:
        """Notes the figures of this moment, where they changed."""
        if self._samples:
            last = msgspec.structs.replace(self._samples[-1], at=load.at)
            if last == load:
                return
        self._samples.append(load)
        self._trim(load.at)

    def read(self, *, now: float) -> Load:
        """Returns the figures of ``lag_s`` ago, the oldest if none are."""
        self._trim(now)
        if not self._samples:
            return Load(at=now, running=0, queued=0, phase="cold")
        return msgspec.structs.replace(
            self._samples[0], at=max(self._samples[0].at, now - self._lag_s)
        )

    def _trim(self, now: float) -> None:
        limit = now - self._lag_s
        while len(self._samples) > 1 and self._samples[1].at <= limit:
            self._samples.popleft()
