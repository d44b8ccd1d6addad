"""Exchanges control messages with the other daemons of the region.

Counts of calls in flight go out each tick. All else goes in a batch to each
neighbour, about once a second, and with the next tick where something can't
wait: a death of a target, a change of its phase, a change of the catalogue.
What is sent grows with the number of targets and with changes, never with the
rate of requests.

Messages may be lost, doubled or late. Loads are replaced by newer ones,
suspicions are told for some seconds, names and rosters are sent again to a
neighbour that says it lacks them, changes until it has told their version.
"""

from collections import abc
import logging

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

BATCH_S = 1.0
# Time for which news that a neighbour doesn't confirm is told again.
RETELL_S = 5.0
# Time without a message after which a daemon counts as unreachable.
SILENCE_S = 5.0
CHANGES_LIMIT_BYTES = 65_536
_logger = logging.getLogger("mothpass.exchange")


# Sends a batch to an address, without waiting.
SendBatch = abc.Callable[[str, peers.Batch], None]

# Sends counts to addresses, without waiting and without a second try.
SendCounts = abc.Callable[[abc.Iterable[str], count_reports.CountReport], None]


class _Neighbour:
    """What was sent to a neighbour and what it has told."""

    __slots__ = (
        "changes_sent",
        "known_at",
        "names_sent",
        "rosters_sent",
        "rosters_wanted",
        "sent_at",
        "version",
    )

    def __init__(self, *, known_at: float) -> None:
        self.known_at = known_at
        self.changes_sent = 0
        self.names_sent = -1
        self.rosters_sent: dict[str, int] = {}
        self.rosters_wanted: set[str] = set()
        self.sent_at = float("-inf")
        self.version: int | None = None


class Peer(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of another daemon of the region.

    Attributes:
        id: Instance id.
        operators_address: Its listener for operators.
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
        "_operators_address",
        "own_id",
        "_peers",
        "_plan",
        "_router",
        "_send_batch",
        "_send_counts",
        "_senders",
        "_suspects",
        "_told",
        "_told_at",
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
        catalogues: catalogues.CatalogueReplica,
        send_batch: SendBatch,
        send_counts: SendCounts,
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
            send_batch: Sends a batch to an address.
            send_counts: Sends counts to addresses.
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
        self._send_batch = send_batch
        self._send_counts = send_counts
        self._told: dict[str, int] = {}
        self._told_at = float("-inf")
        self._monotonic = monotonic
        self._daemons: dict[str, str] = {}
        self._senders: dict[str, str] = {}
        self._neighbours: dict[str, _Neighbour] = {}
        self._peers: dict[str, Peer] = {}
        self._plan = grid.plan_exchange(own_id=own_id, daemons=())

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
        self._senders = {
            address: daemon_id for daemon_id, address in self._daemons.items()
        }

    def list_peers(self) -> list[Peer]:
        """Returns the other daemons heard of, sorted by id."""
        return sorted(self._peers.values(), key=lambda item: item.id)

    def address_of(self, daemon_id: str) -> str | None:
        """Returns the address of a daemon, None if it isn't listed."""
        return self._daemons.get(daemon_id)

    def accept_batch(self, batch: peers.Batch) -> None:
        """Takes in the batch of a peer."""
        now = self._monotonic()
        self._peers[batch.sender] = Peer(
            id=batch.sender,
            operators_address=batch.operators_address,
            catalogue_version=batch.catalogue_version,
            heard_at=now,
        )
        neighbour = self._neighbours.get(batch.sender)
        if neighbour is not None:
            neighbour.rosters_wanted.update(batch.rosters_wanted)
            neighbour.changes_sent = 0
            neighbour.version = batch.catalogue_version
            if batch.names_wanted:
                neighbour.names_sent = -1
        self._accept_loads(batch, now)
        if batch.counts is not None:
            self._accept_counts(batch.sender, batch.counts, now)
        self._router.record_lost(batch.lost, now=now)
        self._suspects.merge(batch.suspicions, now=now)
        self._accept_catalogue(batch)

    def run_tick(self, own_records: list[targets.LoadRecord]) -> None:
        """Tells the counts, and sends the batches that are due.

        Args:
            own_records: Load reports that this daemon reads itself.
        """
        now = self._monotonic()
        self._board.set_own(own_records, now=now)
        self._board.forget(now=now)
        self._arrange_neighbours(now)
        if not self._plan.column:
            self._tell_counts(now)
        lost = self._router.list_lost(now=now)
        for peer_id, neighbour in self._neighbours.items():
            if lost or self._is_due(neighbour, now):
                batch = self._build(peer_id, neighbour, lost, now)
                self._send_batch(self._daemons[peer_id], batch)
                neighbour.sent_at = now

    def tell_counts(self) -> None:
        """Tells this daemon's calls in flight at once, between two ticks."""
        if not self._plan.column:
            self._tell_counts(self._monotonic())

    def accept_counts(
        self, address: str, report: count_reports.CountReport
    ) -> None:
        """Takes in the counts that came from a daemon's address."""
        sender = self._senders.get(address)
        if sender is not None:
            self._accept_counts(sender, report, self._monotonic())

    def _tell_counts(self, now: float) -> None:
        """Sends the counts; while there are none, only about once a second."""
        self._count_sender.set_names(self._router.targets)
        counts = self._router.tell_counts(now=now)
        is_idle = not counts and not self._told
        if is_idle and now < self._told_at + BATCH_S:
            return
        self._told = counts
        self._told_at = now
        report = self._count_sender.make_report(counts, with_names=False)
        self._send_counts(self._daemons.values(), report)

    def _is_due(self, neighbour: _Neighbour, now: float) -> bool:
        """Tells whether a neighbour is to get a batch with this tick."""
        if now >= neighbour.sent_at + BATCH_S:
            return True
        if neighbour.rosters_wanted or self._lacks_names(neighbour):
            return True
        if self._board.phases_changed_at >= neighbour.sent_at:
            return True
        if self._suspects.changed_at >= neighbour.sent_at:
            return True
        return self._lacks_changes(neighbour)

    def _accept_loads(self, batch: peers.Batch, now: float) -> None:
        for roster in batch.rosters:
            self._board.accept_roster(roster)
        records: list[targets.LoadRecord] = []
        for digest in batch.loads:
            records.extend(self._board.accept_digest(digest, now=now))
        if records:
            self._router.record_loads(records, now=now)

    def _accept_counts(
        self, sender: str, report: count_reports.CountReport, now: float
    ) -> None:
        counts = self._count_receiver.read_report(sender, report)
        if counts is not None:
            self._router.record_counts(sender, counts, now=now)

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
        self._catalogues.apply_changes(changes)

    def _arrange_neighbours(self, now: float) -> None:
        """Plans anew whom this daemon sends to."""
        self._plan = grid.plan_exchange(
            own_id=self.own_id,
            daemons=self._daemons,
            unreachable={
                peer_id
                for peer_id, neighbour in self._neighbours.items()
                if self._is_silent(peer_id, neighbour, now)
            },
        )
        self._neighbours = {
            peer_id: self._neighbours.get(peer_id) or _Neighbour(known_at=now)
            for peer_id in self._plan.row | self._plan.column
        }

    def _is_silent(
        self, peer_id: str, neighbour: _Neighbour, now: float
    ) -> bool:
        """Tells whether a neighbour that should send has not for a while."""
        peer = self._peers.get(peer_id)
        heard_at = neighbour.known_at if peer is None else peer.heard_at
        return now >= max(neighbour.known_at, heard_at) + SILENCE_S

    def _build(
        self,
        peer_id: str,
        neighbour: _Neighbour,
        lost: dict[str, str],
        now: float,
    ) -> peers.Batch:
        is_relayed = peer_id in self._plan.column
        origins = self._plan.origins if is_relayed else {self.own_id}
        found = self._board.list_digests(
            origins, received_since=neighbour.sent_at, now=now
        )
        return peers.Batch(
            sender=self.own_id,
            operators_address=self._operators_address,
            catalogue_version=self._catalogues.version,
            loads=found,
            rosters=self._choose_rosters(neighbour, origins),
            rosters_wanted=self._board.list_wanted(),
            suspicions=self._suspects.export(
                changed_since=now - RETELL_S, now=now
            ),
            changes=self._choose_changes(neighbour),
            counts=self._report_names(neighbour),
            names_wanted=self._count_receiver.is_lacking(peer_id),
            lost=lost,
        )

    def _lacks_names(self, neighbour: _Neighbour) -> bool:
        if self._plan.column:
            return False
        return neighbour.names_sent != self._count_sender.version

    def _report_names(
        self, neighbour: _Neighbour
    ) -> count_reports.CountReport | None:
        """Returns a report with the names where the neighbour lacks them."""
        if not self._lacks_names(neighbour):
            return None
        neighbour.names_sent = self._count_sender.version
        return self._count_sender.make_report(self._told, with_names=True)

    def _choose_rosters(
        self, neighbour: _Neighbour, origins: abc.Iterable[str]
    ) -> list[digests.Roster]:
        """Returns rosters that the neighbour lacks."""
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

    def _lacks_changes(self, neighbour: _Neighbour) -> bool:
        """Tells whether a neighbour is behind and hasn't been sent why."""
        own = self._catalogues.version
        if neighbour.version is None or neighbour.version >= own:
            return False
        return neighbour.changes_sent != own

    def _choose_changes(self, neighbour: _Neighbour) -> list[bytes]:
        """Returns the catalogue changes that the neighbour lacks."""
        if neighbour.version is None or not self._lacks_changes(neighbour):
            return []
        neighbour.changes_sent = self._catalogues.version
        changes = self._catalogues.changes_since(
            neighbour.version, CHANGES_LIMIT_BYTES
        )
        return [msgspec.json.encode(item) for item in changes]
