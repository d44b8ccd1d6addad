"""Tests of the log of a relay daemon."""

import json
import logging
import os
import unittest

from mothpass.adapters import event_log


class LineHandlerTest(unittest.TestCase):
    """Lines that a descriptor takes, and lines that it doesn't."""

    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.writer)
        self.handler = event_log.LineHandler(self.writer)

    def emit(self, event: str, **fields: object) -> None:
        """Hands a record to the handler."""
        record = logging.makeLogRecord({"msg": event, "fields": fields})
        self.handler.emit(record)

    def test_lines_that_a_full_pipe_does_not_take_are_counted(self) -> None:
        """Guards against log lines that are lost unseen."""
        self.addCleanup(os.close, self.reader)
        with self.assertRaises(BlockingIOError):
            while True:
                os.write(self.writer, b"x" * 65_536)
        self.emit("first")
        self.emit("second")
        self.assertEqual(self.handler.dropped_lines, 2)
        os.set_blocking(self.reader, False)
        with self.assertRaises(BlockingIOError):
            while True:
                os.read(self.reader, 65_536)
        self.emit("third")
        line = json.loads(os.read(self.reader, 65_536))
        self.assertEqual(line["lines_dropped"], 2)
        self.assertEqual(self.handler.dropped_lines, 2)


if __name__ == "__main__":
    unittest.main()
