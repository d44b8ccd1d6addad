"""Tests of the replica of one table."""

import asyncio
import unittest

from mothpass.core import errors
from mothpass.core import store_versions
from mothpass.ports import replicas as ports
from mothpass.relay import metrics
from mothpass.relay import replicas

_VERSION = store_versions.make_version(0, 3)
_ROW = ports.Row(key="a", version=_VERSION, value=b"1")


class ReplicaTest(unittest.IsolatedAsyncioTestCase):
    """A replica whose change feed waits for good."""

    async def asyncSetUp(self) -> None:
        self.replica = replicas.Replica(
            name="op",
            read=self._read,
            follow=self._follow,
            apply_changes=lambda *_: None,
            compare=lambda *_: 0,
            must_read=lambda: True,
            get_wait_s=lambda _: 10.0,
            get_pause_s=lambda: 0.0,
            has_reader_peer=lambda: False,
            is_store_stable=lambda: True,
            on_change=lambda _: None,
            on_gap=lambda: None,
            metrics=metrics.Metrics(),
        )
        self.calls = 0
        self.is_called = asyncio.Event()

    async def _read(self, table: str) -> ports.Page:
        del table
        return ports.Page(version=_VERSION, rows=[_ROW], is_whole=True)

    async def _follow(
        self, table: str, after: int, wait_s: float
    ) -> ports.Page | None:
        del table, after, wait_s
        self.calls += 1
        self.is_called.set()
        await asyncio.Event().wait()
        return None

    async def test_restarted_feed_call_is_followed_by_another(self) -> None:
        running = asyncio.ensure_future(self.replica.run())
        self.addCleanup(running.cancel)
        await self.is_called.wait()
        self.is_called.clear()
        self.replica.restart_feed_call()
        await asyncio.wait_for(self.is_called.wait(), 1.0)
        self.assertEqual(self.calls, 2)

    async def test_lost_feed_call_is_made_again_at_once(self) -> None:
        """Guards against an outage in place of one lost connection."""
        loop = asyncio.get_running_loop()
        called_at: list[float] = []

        async def lose(
            table: str, after: int, wait_s: float
        ) -> ports.Page | None:
            del table, after, wait_s
            called_at.append(loop.time())
            if len(called_at) > 1:
                await asyncio.Event().wait()
            raise errors.StoreUnconfirmedError("silent")

        self.replica._follow = lose
        running = asyncio.ensure_future(self.replica.run())
        self.addCleanup(running.cancel)
        await asyncio.sleep(0.1)
        self.assertEqual(len(called_at), 2)
        self.assertFalse(self.replica.is_store_down)

    async def test_stop_beside_a_restart_of_the_feed_call_ends(self) -> None:
        """Guards against a daemon that never stops: its cancel was consumed."""
        running = asyncio.ensure_future(self.replica.run())
        self.addCleanup(running.cancel)
        await self.is_called.wait()
        self.replica.restart_feed_call()
        running.cancel()
        done, _ = await asyncio.wait([running], timeout=1.0)
        self.assertIn(running, done)
