"""Keeps what runs at each target, to know what a target died with."""

from mothpass.core import suspects

_PAST_ALL = 1 << 62


class _Run:
    """One attempt that runs at a target."""

    __slots__ = ("fingerprint", "position")

    def __init__(self, *, fingerprint: int) -> None:
        self.fingerprint = fingerprint
        self.position = 0


class Deaths:
    """Attempts of this daemon that run, by target.

    Each attempt finds out by itself that its target has died. The first one
    to do so reports all that ran beside it; the others are then known.
    """

    __slots__ = ("_runs", "_suspects")

    def __init__(self, *, suspects: suspects.Suspects) -> None:
        """Starts with nothing running."""
        self._suspects = suspects
        self._runs: dict[str, dict[str, _Run]] = {}

    def start(self, target_id: str, attempt_id: str, fingerprint: int) -> None:
        """Notes an attempt that is about to be sent."""
        runs = self._runs.setdefault(target_id, {})
        runs[attempt_id] = _Run(fingerprint=fingerprint)

    def note_position(
        self, target_id: str, attempt_id: str, position: int, *, now: float
    ) -> bool:
        """Notes how many events an attempt has brought.

        Returns:
            Whether this cleared a suspect.
        """
        run = self._runs.get(target_id, {}).get(attempt_id)
        if run is None:
            return False
        run.position = position
        if not len(self._suspects):
            return False
        return self._suspects.record_progress(
            run.fingerprint, position, now=now
        )

    def end(
        self, target_id: str, attempt_id: str, *, whole: bool, now: float
    ) -> None:
        """Notes that an attempt has ended, with a whole answer or not."""
        if whole:
            self.note_position(target_id, attempt_id, _PAST_ALL, now=now)
        runs = self._runs.get(target_id)
        if runs is not None:
            runs.pop(attempt_id, None)
            if not runs:
                del self._runs[target_id]

    def record(
        self, target_id: str, attempt_id: str, boot_id: str, *, now: float
    ) -> None:
        """Takes in that a target died with an attempt in flight.

        Args:
            target_id: The target.
            attempt_id: Attempt that found out.
            boot_id: Boot id of the target at the time.
            now: Monotonic seconds.
        """
        runs = self._runs.get(target_id, {})
        if attempt_id not in runs:
            return
        del self._runs[target_id]
        running = [
            suspects.Running(fingerprint=run.fingerprint, position=run.position)
            for run in runs.values()
        ]
        self._suspects.record_death(boot_id, running, now=now)
