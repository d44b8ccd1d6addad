"""Exit codes of `mothpassctl`.

docs/OPERATIONS.md contains the same table; a test compares both.
"""

import enum


class Exit(enum.IntEnum):
    """Exit code of a command."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    UNCONFIRMED = 4
    NO_DAEMON = 5


MEANINGS = {
    Exit.DONE: "Done.",
    Exit.REFUSED: "A daemon refused it; it had no effect.",
    Exit.BAD_INPUT: "A file, option or argument is wrong; nothing was sent.",
    Exit.CONFLICT: "Another change came first; it had no effect.",
    Exit.UNCONFIRMED: "Not known whether it took effect.",
    Exit.NO_DAEMON: "No daemon answered.",
}
