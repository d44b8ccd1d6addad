"""Tests of counts in sliding time windows."""

import sys
import unittest

from mothpass.core import windows


class SlidingCountTest(unittest.TestCase):
    """Counts over a window of one second."""

    def setUp(self) -> None:
        self.events = windows.SlidingCount(window_s=1.0)

    def test_events_expire_from_the_window(self) -> None:
        for timestamp in (0.0, 0.5, 1.2):
            self.events.record(timestamp)
        self.assertEqual(self.events.count(1.2), 2)
        self.assertEqual(self.events.count(2.1), 1)
        self.assertEqual(self.events.count(3.0), 0)

    def test_memory_is_bounded_if_the_count_is_never_read(self) -> None:
        for number in range(100_000):
            self.events.record(number * 0.01)
        size = sys.getsizeof(self.events._timestamps)  # noqa: SLF001
        self.assertLess(size, 10_000)


if __name__ == "__main__":
    unittest.main()
