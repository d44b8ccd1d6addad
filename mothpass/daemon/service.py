"""Starts, runs and shuts down one daemon."""

import asyncio
from collections import abc
import contextlib
import logging
import resource
import signal
import sys
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
from mothpass.daemon import shutdown
from mothpass.daemon import status
from mothpass.daemon import status_page
from mothpass.daemon import supervision
from mothpass.ports import members

PRUNE_INTERVAL_MS = 1000
# For leases, the membership list and the connections to peers at the end.
CLOSE_TIMEOUT_S = 5.0
MAX_OPERATOR_CONNECTIONS = 64
MAX_OPERATOR_HEADER_BYTES = 32_768
_logger = logging.getLogger(__name__)


class Daemon:
    """One daemon: its components, listeners and periodic tasks."""

    __slots__ = (
        "_components",
        "_control_cost",
        "_listeners",
        "_settings",
        "_started_at",
        "_tasks",
    )

    def __init__(self, *, settings: settings_module.Settings) -> None:
        """Builds the components without opening or starting any of them."""
        self._settings = settings
        self._started_at = time.monotonic()
        self._tasks: list[asyncio.Task[None]] = []
        self._listeners: list[http_listener.Listener] = []
        self._components = assembly.build_components(
            settings,
            assembly.Hooks(
                on_catalogue=self._apply_catalogue,
                on_members=self._apply_members,
                on_tick=self._run_tick,
                on_loop_end=self._count_loop_end,
            ),
        )
        self._components.core.state.is_catalogue_behind = lambda: (
            self._components.catalogues.is_behind
        )
        self._control_cost = control_cost.ControlCost(
            traffic=self._components.control.traffic,
            store=self._components.platform.store,
        )

    async def start(self) -> None:
        """Opens the listeners and starts the control loop.

        Raises:
            OSError: If the daemon can't listen on an address.
            RuntimeError: If it can't listen on the peers' address.
        """
        client_settings = self._settings.callers
        self._listeners = [
            await self._open_client_listener(client_settings),
            await self._open_operator_listener(),
        ]
        await self._components.control.loop.start()
        loops: dict[str, abc.Callable[[], abc.Awaitable[None]]] = {
            "connections": self._prune_connections,
            "claims": self._prune_claims,
        }
        for name, run in loops.items():
            supervised = supervision.run_forever(
                name, run, self._count_loop_end
            )
            self._tasks.append(asyncio.ensure_future(supervised))
        _logger.info("daemon started")

    async def stop(self) -> None:
        """Drains requests in flight and closes all connections.

        Reports not ready first while still serving new requests, so that the
        load balancer stops sending them before the listener closes.
        """
        shutdown_settings = self._settings.shutdown
        _logger.info("shutdown started")
        self._components.core.state.ready = False
        self._components.core.state.leaving = True
        loop = asyncio.get_running_loop()
        announced_at = loop.time() + shutdown_settings.announce_ms / 1000
        membership = self._components.control.loop.components.membership
        await shutdown.run_step(
            "membership", membership.mark_leaving(), announced_at
        )
        await asyncio.sleep(max(0.0, announced_at - loop.time()))
        self._components.core.state.accepting = False
        for listener in self._listeners:
            listener.stop_accepting()
        await self._drain(shutdown_settings.drain_ms)
        await self._close()
        _logger.info("daemon stopped")

    async def _drain(self, drain_ms: int) -> None:
        """Waits up to ``drain_ms`` for requests and releases in flight."""
        deadline = asyncio.get_running_loop().time() + drain_ms / 1000
        unfinished = await self._components.client_interface.drain(deadline)
        for listener in self._listeners:
            unfinished += await listener.drain(deadline)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(deadline):
                await self._components.claims.drain()
                await self._components.control.permits.drain()
        if unfinished:
            _logger.error(
                "drain timeout expired",
                extra={"detail": f"{unfinished} cut off"},
            )

    def _run_tick(self) -> None:
        """Dispatches queued requests, samples control cost and sends gauges.

        One dispatch pass per tick covers all changes of peer counts and loads
        since the last tick.
        """
        self._components.placement.serve_queues()
        self._control_cost.record_sample(time.monotonic())
        counters = self._components.runner.read_counters()
        counters["attempts.retried"] = self._components.dispatcher.retry_count
        for name, value in counters.items():
            self._components.telemetry.send_gauge(name, value)

    def _count_loop_end(self, name: str) -> None:
        self._components.telemetry.count_loop_end(name)

    async def _open_client_listener(
        self, client_settings: settings_module.Callers
    ) -> http_listener.Listener:
        application = self._components.client_interface.build_application()
        await _start_application(application)
        return await http_listener.open_listener(
            http_disconnects.cancel_on_disconnect(application),
            client_settings.address,
            http_listener.ListenerLimits(
                header_limit_bytes=client_settings.header_limit_bytes,
                max_connections=min(
                    client_settings.connections, _read_descriptor_limit() // 2
                ),
                held_limit_bytes=max(
                    client_settings.held_bytes,
                    2 * client_settings.body_limit_bytes,
                ),
                encode_refusal=answers.encode_refusal_without_id,
            ),
        )

    async def _open_operator_listener(self) -> http_listener.Listener:
        operator_settings = self._settings.operators
        application = blacksheep.Application(router=blacksheep.Router())
        operators.register_routes(
            application,
            operators.Dependencies(
                token_sha256=operator_settings.token_sha256,
                catalogues=self._components.catalogues,
                proposals=self._components.proposals,
                read_status=self._read_status,
                read_fleet=self._read_fleet,
            ),
        )
        await _start_application(application)
        return await http_listener.open_listener(
            http_disconnects.cancel_on_disconnect(application),
            operator_settings.address,
            http_listener.ListenerLimits(
                header_limit_bytes=MAX_OPERATOR_HEADER_BYTES,
                max_connections=min(
                    MAX_OPERATOR_CONNECTIONS, _read_descriptor_limit() // 8
                ),
                held_limit_bytes=2 * operators.MAX_BODY_BYTES,
                encode_refusal=answers.encode_refusal_without_id,
            ),
        )

    def _apply_catalogue(self, revision: revisions.Revision) -> None:
        """Applies a catalogue version to all components at once."""
        entries = revision.catalogue
        self._components.core.state.catalogue_index = (
            client_requests.CatalogueIndex(entries=entries)
        )
        self._components.core.team_limiter.set_limits(
            {x.name: x.limits for x in entries.teams}
        )
        limits_by_name = {x.name: x.limits for x in entries.models}
        limits_by_name |= {x.name: x.limits for x in entries.services}
        self._components.core.name_limiter.set_limits(limits_by_name)
        self._components.core.router.set_catalogue(
            entries, now=time.monotonic()
        )
        self._components.placement.serve_queues()
        self._update_readiness()
        _logger.info(
            "catalogue in force",
            extra={"detail": f"version {revision.version}"},
        )

    def _apply_members(self, listing: members.Members) -> None:
        """Applies a membership list to all components."""
        now = time.monotonic()
        self._components.core.router.set_members(listing, now=now)
        daemons = self._components.core.router.daemons
        own_id = self._settings.instance.id
        self._components.catalogues.set_peers(
            [x for x in daemons if x != own_id]
        )
        self._components.core.team_limiter.set_daemons(len(daemons))
        self._components.core.name_limiter.set_daemons(len(daemons))
        self._components.platform.store.budget.set_daemons(
            len(daemons), now=now
        )
        self._components.placement.serve_queues()
        self._update_readiness()

    def _update_readiness(self) -> None:
        """Reports ready while a catalogue and a target are known.

        A daemon that shuts down is never ready.
        """
        is_initialized = (
            self._components.core.state.catalogue_index is not None
            and self._components.core.router.targets
        )
        self._components.core.state.ready = (
            bool(is_initialized) and not self._components.core.state.leaving
        )

    async def _read_status(self) -> status_page.StatusPage:
        return status.build_page(self._build_status_dependencies())

    async def _read_fleet(self) -> status.Fleet:
        return status.build_fleet(self._build_status_dependencies())

    def _build_status_dependencies(self) -> status.Dependencies:
        return status.Dependencies(
            instance=self._settings.instance,
            operators_address=self._settings.operators.address,
            state=self._components.core.state,
            catalogues=self._components.catalogues,
            router=self._components.core.router,
            suspects=self._components.core.suspects,
            telemetry=self._components.telemetry,
            placement=self._components.placement,
            control_loop=self._components.control.loop,
            control_cost=self._control_cost,
            clock=time.monotonic,
            started_at=self._started_at,
        )

    async def _prune_connections(self) -> None:
        while True:
            await asyncio.sleep(PRUNE_INTERVAL_MS / 1000)
            self._components.pool.prune()

    async def _prune_claims(self) -> None:
        while True:
            await asyncio.sleep(PRUNE_INTERVAL_MS / 1000)
            if self._components.pruner.is_due(time.monotonic()):
                await self._components.pruner.step()

    async def _close(self) -> None:
        deadline = asyncio.get_running_loop().time() + CLOSE_TIMEOUT_S
        control_loop = self._components.control.loop
        await shutdown.run_step("control loop", control_loop.stop(), deadline)
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=CLOSE_TIMEOUT_S)
        for listener in self._listeners:
            listener.abort()
        self._components.pool.close()
        self._components.platform.close()


async def run_daemon(settings: settings_module.Settings) -> None:
    """Runs a daemon until SIGTERM or SIGINT, then shuts it down gracefully.

    Raises:
        OSError: If the daemon can't listen on an address.
        RuntimeError: If it can't listen on the peers' address.
    """
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    daemon = Daemon(settings=settings)
    await daemon.start()
    await stop_requested.wait()
    await daemon.stop()


async def _start_application(application: typing.Any) -> None:
    """Starts an application; blacksheep declares no type for ``start``."""
    await application.start()


def _read_descriptor_limit() -> int:
    """Returns the most descriptors that this process may open."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if soft_limit == resource.RLIM_INFINITY else soft_limit
