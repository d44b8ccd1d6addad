"""Tracks attempts in flight by target, to find what ran when one crashed."""

import msgspec

from mothpass.core import prompt_suspects
from mothpass.core import streams
from mothpass.core import suspects

_BEYOND_LAST_POSITION = 1 << 62


class Interruption(msgspec.Struct, frozen=True, kw_only=True):
    """What was in flight at a target when its connections broke.

    Attributes:
        requests: The requests.
        unanswered_parts: Fingerprints of the parts of their prompts that no
            answer has cleared.
    """

    requests: list[suspects.InFlightRequest]
    unanswered_parts: frozenset[int]


class _InFlightAttempt:
    """One attempt in flight at a target."""

    __slots__ = ("fingerprint", "first_event_at", "shared_parts", "stream")

    def __init__(
        self,
        *,
        fingerprint: int,
        shared_parts: tuple[int, ...],
        stream: streams.AnswerStream,
    ) -> None:
        self.fingerprint = fingerprint
        self.shared_parts = shared_parts
        self.stream = stream
        self.first_event_at: float | None = None

    def is_answered(self, now: float) -> bool:
        """Returns whether its answer shows that its prompt is sound."""
        if self.stream.is_complete:
            return True
        return (
            self.first_event_at is not None
            and now - self.first_event_at
            >= prompt_suspects.ANSWER_TIME_TO_CLEAR_S
        )


class InFlightAttempts:
    """In-flight attempts of this daemon, by target.

    Each attempt detects a crash of its target by itself. The first one to do
    so reports all attempts at the target; later reports are ignored.
    """

    __slots__ = ("_attempts", "_suspected_parts", "_suspects")

    def __init__(
        self,
        *,
        suspects: suspects.SuspectTable,
        suspected_parts: prompt_suspects.PromptSuspectTable,
    ) -> None:
        """Starts with no attempts in flight."""
        self._suspects = suspects
        self._suspected_parts = suspected_parts
        self._attempts: dict[str, dict[str, _InFlightAttempt]] = {}

    def add(
        self,
        target_id: str,
        fingerprint: int,
        shared_parts: tuple[int, ...],
        stream: streams.AnswerStream,
    ) -> None:
        """Adds an attempt that is about to be sent."""
        attempts = self._attempts.setdefault(target_id, {})
        attempts[stream.attempt_id] = _InFlightAttempt(
            fingerprint=fingerprint, shared_parts=shared_parts, stream=stream
        )

    def record_progress(
        self, target_id: str, stream: streams.AnswerStream, *, now: float
    ) -> bool:
        """Records received events; returns whether a suspect was cleared."""
        attempt = self._attempts.get(target_id, {}).get(stream.attempt_id)
        if attempt is None:
            return False
        if attempt.first_event_at is None:
            attempt.first_event_at = now
        return bool(len(self._suspects)) and self._suspects.record_progress(
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
        if attempt.is_answered(now):
            self._suspected_parts.record_answer(attempt.shared_parts, now=now)
        if len(self._suspects):
            position = (
                _BEYOND_LAST_POSITION if stream.is_complete else stream.position
            )
            self._suspects.record_progress(
                attempt.fingerprint, position, now=now
            )

    def interrupt(self, target_id: str, *, now: float) -> Interruption:
        """Returns what is in flight at a target whose connections broke."""
        attempts = self._attempts.get(target_id, {}).values()
        return Interruption(
            requests=[
                suspects.InFlightRequest(
                    fingerprint=attempt.fingerprint,
                    position=attempt.stream.position,
                )
                for attempt in attempts
            ],
            unanswered_parts=frozenset(
                part
                for attempt in attempts
                if not attempt.is_answered(now)
                for part in attempt.shared_parts
            ),
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
        if stream.attempt_id not in self._attempts.get(target_id, {}):
            return
        interruption = self.interrupt(target_id, now=now)
        del self._attempts[target_id]
        self._suspects.record_death(boot_id, interruption.requests, now=now)
        self._suspected_parts.record_death(
            boot_id, interruption.unanswered_parts, now=now
        )
