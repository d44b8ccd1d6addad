"""What this daemon shares with others: tables, counts, suspicions."""

import asyncio
import functools
import logging
import random
import time
import zlib

import msgspec

from mothpass.adapters import event_log
from mothpass.adapters import http_fetch
from mothpass.adapters import http_pool
from mothpass.adapters import relay_listener
from mothpass.core import errors
from mothpass.core import prompts
from mothpass.core import suspects
from mothpass.core import target_table
from mothpass.ports import relay
from mothpass.ports import replicas as replica_ports
from mothpass.relay import gossip
from mothpass.relay import ports as ports_module
from mothpass.relay import replicas
from mothpass.relay import settings as settings_module
from mothpass.relay import state as state_module

PEERS_TABLE = "daemons"
# A copy takes milliseconds; a peer that is cut off or busy is left for
# another while the change can still be in force in time.
PEER_FETCH_S = 0.6
# A daemon that has no copy gets a whole one, which for thousands of targets
# takes seconds over a link of 5 Mbit/s that hands out some at once.
WHOLE_FETCH_S = 5.0
FETCH_TRIES = 4
# A fleet of 75 spreads its fetches over 0.3 s.
SPREAD_PER_DAEMON_S = 0.004
MOST_SPREAD_S = 0.3
# Copies that a daemon hands on at once. A peer that is turned away takes it
# from another, so that a change spreads in rounds over links of 5 Mbit/s.
MOST_HANDED = 4
_PEER_PATH = "/tables/"
# For how long the store keeps the calls that wait for changes. A connection may
# fall silent without a sign. One daemon, the watcher, notices that in time for
# a change to be in force, and others then ask once; calls are priced, so that
# those of the other readers are longer.
FOLLOW_WAIT_S = 10.0
LEAST_WATCH_WAIT_S = 0.3
# Part of the time for a change that is spent on the silence of a call, on
# telling the others, on their call and on handing its answer on.
WATCH_SLACK_S = 1.4
# Daemons that ask the store when one has lost it, as a multiple of its readers
# and at least; a third of the fleet may be turned away.
CHECKERS_PER_READER = 2
LEAST_CHECKERS = 10
CHECK_PAUSE_S = 1.0
# A daemon that isn't registered yet tries again after this time.
REGISTER_RETRY_S = 1.0

_logger = logging.getLogger("mothpass.sharing")


class Sharing:
    """Copies of tables and the talk between daemons.

    Attributes:
        is_leaving: Whether this daemon is shutting down.
        suspicions: Requests that are suspected to crash targets.
    """

    __slots__ = (
        "_away_at",
        "_checked_at",
        "_checks",
        "_fetching",
        "_gossip",
        "_handing",
        "_host",
        "_id",
        "_is_watcher",
        "_memory",
        "_number",
        "_pool",
        "_port",
        "_ports",
        "_random",
        "_replicas",
        "_seeds",
        "_started_ms",
        "_state",
        "_watch_wait_s",
        "is_leaving",
        "crash_suspects",
    )

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        ports: ports_module.Ports,
        pool: http_pool.Pool,
        state: state_module.State,
        memory: prompts.PromptMemory,
        source: random.Random,
    ) -> None:
        """Wires the parts up; see ``service.Service``."""
        self._memory = memory
        self._id = settings.id
        self._host = settings.address
        self._port = settings.peer_ports[0]
        self._seeds = settings.seeds or []
        self._ports = ports
        self._pool = pool
        self._state = state
        self._random = source
        self.crash_suspects = suspects.Suspects(own_id=settings.id)
        self._started_ms = int(time.time() * 1000)
        self._number = 0
        self.is_leaving = False
        self._handing = 0
        self._away_at = float("-inf")
        self._checked_at = float("-inf")
        self._is_watcher = False
        self._watch_wait_s = max(
            LEAST_WATCH_WAIT_S,
            settings.change_in_force_ms / 1000 - WATCH_SLACK_S,
        )
        self._checks: set[asyncio.Task[None]] = set()
        self._fetching: set[str] = set()
        self._gossip = gossip.Gossip(
            own_id=settings.id,
            address=self.address,
            make_beat=self._make_beat,
            take_reads=lambda: self._memory.tell(gossip.TOLD_READS),
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
                find_wait=find_wait,
                has_backing=self._gossip.has_follower,
                is_settled=self.is_settled,
                on_change=self._tell_change,
            )
            for name, accept, find_wait in (
                (
                    ports.operator_table,
                    state.take_operator_rows,
                    self._find_watch_wait,
                ),
                (
                    ports.target_table,
                    state.take_target_rows,
                    lambda: FOLLOW_WAIT_S,
                ),
            )
        }

    @property
    def address(self) -> str:
        """``ip:port`` at which peers reach this daemon."""
        return f"{self._host}:{self._port}"

    @property
    def is_informed(self) -> bool:
        """Whether all tables are known."""
        return all(replica.version for replica in self._replicas.values())

    async def start(self) -> list[asyncio.Task[None]]:
        """Starts to follow tables and peers; returns what runs.

        Raises:
            OSError: If the address of the peers can't be listened at.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self._gossip, local_addr=(self._host, self._port)
        )
        for seed in self._seeds:
            self._gossip.greet([f"{seed.rpartition(':')[0]}:{self._port}"])
        runs = [replica.run() for replica in self._replicas.values()]
        runs += [self._tick(), self._register()]
        return [loop.create_task(run) for run in runs]

    def close(self) -> None:
        """Sends and receives no more."""
        self._gossip.close()

    def find_peers(self) -> list[str]:
        """Returns the ids of the daemons that are heard."""
        return [peer.beat.id for peer in self._gossip.list_live()]

    def list_sharers(self) -> list[str]:
        """Returns the ids of all daemons that share the fleet's bounds."""
        return self._gossip.list_sharers()

    def count_load(self, target: target_table.Target) -> int:
        """Returns what all daemons have in flight at a target."""
        return target.in_flight + self._gossip.counts.total(target.id)

    def count_reading(self, target: target_table.Target) -> int:
        """Returns the tokens that a target has yet to read for all daemons."""
        return target.reading_tokens + self._gossip.reading.total(target.id)

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

    def _find_watch_wait(self) -> float:
        return self._watch_wait_s if self._is_watcher else FOLLOW_WAIT_S

    def _choose_watcher(self) -> None:
        """Follows who ranks first among the daemons that reach the store."""
        was_watcher = self._is_watcher
        self._is_watcher = self._gossip.ranks_below(1)
        if self._is_watcher and not was_watcher:
            for replica in self._replicas.values():
                replica.ask_anew()

    def _check_store(self) -> None:
        """Asks the store once, as a daemon that follows it has lost it."""
        loop = asyncio.get_running_loop()
        checkers = CHECKERS_PER_READER * self._gossip.count_readers()
        is_checker = self._gossip.ranks_below(max(LEAST_CHECKERS, checkers))
        if not is_checker or loop.time() - self._checked_at < CHECK_PAUSE_S:
            return
        self._checked_at = loop.time()
        for replica in self._replicas.values():
            task = loop.create_task(replica.check())
            self._checks.add(task)
            task.add_done_callback(self._checks.discard)

    def _make_beat(
        self, peers: list[str], reads: list[prompts.Read]
    ) -> gossip.Beat:
        self._number += 1
        now = asyncio.get_running_loop().time()
        # Those that have prompts to read for this daemon are among them.
        busy = [
            target
            for target in self._state.targets.targets.values()
            if target.in_flight
        ]
        return gossip.Beat(
            id=self._id,
            started_ms=self._started_ms,
            number=self._number,
            versions={
                name: replica.content_version
                for name, replica in self._replicas.items()
            },
            counts={target.id: target.in_flight for target in busy},
            reaches_store=self._reaches_store(),
            follows_store=self._follows_store(),
            is_leaving=self.is_leaving,
            peers=peers,
            crash_suspects=self.crash_suspects.export(
                changed_since=now - gossip.SUSPICION_TOLD_S, now=now
            )[-gossip.TOLD_SUSPICIONS :],
            reads=reads,
            reading={
                target.id: target.reading_tokens
                for target in busy
                if target.reading_tokens >= gossip.LEAST_TOLD_TOKENS
            },
        )

    def _tell_change(self, replica: replicas.Replica) -> None:
        """Tells the peers at once what they can't know from the store."""
        if replica.is_following:
            self._gossip.tell_now()

    def _take_beat(self, peer: gossip.Peer) -> None:
        """Takes in a peer's state, and its tables where they are newer."""
        loop = asyncio.get_running_loop()
        if peer.has_just_lost_store:
            self._check_store()
        if peer.beat.crash_suspects:
            self.crash_suspects.merge(peer.beat.crash_suspects, now=loop.time())
        if peer.beat.reads:
            self._memory.merge(peer.beat.reads, loop.time())
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
        is_whole = not replica.content_version
        timeout_s = WHOLE_FETCH_S if is_whole else PEER_FETCH_S
        deadline = asyncio.get_running_loop().time() + timeout_s
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
        own = self.address.encode()
        while True:
            try:
                page = await self._ports.read_table(PEERS_TABLE)
                self._gossip.greet(
                    row.value.decode("ascii", "replace")
                    for row in page.rows
                    if row.value
                )
                known = {row.key: row.value for row in page.rows}
                if known.get(self._id) != own:
                    await self._ports.write_row(PEERS_TABLE, self._id, own)
            except errors.MothpassError as error:
                event_log.log(
                    _logger,
                    "not_registered",
                    logging.WARNING,
                    reason=str(error),
                )
                await asyncio.sleep(REGISTER_RETRY_S)
            else:
                return

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(gossip.TICK_S)
            self._gossip.tick()
            self._choose_watcher()
            if not self._follows_store() and not self._gossip.has_follower():
                self._away_at = asyncio.get_running_loop().time()
            self._state.drop_lapsed()

    async def answer_peer(
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
