"""Tests of what the store remembers of streams."""

import asyncio
import random
import unittest

from mothpass.core import errors
from mothpass.core import store_versions
from mothpass.core import stream_memory
from mothpass.core import stream_origins
from mothpass.core import target_table
from mothpass.ports import replicas
from mothpass.relay import stream_memory as relay_memory


def make_versions(*known: int) -> stream_origins.Versions:
    return stream_origins.Versions(known=frozenset(known), is_complete=True)


class SnapshotTest(unittest.TestCase):
    """What rows say together."""

    def test_streams_of_a_single_version_are_left_out(self) -> None:
        """Guards against writes for as long as nothing can be mixed."""
        origins = [stream_origins.Origin(number, 7) for number in range(9)]
        snapshot = stream_memory.make_snapshot(
            {"models": make_versions(7)}, origins
        )
        self.assertFalse(snapshot.has_several_versions)
        self.assertEqual(snapshot.streams, {})

    def test_row_that_was_written_comes_back(self) -> None:
        origins = [
            stream_origins.Origin(random.Random(n).getrandbits(64), 7 + n % 2)
            for n in range(50)
        ]
        snapshot = stream_memory.make_snapshot(
            {"models": make_versions(7, 8), "plain": make_versions(1)}, origins
        )
        read = stream_memory.decode(stream_memory.encode(snapshot))
        self.assertEqual(read, snapshot)
        self.assertCountEqual(stream_memory.list_origins([read]), origins)

    def test_row_stays_within_what_the_store_takes(self) -> None:
        """Guards against rows that a large fleet can't write."""
        origins = [
            stream_origins.Origin((1 << 63) + n, n % 2) for n in range(50_000)
        ]
        snapshot = stream_memory.make_snapshot(
            {"models": make_versions(0, 1)}, origins
        )
        self.assertLess(len(stream_memory.encode(snapshot)), 49_152)
        kept = stream_memory.list_origins([snapshot])
        self.assertCountEqual(kept, origins[: stream_memory.MAX_STREAMS])

    def test_newest_row_decides_which_versions_served(self) -> None:
        """Guards against a row of a daemon that ended long ago."""
        newest = stream_memory.Snapshot({"models": [8]}, {})
        old = stream_memory.Snapshot({"models": [7], "plain": [1]}, {})
        self.assertEqual(
            stream_memory.list_versions([newest, old]),
            {"models": [8], "plain": [1]},
        )

    def test_streams_that_rows_contradict_are_unknown(self) -> None:
        """Guards against a guess between two records."""
        rows = [
            stream_memory.Snapshot({}, {7: bytes(8)}),
            stream_memory.Snapshot({}, {8: bytes(8)}),
        ]
        self.assertEqual(stream_memory.list_origins(rows), [])

    def test_torn_row_is_an_error(self) -> None:
        for value in (b"", b"\xff", b"\x90", b"\x92\x80\x81\x01\xc0"):
            with self.subTest(value), self.assertRaises(errors.DocumentError):
                stream_memory.decode(value)


class LoadTest(unittest.IsolatedAsyncioTestCase):
    """How a daemon takes the rows for its own memory."""

    def make_memory(self, *, fails: bool = False) -> relay_memory.StreamMemory:
        self.reads = 0
        self.written: list[bytes] = []
        snapshot = stream_memory.Snapshot(
            {"models": [7, 8]}, {7: (5).to_bytes(8)}
        )

        async def read_table(table: str) -> replicas.Page:
            self.reads += 1
            if fails:
                raise errors.StoreUnavailableError(table)
            row = replicas.Row(
                key="front-9",
                version=store_versions.Version(3),
                value=stream_memory.encode(snapshot),
            )
            torn = replicas.Row(
                key="front-8", version=store_versions.Version(4), value=b"?"
            )
            return replicas.Page(
                version=store_versions.Version(4),
                rows=[row, torn],
                is_whole=True,
            )

        async def write_row(table: str, key: str, value: bytes) -> None:
            del table, key
            self.written.append(value)

        self.origins = stream_origins.StreamOrigins()
        self.versions = stream_origins.VersionHistory()
        return relay_memory.StreamMemory(
            own_id="front-1",
            read_table=read_table,
            write_row=write_row,
            origins=self.origins,
            versions=self.versions,
            targets=target_table.TargetTable(),
            list_services=lambda: ["models"],
            is_writer=lambda: True,
        )

    async def test_rows_are_read_once_and_merged(self) -> None:
        memory = self.make_memory()
        loaded = await asyncio.gather(*(memory.load() for _ in range(5)))
        self.assertEqual(loaded, [True] * 5)
        self.assertEqual(self.reads, 1)
        self.assertEqual(self.origins.find(5), 7)
        now = asyncio.get_running_loop().time()
        known = self.versions.assess("models", [], now).known
        self.assertEqual(known, {7, 8})

    async def test_store_that_does_not_answer_is_asked_once_a_second(
        self,
    ) -> None:
        """Guards against streams that wait for the store one after another."""
        memory = self.make_memory(fails=True)
        for _ in range(5):
            self.assertFalse(await memory.load())
        self.assertEqual(self.reads, 1)

    async def test_own_row_keeps_what_earlier_daemons_knew(self) -> None:
        """Guards against a first row that overwrites the memory."""
        memory = self.make_memory()
        running = asyncio.ensure_future(memory.run())
        await asyncio.sleep(relay_memory.WRITE_INTERVAL_S * 2.5)
        running.cancel()
        (written,) = self.written
        snapshot = stream_memory.decode(written)
        self.assertEqual(snapshot.versions, {"models": [7, 8]})
        self.assertEqual(snapshot.streams, {7: (5).to_bytes(8)})
