"""Outcomes of `mothpassctl` commands and their mapping from errors."""

import msgspec

from mothpass.control import exits
from mothpass.control import operators
from mothpass.core import errors


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a command.

    Attributes:
        exit: Exit code.
        lines: Output lines for people.
        data: Output for scripts, encoded as JSON.
    """

    exit: exits.Exit = exits.Exit.DONE
    lines: list[str] = []
    data: object = None


def fail(code: exits.Exit, lines: list[str]) -> Outcome:
    """Returns a failed outcome whose data repeats the lines."""
    return Outcome(exit=code, lines=lines, data={"errors": lines})


def describe_failure(error: Exception) -> Outcome:
    """Returns the outcome of a command that raised an exception."""
    if isinstance(error, errors.DocumentError):
        return fail(exits.Exit.BAD_INPUT, str(error).splitlines())
    if isinstance(error, operators.UnconfirmedError):
        return fail(exits.Exit.UNCONFIRMED, [f"not confirmed: {error}"])
    if isinstance(error, operators.NoDaemonError):
        return fail(exits.Exit.NO_DAEMON, [str(error)])
    if isinstance(error, operators.RefusedError):
        return fail(exits.Exit.REFUSED, [f"refused: {error}"])
    if isinstance(error, OSError):
        return fail(exits.Exit.BAD_INPUT, [str(error)])
    # The remaining errors are malformed responses to reads.
    return fail(exits.Exit.NO_DAEMON, [f"no usable response: {error}"])
