"""Tests of the weighted fair queue."""

import collections
import random
import unittest

from mothpass.core import fair_queue


def _make_request(
    number: int,
    team: str,
    *,
    weight: int = 1,
    priority: int = 5,
    deadline: float = 100.0,
) -> fair_queue.QueuedRequest:
    return fair_queue.QueuedRequest(
        id=number,
        team=team,
        weight=weight,
        priority=priority,
        deadline=deadline,
    )


def _pop_teams(queue: fair_queue.FairQueue, count: int) -> list[str]:
    teams = []
    for _ in range(count):
        popped = queue.pop(now=0.0)
        assert popped.request is not None
        teams.append(popped.request.team)
    return teams


class FairQueueTest(unittest.TestCase):
    """Order, shedding and deadlines of queued requests."""

    def setUp(self) -> None:
        self.queue = fair_queue.FairQueue(capacity=100)

    def test_surge_of_a_team_does_not_delay_another_team(self) -> None:
        for number in range(50):
            self.queue.offer(_make_request(number, "large"))
        self.queue.offer(_make_request(50, "small"))
        self.assertIn("small", _pop_teams(self.queue, 2))

    def test_teams_share_by_weight(self) -> None:
        for number in range(40):
            self.queue.offer(_make_request(number, "heavy", weight=3))
            self.queue.offer(_make_request(100 + number, "light"))
        counts = collections.Counter(_pop_teams(self.queue, 40))
        self.assertEqual(counts["heavy"], 30)

    def test_urgent_class_goes_first(self) -> None:
        self.queue.offer(_make_request(1, "a", priority=5))
        self.queue.offer(_make_request(2, "b", priority=0))
        self.assertEqual(_pop_teams(self.queue, 2), ["b", "a"])

    def test_full_queue_sheds_the_newest_request_of_the_longest_queue(
        self,
    ) -> None:
        queue = fair_queue.FairQueue(capacity=10)
        for number in range(10):
            queue.offer(_make_request(number, "large"))
        shed = queue.offer(_make_request(10, "small"))
        self.assertEqual([request.id for request in shed], [9])
        self.assertEqual(queue.count_queued("small"), 1)

    def test_pop_returns_expired_requests_separately(self) -> None:
        self.queue.offer(_make_request(1, "a", deadline=1.0))
        self.queue.offer(_make_request(2, "a", deadline=9.0))
        popped = self.queue.pop(now=2.0)
        assert popped.request is not None
        self.assertEqual(popped.request.id, 2)
        self.assertEqual([request.id for request in popped.expired], [1])

    def test_requeued_request_goes_before_others_of_its_team(self) -> None:
        self.queue.offer(_make_request(1, "a"))
        self.queue.offer(_make_request(2, "a"))
        popped = self.queue.pop(now=0.0)
        assert popped.request is not None
        self.queue.requeue(popped.request)
        again = self.queue.pop(now=0.0)
        self.assertEqual(again.request, popped.request)

    def test_cancelled_request_is_removed(self) -> None:
        self.queue.offer(_make_request(1, "a"))
        self.assertTrue(self.queue.cancel(1))
        self.assertFalse(self.queue.cancel(1))
        self.assertIsNone(self.queue.pop(now=0.0).request)

    def test_every_request_leaves_the_queue_exactly_once(self) -> None:
        source = random.Random(7)
        queue = fair_queue.FairQueue(capacity=20)
        removed: collections.Counter[int] = collections.Counter()
        for number in range(2000):
            request = _make_request(
                number,
                f"team-{source.randrange(6)}",
                weight=1,
                priority=source.randrange(3),
                deadline=number + source.randrange(1, 40),
            )
            removed.update(item.id for item in queue.offer(request))
            if source.random() < 0.6:
                popped = queue.pop(now=float(number))
                removed.update(item.id for item in popped.expired)
                if popped.request is not None:
                    removed[popped.request.id] += 1
        while queue:
            popped = queue.pop(now=0.0)
            assert popped.request is not None
            removed[popped.request.id] += 1
        self.assertEqual(len(removed), 2000)
        self.assertEqual(set(removed.values()), {1})


if __name__ == "__main__":
    unittest.main()
