"""Builds the parts of the control loop from the settings."""

from collections import abc
import random as random_module
import time

import msgspec

from mothpass.adapters import peer_datagrams
from mothpass.adapters import peer_links
from mothpass.adapters import peer_messages
from mothpass.adapters import peer_transport
from mothpass.adapters import peers_pb2
from mothpass.core import catalogue
from mothpass.core import count_reports
from mothpass.core import gate_table
from mothpass.core import load_digests
from mothpass.core import routing
from mothpass.core import suspects
from mothpass.core import targets as target_states
from mothpass.daemon import catalogues
from mothpass.daemon import control
from mothpass.daemon import exchange
from mothpass.daemon import leasing
from mothpass.daemon import loads
from mothpass.daemon import membership
from mothpass.daemon import permits
from mothpass.daemon import platform
from mothpass.daemon import settings
from mothpass.ports import members
from mothpass.ports import peers
from mothpass.ports import targets


class Needs(msgspec.Struct, frozen=True, kw_only=True):
    """What the control loop needs of the rest of the daemon.

    Attributes:
        router: What is known of the targets.
        suspects: Requests that crash targets.
        catalogues: The catalogue in force.
        platform: The platform's services.
        read_load: Reads a target's load report.
        find_start: Returns the cold start of a target, None for none.
        on_members: Takes each membership list.
        on_tick: Called once a tick.
        random: Source of jitter.
    """

    router: routing.Router
    suspects: suspects.SuspectTable
    catalogues: catalogues.Catalogues
    platform: platform.Platform
    read_load: targets.ReadLoad
    find_start: abc.Callable[[str], catalogue.ColdStart | None]
    on_members: abc.Callable[[members.Members], None]
    on_tick: abc.Callable[[], None]
    random: random_module.Random


class GateFeed:
    """Shows a daemon's gates the load reports that its router has got."""

    __slots__ = ("_gates", "_router", "_shown")

    def __init__(
        self, *, gates: gate_table.GateTable, router: routing.Router
    ) -> None:
        """Has shown nothing yet."""
        self._gates = gates
        self._router = router
        self._shown: dict[str, target_states.LoadRecord] = {}

    def show_new(self) -> None:
        """Shows what has come since the last time."""
        known = self._router.targets
        gone = self._shown.keys() - known.keys()
        if gone:
            self._gates.forget(gone, now=time.monotonic())
            for target_id in gone:
                del self._shown[target_id]
        for target_id, target in known.items():
            record = target.latest_record
            if record is not None and record is not self._shown.get(target_id):
                self._shown[target_id] = record
                self._gates.record_load(record)


class Built(msgspec.Struct, frozen=True, kw_only=True):
    """The control loop and what the dispatcher needs of it.

    Attributes:
        control: The loop.
        permits: Asks gates for permits.
        traffic: Counts of the exchange with peers.
    """

    control: control.Control
    permits: permits.PermitClient
    traffic: peer_transport.PeerTraffic


def build_control(chosen: settings.Settings, needs: Needs) -> Built:
    """Builds the control loop; nothing is opened yet."""
    own_id = chosen.instance.id
    traffic = peer_transport.PeerTraffic()
    links = peer_links.LinkPool(
        key=chosen.peers.key, traffic=traffic, monotonic=time.monotonic
    )
    gates = gate_table.GateTable(
        instance_id=own_id,
        find_start=needs.find_start,
        call_limit_ms=routing.MAX_REQUEST_MS,
    )
    started_ms = _read_wall_ms()

    def send_counts(
        addresses: abc.Iterable[str], report: count_reports.CountReport
    ) -> None:
        datagrams.send_counts(addresses, report)

    def send_batch(address: str, batch: peers.Batch) -> None:
        message = peer_messages.encode_batch(batch)
        if not datagrams.send_batch(address, message):
            links.send_batch_in_background(address, message)

    def accept_batch(address: str, message: peers_pb2.Batch) -> None:
        del address
        exchanged.accept_batch(peer_messages.decode_batch(message))

    exchanged = exchange.Exchange(
        own_id=own_id,
        operators_address=chosen.operators.address,
        board=load_digests.LoadDigestTable(
            own_id=own_id, first_sequence=started_ms
        ),
        count_sender=count_reports.CountReportEncoder(first_version=started_ms),
        router=needs.router,
        suspects=needs.suspects,
        catalogues=needs.catalogues,
        send_batch=send_batch,
        send_counts=send_counts,
        monotonic=time.monotonic,
    )
    datagrams = peer_datagrams.DatagramEndpoint(
        key=chosen.peers.key,
        accept_counts=exchanged.accept_counts,
        accept_batch=accept_batch,
        traffic=traffic,
        wall_ms=_read_wall_ms,
    )
    needs.router.publish_now = exchanged.tell_counts
    feed = GateFeed(gates=gates, router=needs.router)

    def take_members(listing: members.Members) -> None:
        exchanged.set_members(listing)
        datagrams.retain(item.address for item in listing.instances)
        needs.on_members(listing)

    def run_tick() -> None:
        feed.show_new()
        needs.on_tick()

    def find_link(daemon_id: str) -> peer_links.Link | None:
        address = exchanged.address_of(daemon_id)
        return None if address is None else links.get(address)

    parts = control.Parts(
        catalogues=needs.catalogues,
        datagrams=datagrams,
        exchange=exchanged,
        gates=gates,
        leasing=leasing.Leasing(
            gates=gates,
            store=needs.platform.store,
            monotonic=time.monotonic,
        ),
        links=links,
        loads=loads.LoadReader(
            own_id=own_id,
            router=needs.router,
            read=needs.read_load,
            poll_s=chosen.targets.load_poll_ms / 1000,
            monotonic=time.monotonic,
            random=needs.random,
        ),
        membership=_build_membership(chosen, needs, take_members),
        router=needs.router,
        traffic=traffic,
    )
    return Built(
        control=control.Control(
            parts=parts,
            address=chosen.peers.address,
            key=chosen.peers.key,
            tick_s=chosen.peers.tick_ms / 1000,
            on_tick=run_tick,
            monotonic=time.monotonic,
        ),
        permits=permits.PermitClient(
            own_id=own_id,
            gates=gates,
            find_link=find_link,
            monotonic=time.monotonic,
        ),
        traffic=traffic,
    )


def _read_wall_ms() -> int:
    return time.time_ns() // 1_000_000


def _build_membership(
    chosen: settings.Settings,
    needs: Needs,
    on_members: abc.Callable[[members.Members], None],
) -> membership.Membership:
    instance = chosen.instance
    return membership.Membership(
        instance=members.Instance(
            id=instance.id,
            role=members.Role.DAEMON,
            state=members.State.LIVE,
            address=chosen.peers.address,
            availability_zone=instance.availability_zone,
        ),
        read=needs.platform.read_members,
        send=needs.platform.send_heartbeat,
        remove=needs.platform.remove_instance,
        on_members=on_members,
        monotonic=time.monotonic,
        random=needs.random,
    )
