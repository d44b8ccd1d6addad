"""Wires up, runs and gracefully shuts down one relay daemon."""

import asyncio
import logging
import pathlib
import random as random_module
import resource
import signal

import msgspec

from mothpass.adapters import event_log
from mothpass.adapters import http_pool
from mothpass.adapters import relay_listener
from mothpass.core import client_memory
from mothpass.core import cold_rates
from mothpass.core import connection_slots
from mothpass.core import errors
from mothpass.core import fleet_retry_budget
from mothpass.core import fragile_targets
from mothpass.core import prompts
from mothpass.core import results
from mothpass.core import route_table
from mothpass.core import shutdowns
from mothpass.core import target_choice
from mothpass.core import target_table
from mothpass.ports import relay
from mothpass.relay import admission
from mothpass.relay import attempts
from mothpass.relay import crashes
from mothpass.relay import death_witnesses
from mothpass.relay import fleet_sync
from mothpass.relay import forwarding
from mothpass.relay import metrics as metrics_module
from mothpass.relay import origin_questions
from mothpass.relay import peer_forwarding
from mothpass.relay import peer_requests
from mothpass.relay import ports as ports_module
from mothpass.relay import request_queues
from mothpass.relay import settings as settings_module
from mothpass.relay import state as state_module
from mothpass.relay import stream_memory
from mothpass.relay import stream_resumption
from mothpass.relay import supervision
from mothpass.relay import target_notices

# Long enough for a connection to another zone, short enough to try another
# target within the deployments' target latencies.
CONNECT_TIMEOUT_MS = 300
# A target holds a prompt while its cache has room, which is a minute and more
# for the engines of the deployments; a wrong assumption costs one prefill.
PROMPT_CACHE_LIFETIME_S = 60.0
# Time for the balancer to stop sending connections after a SIGTERM: it checks
# each second, and two checks in a row must fail.
BALANCER_DRAIN_S = 2.6
# Margin before SIGKILL at which running requests are aborted.
KILL_MARGIN_S = 0.4
# Before that, for the answers of requests that no target has answered.
FINAL_ANSWERS_S = 0.2
HOUSEKEEPING_INTERVAL_S = 1.0
DRAIN_CHECK_INTERVAL_S = 0.1

_logger = logging.getLogger("mothpass.relay")

# Limits before any routes are in force.
_DEFAULT_LIMITS = route_table.RequestLimits(
    header_bytes=16_384,
    body_bytes=4_194_304,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)
# Of health checks and metrics, which have no body.
_OPERATOR_LIMITS = msgspec.structs.replace(_DEFAULT_LIMITS, body_bytes=0)
# A forwarded request is held as received, as decoded and as sent.
_FORWARDED_BODY_COPIES = 3


class Service:
    """One relay daemon.

    Attributes:
        settings: Settings in force.
        fleet_sync: Replication of tables and gossip with peers.
        state: Routes in force and targets.
    """

    __slots__ = (
        "_client_memory",
        "_clients",
        "_forwarder",
        "_fragile_services",
        "_is_leaving",
        "_metrics",
        "_operators",
        "_peers",
        "_pool",
        "_queues",
        "_random",
        "_resumption",
        "_servers",
        "_stream_memory",
        "_tasks",
        "_witnesses",
        "fleet_sync",
        "settings",
        "state",
    )

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        ports: ports_module.Ports,
        pool: http_pool.ConnectionPool,
        state: state_module.State,
        prompt_caches: prompts.PromptCacheIndex,
    ) -> None:
        """Wires up the daemon.

        Args:
            settings: Settings of the daemon.
            ports: Adapters to the platform.
            pool: Connections to targets, peers and the store.
            state: Routes in force and targets.
            prompt_caches: Which targets hold which prompts.
        """
        self.settings = settings
        self._pool = pool
        self._random = random_module.Random()  # noqa: S311 - spreads load, no secret
        self.state = state
        self._metrics = metrics_module.Metrics()
        self._is_leaving = False
        self._tasks: list[asyncio.Task[None]] = []
        self._servers: list[asyncio.AbstractServer] = []
        random = self._random
        self.fleet_sync = fleet_sync.FleetSync(
            settings=settings,
            ports=ports,
            pool=pool,
            state=state,
            prompt_caches=prompt_caches,
            metrics=self._metrics,
            random=random,
        )
        self._fragile_services = fragile_targets.FragileServices()
        chooser = target_choice.TargetChooser(
            prompt_caches=prompt_caches,
            count_load=self.fleet_sync.count_load,
            count_prefill_backlog=self.fleet_sync.count_prefill_backlog,
            allows_cold=self._allows_cold,
            admits_limited=self._admits_limited,
            admits_fragile=self._admits_fragile,
            random=random,
        )
        self._queues = request_queues.RequestQueues(
            chooser=chooser, targets=state.targets, random=random
        )
        self._stream_memory = stream_memory.StreamMemory(
            own_id=settings.id,
            read_table=ports.read_table,
            write_row=ports.write_row,
            origins=self.fleet_sync.stream_origins,
            versions=state.versions,
            targets=state.targets,
            list_services=self._list_resumable_services,
            is_writer=lambda: self.fleet_sync.ranks_below(
                stream_memory.WRITERS
            ),
        )
        self._resumption = stream_resumption.StreamResumption(
            origins=self.fleet_sync.stream_origins,
            versions=state.versions,
            targets=state.targets,
            ask_origin=origin_questions.OriginQuestions(
                pool=pool,
                list_peer_addresses=self.fleet_sync.list_peer_addresses,
                random=random,
            ).ask,
            confirm_targets=self.fleet_sync.confirm_targets,
            load_memory=self._stream_memory.load,
            metrics=self._metrics,
        )
        self._witnesses = death_witnesses.DeathWitnesses(
            pool=pool,
            targets=state.targets,
            list_peer_paths=self.fleet_sync.list_peer_paths,
            random=random,
        )
        self._forwarder = forwarding.Forwarder(
            admission_control=admission.AdmissionControl(
                get_routes=lambda: state.routes,
                measure_lag_ms=self.fleet_sync.measure_lag_ms,
                assess_routes=self.fleet_sync.assess_routes,
                crash_suspects=self.fleet_sync.crash_suspects,
                suspected_parts=self.fleet_sync.suspected_parts,
            ),
            queues=self._queues,
            prompt_caches=prompt_caches,
            sender=attempts.AttemptSender(
                pool=pool, read_head=ports.read_answer_head
            ),
            make_budget=self._make_budget,
            count_daemons=lambda: len(self.fleet_sync.list_sharers()),
            count_prefill_backlog=self.fleet_sync.count_prefill_backlog,
            crash_detector=crashes.CrashDetector(
                pool=pool,
                crash_suspects=self.fleet_sync.crash_suspects,
                suspected_parts=self.fleet_sync.suspected_parts,
                announce=self.fleet_sync.announce,
                witnesses=self._witnesses,
                path_monitor=self.fleet_sync.path_monitor,
                metrics=self._metrics,
            ),
            notices=target_notices.TargetNotices(
                departure_table=self.fleet_sync.departures,
                fragile_services=self._fragile_services,
                metrics=self._metrics,
            ),
            resumption=self._resumption,
            path_monitor=self.fleet_sync.path_monitor,
            peer_forwarding=peer_forwarding.PeerForwarding(
                availability_zone=settings.availability_zone,
                list_peer_paths=self.fleet_sync.list_peer_paths,
                sender=attempts.AttemptSender(
                    pool=pool,
                    read_head=peer_requests.make_read_head(
                        ports.read_answer_head
                    ),
                ),
                metrics=self._metrics,
                random=random,
            ),
            metrics=self._metrics,
            read_request=ports.read_request,
            write_request=ports.write_request,
            random=random,
        )
        self._client_memory = client_memory.ClientMemory(
            limit_bytes=settings.max_client_bytes
        )
        self._clients = self._make_listener(
            self._forwarder.handle,
            self._get_limits,
            share=connection_slots.CLIENT_SHARE,
        )
        self._peers = self._make_listener(
            self._answer_peer,
            self._get_peer_limits,
            share=connection_slots.PEER_SHARE,
            body_copies=_FORWARDED_BODY_COPIES,
        )
        self._operators = [
            self._make_listener(
                handle,
                lambda: _OPERATOR_LIMITS,
                share=connection_slots.OPERATOR_SHARE,
            )
            for handle in (self._answer_health, self._answer_metrics)
        ]

    async def start(self) -> None:
        """Opens the listeners and starts replication and gossip.

        Raises:
            OSError: If an address can't be bound.
        """
        settings = self.settings
        loop = asyncio.get_running_loop()
        self._servers = [
            await relay_listener.open_listener(self._clients, settings.clients),
            await relay_listener.open_listener(
                self._peers, self.fleet_sync.address
            ),
        ]
        for address, listener in zip(
            (settings.health, f"{settings.address}:{settings.metrics_port}"),
            self._operators,
            strict=True,
        ):
            self._servers.append(
                await relay_listener.open_listener(listener, address)
            )
        self._tasks = await self.fleet_sync.start()
        for name, run in (
            ("dispatch", self._run_dispatch),
            ("housekeeping", self._run_housekeeping),
            ("stream memory", self._stream_memory.run),
        ):
            task = supervision.run_forever(name, run, self._metrics)
            self._tasks.append(loop.create_task(task))
        event_log.log(
            _logger,
            "started",
            id=settings.id,
            availability_zone=settings.availability_zone,
            clients=settings.clients,
            store=settings.store,
        )

    async def stop(self) -> None:
        """Drains: completes running requests, then closes the daemon."""
        loop = asyncio.get_running_loop()
        end = loop.time() + self.settings.grace_s - KILL_MARGIN_S
        shutdown = shutdowns.Shutdown(
            handed_over_at=min(loop.time() + BALANCER_DRAIN_S, end),
            ends_at=end - FINAL_ANSWERS_S,
        )
        event_log.log(
            _logger, "stopping", connections=len(self._clients.connections)
        )
        self._is_leaving = True
        self.fleet_sync.is_leaving = True
        self._clients.is_closing = True
        self._forwarder.start_shutdown(shutdown)
        # Clients that connect in the meantime are served; their connections
        # close with the answer.
        await asyncio.sleep(shutdown.handed_over_at - loop.time())
        self._servers[0].close()
        while (
            self._clients.connections or self._peers.has_requests()
        ) and loop.time() < end:
            self._clients.close_idle()
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        event_log.log(
            _logger,
            "stopped",
            cut=self._forwarder.cut_count + len(self._clients.connections),
        )
        await self.close()

    def reload(self, settings: settings_module.Settings) -> None:
        """Applies changed settings.

        Listening addresses stay the same until the next start.
        """
        old = self.settings
        changed = [
            name
            for name in settings.__struct_fields__
            if getattr(settings, name) != getattr(old, name)
        ]
        self.settings = msgspec.structs.replace(
            settings,
            id=old.id,
            address=old.address,
            clients=old.clients,
            health=old.health,
            peer_ports=old.peer_ports,
            metrics_port=old.metrics_port,
        )
        self._forwarder.set_retry_limits(
            ratio=settings.repeat_ratio, extra=settings.repeat_extra
        )
        event_log.log(_logger, "settings_reloaded", changed=changed)

    async def close(self) -> None:
        """Closes at once and aborts running requests."""
        for server in self._servers:
            server.close()
        self.fleet_sync.close()
        self._clients.abort()
        self._peers.abort()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._pool.close()

    def _make_listener(
        self,
        handle: relay_listener.Handle,
        find_limits: relay_listener.FindLimits,
        *,
        share: float,
        body_copies: int = relay_listener.BODY_COPIES,
    ) -> relay_listener.ListenerState:
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        return relay_listener.ListenerState(
            handle=handle,
            find_limits=find_limits,
            memory=self._client_memory,
            max_connections=connection_slots.compute_limit(
                share=share,
                descriptors=None
                if descriptors == resource.RLIM_INFINITY
                else descriptors,
                maximum=self.settings.max_connections,
            ),
            body_copies=body_copies,
        )

    def _get_limits(self) -> route_table.RequestLimits:
        routes = self.state.routes
        return _DEFAULT_LIMITS if routes is None else routes.limits

    def _get_peer_limits(self) -> route_table.RequestLimits:
        """Returns limits that admit what peers forward."""
        body_bytes = self._get_limits().body_bytes
        return msgspec.structs.replace(
            _DEFAULT_LIMITS,
            body_bytes=body_bytes + peer_requests.MESSAGE_OVERHEAD_BYTES,
        )

    def _list_resumable_services(self) -> set[str]:
        """Returns the services whose broken streams may go on."""
        routes = self.state.routes
        if routes is None:
            return set()
        return {
            share.service
            for route in routes.routes.values()
            if route.is_resumable
            for share in route.shares
        }

    def _make_budget(self) -> fleet_retry_budget.FleetRetryBudget:
        settings = self.settings
        return fleet_retry_budget.FleetRetryBudget(
            ratio=settings.repeat_ratio,
            extra=settings.repeat_extra,
            window_s=settings.repeat_window_s,
        )

    def _allows_cold(self, target: target_table.Target) -> bool:
        """Returns whether this daemon may dispatch to a cold target now."""
        routes = self.state.routes
        service = routes and routes.services.get(target.registration.service)
        if not service or service.cold_per_s <= 0:
            return True
        settings = self.settings
        allowance = cold_rates.compute_allowance(
            target_id=target.id,
            own_id=settings.id,
            daemon_ids=self.fleet_sync.list_sharers(),
            bound_per_s=service.cold_per_s * settings.cold_overage
            + settings.cold_slack,
        )
        now = asyncio.get_running_loop().time()
        return target.count_dispatches(now) < allowance

    def _admits_fragile(self, target: target_table.Target) -> bool:
        """Returns whether one more request leaves a fragile target standing."""
        return self._fragile_services.admits(
            target.registration.service,
            target.id,
            own_load=target.in_flight,
            load=self.fleet_sync.count_load(target),
            slots=target.registration.slots,
            daemons=len(self.fleet_sync.list_sharers()),
            report_interval_s=self.fleet_sync.compute_report_interval_s(),
            now=asyncio.get_running_loop().time(),
            random=self._random,
        )

    def _admits_limited(
        self, target: target_table.Target, is_waiting: bool
    ) -> bool:
        """Returns whether a target's stated limit admits one more request."""
        if target.limit.per_s is None:
            return True
        now = asyncio.get_running_loop().time()
        is_admitted = target.limit.admit(
            peers=self.fleet_sync.count_limited_requests(target),
            now=now,
            random=self._random,
        )
        if is_waiting:
            target.limit.record_waiting(
                daemons=len(self.fleet_sync.list_sharers()),
                now=now,
                random=self._random,
            )
        if not is_admitted:
            self._metrics.count(
                "limit_denials", service=target.registration.service
            )
        return is_admitted

    def _is_ready(self) -> bool:
        is_initialized = (
            self.state.routes is not None and self.fleet_sync.has_all_tables
        )
        return is_initialized and not self._is_leaving

    async def _run_dispatch(self) -> None:
        while True:
            await asyncio.sleep(request_queues.DISPATCH_INTERVAL_S)
            self._queues.dispatch_queued()

    async def _run_housekeeping(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            self._pool.prune()

    async def _answer_peer(
        self,
        head: relay.ClientHead,
        body: bytes,
        client: relay_listener.ClientConnection,
    ) -> None:
        """Answers another daemon."""
        if head.url == peer_requests.PATH:
            await self._answer_forwarded(body, client)
            return
        url = head.url.decode("latin-1")
        target_id = death_witnesses.read_target_id(url)
        if target_id is not None:
            seen = await self._witnesses.answer(target_id)
            client.write_response(200, (), msgspec.msgpack.encode(seen))
            return
        question = origin_questions.read_question(url)
        if question is None:
            await self.fleet_sync.answer_peer(head, body, client)
            return
        answer = await self._resumption.answer(question)
        client.write_response(200, (), msgspec.msgpack.encode(answer))

    async def _answer_forwarded(
        self, body: bytes, client: relay_listener.ClientConnection
    ) -> None:
        now = asyncio.get_running_loop().time()
        try:
            forwarded = peer_requests.decode_request(body, now)
        except errors.MalformedInputError as error:
            event_log.log(
                _logger,
                "forwarded_request_dropped",
                logging.WARNING,
                reason=str(error),
            )
            peer_requests.PeerResponder(client).write_rejection(
                admission.make_refusal(
                    results.Code.NO_TARGET, "request of another release", None
                )
            )
            return
        await self._forwarder.handle_forwarded(forwarded, client)

    async def _answer_health(
        self,
        head: relay.ClientHead,
        body: bytes,
        client: relay_listener.ClientConnection,
    ) -> None:
        """Answers the balancer's check whether this daemon is ready."""
        del head, body
        client.write_response(200 if self._is_ready() else 503, (), b"")

    async def _answer_metrics(
        self,
        head: relay.ClientHead,
        body: bytes,
        client: relay_listener.ClientConnection,
    ) -> None:
        del head, body
        headers = ((b"content-type", b"text/plain"),)
        self._metrics.set_count(
            "log_lines_dropped", event_log.count_dropped_lines()
        )
        self._metrics.set_count(
            "client_memory_reclaims", self._client_memory.reclaim_count
        )
        self._metrics.set_count(
            "displaced_connections",
            sum(
                listener.displaced_count
                for listener in (self._clients, self._peers, *self._operators)
            ),
        )
        client.write_response(200, headers, self._metrics.render())


def load_settings(path: str) -> settings_module.Settings:
    """Reads the settings file.

    Raises:
        OSError: If it can't be read.
        errors.DocumentError: If the file is invalid.
    """
    return settings_module.decode_settings(pathlib.Path(path).read_bytes())


async def run_until_stopped(service: Service) -> bool:
    """Runs a daemon until SIGTERM or SIGINT, then shuts it down gracefully.

    Returns:
        Whether the shutdown succeeded.

    Raises:
        OSError: If an address can't be bound.
    """
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    await service.start()
    await stop_requested.wait()
    try:
        await service.stop()
    except Exception:  # noqa: BLE001 - the process ends, whatever the error
        _logger.exception("shutdown_failed")
        return False
    return True
