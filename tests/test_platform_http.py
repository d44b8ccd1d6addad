"""Tests for the platform adapters against stand-in processes."""

import asyncio
import contextlib
import typing
import unittest

import msgspec

from mothpass.adapters import members_http
from mothpass.adapters import objects_http
from mothpass.adapters import platform_http
from mothpass.adapters import tables_http
from mothpass.core import errors
from mothpass.ports import members
from mothpass.ports import tables
from tests import processes

_TIMEOUT_S = 0.3
_MEMBERS_TIMEOUT_S = 10.0
_POLL_INTERVAL_S = 0.02


def _build_write(key: str, version: int = 0) -> tables.Write:
    return tables.Write(
        table="claims",
        key=key,
        expected_version=version,
        value=msgspec.Raw(b'{"state":"running"}'),
    )


class SlowBodyTest(unittest.IsolatedAsyncioTestCase):
    """A service whose responses arrive over a slow link."""

    async def asyncSetUp(self) -> None:
        server = await asyncio.start_server(self._answer, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.client = platform_http.PlatformClient(
            url=f"http://127.0.0.1:{port}", timeout_s=_TIMEOUT_S
        )
        self.addCleanup(self.client.close)
        self.pause_s = 0.0

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 8192\r\n\r\n")
        with contextlib.suppress(OSError, asyncio.CancelledError):
            for _ in range(8):
                writer.write(b"x" * 1024)
                await writer.drain()
                await asyncio.sleep(self.pause_s)
        writer.close()

    async def test_body_that_goes_on_is_read_past_the_timeout(self) -> None:
        """Guards against snapshots that a slow link never brings whole."""
        self.pause_s = _TIMEOUT_S / 4
        reply = await self.client.read("/objects/snapshot")
        self.assertEqual(len(reply.body), 8192)

    async def test_body_that_stalls_is_lost(self) -> None:
        self.pause_s = 4 * _TIMEOUT_S
        with self.assertRaises(errors.StoreUnavailableError):
            async with asyncio.timeout(3 * _TIMEOUT_S):
                await self.client.read("/objects/snapshot")


class TablesTest(unittest.IsolatedAsyncioTestCase):
    """Checks how failures of the table service are classified."""

    standin: typing.ClassVar[processes.Process]

    @classmethod
    def setUpClass(cls) -> None:
        started = processes.open_class_processes(cls)
        cls.standin = started.start_standin("table")

    def setUp(self) -> None:
        self.addCleanup(self.standin.clear_faults)
        self.client = platform_http.PlatformClient(
            url=self.standin.url, timeout_s=_TIMEOUT_S
        )
        self.tables = tables_http.build_tables(self.client)
        self.key = self.id().rpartition(".")[2]

    async def asyncTearDown(self) -> None:
        self.client.close()

    async def _read_version(self) -> int:
        row = await self.tables.read_row("claims", self.key)
        return 0 if row is None else row.version

    async def test_commits_then_conflicts_on_old_version(self) -> None:
        first = await self.tables.transact([_build_write(self.key)])
        second = await self.tables.transact([_build_write(self.key)])
        self.assertEqual(first, tables.Committed())
        self.assertEqual(
            second, tables.Conflict(table="claims", key=self.key, version=1)
        )

    async def test_conflict_applies_no_write(self) -> None:
        writes = [_build_write(self.key), _build_write("other", 7)]
        self.assertIsInstance(
            await self.tables.transact(writes), tables.Conflict
        )
        self.assertEqual(await self._read_version(), 0)

    async def test_deleted_row_is_not_found(self) -> None:
        await self.tables.transact([_build_write(self.key)])
        write = tables.Write(
            table="claims", key=self.key, expected_version=1, value=None
        )
        await self.tables.transact([write])
        self.assertEqual(await self._read_version(), 0)

    async def test_scans_by_prefix_in_key_order(self) -> None:
        keys = ["team a/é?", "team a/b", "team b/c"]
        await self.tables.transact([_build_write(key) for key in keys])
        rows = await self.tables.scan_rows("claims", "team a/", 10)
        self.assertEqual([item.key for item in rows], ["team a/b", "team a/é?"])
        row = await self.tables.read_row("claims", "team a/é?")
        self.assertIsNotNone(row)

    async def test_refused_connection_had_no_effect(self) -> None:
        client = platform_http.PlatformClient(
            url=f"http://{processes.find_free_address()}", timeout_s=1.0
        )
        unreachable = tables_http.build_tables(client)
        with self.assertRaises(errors.StoreUnavailableError):
            await unreachable.transact([_build_write(self.key)])

    async def test_outage_had_no_effect(self) -> None:
        self.standin.set_faults(down=True)
        with self.assertRaises(errors.StoreUnavailableError):
            await self.tables.transact([_build_write(self.key)])
        with self.assertRaises(errors.StoreUnavailableError):
            await self._read_version()
        self.standin.clear_faults()
        self.assertEqual(await self._read_version(), 0)

    async def test_lost_answer_is_unconfirmed_and_had_effect(self) -> None:
        self.standin.set_faults(lose_answers=1)
        with self.assertRaises(errors.StoreUnconfirmedError):
            await self.tables.transact([_build_write(self.key)])
        self.assertEqual(await self._read_version(), 1)

    async def test_late_answer_is_unconfirmed(self) -> None:
        self.standin.set_faults(late_ms=60_000)
        with self.assertRaises(errors.StoreUnconfirmedError):
            await self.tables.transact([_build_write(self.key)])
        self.standin.clear_faults()
        self.assertEqual(await self._read_version(), 1)

    async def test_read_without_answer_is_unavailable(self) -> None:
        self.standin.set_faults(slow_ms=60_000)
        with self.assertRaises(errors.StoreUnavailableError):
            await self._read_version()

    async def test_silent_connection_is_not_reused(self) -> None:
        await self._read_version()
        self.standin.set_faults(silent=True)
        with self.assertRaises(errors.StoreUnconfirmedError):
            await self.tables.transact([_build_write(self.key)])
        self.assertEqual(await self._read_version(), 0)

    async def test_silent_connection_closes_all_idle_ones(self) -> None:
        await asyncio.gather(*(self._read_version() for _ in range(3)))
        self.standin.set_faults(silent=True)
        with self.assertRaises(errors.StoreUnavailableError):
            await self._read_version()
        for _ in range(3):
            self.assertEqual(await self._read_version(), 0)

    async def test_suspended_service_is_unconfirmed(self) -> None:
        self.standin.suspend()
        self.addCleanup(self.standin.resume)
        with self.assertRaises(errors.StoreUnconfirmedError):
            await self.tables.transact([_build_write(self.key)])
        self.standin.resume()

    async def test_cancelled_request_closes_its_connection(self) -> None:
        self.standin.set_faults(late_ms=60_000)
        task = asyncio.ensure_future(
            self.tables.transact([_build_write(self.key)])
        )
        await asyncio.sleep(0.05)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.standin.clear_faults()
        self.assertEqual(await self._read_version(), 1)


class PlatformCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests that start their own stand-ins."""

    def setUp(self) -> None:
        self.launcher = processes.open_processes(self)

    async def open_client(
        self, standin: processes.Process
    ) -> platform_http.PlatformClient:
        """Returns a client of a stand-in once it listens."""
        url = await asyncio.to_thread(lambda: standin.url)
        client = platform_http.PlatformClient(url=url, timeout_s=1.0)
        self.addCleanup(client.close)
        return client


class RestartTest(PlatformCase):
    """Checks idle connections to a service that was replaced."""

    async def test_write_after_restart_uses_new_connection(
        self,
    ) -> None:
        first = self.launcher.start_standin("table")
        client = await self.open_client(first)
        store = tables_http.build_tables(client)
        await store.read_row("claims", "a")
        first.kill()
        second = self.launcher.start_standin("table", address=first.address)
        await asyncio.to_thread(second.wait_listening)
        outcome = await store.transact([_build_write("a")])
        self.assertEqual(outcome, tables.Committed())

    async def test_rate_limit_had_no_effect(self) -> None:
        standin = self.launcher.start_standin("table", writes_per_s=1)
        client = await self.open_client(standin)
        store = tables_http.build_tables(client)
        await store.transact([_build_write("a")])
        with self.assertRaises(errors.StoreUnavailableError):
            await store.transact([_build_write("b")])
        self.assertIsNone(await store.read_row("claims", "b"))


class ObjectsTest(PlatformCase):
    """Checks the object store adapter."""

    async def test_stores_objects_and_reports_outages(self) -> None:
        standin = self.launcher.start_standin("objects")
        client = await self.open_client(standin)
        store = objects_http.build_objects(client)
        self.assertIsNone(await store.get_object("catalogue/1"))
        await store.put_object("catalogue/1", b"\x00{}")
        self.assertEqual(await store.get_object("catalogue/1"), b"\x00{}")
        standin.set_faults(lose_answers=1)
        with self.assertRaises(errors.StoreUnconfirmedError):
            await store.put_object("catalogue/2", b"2")
        self.assertEqual(await store.get_object("catalogue/2"), b"2")
        standin.kill()
        with self.assertRaises(errors.StoreUnavailableError):
            await store.get_object("catalogue/1")


class MembersTest(PlatformCase):
    """Checks incremental reads of the membership list."""

    async def test_follows_targets_that_join_leave_and_die(self) -> None:
        membership_list = self.launcher.start_standin(
            "members", lag_ms=50, heartbeat_ttl_ms=600
        )
        client = await self.open_client(membership_list)
        targets = [
            self.launcher.start_standin(
                "service",
                id=name,
                members_url=membership_list.url,
                heartbeat_ms=50,
            )
            for name in ("s1", "s2")
        ]
        self.read_members = members_http.build_read_members(client, "perth")
        live, leaving = members.State.LIVE, members.State.LEAVING
        await self._wait_for({"s1": live, "s2": live})
        targets[0].set_faults(leaving=True)
        await self._wait_for({"s1": leaving, "s2": live})
        targets[0].terminate()
        self.assertEqual(await asyncio.to_thread(targets[0].wait), 0)
        await self._wait_for({"s2": live})
        targets[1].kill()
        await self._wait_for({})

    async def _wait_for(self, expected: dict[str, members.State]) -> None:
        """Waits until the list contains exactly these instances."""
        async with asyncio.timeout(_MEMBERS_TIMEOUT_S):
            while True:
                found = await self.read_members()
                states = {item.id: item.state for item in found.instances}
                if states == expected:
                    return
                await asyncio.sleep(_POLL_INTERVAL_S)


if __name__ == "__main__":
    unittest.main()
