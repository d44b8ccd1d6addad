"""Tests of limits and state that the daemons of a fleet share."""

import asyncio
import typing
from unittest import mock

from mothpass.adapters import http_exchanges
from mothpass.adapters import http_pool
from mothpass.core import cold_rates
from mothpass.relay import fleet_sync
from tests.platform import fleet
from tests.platform import store_standin
from tests.platform import target_standin

# The test document allows a cold target 10 requests a second.
COLD_PER_S = 10.0
COLD_OVERAGE = 1.5
COLD_SLACK = 5.0
# Less than the time for which a daemon waits for a connection.
SLOW_CONNECTION_S = 0.25
# Time limit for a change at daemons that reach the store or peers.
CHANGE_IN_FORCE_S = 2.0


class SharedBoundsTest(fleet.FleetTest):
    """Limits shared by three daemons."""

    daemons = 3

    async def wait_for_peers(self) -> None:
        """Waits until each daemon receives gossip of the others."""
        await self.wait_for(
            lambda: all(
                len(item.fleet_sync.list_peer_ids()) == len(self.services) - 1
                for item in self.services
            )
        )

    async def test_cold_targets_get_no_more_than_their_rate(self) -> None:
        await self.check_cold_rates()

    async def test_slow_connections_exceed_no_rate_of_cold_targets(
        self,
    ) -> None:
        """Guards against rates that count requests long before they leave."""
        acquire = http_pool.ConnectionPool.acquire
        loop = asyncio.get_running_loop()

        async def acquire_slowly(
            *args: typing.Any, **options: typing.Any
        ) -> http_exchanges.Connection:
            # Requests of one second leave late, those of the next one don't.
            if int(loop.time()) % 2:
                await asyncio.sleep(SLOW_CONNECTION_S)
            return await acquire(*args, **options)

        with mock.patch.object(
            http_pool.ConnectionPool, "acquire", acquire_slowly
        ):
            await self.check_cold_rates()

    async def check_cold_rates(self) -> None:
        """Sends more than cold targets may get; checks what they got."""
        await self.wait_for_peers()
        for target in self.models:
            entry = target.encode_entry("models", born=2000, coldLeftMs=60_000)
            self.store.put("servers", target.id, entry)
        await asyncio.sleep(0.5)
        loop = asyncio.get_running_loop()
        arrivals: dict[str, list[float]] = {}

        def record_arrivals(
            target: target_standin.Target,
        ) -> target_standin.Script:
            async def run(*args: object) -> None:
                arrivals.setdefault(target.id, []).append(loop.time())
                await target_standin.answer_normally(*args)  # type: ignore[arg-type]

            return run

        for target in self.models:
            target.answer = record_arrivals(target)
        sending = []
        for number in range(240):
            headers = self.make_chat_headers()
            headers["Prompt-Prefix"] = f"aa:80,{number % 7:x}b:30,cc:10"
            request = self.send_request(
                "POST", "/chat/1", headers, b"x", number % 3
            )
            sending.append(asyncio.ensure_future(request))
            await asyncio.sleep(0.01)
        answers = await asyncio.gather(*sending)
        self.assertLessEqual({item.status for item in answers}, {200, 503})
        bound = COLD_PER_S * COLD_OVERAGE + COLD_SLACK
        self.assertTrue(arrivals)
        for times in arrivals.values():
            most = max(
                sum(1 for other in times if 0 <= other - start < 1.0)
                for start in times
            )
            self.assertLessEqual(most, bound)
            self.assertGreater(most, bound * cold_rates.PLANNED_SHARE / 3)

    async def test_request_that_crashes_targets_is_quarantined_fleet_wide(
        self,
    ) -> None:
        await self.wait_for_peers()
        more = [await self.add_target("models") for _ in range(4)]
        targets = [*self.models, *more]
        known = self.services[2].state.targets.targets
        await self.wait_for(lambda: all(item.id in known for item in more))
        for target in targets:
            target.answer = target_standin.crash
        for number in range(5):
            headers = self.make_chat_headers()
            daemon = number % 3
            await self.send_request(
                "POST", "/chat/kill", headers, b"kill", daemon
            )
            await asyncio.sleep(0.4)
        crashed = sum(1 for target in targets if target.runs)
        self.assertLessEqual(crashed, 3)
        for target in targets:
            target.answer = target_standin.answer_normally
        other = await self.send_request(
            "POST", "/chat/well", self.make_chat_headers(), b"well", 2
        )
        self.assertEqual(other.status, 200)

    async def test_retries_of_all_daemons_stay_within_the_budget(self) -> None:
        await self.wait_for_peers()
        for target in self.plain:
            target.answer = target_standin.lose_answer
        requests = 300
        sending = [
            self.send_request("GET", f"/read/{number}", daemon=number % 3)
            for number in range(requests)
        ]
        for start in range(0, requests, 30):
            await asyncio.gather(*sending[start : start + 30])
        arrivals = sum(len(target.runs) for target in self.plain)
        settings = self.services[0].settings
        budget = settings.repeat_ratio * requests + settings.repeat_extra
        retries = arrivals - requests
        self.assertLessEqual(retries, budget)
        self.assertGreater(retries, budget / 3)

    async def test_daemons_that_all_died_serve_again(self) -> None:
        await self.wait_for_peers()
        for service in self.services:
            await service.close()
        self.services.clear()
        self.addresses.clear()
        for number in range(self.daemons):
            await self.add_daemon(number)
        for number in range(self.daemons):
            answer = await self.send_request("GET", "/read/1", daemon=number)
            self.assertEqual(answer.status, 200)
            chat = self.make_chat_headers()
            answer = await self.send_request(
                "POST", "/chat/1", chat, b"x", number
            )
            self.assertTrue(answer.is_whole)


class CutDaemonBoundsTest(SharedBoundsTest):
    """The same limits while the requests of one daemon go through peers."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.wait_for_peers()
        self.cut_daemon(0, fleet.Cut.SILENT)
        await self.send_request("GET", "/read/1")
        await self.send_request("POST", "/chat/1", self.make_chat_headers())
        monitor = self.services[0].fleet_sync.path_monitor
        await self.wait_for(
            lambda: monitor.is_cut_off("plain") and monitor.is_cut_off("models")
        )


class RejectedDaemonTest(fleet.FleetTest):
    """A daemon that the store rejects, beside two that it serves."""

    daemons = 2

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.other = store_standin.Store()
        await self.other.open()
        self.addCleanup(self.other.close)
        self.other.status = 503
        await self.add_daemon(2, self.other.address)

    async def test_closed_zone_gets_nothing(self) -> None:
        other_zone_target = await self.add_target("plain", zone="zone-b")
        self.store.put("op", "evacuate/zone-a", {})
        await asyncio.sleep(1.0)
        for _ in range(4):
            answer = await self.send_request("GET", "/read/1", daemon=2)
            self.assertEqual(answer.status, 200)
        self.assertEqual(len(other_zone_target.runs), 4)

    async def test_draining_target_gets_nothing(self) -> None:
        first, second = self.plain
        entry = first.encode_entry("plain", state="draining")
        self.store.put("servers", first.id, entry)
        await asyncio.sleep(1.0)
        for _ in range(4):
            await self.send_request("GET", "/read/1", daemon=2)
        self.assertEqual((len(first.runs), len(second.runs)), (0, 4))


class SlowTransfersTest(fleet.FleetTest):
    """Fetching whole large tables from a peer over slow links."""

    daemons = 0

    async def test_daemon_without_tables_waits_for_a_slow_transfer(
        self,
    ) -> None:
        other = store_standin.Store()
        await other.open()
        self.addCleanup(other.close)
        other.status = 503
        answer_peer = fleet_sync.FleetSync.answer_peer

        async def answer_slowly(*args: object) -> None:
            await asyncio.sleep(2 * fleet_sync.PEER_ANSWER_TIMEOUT_S)
            await answer_peer(*args)  # type: ignore[arg-type]

        with mock.patch.object(
            fleet_sync.FleetSync, "answer_peer", answer_slowly
        ):
            await self.add_daemon(0)
            await self.add_daemon(1, other.address)
        answer = await self.send_request("GET", "/read/1", daemon=1)
        self.assertEqual(answer.status, 200)


class SilentReadersTest(fleet.FleetTest):
    """A store that falls silent for just the daemons that read it.

    Without a poll by other daemons, changes would wait for the readers' calls
    to time out.
    """

    daemons = 0

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # Shorter calls than in production, so that the readers settle soon.
        patched = mock.patch.object(fleet_sync, "CHANGE_FEED_WAIT_S", 3.0)
        patched.start()
        self.addCleanup(patched.stop)

    async def test_removed_key_is_in_force_in_time(self) -> None:
        endpoints = []
        for number in range(5):
            endpoint = await self.store.open_endpoint()
            endpoints.append(endpoint)
            await self.add_daemon(number, endpoint.address)
        # Each daemon reads the store until enough peers do.
        await asyncio.sleep(fleet_sync.CHANGE_FEED_WAIT_S + 1.0)
        for endpoint in endpoints:
            endpoint.calls.clear()
        await asyncio.sleep(fleet_sync.CHANGE_FEED_WAIT_S + 0.5)
        readers = [endpoint for endpoint in endpoints if endpoint.calls]
        self.assertLess(len(readers), len(endpoints))
        for endpoint in readers:
            endpoint.is_silent = True
        self.document |= {"version": 2, "tenants": []}
        self.store.put("op", "config", self.document)
        await asyncio.sleep(CHANGE_IN_FORCE_S)
        for number in range(len(endpoints)):
            answer = await self.send_request("GET", "/read/1", daemon=number)
            self.assertEqual(answer.status, 401)


class StoreFaultsTest(fleet.FleetTest):
    """A store that is silent, slow or loses answers."""

    daemons = 2

    async def serve_and_change(self) -> None:
        """Makes requests, then waits until a new version is in force."""
        for number in range(self.daemons):
            answer = await self.send_request("GET", "/read/1", daemon=number)
            self.assertEqual(answer.status, 200)
        self.store.is_silent = False
        self.store.delay_s = 0.0
        self.store.put("op", "config", fleet.make_document(version=7))
        await self.wait_for(
            lambda: all(
                item.state.routes is not None and item.state.routes.version == 7
                for item in self.services
            ),
            8.0,
        )

    async def test_silent_store_delays_no_request(self) -> None:
        self.store.is_silent = True
        self.store.put("op", "config", fleet.make_document(version=3))
        await asyncio.sleep(1.0)
        await self.serve_and_change()

    async def test_slow_store_delays_no_request(self) -> None:
        self.store.delay_s = 0.6
        await asyncio.sleep(1.0)
        await self.serve_and_change()

    async def test_daemon_whose_registration_answer_is_lost_is_found(
        self,
    ) -> None:
        self.store.loses_answers = True
        await self.add_daemon(2)
        await self.wait_for(lambda: "front-2" in self.store.read("daemons"))
        self.store.loses_answers = False
        await self.wait_for(
            lambda: all(
                len(item.fleet_sync.list_peer_ids()) == 2
                for item in self.services
            )
        )
