"""Tracks attempts in flight by target, to find what ran when one crashed."""

from mothpass.core import streams
from mothpass.core import suspects

_BEYOND_LAST_POSITION = 1 << 62


class _InFlightAttempt:
    """One attempt in flight at a target."""

    __slots__ = ("fingerprint", "stream")

    def __init__(
        self, *, fingerprint: int, stream: streams.AnswerStream
    ) -> None:
        self.fingerprint = fingerprint
        self.stream = stream


class InFlightAttempts:
    """In-flight attempts of this daemon, by target.

    Each attempt detects a crash of its target by itself. The first one to do
    so reports all attempts at the target; later reports are ignored.
    """

    __slots__ = ("_attempts", "_suspects")

    def __init__(self, *, suspects: suspects.SuspectTable) -> None:
        """Starts with no attempts in flight."""
        self._suspects = suspects
        self._attempts: dict[str, dict[str, _InFlightAttempt]] = {}

    def add(
        self, target_id: str, fingerprint: int, stream: streams.AnswerStream
    ) -> None:
        """Adds an attempt that is about to be sent."""
        attempts = self._attempts.setdefault(target_id, {})
        attempts[stream.attempt_id] = _InFlightAttempt(
            fingerprint=fingerprint, stream=stream
        )

    def record_progress(
        self, target_id: str, stream: streams.AnswerStream, *, now: float
    ) -> bool:
        """Records received events; returns whether a suspect was cleared."""
        if not len(self._suspects):
            return False
        attempt = self._attempts.get(target_id, {}).get(stream.attempt_id)
        return attempt is not None and self._suspects.record_progress(
            attempt.fingerprint, stream.position, now=now
        )

    def remove(
        self, target_id: str, stream: streams.AnswerStream, *, now: float
    ) -> None:
        """Removes an ended attempt; its progress may clear a suspect."""
        attempts = self._attempts.get(target_id, {})
        attempt = attempts.pop(stream.attempt_id, None)
        if attempt is None:
            return
        if not attempts:
            del self._attempts[target_id]
        if len(self._suspects):
            position = (
                _BEYOND_LAST_POSITION if stream.is_complete else stream.position
            )
            self._suspects.record_progress(
                attempt.fingerprint, position, now=now
            )

    def record_crash(
        self,
        target_id: str,
        stream: streams.AnswerStream,
        boot_id: str,
        *,
        now: float,
    ) -> None:
        """Records a crash of a target, with all attempts in flight there.

        Args:
            target_id: Id of the target.
            stream: Event stream of the attempt that detected the crash.
            boot_id: Boot id of the target that crashed.
            now: Monotonic seconds.
        """
        attempts = self._attempts.get(target_id, {})
        if stream.attempt_id not in attempts:
            return
        del self._attempts[target_id]
        in_flight = [
            suspects.InFlightRequest(
                fingerprint=attempt.fingerprint,
                position=attempt.stream.position,
            )
            for attempt in attempts.values()
        ]
        self._suspects.record_death(boot_id, in_flight, now=now)
