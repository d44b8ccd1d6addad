"""Exchanges batches of control messages with the neighbours, a tick at a time.

What a batch carries grows with the number of targets and with changes, never
with the rate of requests.
"""

from collections import abc
import logging
import typing

import msgspec

from mothpass.core import count_reports
from mothpass.core import digests
from mothpass.core import grid
from mothpass.core import revisions
from mothpass.core import routing
from mothpass.core import suspects
from mothpass.core import targets
from mothpass.daemon import catalogues
from mothpass.ports import clock
from mothpass.ports import members
from mothpass.ports import peers

ROSTERS_EVERY_TICKS = 40
CHANGES_LIMIT_BYTES = 65_536
_logger = logging.getLogger("mothpass.exchange")


class Link(typing.Protocol):
    """What the exchange needs of a connection to a neighbour."""

    address: str

    @property
    def is_ready(self) -> bool:
        """Whether another batch may be sent."""

    @property
    def is_reachable(self) -> bool:
        """Whether the last try to reach it didn't fail."""

    @property
    def failures(self) -> int:
        """How often a batch may have been lost so far."""

    def send_batch(self, batch: peers.Batch) -> None:
        """Sends a batch soon."""


# Returns the link to an address; the same one each time.
FindLink = abc.Callable[[str], Link]


class _Neighbour:
    """What was sent to a neighbour and what it has told."""

    __slots__ = (
        "address_sent",
        "failures",
        "link",
        "names_sent",
        "rosters_sent",
        "rosters_wanted",
        "sent_at",
        "version",
    )

    def __init__(self, *, link: Link) -> None:
        self.link = link
        self.failures = link.failures
        self.address_sent = False
        self.names_sent = 0
        self.rosters_sent: dict[str, int] = {}
        self.rosters_wanted: set[str] = set()
        self.sent_at = float("-inf")
        self.version: int | None = None

    def forget_sent(self) -> None:
        """Sends all anew, after a batch may have been lost."""
        self.sent_at = float("-inf")
        self.rosters_sent = {}
        self.address_sent = False
        self.names_sent = 0
        self.failures = self.link.failures


class Peer(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of another daemon of the region.

    Attributes:
        id: Instance id.
        operators_address: Its listener for operators, "" if not heard of.
        catalogue_version: Version that it last told of.
        heard_at: Monotonic seconds of its last batch.
    """

    id: str
    operators_address: str
    catalogue_version: int
    heard_at: float


class Exchange:
    """The control messages of one daemon.

    Attributes:
        own_id: Id of this daemon.
    """

    __slots__ = (
        "_board",
        "_catalogues",
        "_count_receiver",
        "_count_sender",
        "_daemons",
        "_monotonic",
        "_neighbours",
        "_find_link",
        "_operators_address",
        "own_id",
        "_peers",
        "_plan",
        "_router",
        "_suspects",
        "_ticks",
    )

    def __init__(
        self,
        *,
        own_id: str,
        operators_address: str,
        board: digests.Board,
        count_sender: count_reports.CountSender,
        router: routing.Router,
        suspects: suspects.Suspects,
        catalogues: catalogues.Catalogues,
        find_link: FindLink,
        monotonic: clock.Monotonic,
    ) -> None:
        """Starts without neighbours.

        Args:
            own_id: Id of this daemon.
            operators_address: Its listener for operators.
            board: Digests known so far.
            count_sender: List of targets that counts refer to.
            router: Takes in the loads of targets.
            suspects: Suspects known so far.
            catalogues: The catalogue on this daemon.
            find_link: Returns the link to an address.
            monotonic: Clock.
        """
        self.own_id = own_id
        self._operators_address = operators_address
        self._board = board
        self._count_sender = count_sender
        self._count_receiver = count_reports.CountReceiver()
        self._router = router
        self._suspects = suspects
        self._catalogues = catalogues
        self._find_link = find_link
        self._monotonic = monotonic
        self._daemons: dict[str, str] = {}
        self._neighbours: dict[str, _Neighbour] = {}
        self._peers: dict[str, Peer] = {}
        self._plan = grid.plan_exchange(own_id=own_id, daemons=())
        self._ticks = 0

    def set_members(self, listing: members.Members) -> None:
        """Takes the daemons of the membership list; leaving ones still count.

        A leaving daemon finishes what it has and needs digests for it.
        """
        self._daemons = {
            item.id: item.address
            for item in listing.instances
            if item.role is members.Role.DAEMON and item.id != self.own_id
        }
        for gone in self._peers.keys() - self._daemons.keys():
            del self._peers[gone]
        self._count_receiver.keep(self._daemons)

    def list_peers(self) -> list[Peer]:
        """Returns the other daemons heard of, sorted by id."""
        return sorted(self._peers.values(), key=lambda item: item.id)

    def address_of(self, daemon_id: str) -> str | None:
        """Returns the address of a daemon, None if it isn't listed."""
        return self._daemons.get(daemon_id)

    def accept_batch(self, batch: peers.Batch) -> None:
        """Takes in the batch of a peer."""
        now = self._monotonic()
        known = self._peers.get(batch.sender)
        address = batch.operators_address
        if not address and known is not None:
            address = known.operators_address
        self._peers[batch.sender] = Peer(
            id=batch.sender,
            operators_address=address,
            catalogue_version=batch.catalogue_version,
            heard_at=now,
        )
        neighbour = self._neighbours.get(batch.sender)
        if neighbour is not None:
            neighbour.rosters_wanted.update(batch.rosters_wanted)
            neighbour.version = batch.catalogue_version
            if batch.names_wanted:
                neighbour.names_sent = 0
        self._accept_loads(batch, now)
        self._accept_counts(batch, now)
        self._suspects.merge(batch.suspicions, now=now)
        self._accept_catalogue(batch)

    def run_tick(self, own_records: list[targets.LoadRecord]) -> None:
        """Sends a batch to each neighbour that has taken the last one.

        Args:
            own_records: Load reports that this daemon reads itself.
        """
        now = self._monotonic()
        self._ticks += 1
        self._board.set_own(own_records, now=now)
        self._board.forget(now=now)
        self._arrange_neighbours()
        self.send_batches()

    def send_batches(self) -> None:
        """Sends what is new now, between two ticks as well."""
        now = self._monotonic()
        counts = None
        if not self._plan.column:
            self._count_sender.set_names(self._router.targets)
            counts = self._router.tell_counts(now=now)
        for peer_id, neighbour in self._neighbours.items():
            if neighbour.link.failures != neighbour.failures:
                neighbour.forget_sent()
            if neighbour.link.is_ready:
                batch = self._build(peer_id, neighbour, counts, now)
                neighbour.link.send_batch(batch)
                neighbour.sent_at = now

    def _accept_loads(self, batch: peers.Batch, now: float) -> None:
        for roster in batch.rosters:
            self._board.accept_roster(roster)
        records: list[targets.LoadRecord] = []
        for digest in batch.loads:
            records.extend(self._board.accept_digest(digest, now=now))
        if records:
            self._router.record_loads(records, now=now)

    def _accept_counts(self, batch: peers.Batch, now: float) -> None:
        if batch.counts is None:
            return
        counts = self._count_receiver.read_report(batch.sender, batch.counts)
        if counts is not None:
            self._router.record_counts(batch.sender, counts, now=now)

    def _accept_catalogue(self, batch: peers.Batch) -> None:
        self._catalogues.note_peer(batch.sender, batch.catalogue_version)
        if not batch.changes:
            return
        try:
            changes = [
                msgspec.json.decode(item, type=revisions.Change)
                for item in batch.changes
            ]
        except msgspec.DecodeError as error:
            _logger.warning("changes of %s: %s", batch.sender, error)
            return
        self._catalogues.offer(changes)

    def _arrange_neighbours(self) -> None:
        """Plans anew whom this daemon sends to."""
        unreachable = {
            peer_id
            for peer_id, item in self._neighbours.items()
            if not item.link.is_reachable
        }
        self._plan = grid.plan_exchange(
            own_id=self.own_id,
            daemons=self._daemons,
            unreachable=unreachable,
        )
        wanted = self._plan.row | self._plan.column
        self._neighbours = {
            peer_id: self._find_neighbour(peer_id) for peer_id in wanted
        }

    def _find_neighbour(self, peer_id: str) -> _Neighbour:
        link = self._find_link(self._daemons[peer_id])
        known = self._neighbours.get(peer_id)
        if known is not None and known.link is link:
            return known
        return _Neighbour(link=link)

    def _build(
        self,
        peer_id: str,
        neighbour: _Neighbour,
        counts: dict[str, int] | None,
        now: float,
    ) -> peers.Batch:
        is_relayed = peer_id in self._plan.column
        origins = self._plan.origins if is_relayed else {self.own_id}
        found = self._board.list_digests(
            origins, received_since=neighbour.sent_at, now=now
        )
        return peers.Batch(
            sender=self.own_id,
            operators_address=self._choose_address(neighbour),
            catalogue_version=self._catalogues.version,
            loads=found,
            rosters=self._choose_rosters(neighbour, origins),
            rosters_wanted=self._board.list_wanted(),
            suspicions=self._suspects.export(
                changed_since=neighbour.sent_at, now=now
            ),
            changes=self._choose_changes(neighbour),
            counts=self._report_counts(neighbour, counts),
            names_wanted=self._count_receiver.is_lacking(peer_id),
        )

    def _choose_address(self, neighbour: _Neighbour) -> str:
        """Returns the operators' address where the neighbour lacks it."""
        if neighbour.address_sent:
            return ""
        neighbour.address_sent = True
        return self._operators_address

    def _report_counts(
        self, neighbour: _Neighbour, counts: dict[str, int] | None
    ) -> count_reports.CountReport | None:
        """Returns the report, with the names where the neighbour lacks them."""
        if counts is None:
            return None
        version = self._count_sender.version
        with_names = neighbour.names_sent != version
        neighbour.names_sent = version
        return self._count_sender.make_report(counts, with_names=with_names)

    def _choose_rosters(
        self, neighbour: _Neighbour, origins: abc.Iterable[str]
    ) -> list[digests.Roster]:
        """Returns rosters that the neighbour lacks, and all now and then."""
        if self._ticks % ROSTERS_EVERY_TICKS == 0:
            neighbour.rosters_sent = {}
            neighbour.address_sent = False
        for origin in neighbour.rosters_wanted:
            neighbour.rosters_sent.pop(origin, None)
        wanted = {*origins, *neighbour.rosters_wanted}
        neighbour.rosters_wanted = set()
        chosen = [
            roster
            for roster in self._board.list_rosters(wanted)
            if neighbour.rosters_sent.get(roster.origin) != roster.version
        ]
        for roster in chosen:
            neighbour.rosters_sent[roster.origin] = roster.version
        return chosen

    def _choose_changes(self, neighbour: _Neighbour) -> list[bytes]:
        """Returns the catalogue changes that the neighbour lacks."""
        own = self._catalogues.version
        if neighbour.version is None or neighbour.version >= own:
            return []
        changes = self._catalogues.changes_since(
            neighbour.version, CHANGES_LIMIT_BYTES
        )
        return [msgspec.json.encode(item) for item in changes]
