"""Tests of daemons while the store comes back from an older copy."""

import asyncio
import socket

import msgspec

from mothpass.relay import gossip
from tests.platform import fleet
from tests.platform import wire

# A removal is in force after the hold of a copy, and some ticks.
_HOLD_TIMEOUT_S = 4.0


class StoreRestoreTest(fleet.FleetTest):
    """Three daemons whose store loses its newest changes."""

    daemons = 3

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.wait_for(
            lambda: all(
                len(item.fleet_sync.list_peer_ids()) == len(self.services) - 1
                for item in self.services
            )
        )

    def list_versions(self) -> list[int]:
        """Returns the version of the document in force at each daemon."""
        return [
            0 if item.state.routes is None else item.state.routes.version
            for item in self.services
        ]

    async def change_document(self, version: int) -> None:
        """Writes a document and waits until all daemons have it in force."""
        self.store.put("op", "config", fleet.make_document(version=version))
        await self.wait_for_version(version)

    async def test_change_after_a_restore_is_in_force(self) -> None:
        """Guards against changes that are ignored until versions catch up."""
        copied = self.store.version
        for version in range(2, 8):
            await self.change_document(version)
        self.store.restore(copied)
        await self.change_document(8)

    async def test_older_document_of_the_copy_is_not_in_force(self) -> None:
        """Guards against revoked keys that are accepted again."""
        copied = self.store.version
        await self.change_document(2)
        self.store.restore(copied)
        self.store.put("status", "other", {})
        for _ in range(20):
            await asyncio.sleep(0.1)
            self.assertEqual(self.list_versions(), [2, 2, 2])
        await self.change_document(3)

    async def test_daemon_that_starts_meanwhile_takes_the_newer_document(
        self,
    ) -> None:
        """Guards against a new daemon that only asks the restored store."""
        copied = self.store.version
        await self.change_document(2)
        self.store.restore(copied)
        await self.add_daemon(3)
        await self.wait_for_version(2)

    async def test_held_rows_of_a_peer_that_is_behind_are_not_fetched(
        self,
    ) -> None:
        """Guards against a fetch for each datagram of such a peer."""
        sync = self.services[0].fleet_sync
        host, _, port = sync.address.rpartition(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.bind(("127.0.0.1", 0))
            for number in range(5):
                message = gossip.GossipMessage(
                    id="front-9",
                    started_ms=1,
                    sequence_number=number,
                    versions={"op": 1},
                    counts={},
                    reaches_store=False,
                    is_store_reader=False,
                    is_leaving=False,
                    peers=[],
                    crash_suspects=[],
                    held_tables=["op"],
                )
                data = msgspec.msgpack.encode(message)
                sender.sendto(data, (host, int(port)))
                await asyncio.sleep(0.1)
        client = await wire.Client.connect(
            f"{host}:{self.services[0].settings.metrics_port}"
        )
        client.send("GET", "/metrics", {"Host": host})
        metrics = (await client.read()).body.decode()
        client.close()
        self.assertNotIn('source="peer",end="failed"', metrics)

    async def test_hole_in_the_history_is_read_again(self) -> None:
        """Guards against a daemon whose version was given out again."""
        copied = self.store.version
        await self.change_document(2)
        self.store.is_silent = True
        await asyncio.sleep(0.2)
        self.store.restore(copied)
        # The restored store is past the version that the daemons have.
        target = await self.add_target("plain")
        for number in range(5):
            self.store.put("status", "x", {"number": number})
        self.store.put("op", "config", fleet.make_document(version=2))
        self.store.is_silent = False
        await self.wait_for(
            lambda: all(
                target.id in item.state.targets.targets
                for item in self.services
            )
        )

    async def test_target_that_left_does_not_return_with_the_copy(self) -> None:
        """Guards against requests to a target that the copy still lists."""
        copied = self.store.version
        left = self.plain[0]
        self.store.remove("servers", left.id)
        await self.wait_for(lambda: not self.list_daemons_with(left.id))
        self.store.restore(copied)
        await asyncio.sleep(1.0)
        self.assertEqual(self.list_daemons_with(left.id), [])

    async def test_target_that_the_copy_lacks_goes_after_the_hold(self) -> None:
        """Guards against targets that stay for good, or go at once."""
        copied = self.store.version
        target = await self.add_target("plain")
        await self.wait_for(lambda: len(self.list_daemons_with(target.id)) == 3)
        self.store.restore(copied)
        await asyncio.sleep(1.0)
        self.assertEqual(len(self.list_daemons_with(target.id)), 3)
        await self.wait_for(
            lambda: not self.list_daemons_with(target.id), _HOLD_TIMEOUT_S
        )

    async def test_rows_of_daemons_are_written_again(self) -> None:
        """Guards against daemons that a starting one can't find."""
        self.store.restore(0)
        for target in (*self.plain, *self.models):
            service = "plain" if target in self.plain else "models"
            entry = target.encode_entry(service)
            self.store.put("servers", target.id, entry)
        self.store.put("op", "config", fleet.make_document(version=2))
        await self.wait_for_version(2)
        await self.wait_for(
            lambda: len(self.store.read("daemons")) == 3, timeout_s=8.0
        )

    def list_daemons_with(self, target_id: str) -> list[str]:
        """Returns the ids of the daemons that have a target."""
        return [
            item.settings.id
            for item in self.services
            if target_id in item.state.targets.targets
        ]
