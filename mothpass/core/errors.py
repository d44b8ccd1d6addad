"""Errors that the core returns or raises."""

import msgspec

from mothpass.core import results


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """A fault in a validated document.

    Attributes:
        path: Path of the faulty value, such as ``teams[3].limits.in_flight``.
        message: Human-readable description of the fault.
    """

    path: str
    message: str


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """A final answer other than success.

    Attributes:
        code: Result code.
        ran: Whether any attempt of the request ran.
        message: Human-readable reason.
        retry_after_ms: Milliseconds after which the client may retry,
            counted from the sending of the answer; None if a retry can't help.
    """

    code: results.Code
    ran: results.Ran
    message: str
    retry_after_ms: int | None = None


class MothpassError(Exception):
    """Base of the exceptions that mothpass raises."""


class RefusalError(MothpassError):
    """Carries a refusal to the code that answers the client.

    Attributes:
        refusal: The answer to send.
    """

    def __init__(self, refusal: Refusal) -> None:
        """Initializes the error with the refusal's message as its text."""
        super().__init__(refusal.message)
        self.refusal = refusal


class DocumentError(MothpassError):
    """A settings or catalogue document is invalid.

    Attributes:
        problems: All faults found; at least one.
    """

    def __init__(self, problems: list[Problem]) -> None:
        """Initializes the error with one line of text per problem."""
        lines = [f"{item.path}: {item.message}" for item in problems]
        super().__init__("\n".join(lines))
        self.problems = problems


class MalformedInputError(MothpassError, msgspec.DecodeError):
    """A value that another party sent can't be decoded.

    It stands for all errors that decoders raise, not only for msgspec's own.
    """


class StoreUnavailableError(MothpassError):
    """The store did not accept the call, which had no effect."""


class StoreBudgetError(StoreUnavailableError):
    """The call was not made as this daemon's share of the store is used up.

    Attributes:
        wait_s: Seconds until a call of this kind may be made.
    """

    def __init__(self, wait_s: float) -> None:
        """Initializes the error with the time to wait."""
        super().__init__(
            "this daemon's share of the store's rate limit is used up"
        )
        self.wait_s = wait_s


class StoreUnconfirmedError(MothpassError):
    """The call reached the store, but its answer was lost.

    Whether it took effect is unknown until its rows are read back.
    """


class ChangeMismatchError(MothpassError):
    """A catalogue change is based on a revision other than the expected one."""


class TargetUnreachableError(MothpassError):
    """No byte of the request reached the target; it did not run."""


class TargetAnswerLostError(MothpassError):
    """The request was sent to the target, but its answer is lost or broken.

    Whether it ran is unknown.
    """


class TargetRefusedError(MothpassError):
    """The target answered that it did not run the request."""


class TargetSilentError(TargetAnswerLostError):
    """The target began to answer and then fell silent."""


class TargetDiedError(TargetAnswerLostError):
    """The target became unreachable while the request was in flight there."""


class AttemptUnknownError(TargetAnswerLostError):
    """The target does not know the attempt to be resumed.

    Attributes:
        boot_id: Boot id of the target.
    """

    def __init__(self, boot_id: str) -> None:
        """Initializes the error with the boot id."""
        super().__init__("the target does not know the attempt")
        self.boot_id = boot_id
