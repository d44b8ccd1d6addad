"""Tests for mothpass.adapters.http_events."""

import unittest

from mothpass.adapters import http_events
from mothpass.core import errors
from mothpass.ports import targets

_STREAM = (
    b'id: a-1:0\ndata: {"x": 1}\n\n'
    b"id: a-1:1\ndata: {}\n\n"
    b"event: finish\nid: a-1:2\ndata: {}\n\n"
)
_EVENTS = [
    targets.Event(attempt_id="a-1", position=0, data=b'{"x": 1}', last=False),
    targets.Event(attempt_id="a-1", position=1, data=b"{}", last=False),
    targets.Event(attempt_id="a-1", position=2, data=b"{}", last=True),
]


class DecodeTest(unittest.TestCase):
    """Checks the decoding of events from partial data."""

    def test_decodes_events_that_arrive_together(self) -> None:
        decoder = http_events.EventDecoder()
        self.assertEqual(decoder.decode(_STREAM), _EVENTS)

    def test_decodes_events_split_at_any_byte(self) -> None:
        for split_at in range(1, len(_STREAM)):
            decoder = http_events.EventDecoder()
            events = decoder.decode(_STREAM[:split_at])
            events += decoder.decode(_STREAM[split_at:])
            self.assertEqual(events, _EVENTS, split_at)

    def test_rejects_event_without_attempt_id(self) -> None:
        decoder = http_events.EventDecoder()
        with self.assertRaises(errors.TargetAnswerLostError):
            decoder.decode(b"id: 1\ndata: {}\n\n")

    def test_rejects_oversized_event(self) -> None:
        decoder = http_events.EventDecoder()
        with self.assertRaises(errors.TargetAnswerLostError):
            decoder.decode(b"id: a:1\ndata: " + b"x" * (1 << 20))


if __name__ == "__main__":
    unittest.main()
