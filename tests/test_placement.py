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

_PER_TARGET = 8


class PlacementTest(unittest.IsolatedAsyncioTestCase):
    """Base with one target that bears eight calls."""

    def setUp(self) -> None:
        entries = daemon_parts.build_catalogue(queued=3)
        self.daemon = daemon_parts.Daemon(target_count=1, entries=entries)
        self.placement = self.daemon.placement

    async def _place(
        self, call: client_requests.ClientRequest | None = None
    ) -> target_slots.TargetSlot:
        return await self.placement.reserve_slot(
            call or daemon_parts.make_call("log"),
            excluded=frozenset(),
            alone=False,
        )

    async def _fill(self) -> list[target_slots.TargetSlot]:
        """Takes all room of the target."""
        return [await self._place() for _ in range(_PER_TARGET)]

    def _free(self, place: target_slots.TargetSlot) -> None:
        self.placement.release_slot(
            place, targets.Outcome.ANSWERED, boot_id=None
        )

    async def _start(
        self, call: client_requests.ClientRequest
    ) -> asyncio.Task[target_slots.TargetSlot]:
        """Starts to place a call and lets it get into the queue."""
        task = asyncio.ensure_future(self._place(call))
        await asyncio.sleep(0)
        return task

    def _check_refusal(
        self, task: asyncio.Task[target_slots.TargetSlot], code: results.Code
    ) -> None:
        error = task.exception()
        assert isinstance(error, errors.RefusalError)
        self.assertIs(error.refusal.code, code)
        self.assertIs(error.refusal.ran, results.Ran.NO)
        self.assertIsNotNone(error.refusal.retry_after_ms)

    async def test_places_at_once_where_there_is_room(self) -> None:
        place = await self._place()
        self.assertEqual(place.target_id, "t0")
        self.assertEqual(self.daemon.count_in_flight(), 1)
        self._free(place)
        self.assertEqual(self.daemon.count_in_flight(), 0)

    async def test_a_call_that_waits_gets_the_room_of_one_that_ends(
        self,
    ) -> None:
        places = await self._fill()
        waiting = await self._start(daemon_parts.make_call("log"))
        self.assertFalse(waiting.done())
        self.assertEqual(self.placement.count_queued("team"), 1)
        self._free(places[0])
        self.assertEqual((await waiting).target_id, "t0")

    async def test_the_more_urgent_call_goes_first(self) -> None:
        places = await self._fill()
        call = daemon_parts.make_call("log")
        later = await self._start(msgspec.structs.replace(call, priority=5))
        sooner = await self._start(msgspec.structs.replace(call, priority=0))
        self._free(places[0])
        await sooner
        self.assertFalse(later.done())
        self._free(places[1])
        await later

    async def test_sheds_the_team_that_waits_the_most(self) -> None:
        places = await self._fill()
        call = daemon_parts.make_call("log")
        large = [await self._start(call) for _ in range(3)]
        small = await self._start(msgspec.structs.replace(call, team="small"))
        await asyncio.sleep(0)
        self._check_refusal(large[2], results.Code.OVERLOADED)
        for place in places[:3]:
            self._free(place)
        await asyncio.gather(*large[:2], small)

    async def test_refuses_at_the_deadline(self) -> None:
        await self._fill()
        waiting = await self._start(
            daemon_parts.make_call("log", deadline_ms=20)
        )
        await asyncio.wait([waiting])
        self._check_refusal(waiting, results.Code.DEADLINE_EXCEEDED)
        self.assertEqual(self.placement.count_queued("team"), 0)

    async def test_a_caller_that_leaves_takes_no_room(self) -> None:
        places = await self._fill()
        leaving = await self._start(daemon_parts.make_call("log"))
        # The call is placed and its caller leaves in the same moment.
        self._free(places[0])
        leaving.cancel()
        await asyncio.wait([leaving])
        self.assertTrue(leaving.cancelled())
        self.assertEqual(self.daemon.count_in_flight(), _PER_TARGET - 1)

    async def test_refuses_at_once_without_any_target(self) -> None:
        with self.assertRaises(errors.RefusalError) as caught:
            await self.placement.reserve_slot(
                daemon_parts.make_call("log"),
                excluded=frozenset({"t0"}),
                alone=False,
            )
        refusal = caught.exception.refusal
        self.assertIs(refusal.code, results.Code.NO_TARGET)


if __name__ == "__main__":
    unittest.main()
