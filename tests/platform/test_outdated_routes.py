"""Tests of what a daemon refuses by routes that may be outdated."""

import asyncio

from tests.platform import fleet
from tests.platform import slow_link
from tests.platform import store_standin
from tests.platform import wire

# Time limit for a change, as the settings of the tests have it.
IN_FORCE_S = 2.0
_NEW_KEY = "key-of-blue"


class _OutdatedTest(fleet.FleetTest):
    """Base class: a daemon whose only source of changes is a slow peer."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        other = store_standin.Store()
        await other.open()
        self.addCleanup(other.close)
        other.status = 503
        peer = self.services[0].fleet_sync.address
        self.link = slow_link.SlowLink(upstream=peer, bytes_per_s=1e6)
        await self.link.open()
        self.addCleanup(self.link.close)
        await self.add_daemon(1, other.address, {peer: self.link.address})
        await self.wait_for_confirmation()

    async def wait_for_confirmation(self) -> None:
        """Waits until the slow daemon knows that its routes are current."""
        async with asyncio.timeout(IN_FORCE_S):
            while (  # noqa: ASYNC110 - no event is signalled
                await self.send_slow("/nowhere/1")
            ).status != 404:
                await asyncio.sleep(0.05)

    async def send_slow(self, path: str, key: str = fleet.KEY) -> wire.Answer:
        """Sends a request to the slow daemon."""
        headers = self.make_headers(Authorization=f"Bearer {key}")
        return await self.send_request("GET", path, headers, daemon=1)

    async def put_newer_routes(self, *, removed_key: bool = False) -> None:
        """Changes routes and keys, which the slow daemon can't fetch."""
        self.link.set_rate(1.0)
        document = fleet.make_document(version=2)
        routes = document["routes"]
        assert isinstance(routes, list)
        routes.append(fleet.make_route("new", "idempotent"))
        tenants = [{"name": "blue", "apiKeys": [_NEW_KEY]}]
        if not removed_key:
            tenants.append({"name": "red", "apiKeys": [fleet.KEY]})
        self.store.put("op", "config", document | {"tenants": tenants})
        routes_in_force = self.services[0].state
        await self.wait_for(
            lambda: (
                routes_in_force.routes is not None
                and routes_in_force.routes.version == 2
            )
        )
        # The peer announces the version by a datagram, which isn't slow.
        await asyncio.sleep(0.5)

    def assert_temporary(self, answer: wire.Answer) -> None:
        """Checks that the client may try again soon."""
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 0)


class NewerVersionTest(_OutdatedTest):
    """A peer has a newer version, and this daemon knows of it."""

    async def test_route_that_a_peer_already_has_is_not_refused_for_good(
        self,
    ) -> None:
        """Guards against 404 by routes that are known to be outdated."""
        await self.put_newer_routes()
        self.assert_temporary(await self.send_slow("/new/1"))

    async def test_key_that_a_peer_already_has_is_not_refused_for_good(
        self,
    ) -> None:
        """Guards against 401 by keys that are known to be outdated."""
        await self.put_newer_routes()
        self.assert_temporary(await self.send_slow("/read/1", _NEW_KEY))

    async def test_removed_key_runs_nothing_once_the_change_is_due(
        self,
    ) -> None:
        """Guards against requests that run by a version past its time."""
        await self.put_newer_routes(removed_key=True)
        self.assertEqual((await self.send_slow("/read/1")).status, 200)
        await asyncio.sleep(IN_FORCE_S)
        self.assert_temporary(await self.send_slow("/read/1"))

    async def test_routes_are_relied_on_again_once_they_are_fetched(
        self,
    ) -> None:
        await self.put_newer_routes()
        self.link.set_rate(1e6)
        await self.wait_for_version(2, 4.0)
        self.assertEqual((await self.send_slow("/new/1")).status, 200)
        await self.wait_for_confirmation()


class UnconfirmedTest(fleet.FleetTest):
    """A daemon that hears neither from the store nor from peers."""

    async def test_daemon_that_hears_nothing_refuses_nothing_for_good(
        self,
    ) -> None:
        """Guards against 404 and 401 by routes of unknown age."""
        answer = await self.send_request("GET", "/nowhere/1")
        self.assertEqual(answer.status, 404)
        self.store.is_silent = True
        await asyncio.sleep(2 * IN_FORCE_S)
        for path, key in (("/nowhere/1", fleet.KEY), ("/read/1", "wrong")):
            headers = self.make_headers(Authorization=f"Bearer {key}")
            answer = await self.send_request("GET", path, headers)
            self.assertEqual(answer.status, 503, path)
            self.assertIn("retry-after", answer.headers)

    async def test_outage_of_the_store_stops_no_request(self) -> None:
        """Guards against daemons that serve nothing while the store is down."""
        self.store.status = 503
        await asyncio.sleep(2 * IN_FORCE_S)
        answer = await self.send_request("GET", "/read/1")
        self.assertEqual(answer.status, 200)


class RestartedDaemonTest(fleet.FleetTest):
    """A daemon that starts after rows have come and gone."""

    daemons = 3

    async def test_daemon_that_starts_after_a_row_is_gone_serves(self) -> None:
        """Guards against a version that a daemon can never reach."""
        await self.wait_until_followed()
        self.store.put("op", "evacuate/zone-z", {})
        await asyncio.sleep(0.3)
        self.store.remove("op", "evacuate/zone-z")
        await asyncio.sleep(0.3)
        await self.add_daemon(3)
        await asyncio.sleep(1.5 * IN_FORCE_S)
        for daemon in range(4):
            for path, status in (("/read/1", 200), ("/nowhere/1", 404)):
                answer = await self.send_request("GET", path, daemon=daemon)
                self.assertEqual(answer.status, status, daemon)


class CurrentRoutesTest(fleet.FleetTest):
    """Daemons that are in touch with each other and the store."""

    daemons = 4

    async def test_unknown_route_is_refused_for_good_all_the_time(self) -> None:
        """Guards against refusals to try again while nothing is wrong."""
        await asyncio.sleep(1.5)
        statuses = []
        for _ in range(20):
            for daemon in range(self.daemons):
                answer = await self.send_request(
                    "GET", "/nowhere/1", daemon=daemon
                )
                statuses.append(answer.status)
            await asyncio.sleep(0.15)
        self.assertEqual(set(statuses), {404})
