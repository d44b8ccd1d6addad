"""Asks gates for permits and gives them back."""

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

ASK_TIMEOUT_S = 0.25
RELEASE_TIMEOUT_S = 1.0
RELEASE_TRIES = 4
RELEASE_PAUSE_S = 0.5
_logger = logging.getLogger("mothpass.permits")


class Link(typing.Protocol):
    """What this module needs of a connection to a gate."""

    async def ask_grant(
        self, request: gates.GrantRequest, *, timeout_s: float
    ) -> gates.Granted | gates.Denied | None:
        """Asks for a permit; None where no answer came."""

    async def send_release(
        self, release: gates.Release, *, timeout_s: float
    ) -> bool:
        """Gives a permit back. Returns whether it arrived."""


# Returns the link to a daemon by its id, None where it isn't listed.
FindLink = abc.Callable[[str], Link | None]


class Permits:
    """Permits for the calls of one daemon.

    Attributes:
        asked: Requests made of gates so far, own gates included.
        granted: How many of them were granted.
    """

    __slots__ = (
        "_find_link",
        "_gates",
        "_monotonic",
        "_own_id",
        "_releasing",
        "asked",
        "granted",
    )

    def __init__(
        self,
        *,
        own_id: str,
        gates: gate_table.GateTable,
        find_link: FindLink,
        monotonic: clock.Monotonic,
    ) -> None:
        """Has asked for nothing yet.

        Args:
            own_id: Id of this daemon.
            gates: Gates of this daemon, asked without a message.
            find_link: Returns the link to another daemon.
            monotonic: Clock.
        """
        self._own_id = own_id
        self._gates = gates
        self._find_link = find_link
        self._monotonic = monotonic
        self._releasing: set[asyncio.Task[None]] = set()
        self.asked = 0
        self.granted = 0

    async def acquire(
        self, ask: routing.RequestPermit, deadline: float
    ) -> gates.Permit | None:
        """Asks the gates of a target in turn.

        Args:
            ask: Target and gates.
            deadline: Monotonic seconds at which the call must have ended.

        Returns:
            A permit, or None where no gate gave one; no answer is a no.
        """
        for gate_id in ask.gates:
            now = self._monotonic()
            request = gates.GrantRequest(
                target_id=ask.target_id,
                boot_id=ask.boot_id,
                call_ms=max(1, math.ceil((deadline - now) * 1000.0)),
                alone=ask.alone,
            )
            reply = await self._ask(gate_id, request)
            if isinstance(reply, gates.Granted):
                self.granted += 1
                return gates.make_permit(
                    request, reply, gate=gate_id, asked_at=now
                )
            if reply is not None and reply.reason is gates.Reason.FULL:
                return None
        return None

    def release(self, permit: gates.Permit, outcome: targets.Outcome) -> None:
        """Gives a gate's permit back; one of the reserve has no effect here.

        The gate is told in the background. A release that never arrives
        costs room at the gate until the call has surely ended.
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
        self._releasing.add(task)
        task.add_done_callback(self._releasing.discard)

    async def finish(self) -> None:
        """Waits until all releases have been sent or given up."""
        if self._releasing:
            await asyncio.gather(*self._releasing)

    async def _ask(
        self, gate_id: str, request: gates.GrantRequest
    ) -> gates.Granted | gates.Denied | None:
        self.asked += 1
        if gate_id == self._own_id:
            return self._gates.grant(request, now=self._monotonic())
        link = self._find_link(gate_id)
        if link is None:
            return None
        return await link.ask_grant(request, timeout_s=ASK_TIMEOUT_S)

    async def _send_release(self, gate_id: str, release: gates.Release) -> None:
        for _ in range(RELEASE_TRIES):
            link = self._find_link(gate_id)
            if link is None:
                return
            if await link.send_release(release, timeout_s=RELEASE_TIMEOUT_S):
                return
            await asyncio.sleep(RELEASE_PAUSE_S)
        _logger.info("release of %s not taken by %s", release, gate_id)
