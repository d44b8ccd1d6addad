"""Tests for the adapters of the platform over stand-in processes."""

import asyncio
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


def _build_write(key: str, version: int = 0) -> tables.Write:
    return tables.Write(
        table="claims",
        key=key,
        expected_version=version,
        value=msgspec.Raw(b'{"state":"running"}'),
    )


class TablesTest(unittest.IsolatedAsyncioTestCase):
    """Checks how failures of the table service are classed."""

    standin: typing.ClassVar[processes.Process]

    @classmethod
    def setUpClass(cls) -> None:
        started = processes.open_class_processes(cls)
        cls.standin = started.start_standin("table")

    def setUp(self) -> None:
        self.addCleanup(self.standin.clear_faults)
        self.exchange = platform_http.Exchange(
            url=self.standin.url, timeout_s=_TIMEOUT_S
        )
        self.tables = tables_http.build_tables(self.exchange)
        self.key = self.id().rpartition(".")[2]

    async def asyncTearDown(self) -> None:
        self.exchange.close()

    async def _read_version(self) -> int:
        row = await self.tables.read_row("claims", self.key)
        return 0 if row is None else row.version

    async def test_commits_then_conflicts_on_the_old_version(self) -> None:
        first = await self.tables.transact([_build_write(self.key)])
        second = await self.tables.transact([_build_write(self.key)])
        self.assertEqual(first, tables.Committed())
        self.assertEqual(
            second, tables.Conflict(table="claims", key=self.key, version=1)
        )

    async def test_a_conflict_leaves_all_writes_undone(self) -> None:
        writes = [_build_write(self.key), _build_write("other", 7)]
        self.assertIsInstance(
            await self.tables.transact(writes), tables.Conflict
        )
        self.assertEqual(await self._read_version(), 0)

    async def test_a_deleted_row_is_gone(self) -> None:
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
        exchange = platform_http.Exchange(
            url=f"http://{processes.find_free_address()}", timeout_s=1.0
        )
        unreachable = tables_http.build_tables(exchange)
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

    async def test_silent_connection_is_not_used_again(self) -> None:
        await self._read_version()
        self.standin.set_faults(silent=True)
        with self.assertRaises(errors.StoreUnconfirmedError):
            await self.tables.transact([_build_write(self.key)])
        self.assertEqual(await self._read_version(), 0)

    async def test_one_silent_connection_drops_all_idle_ones(self) -> None:
        await asyncio.gather(*(self._read_version() for _ in range(3)))
        self.standin.set_faults(silent=True)
        with self.assertRaises(errors.StoreUnavailableError):
            await self._read_version()
        for _ in range(3):
            self.assertEqual(await self._read_version(), 0)

    async def test_frozen_service_is_unconfirmed(self) -> None:
        self.standin.freeze()
        self.addCleanup(self.standin.thaw)
        with self.assertRaises(errors.StoreUnconfirmedError):
            await self.tables.transact([_build_write(self.key)])
        self.standin.thaw()

    async def test_cancelled_call_frees_its_connection(self) -> None:
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


class RestartTest(unittest.IsolatedAsyncioTestCase):
    """Checks kept connections against a service that was replaced."""

    async def test_read_after_a_restart_needs_no_second_try(self) -> None:
        started = processes.open_processes(self)
        first = started.start_standin("table")
        exchange = platform_http.Exchange(url=first.url, timeout_s=1.0)
        store = tables_http.build_tables(exchange)
        await store.read_row("claims", "a")
        first.kill()
        second = started.start_standin("table", address=first.address)
        second.wait_listening()
        self.assertIsNone(await store.read_row("claims", "a"))
        exchange.close()

    async def test_rate_limit_had_no_effect(self) -> None:
        started = processes.open_processes(self)
        standin = started.start_standin("table", writes_per_s=1)
        exchange = platform_http.Exchange(url=standin.url, timeout_s=1.0)
        store = tables_http.build_tables(exchange)
        await store.transact([_build_write("a")])
        with self.assertRaises(errors.StoreUnavailableError):
            await store.transact([_build_write("b")])
        self.assertIsNone(await store.read_row("claims", "b"))
        exchange.close()


class ObjectsTest(unittest.IsolatedAsyncioTestCase):
    """Checks the object store."""

    async def test_keeps_objects_and_tells_outages(self) -> None:
        started = processes.open_processes(self)
        standin = started.start_standin("objects")
        exchange = platform_http.Exchange(url=standin.url, timeout_s=1.0)
        store = objects_http.build_objects(exchange)
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
        exchange.close()


class MembersTest(unittest.IsolatedAsyncioTestCase):
    """Checks the membership list read by its changes."""

    async def test_follows_targets_that_come_leave_and_go(self) -> None:
        started = processes.open_processes(self)
        listing = started.start_standin(
            "members", lag_ms=50, heartbeat_ttl_ms=600
        )
        targets = [
            started.start_standin(
                "service",
                id=name,
                members_url=listing.url,
                heartbeat_ms=50,
            )
            for name in ("s1", "s2")
        ]
        exchange = platform_http.Exchange(url=listing.url, timeout_s=1.0)
        read_members = members_http.build_read_members(exchange, "perth")

        async def wait_for(expected: dict[str, members.State]) -> None:
            async with asyncio.timeout(10):
                while True:
                    found = await read_members()
                    states = {x.id: x.state for x in found.instances}
                    if states == expected:
                        return
                    await asyncio.sleep(0.02)

        live, leaving = members.State.LIVE, members.State.LEAVING
        await wait_for({"s1": live, "s2": live})
        targets[0].set_faults(leaving=True)
        await wait_for({"s1": leaving, "s2": live})
        targets[0].terminate()
        self.assertEqual(targets[0].wait(), 0)
        await wait_for({"s2": live})
        targets[1].kill()
        await wait_for({})
        exchange.close()


if __name__ == "__main__":
    unittest.main()
