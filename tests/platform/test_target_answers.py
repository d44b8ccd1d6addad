"""Tests of what the heads of targets' answers mean."""

import unittest

from mothpass.platform import targets


class PauseTest(unittest.TestCase):
    """Values of Retry-After in a target's refusal."""

    def read_pause(self, value: bytes, status: int = 503) -> float | None:
        """Returns the pause in the head of an answer."""
        head = targets.read_answer_head(status, ((b"retry-after", value),))
        return head.pause_s

    def test_values_that_can_not_be_read_are_no_pause(self) -> None:
        """Guards against a target that is shut out by a broken header."""
        for value in (b"", b"-1", b"0", b"nan", b"soon", b"Fri, 4 Dec 2026"):
            with self.subTest(value=value):
                self.assertIsNone(self.read_pause(value))

    def test_pause_is_capped(self) -> None:
        """Guards against a target that is shut out for hours."""
        for value in (b"86400", b"inf", b"1e300"):
            with self.subTest(value=value):
                self.assertEqual(self.read_pause(value), targets.MAX_PAUSE_S)

    def test_fraction_of_a_second_is_read(self) -> None:
        """Guards against pauses that are cut to whole seconds."""
        self.assertEqual(self.read_pause(b" 0.75 "), 0.75)

    def test_pause_of_some_minutes_is_kept_whole(self) -> None:
        """Guards against requests within a pause that was cut short."""
        self.assertEqual(self.read_pause(b"600"), 600.0)

    def test_only_an_unavailable_target_pauses(self) -> None:
        """Guards against pauses by answers that are the caller's."""
        self.assertIsNone(self.read_pause(b"5", status=429))
        self.assertIsNone(self.read_pause(b"5", status=200))


class LimitTest(unittest.TestCase):
    """Values of the limit that a target states."""

    def read_limit(self, value: bytes) -> float | None:
        """Returns the limit in the head of an answer."""
        head = targets.read_answer_head(200, ((b"server-limit", value),))
        return head.limit_per_s

    def test_values_that_can_not_be_read_are_no_limit(self) -> None:
        """Guards against a target that is shut out by a broken header."""
        for value in (b"", b"-1", b"nan", b"inf", b"few", b"1,5"):
            with self.subTest(value=value):
                self.assertIsNone(self.read_limit(value))

    def test_decimal_numbers_are_read(self) -> None:
        """Guards against limits that are cut to whole numbers."""
        self.assertEqual(self.read_limit(b" 2.5 "), 2.5)
        self.assertEqual(self.read_limit(b"0"), 0.0)


if __name__ == "__main__":
    unittest.main()
