"""Decides what a daemon may still decide by routes of a known age.

A change of the routes reaches each daemon with a delay, and a daemon whose link
is busy or cut can't tell a route that doesn't exist from one that it hasn't
received yet. So each daemon knows as of when its routes were the newest, and
rejects a request for good only by routes that are recent enough.
"""

import enum

# Ages travel in datagrams; a busy link delays these by as much.
AGE_TOLERANCE_S = 0.5


class Standing(enum.StrEnum):
    """How far routes may be relied on.

    CURRENT: all decisions. UNCONFIRMED: a newer version may exist; requests
    are served, and none is rejected for good. OUTDATED: a newer version has
    been in force for so long that no decision may rest on these routes.
    """

    CURRENT = "current"
    UNCONFIRMED = "unconfirmed"
    OUTDATED = "outdated"


class Freshness:
    """When a copy was last known to be the newest.

    Attributes:
        confirmed_at: Seconds of the caller's clock as of which the copy had
            all changes; minus infinity before the first confirmation.
    """

    __slots__ = ("confirmed_at",)

    def __init__(self) -> None:
        """Starts unconfirmed."""
        self.confirmed_at = float("-inf")

    def confirm(self, at: float) -> None:
        """Records that the copy had all changes at a time."""
        self.confirmed_at = max(self.confirmed_at, at)


def assess(
    *, confirmed_at: float, is_newer_known: bool, limit_s: float, now: float
) -> Standing:
    """Returns how far routes may be relied on.

    Args:
        confirmed_at: Time as of which they were the newest.
        is_newer_known: Whether a live peer has a newer version.
        limit_s: Time within which a change must be in force, in seconds.
        now: Seconds of the same clock.
    """
    is_recent = now - confirmed_at <= limit_s - AGE_TOLERANCE_S
    if is_recent and not is_newer_known:
        return Standing.CURRENT
    if is_recent or not is_newer_known:
        # Without a newer version, age alone may mean an outage of the store.
        return Standing.UNCONFIRMED
    return Standing.OUTDATED
