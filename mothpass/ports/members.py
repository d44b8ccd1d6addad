"""The platform's membership list: instances that are live or leaving."""

from collections import abc
import enum

import msgspec


class Role(enum.StrEnum):
    """What an instance is."""

    DAEMON = "daemon"
    ENGINE = "engine"
    SERVICE = "service"


class State(enum.StrEnum):
    """How the list sees an instance; an instance that is gone isn't listed."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(msgspec.Struct, frozen=True, kw_only=True):
    """One instance of the list.

    Attributes:
        id: Name of the instance, never used again after it is gone.
        role: What it is.
        state: How the list sees it.
        address: ``ip:port`` for targets and for peers of a daemon.
        availability_zone: Its zone.
        serves: Models or services that it serves; empty for a daemon.
    """

    id: str
    role: Role
    state: State
    address: str
    availability_zone: str
    serves: list[str] = []


class Members(msgspec.Struct, frozen=True, kw_only=True):
    """The list at one moment, which may be seconds ago.

    Attributes:
        revision: Grows with each change of the list.
        instances: All live and leaving instances of the region.
    """

    revision: int
    instances: list[Instance]


# Reads the list. Raises errors.StoreUnavailableError when it can't be had.
ReadMembers = abc.Callable[[], abc.Awaitable[Members]]
