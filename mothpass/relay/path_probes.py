"""Probes targets in the background while a daemon may be cut off from them."""

import asyncio
from collections import abc
import logging
import random as random_module

from mothpass.adapters import event_log
from mothpass.adapters import http_pool
from mothpass.core import errors
from mothpass.core import target_paths
from mothpass.core import target_table
from mothpass.relay import metrics as metrics_module

# Between two probes of a service.
PROBE_INTERVAL_S = 0.5
# Requests show the state of the path where connections are opened this often.
RECENT_CONNECTION_S = 1.0

_logger = logging.getLogger("mothpass.paths")


class PathMonitor:
    """Knows to which services this daemon has no path; probes these.

    Attributes:
        paths: Evidence from new connections to targets.
    """

    __slots__ = (
        "_announce",
        "_cut_off",
        "_metrics",
        "_pool",
        "_probing",
        "_random",
        "_targets",
        "paths",
    )

    def __init__(
        self,
        *,
        pool: http_pool.ConnectionPool,
        targets: target_table.TargetTable,
        announce: abc.Callable[[], None],
        metrics: metrics_module.Metrics,
        random: random_module.Random,
    ) -> None:
        """Starts without evidence.

        Args:
            pool: Connections to targets.
            targets: Targets of all services.
            announce: Tells peers that a path was lost or found.
            metrics: Counters.
            random: Source of randomness.
        """
        self._pool = pool
        self._targets = targets
        self._announce = announce
        self._metrics = metrics
        self._random = random
        self._probing: dict[str, asyncio.Task[None]] = {}
        self._cut_off: set[str] = set()
        self.paths = target_paths.TargetPaths()

    def close(self) -> None:
        """Stops all probes."""
        for task in self._probing.values():
            task.cancel()

    def list_cut_off(self) -> list[str]:
        """Returns the services to report as cut off from this daemon."""
        return sorted(self._cut_off)[: target_paths.MAX_REPORTED_SERVICES]

    def is_cut_off(self, service: str) -> bool:
        """Returns whether this daemon has no path to a service's targets."""
        return service in self._cut_off

    def has_tried_all(self, service: str) -> bool:
        """Returns whether none of a service's targets can be reached."""
        return self.paths.has_tried_all(
            service, self._list_ids(service), asyncio.get_running_loop().time()
        )

    def record_connected(self, service: str) -> None:
        """Records that a connection to a target was opened."""
        now = asyncio.get_running_loop().time()
        self.paths.record_connected(service, now)
        self._update(service, now)

    def record_unreachable(self, target: target_table.Target) -> None:
        """Records that no connection to a target could be opened."""
        service = target.registration.service
        now = asyncio.get_running_loop().time()
        self.paths.record_unreachable(service, target.id, now)
        self._update(service, now)
        self.check(service)

    def check(self, service: str) -> None:
        """Probes a service, unless its path has just been seen to work."""
        loop = asyncio.get_running_loop()
        is_in_use = self.paths.has_connected_since(
            service, loop.time() - RECENT_CONNECTION_S
        )
        if service in self._probing or (
            is_in_use and not self.is_cut_off(service)
        ):
            return
        self._probing[service] = loop.create_task(self._run_probes(service))

    async def _run_probes(self, service: str) -> None:
        """Probes a service until a connection is opened."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                targets = self._targets.list_registered(service)
                if targets:
                    target_id = self.paths.pick_to_probe(
                        service,
                        [item.id for item in targets],
                        random=self._random,
                    )
                    await self._probe(self._targets.targets[target_id])
                if not self.paths.is_suspected(service, loop.time()):
                    return
                await asyncio.sleep(PROBE_INTERVAL_S)
        finally:
            del self._probing[service]
            self._update(service, loop.time())

    async def _probe(self, target: target_table.Target) -> None:
        address = target.registration.address
        service = target.registration.service
        now = asyncio.get_running_loop().time
        self._metrics.count("path_probes", service=service)
        try:
            connection = await self._pool.acquire(address, fresh=True)
        except errors.TargetUnreachableError:
            self.paths.record_unreachable(service, target.id, now())
            self._update(service, now())
        else:
            connection.close()
            self.record_connected(service)

    def _list_ids(self, service: str) -> list[str]:
        return [item.id for item in self._targets.list_registered(service)]

    def _update(self, service: str, now: float) -> None:
        """Logs and announces that a path was lost or found."""
        is_cut_off = self.paths.is_cut_off(
            service, self._list_ids(service), now
        )
        if is_cut_off == (service in self._cut_off):
            return
        if is_cut_off:
            self._cut_off.add(service)
            self._metrics.count("lost_paths", service=service)
        else:
            self._cut_off.discard(service)
        event_log.log(
            _logger,
            "path_lost" if is_cut_off else "path_found",
            logging.WARNING,
            service=service,
        )
        self._announce()
