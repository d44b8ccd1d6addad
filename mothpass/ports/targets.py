"""What targets are asked and what they answer."""

from collections import abc
import enum

import msgspec


def scope_key(*, team: str, idempotency_key: str) -> str:
    """Returns the idempotency key that a target is shown.

    A service may tell calls apart by their keys alone. With the team in front
    two teams that choose the same key never get each other's result; names of
    teams hold no ``/``.
    """
    return f"{team}/{idempotency_key}"


class Attempt(msgspec.Struct, frozen=True, kw_only=True):
    """One try of a request at one target.

    Attributes:
        id: Unique id that the target echoes with every event and answer.
        target_id: Instance id of the target.
        address: ``ip:port`` of the target.
        path: Path of the HTTP request at the target.
        body: Body as it goes to the target, JSON.
        priority: 0 is the most urgent.
        idempotency_key: Key of a call that may not be repeated, as
            ``scope_key`` gives it.
        fencing: Fencing number of the permit or claim, 0 without one.
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
        attempt_id: Attempt that it belongs to, as the target says.
        position: 0 for the first event and one more for each after it.
        data: The event's JSON.
        last: Whether the answer is whole with this event.
    """

    attempt_id: str
    position: int
    data: bytes
    last: bool


class Batch(msgspec.Struct, frozen=True, kw_only=True):
    """Events that arrived together.

    Attributes:
        boot_id: Boot id of the target that sent them.
        events: At least one event, in the order of arrival.
    """

    boot_id: str
    events: list[Event]


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """One whole answer that was not streamed.

    Attributes:
        attempt_id: Attempt that it belongs to, as the target says.
        status: HTTP status of the target.
        body: The body, whole.
        boot_id: Boot id of the target.
    """

    attempt_id: str
    status: int
    body: bytes
    boot_id: str


class Phase(enum.StrEnum):
    """How ready a target says it is."""

    COLD = "cold"
    WARM = "warm"
    LEAVING = "leaving"


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """What an engine or service says of its load, with a lag.

    Attributes:
        target_id: Instance id.
        boot_id: Changes with each start.
        phase: How ready it says it is.
        running: Calls in the running batch.
        queued: Calls that wait at the target.
        age_ms: Age of the figures when the report left the target.
    """

    target_id: str
    boot_id: str
    phase: Phase
    running: int
    queued: int
    age_ms: int


# Starts an attempt and yields its events as they arrive. Ends after the event
# with ``last``. The caller closes the generator.
# Raises errors.TargetUnreachableError, errors.TargetRefusedError,
# errors.TargetSilentError or errors.TargetAnswerLostError.
OpenStream = abc.Callable[[Attempt], abc.AsyncGenerator[Batch, None]]

# The same for the rest of an attempt that was started before, from a position
# and over a new connection. Also raises errors.AttemptUnknownError.
ResumeStream = abc.Callable[[Attempt, int], abc.AsyncGenerator[Batch, None]]

# Calls a target and waits for its whole answer.
# Raises errors.TargetUnreachableError, errors.TargetRefusedError or
# errors.TargetAnswerLostError.
CallTarget = abc.Callable[[Attempt], abc.Awaitable[Answer]]

# Tells a target to stop an attempt; failures are of no interest.
CancelAttempt = abc.Callable[[Attempt], abc.Awaitable[None]]

# Reads the load report of the target at an address.
# Raises errors.TargetUnreachableError or errors.TargetAnswerLostError.
ReadLoad = abc.Callable[[str], abc.Awaitable[LoadReport]]
