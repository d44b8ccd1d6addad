"""Runs a daemon's control loop: exchange with peers, leases and polls."""

import asyncio
from collections import abc
import logging

import msgspec

from mothpass.adapters import peer_datagrams
from mothpass.adapters import peer_links
from mothpass.adapters import peer_server
from mothpass.adapters import peer_transport
from mothpass.core import decoding
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
from mothpass.daemon import supervision
from mothpass.ports import clock
from mothpass.ports import peers

FETCH_TIMEOUT_S = 2.0
MAX_FETCHED_BYTES = 1 << 20
_logger = logging.getLogger("mothpass.control")


class Components(msgspec.Struct, frozen=True, kw_only=True):
    """The components that the control loop runs.

    Attributes:
        catalogues: Replica of the catalogue.
        datagrams: Sends and receives datagrams of peers.
        exchange: Builds and applies control messages of peers.
        gates: Gates of this daemon.
        leasing: Acquires, renews and releases the leases of the gates.
        links: Connections to other daemons.
        loads: Reads load reports of targets.
        membership: Polls the membership list.
        router: Targets of the region with their loads.
        traffic: Counts of messages and bytes exchanged with peers.
    """

    catalogues: catalogues.CatalogueReplica
    datagrams: peer_datagrams.DatagramEndpoint
    exchange: exchange.PeerExchange
    gates: gate_table.GateTable
    leasing: leasing.LeaseManager
    links: peer_links.LinkPool
    loads: loads.LoadReader
    membership: membership.Membership
    router: routing.Router
    traffic: peer_transport.PeerTraffic


class ControlLoop:
    """Runs the control loop of one daemon.

    Attributes:
        components: The components that the control loop runs.
    """

    __slots__ = (
        "_address",
        "_key",
        "_monotonic",
        "_on_loop_end",
        "_on_tick",
        "_server",
        "_tasks",
        "_tick_s",
        "components",
    )

    def __init__(
        self,
        *,
        components: Components,
        address: str,
        key: str,
        tick_s: float,
        on_tick: abc.Callable[[], None],
        on_loop_end: abc.Callable[[str], None],
        monotonic: clock.Monotonic,
    ) -> None:
        """Builds the control loop without starting it.

        Args:
            components: The components that the control loop runs.
            address: ``ip:port`` to listen on for peers.
            key: Secret that authenticates peers.
            tick_s: Seconds between two ticks.
            on_tick: Called once per tick, after batches are sent and lease
                calls started.
            on_loop_end: Called with the name of a loop that has ended by an
                error and starts again.
            monotonic: Clock.
        """
        self.components = components
        self._address = address
        self._key = key
        self._tick_s = tick_s
        self._on_tick = on_tick
        self._on_loop_end = on_loop_end
        self._monotonic = monotonic
        self._server: peer_server.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Opens the listeners for peers and starts all loops.

        Raises:
            RuntimeError: The daemon can't listen on the peers' address by TCP.
            OSError: It can't listen on that address by UDP.
        """
        self._server = await peer_server.start_server(
            address=self._address,
            key=self._key,
            handlers=peer_server.Handlers(
                accept_batch=self.components.exchange.accept_batch,
                decide_grant=self._decide_grant,
                accept_release=self._accept_release,
                read_changes=self._read_changes,
            ),
            traffic=self.components.traffic,
        )
        await peer_datagrams.open_datagrams(
            self._address, self.components.datagrams
        )
        loops: dict[str, abc.Callable[[], abc.Awaitable[None]]] = {
            "membership": self.components.membership.poll_forever,
            "heartbeats": self.components.membership.send_heartbeats,
            "loads": self.components.loads.run,
            "ticks": self._run_ticks,
            "catalogue": self._update_catalogue,
        }
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(
                supervision.run_forever(name, run, self._on_loop_end)
            )
            for name, run in loops.items()
        ]

    async def stop(self) -> None:
        """Stops all loops, releases leases and leaves the membership list."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.components.leasing.stop()
        await self.components.leasing.release_all()
        await self.components.membership.leave()
        self.components.datagrams.close()
        await self.components.links.close()
        if self._server is not None:
            await self._server.close()

    def count_active_peers(self, *, ticks: int) -> int:
        """Returns the number of peers that sent a batch in the last ticks."""
        oldest = self._monotonic() - ticks * self._tick_s
        peer_list = self.components.exchange.list_peers()
        return sum(item.received_at >= oldest for item in peer_list)

    def _decide_grant(
        self, request: gates.GrantRequest
    ) -> gates.Granted | gates.Denied:
        return self.components.gates.grant(request, now=self._monotonic())

    def _accept_release(self, release: gates.Release) -> None:
        self.components.gates.release(release, now=self._monotonic())

    def _read_changes(self, after: int, limit_bytes: int) -> peers.Changes:
        changes = self.components.catalogues.changes_since(after, limit_bytes)
        version = self.components.catalogues.version
        snapshot = None
        if not changes and version > after:
            snapshot = self.components.catalogues.snapshot(limit_bytes)
        return peers.Changes(
            catalogue_version=version,
            changes=[msgspec.json.encode(item) for item in changes],
            snapshot=snapshot,
        )

    async def _run_ticks(self) -> None:
        """Sends due batches and starts due lease calls once per tick."""
        loop = asyncio.get_running_loop()
        next_at = loop.time()
        while True:
            self.components.exchange.run_tick(
                self.components.loads.list_records()
            )
            self.components.leasing.start_due_steps(
                self.components.router.daemons
            )
            self.components.links.prune()
            self._on_tick()
            # After a pause of the process the loop skips the missed ticks.
            next_at = max(next_at + self._tick_s, loop.time())
            await asyncio.sleep(next_at - loop.time())

    async def _update_catalogue(self) -> None:
        """Polls the store and fetches newer changes from peers."""
        while True:
            replica = self.components.catalogues
            if replica.needs_poll(self._monotonic()):
                await replica.poll()
            await self._fetch_newer()
            await asyncio.sleep(self._tick_s)

    async def _fetch_newer(self) -> None:
        """Fetches changes from the peer that has the newest version."""
        own_version = self.components.catalogues.version
        peer_list = self.components.exchange.list_peers()
        ahead = [
            item for item in peer_list if item.catalogue_version > own_version
        ]
        if not ahead:
            return
        newest = max(ahead, key=lambda item: item.catalogue_version)
        address = self.components.exchange.find_address(newest.id)
        if address is None:
            return
        link = self.components.links.get(address)
        try:
            fetched = await link.fetch_changes(
                own_version,
                limit_bytes=MAX_FETCHED_BYTES,
                timeout_s=FETCH_TIMEOUT_S,
            )
            self._apply_changes(fetched)
        except (
            errors.StoreUnavailableError,
            errors.ChangeMismatchError,
            msgspec.DecodeError,
        ) as error:
            _logger.warning(
                "failed to fetch changes from %s: %s", newest.id, error
            )

    def _apply_changes(self, fetched: peers.Changes) -> None:
        if fetched.snapshot is not None:
            self.components.catalogues.apply_snapshot(fetched.snapshot)
        if fetched.changes:
            self.components.catalogues.apply_changes(
                [
                    decoding.decode_json(item, revisions.Change)
                    for item in fetched.changes
                ]
            )
