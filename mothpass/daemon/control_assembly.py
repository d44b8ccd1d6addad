"""Builds the components of the control loop from the settings."""

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
from mothpass.core import prompt_suspects
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


class Dependencies(msgspec.Struct, frozen=True, kw_only=True):
    """What the control loop uses of the rest of the daemon.

    Attributes:
        router: Targets of the region with their loads.
        suspects: Crash suspects.
        suspected_parts: Parts of prompts that are crash suspects.
        catalogues: Replica of the catalogue.
        platform: Clients of the platform's services.
        read_load: Reads a target's load report.
        find_cold_start: Returns the cold start limits of a target, None if it
            has none.
        on_members: Called with each membership list that was read.
        on_tick: Called once per tick.
        on_loop_end: Called with the name of a loop that has ended by an error.
        random: Source of jitter.
    """

    router: routing.Router
    suspects: suspects.SuspectTable
    suspected_parts: prompt_suspects.PromptSuspectTable
    catalogues: catalogues.CatalogueReplica
    platform: platform.Platform
    read_load: targets.ReadLoad
    find_cold_start: abc.Callable[[str], catalogue.ColdStart | None]
    on_members: abc.Callable[[members.Members], None]
    on_tick: abc.Callable[[], None]
    on_loop_end: abc.Callable[[str], None]
    random: random_module.Random


class GateLoadForwarder:
    """Forwards load reports from the router to this daemon's gates."""

    __slots__ = ("_forwarded", "_gates", "_router")

    def __init__(
        self, *, gates: gate_table.GateTable, router: routing.Router
    ) -> None:
        """Starts with no report forwarded."""
        self._gates = gates
        self._router = router
        self._forwarded: dict[str, target_states.LoadRecord] = {}

    def forward_new_reports(self) -> None:
        """Forwards the reports received since the last call."""
        known = self._router.targets
        departed = self._forwarded.keys() - known.keys()
        if departed:
            self._gates.remove_targets(departed, now=time.monotonic())
            for target_id in departed:
                del self._forwarded[target_id]
        for target_id, target in known.items():
            record = target.latest_record
            if record is not None and record is not self._forwarded.get(
                target_id
            ):
                self._forwarded[target_id] = record
                self._gates.record_load(record)


class ControlPlane(msgspec.Struct, frozen=True, kw_only=True):
    """The control loop and what other components use of it.

    Attributes:
        loop: The control loop.
        permits: Requests permits from gates.
        traffic: Counts of messages and bytes exchanged with peers.
    """

    loop: control.ControlLoop
    permits: permits.PermitClient
    traffic: peer_transport.PeerTraffic


def build_control_plane(
    daemon_settings: settings.Settings, dependencies: Dependencies
) -> ControlPlane:
    """Builds the control loop without opening a connection."""
    own_id = daemon_settings.instance.id
    traffic = peer_transport.PeerTraffic()
    links = peer_links.LinkPool(
        key=daemon_settings.peers.key, traffic=traffic, monotonic=time.monotonic
    )
    gates = gate_table.GateTable(
        instance_id=own_id,
        find_start=dependencies.find_cold_start,
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
        peer_exchange.accept_batch(peer_messages.decode_batch(message))

    peer_exchange = exchange.PeerExchange(
        own_id=own_id,
        operators_address=daemon_settings.operators.address,
        digest_table=load_digests.LoadDigestTable(
            own_id=own_id, first_sequence=started_ms
        ),
        count_encoder=count_reports.CountReportEncoder(
            first_version=started_ms
        ),
        router=dependencies.router,
        suspects=dependencies.suspects,
        suspected_parts=dependencies.suspected_parts,
        catalogues=dependencies.catalogues,
        send_batch=send_batch,
        send_counts=send_counts,
        monotonic=time.monotonic,
    )
    datagrams = peer_datagrams.DatagramEndpoint(
        key=daemon_settings.peers.key,
        accept_counts=peer_exchange.accept_counts,
        accept_batch=accept_batch,
        traffic=traffic,
        wall_ms=_read_wall_ms,
    )
    dependencies.router.publish_now = peer_exchange.publish_counts
    load_forwarder = GateLoadForwarder(gates=gates, router=dependencies.router)

    def apply_members(listing: members.Members) -> None:
        peer_exchange.set_members(listing)
        datagrams.retain(listed.address for listed in listing.instances)
        dependencies.on_members(listing)

    def run_tick() -> None:
        load_forwarder.forward_new_reports()
        dependencies.on_tick()

    def find_link(daemon_id: str) -> peer_links.Link | None:
        address = peer_exchange.find_address(daemon_id)
        return None if address is None else links.get(address)

    loop_components = control.Components(
        catalogues=dependencies.catalogues,
        datagrams=datagrams,
        exchange=peer_exchange,
        gates=gates,
        leasing=leasing.LeaseManager(
            gates=gates,
            store=dependencies.platform.store,
            monotonic=time.monotonic,
        ),
        links=links,
        loads=loads.LoadReader(
            own_id=own_id,
            router=dependencies.router,
            read=dependencies.read_load,
            poll_s=daemon_settings.targets.load_poll_ms / 1000,
            monotonic=time.monotonic,
            random=dependencies.random,
        ),
        membership=_build_membership(
            daemon_settings, dependencies, apply_members
        ),
        router=dependencies.router,
        traffic=traffic,
    )
    return ControlPlane(
        loop=control.ControlLoop(
            components=loop_components,
            address=daemon_settings.peers.address,
            key=daemon_settings.peers.key,
            tick_s=daemon_settings.peers.tick_ms / 1000,
            on_tick=run_tick,
            on_loop_end=dependencies.on_loop_end,
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
    daemon_settings: settings.Settings,
    dependencies: Dependencies,
    on_members: abc.Callable[[members.Members], None],
) -> membership.Membership:
    instance = daemon_settings.instance
    return membership.Membership(
        instance=members.Instance(
            id=instance.id,
            role=members.Role.DAEMON,
            state=members.State.LIVE,
            address=daemon_settings.peers.address,
            availability_zone=instance.availability_zone,
        ),
        read=dependencies.platform.read_members,
        send=dependencies.platform.send_heartbeat,
        remove=dependencies.platform.remove_instance,
        on_members=on_members,
        monotonic=time.monotonic,
        random=dependencies.random,
    )
