"""Starts one relay daemon, keeps it running and shuts it down gracefully."""

import asyncio
import functools
import logging
import pathlib
import random
import signal
import time
import zlib

import msgspec

from mothpass.adapters import event_log
from mothpass.adapters import http_fetch
from mothpass.adapters import http_pool
from mothpass.adapters import relay_listener
from mothpass.core import cold_rates
from mothpass.core import errors
from mothpass.core import prompts
from mothpass.core import repeat_budget
from mothpass.core import route_table
from mothpass.core import suspects
from mothpass.core import target_choice
from mothpass.core import target_table
from mothpass.ports import relay
from mothpass.ports import replicas as replica_ports
from mothpass.relay import attempts
from mothpass.relay import deaths
from mothpass.relay import forwarding
from mothpass.relay import gossip
from mothpass.relay import metrics as metrics_module
from mothpass.relay import places
from mothpass.relay import replicas
from mothpass.relay import settings as settings_module
from mothpass.relay import state as state_module

# Long enough for a connection to another zone, short enough to try another
# target within the targets of the sheets.
CONNECT_TIMEOUT_MS = 300
# A target keeps a prompt for as long as its memory lasts; the sheets price
# parts that are read again within 10 s.
PROMPT_MEMORY_S = 20.0
# Time for the balancer to send no more connections after a SIGTERM: it asks
# each second, and two answers in a row must miss.
LEAVE_S = 2.6
# Margin before SIGKILL at which what is still running is cut.
EXIT_MARGIN_S = 0.4
HOUSEKEEPING_S = 1.0
PEERS_TABLE = "daemons"
# A copy takes milliseconds; a peer that is cut off or busy is left for
# another while the change can still be in force in time.
PEER_FETCH_S = 0.6
FETCH_TRIES = 4
# A fleet of 75 spreads its fetches over 0.3 s.
SPREAD_PER_DAEMON_S = 0.004
MOST_SPREAD_S = 0.3
# Copies that a daemon hands on at once. A peer that is turned away takes it
# from another, so that a change spreads in rounds over links of 5 Mbit/s.
MOST_HANDED = 4
_PEER_PATH = "/tables/"

_logger = logging.getLogger("mothpass.relay")

# Limits before any routes are known.
_FIRST_LIMITS = route_table.RequestLimits(
    header_bytes=16_384,
    body_bytes=4_194_304,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)


class Ports(msgspec.Struct, frozen=True, kw_only=True):
    """How the daemon speaks to what is around it.

    Attributes:
        operator_table: Table of the operator's document.
        target_table: Table of the targets' entries.
        read_table: Reads a table.
        follow_table: Waits for changes of a table.
        write_row: Writes a row.
        read_request: Reads a client's request.
        write_request: Writes a target's request.
        read_answer_head: Reads the head of a target's answer.
    """

    operator_table: str
    target_table: str
    read_table: replica_ports.ReadTable
    follow_table: replica_ports.FollowTable
    write_row: replica_ports.WriteRow
    read_request: relay.ReadRequest
    write_request: relay.WriteRequest
    read_answer_head: relay.ReadAnswerHead


class Service:
    """One daemon.

    Attributes:
        settings: Settings in force.
        state: What it believes.
    """

    __slots__ = (
        "_away_at",
        "_clients",
        "_fetching",
        "_forwarder",
        "_handing",
        "_gossip",
        "_is_leaving",
        "_metrics",
        "_number",
        "_places",
        "_pool",
        "_ports",
        "_random",
        "_replicas",
        "_servers",
        "_started_ms",
        "_suspects",
        "_tasks",
        "settings",
        "state",
    )

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        ports: Ports,
        pool: http_pool.Pool,
        state: state_module.State,
        memory: prompts.PromptMemory,
    ) -> None:
        """Wires the parts up.

        Args:
            settings: Settings of the daemon.
            ports: How it speaks to what is around it.
            pool: Connections to targets, peers and the store.
            state: What it believes.
            memory: Which targets have read which prompts.
        """
        self.settings = settings
        self._ports = ports
        self._pool = pool
        self.state = state
        self._metrics = metrics_module.Metrics()
        self._suspects = suspects.Suspects(own_id=settings.id)
        self._started_ms = int(time.time() * 1000)
        self._number = 0
        self._is_leaving = False
        self._handing = 0
        self._away_at = float("-inf")
        self._fetching: set[str] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self._servers: list[asyncio.AbstractServer] = []
        source = random.Random()  # noqa: S311 - spreads load, no secret
        self._random = source
        self._gossip = gossip.Gossip(
            own_id=settings.id,
            address=self._peer_address(settings.address),
            make_beat=self._make_beat,
            on_beat=self._take_beat,
            source=source,
        )
        self._replicas = {
            name: replicas.Replica(
                name=name,
                read=ports.read_table,
                follow=ports.follow_table,
                accept=accept,
                must_read=self._must_read,
                has_backing=self._gossip.has_follower,
                is_settled=self.is_settled,
                on_change=self._tell_change,
            )
            for name, accept in (
                (ports.operator_table, state.take_operator_rows),
                (ports.target_table, state.take_target_rows),
            )
        }
        chooser = target_choice.Chooser(
            memory=memory,
            count_load=self._count_load,
            allows_cold=self._allows_cold,
            source=source,
        )
        self._places = places.Places(
            chooser=chooser, targets=state.targets, source=source
        )
        self._forwarder = forwarding.Forwarder(
            find_routes=lambda: state.routes,
            placement=self._places,
            memory=memory,
            sender=attempts.Sender(pool=pool, read_head=ports.read_answer_head),
            make_budget=self._make_budget,
            count_daemons=lambda: len(self._gossip.list_sharers()),
            deaths=deaths.Deaths(pool=pool, suspicions=self._suspects),
            metrics=self._metrics,
            read_request=ports.read_request,
            write_request=ports.write_request,
            source=source,
        )
        self._clients = relay_listener.Listener(
            handle=self._forwarder.handle, find_limits=self._find_limits
        )

    async def start(self) -> None:
        """Opens the listeners and starts to follow tables and peers.

        Raises:
            OSError: If an address can't be listened at.
        """
        settings = self.settings
        loop = asyncio.get_running_loop()
        self._servers = [
            await relay_listener.open_listener(self._clients, settings.clients)
        ]
        for address, handle in (
            (settings.health, self._answer_health),
            (self._peer_address(settings.address), self._answer_peer),
            (
                f"{settings.address}:{settings.metrics_port}",
                self._answer_metrics,
            ),
        ):
            listener = relay_listener.Listener(
                handle=handle, find_limits=lambda: _FIRST_LIMITS
            )
            self._servers.append(
                await relay_listener.open_listener(listener, address)
            )
        await loop.create_datagram_endpoint(
            lambda: self._gossip,
            local_addr=(settings.address, settings.peer_ports[0]),
        )
        for seed in settings.seeds or []:
            self._gossip.greet([self._peer_address(seed.rpartition(":")[0])])
        runs = [replica.run() for replica in self._replicas.values()]
        runs += [self._tick(), self._serve_lines()]
        runs += [self._keep_house(), self._register()]
        self._tasks = [loop.create_task(run) for run in runs]
        event_log.log(
            _logger,
            "started",
            id=settings.id,
            availability_zone=settings.availability_zone,
            clients=settings.clients,
            store=settings.store,
        )

    async def stop(self) -> None:
        """Takes no more connections, answers what is running, then ends."""
        loop = asyncio.get_running_loop()
        settings = self.settings
        end = loop.time() + settings.grace_s - EXIT_MARGIN_S
        event_log.log(
            _logger, "stopping", connections=len(self._clients.connections)
        )
        self._is_leaving = True
        self._clients.is_closing = True
        # Clients that connect meanwhile are served; their connections close
        # with the answer.
        await asyncio.sleep(LEAVE_S)
        self._servers[0].close()
        while self._clients.connections and loop.time() < end:
            self._clients.close_idle()
            await asyncio.sleep(gossip.TICK_S)
        event_log.log(_logger, "stopped", cut=len(self._clients.connections))
        await self.close()

    def reload(self, settings: settings_module.Settings) -> None:
        """Takes settings that have changed.

        Addresses at which the daemon listens stay until its next start.
        """
        old = self.settings
        changed = [
            name
            for name in settings.__struct_fields__
            if getattr(settings, name) != getattr(old, name)
        ]
        self.settings = msgspec.structs.replace(
            settings,
            id=old.id,
            address=old.address,
            clients=old.clients,
            health=old.health,
            peer_ports=old.peer_ports,
            metrics_port=old.metrics_port,
        )
        self._forwarder.set_repeat_limits(
            ratio=settings.repeat_ratio, extra=settings.repeat_extra
        )
        event_log.log(_logger, "settings_reloaded", changed=changed)

    async def close(self) -> None:
        """Ends at once; what is running is cut."""
        for server in self._servers:
            server.close()
        self._gossip.close()
        self._clients.abort()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._pool.close()

    def find_peers(self) -> list[str]:
        """Returns the ids of the daemons that are heard."""
        return [peer.beat.id for peer in self._gossip.list_live()]

    def _peer_address(self, host: str) -> str:
        return f"{host}:{self.settings.peer_ports[0]}"

    def _find_limits(self) -> route_table.RequestLimits:
        routes = self.state.routes
        return _FIRST_LIMITS if routes is None else routes.limits

    def _make_budget(self) -> repeat_budget.RepeatBudget:
        settings = self.settings
        return repeat_budget.RepeatBudget(
            ratio=settings.repeat_ratio,
            extra=settings.repeat_extra,
            window_s=settings.repeat_window_s,
        )

    def _count_load(self, target: target_table.Target) -> int:
        return target.in_flight + self._gossip.counts.total(target.id)

    def _allows_cold(self, target: target_table.Target) -> bool:
        """Tells whether a cold target may get one more request of ours."""
        routes = self.state.routes
        service = routes and routes.services.get(target.entry.service)
        if not service or service.cold_per_s <= 0:
            return True
        settings = self.settings
        allowance = cold_rates.compute_allowance(
            target_id=target.id,
            own_id=settings.id,
            daemon_ids=self._gossip.list_sharers(),
            bound_per_s=service.cold_per_s * settings.cold_overage
            + settings.cold_slack,
        )
        now = asyncio.get_running_loop().time()
        return target.sends.count(now) < allowance

    def _reaches_store(self) -> bool:
        return all(item.is_store_reached for item in self._replicas.values())

    def _follows_store(self) -> bool:
        return any(
            item.is_following and item.is_store_reached
            for item in self._replicas.values()
        )

    def is_settled(self) -> bool:
        """Tells whether entries that are missing are gone.

        The store was away if no daemon reached it; one that turns away only
        some of them lets no entry lapse.
        """
        now = asyncio.get_running_loop().time()
        return now - self._away_at >= state_module.HOLD_AFTER_RETURN_S

    def _must_read(self) -> bool:
        return self._gossip.is_reader(reaches_store=self._reaches_store())

    def _is_ready(self) -> bool:
        versions = [replica.version for replica in self._replicas.values()]
        is_informed = self.state.routes is not None and all(versions)
        return is_informed and not self._is_leaving

    def _make_beat(self, peers: list[str]) -> gossip.Beat:
        self._number += 1
        now = asyncio.get_running_loop().time()
        return gossip.Beat(
            id=self.settings.id,
            started_ms=self._started_ms,
            number=self._number,
            versions={
                name: replica.content_version
                for name, replica in self._replicas.items()
            },
            counts={
                target.id: target.in_flight
                for target in self.state.targets.targets.values()
                if target.in_flight
            },
            reaches_store=self._reaches_store(),
            follows_store=self._follows_store(),
            is_leaving=self._is_leaving,
            peers=peers,
            suspicions=self._suspects.export(
                changed_since=now - gossip.SUSPICION_TOLD_S, now=now
            )[-gossip.TOLD_SUSPICIONS :],
        )

    def _tell_change(self, replica: replicas.Replica) -> None:
        """Tells the peers at once what they can't know from the store."""
        if replica.is_following:
            self._gossip.send_now(self._gossip.make_beat())

    def _take_beat(self, peer: gossip.Peer) -> None:
        """Takes in a peer's state, and its tables where they are newer."""
        loop = asyncio.get_running_loop()
        if peer.beat.suspicions:
            self._suspects.merge(peer.beat.suspicions, now=loop.time())
        for name, version in peer.beat.versions.items():
            replica = self._replicas.get(name)
            if replica is None or version <= replica.content_version:
                continue
            if name not in self._fetching:
                self._fetching.add(name)
                task = loop.create_task(self._catch_up(replica))
                task.add_done_callback(functools.partial(self._end_fetch, name))

    def _end_fetch(self, name: str, task: asyncio.Task[None]) -> None:
        del task
        self._fetching.discard(name)

    async def _catch_up(self, replica: replicas.Replica) -> None:
        """Takes the newer rows of a table from peers that have them."""
        for _ in range(FETCH_TRIES):
            # Spread over time and peers, so that no link is filled by all.
            fleet = len(self._gossip.list_live())
            spread_s = min(MOST_SPREAD_S, fleet * SPREAD_PER_DAEMON_S)
            await asyncio.sleep(self._random.uniform(0.0, spread_s))
            peer = self._gossip.find_newer(
                replica.name, replica.content_version
            )
            if peer is None:
                return
            await self._fetch_from(peer, replica)

    async def _fetch_from(
        self, peer: gossip.Peer, replica: replicas.Replica
    ) -> None:
        url = f"{_PEER_PATH}{replica.name}?{replica.content_version}"
        request = f"GET {url} HTTP/1.1\r\nhost: {peer.address}\r\n\r\n"
        deadline = asyncio.get_running_loop().time() + PEER_FETCH_S
        try:
            status, body = await http_fetch.fetch(
                self._pool, peer.address, request.encode(), deadline=deadline
            )
            if status != 200:
                raise errors.TargetAnswerLostError(f"status {status}")
            page = msgspec.msgpack.decode(
                zlib.decompress(body), type=replica_ports.Page
            )
        except (errors.MothpassError, msgspec.DecodeError, zlib.error) as error:
            event_log.log(
                _logger,
                "peer_fetch_failed",
                logging.WARNING,
                peer=peer.beat.id,
                table=replica.name,
                reason=str(error),
            )
            return
        before = replica.content_version
        replica.take_page(page)
        event_log.log(
            _logger,
            "table_from_peer",
            peer=peer.beat.id,
            table=replica.name,
            version=replica.content_version,
            before=before,
        )

    async def _register(self) -> None:
        """Tells the store where this daemon is, and reads where others are."""
        settings = self.settings
        own = self._peer_address(settings.address)
        while True:
            try:
                page = await self._ports.read_table(PEERS_TABLE)
                self._gossip.greet(
                    row.value.decode("ascii", "replace")
                    for row in page.rows
                    if row.value
                )
                known = {row.key: row.value for row in page.rows}
                if known.get(settings.id) != own.encode():
                    await self._ports.write_row(
                        PEERS_TABLE, settings.id, own.encode()
                    )
            except errors.MothpassError as error:
                event_log.log(
                    _logger,
                    "not_registered",
                    logging.WARNING,
                    reason=str(error),
                )
                await asyncio.sleep(HOUSEKEEPING_S)
            else:
                return

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(gossip.TICK_S)
            self._gossip.tick()
            if not self._follows_store() and not self._gossip.has_follower():
                self._away_at = asyncio.get_running_loop().time()
            self.state.drop_lapsed()

    async def _serve_lines(self) -> None:
        while True:
            await asyncio.sleep(places.TICK_S)
            self._places.tick()

    async def _keep_house(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            self._pool.prune()

    async def _answer_health(
        self,
        head: relay.ClientHead,
        body: bytes,
        client: relay_listener.ClientConnection,
    ) -> None:
        """Tells the balancer whether this daemon takes connections."""
        del head, body
        client.write_answer(200 if self._is_ready() else 503, (), b"")

    async def _answer_metrics(
        self,
        head: relay.ClientHead,
        body: bytes,
        client: relay_listener.ClientConnection,
    ) -> None:
        del head, body
        headers = ((b"content-type", b"text/plain"),)
        client.write_answer(200, headers, self._metrics.render())

    async def _answer_peer(
        self,
        head: relay.ClientHead,
        body: bytes,
        client: relay_listener.ClientConnection,
    ) -> None:
        """Hands this daemon's copy of a table to a peer."""
        del body
        path, _, after = head.url.decode("latin-1").partition("?")
        replica = self._replicas.get(path.removeprefix(_PEER_PATH))
        if replica is None or not after.isdigit():
            client.write_answer(404, (), b"")
            return
        if self._handing >= MOST_HANDED:
            client.write_answer(503, (), b"")
            return
        page = msgspec.msgpack.encode(replica.make_page(int(after)))
        self._handing += 1
        try:
            client.write_answer(200, (), zlib.compress(page, level=1))
            # A link that is slow to take it holds back further ones.
            await client.wait_until_sent()
        finally:
            self._handing -= 1


def load_settings(path: str) -> settings_module.Settings:
    """Reads the settings file.

    Raises:
        OSError: If it can't be read.
        errors.DocumentError: If it has faults.
    """
    return settings_module.decode_settings(pathlib.Path(path).read_bytes())


async def run_until_stopped(service: Service) -> None:
    """Runs a daemon until SIGTERM or SIGINT, then shuts it down gracefully."""
    loop = asyncio.get_running_loop()
    asked_to_stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asked_to_stop.set)
    await service.start()
    await asked_to_stop.wait()
    await service.stop()
