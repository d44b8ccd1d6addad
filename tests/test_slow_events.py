"""Tests that large events in small pieces cost no more than their size."""

from collections import abc
import time
import unittest

from mothpass.adapters import http_events

_PIECE_BYTES = 1000
_DATA = b"id: a:1\ndata: " + b"x" * 500_000
# Times a large event in one piece, repeated so that the clock's steps and
# a busy machine matter little.
_WHOLE_REPEATS = 5
# How many times as long the same event in pieces may take: pieces have a cost
# of their own, but what has been looked at isn't looked at again.
_MAX_FACTOR = 20


class SlowEventTest(unittest.TestCase):
    """Compares events that come in one piece and in many."""

    def check_pieces(
        self, build: abc.Callable[[], abc.Callable[[bytes], object]]
    ) -> None:
        """Checks that pieces take about as long as the whole.

        Args:
            build: Returns the function that takes bytes of a new stream.
        """
        started = time.process_time()
        for _ in range(_WHOLE_REPEATS):
            build()(_DATA)
        whole_s = (time.process_time() - started) / _WHOLE_REPEATS
        take = build()
        started = time.process_time()
        for start in range(0, len(_DATA), _PIECE_BYTES):
            take(_DATA[start : start + _PIECE_BYTES])
        pieces_s = time.process_time() - started
        self.assertLess(pieces_s, _MAX_FACTOR * whole_s)

    def test_event_of_a_target_in_pieces(self) -> None:
        """Guards against mothpassd matching an event again for each piece."""
        self.check_pieces(lambda: http_events.EventDecoder().decode)
