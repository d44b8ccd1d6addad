"""Polls the membership list and renews this daemon's entry in it."""

import asyncio
from collections import abc
import logging
import random as random_module

from mothpass.core import errors
from mothpass.ports import clock
from mothpass.ports import heartbeats
from mothpass.ports import members

POLL_INTERVAL_S = 1.0
HEARTBEAT_INTERVAL_S = 1.0
# Jitter of each interval, so that daemons don't poll at the same time.
_JITTER_RATIO = 0.2
_REQUEST_ERRORS = (errors.StoreUnavailableError, errors.StoreUnconfirmedError)
_logger = logging.getLogger("mothpass.membership")

OnMembers = abc.Callable[[members.Members], None]


class Membership:
    """Polls the membership list and sends heartbeats.

    Attributes:
        listing: Latest list; None before the first.
        read_at: Monotonic time in seconds of the last successful read.
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
        """Starts without a list.

        Args:
            instance: This daemon's entry for the list.
            read: Reads the membership list.
            send: Sends a heartbeat.
            remove: Removes an instance from the list.
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

    async def poll_forever(self) -> None:
        """Polls the list periodically until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(self._add_jitter(POLL_INTERVAL_S))

    async def poll(self) -> bool:
        """Reads the list once; returns whether the read succeeded.

        The last list stays in use after a failed read.
        """
        try:
            listing = await self._read()
        except errors.StoreUnavailableError as error:
            _logger.warning("failed to read the membership list: %s", error)
            return False
        self.listing = listing
        self.read_at = self._monotonic()
        self._on_members(listing)
        return True

    async def send_heartbeats(self) -> None:
        """Sends heartbeats periodically until cancelled."""
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(self._add_jitter(HEARTBEAT_INTERVAL_S))

    async def send_heartbeat(self) -> None:
        """Sends one heartbeat with the current state."""
        try:
            await self._send(self._instance)
        except _REQUEST_ERRORS as error:
            _logger.warning("heartbeat failed: %s", error)

    async def mark_leaving(self) -> None:
        """Marks this daemon as leaving in the membership list."""
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
        """Removes this daemon from the list."""
        try:
            await self._remove(self._instance.id)
        except _REQUEST_ERRORS as error:
            _logger.warning("failed to leave the membership list: %s", error)

    def _add_jitter(self, seconds: float) -> float:
        return seconds * self._random.uniform(
            1.0 - _JITTER_RATIO, 1.0 + _JITTER_RATIO
        )
