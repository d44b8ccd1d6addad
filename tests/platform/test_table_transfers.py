"""Tests of the transfer of tables from the store and between daemons."""

import asyncio
import random as random_module
from unittest import mock

from mothpass.adapters import relay_listener
from mothpass.ports import relay
from mothpass.relay import fleet_sync
from mothpass.relay import table_server
from tests.platform import fleet
from tests.platform import slow_link
from tests.platform import store_standin
from tests.platform import wire

# Time limit for a change at the largest deployments.
IN_FORCE_S = 3.0
_ROUTES = 1600


class TransferTest(fleet.FleetTest):
    """Base class: daemons whose transfers are counted."""

    async def read_metrics(self, daemon: int = 0) -> str:
        """Returns the metrics page of a daemon."""
        settings = self.services[daemon].settings
        address = f"{settings.address}:{settings.metrics_port}"
        client = await wire.Client.connect(address)
        client.send("GET", "/metrics", {"Host": address})
        answer = await client.read()
        client.close()
        return answer.body.decode()


class TransferLogsTest(TransferTest):
    """Logs and metrics of transfers."""

    daemons = 2

    async def test_transfers_show_their_size_and_how_late_they_are(
        self,
    ) -> None:
        with self.assertLogs("mothpass", "INFO") as logs:
            self.store.put("op", "config", fleet.make_document(version=2))
            await self.wait_for_version(2)
        events = [
            (record.getMessage(), record.__dict__.get("fields", {}))
            for record in logs.records
        ]
        [read, *_] = [
            item for name, item in events if name[:10] == "table_from"
        ]
        self.assertEqual(read["table"], "op")
        self.assertGreater(read["bytes"], 100)
        metrics = await self.read_metrics()
        self.assertRegex(
            metrics,
            r'table_reads_total{table="op",source="store",end="ok"} [1-9]',
        )
        self.assertRegex(
            metrics, r'table_bytes_total{table="op",source="store"} [1-9]\d\d'
        )

    async def test_refusal_shows_whether_newer_routes_were_known(self) -> None:
        with self.assertLogs("mothpass.requests", "INFO") as logs:
            await self.send_request("GET", "/nowhere/1")
        [record] = logs.records
        self.assertIsNone(record.__dict__["fields"]["newer_known_ms"])

    async def test_each_failed_read_is_logged(self) -> None:
        await self.wait_until_followed()
        with self.assertLogs("mothpass.replicas", "WARNING") as logs:
            self.store.status = 503
            self.store.put("op", "config", fleet.make_document(version=2))
            await self.wait_for(lambda: logs.records)
        [record, *_] = logs.records
        self.assertEqual(record.getMessage(), "store_read_failed")
        fields = record.__dict__["fields"]
        self.assertEqual(fields["table"], "op")
        self.assertEqual(fields["reason"], "status 503")


class BusyPeerTest(TransferTest):
    """A daemon from which a whole fleet fetches at the same moment."""

    async def test_daemon_sends_only_what_its_link_bears_at_once(self) -> None:
        """Guards against a link that copies of a table keep full."""
        self.store.put("op", "config", make_large_document(version=2))
        await self.wait_for_version(2)
        address = self.services[0].fleet_sync.address

        async def fetch() -> wire.Answer:
            client = await wire.Client.connect(address)
            client.send("GET", "/tables/op?1", {"Host": address})
            answer = await client.read()
            client.close()
            return answer

        answers = await asyncio.gather(*(fetch() for _ in range(40)))
        served = [item for item in answers if item.status == 200]
        self.assertTrue(served)
        self.assertLessEqual(
            sum(len(item.body) for item in served),
            table_server.TRANSFER_BURST_BYTES
            + table_server.TRANSFER_BYTES_PER_S * 0.2,
        )
        self.assertEqual({item.status for item in answers}, {200, 503})


class _SlowLinkTest(TransferTest):
    """Base class: links on which a document takes longer than a call."""

    async def open_link(
        self, upstream: str, bytes_per_s: float
    ) -> slow_link.SlowLink:
        """Opens a slow link to a server."""
        link = slow_link.SlowLink(upstream=upstream, bytes_per_s=bytes_per_s)
        await link.open()
        self.addCleanup(link.close)
        return link


class SlowStoreTest(_SlowLinkTest):
    """A store behind a slow link."""

    daemons = 0

    async def test_large_document_from_the_store_is_in_force_in_time(
        self,
    ) -> None:
        """Guards against reads that never end, as their time limit is fixed."""
        link = await self.open_link(self.store.address, 400_000)
        await self.add_daemon(0, link.address)
        self.store.put("op", "config", make_large_document(version=2))
        await self.wait_for_version(2, IN_FORCE_S)
        failed = 'table_reads_total{table="op",source="store",end="failed"}'
        self.assertNotIn(failed, await self.read_metrics())

    async def test_answer_that_stalls_is_abandoned_for_a_new_call(self) -> None:
        link = await self.open_link(self.store.address, 400_000)
        await self.add_daemon(0, link.address)
        await self.wait_until_followed()
        with self.assertLogs("mothpass.replicas", "WARNING") as logs:
            self.store.put("op", "config", make_large_document(version=2))
            await asyncio.sleep(0.3)
            link.set_rate(1000)
            await self.wait_for(lambda: logs.records)
        link.set_rate(4_000_000)
        fields = logs.records[0].__dict__["fields"]
        self.assertRegex(
            fields["reason"], "stalled, [0-9]+ body bytes received"
        )
        await self.wait_for_version(2, IN_FORCE_S)


class SlowPeerTest(_SlowLinkTest):
    """A peer behind a slow link."""

    async def test_large_document_from_a_peer_is_in_force_in_time(self) -> None:
        """Guards against fetches that never end, as their limit is fixed."""
        other = store_standin.Store()
        await other.open()
        self.addCleanup(other.close)
        other.status = 503
        peer = self.services[0].fleet_sync.address
        link = await self.open_link(peer, 60_000)
        await self.add_daemon(1, other.address, {peer: link.address})
        self.store.put("op", "config", make_large_document(version=2))
        await self.wait_for_version(2, IN_FORCE_S)
        failed = 'table_reads_total{table="op",source="peer",end="failed"}'
        self.assertNotIn(failed, await self.read_metrics(daemon=1))


class CrawlingPeerTest(_SlowLinkTest):
    """Two peers, of which the one that is asked first crawls."""

    daemons = 2

    async def test_change_is_fetched_from_another_peer_while_one_crawls(
        self,
    ) -> None:
        """Guards against a change that waits for the peer that was chosen."""
        other = store_standin.Store()
        await other.open()
        self.addCleanup(other.close)
        other.status = 503
        peers = [service.fleet_sync.address for service in self.services]
        links = [await self.open_link(peer, 1e6) for peer in peers]
        addresses = [link.address for link in links]
        await self.add_daemon(
            2, other.address, dict(zip(peers, addresses, strict=True))
        )
        # Above the least rate of a transfer, for which it is never abandoned.
        for link in links:
            link.set_rate(10_000)
        document = make_large_document(version=2)
        self.store.put("op", "config", document)
        await self.wait_for(lambda: any(link.sent_bytes for link in links))
        for link in links:
            if not link.sent_bytes:
                link.set_rate(1e6)
        await self.wait_for_version(2, IN_FORCE_S)


class RefusingPeerTest(_SlowLinkTest):
    """One peer crawls, and the other turns fetches away for a time."""

    daemons = 2

    async def test_change_is_fetched_once_a_peer_stops_refusing(self) -> None:
        """Guards against a few refusals after which one peer is waited for."""
        other = store_standin.Store()
        await other.open()
        self.addCleanup(other.close)
        other.status = 503
        crawling, refusing = (service.fleet_sync for service in self.services)
        link = await self.open_link(crawling.address, 1e6)
        await self.add_daemon(
            2, other.address, {crawling.address: link.address}
        )
        answer_peer = fleet_sync.FleetSync.answer_peer
        loop = asyncio.get_running_loop()
        refuses_until = loop.time() + 2.0

        async def refuse(
            sync: fleet_sync.FleetSync,
            head: relay.ClientHead,
            body: bytes,
            client: relay_listener.ClientConnection,
        ) -> None:
            if sync is refusing and loop.time() < refuses_until:
                client.write_response(503, (), b"")
                return
            await answer_peer(sync, head, body, client)

        link.set_rate(10_000)
        with mock.patch.object(fleet_sync.FleetSync, "answer_peer", refuse):
            self.store.put("op", "config", make_large_document(version=2))
            await self.wait_for_version(2, IN_FORCE_S)


def make_large_document(version: int) -> dict[str, object]:
    """Returns a document whose names can't be compressed well."""
    random = random_module.Random(version)
    document = fleet.make_document(version=version)
    routes = document["routes"]
    assert isinstance(routes, list)
    routes += [
        fleet.make_route(f"r{random.getrandbits(256):x}", "idempotent")
        for _ in range(_ROUTES)
    ]
    return document
