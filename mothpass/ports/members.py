"""Membership list of the platform: instances that are live or leaving."""

from collections import abc
import enum

import msgspec


class Role(enum.StrEnum):
    """Role of an instance."""

    DAEMON = "daemon"
    ENGINE = "engine"
    SERVICE = "service"


class State(enum.StrEnum):
    """State of a listed instance; an instance that is gone isn't listed."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(msgspec.Struct, frozen=True, kw_only=True):
    """One instance in the list.

    Attributes:
        id: Id of the instance, never reused after it is gone.
        role: Role of the instance.
        state: State of the instance.
        address: ``ip:port`` of a target, or of a daemon's listener for peers.
        availability_zone: Zone of the instance.
        serves: Models or services that it serves; empty for a daemon.
    """

    id: str
    role: Role
    state: State
    address: str
    availability_zone: str
    serves: list[str] = []


class Members(msgspec.Struct, frozen=True, kw_only=True):
    """A copy of the list, which may be seconds old.

    Attributes:
        revision: Increases with each change of the list.
        instances: All live and leaving instances of the region.
    """

    revision: int
    instances: list[Instance]


# Reads the list. Raises errors.StoreUnavailableError.
ReadMembers = abc.Callable[[], abc.Awaitable[Members]]
