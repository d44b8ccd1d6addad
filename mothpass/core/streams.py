"""Orders the events of one streamed answer and plans its resumption."""

import msgspec

from mothpass.ports import targets

# An answer is given up after more failed connections in a row than this.
MAX_CONSECUTIVE_FAILURES = 3
INITIAL_RESUME_DELAY_MS = 50


class Resume(msgspec.Struct, frozen=True, kw_only=True):
    """The rest of the answer is requested from the target.

    Attributes:
        position: Position of the first missing event.
        at: Earliest time of the request in monotonic seconds.
    """

    position: int
    at: float


class GiveUp(msgspec.Struct, frozen=True, kw_only=True):
    """The answer can't be completed.

    Attributes:
        delivered: Number of events that the client has already got.
    """

    delivered: int


class AnswerStream:
    """Received part of one streamed answer.

    Attributes:
        attempt_id: Id of the attempt whose events belong to the answer.
        boot_id: Boot id of the target, None until it has answered.
        position: Position of the next event, which is the number of accepted
            events.
        is_complete: Whether the last event has been accepted.
        has_gap: Whether events are missing before those that arrived last.
        crossed: Number of events dropped as they belong to another attempt.
        repeated: Number of events dropped as duplicates.
        early: Number of events dropped as an earlier one is missing.
        resumes: Number of times that the rest of the answer was requested.
    """

    __slots__ = (
        "_consecutive_failures",
        "attempt_id",
        "boot_id",
        "crossed",
        "early",
        "has_gap",
        "is_complete",
        "position",
        "repeated",
        "resumes",
    )

    def __init__(self, *, attempt_id: str) -> None:
        """Initializes an answer without events."""
        self.attempt_id = attempt_id
        self.boot_id: str | None = None
        self.position = 0
        self.is_complete = False
        self.has_gap = False
        self.crossed = 0
        self.repeated = 0
        self.early = 0
        self.resumes = 0
        self._consecutive_failures = 0

    def accept(self, batch: targets.EventBatch) -> list[targets.Event]:
        """Accepts events in the order of their arrival.

        Returns:
            The events that continue the answer, in order. The others are
            dropped and counted.
        """
        self.boot_id = batch.boot_id
        accepted = []
        for event in batch.events:
            if self._continues(event):
                accepted.append(event)
                self.position += 1
                self.is_complete = event.last
        if accepted:
            self._consecutive_failures = 0
        return accepted

    def plan_resume(self, *, failed: bool, now: float) -> Resume | GiveUp:
        """Decides how to get the rest of the answer after a connection ended.

        Args:
            failed: Whether the connection got no answer at all. A connection
                that was answered and then fell silent has not failed.
            now: Monotonic seconds.
        """
        self.has_gap = False
        if failed:
            self._consecutive_failures += 1
        if self._consecutive_failures > MAX_CONSECUTIVE_FAILURES:
            return GiveUp(delivered=self.position)
        self.resumes += 1
        if not failed:
            return Resume(position=self.position, at=now)
        delay_ms = INITIAL_RESUME_DELAY_MS * (
            2 ** (self._consecutive_failures - 1)
        )
        return Resume(position=self.position, at=now + delay_ms / 1000)

    def _continues(self, event: targets.Event) -> bool:
        """Returns whether an event is the next one; counts it if not."""
        if event.attempt_id != self.attempt_id:
            self.crossed += 1
            return False
        if event.position < self.position or self.is_complete:
            self.repeated += 1
            return False
        if event.position > self.position:
            self.early += 1
            self.has_gap = True
            return False
        return True
