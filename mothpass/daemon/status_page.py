"""The status page of one daemon as typed structs, as JSON shows them.

The daemon fills these structs and `mothpassctl status` reads them, so the two
can't differ. Every field has a default: a page of an older or newer daemon
still decodes.
"""

import msgspec


class Quantiles(msgspec.Struct, kw_only=True):
    """A summary of one histogram since the daemon started.

    Attributes:
        count: Values recorded.
        p50_ms: Median in milliseconds.
        p95_ms: 95th percentile in milliseconds.
        p99_ms: 99th percentile in milliseconds.
        max_ms: Largest value in milliseconds.
    """

    count: int = 0
    p50_ms: float = 0.0
    p95_ms: float = 0.0
    p99_ms: float = 0.0
    max_ms: float = 0.0


class TargetStatus(msgspec.Struct, kw_only=True):
    """One target as this daemon sees it.

    Attributes:
        id: Instance id.
        role: ``engine`` or ``service``.
        availability_zone: Its zone.
        serves: Models or services that it serves.
        state: ``live`` or ``leaving`` in the membership list.
        phase: ``cold``, ``warm`` or ``leaving`` as the daemon sees it.
        out: Whether operators have taken it or its zone out.
        boot_id: Boot id last seen, empty where none was.
        load: Calls in flight over the fleet, as far as known.
        bound: Calls in flight that it may carry now.
        own: Calls in flight from this daemon.
        cold_allowance: Calls in flight that a cold target bears now; None
            for a warm one.
        gate: Id of the daemon that is its gate, None where none is known.
        gate_fencing: Fencing number of that gate, 0 where none is known.
        report_age_ms: Age of the last load report, None where none came.
    """

    id: str = ""
    role: str = ""
    availability_zone: str = ""
    serves: list[str] = []
    state: str = ""
    phase: str = ""
    out: bool = False
    boot_id: str = ""
    load: int = 0
    bound: int = 0
    own: int = 0
    cold_allowance: int | None = None
    gate: str | None = None
    gate_fencing: int = 0
    report_age_ms: float | None = None


class TrafficStatus(msgspec.Struct, kw_only=True):
    """Traffic of one team or one class through this daemon.

    Attributes:
        name: Team or class.
        requests: Requests taken since start.
        complete: Whole answers among them.
        refused: Refusals among them.
        in_flight: Requests that run now.
        queued: Requests that wait now.
        first_token: Time to the first event of a model's answer.
        whole: Time to the end of a whole answer.
        added: Time that the daemon itself added.
    """

    name: str = ""
    requests: int = 0
    complete: int = 0
    refused: int = 0
    in_flight: int = 0
    queued: int = 0
    first_token: Quantiles = msgspec.field(default_factory=Quantiles)
    whole: Quantiles = msgspec.field(default_factory=Quantiles)
    added: Quantiles = msgspec.field(default_factory=Quantiles)


class ZoneStatus(msgspec.Struct, kw_only=True):
    """One availability zone of the catalogue.

    Attributes:
        name: Name of the zone.
        out: Whether operators have taken it out.
        targets: Targets of the zone in the membership list.
    """

    name: str = ""
    out: bool = False
    targets: int = 0


class CatalogueStatus(msgspec.Struct, kw_only=True):
    """The catalogue in force on this daemon.

    Attributes:
        version: Version in force, 0 where none is.
        digest: Digest of that version, empty where none is in force.
        confirmed_age_ms: Time since the store or a peer last confirmed it,
            None where neither has.
    """

    version: int = 0
    digest: str = ""
    confirmed_age_ms: float | None = None


class ControlStatus(msgspec.Struct, kw_only=True):
    """What control costs this daemon.

    Attributes:
        bytes_per_s: Bytes sent and received for control, each second, over
            the last minute.
        messages_per_s: Messages of the same.
        processor_share: Share of one core spent on control, 0 to 1; None
            where it isn't measured.
        store_reads_per_s: Reads of the platform's store, each second.
        store_writes_per_s: Writes of the same.
        store_up: Whether the last call of the store was answered; None
            before the first.
        peers_known: Other daemons in the membership list.
        peers_heard: Other daemons heard of within the last ten ticks.
    """

    bytes_per_s: float = 0.0
    messages_per_s: float = 0.0
    processor_share: float | None = None
    store_reads_per_s: float = 0.0
    store_writes_per_s: float = 0.0
    store_up: bool | None = None
    peers_known: int = 0
    peers_heard: int = 0


class SuspectStatus(msgspec.Struct, kw_only=True):
    """One request that is suspected of killing targets.

    Attributes:
        fingerprint: Fingerprint in hex.
        deaths: Targets that died with it in flight.
        quarantined: Whether it is refused now.
    """

    fingerprint: str = ""
    deaths: int = 0
    quarantined: bool = False


class StatusPage(msgspec.Struct, kw_only=True):
    """All that one daemon says of itself and of what it sees.

    Attributes:
        id: Id of the daemon.
        region: Region that it serves.
        availability_zone: Its zone.
        slot: Its slot.
        state: ``starting``, ``ready`` or ``leaving``.
        uptime_s: Seconds since its start.
        catalogue: The catalogue in force.
        availability_zones: Zones of the catalogue.
        targets: Targets of the region.
        teams: Traffic by team, those with requests only.
        classes: Traffic by class, those with requests only.
        control: Cost of control.
        suspects: Requests that are suspected of killing targets.
    """

    id: str = ""
    region: str = ""
    availability_zone: str = ""
    slot: int = 0
    state: str = ""
    uptime_s: float = 0.0
    catalogue: CatalogueStatus = msgspec.field(default_factory=CatalogueStatus)
    availability_zones: list[ZoneStatus] = []
    targets: list[TargetStatus] = []
    teams: list[TrafficStatus] = []
    classes: list[TrafficStatus] = []
    control: ControlStatus = msgspec.field(default_factory=ControlStatus)
    suspects: list[SuspectStatus] = []
