"""Fills the status page of this daemon."""

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

HEARD_TICKS = 10


class FleetDaemon(msgspec.Struct, frozen=True, kw_only=True):
    """One daemon of the region.

    Attributes:
        id: Instance id.
        address: Its listener for operators, empty where it isn't known.
        availability_zone: Its zone.
        state: Its state in the membership list; of this daemon, its own.
    """

    id: str
    address: str
    availability_zone: str
    state: str


class Fleet(msgspec.Struct, frozen=True, kw_only=True):
    """The daemons of the region."""

    daemons: list[FleetDaemon]


class Parts(msgspec.Struct, frozen=True, kw_only=True):
    """What the page is filled from.

    Attributes:
        instance: Who this daemon is.
        operators_address: This daemon's listener for operators.
        state: State of the daemon towards callers.
        catalogues: The catalogue in force.
        router: What is known of targets.
        suspects: Requests that crash targets.
        telemetry: Counts and histograms.
        placement: Where calls wait.
        control: The control loop.
        cost: What control costs.
        clock: Monotonic seconds.
        started_at: Monotonic seconds at which the daemon started.
    """

    instance: settings.Instance
    operators_address: str
    state: callers.ServingState
    catalogues: catalogues.CatalogueReplica
    router: routing.Router
    suspects: suspects.Suspects
    telemetry: telemetry.Telemetry
    placement: placement.Placement
    control: control.Control
    cost: control_cost.ControlCost
    clock: clock.Monotonic
    started_at: float


def build_page(parts: Parts) -> status_page.StatusPage:
    """Returns the page as it stands now."""
    now = parts.clock()
    revision = parts.catalogues.revision
    return status_page.StatusPage(
        id=parts.instance.id,
        region=parts.instance.region,
        availability_zone=parts.instance.availability_zone,
        slot=parts.instance.slot,
        state=_name_state(parts.state),
        uptime_s=round(now - parts.started_at, 3),
        catalogue=status_page.CatalogueStatus(
            version=parts.catalogues.version,
            digest="" if revision is None else revision.digest,
        ),
        availability_zones=_list_zones(parts),
        targets=_list_targets(parts, now),
        teams=_list_teams(parts),
        classes=parts.telemetry.list_classes(),
        control=_show_control(parts, now),
        suspects=_list_suspects(parts, now),
    )


def build_fleet(parts: Parts) -> Fleet:
    """Returns the daemons of the region as far as known."""
    heard = {
        item.id: item for item in parts.control.parts.exchange.list_peers()
    }
    own = FleetDaemon(
        id=parts.instance.id,
        address=parts.operators_address,
        availability_zone=parts.instance.availability_zone,
        state=_name_state(parts.state),
    )
    listing = parts.control.parts.membership.listing
    found = [own]
    for item in [] if listing is None else listing.instances:
        if item.role is members.Role.DAEMON and item.id != own.id:
            peer = heard.get(item.id)
            found.append(
                FleetDaemon(
                    id=item.id,
                    address="" if peer is None else peer.operators_address,
                    availability_zone=item.availability_zone,
                    state=item.state.value,
                )
            )
    return Fleet(daemons=sorted(found, key=lambda item: item.id))


def _show_control(parts: Parts, now: float) -> status_page.ControlStatus:
    shown = parts.cost.show(now)
    peers = [x for x in parts.router.daemons if x != parts.instance.id]
    shown.peers_known = len(peers)
    shown.peers_heard = parts.control.count_peers_heard(ticks=HEARD_TICKS)
    return shown


def _name_state(state: callers.ServingState) -> str:
    if state.leaving:
        return "leaving"
    return "ready" if state.ready else "starting"


def _list_teams(parts: Parts) -> list[status_page.TrafficStatus]:
    teams = parts.telemetry.list_teams()
    for team in teams:
        team.queued = parts.placement.count_queued(team.name)
    return teams


def _list_zones(parts: Parts) -> list[status_page.ZoneStatus]:
    revision = parts.catalogues.revision
    if revision is None:
        return []
    zones = [
        item.instance.availability_zone
        for item in parts.router.targets.values()
    ]
    return [
        status_page.ZoneStatus(
            name=zone.name, out=zone.out, targets=zones.count(zone.name)
        )
        for zone in revision.catalogue.availability_zones
    ]


def _list_targets(parts: Parts, now: float) -> list[status_page.TargetStatus]:
    out = _find_out(parts)
    return [
        _show_target(parts, target, out, now)
        for _, target in sorted(parts.router.targets.items())
    ]


def _find_out(parts: Parts) -> set[str]:
    """Returns the ids of the targets that operators have taken out."""
    revision = parts.catalogues.revision
    if revision is None:
        return set()
    entries = revision.catalogue
    zones = {zone.name for zone in entries.availability_zones if zone.out}
    return {
        target.id
        for target in parts.router.targets.values()
        if target.id in entries.instances_out
        or target.instance.availability_zone in zones
    }


def _show_target(
    parts: Parts, target: targets.Target, out: set[str], now: float
) -> status_page.TargetStatus:
    instance = target.instance
    record = target.record
    phase = targets_port.Phase.COLD
    if target.is_leaving():
        phase = targets_port.Phase.LEAVING
    elif not target.is_cold():
        phase = targets_port.Phase.WARM
    age_ms = None if record is None else (now - record.measured_at) * 1000
    gate = parts.control.parts.gates.find_gate(target.id)
    return status_page.TargetStatus(
        id=target.id,
        role=instance.role.value,
        availability_zone=instance.availability_zone,
        serves=instance.serves,
        state=instance.state.value,
        phase=phase.value,
        out=target.id in out,
        boot_id=target.boot_id,
        load=target.load,
        bound=sum(parts.router.bound(name) for name in instance.serves[:1]),
        own=target.own,
        gate=None if gate is None else parts.instance.id,
        gate_fencing=0 if gate is None else gate.fencing,
        cold_allowance=gate.ramp.bears if gate and target.is_cold() else None,
        report_age_ms=None if age_ms is None else round(age_ms, 1),
    )


def _list_suspects(parts: Parts, now: float) -> list[status_page.SuspectStatus]:
    records = parts.suspects.export(changed_since=float("-inf"), now=now)
    return [
        status_page.SuspectStatus(
            fingerprint=f"{record.fingerprint:016x}",
            deaths=len(set(record.boots) - set(record.forgiven)),
            quarantined=parts.suspects.is_quarantined(
                record.fingerprint, now=now
            ),
        )
        for record in records
        if set(record.boots) - set(record.forgiven)
    ]
