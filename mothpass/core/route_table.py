"""Finds the route of a request by its host and its path."""

from collections import abc
import enum

import msgspec
import xxhash


class Kind(enum.StrEnum):
    """What may be repeated, and how the answer comes."""

    STREAM = "stream"
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


class TrafficShare(msgspec.Struct, frozen=True, kw_only=True):
    """A service's part of the requests of a route.

    Attributes:
        service: Name of the service.
        weight: Part relative to the other shares of the route.
    """

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Where requests go whose path begins with a prefix.

    Attributes:
        name: Name, for logs and metrics.
        host: Host name in lower case.
        prefix: Beginning of the path, with a slash at both ends.
        kind: What may be repeated.
        shares: Services that take the requests; at least one.
        timeout_s: Longest time that a client is kept waiting.
        latency_target_s: Time within which an answer is worth most.
        priority: 0 is the most urgent.
        max_attempts: Targets that one request may be run by.
        needs_key: Whether the client must show the key of a team.
        is_resumable: Whether a broken stream may go on at another target.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    shares: tuple[TrafficShare, ...]
    timeout_s: float
    latency_target_s: float
    priority: int
    max_attempts: int
    needs_key: bool
    is_resumable: bool

    @property
    def is_retryable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is Kind.STREAM:
            return self.is_resumable
        return self.kind is Kind.IDEMPOTENT

    def pick_service(self, key: bytes) -> str:
        """Returns the service for a key, by the weights of the shares."""
        if len(self.shares) == 1:
            return self.shares[0].service
        total = sum(share.weight for share in self.shares)
        place = xxhash.xxh3_64_intdigest(key) / 2**64 * total
        for share in self.shares:
            place -= share.weight
            if place < 0:
                return share.service
        return self.shares[-1].service


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """Targets that do the same work.

    Attributes:
        name: Name of the service.
        max_connections: Connections that a target bears from all callers.
        cold_start_s: Time for which a target is cold after its start.
        cold_per_s: Requests a second that a cold target bears; 0 means no
            bound.
        can_fetch: Whether a target can fetch prompt memory from another.
    """

    name: str
    max_connections: int
    cold_start_s: float
    cold_per_s: float
    can_fetch: bool


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What a client may send, and how long it may take.

    Attributes:
        header_bytes: Most bytes of a request's head.
        body_bytes: Most bytes of a body.
        header_timeout_s: Time for a head to arrive whole.
        idle_timeout_s: Time that a connection may stay without a request.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Team(msgspec.Struct, frozen=True, kw_only=True):
    """A team as its key shows it.

    Attributes:
        name: Name as targets are told it.
        priority: Goes before the priority of a route; None for none.
    """

    name: str
    priority: int | None


class RouteTable(msgspec.Struct, frozen=True, kw_only=True):
    """One version of what operators have put in force.

    Attributes:
        version: Grows with each change.
        routes: Routes by host and prefix.
        services: Services by name.
        teams: Teams by key.
        limits: Limits on requests.
    """

    version: int
    routes: dict[tuple[str, str], Route]
    services: dict[str, Service]
    teams: dict[str, Team]
    limits: RequestLimits

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route of the longest prefix that begins the path.

        Args:
            host: Host name in lower case, without a port.
            path: Path without a query.
        """
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self.routes.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None

    def find_team(self, key: str | None) -> Team | None:
        """Returns the team that holds a key, None for an unknown key."""
        return None if key is None else self.teams.get(key)


def index_routes(
    routes: abc.Iterable[Route],
) -> dict[tuple[str, str], Route]:
    """Returns routes by host and prefix; the first of equals counts."""
    indexed: dict[tuple[str, str], Route] = {}
    for route in routes:
        indexed.setdefault((route.host, route.prefix), route)
    return indexed
