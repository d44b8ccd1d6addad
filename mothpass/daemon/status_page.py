"""Structs of a daemon's status page, which is encoded as JSON.

The daemon encodes these structs and `mothpassctl status` decodes them, so that
both use one format. Every field has a default, so that a page of an older or
newer daemon still decodes.
"""

import msgspec


class Quantiles(msgspec.Struct, kw_only=True):
    """Quantiles of one histogram since the daemon started.

    Attributes:
        count: Number of recorded values.
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
        serves: Names of the models or services that it serves.
        state: ``live`` or ``leaving`` in the membership list.
        phase: ``cold``, ``warm`` or ``leaving`` as this daemon sees it.
        out: Whether operators took it or its zone out of service.
        boot_id: Latest boot id; empty if none is known.
        load: Known requests in flight from all daemons.
        bound: Upper bound of its requests in flight.
        own: Requests in flight from this daemon.
        cold_allowance: Upper bound of requests in flight while it is cold;
            None for a warm target.
        gate: Id of the daemon that holds its gate; None if unknown.
        gate_fencing: Fencing token of that gate; 0 if unknown.
        report_age_ms: Age of the last load report; None if there is none.
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
        requests: Requests received since the daemon started.
        complete: Those with a complete answer.
        refused: Those that ended with an error code.
        in_flight: Requests in flight.
        queued: Queued requests.
        first_token: Time to the first event of a model's answer.
        whole: Time to the end of a complete answer.
        added: Latency added by the daemon itself.
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
        out: Whether operators took it out of service.
        targets: Targets of the zone in the membership list.
    """

    name: str = ""
    out: bool = False
    targets: int = 0


class CatalogueStatus(msgspec.Struct, kw_only=True):
    """The catalogue in force on this daemon.

    Attributes:
        version: Version in force; 0 if none.
        digest: Digest of that version; empty if none is in force.
        confirmed_age_ms: Time since the store or a peer last confirmed it;
            None if neither has.
    """

    version: int = 0
    digest: str = ""
    confirmed_age_ms: float | None = None


class ControlStatus(msgspec.Struct, kw_only=True):
    """Cost of control traffic and store calls on this daemon.

    Attributes:
        bytes_per_s: Control bytes sent and received per second over the last
            minute.
        messages_per_s: Control messages sent and received per second over
            the last minute.
        processor_share: Share of one core spent on control, 0 to 1; None if
            it isn't measured.
        store_reads_per_s: Reads of the platform's store per second.
        store_writes_per_s: Writes to the platform's store per second.
        store_up: Whether the store answered the last call; None before the
            first.
        peers_known: Other daemons in the membership list.
        peers_heard: Peers that sent a batch within the last ten ticks.
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
    """One crash suspect: a request suspected of crashing targets.

    Attributes:
        fingerprint: Fingerprint in hex.
        deaths: Target crashes with it in flight.
        quarantined: Whether it is rejected now.
    """

    fingerprint: str = ""
    deaths: int = 0
    quarantined: bool = False


class StatusPage(msgspec.Struct, kw_only=True):
    """Status of one daemon and of the targets and traffic that it sees.

    Attributes:
        id: Id of the daemon.
        region: Region that it serves.
        availability_zone: Its zone.
        slot: Its slot in the fleet of the region.
        state: ``starting``, ``ready`` or ``leaving``.
        uptime_s: Seconds since its start.
        catalogue: The catalogue in force.
        availability_zones: Zones of the catalogue.
        targets: Targets of the region.
        teams: Traffic of each team that has sent requests.
        classes: Traffic of each service class that has had requests.
        control: Cost of control traffic and store calls.
        suspects: Crash suspects.
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
