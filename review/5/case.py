"""A request that crashes servers runs again after each restart of a daemon."""

import asyncio
import itertools

from review.standins import case as case_module
from review.standins import client as client_module
from review.standins import fleet as fleet_module
from review.standins import server as server_module
from review.standins import wire

SERVICE = "ledger-app"
DAEMONS = 6
SERVERS = 4
CRASHING_PATH = "/claim/7f3a"
CRASHING_BODY = b"claim " * 40
# A server is back some seconds after a crash, with a new id.
DOWN_S = 2.0
# Its old entry goes after three heartbeats of silence.
ENTRY_EXPIRY_S = 3 * server_module.HEARTBEAT_S
PAYMENT_S = 0.1
PAYMENT_INTERVAL_S = 0.03
# Between two requests that crash servers: all servers are back.
REPEAT_S = 5.0
# In touch: the daemon has run for longer than the stability window.
IN_TOUCH_S = fleet_module.STABILITY_S + 0.5
MAX_LATE_RETRIES = 3


class Servers:
    """Servers of the service; those that crash come back."""

    def __init__(self, case: case_module.Case) -> None:
        """Starts without servers."""
        self._case = case
        self._ids = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        # Monotonic seconds of each crash, and the request that caused it.
        self.crashes: list[tuple[float, str]] = []

    async def start(self, address: str = "") -> None:
        """Boots a server, at a free address if none is given."""
        server = server_module.Server(
            server_id=f"i-{next(self._ids):08x}",
            service=SERVICE,
            zone=fleet_module.ZONE,
            store=self._case.store,
            work=self._work,
            slots=6,
        )
        server.address = address
        await server.start("127.0.0.1")

    async def _work(
        self,
        server: server_module.Server,
        run: server_module.Run,
        writer: asyncio.StreamWriter,
    ) -> None:
        run.has_run = True
        await asyncio.sleep(PAYMENT_S)
        if run.request.url != CRASHING_PATH:
            headers = server_module.make_headers(run)
            writer.write(wire.encode_answer(200, headers, b"x"))
            return
        now = asyncio.get_running_loop().time()
        self.crashes.append((now, run.attempt_id))
        self._case.record(f"{run.attempt_id} crashes {server.id}")
        task = asyncio.create_task(self._come_back(server))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        server.crash()

    async def _come_back(self, server: server_module.Server) -> None:
        await asyncio.sleep(DOWN_S)
        await self.start(server.address)
        await asyncio.sleep(ENTRY_EXPIRY_S - DOWN_S)
        self._case.store.remove("servers", server.id)


async def send_payments(
    case: case_module.Case,
    fleet: fleet_module.Fleet,
    calls: list[client_module.Call],
) -> None:
    """Sends payments to the daemons that run, at a steady rate."""

    async def send(daemon: fleet_module.Daemon) -> None:
        call = await client_module.call_once(
            daemon.name,
            daemon.clients,
            "POST",
            "/pay/1",
            fleet_module.make_headers(),
            budget_s=1.5,
        )
        if call is not None:
            calls.append(call)

    for daemon in itertools.cycle(fleet.daemons):
        if daemon.terminated_at is None:
            case.start_task(send(daemon))
            await asyncio.sleep(PAYMENT_INTERVAL_S)
        else:
            await asyncio.sleep(0)


async def repeat_claim(
    case: case_module.Case, daemon: fleet_module.Daemon
) -> client_module.Call | None:
    """Sends the same claim again, with an attempt id of its own."""
    call = await client_module.call_once(
        daemon.name,
        daemon.clients,
        "POST",
        CRASHING_PATH,
        fleet_module.make_headers(),
        budget_s=1.5,
        body=CRASHING_BODY,
    )
    if call is not None:
        case.record(
            f"{call.attempt_id} sent to {call.daemon}: status {call.status}"
        )
    return call


async def play(case: case_module.Case) -> bool:
    """Restarts the daemons in turn while the claim comes again and again."""
    loop = asyncio.get_running_loop()
    routes = [
        fleet_module.make_route(
            name, "non_idempotent", timeoutMs=1500, maxAttempts=1
        )
        for name in ("pay", "claim")
    ]
    config = fleet_module.make_config(1, routes, [SERVICE])
    case.store.put("op", "config", config)
    servers = Servers(case)
    for _ in range(SERVERS):
        await servers.start()
    fleet = case.make_fleet(DAEMONS)
    await fleet.start()
    payments: list[client_module.Call] = []
    case.start_task(send_payments(case, fleet, payments))
    await asyncio.sleep(IN_TOUCH_S)
    calls: list[client_module.Call] = []
    for daemon in fleet.daemons[:3]:
        call = await repeat_claim(case, daemon)
        calls += [call] if call else []
        await asyncio.sleep(REPEAT_S)
    for daemon in fleet.daemons:
        if case.has_trouble:
            await restart(case, daemon)
        await asyncio.sleep(IN_TOUCH_S)
        assert loop.time() - daemon.started_at > fleet_module.STABILITY_S
        call = await repeat_claim(case, daemon)
        calls += [call] if call else []
        await asyncio.sleep(REPEAT_S)
    lost = sum(call.status == 502 for call in payments)
    case.record(f"{lost} of {len(payments)} payments lost with a server")
    return count_late(case, servers, calls)


async def restart(case: case_module.Case, daemon: fleet_module.Daemon) -> None:
    """Stops a daemon with SIGTERM and starts it again."""
    case.record(f"SIGTERM to {daemon.name}")
    await daemon.terminate()
    await asyncio.sleep(fleet_module.RESTART_DELAY_S)
    await daemon.start()
    await daemon.wait_until_ready()
    daemon.terminated_at = None
    case.record(f"{daemon.name} is ready again")


def count_late(
    case: case_module.Case,
    servers: Servers,
    calls: list[client_module.Call],
) -> bool:
    """Returns whether too many retries came after the third crash."""
    case.record(f"{len(servers.crashes)} servers crashed")
    if len(servers.crashes) < 3:
        return False
    since = servers.crashes[2][0] + fleet_module.STABILITY_S
    crashed = {attempt_id for _, attempt_id in servers.crashes}
    late = [
        call
        for call in calls
        if call.attempt_id in crashed and call.sent_at > since
    ]
    case.record(
        f"{len(late)} retries reached servers, through daemons in touch, more "
        f"than {fleet_module.STABILITY_S} s after the third crash"
    )
    return len(late) > MAX_LATE_RETRIES


if __name__ == "__main__":
    case_module.main(__file__, play)
