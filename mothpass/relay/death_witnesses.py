"""Asks peers whether a target that seems to have crashed has ended."""

import asyncio
from collections import abc
import logging
import random as random_module
from urllib import parse

import msgspec

from mothpass.adapters import event_log
from mothpass.adapters import http_pool
from mothpass.core import errors
from mothpass.core import target_deaths
from mothpass.core import target_paths
from mothpass.core import target_table
from mothpass.relay import peer_questions

PATH = "/targets/"
# Two connections that time out at the peer, and the way there and back.
ANSWER_TIMEOUT_S = 1.0
# For the other peers, once one with sound links has answered.
OTHER_WITNESSES_S = 0.1
# Deaths that this daemon asks about at the same time. Where a whole
# availability zone fails, the platform's word decides about the others.
MAX_INQUIRIES = 8
# Other targets that a daemon tries to tell whether its links are sound.
MAX_OTHER_TARGETS = 4

_logger = logging.getLogger("mothpass.deaths")


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """A peer's answer.

    Attributes:
        testimony: What it sees of the target, None if it doesn't know it.
    """

    testimony: target_deaths.Testimony | None = None


class DeathWitnesses:
    """Asks some live peers at a time, and answers peers."""

    __slots__ = (
        "_inquiries",
        "_list_peer_paths",
        "_pool",
        "_random",
        "_targets",
    )

    def __init__(
        self,
        *,
        pool: http_pool.ConnectionPool,
        targets: target_table.TargetTable,
        list_peer_paths: abc.Callable[[], list[target_paths.PeerPath]],
        random: random_module.Random,
    ) -> None:
        """Creates an object without inquiries.

        Args:
            pool: Connections to peers and targets.
            targets: Targets of all services.
            list_peer_paths: Returns what the live peers say of their paths.
            random: Source of randomness.
        """
        self._pool = pool
        self._targets = targets
        self._list_peer_paths = list_peer_paths
        self._random = random
        self._inquiries = 0

    async def judge(
        self, target: target_table.Target
    ) -> tuple[target_deaths.Verdict, int]:
        """Decides about a target to which this daemon can't connect.

        Returns:
            The verdict, and the number of peers that had a say in it.
        """
        if self._inquiries >= MAX_INQUIRIES:
            return target_deaths.Verdict.UNKNOWN, 0
        self._inquiries += 1
        try:
            return await self._judge(target)
        finally:
            self._inquiries -= 1

    async def _judge(
        self, target: target_table.Target
    ) -> tuple[target_deaths.Verdict, int]:
        service = target.registration.service
        peers = self._list_peer_paths()
        # Peers that say that they are cut off are no witnesses.
        addresses = [
            peer.address
            for peer in peers
            if service not in peer.cut_off_services
        ]
        asked = self._random.sample(
            addresses, min(target_deaths.MAX_WITNESSES, len(addresses))
        )
        testimonies = await self._collect(asked, target.id)
        has_sound_links = not peers and await self._has_sound_links(target)
        verdict = target_deaths.judge(
            testimonies,
            has_peers=bool(peers),
            has_sound_links=has_sound_links,
        )
        return verdict, len(testimonies)

    async def _collect(
        self, addresses: list[str], target_id: str
    ) -> list[target_deaths.Testimony]:
        """Returns the testimonies of peers.

        A sound refusal is instant, and so is a connection. Once one peer has
        answered, the others get a moment only: the request that crashed the
        target may be on its way to the next one.
        """
        waiting = {
            asyncio.ensure_future(self._ask(address, target_id))
            for address in addresses
        }
        testimonies: list[target_deaths.Testimony] = []
        timeout_s: float | None = None
        while waiting:
            done, waiting = await asyncio.wait(
                waiting,
                timeout=timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                break
            found = [task.result() for task in done]
            testimonies += [item for item in found if item is not None]
            if any(item.has_sound_links for item in testimonies):
                timeout_s = OTHER_WITNESSES_S
        for task in waiting:
            task.cancel()
        return testimonies

    async def confirm_removal(self, target: target_table.Target) -> bool:
        """Returns whether a target has ended whose registration has.

        A target that is cut off from the store loses its registration, too.
        """
        successor = self._targets.targets.get(target.id)
        if successor is not None:
            return True
        return not await self._reaches(target) and await self._has_sound_links(
            target
        )

    async def answer(self, target_id: str) -> Answer:
        """Returns what this daemon sees of a target that a peer asks for."""
        target = self._targets.targets.get(target_id)
        if target is None:
            return Answer()
        reaches_target = await self._reaches(target)
        has_sound_links = reaches_target or await self._has_sound_links(target)
        return Answer(
            testimony=target_deaths.Testimony(
                reaches_target=reaches_target, has_sound_links=has_sound_links
            )
        )

    async def _has_sound_links(self, target: target_table.Target) -> bool:
        """Returns whether half of the other targets can be connected to.

        Those of the same service decide if there are any: a service may be cut
        off as a whole.
        """
        others = [
            item
            for item in self._targets.targets.values()
            if item is not target
        ]
        service = target.registration.service
        alike = [
            item for item in others if item.registration.service == service
        ]
        others = alike or others
        chosen = self._random.sample(
            others, min(MAX_OTHER_TARGETS, len(others))
        )
        reached = await asyncio.gather(
            *(self._reaches(item) for item in chosen)
        )
        return target_deaths.are_links_sound(reached)

    async def _reaches(self, target: target_table.Target) -> bool:
        try:
            connection = await self._pool.acquire(
                target.registration.address, fresh=True
            )
        except errors.TargetUnreachableError:
            return False
        connection.close()
        return True

    async def _ask(
        self, address: str, target_id: str
    ) -> target_deaths.Testimony | None:
        try:
            answer = await peer_questions.ask(
                self._pool,
                address,
                f"{PATH}{parse.quote(target_id, safe='')}",
                Answer,
                timeout_s=ANSWER_TIMEOUT_S,
            )
        except errors.MothpassError as error:
            event_log.log(
                _logger,
                "death_witness_silent",
                peer=address,
                target=target_id,
                reason=str(error),
            )
            return None
        return answer.testimony


def read_target_id(url: str) -> str | None:
    """Returns the id of the target that a peer asks for, None without one."""
    if not url.startswith(PATH):
        return None
    return parse.unquote(url.removeprefix(PATH))
