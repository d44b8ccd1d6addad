"""Decodes the operator's document into a route table."""

import msgspec

from mothpass.core import decoding
from mothpass.core import errors
from mothpass.core import route_table

# Table and key of the operator's document in the store.
TABLE = "op"
DOCUMENT_KEY = "config"
# Prefix of the keys that close an availability zone, which the platform calls
# evacuated.
EVACUATION_PREFIX = "evacuate/"

# Defaults of a route: the longest times of the deployments.
_DEFAULT_TIMEOUT_MS = 30_000.0
_DEFAULT_LATENCY_MS = 1000.0


class _Split(msgspec.Struct, kw_only=True):
    """A service's share of a route's traffic."""

    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, kw_only=True, rename="camel"):
    """A route in the operator's document."""

    name: str
    host: str
    prefix: str
    kind: str = "non_idempotent"
    timeout_ms: float = _DEFAULT_TIMEOUT_MS
    target_latency_ms: float = _DEFAULT_LATENCY_MS
    priority: int = 0
    service: str | None = None
    traffic_split: list[_Split] = []
    max_attempts: int = 1
    auth_exempt: bool = False
    stream_resume: bool = False


class _Engine(msgspec.Struct, kw_only=True, rename="camel"):
    """Attributes of a service's engines."""

    link_mbps: float = 0.0


class _Service(msgspec.Struct, kw_only=True, rename="camel"):
    """A service in the operator's document."""

    name: str
    max_conns: int = 100
    # The wire names end in a capital S, which `rename` doesn't produce.
    cold_start_s: float = msgspec.field(name="coldStartS", default=0.0)
    cold_per_s: float = msgspec.field(name="coldPerS", default=0.0)
    engine: _Engine | None = None


class _Limits(msgspec.Struct, kw_only=True, rename="camel"):
    """Limits of requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(msgspec.Struct, kw_only=True, rename="camel"):
    """A team and its API keys."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Document(msgspec.Struct, kw_only=True):
    """The operator's document."""

    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


_KINDS = {
    "stream": route_table.Kind.STREAM,
    "idempotent": route_table.Kind.IDEMPOTENT,
    "safe": route_table.Kind.IDEMPOTENT,
}


def decode_document(raw: bytes) -> route_table.RouteTable:
    """Decodes the operator's document into a route table.

    Raises:
        errors.MalformedInputError: If the document is invalid.
    """
    document = decoding.decode_json(raw, _Document)
    has_teams = document.tenants is not None
    teams = {
        key: route_table.Team(name=tenant.name, priority=tenant.priority)
        for tenant in document.tenants or []
        for key in tenant.api_keys
    }
    return route_table.RouteTable(
        version=document.version,
        routes=route_table.index_routes(
            _convert_route(route, has_teams) for route in document.routes
        ),
        services={
            item.name: _convert_service(item) for item in document.services
        },
        teams=teams,
        limits=_convert_limits(document),
    )


class _DocumentVersion(msgspec.Struct, kw_only=True):
    """The part of the operator's document that orders it."""

    version: int


def compare_values(key: str, first: bytes, second: bytes) -> int:
    """Compares documents by their versions; see ``replicas.CompareValues``."""
    if key != DOCUMENT_KEY:
        return 0
    try:
        versions = [
            decoding.decode_json(raw, _DocumentVersion).version
            for raw in (first, second)
        ]
    except errors.MalformedInputError:
        return 0
    return versions[0] - versions[1]


def _convert_route(route: _Route, has_teams: bool) -> route_table.Route:
    shares = [
        route_table.TrafficShare(service=item.service, weight=item.weight)
        for item in route.traffic_split
        if item.weight > 0
    ]
    if not shares and route.service is not None:
        shares = [route_table.TrafficShare(service=route.service, weight=1.0)]
    return route_table.Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        # A kind that isn't known to be idempotent must not be retried.
        kind=_KINDS.get(route.kind, route_table.Kind.NON_IDEMPOTENT),
        shares=tuple(shares),
        timeout_s=route.timeout_ms / 1000,
        latency_target_s=route.target_latency_ms / 1000,
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        needs_api_key=has_teams and not route.auth_exempt,
        is_resumable=route.stream_resume,
    )


def _convert_service(service: _Service) -> route_table.Service:
    engine = service.engine
    return route_table.Service(
        name=service.name,
        max_connections=service.max_conns,
        cold_start_s=service.cold_start_s,
        cold_per_s=service.cold_per_s,
        can_fetch=engine is not None and engine.link_mbps > 0,
    )


def _convert_limits(document: _Document) -> route_table.RequestLimits:
    limits = document.limits
    converted = route_table.RequestLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_timeout_s=limits.header_timeout_ms / 1000,
        idle_timeout_s=limits.idle_timeout_ms / 1000,
    )
    if not document.routes:
        return converted
    # A request that takes longer to arrive is answered by no route.
    longest_ms = max(route.timeout_ms for route in document.routes)
    return msgspec.structs.replace(converted, body_timeout_s=longest_ms / 1000)
