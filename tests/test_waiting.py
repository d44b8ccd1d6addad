"""Replays of overload against waits, refusals and their times to come back."""

import asyncio
import random
import unittest

from mothpass.core import errors
from mothpass.core import prompts
from mothpass.core import target_choice
from mothpass.core import target_table
from mothpass.core import waiting
from mothpass.relay import request_queues
from tests import virtual_time

_SLOTS = 4
_RUN_S = 0.1
_DEADLINE_S = 1.0
# Time within which an answer is worth its whole credit; later it is 0.3.
_TARGET_S = 0.3


def make_places(targets: int) -> request_queues.RequestQueues:
    """Returns places at targets that nobody else uses."""
    table = target_table.TargetTable()
    for number in range(targets):
        entry = target_table.Entry(
            id=f"i-{number}",
            service="plain",
            address="10.0.0.1:80",
            availability_zone="zone-a",
            slots=_SLOTS,
            is_draining=False,
            cold_left_s=0.0,
            started_at_ms=1,
        )
        table.put(entry, 0.0)
    chooser = target_choice.Chooser(
        memory=prompts.PromptMemory(lifetime_s=20.0),
        count_load=lambda target: target.in_flight,
        count_reading=lambda _: 0,
        allows_cold=lambda _: True,
        source=random.Random(1),
    )
    return request_queues.RequestQueues(
        chooser=chooser, targets=table, source=random.Random(2)
    )


def make_asking(
    number: int, now: float, urgency: int = 1
) -> request_queues.SlotRequest:
    """Returns a request whose final answer is due in a second."""
    return request_queues.SlotRequest(
        request_id=str(number),
        service="plain",
        key=None,
        avoided=set(),
        can_fetch=False,
        urgency=urgency,
        team="red",
        deadline=now + _DEADLINE_S,
    )


class Replay:
    """Clients that send at a rate, and come back once when they are told.

    Attributes:
        credit: Credit earned, by urgency.
        owed: Requests, by urgency.
        refused: Refusals.
        held_s: Longest time that a refused request was kept.
    """

    def __init__(self) -> None:
        self.credit = [0.0, 0.0]
        self.owed = [0, 0]
        self.refused = 0
        self.held_s = 0.0
        self._random = random.Random(4)
        self._places = make_places(2)

    async def run(self, *, per_s: float, seconds: float) -> None:
        """Sends for some seconds and waits for all ends."""
        loop = asyncio.get_running_loop()
        ticking = loop.create_task(self._tick())
        tasks: list[asyncio.Task[None]] = []
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(self._random.expovariate(per_s))
            tasks.append(loop.create_task(self._ask(len(tasks))))
        await asyncio.gather(*tasks)
        ticking.cancel()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(request_queues.DISPATCH_INTERVAL_S)
            self._places.dispatch_queued()

    async def _ask(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        urgency = number % 2
        self.owed[urgency] += 1
        started = loop.time()
        deadline = started + _DEADLINE_S
        for _ in range(2):
            asked = loop.time()
            asking = make_asking(number, started, urgency)
            place = await self._places.acquire_slot(asking)
            if isinstance(place, errors.Refusal):
                self.refused += 1
                self.held_s = max(self.held_s, loop.time() - asked)
                await asyncio.sleep((place.retry_after_ms or 0) / 1000)
                continue
            await asyncio.sleep(_RUN_S)
            self._places.release_slot(place.target)
            spent = loop.time() - started
            if loop.time() <= deadline:
                self.credit[urgency] += 1.0 if spent <= _TARGET_S else 0.3
            return


class OverloadTest(unittest.TestCase):
    """Two targets that bear some 80 requests a second."""

    def replay(self, per_s: float) -> Replay:
        """Plays ten seconds of a load in virtual time."""
        loop = virtual_time.VirtualLoop()
        replay = Replay()
        loop.run_all(replay.run(per_s=per_s, seconds=10.0))
        loop.close()
        return replay

    def test_load_that_fits_is_served_in_time(self) -> None:
        replay = self.replay(60)
        self.assertGreater(sum(replay.credit), 0.97 * sum(replay.owed))

    def test_three_times_the_load_serves_no_less(self) -> None:
        full = self.replay(80)
        over = self.replay(240)
        self.assertGreater(sum(over.credit), 0.9 * sum(full.credit))

    def test_urgent_requests_are_not_served_less(self) -> None:
        over = self.replay(160)
        urgent = over.credit[0] / over.owed[0]
        other = over.credit[1] / over.owed[1]
        self.assertGreater(urgent, other)
        self.assertGreater(urgent, 0.9)

    def test_refusals_come_at_once_or_within_half_the_deadline(self) -> None:
        over = self.replay(240)
        self.assertGreater(over.refused, 0)
        self.assertLessEqual(
            over.held_s,
            _DEADLINE_S / 2 + request_queues.DISPATCH_INTERVAL_S * 2,
        )


class DecisionTest(unittest.TestCase):
    """Single decisions."""

    def decide(
        self, *, waiting_now: int, served_per_s: float
    ) -> waiting.Wait | waiting.Refuse:
        """Decides with 3 s left."""
        return waiting.decide(
            waiting=waiting_now,
            served_per_s=served_per_s,
            now=10.0,
            deadline=13.0,
            source=random.Random(1),
        )

    def test_waits_only_where_a_place_is_likely(self) -> None:
        self.assertIsInstance(
            self.decide(waiting_now=5, served_per_s=10.0), waiting.Wait
        )
        self.assertIsInstance(
            self.decide(waiting_now=50, served_per_s=10.0), waiting.Refuse
        )
        self.assertIsInstance(
            self.decide(waiting_now=0, served_per_s=0.0), waiting.Wait
        )
        self.assertIsInstance(
            self.decide(waiting_now=1, served_per_s=0.0), waiting.Refuse
        )

    def test_time_to_come_back_is_spread_within_what_clients_honour(
        self,
    ) -> None:
        source = random.Random(3)
        drawn = [
            waiting.draw_retry_after(
                expected_s=0.4, now=0.0, deadline=3.0, source=source
            )
            for _ in range(100)
        ]
        self.assertGreaterEqual(min(drawn), 400)
        self.assertLessEqual(max(drawn), 1000)
        self.assertGreater(max(drawn) - min(drawn), 150)


if __name__ == "__main__":
    unittest.main()
