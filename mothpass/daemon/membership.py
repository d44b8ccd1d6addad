"""Follows the membership list and keeps this daemon on it."""

import asyncio
from collections import abc
import logging
import random as random_module

from mothpass.core import errors
from mothpass.ports import clock
from mothpass.ports import heartbeats
from mothpass.ports import members

POLL_S = 1.0
HEARTBEAT_S = 1.0
# Part of each pause that is random, so that daemons don't poll in step.
_JITTER = 0.2
_LOST = (errors.StoreUnavailableError, errors.StoreUnconfirmedError)
_logger = logging.getLogger("mothpass.membership")

OnMembers = abc.Callable[[members.Members], None]


class Membership:
    """The membership list as this daemon last read it.

    Attributes:
        listing: The newest list, None before the first.
        read_at: Monotonic seconds of the newest read.
    """

    __slots__ = (
        "_instance",
        "_monotonic",
        "_on_members",
        "_random",
        "_read",
        "_remove",
        "_send",
        "listing",
        "read_at",
    )

    def __init__(
        self,
        *,
        instance: members.Instance,
        read: members.ReadMembers,
        send: heartbeats.SendHeartbeat,
        remove: heartbeats.RemoveInstance,
        on_members: OnMembers,
        monotonic: clock.Monotonic,
        random: random_module.Random,
    ) -> None:
        """Reads nothing yet.

        Args:
            instance: This daemon, as the list is to show it.
            read: Reads the list.
            send: Sends a heartbeat.
            remove: Takes this daemon off the list.
            on_members: Called with each list that was read.
            monotonic: Clock.
            random: Source of jitter.
        """
        self._instance = instance
        self._read = read
        self._send = send
        self._remove = remove
        self._on_members = on_members
        self._monotonic = monotonic
        self._random = random
        self.listing: members.Members | None = None
        self.read_at = float("-inf")

    async def follow(self) -> None:
        """Reads the list again and again, until cancelled."""
        while True:
            await self.read_once()
            await asyncio.sleep(self._draw_pause(POLL_S))

    async def read_once(self) -> bool:
        """Reads the list. Returns whether it could be had.

        A list that can't be had changes nothing: the last one stays.
        """
        try:
            listing = await self._read()
        except errors.StoreUnavailableError as error:
            _logger.warning("membership list not read: %s", error)
            return False
        self.listing = listing
        self.read_at = self._monotonic()
        self._on_members(listing)
        return True

    async def keep_alive(self) -> None:
        """Sends heartbeats again and again, until cancelled."""
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(self._draw_pause(HEARTBEAT_S))

    async def send_heartbeat(self) -> None:
        """Sends one heartbeat in the present state."""
        try:
            await self._send(self._instance)
        except _LOST as error:
            _logger.warning("heartbeat lost: %s", error)

    async def announce_leaving(self) -> None:
        """Shows this daemon as leaving from now on."""
        self._instance = members.Instance(
            id=self._instance.id,
            role=self._instance.role,
            state=members.State.LEAVING,
            address=self._instance.address,
            availability_zone=self._instance.availability_zone,
            serves=self._instance.serves,
        )
        await self.send_heartbeat()

    async def leave(self) -> None:
        """Takes this daemon off the list."""
        try:
            await self._remove(self._instance.id)
        except _LOST as error:
            _logger.warning("not taken off the membership list: %s", error)

    def _draw_pause(self, seconds: float) -> float:
        return seconds * self._random.uniform(1.0 - _JITTER, 1.0 + _JITTER)
