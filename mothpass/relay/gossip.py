"""Exchanges the state of daemons in periodic gossip datagrams.

Each datagram replaces the one before it, so that a lost one isn't resent.
"""

import asyncio
from collections import abc
import logging
import math
import random as random_module
import typing

import msgspec

from mothpass.adapters import event_log
from mothpass.core import decoding
from mothpass.core import errors
from mothpass.core import peer_counts
from mothpass.core import preference
from mothpass.core import prompt_suspects
from mothpass.core import prompts
from mothpass.core import socket_addresses
from mothpass.core import stream_origins
from mothpass.core import suspects
from mothpass.core import target_limits

TICK_INTERVAL_S = 0.1
# In a fleet too large for a datagram to each peer at each tick, each peer gets
# them less often. 175 of some 250 bytes take 7% of a 5 Mbit/s link.
MAX_SENDS_PER_S = 175.0
# Peer addresses in a message, sampled anew each time.
MAX_PEER_ADDRESSES = 3
# Keeps a message within one packet.
MAX_SUSPECTS_PER_MESSAGE = 8
# Each cached prompt takes some 30 bytes.
MAX_CACHED_PROMPTS_PER_MESSAGE = 12
# Each origin takes some 20 bytes.
MAX_STREAM_ORIGINS_PER_MESSAGE = 24
# A smaller prefill backlog is gone before peers receive it.
MIN_REPORTED_TOKENS = 2000
# A daemon sends its state at least this often, even if nothing changed.
HEARTBEAT_INTERVAL_S = 0.5
# A peer from which no message arrives for this long counts as lost.
MIN_PEER_TIMEOUT_S = 2.0
# The same in send intervals, which are long in a large fleet.
PEER_TIMEOUT_INTERVALS = 2.5
# A lost peer keeps its share of the limits on cold targets for longer, as it
# may be partitioned from this daemon only.
SHARER_TIMEOUT_S = 60.0
# Lost peers and candidates are sent to less often, as they may be gone.
PROBE_INTERVAL_S = 0.9
# Bounds the rate of changes that are sent without waiting for a tick.
MIN_URGENT_INTERVAL_S = 0.2
# Candidate addresses from which no message arrives are tried for this long.
CANDIDATE_LIFETIME_S = 10.0
MAX_DATAGRAM_BYTES = 8192
# Daemons that read the store's change feed; the others fetch changes from them.
# In a large fleet it is one in twenty, as calls to the store cost the most
# there, and a reader's link carries some ten copies of the routes in a second,
# which the daemons that have them pass on.
MIN_READERS = 3
DAEMONS_PER_READER = 20
# Crash suspects are sent for this long after a change.
SUSPECT_GOSSIP_S = 5.0

# Tolerance for rounding errors of times: a tick may come this much early.
_TIMER_SLACK_S = 0.001

_logger = logging.getLogger("mothpass.gossip")


class GossipMessage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Gossip message: the state of one daemon.

    Attributes:
        id: Id of the daemon.
        started_ms: Milliseconds of its clock at its start.
        sequence_number: Increases with each message since the start.
        versions: Version of its replica of each table.
        counts: Its own attempts in flight by target.
        reaches_store: Whether its last call to the store succeeded.
        is_store_reader: Whether it reads the store's change feed, and its
            calls succeed.
        is_leaving: Whether it is shutting down.
        peers: Addresses of some of its live peers.
        crash_suspects: Requests that are suspected to crash targets.
        cached_prompts: Prompts that targets have cached for its requests.
        prefill_backlogs: Tokens that targets have yet to prefill for it.
        departed_targets: Ids of targets that it has found replaced or leaving.
        held_tables: Tables of which it keeps rows in place of those of a
            restored store.
        suspected_parts: Prompt parts that are suspected to crash targets.
        stated_limits: Requests per second that targets take from all daemons,
            as their answers to this daemon state.
        limited_counts: Its own requests for targets that state a limit.
        routes_age_ms: Milliseconds since its version of the operator's table
            was last known to be the newest, None before that.
        started_streams: Streams that began at it of late.
        availability_zone: Its availability zone, "" if its release takes no
            requests of peers.
        cut_off_services: Services to whose targets it has no path.
    """

    id: str
    started_ms: int
    sequence_number: int
    versions: dict[str, int]
    counts: dict[str, int]
    reaches_store: bool
    is_store_reader: bool
    is_leaving: bool
    peers: list[str]
    crash_suspects: list[suspects.Record]
    # Fields added after the first release have defaults, so that daemons of
    # two releases understand each other during a rolling update.
    cached_prompts: list[prompts.CachedPrompt] = []
    prefill_backlogs: dict[str, int] = {}
    departed_targets: list[str] = []
    held_tables: list[str] = []
    suspected_parts: list[prompt_suspects.Record] = []
    stated_limits: dict[str, float] = {}
    limited_counts: dict[str, target_limits.FleetCount] = {}
    routes_age_ms: int | None = None
    started_streams: list[stream_origins.Origin] = []
    availability_zone: str = ""
    cut_off_services: list[str] = []


class Announcements(msgspec.Struct, frozen=True, kw_only=True):
    """What a round of messages carries once, besides the state.

    Attributes:
        cached_prompts: Prompts that targets have cached.
        suspected_parts: Prompt parts that are suspected to crash targets.
        has_changed_suspects: Whether some of these have changed.
        started_streams: Streams that began at this daemon.
    """

    cached_prompts: list[prompts.CachedPrompt] = []
    started_streams: list[stream_origins.Origin] = []
    suspected_parts: list[prompt_suspects.Record] = []
    has_changed_suspects: bool = False


class Peer:
    """State of another daemon, by its newest message.

    Attributes:
        address: ``ip:port`` that it sends from.
        message: Its newest message.
        last_message_at: Monotonic seconds at which its newest message arrived.
        has_just_lost_store: Whether its newest message is the first to say
            that its call to the store failed.
    """

    __slots__ = (
        "address",
        "has_just_lost_store",
        "last_message_at",
        "message",
    )

    def __init__(
        self, *, address: str, message: GossipMessage, now: float
    ) -> None:
        """Creates a peer from its first message."""
        self.address = address
        self.message = message
        self.last_message_at = now
        self.has_just_lost_store = False


class Gossip(asyncio.DatagramProtocol):
    """Sends this daemon's state and tracks that of its peers.

    Attributes:
        peers: Peers by id, including lost ones.
        counts: Attempts in flight of the live peers.
        prefill_backlogs: Tokens that targets have yet to prefill for live
            peers.
        limited_sent: Requests that the live peers have sent to targets that
            state a limit.
        limited_wanted: These, and those that the limits denied.
    """

    __slots__ = (
        "_address",
        "_candidates",
        "_announcements",
        "_collect_announcements",
        "_id",
        "_make_message",
        "_on_message",
        "_pending_addresses",
        "_probed_at",
        "_random",
        "_sent_at",
        "_sent_message",
        "_transport",
        "_urgent_sent_at",
        "counts",
        "limited_sent",
        "limited_wanted",
        "peers",
        "prefill_backlogs",
    )

    def __init__(
        self,
        *,
        own_id: str,
        address: str,
        make_message: abc.Callable[[list[str], Announcements], GossipMessage],
        collect_announcements: abc.Callable[[], Announcements],
        on_message: abc.Callable[[Peer], None],
        random: random_module.Random,
    ) -> None:
        """Creates the protocol; asyncio connects it to a socket.

        Args:
            own_id: Id of this daemon.
            address: ``ip:port`` that it sends from.
            make_message: Makes the next message from addresses of peers and
                announcements.
            collect_announcements: Returns what to announce in the next round.
            on_message: Called with the peer after each message.
            random: Source of randomness.
        """
        self._id = own_id
        self._address = address
        self._make_message = make_message
        self._collect_announcements = collect_announcements
        self._announcements = Announcements()
        self._pending_addresses: list[str] = []
        self._on_message = on_message
        self._random = random
        self._transport: asyncio.DatagramTransport | None = None
        self._candidates: dict[str, float] = {}
        self._probed_at = float("-inf")
        self._sent_at = float("-inf")
        self._urgent_sent_at = float("-inf")
        self._sent_message: GossipMessage | None = None
        self.peers: dict[str, Peer] = {}
        self.counts = peer_counts.PeerCounts()
        self.prefill_backlogs = peer_counts.PeerCounts()
        self.limited_sent = peer_counts.PeerCounts()
        self.limited_wanted = peer_counts.PeerCounts()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport; see ``asyncio.DatagramProtocol``."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def close(self) -> None:
        """Closes the transport."""
        if self._transport is not None:
            self._transport.close()

    def error_received(self, exc: Exception) -> None:
        """Logs a send error; the next datagram may succeed."""
        _logger.debug("sending a datagram failed: %s", exc)

    def datagram_received(
        self, data: bytes, addr: tuple[str | typing.Any, int]
    ) -> None:
        """Merges the state of another daemon."""
        try:
            message = decoding.decode_msgpack(data, GossipMessage)
        except errors.MalformedInputError as error:
            event_log.log(
                _logger, "datagram_dropped", source=addr[0], reason=str(error)
            )
            return
        if message.id == self._id:
            return
        now = asyncio.get_running_loop().time()
        address = f"{addr[0]}:{addr[1]}"
        peer = self.peers.get(message.id)
        if peer is None:
            peer = Peer(address=address, message=message, now=now)
            self.peers[message.id] = peer
            event_log.log(
                _logger, "peer_found", peer=message.id, address=address
            )
        elif _is_outdated(message, peer.message):
            return
        elif now - peer.last_message_at > self._compute_peer_timeout_s():
            event_log.log(_logger, "peer_regained", peer=message.id)
        peer.has_just_lost_store = (
            peer.message.reaches_store and not message.reaches_store
        )
        peer.address = address
        peer.message = message
        peer.last_message_at = now
        self.counts.record(message.id, message.counts, now)
        self.prefill_backlogs.record(message.id, message.prefill_backlogs, now)
        limited = message.limited_counts.items()
        self.limited_sent.record(
            message.id, {key: count.sent for key, count in limited}, now
        )
        self.limited_wanted.record(
            message.id, {key: count.wanted for key, count in limited}, now
        )
        self.add_candidates(message.peers)
        self._on_message(peer)

    def add_candidates(self, addresses: abc.Iterable[str]) -> None:
        """Adds addresses at which unknown daemons may listen."""
        now = asyncio.get_running_loop().time()
        known = {peer.address for peer in self.peers.values()}
        for address in addresses:
            if address in known or address in self._candidates:
                continue
            if socket_addresses.parse_address(address) is None:
                # The transport would raise for it, or close for good.
                event_log.log(
                    _logger, "peer_address_rejected", address=address[:60]
                )
            elif address != self._address:
                self._candidates[address] = now + CANDIDATE_LIFETIME_S
                # The next round includes it.
                self._probed_at = float("-inf")

    def list_live(self) -> list[Peer]:
        """Returns the peers that sent a message in time and aren't leaving."""
        since = (
            asyncio.get_running_loop().time() - self._compute_peer_timeout_s()
        )
        return [
            peer
            for peer in self.peers.values()
            if peer.last_message_at >= since and not peer.message.is_leaving
        ]

    def list_sharers(self) -> list[str]:
        """Returns the ids of the daemons that share limits, with this one."""
        now = asyncio.get_running_loop().time()
        return [
            self._id,
            *(
                peer.message.id
                for peer in self.peers.values()
                if now - peer.last_message_at <= SHARER_TIMEOUT_S
            ),
        ]

    def is_reader(self) -> bool:
        """Returns whether this daemon is to read the store's change feed.

        One that ranks for it but doesn't reach the store keeps trying, while
        others, which rank without it, read in its place.
        """
        return self.ranks_below(self.count_readers())

    def count_readers(self) -> int:
        """Returns how many daemons read the store's change feed."""
        fleet = 1 + len(self.list_live())
        return max(MIN_READERS, fleet // DAEMONS_PER_READER)

    def ranks_below(self, number: int) -> bool:
        """Returns whether this daemon's rank is below a number.

        The ranking has the daemons that reach the store.
        """
        reaching_ids = [
            peer.message.id
            for peer in self.list_live()
            if peer.message.reaches_store
        ]
        ranked = preference.rank_names(b"readers", [self._id, *reaching_ids])
        return self._id in ranked[:number]

    def pick_newer_peer(
        self,
        table: str,
        version: int,
        *,
        failed: abc.Container[str] = (),
        asked: abc.Container[str] = (),
    ) -> Peer | None:
        """Returns a random peer whose replica is newer, None without one.

        Args:
            table: Name of the table.
            version: Content version of this daemon's replica.
            failed: Ids of peers that are chosen only if there is no other.
            asked: Ids of peers that aren't chosen.
        """
        newer = [
            peer
            for peer in self._list_newer(table, version)
            if peer.message.id not in asked
        ]
        untried = [peer for peer in newer if peer.message.id not in failed]
        newer = untried or newer
        return self._random.choice(newer) if newer else None

    def has_newer_peer(self, table: str, version: int) -> bool:
        """Returns whether a live peer's replica is newer than a version."""
        return bool(self._list_newer(table, version))

    def _list_newer(self, table: str, version: int) -> list[Peer]:
        return [
            peer
            for peer in self.list_live()
            if peer.message.versions.get(table, 0) > version
        ]

    def has_reader_peer(self) -> bool:
        """Returns whether a live peer reads the store's change feed."""
        return any(peer.message.is_store_reader for peer in self.list_live())

    def tick(self) -> None:
        """Expires lost peers and sends this daemon's state if that is due."""
        now = asyncio.get_running_loop().time()
        self._expire_peers(now)
        if self._pending_addresses:
            self._send_batch(self.make_message())
            return
        # The interval depends on all known peers: if it depended on the live
        # ones, a saturated link, which loses datagrams, would get even more.
        interval_s = max(TICK_INTERVAL_S, self.compute_send_interval_s())
        if now - self._sent_at < interval_s - _TIMER_SLACK_S:
            return
        self._announcements = self._collect_announcements()
        message = self.make_message()
        last = self._sent_message
        is_same = last is not None and (
            (
                last.counts,
                last.versions,
                last.crash_suspects,
                last.cached_prompts,
                last.departed_targets,
                last.held_tables,
                last.started_streams,
                last.cut_off_services,
            )
            == (
                message.counts,
                message.versions,
                message.crash_suspects,
                message.cached_prompts,
                message.departed_targets,
                message.held_tables,
                message.started_streams,
                message.cut_off_services,
            )
            and last.is_store_reader == message.is_store_reader
            and not _is_confirmed_since(last, message)
            and not self._announcements.has_changed_suspects
        )
        if is_same and now - self._sent_at < HEARTBEAT_INTERVAL_S:
            return
        self._sent_at = now
        self._pending_addresses = list(self._list_addresses())
        self._send_batch(message)

    def _send_batch(self, message: GossipMessage) -> None:
        """Sends to the next peers of a round.

        Datagrams to all of a large fleet at once would delay the events of
        streams on a slow link.
        """
        batch_size = math.ceil(MAX_SENDS_PER_S * TICK_INTERVAL_S)
        addresses, self._pending_addresses = (
            self._pending_addresses[:batch_size],
            self._pending_addresses[batch_size:],
        )
        self._send(message, addresses)

    def compute_send_interval_s(self) -> float:
        """Returns the time between two datagrams to the same peer."""
        return len(self.peers) / MAX_SENDS_PER_S

    def _compute_peer_timeout_s(self) -> float:
        return max(
            MIN_PEER_TIMEOUT_S,
            PEER_TIMEOUT_INTERVALS * self.compute_send_interval_s(),
        )

    def send_now(self) -> None:
        """Sends the state at once, unless that was just done."""
        now = asyncio.get_running_loop().time()
        if now - self._urgent_sent_at >= MIN_URGENT_INTERVAL_S:
            self._urgent_sent_at = now
            if not self._pending_addresses:
                self._announcements = self._collect_announcements()
            self._send(self.make_message(), self._list_addresses())

    def make_message(self) -> GossipMessage:
        """Returns a message with this daemon's current state."""
        live = [peer.address for peer in self.list_live()]
        peer_addresses = self._random.sample(
            live, min(MAX_PEER_ADDRESSES, len(live))
        )
        return self._make_message(peer_addresses, self._announcements)

    def _send(
        self, message: GossipMessage, addresses: abc.Iterable[str]
    ) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._sent_message = message
        data = msgspec.msgpack.encode(message)
        if len(data) > MAX_DATAGRAM_BYTES:
            event_log.log(_logger, "datagram_too_long", bytes=len(data))
            return
        for address in addresses:
            host, _, port = address.rpartition(":")
            self._transport.sendto(data, (host, int(port)))

    def _list_addresses(self) -> set[str]:
        """Returns live peers' addresses; candidates and lost peers at times."""
        now = asyncio.get_running_loop().time()
        since = now - self._compute_peer_timeout_s()
        addresses = {
            peer.address
            for peer in self.peers.values()
            if peer.last_message_at >= since
        }
        if now - self._probed_at >= PROBE_INTERVAL_S:
            self._probed_at = now
            addresses |= self._candidates.keys()
            addresses |= {
                peer.address
                for peer in self.peers.values()
                if now - peer.last_message_at <= SHARER_TIMEOUT_S
            }
        return addresses

    def _expire_peers(self, now: float) -> None:
        known = {peer.address for peer in self.peers.values()}
        self._candidates = {
            address: until
            for address, until in self._candidates.items()
            if now < until and address not in known
        }
        live_ids = []
        since = now - self._compute_peer_timeout_s()
        for peer in self.peers.values():
            if peer.last_message_at >= since:
                live_ids.append(peer.message.id)
            elif self.counts.sum_daemon(peer.message.id) is not None:
                event_log.log(_logger, "peer_lost", peer=peer.message.id)
        self.counts.retain(live_ids)
        self.prefill_backlogs.retain(live_ids)
        self.limited_sent.retain(live_ids)
        self.limited_wanted.retain(live_ids)


def _is_confirmed_since(last: GossipMessage, message: GossipMessage) -> bool:
    """Returns whether the routes were found current after a message."""
    if message.routes_age_ms is None:
        return False
    return (
        last.routes_age_ms is None or message.routes_age_ms < last.routes_age_ms
    )


def _is_outdated(message: GossipMessage, known: GossipMessage) -> bool:
    # Start times can't be compared, as the wall clock may jump.
    is_same_start = message.started_ms == known.started_ms
    return is_same_start and message.sequence_number <= known.sequence_number
