"""Typed errors that the core returns or raises."""

import msgspec

from mothpass.core import results


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """One fault in a document that was checked.

    Attributes:
        path: Where it stands, as in ``teams[3].limits.in_flight``.
        message: What is wrong, for a person.
    """

    path: str
    message: str


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """A final answer other than success.

    Attributes:
        code: Result code.
        ran: Whether the request, over all its attempts, ran.
        message: What happened, for a person.
        retry_after_ms: When the caller may come back, in milliseconds from
            the moment the answer leaves; None where coming back won't help.
    """

    code: results.Code
    ran: results.Ran
    message: str
    retry_after_ms: int | None = None


class MothpassError(Exception):
    """Base of the exceptions that mothpass raises."""


class RefusalError(MothpassError):
    """Carries a refusal to the place that answers the caller.

    Attributes:
        refusal: The answer to give.
    """

    def __init__(self, refusal: Refusal) -> None:
        """Keeps the refusal and uses its message as the exception's text."""
        super().__init__(refusal.message)
        self.refusal = refusal


class DocumentError(MothpassError):
    """A settings or catalogue document has faults.

    Attributes:
        problems: All faults that were found, at least one.
    """

    def __init__(self, problems: list[Problem]) -> None:
        """Keeps the problems and lists them in the exception's text."""
        lines = [f"{item.path}: {item.message}" for item in problems]
        super().__init__("\n".join(lines))
        self.problems = problems


class StoreUnavailableError(MothpassError):
    """The store did not take the call; the call had no effect."""


class StoreBudgetError(StoreUnavailableError):
    """The call was not made, since this daemon's share is used up.

    Attributes:
        wait_s: Seconds after which a call of its kind may be made.
    """

    def __init__(self, wait_s: float) -> None:
        """Keeps the time to wait."""
        super().__init__("share of the store's budget is used up")
        self.wait_s = wait_s


class StoreUnconfirmedError(MothpassError):
    """The call reached the store but its answer was lost.

    The effect is unknown until it is read back.
    """


class ChangeMismatchError(MothpassError):
    """A catalogue change does not follow the revision it was offered for."""


class TargetUnreachableError(MothpassError):
    """No byte of the request reached the target; it did not run."""


class TargetAnswerLostError(MothpassError):
    """The request left for the target but its answer is lost or broken.

    Whether it ran is unknown.
    """


class TargetRefusedError(MothpassError):
    """The target answered that it did not run the call."""


class TargetSilentError(TargetAnswerLostError):
    """The target began to answer and then made no progress."""


class TargetDiedError(TargetAnswerLostError):
    """The target can't be reached any more, with the call in flight there."""


class AttemptUnknownError(TargetAnswerLostError):
    """The target doesn't know the attempt that was to be resumed.

    Attributes:
        boot_id: Boot id of the target that says so.
    """

    def __init__(self, boot_id: str) -> None:
        """Keeps the boot id."""
        super().__init__("the target doesn't know the attempt")
        self.boot_id = boot_id
