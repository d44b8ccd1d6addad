"""A fleet under steady traffic, one of whose servers drains and leaves."""

import asyncio
import itertools

from review.standins import case as case_module
from review.standins import client as client_module
from review.standins import fleet as fleet_module
from review.standins import server as server_module

SERVICE = "ledger-app"
SERVERS = 4
DAEMONS = 3
WORK_S = 0.1
REQUEST_INTERVAL_S = 0.025
# A draining server goes on to serve for longer than it has to.
SERVING_S = 4.0
# After the server has left.
AFTERWARDS_S = 2.0


class Deployment:
    """Daemons, servers and requesters of reads and payments.

    Attributes:
        servers: Servers; the first one is the one that drains.
    """

    def __init__(self, case: case_module.Case, *, store: str = "") -> None:
        """Creates a deployment that isn't started.

        Args:
            case: The case.
            store: Address of a proxy before the store, if there is one.
        """
        self._case = case
        self._calls: dict[str, list[client_module.Call]] = {}
        self._fleet = case.make_fleet(DAEMONS, store)
        self.servers = [self.make_server(number) for number in range(SERVERS)]

    def make_server(self, number: int) -> server_module.Server:
        """Returns a server that isn't started."""
        return server_module.Server(
            server_id=f"i-{number:08x}",
            service=SERVICE,
            zone=fleet_module.ZONE,
            store=self._case.store,
            work=server_module.make_plain_work(WORK_S),
            slots=6,
        )

    async def start(self) -> None:
        """Starts everything and waits until all daemons are in touch."""
        routes = [
            fleet_module.make_route("read", "idempotent", timeoutMs=1500),
            fleet_module.make_route(
                "pay", "non_idempotent", timeoutMs=1500, maxAttempts=1
            ),
        ]
        config = fleet_module.make_config(1, routes, [SERVICE])
        self._case.store.put("op", "config", config)
        for server in self.servers:
            await server.start("127.0.0.1")
        await self._fleet.start()
        for method, path in (("GET", "/read/1"), ("POST", "/pay/1")):
            self._case.start_task(self._send_requests(method, path))
        await asyncio.sleep(fleet_module.STABILITY_S + 1.0)

    async def drain(self) -> bool:
        """Drains the first server; returns whether requests reach it late."""
        loop = asyncio.get_running_loop()
        draining = self.servers[0]
        draining.drain()
        acknowledged_at = loop.time()
        self._case.record(
            f"{draining.id} drains; the store has acknowledged it"
        )
        await asyncio.sleep(SERVING_S)
        draining.crash()
        self._case.store.remove("servers", draining.id)
        self._case.record(f"{draining.id} has left")
        await asyncio.sleep(AFTERWARDS_S)
        return self._count_late(draining, acknowledged_at)

    async def _send_requests(self, method: str, path: str) -> None:
        """Sends requests to all daemons in turn, at a steady rate."""
        calls = self._calls[path] = []

        async def send(daemon: fleet_module.Daemon) -> None:
            call = await client_module.call_once(
                daemon.name,
                daemon.clients,
                method,
                path,
                fleet_module.make_headers(),
                budget_s=1.5,
            )
            if call is not None:
                calls.append(call)

        for daemon in itertools.cycle(self._fleet.daemons):
            self._case.start_task(send(daemon))
            await asyncio.sleep(REQUEST_INTERVAL_S)

    def _count_late(
        self, draining: server_module.Server, acknowledged_at: float
    ) -> bool:
        self._record_requests(acknowledged_at)
        limit = acknowledged_at + fleet_module.DRAIN_S
        late = [
            run for run in draining.runs if run.at > limit and run.end != "421"
        ]
        for path, calls in self._calls.items():
            ends: dict[int, int] = {}
            for call in calls:
                ends[call.status] = ends.get(call.status, 0) + 1
            self._case.record(f"{path}: {len(calls)} sent, by status {ends}")
        self._case.record(
            f"{len(late)} requests reached {draining.id} more than "
            f"{fleet_module.DRAIN_S} s after the acknowledgement"
        )
        return bool(late)

    def _record_requests(self, acknowledged_at: float) -> None:
        """Records what was sent, answered and run around the drain."""
        runs: dict[str, list[server_module.Run]] = {}
        for server in self.servers:
            for run in server.runs:
                runs.setdefault(run.attempt_id, []).append(run)
        for path, calls in self._calls.items():
            for call in calls:
                if call.ended_at < acknowledged_at:
                    continue
                reached = ", ".join(
                    f"{run.server} at {run.at - acknowledged_at:.3f} s "
                    f"({run.end})"
                    for run in runs.get(call.attempt_id, ())
                )
                self._case.record(
                    f"{call.attempt_id} {path} sent "
                    f"{call.sent_at - acknowledged_at:.3f} s after the "
                    f"acknowledgement to {call.daemon}, status {call.status}, "
                    f"reached {reached or 'no server'}"
                )
