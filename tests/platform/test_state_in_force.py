"""Tests of how changes of routes and targets reach each daemon."""

import asyncio

from mothpass.core import target_table
from mothpass.relay import gossip
from mothpass.relay import state as state_module
from tests.platform import fleet
from tests.platform import store_standin
from tests.platform import target_standin
from tests.platform import wire


class RoutesTest(fleet.FleetTest):
    """Routes and API keys of the operator's document."""

    async def test_unknown_routes_and_keys_are_rejected(self) -> None:
        answer = await self.send_request("GET", "/nowhere/1")
        self.assertEqual(answer.status, 404)
        headers = self.make_headers(Authorization="Bearer wrong")
        answer = await self.send_request("GET", "/read/1", headers)
        self.assertEqual(answer.status, 401)
        answer = await self.send_request("GET", "/open/1", headers)
        self.assertEqual(answer.status, 200)

    async def test_longest_prefix_decides(self) -> None:
        routes = self.document["routes"]
        assert isinstance(routes, list)
        routes.append(
            fleet.make_route(
                "deep", "idempotent", prefix="/read/deep/", service="models"
            )
        )
        self.document["version"] = 5
        self.store.put("op", "config", self.document)
        await self.wait_for_version(5)
        await self.send_request("GET", "/read/deep/1")
        await self.send_request("GET", "/read/deep")
        self.assertEqual(sum(len(item.runs) for item in self.models), 1)
        self.assertEqual(sum(len(item.runs) for item in self.plain), 1)

    async def test_older_version_never_comes_back(self) -> None:
        newer = fleet.make_document(version=9) | {"tenants": []}
        self.store.put("op", "config", newer)
        await self.wait_for_version(9)
        self.store.put("op", "config", fleet.make_document(version=3))
        await asyncio.sleep(0.3)
        answer = await self.send_request("GET", "/read/1")
        self.assertEqual(answer.status, 401)

    async def test_invalid_document_changes_nothing(self) -> None:
        self.store.put("op", "config", b'{"version": 7, "routes": 3}')
        await asyncio.sleep(0.2)
        answer = await self.send_request("GET", "/read/1")
        self.assertEqual(answer.status, 200)

    async def test_whole_table_is_read_when_the_history_is_gone(self) -> None:
        self.store.forgets_history = True
        self.store.put("op", "config", fleet.make_document(version=2))
        await self.wait_for_version(2)

    async def test_closed_zone_gets_nothing(self) -> None:
        other_zone_target = await self.add_target("plain", zone="zone-b")
        self.store.put("op", "evacuate/zone-a", {})
        await self.wait_for(
            lambda: self.state.targets.closed_zones == {"zone-a"}
        )
        for _ in range(4):
            await self.send_request("GET", "/read/1")
        self.assertEqual(len(other_zone_target.runs), 4)
        self.store.remove("op", "evacuate/zone-a")
        await self.wait_for(lambda: not self.state.targets.closed_zones)

    @property
    def state(self) -> state_module.State:
        """State of the first daemon."""
        return self.services[0].state


class EntriesTest(fleet.FleetTest):
    """Entries under which targets register."""

    async def test_draining_and_removed_targets_get_nothing(self) -> None:
        first, second = self.plain
        registration = first.encode_entry("plain", state="draining")
        self.store.put("servers", first.id, registration)
        await self.wait_for(
            lambda: self.find_target(first.id).registration.is_draining
        )
        for _ in range(4):
            await self.send_request("GET", "/read/1")
        self.assertEqual((len(first.runs), len(second.runs)), (0, 4))
        self.store.remove("servers", second.id)
        await self.wait_for(lambda: second.id not in self.targets)
        answer = await self.send_request("GET", "/read/1")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 0)

    async def test_invalid_entries_are_ignored(self) -> None:
        for number, raw in enumerate(
            (b"", b"{", b'{"service": 3}', b'{"service":"plain","addr":"x"}')
        ):
            self.store.put("servers", f"torn-{number}", raw)
        unknown = self.plain[0].encode_entry("plain", state="odd")
        self.store.put("servers", self.plain[0].id, unknown)
        await self.wait_for(lambda: self.plain[0].id not in self.targets)
        answer = await self.send_request("GET", "/read/1")
        self.assertEqual(answer.status, 200)
        self.assertEqual(len(self.targets), 3)

    async def test_restarted_target_is_cold(self) -> None:
        first = self.models[0]
        known = self.find_target(first.id)
        registration = first.encode_entry("models", born=2000, coldLeftMs=3000)
        self.store.put("servers", first.id, registration)
        await self.wait_for(lambda: self.find_target(first.id) is not known)
        now = asyncio.get_running_loop().time()
        self.assertTrue(self.find_target(first.id).is_cold(now))

    async def test_removal_after_an_outage_is_held(self) -> None:
        self.store.status = 503
        await self.wait_for(
            lambda: not self.services[0].fleet_sync.is_store_stable(), 8.0
        )
        self.store.remove("servers", self.plain[0].id)
        self.store.status = 0
        await asyncio.sleep(1.0)
        self.assertIn(self.plain[0].id, self.targets)
        await self.wait_for(lambda: self.plain[0].id not in self.targets, 4.0)

    @property
    def targets(self) -> dict[str, object]:
        """Targets that the first daemon knows."""
        return dict(self.services[0].state.targets.targets)

    def find_target(self, target_id: str) -> target_table.Target:
        """Returns a target as the first daemon knows it."""
        return self.services[0].state.targets.targets[target_id]


class PeersTest(fleet.FleetTest):
    """Daemons that pass state on to their peers."""

    daemons = 2

    async def test_daemon_that_the_store_rejects_gets_key_changes(
        self,
    ) -> None:
        other = store_standin.Store()
        await other.open()
        self.addCleanup(other.close)
        other.status = 503
        await self.add_daemon(2, other.address)
        answer = await self.send_request("GET", "/read/1", daemon=2)
        self.assertEqual(answer.status, 200)
        self.document |= {"version": 2, "tenants": []}
        self.store.put("op", "config", self.document)
        await asyncio.sleep(1.0)
        answer = await self.send_request("GET", "/read/1", daemon=2)
        self.assertEqual(answer.status, 401)

    async def test_daemons_find_each_other(self) -> None:
        await self.wait_for(
            lambda: all(
                len(item.fleet_sync.list_peer_ids()) == 1
                for item in self.services
            )
        )

    async def test_prompts_are_fetched_from_where_another_daemon_sent_them(
        self,
    ) -> None:
        await self.test_daemons_find_each_other()
        others = [await self.add_target("models") for _ in range(3)]
        await self.set_draining(self.models, is_draining=True)
        keys = [f"{number}b" for number in range(16)]
        for key in keys:
            await self.send_chat(key, daemon=0)
        holders = {
            request.headers["prompt-prefix"]: target.address
            for target in others
            for request in target.requests
        }
        self.assertEqual(len(holders), len(keys))
        # A message carries twelve cached prompts, and each is sent twice.
        await asyncio.sleep(6 * gossip.TICK_INTERVAL_S)
        await self.set_draining(self.models, is_draining=False)
        for key in keys:
            await self.send_chat(key, daemon=1)
        fetched = [item for target in self.models for item in target.requests]
        self.assertTrue(fetched)
        for request in fetched:
            holder = holders[request.headers["prompt-prefix"]]
            self.assertEqual(request.headers["kv-fetch"], holder)

    async def set_draining(
        self, targets: list[target_standin.Target], *, is_draining: bool
    ) -> None:
        """Changes the state of targets and waits until all daemons have it."""
        state = "draining" if is_draining else "ready"
        for target in targets:
            registration = target.encode_entry("models", state=state)
            self.store.put("servers", target.id, registration)
        known = [service.state.targets.targets for service in self.services]
        await self.wait_for(
            lambda: all(
                table[item.id].registration.is_draining == is_draining
                for table in known
                for item in targets
            )
        )

    async def send_chat(self, key: str, daemon: int) -> None:
        """Makes a model request with a prompt of 9000 tokens."""
        headers = self.make_chat_headers()
        headers["Prompt-Prefix"] = f"aa:80,{key}:9000,cc:10"
        answer = await self.send_request(
            "POST", "/chat/1", headers, b"x", daemon
        )
        self.assertTrue(answer.is_whole)

    async def test_prompts_are_fetched_from_a_closed_zone(self) -> None:
        other_zone_target = await self.add_target("models", zone="zone-b")
        targets = self.services[0].state.targets
        await self.wait_for(lambda: other_zone_target.id in targets.targets)
        for number in range(8):
            await self.send_chat(f"{number}b", daemon=0)
        self.store.put("op", "evacuate/zone-a", {})
        await self.wait_for(lambda: targets.closed_zones == {"zone-a"})
        other_zone_target.requests.clear()
        for number in range(8):
            await self.send_chat(f"{number}b", daemon=0)
        self.assertEqual(len(other_zone_target.requests), 8)
        closed = {item.address for item in self.models}
        sources = {
            item.headers.get("kv-fetch") for item in other_zone_target.requests
        }
        self.assertTrue(sources & closed)

    async def test_few_daemons_read_the_store(self) -> None:
        for number in range(2, gossip.MIN_READERS + 3):
            await self.add_daemon(number)
        await asyncio.sleep(gossip.HEARTBEAT_INTERVAL_S + 5.0)
        self.store.calls.clear()
        await asyncio.sleep(2.0)
        before = len(self.store.calls)
        self.store.put("op", "config", fleet.make_document(version=2))
        await asyncio.sleep(0.5)
        readers = (len(self.store.calls) - before) / 2
        self.assertLessEqual(readers, gossip.MIN_READERS)
        for service in self.services:
            routes = service.state.routes
            assert routes is not None
            self.assertEqual(routes.version, 2)


class ShutdownTest(fleet.FleetTest):
    """Graceful shutdown."""

    async def test_stop_completes_requests_and_closes_connections(self) -> None:
        client = await wire.Client.connect(self.addresses[0])
        client.send("GET", "/read/1", self.make_headers())
        answer = await client.read()
        self.assertNotIn("connection", answer.headers)
        stopping = asyncio.ensure_future(self.services[0].stop())
        await asyncio.sleep(0.1)
        client.send("GET", "/read/2", self.make_headers())
        answer = await client.read()
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers["connection"], "close")
        self.assertTrue(await client.is_closed())
        late = await self.send_request("GET", "/read/3")
        self.assertEqual(late.status, 200)
        await stopping


class ClientLimitsTest(fleet.FleetTest):
    """Limits and framing of clients' requests."""

    async def test_limits_are_enforced(self) -> None:
        long = self.make_headers(Long="x" * 5000)
        cases = (
            ("GET", "/read/1", long, b"", 431),
            ("POST", "/pay/1", self.make_headers(), b"x" * 10_001, 413),
        )
        for method, path, headers, body, status in cases:
            with self.subTest(status=status):
                answer = await self.send_request(method, path, headers, body)
                self.assertEqual(answer.status, status)

    async def test_smuggled_request_runs_nowhere(self) -> None:
        client = await wire.Client.connect(self.addresses[0])
        head = (
            f"POST /pay/1 HTTP/1.1\r\nHost: {fleet.HOST}\r\n"
            f"Authorization: Bearer {fleet.KEY}\r\nAttempt-Id: outer\r\n"
            "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
            "0\r\n\r\nGET /read/9 HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        client.write(head.encode())
        answer = await client.read()
        self.assertEqual(answer.status, 400)
        self.assertEqual([item.runs for item in self.plain], [[], []])

    async def test_connections_stay_open_for_further_requests(self) -> None:
        client = await wire.Client.connect(self.addresses[0])
        for _ in range(3):
            client.send("GET", "/read/1", self.make_headers())
            self.assertEqual((await client.read()).status, 200)

    async def test_chunked_body_is_forwarded_whole(self) -> None:
        client = await wire.Client.connect(self.addresses[0])
        headers = self.make_headers(Transfer_Encoding="chunked")
        client.send("POST", "/pay/1", headers)
        client.write(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        self.assertEqual((await client.read()).status, 200)
        [seen] = [item for target in self.plain for item in target.requests]
        self.assertEqual(seen.body, b"abcde")
        self.assertNotIn("transfer-encoding", seen.headers)
