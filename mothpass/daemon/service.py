"""Builds all parts of a daemon from its settings, runs and stops them."""

import asyncio
import contextlib
import logging
import signal
import time
import typing

import blacksheep

from mothpass.adapters import http_disconnects
from mothpass.adapters import http_listener
from mothpass.core import revisions
from mothpass.daemon import answers
from mothpass.daemon import assembly
from mothpass.daemon import client_requests
from mothpass.daemon import control_cost
from mothpass.daemon import operators
from mothpass.daemon import settings as settings_module
from mothpass.daemon import status
from mothpass.daemon import status_page
from mothpass.ports import members

PRUNE_MS = 1000
OPERATOR_CONNECTIONS = 64
OPERATOR_HEADER_LIMIT_BYTES = 32_768
_log = logging.getLogger(__name__)


class Service:
    """One daemon."""

    __slots__ = (
        "_cost",
        "_listeners",
        "_parts",
        "_settings",
        "_started_at",
        "_tasks",
    )

    def __init__(self, *, settings: settings_module.Settings) -> None:
        """Builds the parts; nothing is opened or started yet."""
        self._settings = settings
        self._started_at = time.monotonic()
        self._tasks: list[asyncio.Task[None]] = []
        self._listeners: list[http_listener.Listener] = []
        self._parts = assembly.build_parts(
            settings,
            assembly.Hooks(
                on_catalogue=self._take_catalogue,
                on_members=self._take_members,
                on_tick=self._run_tick,
            ),
        )
        self._cost = control_cost.ControlCost(
            traffic=self._parts.control.traffic,
            store=self._parts.platform.store,
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
        await self._parts.control.control.start()
        for work in (self._prune_connections(), self._prune_claims()):
            self._tasks.append(asyncio.ensure_future(work))
        _log.info("daemon started")

    async def stop(self) -> None:
        """Finishes what runs and closes everything.

        Readiness is denied first, while new requests are still served, so that
        the balancer sees it before the listener closes.
        """
        chosen = self._settings.shutdown
        _log.info("shutdown begins")
        self._parts.core.state.ready = False
        self._parts.core.state.leaving = True
        await self._parts.control.control.parts.membership.announce_leaving()
        await asyncio.sleep(chosen.announce_ms / 1000)
        self._parts.core.state.accepting = False
        for listener in self._listeners:
            listener.stop_accepting()
        await self._drain(chosen.drain_ms)
        await self._close()
        _log.info("daemon stopped")

    async def _drain(self, drain_ms: int) -> None:
        """Waits for what runs, for a time."""
        deadline = asyncio.get_running_loop().time() + drain_ms / 1000
        left = await self._parts.callers.drain(deadline)
        for listener in self._listeners:
            left += await listener.drain(deadline)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(deadline):
                await self._parts.claims.drain()
                await self._parts.control.permits.drain()
        if left:
            _log.error("drain deadline passed", extra={"detail": f"{left} cut"})

    def _run_tick(self) -> None:
        """Looks again at what waits; a check once a tick serves all changes."""
        self._parts.placement.serve_queues()
        self._cost.sample(time.monotonic())
        counters = self._parts.runner.read_counters()
        counters["attempts.retried"] = self._parts.dispatcher.retry_count
        for name, value in counters.items():
            self._parts.telemetry.gauge(name, value)

    async def _open_callers(
        self, chosen: settings_module.Callers
    ) -> http_listener.Listener:
        application = self._parts.callers.build_application()
        await _start_application(application)
        return await http_listener.open_listener(
            http_disconnects.cancel_on_disconnect(application),
            chosen.address,
            http_listener.ListenerLimits(
                header_limit_bytes=chosen.header_limit_bytes,
                max_connections=chosen.connections,
                encode_refusal=answers.encode_refusal_without_id,
            ),
        )

    async def _open_operators(self) -> http_listener.Listener:
        chosen = self._settings.operators
        application = blacksheep.Application(router=blacksheep.Router())
        operators.register_routes(
            application,
            operators.Parts(
                token_sha256=chosen.token_sha256,
                catalogues=self._parts.catalogues,
                proposals=self._parts.proposals,
                read_status=self._read_status,
                read_fleet=self._read_fleet,
            ),
        )
        await _start_application(application)
        return await http_listener.open_listener(
            http_disconnects.cancel_on_disconnect(application),
            chosen.address,
            http_listener.ListenerLimits(
                header_limit_bytes=OPERATOR_HEADER_LIMIT_BYTES,
                max_connections=OPERATOR_CONNECTIONS,
                encode_refusal=answers.encode_refusal_without_id,
            ),
        )

    def _take_catalogue(self, revision: revisions.Revision) -> None:
        """Takes a version of the catalogue into force, whole."""
        entries = revision.catalogue
        self._parts.core.state.catalogue_index = client_requests.CatalogueIndex(
            entries=entries
        )
        self._parts.core.teams.set_limits(
            {x.name: x.limits for x in entries.teams}
        )
        by_name = {x.name: x.limits for x in entries.models}
        by_name |= {x.name: x.limits for x in entries.services}
        self._parts.core.names.set_limits(by_name)
        self._parts.core.router.set_catalogue(entries, now=time.monotonic())
        self._parts.placement.serve_queues()
        self._check_ready()
        _log.info(
            "catalogue in force",
            extra={"detail": f"version {revision.version}"},
        )

    def _take_members(self, listing: members.Members) -> None:
        """Takes the membership list in."""
        now = time.monotonic()
        self._parts.core.router.set_members(listing, now=now)
        daemons = self._parts.core.router.daemons
        own_id = self._settings.instance.id
        self._parts.catalogues.set_peers([x for x in daemons if x != own_id])
        self._parts.core.teams.set_daemons(len(daemons))
        self._parts.core.names.set_daemons(len(daemons))
        self._parts.platform.store.budget.set_daemons(len(daemons), now=now)
        self._parts.placement.serve_queues()
        self._check_ready()

    def _check_ready(self) -> None:
        """Denies readiness until a catalogue and some target are known."""
        known = (
            self._parts.core.state.catalogue_index is not None
            and self._parts.core.router.targets
        )
        self._parts.core.state.ready = (
            bool(known) and not self._parts.core.state.leaving
        )

    async def _read_status(self) -> status_page.StatusPage:
        return status.build_page(self._build_status_parts())

    async def _read_fleet(self) -> status.Fleet:
        return status.build_fleet(self._build_status_parts())

    def _build_status_parts(self) -> status.Parts:
        return status.Parts(
            instance=self._settings.instance,
            operators_address=self._settings.operators.address,
            state=self._parts.core.state,
            catalogues=self._parts.catalogues,
            router=self._parts.core.router,
            suspects=self._parts.core.suspects,
            telemetry=self._parts.telemetry,
            placement=self._parts.placement,
            control=self._parts.control.control,
            cost=self._cost,
            clock=time.monotonic,
            started_at=self._started_at,
        )

    async def _prune_connections(self) -> None:
        while True:
            await asyncio.sleep(PRUNE_MS / 1000)
            self._parts.pool.prune()

    async def _prune_claims(self) -> None:
        while True:
            await asyncio.sleep(PRUNE_MS / 1000)
            if self._parts.pruner.is_due(time.monotonic()):
                await self._parts.pruner.step()

    async def _close(self) -> None:
        await self._parts.control.control.stop()
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        for listener in self._listeners:
            listener.abort()
        self._parts.pool.close()
        self._parts.platform.close()


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
