"""Order of the events of one streamed answer, and when to resume it."""

import msgspec

from mothpass.ports import targets

# Failed resumes in a row after which an answer is given up.
RESUMES_IN_A_ROW = 3
RESUME_DELAY_MS = 50


class Resume(msgspec.Struct, frozen=True, kw_only=True):
    """Ask the target for the rest of the answer.

    Attributes:
        position: First position that is missing.
        at: Monotonic seconds before which it is not to be asked.
    """

    position: int
    at: float


class GiveUp(msgspec.Struct, frozen=True, kw_only=True):
    """The rest of the answer can't be had.

    Attributes:
        shown: Events that the caller has already got.
    """

    shown: int


class AnswerStream:
    """What has been received of one answer.

    Attributes:
        attempt_id: Attempt whose events belong to the answer.
        boot_id: Boot id of the target, None until it has answered.
        position: Position of the next event; also the number accepted.
        whole: Whether the last event has been accepted.
        gap: Whether events are missing before those that arrived last.
        crossed: Events dropped because they belong to another attempt.
        repeated: Events dropped because they were accepted before.
        early: Events dropped because an earlier one is missing.
        resumes: Times that the rest of the answer was asked for.
    """

    __slots__ = (
        "_failures",
        "attempt_id",
        "boot_id",
        "crossed",
        "early",
        "gap",
        "position",
        "repeated",
        "resumes",
        "whole",
    )

    def __init__(self, *, attempt_id: str) -> None:
        """Starts an answer of which nothing has been received."""
        self.attempt_id = attempt_id
        self.boot_id: str | None = None
        self.position = 0
        self.whole = False
        self.gap = False
        self.crossed = 0
        self.repeated = 0
        self.early = 0
        self.resumes = 0
        self._failures = 0

    def accept(self, batch: targets.EventBatch) -> list[targets.Event]:
        """Takes events in the order of their arrival.

        Returns:
            Those that continue the answer, in order. The others are dropped
            and counted.
        """
        self.boot_id = batch.boot_id
        accepted = []
        for event in batch.events:
            if self._continues(event):
                accepted.append(event)
                self.position += 1
                self.whole = event.last
        if accepted:
            self._failures = 0
        return accepted

    def plan_resume(self, *, failed: bool, now: float) -> Resume | GiveUp:
        """Decides how to get the missing rest after a connection ended.

        Args:
            failed: Whether the connection brought no answer at all. One that
                was answered and then went quiet has not failed.
            now: Monotonic seconds.
        """
        self.gap = False
        if failed:
            self._failures += 1
        if self._failures > RESUMES_IN_A_ROW:
            return GiveUp(shown=self.position)
        self.resumes += 1
        if not failed:
            return Resume(position=self.position, at=now)
        delay_ms = RESUME_DELAY_MS * (2 ** (self._failures - 1))
        return Resume(position=self.position, at=now + delay_ms / 1000)

    def _continues(self, event: targets.Event) -> bool:
        """Tells whether an event is the next one; counts it otherwise."""
        if event.attempt_id != self.attempt_id:
            self.crossed += 1
            return False
        if event.position < self.position or self.whole:
            self.repeated += 1
            return False
        if event.position > self.position:
            self.early += 1
            self.gap = True
            return False
        return True
