"""Keeps what runs at each target, to know what a target died with."""

from mothpass.core import streams
from mothpass.core import suspects

_PAST_ALL = 1 << 62


class _Run:
    """One attempt that runs at a target."""

    __slots__ = ("fingerprint", "stream")

    def __init__(
        self, *, fingerprint: int, stream: streams.AnswerStream
    ) -> None:
        self.fingerprint = fingerprint
        self.stream = stream


class Deaths:
    """Attempts of this daemon that run, by target.

    Each attempt finds out by itself that its target has died. The first one
    to do so reports all that ran beside it; the others are then known.
    """

    __slots__ = ("_runs", "_suspects")

    def __init__(self, *, suspects: suspects.SuspectTable) -> None:
        """Starts with nothing running."""
        self._suspects = suspects
        self._runs: dict[str, dict[str, _Run]] = {}

    def start(
        self, target_id: str, fingerprint: int, stream: streams.AnswerStream
    ) -> None:
        """Notes an attempt that is about to be sent."""
        runs = self._runs.setdefault(target_id, {})
        runs[stream.attempt_id] = _Run(fingerprint=fingerprint, stream=stream)

    def note_progress(
        self, target_id: str, stream: streams.AnswerStream, *, now: float
    ) -> bool:
        """Takes in that events have come; returns if this cleared a suspect."""
        if not len(self._suspects):
            return False
        run = self._runs.get(target_id, {}).get(stream.attempt_id)
        return run is not None and self._suspects.record_progress(
            run.fingerprint, stream.position, now=now
        )

    def end(
        self, target_id: str, stream: streams.AnswerStream, *, now: float
    ) -> None:
        """Notes that an attempt has ended; it may clear a suspicion."""
        runs = self._runs.get(target_id, {})
        run = runs.pop(stream.attempt_id, None)
        if run is None:
            return
        if not runs:
            del self._runs[target_id]
        if len(self._suspects):
            position = _PAST_ALL if stream.is_complete else stream.position
            self._suspects.record_progress(run.fingerprint, position, now=now)

    def record(
        self,
        target_id: str,
        stream: streams.AnswerStream,
        boot_id: str,
        *,
        now: float,
    ) -> None:
        """Takes in that a target died with an attempt in flight.

        Args:
            target_id: The target.
            stream: Answer of the attempt that found out.
            boot_id: Boot id of the target at the time.
            now: Monotonic seconds.
        """
        runs = self._runs.get(target_id, {})
        if stream.attempt_id not in runs:
            return
        del self._runs[target_id]
        running = [
            suspects.InFlightRequest(
                fingerprint=run.fingerprint, position=run.stream.position
            )
            for run in runs.values()
        ]
        self._suspects.record_death(boot_id, running, now=now)
