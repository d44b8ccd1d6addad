"""Synchronizes tables, counts and crash suspects among daemons."""

import asyncio
from collections import abc
import functools
import logging
import random as random_module
import time
import zlib

from mothpass.adapters import event_log
from mothpass.adapters import http_fetch
from mothpass.adapters import http_pool
from mothpass.adapters import relay_listener
from mothpass.core import decoding
from mothpass.core import departures
from mothpass.core import errors
from mothpass.core import preference
from mothpass.core import prompt_suspects
from mothpass.core import prompts
from mothpass.core import route_freshness
from mothpass.core import store_versions
from mothpass.core import stream_origins
from mothpass.core import suspects
from mothpass.core import target_limits
from mothpass.core import target_paths
from mothpass.core import target_table
from mothpass.ports import relay
from mothpass.ports import replicas as replica_ports
from mothpass.relay import gossip
from mothpass.relay import metrics as metrics_module
from mothpass.relay import path_probes
from mothpass.relay import ports as ports_module
from mothpass.relay import replicas
from mothpass.relay import settings as settings_module
from mothpass.relay import state as state_module
from mothpass.relay import supervision
from mothpass.relay import table_server

PEERS_TABLE = "daemons"
# Of a table that a peer sends, once it is unpacked.
MAX_TABLE_BYTES = 33_554_432
# Times until an answer starts; its body may take as long as it arrives. A busy
# link delays an answer, and asking again would add to its load.
PEER_ANSWER_TIMEOUT_S = 1.0
# A daemon without a replica has no other way; its peer may have several
# transfers ahead of this one on a 5 Mbit/s link.
WHOLE_ANSWER_TIMEOUT_S = 5.0
# Between two fetches of a table, as a peer may refuse at once.
MIN_FETCH_PAUSE_S = 0.05
# Most changes have arrived by then. A peer on a slow link isn't waited for
# alone.
SECOND_FETCH_DELAY_S = 0.5
MAX_PARALLEL_FETCHES = 3
# A fleet of 75 daemons spreads its fetches over 0.3 s.
FETCH_JITTER_PER_DAEMON_S = 0.004
MAX_FETCH_JITTER_S = 0.3
# Time for which the store holds a change feed call. A connection may fail
# silently. One daemon, the watcher, makes shorter calls for all tables to
# detect that in time for a change to be in force, and others then poll the
# store once. Calls are charged for, so that the other readers make longer ones.
CHANGE_FEED_WAIT_S = 10.0
MIN_WATCHER_WAIT_S = 0.3
# A daemon that starts knows enough of its peers after this time to tell whether
# it is one of the few that read the change feeds. Until then its first read of
# the tables does.
READER_SETTLE_S = 0.8
# Changes of targets come in bursts. A reader that isn't the watcher gets the
# first of a burst from the watcher, and all others with its own next call.
TARGET_FEED_PAUSE_S = 0.4
# Part of the time limit for a change that covers the timeout of a silent call,
# the gossip to other daemons, their poll and the transfer of its answer.
WATCHER_MARGIN_S = 1.4
# The same for the news that nothing has changed, beside the time between two
# datagrams to a peer: the routes of daemons that get it in time are current.
CONFIRMATION_MARGIN_S = 0.3
# Daemons that poll the store when one has lost it: a multiple of the readers
# and a minimum, as the store may reject a third of the fleet.
POLLERS_PER_READER = 2
MIN_POLLERS = 10
MIN_POLL_INTERVAL_S = 1.0
REGISTER_RETRY_INTERVAL_S = 1.0
# Over which a fleet writes its rows again after a restore of the store.
MAX_REGISTER_JITTER_S = 5.0

_logger = logging.getLogger("mothpass.sharing")


class FleetSync:
    """Replicas of the tables, and the exchange with peers.

    Attributes:
        is_leaving: Whether this daemon is shutting down.
        crash_suspects: Requests that are suspected to crash targets.
        suspected_parts: Prompt parts that are suspected to crash targets.
        departures: Targets that answers show to be gone or leaving.
        path_monitor: To which services this daemon has no path.
        stream_origins: Which software versions began which streams.
    """

    __slots__ = (
        "_availability_zone",
        "_drain_s",
        "_fetching",
        "_gossip",
        "_host",
        "_id",
        "_in_force_s",
        "_is_watcher",
        "_metrics",
        "_newer_since",
        "_prompt_caches",
        "_polled_at",
        "_polls",
        "_pool",
        "_port",
        "_ports",
        "_random",
        "_replicas",
        "_seeds",
        "_server",
        "_sequence_number",
        "_settled_at",
        "_started_ms",
        "_state",
        "_store_era",
        "_store_restored",
        "_store_unreachable_at",
        "crash_suspects",
        "departures",
        "is_leaving",
        "path_monitor",
        "stream_origins",
        "suspected_parts",
    )

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        ports: ports_module.Ports,
        pool: http_pool.ConnectionPool,
        state: state_module.State,
        prompt_caches: prompts.PromptCacheIndex,
        metrics: metrics_module.Metrics,
        random: random_module.Random,
    ) -> None:
        """Creates the replicas and the gossip; see ``service.Service``."""
        self._prompt_caches = prompt_caches
        self._id = settings.id
        self._availability_zone = settings.availability_zone
        self._host = settings.address
        self._port = settings.peer_ports[0]
        self._seeds = settings.seeds or []
        self._ports = ports
        self._pool = pool
        self._state = state
        self._random = random
        self.crash_suspects = suspects.SuspectTable(own_id=settings.id)
        self.suspected_parts = prompt_suspects.PromptSuspectTable(
            owns_trial=self._owns_trial, random=random
        )
        self.departures = departures.DepartureTable()
        self.stream_origins = stream_origins.StreamOrigins()
        self.path_monitor = path_probes.PathMonitor(
            pool=pool,
            targets=state.targets,
            announce=self.announce,
            metrics=metrics,
            random=random,
        )
        self._started_ms = int(time.time() * 1000)
        self._sequence_number = 0
        self.is_leaving = False
        self._store_unreachable_at = float("-inf")
        self._polled_at = float("-inf")
        self._is_watcher = False
        self._settled_at = float("inf")
        self._in_force_s = settings.change_in_force_ms / 1000
        self._drain_s = settings.drain_ms / 1000
        self._store_era = 0
        self._store_restored = asyncio.Event()
        self._polls: set[asyncio.Task[None]] = set()
        self._fetching: set[str] = set()
        self._metrics = metrics
        # By table, a newer version that a peer has, and the time at which
        # this daemon learned of it.
        self._newer_since: dict[str, tuple[int, float]] = {}
        self._gossip = gossip.Gossip(
            own_id=settings.id,
            address=self.address,
            make_message=self._make_message,
            collect_announcements=self._collect_announcements,
            on_message=self._handle_message,
            random=random,
        )
        self._replicas = {
            name: replicas.Replica(
                name=name,
                read=ports.read_table,
                follow=ports.follow_table,
                apply_changes=apply_changes,
                compare=compare,
                must_read=self._must_read,
                get_wait_s=get_wait_s,
                get_pause_s=get_pause_s,
                has_reader_peer=self._gossip.has_reader_peer,
                is_store_stable=self.is_store_stable,
                on_change=self._handle_change,
                on_gap=on_gap,
                metrics=metrics,
            )
            for (
                name,
                apply_changes,
                on_gap,
                compare,
                get_wait_s,
                get_pause_s,
            ) in (
                (
                    ports.operator_table,
                    state.apply_operator_rows,
                    lambda: None,
                    ports.compare_operator_values,
                    self._get_operator_feed_wait_s,
                    lambda: 0.0,
                ),
                (
                    ports.target_table,
                    state.apply_target_rows,
                    state.record_target_gap,
                    ports.compare_target_values,
                    self._get_target_feed_wait_s,
                    self._get_target_feed_pause_s,
                ),
            )
        }

        self._server = table_server.TableServer(replicas=self._replicas)

    @property
    def address(self) -> str:
        """``ip:port`` at which peers reach this daemon."""
        return f"{self._host}:{self._port}"

    @property
    def has_all_tables(self) -> bool:
        """Whether all tables have been read."""
        return all(replica.version for replica in self._replicas.values())

    async def start(self) -> list[asyncio.Task[None]]:
        """Starts replication and gossip; returns the running tasks.

        Raises:
            OSError: If the peer address can't be bound.
        """
        loop = asyncio.get_running_loop()
        self._settled_at = loop.time() + READER_SETTLE_S
        await loop.create_datagram_endpoint(
            lambda: self._gossip, local_addr=(self._host, self._port)
        )
        for seed in self._seeds:
            self._gossip.add_candidates(
                [f"{seed.rpartition(':')[0]}:{self._port}"]
            )
        runs = {
            f"replica {name}": replica.run
            for name, replica in self._replicas.items()
        }
        runs |= {"gossip": self._tick, "registration": self._register}
        return [
            loop.create_task(supervision.run_forever(name, run, self._metrics))
            for name, run in runs.items()
        ]

    def announce(self) -> None:
        """Sends this daemon's state to its peers at once."""
        self._gossip.send_now()

    def close(self) -> None:
        """Stops gossip and probes."""
        self.path_monitor.close()
        self._gossip.close()

    def list_peer_ids(self) -> list[str]:
        """Returns the ids of the live peers."""
        return [peer.message.id for peer in self._gossip.list_live()]

    def list_peer_addresses(self) -> list[str]:
        """Returns the ``ip:port`` of the live peers."""
        return [peer.address for peer in self._gossip.list_live()]

    def list_peer_paths(self) -> list[target_paths.PeerPath]:
        """Returns what the live peers say of their paths to targets."""
        return [
            target_paths.PeerPath(
                id=peer.message.id,
                address=peer.address,
                availability_zone=peer.message.availability_zone,
                cut_off_services=peer.message.cut_off_services,
            )
            for peer in self._gossip.list_live()
        ]

    def list_sharers(self) -> list[str]:
        """Returns the ids of all daemons that share the fleet's limits."""
        return self._gossip.list_sharers()

    def ranks_below(self, number: int) -> bool:
        """Returns whether this daemon is one of the first for the store."""
        return self._is_settled() and self._gossip.ranks_below(number)

    def compute_report_interval_s(self) -> float:
        """Returns the time after which what each peer reports is new."""
        return max(
            gossip.TICK_INTERVAL_S, self._gossip.compute_send_interval_s()
        )

    def count_load(self, target: target_table.Target) -> int:
        """Returns the requests of all daemons in flight at a target."""
        return target.in_flight + self._gossip.counts.sum_target(target.id)

    def count_prefill_backlog(self, target: target_table.Target) -> int:
        """Returns a target's prefill backlog in tokens, for all daemons."""
        return (
            target.prefill_backlog_tokens
            + self._gossip.prefill_backlogs.sum_target(target.id)
        )

    def count_limited_requests(
        self, target: target_table.Target
    ) -> target_limits.FleetCount:
        """Returns the requests of live peers for a target with a limit."""
        return target_limits.FleetCount(
            sent=self._gossip.limited_sent.sum_target(target.id),
            wanted=self._gossip.limited_wanted.sum_target(target.id),
        )

    def measure_lag_ms(self) -> float | None:
        """Returns for how long newer routes have been known, None if none."""
        newer = self._newer_since.get(self._ports.operator_table)
        return None if newer is None else _measure_ms(newer[1])

    def assess_routes(self) -> route_freshness.Standing:
        """Returns how far this daemon may rely on its routes."""
        replica = self._operator_replica
        is_newer_known = (
            replica.name in self._newer_since
            and self._gossip.has_newer_peer(
                replica.name, replica.content_version
            )
        )
        return route_freshness.assess(
            confirmed_at=replica.freshness.confirmed_at,
            is_newer_known=is_newer_known,
            limit_s=self._in_force_s,
            now=asyncio.get_running_loop().time(),
        )

    async def confirm_targets(self) -> bool:
        """Makes sure that all targets registered before the call are known.

        Returns:
            Whether the store confirms it.
        """
        return await self._replicas[self._ports.target_table].confirm()

    @property
    def _operator_replica(self) -> replicas.Replica:
        return self._replicas[self._ports.operator_table]

    def _compute_routes_age_ms(self, now: float) -> int | None:
        age_s = now - self._operator_replica.freshness.confirmed_at
        return None if age_s == float("inf") else int(age_s * 1000)

    def _owns_trial(self, part: int) -> bool:
        """Returns whether this daemon is the one that tries a barred part."""
        ranked = preference.rank_names(part.to_bytes(8), self.list_sharers())
        return ranked[0] == self._id

    def _collect_announcements(self) -> gossip.Announcements:
        now = asyncio.get_running_loop().time()
        has_changes = self.suspected_parts.has_changes()
        return gossip.Announcements(
            cached_prompts=self._prompt_caches.take_announcements(
                gossip.MAX_CACHED_PROMPTS_PER_MESSAGE
            ),
            suspected_parts=self.suspected_parts.take_records(now=now),
            has_changed_suspects=has_changes,
            started_streams=self.stream_origins.take_announcements(
                gossip.MAX_STREAM_ORIGINS_PER_MESSAGE
            ),
        )

    def _reaches_store(self) -> bool:
        return all(item.is_store_reached for item in self._replicas.values())

    def _is_store_reader(self) -> bool:
        return any(
            item.is_following_store and item.is_store_reached
            for item in self._replicas.values()
        )

    def _may_reach_store(self) -> bool:
        return any(
            item.is_following_store and not item.is_store_down
            for item in self._replicas.values()
        )

    def is_store_stable(self) -> bool:
        """Returns whether an entry missing from the store is really removed.

        After an outage, entries that expired are still to be written again. The
        store counts as down if no daemon reaches it; a store that rejects only
        some daemons expires no entry.
        """
        now = asyncio.get_running_loop().time()
        return now - self._store_unreachable_at >= state_module.RECOVERY_HOLD_S

    def _is_settled(self) -> bool:
        return asyncio.get_running_loop().time() >= self._settled_at

    def _must_read(self) -> bool:
        return self._is_settled() and self._gossip.is_reader()

    def _get_operator_feed_wait_s(self, had_changes: bool) -> float:
        """Returns the time for which the store holds a call for the routes."""
        if not self._is_watcher:
            return CHANGE_FEED_WAIT_S
        if had_changes:
            # The next call shows whether that was the last change.
            return 0.0
        margin_s = max(
            WATCHER_MARGIN_S,
            route_freshness.AGE_TOLERANCE_S
            + CONFIRMATION_MARGIN_S
            + self._gossip.compute_send_interval_s(),
        )
        return max(MIN_WATCHER_WAIT_S, self._in_force_s - margin_s)

    def _get_target_feed_wait_s(self, had_changes: bool) -> float:
        """Returns the time for which the store holds a call for the targets."""
        del had_changes
        if not self._is_watcher:
            return CHANGE_FEED_WAIT_S
        return max(MIN_WATCHER_WAIT_S, self._drain_s - WATCHER_MARGIN_S)

    def _get_target_feed_pause_s(self) -> float:
        return 0.0 if self._is_watcher else TARGET_FEED_PAUSE_S

    def _update_watcher(self) -> None:
        """Makes this daemon the watcher if it ranks first for the store."""
        was_watcher = self._is_watcher
        self._is_watcher = self._gossip.ranks_below(1)
        if self._is_watcher and not was_watcher:
            for replica in self._replicas.values():
                replica.restart_feed_call()

    def _poll_store(self) -> None:
        """Polls the store once, as a reader has lost its connection."""
        loop = asyncio.get_running_loop()
        pollers = POLLERS_PER_READER * self._gossip.count_readers()
        is_poller = self._gossip.ranks_below(max(MIN_POLLERS, pollers))
        if not is_poller or loop.time() - self._polled_at < MIN_POLL_INTERVAL_S:
            return
        self._polled_at = loop.time()
        # Those of this daemon may have failed silently as well.
        self._ports.drop_store_connections()
        for replica in self._replicas.values():
            task = loop.create_task(replica.poll_once())
            self._polls.add(task)
            task.add_done_callback(self._polls.discard)

    def _make_message(
        self, peers: list[str], announcements: gossip.Announcements
    ) -> gossip.GossipMessage:
        self._sequence_number += 1
        now = asyncio.get_running_loop().time()
        # Includes the targets with a prefill backlog of this daemon.
        busy = [
            target
            for target in self._state.targets.targets.values()
            if target.in_flight
        ]
        limits = {
            target.id: target.limit
            for target in self._state.targets.targets.values()
            if target.limit.per_s is not None
        }
        return gossip.GossipMessage(
            id=self._id,
            started_ms=self._started_ms,
            sequence_number=self._sequence_number,
            versions={
                name: replica.content_version
                for name, replica in self._replicas.items()
            },
            counts={target.id: target.in_flight for target in busy},
            reaches_store=self._reaches_store(),
            is_store_reader=self._is_store_reader(),
            is_leaving=self.is_leaving,
            peers=peers,
            crash_suspects=self.crash_suspects.export(
                changed_since=now - gossip.SUSPECT_GOSSIP_S, now=now
            )[-gossip.MAX_SUSPECTS_PER_MESSAGE :],
            cached_prompts=announcements.cached_prompts,
            prefill_backlogs={
                target.id: target.prefill_backlog_tokens
                for target in busy
                if target.prefill_backlog_tokens >= gossip.MIN_REPORTED_TOKENS
            },
            departed_targets=self.departures.export(now),
            held_tables=[
                name
                for name, replica in self._replicas.items()
                if replica.has_holds
            ],
            suspected_parts=announcements.suspected_parts,
            stated_limits=target_limits.list_reports(limits, now=now),
            limited_counts=target_limits.list_counts(
                limits, now=now, random=self._random
            ),
            routes_age_ms=self._compute_routes_age_ms(now),
            started_streams=announcements.started_streams,
            availability_zone=self._availability_zone,
            cut_off_services=self.path_monitor.list_cut_off(),
        )

    def _handle_change(self, replica: replicas.Replica) -> None:
        """Records how late a change is, and announces it if it was read here.

        Peers don't read changes from the store.
        """
        era = store_versions.get_era(replica.content_version)
        if era > self._store_era:
            # At the first page, the registration is under way already.
            if self._store_era or self.has_all_tables:
                self._store_restored.set()
            self._store_era = era
        version, since = self._newer_since.get(replica.name, (0, 0.0))
        if version and replica.content_version >= version:
            del self._newer_since[replica.name]
            lag_s = asyncio.get_running_loop().time() - since
            self._metrics.observe("replica_lag", lag_s, table=replica.name)
        if replica.is_following_store:
            self._gossip.send_now()

    def _handle_message(self, peer: gossip.Peer) -> None:
        """Merges a peer's state and fetches its tables where they are newer."""
        loop = asyncio.get_running_loop()
        if peer.has_just_lost_store:
            self._poll_store()
        self._merge_reports(peer.message, loop.time())
        self._merge_confirmation(peer.message, loop.time())
        for name, version in peer.message.versions.items():
            replica = self._replicas.get(name)
            if replica is None:
                continue
            if version > replica.content_version:
                self._newer_since.setdefault(name, (version, loop.time()))
                self._start_fetch(name, self._fetch_newer(replica))
            elif (
                version == replica.content_version
                and name in peer.message.held_tables
                and not replica.has_memory
            ):
                # A restored store has an older state than this peer.
                self._start_fetch(
                    name,
                    self._fetch_from(peer, replica, store_versions.NONE),
                )

    def _merge_confirmation(
        self, message: gossip.GossipMessage, now: float
    ) -> None:
        """Adopts a peer's age of the version that both have."""
        replica = self._operator_replica
        if (
            message.routes_age_ms is not None
            and message.versions.get(replica.name) == replica.content_version
        ):
            replica.freshness.confirm(now - message.routes_age_ms / 1000)

    def _merge_reports(self, message: gossip.GossipMessage, now: float) -> None:
        """Merges what a peer reports of requests and targets."""
        if message.crash_suspects:
            changed_count = self.crash_suspects.merge(
                message.crash_suspects, now=now
            )
            if changed_count:
                self._metrics.count("suspects_from_peers", amount=changed_count)
        if message.suspected_parts:
            self.suspected_parts.merge(message.suspected_parts, now=now)
        if message.departed_targets:
            self.departures.merge(
                message.departed_targets,
                self._state.targets.targets,
                now,
            )
        for target_id, per_s in message.stated_limits.items():
            target = self._state.targets.targets.get(target_id)
            if target is not None:
                target.limit.merge_report(per_s, now=now)
        self.stream_origins.merge(message.started_streams, now)
        if message.cached_prompts:
            self._prompt_caches.merge(message.cached_prompts, now)

    def _start_fetch(
        self, name: str, fetch: abc.Coroutine[None, None, object]
    ) -> None:
        """Starts a fetch of a table, unless one is running."""
        if name in self._fetching:
            fetch.close()
            return
        self._fetching.add(name)
        task = asyncio.get_running_loop().create_task(fetch)
        task.add_done_callback(functools.partial(self._finish_fetch, name))

    def _finish_fetch(self, name: str, task: asyncio.Task[object]) -> None:
        del task
        self._fetching.discard(name)

    async def _fetch_newer(self, replica: replicas.Replica) -> None:
        """Fetches newer rows of a table from peers that have them.

        While a fetch takes long, another peer is asked as well.
        """
        tried: set[str] = set()
        running: dict[asyncio.Task[bool], str] = {}
        try:
            # Jitter and a random peer keep the fleet from saturating one link.
            await asyncio.sleep(self._draw_fetch_jitter())
            while self._gossip.has_newer_peer(
                replica.name, replica.content_version
            ):
                peer = self._gossip.pick_newer_peer(
                    replica.name,
                    replica.content_version,
                    failed=tried,
                    asked=set(running.values()),
                )
                if peer is not None and len(running) < MAX_PARALLEL_FETCHES:
                    tried.add(peer.message.id)
                    after = replica.content_version
                    fetch = self._fetch_from(peer, replica, after)
                    running[asyncio.ensure_future(fetch)] = peer.message.id
                done, _ = await asyncio.wait(
                    running,
                    timeout=SECOND_FETCH_DELAY_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    del running[task]
                await asyncio.sleep(
                    MIN_FETCH_PAUSE_S + self._draw_fetch_jitter()
                )
        finally:
            for task in running:
                task.cancel()

    def _draw_fetch_jitter(self) -> float:
        fleet = len(self._gossip.list_live())
        return self._random.uniform(
            0.0, min(MAX_FETCH_JITTER_S, fleet * FETCH_JITTER_PER_DAEMON_S)
        )

    async def _fetch_from(
        self, peer: gossip.Peer, replica: replicas.Replica, after: int
    ) -> bool:
        """Fetches the rows since a version from a peer.

        Returns:
            Whether that succeeded.
        """
        asked_at = replica.content_version
        url = f"{table_server.PATH}{replica.name}?{after}"
        request = f"GET {url} HTTP/1.1\r\nhost: {peer.address}\r\n\r\n"
        started_at = asyncio.get_running_loop().time()
        is_whole = not after
        deadline = started_at + (
            WHOLE_ANSWER_TIMEOUT_S if is_whole else PEER_ANSWER_TIMEOUT_S
        )
        _, newer_since = self._newer_since.get(replica.name, (0, started_at))
        try:
            reply = await http_fetch.fetch(
                self._pool, peer.address, request.encode(), deadline=deadline
            )
            if reply.status != 200:
                raise errors.TargetAnswerLostError(f"status {reply.status}")
            page = decoding.decode_msgpack(
                _unpack(reply.body), replica_ports.Page
            )
        except (errors.MothpassError, zlib.error) as error:
            replica.count_read("peer", "failed")
            event_log.log(
                _logger,
                "peer_fetch_failed",
                logging.WARNING,
                peer=peer.message.id,
                table=replica.name,
                reason=str(error),
                ms=_measure_ms(started_at),
                behind_ms=_measure_ms(newer_since),
            )
            return False
        replica.count_read("peer", "ok", len(reply.body))
        before = replica.content_version
        replica.apply_page(page, asked_at=asked_at, is_from_peer=True)
        event_log.log(
            _logger,
            "table_from_peer",
            peer=peer.message.id,
            table=replica.name,
            version=store_versions.to_pair(replica.content_version),
            before=store_versions.to_pair(before),
            bytes=len(reply.body),
            ms=_measure_ms(started_at),
            behind_ms=_measure_ms(newer_since),
        )
        return True

    async def _register(self) -> None:
        """Registers this daemon, again after each restore of the store."""
        while True:
            self._store_restored.clear()
            await self._register_once()
            await self._store_restored.wait()
            # A large fleet would use up what the store takes in a second.
            await asyncio.sleep(
                self._random.uniform(0.0, MAX_REGISTER_JITTER_S)
            )

    async def _register_once(self) -> None:
        """Registers this daemon in the store and reads its peers' addresses."""
        own = self.address.encode()
        while True:
            try:
                page = await self._ports.read_table(PEERS_TABLE)
                self._gossip.add_candidates(
                    row.value.decode("ascii", "replace")
                    for row in page.rows
                    if row.value
                )
                known = {row.key: row.value for row in page.rows}
                if not known.keys() - {self._id}:
                    # There are no others that could read the change feeds.
                    self._settled_at = asyncio.get_running_loop().time()
                if known.get(self._id) != own:
                    await self._ports.write_row(PEERS_TABLE, self._id, own)
            except errors.MothpassError as error:
                event_log.log(
                    _logger,
                    "not_registered",
                    logging.WARNING,
                    reason=str(error),
                )
                await asyncio.sleep(REGISTER_RETRY_INTERVAL_S)
            else:
                return

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(gossip.TICK_INTERVAL_S)
            self._gossip.tick()
            self._update_watcher()
            if (
                self._is_settled()
                and not self._may_reach_store()
                and not self._gossip.has_reader_peer()
            ):
                self._store_unreachable_at = asyncio.get_running_loop().time()
            self._state.expire_held_targets()
            for replica in self._replicas.values():
                replica.expire_holds()

    async def answer_peer(
        self,
        head: relay.ClientHead,
        body: bytes,
        client: relay_listener.ClientConnection,
    ) -> None:
        """Serves this daemon's replica of a table to a peer."""
        del body
        await self._server.answer(head, client)


def _measure_ms(since: float) -> float:
    """Returns the milliseconds since a time of the event loop."""
    return round((asyncio.get_running_loop().time() - since) * 1000, 1)


def _unpack(data: bytes) -> bytes:
    """Returns what a peer compressed.

    Raises:
        errors.TargetAnswerLostError: If it is too large or not whole.
        zlib.error: If it isn't compressed data.
    """
    unpacker = zlib.decompressobj()
    unpacked = unpacker.decompress(data, MAX_TABLE_BYTES)
    if not unpacker.eof:
        raise errors.TargetAnswerLostError(
            f"table is cut, or over {MAX_TABLE_BYTES} bytes"
        )
    return unpacked
