"""Finds what decides on a request before it is sent anywhere."""

import asyncio
from collections import abc

import msgspec

from mothpass.core import errors
from mothpass.core import prompts
from mothpass.core import results
from mothpass.core import route_table
from mothpass.core import suspects
from mothpass.ports import relay

# A request that crashes targets isn't welcome soon.
QUARANTINE_RETRY_MS = 30_000
# A daemon has read the routes within a second of its start.
NO_ROUTES_RETRY_MS = 800
MOST_URGENCY = 9


class Admitted(msgspec.Struct, frozen=True, kw_only=True):
    """A request that may be sent to targets.

    Attributes:
        request: The request.
        route: Its route.
        service: Its service.
        team: Team of its key, None where the route needs none.
        prompt_key: Key of its prompt, None where it shares none.
        fingerprint: Names requests with the same content and client.
        version: Version of the routes that decided.
        deadline: Monotonic seconds at which its final answer is due.
    """

    request: relay.Request
    route: route_table.Route
    service: route_table.Service
    team: route_table.Team | None
    prompt_key: str | None
    fingerprint: int
    version: int
    deadline: float

    @property
    def urgency(self) -> int:
        """0 is the most urgent."""
        priority = self.route.priority
        if self.team is not None and self.team.priority is not None:
            priority = self.team.priority
        return max(0, min(MOST_URGENCY, priority))


class Admission:
    """Admits requests by the routes in force."""

    __slots__ = ("_find_routes", "_suspicions")

    def __init__(
        self,
        *,
        find_routes: abc.Callable[[], route_table.RouteTable | None],
        suspicions: suspects.SuspectTable,
    ) -> None:
        """Keeps its parts.

        Args:
            find_routes: Returns the routes in force, None before any.
            suspicions: Requests that are suspected to crash targets.
        """
        self._find_routes = find_routes
        self._suspicions = suspicions

    def admit(self, request: relay.Request) -> Admitted | errors.Refusal:
        """Returns the request with all that decides on it, or a refusal."""
        routes = self._find_routes()
        if routes is None:
            return refuse(
                results.Code.NO_CATALOGUE, "no routes yet", NO_ROUTES_RETRY_MS
            )
        path = request.url.partition(b"?")[0].decode("latin-1")
        route = routes.find_route(request.host, path)
        if route is None or not route.shares:
            return refuse(results.Code.NOT_FOUND, "no such route", None)
        team = None
        if route.needs_api_key:
            team = routes.find_team(request.api_key)
            if team is None:
                return refuse(results.Code.UNAUTHENTICATED, "unknown key", None)
        prompt_key = prompts.find_shared_key(request.prompt)
        split_key = (prompt_key or request.id).encode()
        name = route.pick_service(split_key)
        service = routes.services.get(name) or _make_unknown_service(name)
        fingerprint = suspects.compute_fingerprint(
            team=request.api_key or "",
            name=f"{request.host}{path}",
            body=request.body,
        )
        now = asyncio.get_running_loop().time()
        if self._suspicions.is_quarantined(fingerprint, now=now):
            return refuse(
                results.Code.RETRIES_EXHAUSTED,
                "crashes targets",
                QUARANTINE_RETRY_MS,
            )
        return Admitted(
            request=request,
            route=route,
            service=service,
            team=team,
            prompt_key=prompt_key,
            fingerprint=fingerprint,
            version=routes.version,
            deadline=min(
                request.deadline, request.arrived_at + route.timeout_s
            ),
        )

    def find_version(self, admitted: Admitted | None) -> int | None:
        """Returns the version of the routes that decided."""
        if admitted is not None:
            return admitted.version
        routes = self._find_routes()
        return None if routes is None else routes.version


def _make_unknown_service(name: str) -> route_table.Service:
    """Returns a service of which nothing but the name is known."""
    return route_table.Service(
        name=name,
        max_connections=1,
        cold_start_s=0.0,
        cold_per_s=0.0,
        can_fetch=False,
    )


def refuse(
    code: results.Code, message: str, retry_after_ms: int | None
) -> errors.Refusal:
    """Returns the refusal of a request that has not run."""
    return errors.Refusal(
        code=code,
        ran=results.Ran.NO,
        message=message,
        retry_after_ms=retry_after_ms,
    )
