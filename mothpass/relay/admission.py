"""Admission control: routes, authenticates and rejects requests."""

import asyncio
from collections import abc

import msgspec

from mothpass.core import errors
from mothpass.core import prompt_suspects
from mothpass.core import prompts
from mothpass.core import results
from mothpass.core import route_freshness
from mothpass.core import route_table
from mothpass.core import suspects
from mothpass.ports import relay

# A quarantined request isn't admitted again soon, as it crashes targets.
QUARANTINE_RETRY_AFTER_MS = 30_000
# A daemon loads the routes within a second of its start.
NO_ROUTES_RETRY_AFTER_MS = 800
# A peer passes the newest version on within a second.
UNCONFIRMED_RETRY_AFTER_MS = 800
MAX_PRIORITY = 9


class Admitted(msgspec.Struct, frozen=True, kw_only=True):
    """An admitted request with the routing decisions made for it.

    Attributes:
        request: The request.
        route: Route that matches the request.
        service: Service picked from the route's traffic split.
        team: Team of the API key, None where the route needs no key.
        prompt_key: Prompt cache key, None without a shared prompt.
        fingerprint: Identifies requests with the same key, path and body.
        shared_parts: Ids of the parts of its prompt that others may share, by
            fingerprint.
        version: Version of the routes used for the decision.
        deadline: Monotonic seconds at which the final answer is due.
    """

    request: relay.Request
    route: route_table.Route
    service: route_table.Service
    team: route_table.Team | None
    prompt_key: str | None
    fingerprint: int
    shared_parts: dict[int, str]
    version: int
    deadline: float

    @property
    def priority(self) -> int:
        """Priority of the request; 0 is the most urgent."""
        priority = self.route.priority
        if self.team is not None and self.team.priority is not None:
            priority = self.team.priority
        return max(0, min(MAX_PRIORITY, priority))


class AdmissionControl:
    """Admits or rejects requests by the routes in force."""

    __slots__ = (
        "_assess_routes",
        "_crash_suspects",
        "_get_routes",
        "_measure_lag_ms",
        "_suspected_parts",
    )

    def __init__(
        self,
        *,
        get_routes: abc.Callable[[], route_table.RouteTable | None],
        measure_lag_ms: abc.Callable[[], float | None],
        assess_routes: abc.Callable[[], route_freshness.Standing],
        crash_suspects: suspects.SuspectTable,
        suspected_parts: prompt_suspects.PromptSuspectTable,
    ) -> None:
        """Creates the admission control.

        Args:
            get_routes: Returns the routes in force, None before any.
            measure_lag_ms: Returns for how many milliseconds newer routes have
                been known, None if none are.
            assess_routes: Returns how far these may be relied on.
            crash_suspects: Requests that are suspected to crash targets.
            suspected_parts: Prompt parts that are suspected to crash targets.
        """
        self._get_routes = get_routes
        self._measure_lag_ms = measure_lag_ms
        self._assess_routes = assess_routes
        self._crash_suspects = crash_suspects
        self._suspected_parts = suspected_parts

    def admit(self, request: relay.Request) -> Admitted | errors.Refusal:
        """Returns the admitted request or a refusal."""
        routes = self._get_routes()
        if routes is None:
            return make_refusal(
                results.Code.NO_CATALOGUE,
                "routes are not loaded yet",
                NO_ROUTES_RETRY_AFTER_MS,
            )
        path = request.url.partition(b"?")[0].decode("latin-1")
        matched = self._match(routes, request, path)
        if isinstance(matched, errors.Refusal):
            return matched
        route, team = matched
        prompt_key = prompts.find_shared_key(request.prompt)
        split_key = (prompt_key or request.resumed_id or request.id).encode()
        service_name = route.pick_service(split_key)
        service = routes.services.get(service_name) or _make_unknown_service(
            service_name
        )
        fingerprint = suspects.compute_fingerprint(
            team=request.api_key or "",
            name=f"{request.host}{path}",
            body=request.body,
        )
        now = asyncio.get_running_loop().time()
        if self._crash_suspects.is_quarantined(fingerprint, now=now):
            return make_refusal(
                results.Code.RETRIES_EXHAUSTED,
                "request is quarantined because it crashes targets",
                QUARANTINE_RETRY_AFTER_MS,
            )
        shared_parts = prompt_suspects.fingerprint_parts(request.prompt)
        refusal = self.check_parts(shared_parts)
        if refusal is not None:
            return refusal
        return Admitted(
            request=request,
            route=route,
            service=service,
            team=team,
            prompt_key=prompt_key,
            fingerprint=fingerprint,
            shared_parts=shared_parts,
            version=routes.version,
            deadline=min(
                request.deadline, request.arrived_at + route.timeout_s
            ),
        )

    def _match(
        self, routes: route_table.RouteTable, request: relay.Request, path: str
    ) -> tuple[route_table.Route, route_table.Team | None] | errors.Refusal:
        """Returns the route and the team of a request, or a refusal."""
        standing = self._assess_routes()
        if standing is route_freshness.Standing.OUTDATED:
            return make_refusal(
                results.Code.CATALOGUE_OUTDATED,
                "routes are outdated",
                UNCONFIRMED_RETRY_AFTER_MS,
            )
        route = routes.find_route(request.host, path)
        if route is None or not route.shares:
            return _reject_by_routes(
                standing, results.Code.NOT_FOUND, "no route found"
            )
        if not route.needs_api_key:
            return route, None
        team = routes.find_team(request.api_key)
        if team is None:
            return _reject_by_routes(
                standing,
                results.Code.UNAUTHENTICATED,
                "API key is missing or unknown",
            )
        return route, team

    def check_parts(
        self, shared_parts: dict[int, str]
    ) -> errors.Refusal | None:
        """Returns the refusal of a request with a barred part, if it has one.

        Check again before each attempt, as parts are barred meanwhile.
        """
        now = asyncio.get_running_loop().time()
        part = self._suspected_parts.find_barred(shared_parts, now=now)
        if part is None:
            return None
        return make_refusal(
            results.Code.RETRIES_EXHAUSTED,
            f"prompt part {shared_parts[part]} is barred because it crashes "
            "targets",
            QUARANTINE_RETRY_AFTER_MS,
        )

    def get_routes_version(self, admitted: Admitted | None) -> int | None:
        """Returns the routes version of a request, or that in force."""
        if admitted is not None:
            return admitted.version
        routes = self._get_routes()
        return None if routes is None else routes.version

    def measure_lag_ms(self, admitted: Admitted | None) -> float | None:
        """Returns how long a refused request's routes have been outdated.

        None if no newer routes are known, or for an admitted request.
        """
        return self._measure_lag_ms() if admitted is None else None


def _reject_by_routes(
    standing: route_freshness.Standing, code: results.Code, message: str
) -> errors.Refusal:
    """Returns a refusal for good, or one to try again elsewhere.

    The newest routes may allow what routes of unknown age don't.
    """
    if standing is route_freshness.Standing.CURRENT:
        return make_refusal(code, message, None)
    return make_refusal(
        results.Code.CATALOGUE_OUTDATED,
        f"{message}, and routes may be outdated",
        UNCONFIRMED_RETRY_AFTER_MS,
    )


def _make_unknown_service(name: str) -> route_table.Service:
    """Returns a service that the routes don't define, by its name."""
    return route_table.Service(
        name=name,
        max_connections=1,
        cold_start_s=0.0,
        cold_per_s=0.0,
        can_fetch=False,
    )


def make_refusal(
    code: results.Code, message: str, retry_after_ms: int | None
) -> errors.Refusal:
    """Returns the refusal of a request that didn't run."""
    return errors.Refusal(
        code=code,
        ran=results.Ran.NO,
        message=message,
        retry_after_ms=retry_after_ms,
    )
