"""Tests of which requests a daemon takes while it shuts down."""

import unittest

from mothpass.core import shutdowns


class ShutdownTest(unittest.TestCase):
    """Requests before and after the handover to other daemons."""

    def setUp(self) -> None:
        self.shutdown = shutdowns.Shutdown(handed_over_at=12.6, ends_at=17.5)

    def test_long_request_is_taken_until_the_handover(self) -> None:
        takes = [
            self.shutdown.takes_request(now=now, deadline=now + 12.0)
            for now in (10.0, 12.5, 12.6, 15.0)
        ]
        self.assertEqual(takes, [True, True, False, False])

    def test_request_that_ends_in_time_is_always_taken(self) -> None:
        takes = [
            self.shutdown.takes_request(now=now, deadline=now + 0.8)
            for now in (12.6, 16.7, 16.8)
        ]
        self.assertEqual(takes, [True, True, False])

    def test_daemon_that_is_not_shutting_down_takes_all(self) -> None:
        self.assertTrue(shutdowns.NONE.takes_request(now=1e9, deadline=2e9))


if __name__ == "__main__":
    unittest.main()
