"""Exchanges control messages with the other daemons of the region.

Peer counts are sent each tick. Everything else is sent in batches to each
neighbour, about once a second, or with the next tick if it is urgent: the crash
of a target, a change of its phase or a change of the catalogue. The volume
depends on the number of targets and of changes, never on the request rate.

Messages may be lost, duplicated or delayed. Newer loads replace older ones,
suspicions are repeated for some seconds, names and rosters are sent again to a
neighbour that reports them missing, and catalogue changes until it has reported
their version.
"""

from collections import abc
import logging

import msgspec

from mothpass.core import count_reports
from mothpass.core import decoding
from mothpass.core import grid
from mothpass.core import load_digests
from mothpass.core import prompt_suspects
from mothpass.core import revisions
from mothpass.core import routing
from mothpass.core import suspects
from mothpass.core import targets
from mothpass.daemon import catalogues
from mothpass.ports import clock
from mothpass.ports import members
from mothpass.ports import peers

BATCH_INTERVAL_S = 1.0
# Suspicions are repeated because neighbours don't acknowledge them.
SUSPICION_REPEAT_S = 5.0
PEER_TIMEOUT_S = 5.0
MAX_CHANGES_BYTES = 65_536
_logger = logging.getLogger("mothpass.exchange")


# Sends a batch to an address without waiting for an answer.
SendBatch = abc.Callable[[str, peers.Batch], None]

# Sends peer counts to addresses without waiting or retransmission.
SendCounts = abc.Callable[[abc.Iterable[str], count_reports.CountReport], None]


class _Neighbour:
    """What was sent to and reported by one neighbour."""

    __slots__ = (
        "added_at",
        "catalogue_version",
        "changes_version_sent",
        "names_version_sent",
        "roster_versions_sent",
        "rosters_wanted",
        "sent_at",
    )

    def __init__(self, *, added_at: float) -> None:
        self.added_at = added_at
        self.changes_version_sent = 0
        self.names_version_sent = -1
        self.roster_versions_sent: dict[str, int] = {}
        self.rosters_wanted: set[str] = set()
        self.sent_at = float("-inf")
        self.catalogue_version: int | None = None


class Peer(msgspec.Struct, frozen=True, kw_only=True):
    """Another daemon of the region, as its last batch reports it.

    Attributes:
        id: Instance id.
        operators_address: Address of its listener for operators.
        catalogue_version: Catalogue version in its last batch.
        received_at: Monotonic time in seconds when its last batch arrived.
    """

    id: str
    operators_address: str
    catalogue_version: int
    received_at: float


class PeerExchange:
    """Builds and applies the control messages of one daemon.

    Attributes:
        own_id: Id of this daemon.
    """

    __slots__ = (
        "_addresses",
        "_digest_table",
        "_catalogues",
        "_count_decoder",
        "_count_encoder",
        "_daemons_by_address",
        "_exchange_plan",
        "_monotonic",
        "_neighbours",
        "_operators_address",
        "_peers",
        "_published_at",
        "_published_counts",
        "_router",
        "_send_batch",
        "_send_counts",
        "_suspected_parts",
        "_suspects",
        "own_id",
    )

    def __init__(
        self,
        *,
        own_id: str,
        operators_address: str,
        digest_table: load_digests.LoadDigestTable,
        count_encoder: count_reports.CountReportEncoder,
        router: routing.Router,
        suspects: suspects.SuspectTable,
        suspected_parts: prompt_suspects.PromptSuspectTable,
        catalogues: catalogues.CatalogueReplica,
        send_batch: SendBatch,
        send_counts: SendCounts,
        monotonic: clock.Monotonic,
    ) -> None:
        """Starts without neighbours.

        Args:
            own_id: Id of this daemon.
            operators_address: Address of its listener for operators.
            digest_table: Digests and rosters of this daemon and its peers.
            count_encoder: Encodes peer counts against a list of target names.
            router: Records loads and peer counts of targets.
            suspects: Crash suspects.
            suspected_parts: Parts of prompts that are crash suspects.
            catalogues: Replica of the catalogue.
            send_batch: Sends a batch to an address.
            send_counts: Sends peer counts to addresses.
            monotonic: Clock.
        """
        self.own_id = own_id
        self._operators_address = operators_address
        self._digest_table = digest_table
        self._count_encoder = count_encoder
        self._count_decoder = count_reports.CountReportDecoder()
        self._router = router
        self._suspects = suspects
        self._suspected_parts = suspected_parts
        self._catalogues = catalogues
        self._send_batch = send_batch
        self._send_counts = send_counts
        self._published_counts: dict[str, int] = {}
        self._published_at = float("-inf")
        self._monotonic = monotonic
        self._addresses: dict[str, str] = {}
        self._daemons_by_address: dict[str, str] = {}
        self._neighbours: dict[str, _Neighbour] = {}
        self._peers: dict[str, Peer] = {}
        self._exchange_plan = grid.plan_exchange(own_id=own_id, daemons=())

    def set_members(self, listing: members.Members) -> None:
        """Sets the peers from the membership list, including leaving ones.

        A leaving daemon needs digests until its requests are finished.
        """
        self._addresses = {
            item.id: item.address
            for item in listing.instances
            if item.role is members.Role.DAEMON and item.id != self.own_id
        }
        for departed in self._peers.keys() - self._addresses.keys():
            del self._peers[departed]
        self._count_decoder.retain(self._addresses)
        self._daemons_by_address = {
            address: daemon_id for daemon_id, address in self._addresses.items()
        }

    def list_peers(self) -> list[Peer]:
        """Returns the peers that have sent a batch, sorted by id."""
        return sorted(self._peers.values(), key=lambda item: item.id)

    def find_address(self, daemon_id: str) -> str | None:
        """Returns the address of a daemon, None if it isn't listed."""
        return self._addresses.get(daemon_id)

    def accept_batch(self, batch: peers.Batch) -> None:
        """Applies the batch of a peer."""
        now = self._monotonic()
        self._peers[batch.sender] = Peer(
            id=batch.sender,
            operators_address=batch.operators_address,
            catalogue_version=batch.catalogue_version,
            received_at=now,
        )
        neighbour = self._neighbours.get(batch.sender)
        if neighbour is not None:
            neighbour.rosters_wanted.update(batch.rosters_wanted)
            neighbour.changes_version_sent = 0
            neighbour.catalogue_version = batch.catalogue_version
            if batch.names_wanted:
                neighbour.names_version_sent = -1
        self._apply_loads(batch, now)
        if batch.counts is not None:
            self._apply_counts(batch.sender, batch.counts, now)
        self._router.record_dead_boots(batch.lost, now=now)
        self._suspects.merge(batch.suspicions, now=now)
        self._suspected_parts.merge(batch.suspected_parts, now=now)
        self._apply_catalogue(batch)

    def run_tick(self, own_records: list[targets.LoadRecord]) -> None:
        """Publishes the peer counts and sends the batches that are due.

        Args:
            own_records: Load reports that this daemon has read itself.
        """
        now = self._monotonic()
        self._digest_table.set_own_records(own_records, now=now)
        self._digest_table.expire_origins(now=now)
        self._update_neighbours(now)
        if not self._exchange_plan.column:
            self._publish_counts(now)
        dead_boots = self._router.list_dead_boots(now=now)
        for peer_id, neighbour in self._neighbours.items():
            if dead_boots or self._is_due(neighbour, now):
                batch = self._build_batch(peer_id, neighbour, dead_boots, now)
                self._send_batch(self._addresses[peer_id], batch)
                neighbour.sent_at = now

    def publish_counts(self) -> None:
        """Sends the peer counts immediately, between two ticks."""
        if not self._exchange_plan.column:
            self._publish_counts(self._monotonic())

    def accept_counts(
        self, address: str, report: count_reports.CountReport
    ) -> None:
        """Applies peer counts that came from a daemon's address."""
        sender = self._daemons_by_address.get(address)
        if sender is not None:
            self._apply_counts(sender, report, self._monotonic())

    def _publish_counts(self, now: float) -> None:
        """Sends peer counts; without any, only about once a second."""
        self._count_encoder.set_names(self._router.targets)
        counts = self._router.publish_counts(now=now)
        is_idle = not counts and not self._published_counts
        if is_idle and now < self._published_at + BATCH_INTERVAL_S:
            return
        self._published_counts = counts
        self._published_at = now
        report = self._count_encoder.encode_report(counts, with_names=False)
        self._send_counts(self._addresses.values(), report)

    def _is_due(self, neighbour: _Neighbour, now: float) -> bool:
        """Returns whether a neighbour should get a batch in this tick."""
        if now >= neighbour.sent_at + BATCH_INTERVAL_S:
            return True
        if neighbour.rosters_wanted or self._needs_names(neighbour):
            return True
        if self._digest_table.phases_changed_at >= neighbour.sent_at:
            return True
        suspects_changed_at = max(
            self._suspects.changed_at, self._suspected_parts.changed_at
        )
        if suspects_changed_at >= neighbour.sent_at:
            return True
        return self._needs_changes(neighbour)

    def _apply_loads(self, batch: peers.Batch, now: float) -> None:
        for roster in batch.rosters:
            self._digest_table.accept_roster(roster)
        records: list[targets.LoadRecord] = []
        for digest in batch.loads:
            records.extend(self._digest_table.accept_digest(digest, now=now))
        if records:
            self._router.record_loads(records, now=now)

    def _apply_counts(
        self, sender: str, report: count_reports.CountReport, now: float
    ) -> None:
        counts = self._count_decoder.decode_report(sender, report)
        if counts is not None:
            self._router.record_counts(sender, counts, now=now)

    def _apply_catalogue(self, batch: peers.Batch) -> None:
        self._catalogues.record_peer_version(
            batch.sender, batch.catalogue_version
        )
        if not batch.changes:
            return
        try:
            changes = [
                decoding.decode_json(item, revisions.Change)
                for item in batch.changes
            ]
        except msgspec.DecodeError as error:
            _logger.warning(
                "failed to decode changes from %s: %s", batch.sender, error
            )
            return
        self._catalogues.apply_changes(changes)

    def _update_neighbours(self, now: float) -> None:
        """Updates the set of peers that this daemon sends batches to."""
        self._exchange_plan = grid.plan_exchange(
            own_id=self.own_id,
            daemons=self._addresses,
            unreachable={
                peer_id
                for peer_id, neighbour in self._neighbours.items()
                if self._is_unreachable(peer_id, neighbour, now)
            },
        )
        self._neighbours = {
            peer_id: self._neighbours.get(peer_id) or _Neighbour(added_at=now)
            for peer_id in self._exchange_plan.row | self._exchange_plan.column
        }

    def _is_unreachable(
        self, peer_id: str, neighbour: _Neighbour, now: float
    ) -> bool:
        """Returns whether no batch came from a neighbour within the timeout."""
        peer = self._peers.get(peer_id)
        received_at = neighbour.added_at if peer is None else peer.received_at
        return now >= max(neighbour.added_at, received_at) + PEER_TIMEOUT_S

    def _build_batch(
        self,
        peer_id: str,
        neighbour: _Neighbour,
        dead_boots: dict[str, str],
        now: float,
    ) -> peers.Batch:
        is_forwarded = peer_id in self._exchange_plan.column
        origins = self._exchange_plan.origins if is_forwarded else {self.own_id}
        digests_to_send = self._digest_table.list_digests(
            origins, received_since=neighbour.sent_at, now=now
        )
        return peers.Batch(
            sender=self.own_id,
            operators_address=self._operators_address,
            catalogue_version=self._catalogues.version,
            loads=digests_to_send,
            rosters=self._select_rosters(neighbour, origins),
            rosters_wanted=self._digest_table.list_missing_rosters(),
            suspicions=self._suspects.export(
                changed_since=now - SUSPICION_REPEAT_S, now=now
            ),
            changes=self._select_changes(neighbour),
            counts=self._build_names_report(neighbour),
            names_wanted=self._count_decoder.lacks_names(peer_id),
            lost=dead_boots,
            suspected_parts=self._suspected_parts.export(
                changed_since=now - SUSPICION_REPEAT_S, now=now
            ),
        )

    def _needs_names(self, neighbour: _Neighbour) -> bool:
        if self._exchange_plan.column:
            return False
        return neighbour.names_version_sent != self._count_encoder.version

    def _build_names_report(
        self, neighbour: _Neighbour
    ) -> count_reports.CountReport | None:
        """Returns peer counts with target names if the neighbour lacks them."""
        if not self._needs_names(neighbour):
            return None
        neighbour.names_version_sent = self._count_encoder.version
        return self._count_encoder.encode_report(
            self._published_counts, with_names=True
        )

    def _select_rosters(
        self, neighbour: _Neighbour, origins: abc.Iterable[str]
    ) -> list[load_digests.Roster]:
        """Returns the rosters that the neighbour lacks."""
        for origin in neighbour.rosters_wanted:
            neighbour.roster_versions_sent.pop(origin, None)
        wanted = {*origins, *neighbour.rosters_wanted}
        neighbour.rosters_wanted = set()
        selected = [
            roster
            for roster in self._digest_table.list_rosters(wanted)
            if neighbour.roster_versions_sent.get(roster.origin)
            != roster.version
        ]
        for roster in selected:
            neighbour.roster_versions_sent[roster.origin] = roster.version
        return selected

    def _needs_changes(self, neighbour: _Neighbour) -> bool:
        """Returns whether a neighbour lacks changes that weren't sent yet."""
        own_version = self._catalogues.version
        if (
            neighbour.catalogue_version is None
            or neighbour.catalogue_version >= own_version
        ):
            return False
        return neighbour.changes_version_sent != own_version

    def _select_changes(self, neighbour: _Neighbour) -> list[bytes]:
        """Returns the catalogue changes that the neighbour lacks."""
        if neighbour.catalogue_version is None or not self._needs_changes(
            neighbour
        ):
            return []
        neighbour.changes_version_sent = self._catalogues.version
        changes = self._catalogues.changes_since(
            neighbour.catalogue_version, MAX_CHANGES_BYTES
        )
        return [msgspec.json.encode(item) for item in changes]
