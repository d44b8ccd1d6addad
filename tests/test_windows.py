"""Tests of counts in sliding windows."""

import sys
import unittest

from mothpass.core import windows


class SlidingCountTest(unittest.TestCase):
    """Events of the last second."""

    def setUp(self) -> None:
        self.events = windows.SlidingCount(window_s=1.0)

    def test_events_leave_the_window(self) -> None:
        for moment in (0.0, 0.5, 1.2):
            self.events.record(moment)
        self.assertEqual(self.events.count(1.2), 2)
        self.assertEqual(self.events.count(2.1), 1)
        self.assertEqual(self.events.count(3.0), 0)

    def test_events_that_nobody_counts_take_no_memory(self) -> None:
        for number in range(100_000):
            self.events.record(number * 0.01)
        size = sys.getsizeof(self.events._moments)  # noqa: SLF001
        self.assertLess(size, 10_000)


if __name__ == "__main__":
    unittest.main()
