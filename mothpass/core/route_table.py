"""Route table: finds the route of a request by its host and path."""

from collections import abc
import enum

import msgspec
import xxhash


class Kind(enum.StrEnum):
    """Kind of a route.

    Determines whether requests are retried and whether answers are streamed.
    """

    STREAM = "stream"
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


class TrafficShare(msgspec.Struct, frozen=True, kw_only=True):
    """Share of a route's requests that a service gets.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the other shares of the route.
    """

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Route of the requests whose path begins with a prefix.

    Attributes:
        name: Name in logs and metrics.
        host: Host name in lower case.
        prefix: Path prefix, with a slash at both ends.
        kind: Whether requests may be retried, and how they are answered.
        shares: Services that get the requests; at least one.
        timeout_s: Maximum time until the final answer.
        latency_target_s: Time within which an answer has its full value.
        priority: 0 is the most urgent.
        max_attempts: Maximum number of targets that may run one request.
        needs_api_key: Whether the client must send the API key of a team.
        is_resumable: Whether a broken stream may be resumed at another
            target.
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
    needs_api_key: bool
    is_resumable: bool

    @property
    def is_retryable(self) -> bool:
        """Whether a request may be run more than once."""
        if self.kind is Kind.STREAM:
            return self.is_resumable
        return self.kind is Kind.IDEMPOTENT

    def pick_service(self, key: bytes) -> str:
        """Picks the service for a key by the weights of the shares."""
        if len(self.shares) == 1:
            return self.shares[0].service
        total = sum(share.weight for share in self.shares)
        point = xxhash.xxh3_64_intdigest(key) / 2**64 * total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """Service that a group of targets serves.

    Attributes:
        name: Name of the service.
        max_connections: Maximum number of connections to a target from all
            that call it.
        cold_start_s: Time for which a target is cold after its start.
        cold_per_s: Maximum number of requests per second to a cold target; 0
            means no maximum.
        can_fetch: Whether a target can fetch cached prompts from another.
    """

    name: str
    max_connections: int
    cold_start_s: float
    cold_per_s: float
    can_fetch: bool


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the size and the time of a client's requests.

    Attributes:
        header_bytes: Maximum size of the request line and headers.
        body_bytes: Maximum size of a body.
        header_timeout_s: Maximum time until the headers have arrived.
        idle_timeout_s: Maximum time of a connection without a request, and of
            a body without a byte.
        body_timeout_s: Maximum time until the body has arrived.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
    body_timeout_s: float = 30.0


class Team(msgspec.Struct, frozen=True, kw_only=True):
    """Team that an API key belongs to.

    Attributes:
        name: Name that is sent to targets.
        priority: Overrides the priority of a route; None if there is none.
    """

    name: str
    priority: int | None


class RouteTable(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the routes that operators have put in force.

    Attributes:
        version: Number that increases with each change.
        routes: Routes by host and prefix.
        services: Services by name.
        teams: Teams by API key.
        limits: Limits on clients' requests.
    """

    version: int
    routes: dict[tuple[str, str], Route]
    services: dict[str, Service]
    teams: dict[str, Team]
    limits: RequestLimits

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path, None if none.

        Args:
            host: Host name in lower case, without a port.
            path: Path without the query.
        """
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self.routes.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None

    def find_team(self, api_key: str | None) -> Team | None:
        """Returns the team of an API key, None if the key is unknown."""
        return None if api_key is None else self.teams.get(api_key)


def index_routes(
    routes: abc.Iterable[Route],
) -> dict[tuple[str, str], Route]:
    """Returns routes by host and prefix; the first of equal ones wins."""
    indexed: dict[tuple[str, str], Route] = {}
    for route in routes:
        indexed.setdefault((route.host, route.prefix), route)
    return indexed
