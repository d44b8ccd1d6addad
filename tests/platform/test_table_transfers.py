"""Tests of the transfer of tables from the store and between daemons."""

from tests.platform import fleet
from tests.platform import wire


class TransferLogsTest(fleet.FleetTest):
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

    async def test_each_failed_read_is_logged(self) -> None:
        with self.assertLogs("mothpass.replicas", "WARNING") as logs:
            self.store.status = 503
            self.store.put("op", "config", fleet.make_document(version=2))
            await self.wait_for(lambda: logs.records)
        [record, *_] = logs.records
        self.assertEqual(record.getMessage(), "store_read_failed")
        fields = record.__dict__["fields"]
        self.assertEqual(fields["table"], "op")
        self.assertEqual(fields["reason"], "status 503")

    async def read_metrics(self, daemon: int = 0) -> str:
        """Returns the metrics page of a daemon."""
        settings = self.services[daemon].settings
        address = f"{settings.address}:{settings.metrics_port}"
        client = await wire.Client.connect(address)
        client.send("GET", "/metrics", {"Host": address})
        answer = await client.read()
        client.close()
        return answer.body.decode()
