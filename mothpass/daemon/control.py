"""The control loop: what a daemon does apart from any request."""

import asyncio
from collections import abc
import contextlib
import logging

import msgspec

from mothpass.adapters import peer_datagrams
from mothpass.adapters import peer_links
from mothpass.adapters import peer_server
from mothpass.adapters import peer_transport
from mothpass.core import errors
from mothpass.core import gate_table
from mothpass.core import gates
from mothpass.core import revisions
from mothpass.core import routing
from mothpass.daemon import catalogues
from mothpass.daemon import exchange
from mothpass.daemon import leasing
from mothpass.daemon import loads
from mothpass.daemon import membership
from mothpass.ports import clock
from mothpass.ports import peers

FETCH_TIMEOUT_S = 2.0
FETCH_LIMIT_BYTES = 1 << 20
_logger = logging.getLogger("mothpass.control")


class Parts(msgspec.Struct, frozen=True, kw_only=True):
    """What the loop drives.

    Attributes:
        catalogues: The catalogue on this daemon.
        datagrams: Counts to and from the other daemons.
        exchange: Batches to and from the neighbours.
        gates: Gates of this daemon.
        leasing: Store calls of their leases.
        links: Links to other daemons.
        loads: Load reports that this daemon reads.
        membership: The membership list.
        router: What is known of targets.
        traffic: Counts of the exchange.
    """

    catalogues: catalogues.Catalogues
    datagrams: peer_datagrams.DatagramEndpoint
    exchange: exchange.Exchange
    gates: gate_table.GateTable
    leasing: leasing.Leasing
    links: peer_links.LinkPool
    loads: loads.LoadReader
    membership: membership.Membership
    router: routing.Router
    traffic: peer_transport.PeerTraffic


class Control:
    """Runs the control loop of one daemon.

    Attributes:
        parts: What the loop drives.
    """

    __slots__ = (
        "_address",
        "_key",
        "_monotonic",
        "_on_tick",
        "_server",
        "_tasks",
        "_tick_s",
        "parts",
    )

    def __init__(
        self,
        *,
        parts: Parts,
        address: str,
        key: str,
        tick_s: float,
        on_tick: abc.Callable[[], None],
        monotonic: clock.Monotonic,
    ) -> None:
        """Runs nothing yet.

        Args:
            parts: What the loop drives.
            address: ``ip:port`` to listen for peers at.
            key: Secret that peers show.
            tick_s: Seconds between two batches.
            on_tick: Called once a tick, after new figures came in.
            monotonic: Clock.
        """
        self.parts = parts
        self._address = address
        self._key = key
        self._tick_s = tick_s
        self._on_tick = on_tick
        self._monotonic = monotonic
        self._server: peer_server.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts to listen and to run all loops.

        Raises:
            RuntimeError: The peers' address can't be listened at by TCP.
            OSError: It can't be listened at by UDP.
        """
        self._server = await peer_server.start_server(
            address=self._address,
            key=self._key,
            handlers=peer_server.Handlers(
                accept_batch=self.parts.exchange.accept_batch,
                decide_grant=self._decide_grant,
                accept_release=self._accept_release,
                read_changes=self._read_changes,
            ),
            traffic=self.parts.traffic,
        )
        await peer_datagrams.open_datagrams(self._address, self.parts.datagrams)
        loops = (
            self.parts.membership.follow(),
            self.parts.membership.keep_alive(),
            self.parts.loads.run(),
            self._run_ticks(),
            self._follow_catalogue(),
        )
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(item) for item in loops]
        for task in self._tasks:
            task.add_done_callback(_log_failure)

    async def stop(self) -> None:
        """Gives back all leases, leaves the membership list and stops."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.parts.leasing.stop()
        await self.parts.leasing.give_back()
        await self.parts.membership.leave()
        self.parts.datagrams.close()
        await self.parts.links.close()
        if self._server is not None:
            await self._server.close()

    def count_peers_heard(self, *, ticks: int) -> int:
        """Returns how many other daemons were heard of in so many ticks."""
        oldest = self._monotonic() - ticks * self._tick_s
        heard = self.parts.exchange.list_peers()
        return sum(item.heard_at >= oldest for item in heard)

    def _decide_grant(
        self, request: gates.GrantRequest
    ) -> gates.Granted | gates.Denied:
        return self.parts.gates.grant(request, now=self._monotonic())

    def _accept_release(self, release: gates.Release) -> None:
        self.parts.gates.release(release, now=self._monotonic())

    def _read_changes(self, after: int, limit_bytes: int) -> peers.Changes:
        found = self.parts.catalogues.changes_since(after, limit_bytes)
        version = self.parts.catalogues.version
        snapshot = None
        if not found and version > after:
            snapshot = self.parts.catalogues.snapshot(limit_bytes)
        return peers.Changes(
            catalogue_version=version,
            changes=[msgspec.json.encode(item) for item in found],
            snapshot=snapshot,
        )

    async def _run_ticks(self) -> None:
        """Sends batches and starts lease calls, a tick at a time."""
        loop = asyncio.get_running_loop()
        next_at = loop.time()
        while True:
            self.parts.exchange.run_tick(self.parts.loads.list_records())
            self.parts.leasing.start_due_steps(self.parts.router.daemons)
            self.parts.links.prune()
            self._on_tick()
            # A loop that was paused goes on from now and makes up no ticks.
            next_at = max(next_at + self._tick_s, loop.time())
            await asyncio.sleep(next_at - loop.time())

    async def _follow_catalogue(self) -> None:
        """Polls the store, and asks a peer that has a newer version."""
        while True:
            found = self.parts.catalogues
            if found.needs_poll(self._monotonic()):
                await found.poll()
            await self._fetch_newer()
            await asyncio.sleep(self._tick_s)

    async def _fetch_newer(self) -> None:
        """Fetches changes of the peer that has the newest version."""
        own = self.parts.catalogues.version
        heard = self.parts.exchange.list_peers()
        newer = [item for item in heard if item.catalogue_version > own]
        if not newer:
            return
        newest = max(newer, key=lambda item: item.catalogue_version)
        address = self.parts.exchange.address_of(newest.id)
        if address is None:
            return
        link = self.parts.links.get(address)
        try:
            found = await link.fetch_changes(
                own,
                limit_bytes=FETCH_LIMIT_BYTES,
                timeout_s=FETCH_TIMEOUT_S,
            )
            self._take_changes(found)
        except (
            errors.StoreUnavailableError,
            errors.ChangeMismatchError,
            msgspec.DecodeError,
        ) as error:
            _logger.warning("changes of %s: %s", newest.id, error)

    def _take_changes(self, found: peers.Changes) -> None:
        if found.snapshot is not None:
            self.parts.catalogues.offer_snapshot(found.snapshot)
        if found.changes:
            self.parts.catalogues.offer(
                [
                    msgspec.json.decode(item, type=revisions.Change)
                    for item in found.changes
                ]
            )


def _log_failure(task: asyncio.Task[None]) -> None:
    """Logs a loop that ended by an error, which is a fault of the daemon."""
    with contextlib.suppress(asyncio.CancelledError):
        error = task.exception()
        if error is not None:
            _logger.error("a control loop has failed", exc_info=error)
