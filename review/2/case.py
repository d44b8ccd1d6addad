"""A daemon that stops takes a new request on a channel that it should close."""

import asyncio
import signal

from review.standins import case as case_module
from review.standins import client as client_module
from review.standins import fleet as fleet_module
from review.standins import server as server_module

CLIENTS = 6
EVENTS = 50
EVENT_GAP_S = 0.1
BUDGET_S = 12.0
# The first chats begin this long before the SIGTERM.
LEAD_S = 1.5
# Requests that were sent later than this after the SIGTERM aren't excused by a
# runner that is still at work at the end of the grace time.
EXCUSED_S = 3.0


async def chat(
    case: case_module.Case,
    number: int,
    fleet: fleet_module.Fleet,
    until: float,
    calls: list[client_module.Call],
) -> None:
    """Sends chats one after the other, on one channel while it is open."""
    loop = asyncio.get_running_loop()
    headers = fleet_module.make_chat_headers(f"{number:08x}")
    channel = None
    await asyncio.sleep(0.1 * number)
    while loop.time() < until:
        if channel is None or not channel.is_open:
            # The platform gives new channels to daemons that are ready.
            daemon = fleet.daemons[0]
            if not await daemon.is_ready():
                daemon = fleet.daemons[1]
            channel = await client_module.Channel.open(
                daemon.name, daemon.clients
            )
        call = await channel.call(
            "POST",
            "/chat/1",
            headers,
            budget_s=BUDGET_S,
            body=b"q" * 1000,
        )
        calls.append(call)
        case.record(
            f"{call.attempt_id} by client {number} to {call.daemon}: sent "
            f"{call.sent_at - case.start:.3f}, status {call.status}, "
            f"{'whole' if call.is_whole else 'CUT'}, "
            f"{call.body.count(b'id:')} events, "
            f"{'kept' if call.is_reused else 'new'} channel"
        )
    if channel is not None:
        channel.close()


async def play(case: case_module.Case) -> bool:
    """Stops a daemon while its clients chat; returns whether one is cut."""
    loop = asyncio.get_running_loop()
    routes = [
        fleet_module.make_route(
            "chat",
            "stream",
            service="digest-models",
            sessionAffinity=True,
            streamResume=True,
        )
    ]
    config = fleet_module.make_config(1, routes, ["digest-models"])
    case.store.put("op", "config", config)
    servers = [
        server_module.Server(
            server_id=f"i-{number:08x}",
            service="digest-models",
            zone=fleet_module.ZONE,
            store=case.store,
            work=server_module.make_stream_work(EVENTS, EVENT_GAP_S),
        )
        for number in range(3)
    ]
    for server in servers:
        await server.start("127.0.0.1")
    fleet = case.make_fleet(3)
    await fleet.start()
    await asyncio.sleep(fleet_module.STABILITY_S + 1.0)
    calls: list[client_module.Call] = []
    until = loop.time() + 6.0
    chats = [
        asyncio.create_task(chat(case, number, fleet, until, calls))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(LEAD_S)
    stopped = fleet.daemons[0]
    if case.has_trouble:
        case.record(f"SIGTERM to {stopped.name}")
        stopped.signal(signal.SIGTERM)
        await stopped.wait_for_end(fleet_module.GRACE_S)
        case.record(f"{stopped.name} has ended")
    await asyncio.gather(*chats)
    return find_lost(case, stopped, servers, calls)


def find_lost(
    case: case_module.Case,
    stopped: fleet_module.Daemon,
    servers: list[server_module.Server],
    calls: list[client_module.Call],
) -> bool:
    """Returns whether requests were cut that nothing excuses."""
    runs = {run.attempt_id: run for item in servers for run in item.runs}
    lost = 0
    for call in calls:
        run = runs.get(call.attempt_id)
        if call.is_whole or run is None or call.daemon != stopped.name:
            continue
        terminated_at = stopped.terminated_at or call.ended_at
        sent_s = call.sent_at - terminated_at
        cut_s = call.ended_at - terminated_at
        is_planned = 0.0 <= cut_s <= fleet_module.GRACE_S + 1.0
        is_excused = sent_s <= EXCUSED_S or run.end != "cut"
        case.record(
            f"{call.attempt_id}: sent {sent_s:.3f} s and cut {cut_s:.3f} s "
            f"after the SIGTERM, run by {run.server} from "
            f"{run.at - terminated_at:.3f} s on, which ended as {run.end}"
        )
        lost += is_planned and not is_excused
    case.record(f"lost: {lost} of {len(calls)} requests")
    return lost > 0


if __name__ == "__main__":
    case_module.main(__file__, play)
