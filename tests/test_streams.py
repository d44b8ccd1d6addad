"""Tests of the order and the resumption of streamed answers."""

import unittest

from mothpass.core import streams
from tests import daemon_parts


class AcceptTest(unittest.TestCase):
    """Events that continue an answer."""

    def setUp(self) -> None:
        self.stream = streams.AnswerStream(attempt_id="a")

    def _accept(
        self, *positions: int, last: int | None = None, attempt_id: str = "a"
    ) -> list[int]:
        batch = daemon_parts.make_batch(
            *positions, last=last, attempt_id=attempt_id
        )
        return [event.position for event in self.stream.accept(batch)]

    def test_accepts_events_in_order(self) -> None:
        self.assertEqual(self._accept(0, 1), [0, 1])
        self.assertEqual(self._accept(2), [2])

    def test_drops_and_counts_events_of_another_attempt(self) -> None:
        self.assertEqual(self._accept(0, attempt_id="b"), [])
        self.assertEqual(self.stream.crossed, 1)
        self.assertEqual(self._accept(0), [0])

    def test_drops_and_counts_repeated_events(self) -> None:
        self._accept(0, 1)
        self.assertEqual(self._accept(0, 1, 2), [2])
        self.assertEqual(self.stream.repeated, 2)

    def test_event_after_a_missing_one_is_a_gap(self) -> None:
        self.assertEqual(self._accept(0, 2), [0])
        self.assertTrue(self.stream.has_gap)
        self.assertEqual(self.stream.early, 1)

    def test_is_complete_only_with_the_last_event(self) -> None:
        self._accept(0, 1)
        self.assertFalse(self.stream.is_complete)
        self._accept(2, last=2)
        self.assertTrue(self.stream.is_complete)

    def test_accepts_nothing_after_the_last_event(self) -> None:
        self._accept(0, last=0)
        self.assertEqual(self._accept(1), [])

    def test_last_event_of_another_attempt_is_ignored(self) -> None:
        self._accept(0, last=0, attempt_id="b")
        self.assertFalse(self.stream.is_complete)


class PlanResumeTest(unittest.TestCase):
    """Times at which the rest of an answer is requested."""

    def setUp(self) -> None:
        self.stream = streams.AnswerStream(attempt_id="a")
        batch = daemon_parts.make_batch(0, 1, 4, attempt_id="a")
        self.stream.accept(batch)

    def test_resumes_at_once_from_the_first_missing_position(self) -> None:
        plan = self.stream.plan_resume(failed=False, now=5.0)
        self.assertEqual(plan, streams.Resume(position=2, at=5.0))
        self.assertFalse(self.stream.has_gap)

    def test_delay_doubles_after_each_failure_until_giving_up(self) -> None:
        plans = [
            self.stream.plan_resume(failed=True, now=0.0) for _ in range(4)
        ]
        self.assertEqual(
            plans,
            [
                streams.Resume(position=2, at=0.05),
                streams.Resume(position=2, at=0.1),
                streams.Resume(position=2, at=0.2),
                streams.GiveUp(delivered=2),
            ],
        )

    def test_accepted_event_resets_the_failures(self) -> None:
        for _ in range(3):
            self.stream.plan_resume(failed=True, now=0.0)
        self.stream.accept(daemon_parts.make_batch(2, attempt_id="a"))
        plan = self.stream.plan_resume(failed=True, now=0.0)
        self.assertEqual(plan, streams.Resume(position=3, at=0.05))


if __name__ == "__main__":
    unittest.main()
