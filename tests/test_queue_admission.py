"""Tests of queueing, rejections and retry times during an overload."""

import asyncio
import random
import unittest

from mothpass.core import errors
from mothpass.core import prompts
from mothpass.core import queue_admission
from mothpass.core import target_choice
from mothpass.core import target_table
from mothpass.relay import request_queues
from tests import registrations
from tests import virtual_time

_SLOTS = 4
_RUN_S = 0.1
_DEADLINE_S = 1.0
# Time within which an answer earns a credit of 1; a later one earns 0.3.
_LATENCY_TARGET_S = 0.3


def make_request_queues(targets: int) -> request_queues.RequestQueues:
    """Returns empty queues for targets that no other daemon uses."""
    table = target_table.TargetTable()
    for number in range(targets):
        registration = registrations.make_registration(
            number, service="plain", slots=_SLOTS
        )
        table.put(registration, 0.0)
    chooser = target_choice.TargetChooser(
        prompt_caches=prompts.PromptCacheIndex(lifetime_s=20.0),
        count_load=lambda target: target.in_flight,
        count_prefill_backlog=lambda _: 0,
        allows_cold=lambda _: True,
        admits_limited=lambda *_: True,
        random=random.Random(1),
    )
    return request_queues.RequestQueues(
        chooser=chooser, targets=table, random=random.Random(2)
    )


def make_slot_request(
    number: int, now: float, priority: int = 1
) -> request_queues.SlotRequest:
    """Returns a request whose final answer is due in a second."""
    return request_queues.SlotRequest(
        request_id=str(number),
        service="plain",
        key=None,
        avoided=set(),
        can_fetch=False,
        priority=priority,
        team="red",
        deadline=now + _DEADLINE_S,
    )


class Replay:
    """Clients that send at a rate, and retry once after the returned time.

    Attributes:
        credit: Credit earned, by priority.
        requests: Number of requests, by priority.
        rejections: Number of rejections.
        max_queued_s: Longest time for which a rejected request was queued.
    """

    def __init__(self) -> None:
        self.credit = [0.0, 0.0]
        self.requests = [0, 0]
        self.rejections = 0
        self.max_queued_s = 0.0
        self._random = random.Random(4)
        self._queues = make_request_queues(2)

    async def run(self, *, per_s: float, seconds: float) -> None:
        """Sends for some seconds and waits for all requests to end."""
        loop = asyncio.get_running_loop()
        ticker = loop.create_task(self._tick())
        tasks: list[asyncio.Task[None]] = []
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(self._random.expovariate(per_s))
            tasks.append(loop.create_task(self._send_request(len(tasks))))
        await asyncio.gather(*tasks)
        ticker.cancel()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(request_queues.DISPATCH_INTERVAL_S)
            self._queues.dispatch_queued()

    async def _send_request(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        priority = number % 2
        self.requests[priority] += 1
        started = loop.time()
        deadline = started + _DEADLINE_S
        for _ in range(2):
            queued_at = loop.time()
            slot_request = make_slot_request(number, started, priority)
            granted = await self._queues.acquire_slot(slot_request)
            if isinstance(granted, errors.Refusal):
                self.rejections += 1
                self.max_queued_s = max(
                    self.max_queued_s, loop.time() - queued_at
                )
                await asyncio.sleep((granted.retry_after_ms or 0) / 1000)
                continue
            granted.target.record_sent(loop.time())
            await asyncio.sleep(_RUN_S)
            self._queues.release_slot(granted.target, was_sent=True)
            elapsed_s = loop.time() - started
            if loop.time() <= deadline:
                self.credit[priority] += (
                    1.0 if elapsed_s <= _LATENCY_TARGET_S else 0.3
                )
            return


class OverloadTest(unittest.TestCase):
    """Two targets with a capacity of about 80 requests per second.

    Guards against an overload in which all requests are queued, so that every
    answer is late, and retries add to the load.
    """

    def replay(self, per_s: float) -> Replay:
        """Replays ten seconds of a load in virtual time."""
        loop = virtual_time.VirtualLoop()
        replay = Replay()
        loop.run_all(replay.run(per_s=per_s, seconds=10.0))
        loop.close()
        return replay

    def test_load_below_capacity_is_served_in_time(self) -> None:
        replay = self.replay(60)
        self.assertGreater(sum(replay.credit), 0.97 * sum(replay.requests))

    def test_three_times_the_load_keeps_the_goodput(self) -> None:
        saturated = self.replay(80)
        overloaded = self.replay(240)
        self.assertGreater(sum(overloaded.credit), 0.9 * sum(saturated.credit))

    def test_urgent_requests_are_served_more_often(self) -> None:
        overloaded = self.replay(160)
        urgent = overloaded.credit[0] / overloaded.requests[0]
        other = overloaded.credit[1] / overloaded.requests[1]
        self.assertGreater(urgent, other)
        self.assertGreater(urgent, 0.9)

    def test_rejections_come_within_half_the_deadline(self) -> None:
        overloaded = self.replay(240)
        self.assertGreater(overloaded.rejections, 0)
        self.assertLessEqual(
            overloaded.max_queued_s,
            _DEADLINE_S / 2 + request_queues.DISPATCH_INTERVAL_S * 2,
        )


class DecisionTest(unittest.TestCase):
    """Decisions on single requests."""

    def decide(
        self, *, queued_count: int, served_per_s: float
    ) -> queue_admission.Enqueue | queue_admission.Reject:
        """Decides on a request with 3 s until its deadline."""
        return queue_admission.decide(
            queued_ahead=queued_count,
            served_per_s=served_per_s,
            now=10.0,
            deadline=13.0,
            random=random.Random(1),
        )

    def test_request_is_queued_only_if_a_slot_is_likely(self) -> None:
        self.assertIsInstance(
            self.decide(queued_count=5, served_per_s=10.0),
            queue_admission.Enqueue,
        )
        self.assertIsInstance(
            self.decide(queued_count=50, served_per_s=10.0),
            queue_admission.Reject,
        )
        self.assertIsInstance(
            self.decide(queued_count=0, served_per_s=0.0),
            queue_admission.Enqueue,
        )
        self.assertIsInstance(
            self.decide(queued_count=1, served_per_s=0.0),
            queue_admission.Reject,
        )

    def test_retry_times_are_spread_within_a_third_of_the_time_left(
        self,
    ) -> None:
        source = random.Random(3)
        drawn = [
            queue_admission.draw_retry_after(
                expected_s=0.4, now=0.0, deadline=3.0, random=source
            )
            for _ in range(100)
        ]
        self.assertGreaterEqual(min(drawn), 400)
        self.assertLessEqual(max(drawn), 1000)
        self.assertGreater(max(drawn) - min(drawn), 150)


if __name__ == "__main__":
    unittest.main()
