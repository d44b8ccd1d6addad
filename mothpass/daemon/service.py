"""Builds all parts of a daemon from its settings, runs and stops them."""

import asyncio
import contextlib
import gc
import logging
import random as random_module
import signal
import time
import typing

import blacksheep

from mothpass.adapters import http_listener
from mothpass.adapters import http_pool
from mothpass.adapters import targets_http
from mothpass.core import budget
from mothpass.core import catalogue
from mothpass.core import limits
from mothpass.core import results
from mothpass.core import revisions
from mothpass.core import routing
from mothpass.core import suspects
from mothpass.daemon import answers
from mothpass.daemon import attempts
from mothpass.daemon import callers
from mothpass.daemon import calls
from mothpass.daemon import catalogue_log
from mothpass.daemon import catalogues
from mothpass.daemon import claim_pruning
from mothpass.daemon import claims
from mothpass.daemon import control_cost
from mothpass.daemon import control_parts
from mothpass.daemon import dispatch
from mothpass.daemon import operators
from mothpass.daemon import placement
from mothpass.daemon import platform
from mothpass.daemon import proposals
from mothpass.daemon import resumption
from mothpass.daemon import settings as settings_module
from mothpass.daemon import status
from mothpass.daemon import status_page
from mothpass.daemon import telemetry
from mothpass.ports import members

PRUNE_MS = 1000
OPERATOR_CONNECTIONS = 64
OPERATOR_HEADER_LIMIT_BYTES = 32_768
_log = logging.getLogger(__name__)


class Service:
    """One daemon."""

    __slots__ = (
        "_callers",
        "_catalogues",
        "_claims",
        "_control",
        "_cost",
        "_listeners",
        "_names",
        "_placement",
        "_platform",
        "_pool",
        "_proposals",
        "_pruner",
        "_router",
        "_settings",
        "_started_at",
        "_state",
        "_suspects",
        "_targets",
        "_tasks",
        "_teams",
        "_telemetry",
    )

    def __init__(self, *, settings: settings_module.Settings) -> None:
        """Builds the parts; nothing is opened or started yet."""
        random = random_module.Random()
        instance = settings.instance
        self._settings = settings
        self._started_at = time.monotonic()
        self._state = callers.State()
        self._tasks: list[asyncio.Task[None]] = []
        self._listeners: list[http_listener.Listener] = []
        self._telemetry = telemetry.build_telemetry(settings.telemetry)
        self._platform = platform.Platform(
            chosen=settings.platform, region=instance.region
        )
        self._router = routing.Router(
            instance_id=instance.id,
            availability_zone=instance.availability_zone,
            slot=instance.slot,
            slots=instance.slots,
            random=random,
            started_at=self._started_at,
        )
        self._teams = limits.Limiter(code=results.Code.TEAM_LIMIT)
        self._names = limits.Limiter(code=results.Code.OVERLOADED)
        self._suspects = suspects.Suspects(own_id=settings.instance.id)
        self._pool = http_pool.Pool(
            connect_timeout_ms=settings.targets.connect_timeout_ms
        )
        self._targets = targets_http.HttpTargets(
            pool=self._pool, silence_ms=settings.targets.silence_ms
        )
        self._catalogues = catalogues.Catalogues(
            log=self._build_log(budget.Priority.POLL),
            monotonic=time.monotonic,
            random=random,
            on_change=self._take_catalogue,
        )
        self._proposals = proposals.Proposals(
            daemon_id=instance.id,
            present=self._catalogues,
            log=self._build_log(budget.Priority.CLAIM),
            wall=time.time,
            sleep=asyncio.sleep,
            random=random,
        )
        self._claims = claims.Claims(
            store=self._platform.store,
            monotonic=time.monotonic,
            wall=time.time,
            sleep=asyncio.sleep,
            random=random,
        )
        self._pruner = claim_pruning.ClaimPruner(
            store=self._platform.store,
            monotonic=time.monotonic,
            wall=time.time,
            slot=instance.slot,
            slots=instance.slots,
        )
        self._control = self._build_control(random)
        self._cost = control_cost.ControlCost(traffic=self._control.traffic)
        self._placement = placement.Placement(
            router=self._router,
            names=self._names,
            acquire=self._control.permits.acquire,
            release=self._control.permits.release,
            clock=time.monotonic,
        )
        self._callers = callers.Callers(
            state=self._state,
            dispatcher=self._build_dispatcher(random),
            telemetry=self._telemetry,
            body_limit_bytes=settings.callers.body_limit_bytes,
            clock=time.monotonic,
        )

    async def start(self) -> None:
        """Opens the listeners and starts to follow the platform.

        Raises:
            OSError: If an address can't be listened at.
            RuntimeError: If that of the peers can't.
        """
        chosen = self._settings.callers
        self._listeners = [
            await self._open_callers(chosen),
            await self._open_operators(),
        ]
        await self._control.control.start()
        for work in (self._prune_connections(), self._prune_claims()):
            self._tasks.append(asyncio.ensure_future(work))
        gc.collect()
        gc.freeze()
        gc.set_threshold(50_000, 20, 100)
        _log.info("daemon started")

    async def stop(self) -> None:
        """Finishes what runs and closes everything.

        Readiness is denied first, while new requests are still served, so that
        the balancer sees it before the listener closes.
        """
        chosen = self._settings.shutdown
        _log.info("shutdown begins")
        self._state.ready = False
        self._state.leaving = True
        await self._control.control.parts.membership.announce_leaving()
        await asyncio.sleep(chosen.announce_ms / 1000)
        self._state.taking = False
        for listener in self._listeners:
            listener.stop_accepting()
        await self._drain(chosen.drain_ms)
        await self._close()
        _log.info("daemon stopped")

    async def _drain(self, drain_ms: int) -> None:
        """Waits for what runs, for a time."""
        deadline = asyncio.get_running_loop().time() + drain_ms / 1000
        left = await self._callers.drain(deadline)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(deadline):
                await self._claims.drain()
        for listener in self._listeners:
            left += await listener.drain(deadline)
        if left:
            _log.error("drain deadline passed", extra={"detail": f"{left} cut"})

    def _build_dispatcher(
        self, random: random_module.Random
    ) -> dispatch.Dispatcher:
        runner = attempts.AttemptRunner(
            instance_id=self._settings.instance.id,
            ports=resumption.Ports(
                open_stream=self._targets.open_stream,
                resume_stream=self._targets.resume_stream,
                call=self._targets.call,
                cancel=self._targets.cancel,
                read_load=self._targets.read_load,
                clock=time.monotonic,
            ),
            placement=self._placement,
            router=self._router,
            suspects=self._suspects,
            random=random,
        )
        parts = dispatch.Parts(
            placement=self._placement,
            runner=runner,
            teams=self._teams,
            names=self._names,
            suspects=self._suspects,
            random=random,
            clock=time.monotonic,
        )
        return dispatch.Dispatcher(parts=parts, run_once=self._claims.run_once)

    def _build_control(
        self, random: random_module.Random
    ) -> control_parts.Built:
        return control_parts.build_control(
            self._settings,
            control_parts.Needs(
                router=self._router,
                suspects=self._suspects,
                catalogues=self._catalogues,
                platform=self._platform,
                read_load=self._targets.read_load,
                find_start=self._find_cold_start,
                on_members=self._take_members,
                on_tick=self._run_tick,
                random=random,
            ),
        )

    def _find_cold_start(self, target_id: str) -> catalogue.ColdStart | None:
        """Returns what a target bears while cold; None without a model."""
        target = self._router.targets.get(target_id)
        directory = self._state.directory
        if target is None or directory is None:
            return None
        for name in target.instance.serves:
            model = directory.models.get(name)
            if model is not None:
                return model.cold_start
        return None

    def _run_tick(self) -> None:
        """Looks again at what waits; a check once a tick serves all changes."""
        self._placement.wake()
        self._cost.sample(time.monotonic())

    def _build_log(
        self, priority: budget.Priority
    ) -> catalogue_log.CatalogueLog:
        return catalogue_log.CatalogueLog(
            store=self._platform.store, sleep=asyncio.sleep, priority=priority
        )

    async def _open_callers(
        self, chosen: settings_module.Callers
    ) -> http_listener.Listener:
        application = self._callers.build_application()
        await _start_application(application)
        return await http_listener.open_listener(
            callers.guard_application(application),
            chosen.address,
            http_listener.Bounds(
                header_limit_bytes=chosen.header_limit_bytes,
                connections=chosen.connections,
                encode_refusal=answers.encode_bare_refusal,
            ),
        )

    async def _open_operators(self) -> http_listener.Listener:
        chosen = self._settings.operators
        application = blacksheep.Application(router=blacksheep.Router())
        operators.register_routes(
            application,
            operators.Parts(
                token_sha256=chosen.token_sha256,
                catalogues=self._catalogues,
                proposals=self._proposals,
                read_status=self._read_status,
                read_fleet=self._read_fleet,
            ),
        )
        await _start_application(application)
        return await http_listener.open_listener(
            callers.guard_application(application),
            chosen.address,
            http_listener.Bounds(
                header_limit_bytes=OPERATOR_HEADER_LIMIT_BYTES,
                connections=OPERATOR_CONNECTIONS,
                encode_refusal=answers.encode_bare_refusal,
            ),
        )

    def _take_catalogue(self, revision: revisions.Revision) -> None:
        """Takes a version of the catalogue into force, whole."""
        entries = revision.catalogue
        self._state.directory = calls.Directory(entries=entries)
        self._teams.set_limits({x.name: x.limits for x in entries.teams})
        by_name = {x.name: x.limits for x in entries.models}
        by_name |= {x.name: x.limits for x in entries.services}
        self._names.set_limits(by_name)
        self._router.set_catalogue(entries, now=time.monotonic())
        self._placement.wake()
        self._check_ready()
        _log.info(
            "catalogue in force",
            extra={"detail": f"version {revision.version}"},
        )

    def _take_members(self, listing: members.Members) -> None:
        """Takes the membership list in."""
        now = time.monotonic()
        self._router.set_members(listing, now=now)
        daemons = self._router.daemons
        own_id = self._settings.instance.id
        self._catalogues.set_peers([x for x in daemons if x != own_id])
        self._teams.set_daemons(len(daemons))
        self._names.set_daemons(len(daemons))
        self._platform.store.budget.set_daemons(len(daemons), now=now)
        self._placement.wake()
        self._check_ready()

    def _check_ready(self) -> None:
        """Denies readiness until a catalogue and some target are known."""
        known = self._state.directory is not None and self._router.targets
        self._state.ready = bool(known) and not self._state.leaving

    async def _read_status(self) -> status_page.StatusPage:
        return status.build_page(self._build_status_parts())

    async def _read_fleet(self) -> status.Fleet:
        return status.build_fleet(self._build_status_parts())

    def _build_status_parts(self) -> status.Parts:
        return status.Parts(
            instance=self._settings.instance,
            operators_address=self._settings.operators.address,
            state=self._state,
            catalogues=self._catalogues,
            router=self._router,
            suspects=self._suspects,
            telemetry=self._telemetry,
            control=self._control.control,
            cost=self._cost,
            clock=time.monotonic,
            started_at=self._started_at,
        )

    async def _prune_connections(self) -> None:
        while True:
            await asyncio.sleep(PRUNE_MS / 1000)
            self._pool.prune()

    async def _prune_claims(self) -> None:
        while True:
            await asyncio.sleep(PRUNE_MS / 1000)
            if self._pruner.needs_step(time.monotonic()):
                await self._pruner.step()

    async def _close(self) -> None:
        await self._control.control.stop()
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        for listener in self._listeners:
            listener.abort()
        self._pool.close()
        self._platform.close()


async def run_daemon(settings: settings_module.Settings) -> None:
    """Runs a daemon until SIGTERM or SIGINT, then shuts it down gracefully.

    Raises:
        OSError: If an address can't be listened at.
        RuntimeError: If that of the peers can't.
    """
    loop = asyncio.get_running_loop()
    asked_to_stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asked_to_stop.set)
    service = Service(settings=settings)
    await service.start()
    await asked_to_stop.wait()
    await service.stop()


async def _start_application(application: typing.Any) -> None:
    """Starts an application; blacksheep has no type for this method."""
    await application.start()
