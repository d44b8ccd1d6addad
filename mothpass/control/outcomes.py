"""What a command of `mothpassctl` ends with, and how errors map to it."""

import msgspec

from mothpass.control import exits
from mothpass.control import operators
from mothpass.core import errors


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """The end of a command.

    Attributes:
        exit: Exit code.
        lines: What a person reads.
        data: What a script reads, encoded as JSON.
    """

    exit: exits.Exit = exits.Exit.DONE
    lines: list[str] = []
    data: object = None


def fail(code: exits.Exit, lines: list[str]) -> Outcome:
    """Returns an outcome with the lines also as its data."""
    return Outcome(exit=code, lines=lines, data={"errors": lines})


def describe_failure(error: Exception) -> Outcome:
    """Returns the outcome of a command that an exception ended."""
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
    # Only answers of reads that can't be understood are left.
    return fail(exits.Exit.NO_DAEMON, [f"no usable answer: {error}"])
