"""Registers a stand-in target with the membership list by heartbeats."""

import asyncio
from collections import abc
import contextlib

import msgspec

from mothpass.adapters import heartbeats_http
from mothpass.adapters import platform_http
from mothpass.core import errors
from mothpass.ports import members
from mothpass.standin import settings

_MS_PER_S = 1000
_TIMEOUT_S = 1.0
# Ignored, as the next heartbeat makes up for a lost one.
_HEARTBEAT_ERRORS = (errors.StoreUnavailableError, errors.StoreUnconfirmedError)

ReadState = abc.Callable[[], members.State]


class HeartbeatSender:
    """Periodic sender of the heartbeats of one target."""

    __slots__ = (
        "_platform_client",
        "_instance",
        "_interval_s",
        "_read_state",
        "_task",
    )

    def __init__(
        self,
        *,
        options: settings.TargetSettings,
        role: members.Role,
        read_state: ReadState,
    ) -> None:
        """Initializes a sender that isn't started.

        Args:
            options: Settings of the target.
            role: Role of the target.
            read_state: Returns the state to register at each heartbeat.
        """
        url = options.members_url
        self._platform_client = (
            None
            if url is None
            else platform_http.PlatformClient(url=url, timeout_s=_TIMEOUT_S)
        )
        self._instance = members.Instance(
            id=options.id,
            role=role,
            state=members.State.LIVE,
            address=options.address,
            availability_zone=options.availability_zone,
            serves=list(options.serves),
        )
        self._interval_s = options.heartbeat_ms / _MS_PER_S
        self._read_state = read_state
        self._task: asyncio.Task[None] | None = None

    async def start(self, address: str) -> None:
        """Sends a heartbeat with the address and starts periodic sending."""
        self._instance = msgspec.structs.replace(
            self._instance, address=address
        )
        await self.send_heartbeat()
        self._task = asyncio.create_task(self._send_periodically())

    async def send_heartbeat(self) -> None:
        """Sends one heartbeat with the current state."""
        if self._platform_client is None:
            return
        send = heartbeats_http.build_send_heartbeat(self._platform_client)
        instance = msgspec.structs.replace(
            self._instance, state=self._read_state()
        )
        with contextlib.suppress(*_HEARTBEAT_ERRORS):
            await send(instance)

    async def remove(self) -> None:
        """Stops the heartbeats and removes the target from the list."""
        if self._task is not None:
            self._task.cancel()
        if self._platform_client is None:
            return
        remove = heartbeats_http.build_remove_instance(self._platform_client)
        with contextlib.suppress(*_HEARTBEAT_ERRORS):
            await remove(self._instance.id)
        self._platform_client.close()

    async def _send_periodically(self) -> None:
        while True:
            await asyncio.sleep(self._interval_s)
            await self.send_heartbeat()
