"""What daemons tell each other in datagrams, some times a second.

Each datagram replaces the one before it, so that a lost one needs no answer.
"""

import asyncio
from collections import abc
import logging
import math
import random
import typing

import msgspec

from mothpass.adapters import event_log
from mothpass.core import peer_counts
from mothpass.core import preference
from mothpass.core import prompts
from mothpass.core import suspects

TICK_S = 0.1
# Datagrams a second that one daemon sends at most; a fleet that is larger
# than this allows at each tick is told less often. 175 of some 250 bytes take
# 7% of a link of 5 Mbit/s.
MOST_SENDS_PER_S = 175.0
# Addresses of others that a datagram names, drawn anew each time.
NAMED_PEERS = 3
# Suspicions that a datagram carries, so that it stays within one packet.
TOLD_SUSPICIONS = 8
# Reads of prompts that a datagram carries; each takes some 30 bytes.
TOLD_READS = 12
# Fewer tokens are read before the others could be told.
LEAST_TOLD_TOKENS = 2000
# A daemon tells its state at least this often, though nothing changed.
QUIET_S = 0.5
# A daemon not heard of for this long is taken for gone.
LOST_S = 2.0
# The same in datagrams that didn't come, where a large fleet sends few.
LOST_PAUSES = 2.5
# Bound on its share of cold targets for longer, as it may be cut off only
# from this daemon.
SHARE_MEMORY_S = 60.0
# Daemons that aren't heard are told this seldom, as they may be gone.
GREET_PAUSE_S = 0.9
# A change that can't wait for the next tick is told at once this often.
TELL_PAUSE_S = 0.2
# Addresses of daemons never heard are tried for this long after a start.
GREETING_S = 10.0
LIMIT_BYTES = 8192
# Daemons that follow the store; the others take changes from them. In a large
# fleet it is one in twenty, as calls to the store are the dearest there, and
# a reader's link bears some ten copies of the routes in a second, which those
# who have them hand on.
READERS = 3
DAEMONS_PER_READER = 20
# Suspicions are told for this long after a change.
SUSPICION_TOLD_S = 5.0

# A tick may come this much early by the arithmetic of times.
_TIMER_SLACK_S = 0.001

_logger = logging.getLogger("mothpass.gossip")


class Beat(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """State of one daemon.

    Attributes:
        id: Its id.
        started_ms: Milliseconds of its clock at its start.
        number: Grows with each datagram of this start.
        versions: Version of its copy of each table.
        counts: Its own attempts in flight by target.
        reaches_store: Whether its last call to the store succeeded.
        follows_store: Whether it makes such calls, and they succeed.
        is_leaving: Whether it is shutting down.
        peers: Addresses of some of the daemons that it hears.
        suspicions: Requests that are suspected to crash targets.
        reads: Prompts that its requests made targets read.
        reading: Tokens that targets have yet to read for it.
    """

    id: str
    started_ms: int
    number: int
    versions: dict[str, int]
    counts: dict[str, int]
    reaches_store: bool
    follows_store: bool
    is_leaving: bool
    peers: list[str]
    crash_suspects: list[suspects.Record]
    # Fields after those of the first release have defaults, so that daemons
    # of two releases hear each other while one replaces the other.
    reads: list[prompts.Read] = []
    reading: dict[str, int] = {}


class Peer:
    """What is known of another daemon.

    Attributes:
        address: ``ip:port`` that it sends from.
        beat: Its newest datagram.
        heard_at: Monotonic seconds at which that came.
        has_just_lost_store: Whether that says that its call to the store
            failed, and the one before it doesn't.
    """

    __slots__ = ("address", "beat", "has_just_lost_store", "heard_at")

    def __init__(self, *, address: str, beat: Beat, now: float) -> None:
        """Keeps the newest datagram."""
        self.address = address
        self.beat = beat
        self.heard_at = now
        self.has_just_lost_store = False


class Gossip(asyncio.DatagramProtocol):
    """Sends this daemon's state and keeps that of the others.

    Attributes:
        peers: Daemons by id, also those that have fallen silent.
        counts: Attempts in flight of the daemons that are heard.
        reading: Tokens that targets have yet to read for them.
    """

    __slots__ = (
        "_address",
        "_greeted",
        "_greeted_at",
        "_id",
        "_make_beat",
        "_on_beat",
        "_random",
        "_reads",
        "_round",
        "_sent_at",
        "_sent_beat",
        "_take_reads",
        "_told_at",
        "_transport",
        "counts",
        "peers",
        "reading",
    )

    def __init__(
        self,
        *,
        own_id: str,
        address: str,
        make_beat: abc.Callable[[list[str], list[prompts.Read]], Beat],
        take_reads: abc.Callable[[], list[prompts.Read]],
        on_beat: abc.Callable[[Peer], None],
        source: random.Random,
    ) -> None:
        """Listens once asyncio has connected it.

        Args:
            own_id: Id of this daemon.
            address: ``ip:port`` that it sends from.
            make_beat: Makes the next datagram from the addresses of peers and
                the reads to be told.
            take_reads: Returns the reads that the next round tells.
            on_beat: Is told of each datagram.
            source: Source of randomness.
        """
        self._id = own_id
        self._address = address
        self._make_beat = make_beat
        self._take_reads = take_reads
        self._reads: list[prompts.Read] = []
        self._round: list[str] = []
        self._on_beat = on_beat
        self._random = source
        self._transport: asyncio.DatagramTransport | None = None
        self._greeted: dict[str, float] = {}
        self._greeted_at = float("-inf")
        self._sent_at = float("-inf")
        self._told_at = float("-inf")
        self._sent_beat: Beat | None = None
        self.peers: dict[str, Peer] = {}
        self.counts = peer_counts.PeerCounts()
        self.reading = peer_counts.PeerCounts()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport to send by."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def close(self) -> None:
        """Sends and receives no more."""
        if self._transport is not None:
            self._transport.close()

    def error_received(self, exc: Exception) -> None:
        """Logs that the network refused a datagram; the next may pass."""
        _logger.debug("datagram refused: %s", exc)

    def datagram_received(
        self, data: bytes, addr: tuple[str | typing.Any, int]
    ) -> None:
        """Takes in the state of another daemon."""
        try:
            beat = msgspec.msgpack.decode(data, type=Beat)
        except msgspec.DecodeError as error:
            event_log.log(
                _logger, "datagram_dropped", source=addr[0], reason=str(error)
            )
            return
        if beat.id == self._id:
            return
        now = asyncio.get_running_loop().time()
        address = f"{addr[0]}:{addr[1]}"
        peer = self.peers.get(beat.id)
        if peer is None:
            peer = Peer(address=address, beat=beat, now=now)
            self.peers[beat.id] = peer
            event_log.log(_logger, "peer_found", peer=beat.id, address=address)
        elif _is_older(beat, peer.beat):
            return
        elif now - peer.heard_at > self._find_lost_s():
            event_log.log(_logger, "peer_regained", peer=beat.id)
        peer.has_just_lost_store = (
            peer.beat.reaches_store and not beat.reaches_store
        )
        peer.address = address
        peer.beat = beat
        peer.heard_at = now
        self.counts.record(beat.id, beat.counts, now)
        self.reading.record(beat.id, beat.reading, now)
        self.greet(beat.peers)
        self._on_beat(peer)

    def greet(self, addresses: abc.Iterable[str]) -> None:
        """Adds addresses at which daemons may be."""
        now = asyncio.get_running_loop().time()
        known = {peer.address for peer in self.peers.values()}
        for address in addresses:
            if address != self._address and address not in known:
                self._greeted.setdefault(address, now + GREETING_S)

    def list_live(self) -> list[Peer]:
        """Returns the daemons that were heard just now."""
        since = asyncio.get_running_loop().time() - self._find_lost_s()
        return [
            peer
            for peer in self.peers.values()
            if peer.heard_at >= since and not peer.beat.is_leaving
        ]

    def list_sharers(self) -> list[str]:
        """Returns the ids of all daemons that may send, with this one."""
        now = asyncio.get_running_loop().time()
        return [
            self._id,
            *(
                peer.beat.id
                for peer in self.peers.values()
                if now - peer.heard_at <= SHARE_MEMORY_S
            ),
        ]

    def is_reader(self, *, reaches_store: bool) -> bool:
        """Tells whether this daemon is one of those that follow the store."""
        if not reaches_store:
            # It goes on trying, and the others read in its place.
            return True
        return self.ranks_below(self.count_readers())

    def count_readers(self) -> int:
        """Returns how many daemons follow the store."""
        fleet = 1 + len(self.list_live())
        return max(READERS, fleet // DAEMONS_PER_READER)

    def ranks_below(self, number: int) -> bool:
        """Tells whether this daemon is among the first that reach the store."""
        able = [
            peer.beat.id for peer in self.list_live() if peer.beat.reaches_store
        ]
        ranked = preference.rank_names(b"readers", [self._id, *able])
        return self._id in ranked[:number]

    def find_newer(self, table: str, version: int) -> Peer | None:
        """Returns any daemon whose copy of a table is newer, if one is."""
        newer = [
            peer
            for peer in self.list_live()
            if peer.beat.versions.get(table, 0) > version
        ]
        return self._random.choice(newer) if newer else None

    def has_follower(self) -> bool:
        """Tells whether another daemon follows the store now."""
        return any(peer.beat.follows_store for peer in self.list_live())

    def tick(self) -> None:
        """Sends this daemon's state where that is due."""
        now = asyncio.get_running_loop().time()
        self._drop_lost(now)
        if self._round:
            self._send_slice(self.make_beat())
            return
        # The pause counts all that are known: if it followed those that are
        # heard, a full link, which loses datagrams, would be filled further.
        pause = max(TICK_S, self._find_pause_s())
        if now - self._sent_at < pause - _TIMER_SLACK_S:
            return
        self._reads = self._take_reads()
        beat = self.make_beat()
        last = self._sent_beat
        is_same = last is not None and (
            (last.counts, last.versions, last.crash_suspects, last.reads)
            == (beat.counts, beat.versions, beat.crash_suspects, beat.reads)
            and last.follows_store == beat.follows_store
        )
        if is_same and now - self._sent_at < QUIET_S:
            return
        self._sent_at = now
        self._round = list(self._list_addresses())
        self._send_slice(beat)

    def _send_slice(self, beat: Beat) -> None:
        """Sends to the next daemons of a round.

        A datagram to all of a large fleet at once would hold up the events
        of streams on a slow link.
        """
        most = math.ceil(MOST_SENDS_PER_S * TICK_S)
        addresses, self._round = self._round[:most], self._round[most:]
        self._send(beat, addresses)

    def _find_pause_s(self) -> float:
        """Returns the time between two datagrams to the same daemon."""
        return len(self.peers) / MOST_SENDS_PER_S

    def _find_lost_s(self) -> float:
        return max(LOST_S, LOST_PAUSES * self._find_pause_s())

    def tell_now(self) -> None:
        """Tells a change at once, unless one was just told."""
        now = asyncio.get_running_loop().time()
        if now - self._told_at >= TELL_PAUSE_S:
            self._told_at = now
            self._send(self.make_beat(), self._list_addresses())

    def make_beat(self) -> Beat:
        """Returns this daemon's state as it is now."""
        live = [peer.address for peer in self.list_live()]
        named = self._random.sample(live, min(NAMED_PEERS, len(live)))
        return self._make_beat(named, self._reads)

    def _send(self, beat: Beat, addresses: abc.Iterable[str]) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._sent_beat = beat
        data = msgspec.msgpack.encode(beat)
        if len(data) > LIMIT_BYTES:
            event_log.log(_logger, "datagram_too_long", bytes=len(data))
            return
        for address in addresses:
            host, _, port = address.rpartition(":")
            self._transport.sendto(data, (host, int(port)))

    def _list_addresses(self) -> set[str]:
        """Returns where to send; daemons that aren't heard are told less."""
        now = asyncio.get_running_loop().time()
        since = now - self._find_lost_s()
        addresses = {
            peer.address
            for peer in self.peers.values()
            if peer.heard_at >= since
        }
        if now - self._greeted_at >= GREET_PAUSE_S:
            self._greeted_at = now
            addresses |= self._greeted.keys()
            addresses |= {
                peer.address
                for peer in self.peers.values()
                if now - peer.heard_at <= SHARE_MEMORY_S
            }
        return addresses

    def _drop_lost(self, now: float) -> None:
        known = {peer.address for peer in self.peers.values()}
        self._greeted = {
            address: until
            for address, until in self._greeted.items()
            if now < until and address not in known
        }
        heard = []
        since = now - self._find_lost_s()
        for peer in self.peers.values():
            if peer.heard_at >= since:
                heard.append(peer.beat.id)
            elif self.counts.total_of(peer.beat.id) is not None:
                event_log.log(_logger, "peer_lost", peer=peer.beat.id)
        self.counts.keep(heard)
        self.reading.keep(heard)


def _is_older(beat: Beat, known: Beat) -> bool:
    # The clocks of two starts can't be compared, as the time of day jumps.
    is_same_start = beat.started_ms == known.started_ms
    return is_same_start and beat.number <= known.number
