"""Decides whether a target that seems to have crashed has really ended.

A connection that breaks, and a new one that can't be opened, come from a
crashed target or from a cut link. The two differ at other daemons: a crashed
target can be reached by none, a target behind a cut link by those whose links
are sound. Without such a witness, the platform's word decides, which is that
the registration ends or names another start. Links are sound if they reach half
of the other targets of the service: where most are out of reach at once, a
partition is likelier than as many crashes.
"""

from collections import abc
import enum

import msgspec

# Daemons that are asked; each opens a connection or two.
MAX_WITNESSES = 3


class Verdict(enum.StrEnum):
    """What the evidence says of a target that seems to have crashed."""

    DEAD = "dead"
    ALIVE = "alive"
    UNKNOWN = "unknown"


class Testimony(msgspec.Struct, frozen=True, kw_only=True):
    """What one daemon sees of a target.

    Attributes:
        reaches_target: Whether it could open a connection to the target.
        has_sound_links: Whether it could open one to half of the other targets
            of the service.
    """

    reaches_target: bool
    has_sound_links: bool


def are_links_sound(reached: abc.Collection[bool]) -> bool:
    """Returns whether a daemon's links are sound, going by other targets.

    Args:
        reached: Whether each of those that were tried could be reached.
    """
    return bool(reached) and 2 * sum(reached) >= len(reached)


def judge(
    testimonies: abc.Collection[Testimony],
    *,
    has_peers: bool,
    has_sound_links: bool,
) -> Verdict:
    """Decides about a target to which this daemon can't connect.

    Args:
        testimonies: What the peers say that were asked and know the target.
        has_peers: Whether there are live peers.
        has_sound_links: Whether this daemon's other links are sound; it counts
            where there are no peers.
    """
    if any(item.reaches_target for item in testimonies):
        return Verdict.ALIVE
    if any(item.has_sound_links for item in testimonies):
        return Verdict.DEAD
    if not has_peers and has_sound_links:
        return Verdict.DEAD
    return Verdict.UNKNOWN
