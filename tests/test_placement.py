"""Tests for mothpass.daemon.placement."""

import asyncio
import unittest

import msgspec

from mothpass.core import errors
from mothpass.core import results
from mothpass.core import targets
from mothpass.daemon import client_requests
from mothpass.daemon import target_slots
from tests import daemon_parts

_SLOTS_PER_TARGET = 8


class PlacementTest(unittest.IsolatedAsyncioTestCase):
    """Checks placement at one target with eight slots."""

    def setUp(self) -> None:
        entries = daemon_parts.build_catalogue(queued=3)
        self.daemon = daemon_parts.Daemon(target_count=1, entries=entries)
        self.placement = self.daemon.placement

    async def _reserve(
        self, request: client_requests.ClientRequest | None = None
    ) -> target_slots.TargetSlot:
        return await self.placement.reserve_slot(
            request or daemon_parts.make_request("log"),
            excluded=frozenset(),
            alone=False,
        )

    async def _fill(self) -> list[target_slots.TargetSlot]:
        """Reserves all slots of the target."""
        return [await self._reserve() for _ in range(_SLOTS_PER_TARGET)]

    def _release(self, slot: target_slots.TargetSlot) -> None:
        self.placement.release_slot(
            slot, targets.Outcome.ANSWERED, boot_id=None
        )

    async def _start(
        self, request: client_requests.ClientRequest
    ) -> asyncio.Task[target_slots.TargetSlot]:
        """Starts to place a request and lets it enter the queue."""
        task = asyncio.ensure_future(self._reserve(request))
        await asyncio.sleep(0)
        return task

    def _check_rejection(
        self, task: asyncio.Task[target_slots.TargetSlot], code: results.Code
    ) -> None:
        error = task.exception()
        assert isinstance(error, errors.RefusalError)
        self.assertIs(error.refusal.code, code)
        self.assertIs(error.refusal.ran, results.Ran.NO)
        self.assertIsNotNone(error.refusal.retry_after_ms)

    async def test_reserves_a_free_slot_at_once(self) -> None:
        slot = await self._reserve()
        self.assertEqual(slot.target_id, "t0")
        self.assertEqual(self.daemon.count_in_flight(), 1)
        self._release(slot)
        self.assertEqual(self.daemon.count_in_flight(), 0)

    async def test_queued_request_gets_a_released_slot(
        self,
    ) -> None:
        slots = await self._fill()
        queued = await self._start(daemon_parts.make_request("log"))
        self.assertFalse(queued.done())
        self.assertEqual(self.placement.count_queued("team"), 1)
        self._release(slots[0])
        self.assertEqual((await queued).target_id, "t0")

    async def test_more_urgent_request_is_placed_first(self) -> None:
        slots = await self._fill()
        request = daemon_parts.make_request("log")
        later = await self._start(msgspec.structs.replace(request, priority=5))
        sooner = await self._start(msgspec.structs.replace(request, priority=0))
        self._release(slots[0])
        await sooner
        self.assertFalse(later.done())
        self._release(slots[1])
        await later

    async def test_evicts_from_the_team_with_the_longest_queue(self) -> None:
        slots = await self._fill()
        request = daemon_parts.make_request("log")
        large = [await self._start(request) for _ in range(3)]
        small = await self._start(
            msgspec.structs.replace(request, team="small")
        )
        await asyncio.sleep(0)
        self._check_rejection(large[2], results.Code.OVERLOADED)
        for slot in slots[:3]:
            self._release(slot)
        await asyncio.gather(*large[:2], small)

    async def test_rejects_at_the_deadline(self) -> None:
        await self._fill()
        queued = await self._start(
            daemon_parts.make_request("log", deadline_ms=20)
        )
        await asyncio.wait([queued])
        self._check_rejection(queued, results.Code.DEADLINE_EXCEEDED)
        self.assertEqual(self.placement.count_queued("team"), 0)

    async def test_client_disconnect_releases_the_slot(self) -> None:
        slots = await self._fill()
        cancelled = await self._start(daemon_parts.make_request("log"))
        # The request is placed and cancelled before its task runs again.
        self._release(slots[0])
        cancelled.cancel()
        await asyncio.wait([cancelled])
        self.assertTrue(cancelled.cancelled())
        self.assertEqual(self.daemon.count_in_flight(), _SLOTS_PER_TARGET - 1)

    async def test_rejects_at_once_without_any_target(self) -> None:
        with self.assertRaises(errors.RefusalError) as caught:
            await self.placement.reserve_slot(
                daemon_parts.make_request("log"),
                excluded=frozenset({"t0"}),
                alone=False,
            )
        refusal = caught.exception.refusal
        self.assertIs(refusal.code, results.Code.NO_TARGET)


if __name__ == "__main__":
    unittest.main()
