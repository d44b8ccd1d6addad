"""Acquires permits from the gates of cold targets and releases them."""

import asyncio
from collections import abc
import logging
import math
import typing

from mothpass.core import gate_table
from mothpass.core import gates
from mothpass.core import routing
from mothpass.core import targets
from mothpass.ports import clock

PERMIT_REQUEST_TIMEOUT_S = 0.25
RELEASE_TIMEOUT_S = 1.0
MAX_RELEASE_TRIES = 4
RELEASE_RETRY_INTERVAL_S = 0.5
_logger = logging.getLogger("mothpass.permits")


class GateLink(typing.Protocol):
    """Connection to the gate of another daemon."""

    async def request_permit(
        self, request: gates.GrantRequest, *, timeout_s: float
    ) -> gates.Granted | gates.Denied | None:
        """Requests a permit; returns None if no answer arrived."""

    async def send_release(
        self, release: gates.Release, *, timeout_s: float
    ) -> bool:
        """Releases a permit; returns whether the release arrived."""


# Returns the link to a daemon by its id, None if it isn't a member.
FindLink = abc.Callable[[str], GateLink | None]


class PermitClient:
    """Acquires and releases permits for the requests of one daemon.

    Attributes:
        granted_count: Permits granted so far.
        requested_count: Requests for permits so far, at own gates too.
    """

    __slots__ = (
        "_find_link",
        "_gates",
        "_monotonic",
        "_own_id",
        "_release_tasks",
        "granted_count",
        "requested_count",
    )

    def __init__(
        self,
        *,
        own_id: str,
        gates: gate_table.GateTable,
        find_link: FindLink,
        monotonic: clock.Monotonic,
    ) -> None:
        """Starts with no permits.

        Args:
            own_id: Id of this daemon.
            gates: Gates of this daemon, called without a message.
            find_link: Returns the link to another daemon.
            monotonic: Monotonic clock.
        """
        self._own_id = own_id
        self._gates = gates
        self._find_link = find_link
        self._monotonic = monotonic
        self._release_tasks: set[asyncio.Task[None]] = set()
        self.requested_count = 0
        self.granted_count = 0

    async def acquire(
        self, permit_request: routing.RequestPermit, deadline: float
    ) -> gates.Permit | None:
        """Requests a permit from the gates of a target, one after another.

        Args:
            permit_request: Target and its gates.
            deadline: Monotonic seconds at which the request must have ended.

        Returns:
            A permit, or None if no gate granted one. A missing answer counts
            as a denial.
        """
        for gate_id in permit_request.gates:
            now = self._monotonic()
            request = gates.GrantRequest(
                target_id=permit_request.target_id,
                boot_id=permit_request.boot_id,
                call_ms=max(1, math.ceil((deadline - now) * 1000.0)),
                alone=permit_request.alone,
            )
            reply = await self._request_permit(gate_id, request)
            if isinstance(reply, gates.Granted):
                self.granted_count += 1
                return gates.make_permit(
                    request, reply, gate=gate_id, requested_at=now
                )
            if reply is not None and reply.reason is gates.Reason.FULL:
                return None
        return None

    def release(self, permit: gates.Permit, outcome: targets.Outcome) -> None:
        """Releases a permit; does nothing for one of the reserve.

        The release is sent in the background. If it never arrives, the permit
        uses capacity at the gate until the request must have ended.
        """
        if permit.source is gates.Source.RESERVE:
            return
        release = gates.make_release(
            permit, answered=outcome is targets.Outcome.ANSWERED
        )
        if permit.gate == self._own_id:
            self._gates.release(release, now=self._monotonic())
            return
        task = asyncio.get_running_loop().create_task(
            self._send_release(permit.gate, release)
        )
        self._release_tasks.add(task)
        task.add_done_callback(self._release_tasks.discard)

    async def drain(self) -> None:
        """Waits until all releases have been sent or have failed."""
        if self._release_tasks:
            await asyncio.gather(*self._release_tasks)

    async def _request_permit(
        self, gate_id: str, request: gates.GrantRequest
    ) -> gates.Granted | gates.Denied | None:
        self.requested_count += 1
        if gate_id == self._own_id:
            return self._gates.grant(request, now=self._monotonic())
        link = self._find_link(gate_id)
        if link is None:
            return None
        return await link.request_permit(
            request, timeout_s=PERMIT_REQUEST_TIMEOUT_S
        )

    async def _send_release(self, gate_id: str, release: gates.Release) -> None:
        for _ in range(MAX_RELEASE_TRIES):
            link = self._find_link(gate_id)
            if link is None:
                return
            if await link.send_release(release, timeout_s=RELEASE_TIMEOUT_S):
                return
            await asyncio.sleep(RELEASE_RETRY_INTERVAL_S)
        _logger.info("failed to deliver %s to gate %s", release, gate_id)
