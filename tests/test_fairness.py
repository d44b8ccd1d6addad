"""Tests for mothpass.core.fair_queue."""

import collections
import random
import unittest

from mothpass.core import fair_queue


def _make_ticket(
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
    """Checks order, shedding and deadlines."""

    def setUp(self) -> None:
        self.queue = fair_queue.FairQueue(capacity=100)

    def test_a_surging_team_does_not_delay_another(self) -> None:
        for number in range(50):
            self.queue.offer(_make_ticket(number, "large"))
        self.queue.offer(_make_ticket(50, "small"))
        self.assertIn("small", _pop_teams(self.queue, 2))

    def test_teams_share_by_weight(self) -> None:
        for number in range(40):
            self.queue.offer(_make_ticket(number, "heavy", weight=3))
            self.queue.offer(_make_ticket(100 + number, "light"))
        counts = collections.Counter(_pop_teams(self.queue, 40))
        self.assertEqual(counts["heavy"], 30)

    def test_an_urgent_class_goes_first(self) -> None:
        self.queue.offer(_make_ticket(1, "a", priority=5))
        self.queue.offer(_make_ticket(2, "b", priority=0))
        self.assertEqual(_pop_teams(self.queue, 2), ["b", "a"])

    def test_a_full_queue_sheds_the_newest_of_the_surging_team(self) -> None:
        queue = fair_queue.FairQueue(capacity=10)
        for number in range(10):
            queue.offer(_make_ticket(number, "large"))
        shed = queue.offer(_make_ticket(10, "small"))
        self.assertEqual([ticket.id for ticket in shed], [9])
        self.assertEqual(queue.count_waiting("small"), 1)

    def test_expired_requests_are_handed_back_and_not_dispatched(self) -> None:
        self.queue.offer(_make_ticket(1, "a", deadline=1.0))
        self.queue.offer(_make_ticket(2, "a", deadline=9.0))
        popped = self.queue.pop(now=2.0)
        assert popped.request is not None
        self.assertEqual(popped.request.id, 2)
        self.assertEqual([ticket.id for ticket in popped.expired], [1])

    def test_a_request_put_back_comes_before_its_team_s_others(self) -> None:
        self.queue.offer(_make_ticket(1, "a"))
        self.queue.offer(_make_ticket(2, "a"))
        popped = self.queue.pop(now=0.0)
        assert popped.request is not None
        self.queue.put_back(popped.request)
        again = self.queue.pop(now=0.0)
        self.assertEqual(again.request, popped.request)

    def test_a_cancelled_request_is_gone(self) -> None:
        self.queue.offer(_make_ticket(1, "a"))
        self.assertTrue(self.queue.cancel(1))
        self.assertFalse(self.queue.cancel(1))
        self.assertIsNone(self.queue.pop(now=0.0).request)

    def test_every_request_leaves_exactly_once(self) -> None:
        source = random.Random(7)
        queue = fair_queue.FairQueue(capacity=20)
        left: collections.Counter[int] = collections.Counter()
        for number in range(2000):
            ticket = _make_ticket(
                number,
                f"team-{source.randrange(6)}",
                weight=1,
                priority=source.randrange(3),
                deadline=number + source.randrange(1, 40),
            )
            left.update(item.id for item in queue.offer(ticket))
            if source.random() < 0.6:
                popped = queue.pop(now=float(number))
                left.update(item.id for item in popped.expired)
                if popped.request is not None:
                    left[popped.request.id] += 1
        while queue:
            popped = queue.pop(now=0.0)
            assert popped.request is not None
            left[popped.request.id] += 1
        self.assertEqual(len(left), 2000)
        self.assertEqual(set(left.values()), {1})


if __name__ == "__main__":
    unittest.main()
