"""Builds the status page of this daemon."""

import msgspec

from mothpass.core import routing
from mothpass.core import suspects
from mothpass.core import targets
from mothpass.daemon import callers
from mothpass.daemon import catalogues
from mothpass.daemon import control
from mothpass.daemon import control_cost
from mothpass.daemon import placement
from mothpass.daemon import settings
from mothpass.daemon import status_page
from mothpass.daemon import telemetry
from mothpass.ports import clock
from mothpass.ports import members
from mothpass.ports import targets as targets_port

MAX_PEER_SILENCE_TICKS = 10


class FleetDaemon(msgspec.Struct, frozen=True, kw_only=True):
    """One daemon of the region.

    Attributes:
        id: Instance id.
        address: Address of its listener for operators; empty if unknown.
        availability_zone: Its zone.
        state: Its state in the membership list; for this daemon, its serving
            state.
    """

    id: str
    address: str
    availability_zone: str
    state: str


class Fleet(msgspec.Struct, frozen=True, kw_only=True):
    """The daemons of the region."""

    daemons: list[FleetDaemon]


class Dependencies(msgspec.Struct, frozen=True, kw_only=True):
    """The components that the page reads.

    Attributes:
        instance: Identity of this daemon.
        operators_address: Address of this daemon's listener for operators.
        state: Serving state that clients see.
        catalogues: Replica of the catalogue.
        router: Targets of the region with their loads.
        suspects: Crash suspects.
        telemetry: Counts and histograms.
        placement: Holds the request queues.
        control_loop: The control loop.
        control_cost: Cost of control traffic and store calls.
        clock: Monotonic clock, in seconds.
        started_at: Monotonic time in seconds at which the daemon started.
    """

    instance: settings.Instance
    operators_address: str
    state: callers.ServingState
    catalogues: catalogues.CatalogueReplica
    router: routing.Router
    suspects: suspects.SuspectTable
    telemetry: telemetry.Telemetry
    placement: placement.Placement
    control_loop: control.ControlLoop
    control_cost: control_cost.ControlCost
    clock: clock.Monotonic
    started_at: float


def build_page(dependencies: Dependencies) -> status_page.StatusPage:
    """Returns the current status page."""
    now = dependencies.clock()
    revision = dependencies.catalogues.revision
    return status_page.StatusPage(
        id=dependencies.instance.id,
        region=dependencies.instance.region,
        availability_zone=dependencies.instance.availability_zone,
        slot=dependencies.instance.slot,
        state=_describe_state(dependencies.state),
        uptime_s=round(now - dependencies.started_at, 3),
        catalogue=status_page.CatalogueStatus(
            version=dependencies.catalogues.version,
            digest="" if revision is None else revision.digest,
        ),
        availability_zones=_list_zones(dependencies),
        targets=_list_targets(dependencies, now),
        teams=_list_teams(dependencies),
        classes=dependencies.telemetry.list_classes(),
        control=_build_control_status(dependencies, now),
        suspects=_list_suspects(dependencies, now),
    )


def build_fleet(dependencies: Dependencies) -> Fleet:
    """Returns the known daemons of the region, sorted by id."""
    peers_by_id = {
        item.id: item
        for item in dependencies.control_loop.components.exchange.list_peers()
    }
    own = FleetDaemon(
        id=dependencies.instance.id,
        address=dependencies.operators_address,
        availability_zone=dependencies.instance.availability_zone,
        state=_describe_state(dependencies.state),
    )
    listing = dependencies.control_loop.components.membership.listing
    fleet = [own]
    for item in [] if listing is None else listing.instances:
        if item.role is members.Role.DAEMON and item.id != own.id:
            peer = peers_by_id.get(item.id)
            fleet.append(
                FleetDaemon(
                    id=item.id,
                    address="" if peer is None else peer.operators_address,
                    availability_zone=item.availability_zone,
                    state=item.state.value,
                )
            )
    return Fleet(daemons=sorted(fleet, key=lambda item: item.id))


def _build_control_status(
    dependencies: Dependencies, now: float
) -> status_page.ControlStatus:
    control_status = dependencies.control_cost.compute_rates(now)
    peers = [
        x for x in dependencies.router.daemons if x != dependencies.instance.id
    ]
    control_status.peers_known = len(peers)
    control_status.peers_heard = dependencies.control_loop.count_active_peers(
        ticks=MAX_PEER_SILENCE_TICKS
    )
    return control_status


def _describe_state(state: callers.ServingState) -> str:
    if state.leaving:
        return "leaving"
    return "ready" if state.ready else "starting"


def _list_teams(dependencies: Dependencies) -> list[status_page.TrafficStatus]:
    teams = dependencies.telemetry.list_teams()
    for team in teams:
        team.queued = dependencies.placement.count_queued(team.name)
    return teams


def _list_zones(dependencies: Dependencies) -> list[status_page.ZoneStatus]:
    revision = dependencies.catalogues.revision
    if revision is None:
        return []
    zones = [
        item.instance.availability_zone
        for item in dependencies.router.targets.values()
    ]
    return [
        status_page.ZoneStatus(
            name=zone.name, out=zone.out, targets=zones.count(zone.name)
        )
        for zone in revision.catalogue.availability_zones
    ]


def _list_targets(
    dependencies: Dependencies, now: float
) -> list[status_page.TargetStatus]:
    taken_out = _list_taken_out(dependencies)
    return [
        _build_target_status(dependencies, target, taken_out, now)
        for _, target in sorted(dependencies.router.targets.items())
    ]


def _list_taken_out(dependencies: Dependencies) -> set[str]:
    """Returns the ids of the targets that operators took out of service."""
    revision = dependencies.catalogues.revision
    if revision is None:
        return set()
    entries = revision.catalogue
    zones = {zone.name for zone in entries.availability_zones if zone.out}
    return {
        target.id
        for target in dependencies.router.targets.values()
        if target.id in entries.instances_out
        or target.instance.availability_zone in zones
    }


def _build_target_status(
    dependencies: Dependencies,
    target: targets.Target,
    taken_out: set[str],
    now: float,
) -> status_page.TargetStatus:
    instance = target.instance
    record = target.latest_record
    phase = targets_port.Phase.COLD
    if target.is_leaving():
        phase = targets_port.Phase.LEAVING
    elif not target.is_cold():
        phase = targets_port.Phase.WARM
    age_ms = None if record is None else (now - record.measured_at) * 1000
    gate = dependencies.control_loop.components.gates.find_gate(target.id)
    return status_page.TargetStatus(
        id=target.id,
        role=instance.role.value,
        availability_zone=instance.availability_zone,
        serves=instance.serves,
        state=instance.state.value,
        phase=phase.value,
        out=target.id in taken_out,
        boot_id=target.boot_id,
        load=target.load,
        bound=sum(
            dependencies.router.find_skew_bound(name)
            for name in instance.serves[:1]
        ),
        own=target.own_in_flight,
        gate=None if gate is None else dependencies.instance.id,
        gate_fencing=0 if gate is None else gate.fencing,
        cold_allowance=gate.ramp.max_in_flight
        if gate and target.is_cold()
        else None,
        report_age_ms=None if age_ms is None else round(age_ms, 1),
    )


def _list_suspects(
    dependencies: Dependencies, now: float
) -> list[status_page.SuspectStatus]:
    records = dependencies.suspects.export(changed_since=float("-inf"), now=now)
    return [
        status_page.SuspectStatus(
            fingerprint=f"{record.fingerprint:016x}",
            deaths=len(set(record.boots) - set(record.forgiven)),
            quarantined=dependencies.suspects.is_quarantined(
                record.fingerprint, now=now
            ),
        )
        for record in records
        if set(record.boots) - set(record.forgiven)
    ]
