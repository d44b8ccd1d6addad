"""Builds the parts of a daemon from its settings; opens nothing."""

import asyncio
from collections import abc
import random as random_module
import time

import msgspec

from mothpass.adapters import http_pool
from mothpass.adapters import targets_http
from mothpass.core import catalogue
from mothpass.core import limits
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
from mothpass.daemon import control_parts
from mothpass.daemon import dispatch
from mothpass.daemon import placement
from mothpass.daemon import platform
from mothpass.daemon import proposals
from mothpass.daemon import resumption
from mothpass.daemon import settings
from mothpass.daemon import telemetry
from mothpass.ports import members


class Hooks(msgspec.Struct, frozen=True, kw_only=True):
    """What the parts call when something has changed.

    Attributes:
        on_catalogue: Takes each revision of the catalogue.
        on_members: Takes each membership list.
        on_tick: Called once a tick.
    """

    on_catalogue: abc.Callable[[revisions.Revision], None]
    on_members: abc.Callable[[members.Members], None]
    on_tick: abc.Callable[[], None]


class Core(msgspec.Struct, frozen=True, kw_only=True):
    """State of the core that several parts share.

    Attributes:
        names: Limits of models and services.
        random: Source of randomness.
        router: What is known of targets.
        state: State of the daemon towards callers.
        suspects: Requests that crash targets.
        teams: Limits of teams.
    """

    names: limits.Limiter
    random: random_module.Random
    router: routing.Router
    state: callers.ServingState
    suspects: suspects.SuspectTable
    teams: limits.Limiter


class Parts(msgspec.Struct, frozen=True, kw_only=True):
    """The parts of one daemon.

    Attributes:
        callers: The interface of callers.
        catalogues: The catalogue in force.
        claims: Calls that may not be repeated.
        control: The control loop.
        core: State of the core.
        dispatcher: Runs calls.
        placement: Finds targets.
        platform: The platform's services.
        pool: Connections to targets.
        proposals: Where operators' changes are asked for.
        pruner: Deletes claims whose time is over.
        runner: Runs attempts.
        telemetry: Logs, metrics and histograms.
    """

    callers: callers.ClientInterface
    catalogues: catalogues.Catalogues
    claims: at_most_once.AtMostOnceRunner
    control: control_parts.Built
    core: Core
    dispatcher: dispatch.Dispatcher
    placement: placement.Placement
    platform: platform.Platform
    pool: http_pool.ConnectionPool
    proposals: proposals.Proposals
    pruner: claim_pruning.ClaimPruner
    runner: attempts.AttemptRunner
    telemetry: telemetry.Telemetry


def build_parts(chosen: settings.Settings, hooks: Hooks) -> Parts:
    """Builds the parts of a daemon."""
    core = _build_core(chosen.instance)
    services = platform.Platform(
        chosen=chosen.platform, region=chosen.instance.region
    )
    pool = http_pool.ConnectionPool(
        connect_timeout_ms=chosen.targets.connect_timeout_ms
    )
    called = targets_http.HttpTargets(
        pool=pool, silence_ms=chosen.targets.silence_ms
    )
    present = catalogues.Catalogues(
        log=_build_log(services, store_budgets.Priority.POLL),
        monotonic=time.monotonic,
        random=core.random,
        on_change=hooks.on_catalogue,
    )
    control = _build_control(chosen, hooks, core, services, present, called)
    placed = placement.Placement(
        router=core.router,
        names=core.names,
        acquire=control.permits.acquire,
        release=control.permits.release,
        clock=time.monotonic,
    )
    runner = _build_runner(chosen.instance, core, placed, called)
    claimed = at_most_once.AtMostOnceRunner(
        store=services.store,
        monotonic=time.monotonic,
        wall=time.time,
        sleep=asyncio.sleep,
        random=core.random,
    )
    dispatcher = _build_dispatcher(core, placed, runner, claimed)
    reported = telemetry.build_telemetry(chosen.telemetry)
    return Parts(
        callers=callers.ClientInterface(
            state=core.state,
            dispatcher=dispatcher,
            telemetry=reported,
            body_limit_bytes=chosen.callers.body_limit_bytes,
            clock=time.monotonic,
        ),
        catalogues=present,
        claims=claimed,
        control=control,
        core=core,
        dispatcher=dispatcher,
        placement=placed,
        platform=services,
        pool=pool,
        proposals=proposals.Proposals(
            daemon_id=chosen.instance.id,
            present=present,
            log=_build_log(services, store_budgets.Priority.CLAIM),
            wall=time.time,
            sleep=asyncio.sleep,
            random=core.random,
        ),
        pruner=claim_pruning.ClaimPruner(
            store=services.store,
            monotonic=time.monotonic,
            wall=time.time,
            slot=chosen.instance.slot,
            slots=chosen.instance.slots,
        ),
        runner=runner,
        telemetry=reported,
    )


def _build_core(instance: settings.Instance) -> Core:
    random = random_module.Random()
    return Core(
        names=limits.Limiter(code=results.Code.OVERLOADED),
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
        teams=limits.Limiter(code=results.Code.TEAM_LIMIT),
    )


def _build_log(
    services: platform.Platform, priority: store_budgets.Priority
) -> catalogue_log.CatalogueLog:
    return catalogue_log.CatalogueLog(
        store=services.store, sleep=asyncio.sleep, priority=priority
    )


def _build_control(
    chosen: settings.Settings,
    hooks: Hooks,
    core: Core,
    services: platform.Platform,
    present: catalogues.Catalogues,
    called: targets_http.HttpTargets,
) -> control_parts.Built:
    def find_start(target_id: str) -> catalogue.ColdStart | None:
        """Returns what a target bears while cold; None without a model."""
        target = core.router.targets.get(target_id)
        directory = core.state.catalogue_index
        if target is None or directory is None:
            return None
        for name in target.instance.serves:
            model = directory.models.get(name)
            if model is not None:
                return model.cold_start
        return None

    return control_parts.build_control(
        chosen,
        control_parts.Needs(
            router=core.router,
            suspects=core.suspects,
            catalogues=present,
            platform=services,
            read_load=called.read_load,
            find_start=find_start,
            on_members=hooks.on_members,
            on_tick=hooks.on_tick,
            random=core.random,
        ),
    )


def _build_runner(
    instance: settings.Instance,
    core: Core,
    placed: placement.Placement,
    called: targets_http.HttpTargets,
) -> attempts.AttemptRunner:
    return attempts.AttemptRunner(
        instance_id=instance.id,
        ports=resumption.Ports(
            open_stream=called.open_stream,
            resume_stream=called.resume_stream,
            call=called.call,
            cancel=called.cancel,
            read_load=called.read_load,
            clock=time.monotonic,
        ),
        placement=placed,
        router=core.router,
        suspects=core.suspects,
        random=core.random,
    )


def _build_dispatcher(
    core: Core,
    placed: placement.Placement,
    runner: attempts.AttemptRunner,
    claimed: at_most_once.AtMostOnceRunner,
) -> dispatch.Dispatcher:
    dependencies = dispatch.Dependencies(
        placement=placed,
        runner=runner,
        teams=core.teams,
        names=core.names,
        suspects=core.suspects,
        random=core.random,
        clock=time.monotonic,
    )
    return dispatch.Dispatcher(
        dependencies=dependencies, run_once=claimed.run_once
    )
