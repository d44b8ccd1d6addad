"""Attempts that are sent to targets, and the answers of targets."""

from collections import abc
import enum

import msgspec


def scope_key(*, team: str, idempotency_key: str) -> str:
    """Returns the idempotency key that is sent to a target.

    A service may distinguish requests by their keys alone. With the team as
    prefix, two teams that choose the same key never get each other's result;
    team names contain no ``/``.
    """
    return f"{team}/{idempotency_key}"


class Attempt(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt of a request at one target.

    Attributes:
        id: Unique id, which the target echoes with every event and answer.
        target_id: Instance id of the target.
        address: ``ip:port`` of the target.
        path: Path of the HTTP request at the target.
        body: JSON body that is sent to the target.
        priority: 0 is the most urgent.
        idempotency_key: Key of a request that may not run twice, from
            ``scope_key``.
        fencing: Fencing token of the permit or claim, 0 without one.
        deadline: Monotonic seconds after which an answer is of no use.
    """

    id: str
    target_id: str
    address: str
    path: str
    body: bytes
    priority: int
    idempotency_key: str | None = None
    fencing: int = 0
    deadline: float


class Event(msgspec.Struct, frozen=True, kw_only=True):
    """One event of a streamed answer.

    Attributes:
        attempt_id: Id of the attempt, as echoed by the target.
        position: Index of the event in the answer, from 0.
        data: JSON of the event.
        last: Whether the event completes the answer.
    """

    attempt_id: str
    position: int
    data: bytes
    last: bool


class EventBatch(msgspec.Struct, frozen=True, kw_only=True):
    """Events that were received together.

    Attributes:
        boot_id: Boot id of the target.
        events: One or more events in the order of arrival.
    """

    boot_id: str
    events: list[Event]


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """A complete answer that was not streamed.

    Attributes:
        attempt_id: Id of the attempt, as echoed by the target.
        status: HTTP status of the answer.
        body: The complete body.
        boot_id: Boot id of the target.
    """

    attempt_id: str
    status: int
    body: bytes
    boot_id: str


class Phase(enum.StrEnum):
    """Phase that a target reports."""

    COLD = "cold"
    WARM = "warm"
    LEAVING = "leaving"


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Load report of a target; its figures are some time old.

    Attributes:
        target_id: Instance id of the target.
        boot_id: Changes with each start of the target.
        phase: Phase of the target.
        running: Requests in the running batch.
        queued: Requests queued at the target.
        age_ms: Age of the figures when the target sent the report.
    """

    target_id: str
    boot_id: str
    phase: Phase
    running: int
    queued: int
    age_ms: int


# Starts an attempt and yields its events as they arrive, up to the event with
# ``last``. The caller must close the generator.
# Raises errors.TargetUnreachableError, errors.TargetRefusedError,
# errors.TargetSilentError or errors.TargetAnswerLostError.
OpenStream = abc.Callable[[Attempt], abc.AsyncGenerator[EventBatch, None]]

# Resumes the events of a started attempt from a position, over a new
# connection. Raises the same errors and errors.AttemptUnknownError.
ResumeStream = abc.Callable[
    [Attempt, int], abc.AsyncGenerator[EventBatch, None]
]

# Runs an attempt and waits for the complete answer.
# Raises errors.TargetUnreachableError, errors.TargetRefusedError or
# errors.TargetAnswerLostError.
CallTarget = abc.Callable[[Attempt], abc.Awaitable[Answer]]

# Cancels an attempt at its target; failures are ignored.
CancelAttempt = abc.Callable[[Attempt], abc.Awaitable[None]]

# Reads the load report of the target at an address.
# Raises errors.TargetUnreachableError or errors.TargetAnswerLostError.
ReadLoad = abc.Callable[[str], abc.Awaitable[LoadReport]]
