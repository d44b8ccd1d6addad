"""Versions of the platform's store, across restores from an older copy.

A store that comes back from a copy starts a new era, and gives out the numbers
since the copy again. So a version is a pair of era and number, in the order of
the pair. It is kept as one integer, the era above the number, which compares
and travels as a plain number; that of the first era is the number itself.
"""

import typing

Version = typing.NewType("Version", int)

NONE = Version(0)
MAX_ERA = 0x7FFF
_NUMBER_BITS = 48
_NUMBER_MASK = (1 << _NUMBER_BITS) - 1


def make_version(era: int, number: int) -> Version:
    """Returns the version of a number that was given out in an era."""
    return Version(era << _NUMBER_BITS | number)


def get_era(version: int) -> int:
    """Returns the era of a version."""
    return version >> _NUMBER_BITS


def get_number(version: int) -> int:
    """Returns the number of a version within its era."""
    return version & _NUMBER_MASK


def to_pair(version: int) -> tuple[int, int]:
    """Returns era and number, for logs."""
    return get_era(version), get_number(version)
