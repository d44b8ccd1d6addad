"""Builds the components of a daemon from its settings; opens nothing."""

import asyncio
from collections import abc
import random as random_module
import time

import msgspec

from mothpass.adapters import http_pool
from mothpass.adapters import targets_http
from mothpass.core import catalogue
from mothpass.core import limits
from mothpass.core import prompt_suspects
from mothpass.core import results
from mothpass.core import revisions
from mothpass.core import routing
from mothpass.core import store_budgets
from mothpass.core import suspects
from mothpass.daemon import at_most_once
from mothpass.daemon import attempts
from mothpass.daemon import callers
from mothpass.daemon import catalogue_log
from mothpass.daemon import catalogues
from mothpass.daemon import claim_pruning
from mothpass.daemon import control_assembly
from mothpass.daemon import dispatch
from mothpass.daemon import placement
from mothpass.daemon import platform
from mothpass.daemon import proposals
from mothpass.daemon import resumption
from mothpass.daemon import settings
from mothpass.daemon import telemetry
from mothpass.ports import members


class Hooks(msgspec.Struct, frozen=True, kw_only=True):
    """Callbacks that the components call on changes.

    Attributes:
        on_catalogue: Called with each new revision of the catalogue.
        on_members: Called with each membership list that was read.
        on_tick: Called once per tick of the control loop.
        on_loop_end: Called with the name of a loop that has ended by an error.
    """

    on_catalogue: abc.Callable[[revisions.Revision], None]
    on_members: abc.Callable[[members.Members], None]
    on_tick: abc.Callable[[], None]
    on_loop_end: abc.Callable[[str], None]


class CoreState(msgspec.Struct, frozen=True, kw_only=True):
    """State from mothpass.core that several components share.

    Attributes:
        name_limiter: Limits of models and services.
        random: Source of randomness.
        router: Targets of the region with their loads.
        state: Serving state that clients see.
        suspects: Crash suspects.
        suspected_parts: Parts of prompts that are crash suspects.
        team_limiter: Limits of teams.
    """

    name_limiter: limits.Limiter
    random: random_module.Random
    router: routing.Router
    state: callers.ServingState
    suspects: suspects.SuspectTable
    suspected_parts: prompt_suspects.PromptSuspectTable
    team_limiter: limits.Limiter


class Components(msgspec.Struct, frozen=True, kw_only=True):
    """The components of one daemon.

    Attributes:
        client_interface: HTTP interface for clients.
        catalogues: Replica of the catalogue.
        claims: Runner of requests that must run at most once.
        control: The control loop and its shared components.
        core: State that several components share.
        dispatcher: Dispatches requests of clients.
        placement: Chooses targets and holds the request queues.
        platform: Clients of the platform's services.
        pool: Connections to targets.
        proposals: Commits operators' changes of the catalogue.
        pruner: Deletes expired claims.
        runner: Runs attempts.
        telemetry: Logs, metrics and histograms.
    """

    client_interface: callers.ClientInterface
    catalogues: catalogues.CatalogueReplica
    claims: at_most_once.AtMostOnceRunner
    control: control_assembly.ControlPlane
    core: CoreState
    dispatcher: dispatch.Dispatcher
    placement: placement.Placement
    platform: platform.Platform
    pool: http_pool.ConnectionPool
    proposals: proposals.ChangeProposer
    pruner: claim_pruning.ClaimPruner
    runner: attempts.AttemptRunner
    telemetry: telemetry.Telemetry


def build_components(
    daemon_settings: settings.Settings, hooks: Hooks
) -> Components:
    """Builds the components of a daemon."""
    core = _build_core(daemon_settings.instance)
    platform_services = platform.Platform(
        platform_settings=daemon_settings.platform,
        region=daemon_settings.instance.region,
    )
    pool = http_pool.ConnectionPool(
        connect_timeout_ms=daemon_settings.targets.connect_timeout_ms
    )
    target_client = targets_http.HttpTargets(
        pool=pool, silence_ms=daemon_settings.targets.silence_ms
    )
    replica = catalogues.CatalogueReplica(
        log=_build_catalogue_log(
            platform_services, store_budgets.Priority.POLL
        ),
        monotonic=time.monotonic,
        random=core.random,
        on_change=hooks.on_catalogue,
    )
    control = _build_control_plane(
        daemon_settings, hooks, core, platform_services, replica, target_client
    )
    request_placement = placement.Placement(
        router=core.router,
        name_limiter=core.name_limiter,
        acquire=control.permits.acquire,
        release=control.permits.release,
        clock=time.monotonic,
    )
    runner = _build_runner(
        daemon_settings.instance, core, request_placement, target_client
    )
    at_most_once_runner = at_most_once.AtMostOnceRunner(
        store=platform_services.store,
        monotonic=time.monotonic,
        wall=time.time,
        sleep=asyncio.sleep,
        random=core.random,
    )
    dispatcher = _build_dispatcher(
        core, request_placement, runner, at_most_once_runner
    )
    reporter = telemetry.build_telemetry(daemon_settings.telemetry)
    return Components(
        client_interface=callers.ClientInterface(
            state=core.state,
            dispatcher=dispatcher,
            telemetry=reporter,
            body_limit_bytes=daemon_settings.callers.body_limit_bytes,
            clock=time.monotonic,
        ),
        catalogues=replica,
        claims=at_most_once_runner,
        control=control,
        core=core,
        dispatcher=dispatcher,
        placement=request_placement,
        platform=platform_services,
        pool=pool,
        proposals=proposals.ChangeProposer(
            daemon_id=daemon_settings.instance.id,
            replica=replica,
            log=_build_catalogue_log(
                platform_services, store_budgets.Priority.CLAIM
            ),
            wall=time.time,
            sleep=asyncio.sleep,
            random=core.random,
        ),
        pruner=claim_pruning.ClaimPruner(
            store=platform_services.store,
            monotonic=time.monotonic,
            wall=time.time,
            slot=daemon_settings.instance.slot,
            slots=daemon_settings.instance.slots,
        ),
        runner=runner,
        telemetry=reporter,
    )


def _build_core(instance: settings.Instance) -> CoreState:
    random = random_module.Random()
    return CoreState(
        name_limiter=limits.Limiter(code=results.Code.OVERLOADED),
        random=random,
        router=routing.Router(
            instance_id=instance.id,
            availability_zone=instance.availability_zone,
            slot=instance.slot,
            slots=instance.slots,
            random=random,
            started_at=time.monotonic(),
        ),
        state=callers.ServingState(),
        suspects=suspects.SuspectTable(own_id=instance.id),
        suspected_parts=prompt_suspects.PromptSuspectTable(
            owns_trial=lambda part: part % instance.slots == instance.slot,
            random=random,
        ),
        team_limiter=limits.Limiter(code=results.Code.TEAM_LIMIT),
    )


def _build_catalogue_log(
    platform_services: platform.Platform, priority: store_budgets.Priority
) -> catalogue_log.CatalogueLog:
    return catalogue_log.CatalogueLog(
        store=platform_services.store, sleep=asyncio.sleep, priority=priority
    )


def _build_control_plane(
    daemon_settings: settings.Settings,
    hooks: Hooks,
    core: CoreState,
    platform_services: platform.Platform,
    replica: catalogues.CatalogueReplica,
    target_client: targets_http.HttpTargets,
) -> control_assembly.ControlPlane:
    def find_cold_start(target_id: str) -> catalogue.ColdStart | None:
        """Returns the cold start limits of a target; None without a model."""
        target = core.router.targets.get(target_id)
        catalogue_index = core.state.catalogue_index
        if target is None or catalogue_index is None:
            return None
        for name in target.instance.serves:
            model = catalogue_index.models.get(name)
            if model is not None:
                return model.cold_start
        return None

    return control_assembly.build_control_plane(
        daemon_settings,
        control_assembly.Dependencies(
            router=core.router,
            suspects=core.suspects,
            suspected_parts=core.suspected_parts,
            catalogues=replica,
            platform=platform_services,
            read_load=target_client.read_load,
            find_cold_start=find_cold_start,
            on_members=hooks.on_members,
            on_tick=hooks.on_tick,
            on_loop_end=hooks.on_loop_end,
            random=core.random,
        ),
    )


def _build_runner(
    instance: settings.Instance,
    core: CoreState,
    request_placement: placement.Placement,
    target_client: targets_http.HttpTargets,
) -> attempts.AttemptRunner:
    return attempts.AttemptRunner(
        instance_id=instance.id,
        ports=resumption.Ports(
            open_stream=target_client.open_stream,
            resume_stream=target_client.resume_stream,
            call=target_client.call,
            cancel=target_client.cancel,
            read_load=target_client.read_load,
            clock=time.monotonic,
        ),
        placement=request_placement,
        router=core.router,
        suspects=core.suspects,
        suspected_parts=core.suspected_parts,
        random=core.random,
    )


def _build_dispatcher(
    core: CoreState,
    request_placement: placement.Placement,
    runner: attempts.AttemptRunner,
    at_most_once_runner: at_most_once.AtMostOnceRunner,
) -> dispatch.Dispatcher:
    dependencies = dispatch.Dependencies(
        placement=request_placement,
        runner=runner,
        team_limiter=core.team_limiter,
        name_limiter=core.name_limiter,
        suspects=core.suspects,
        suspected_parts=core.suspected_parts,
        random=core.random,
        clock=time.monotonic,
    )
    return dispatch.Dispatcher(
        dependencies=dependencies, run_once=at_most_once_runner.run_once
    )
