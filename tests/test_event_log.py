"""Tests of the log of a relay daemon."""

import json
import logging
import os
import unittest
from unittest import mock

from mothpass.adapters import event_log
from mothpass.daemon import telemetry


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

    def fill_pipe(self) -> None:
        """Writes as much as the pipe takes."""
        with self.assertRaises(BlockingIOError):
            while True:
                os.write(self.writer, b"x" * 65_536)

    def empty_pipe(self) -> None:
        """Reads all that the pipe holds."""
        os.set_blocking(self.reader, False)
        with self.assertRaises(BlockingIOError):
            while True:
                os.read(self.reader, 65_536)

    def test_lines_that_a_full_pipe_does_not_take_are_counted(self) -> None:
        """Guards against log lines that are lost unseen."""
        self.addCleanup(os.close, self.reader)
        self.fill_pipe()
        self.emit("first")
        self.emit("second")
        self.assertEqual(self.handler.dropped_lines, 2)
        self.empty_pipe()
        self.emit("third")
        line = json.loads(os.read(self.reader, 65_536))
        self.assertEqual(line["lines_dropped"], 2)
        self.assertEqual(self.handler.dropped_lines, 2)

    def test_line_that_nobody_reads_is_dropped(self) -> None:
        """Guards against work that fails as its log line can't be written."""
        os.close(self.reader)
        self.emit("first")
        self.assertEqual(self.handler.dropped_lines, 1)

    def test_formatter_finds_the_number_of_dropped_lines(self) -> None:
        """Guards against lines of a formatter that are lost unseen."""
        self.addCleanup(os.close, self.reader)
        self.handler.setFormatter(telemetry.JsonFormatter())
        self.fill_pipe()
        self.emit("first")
        self.empty_pipe()
        self.emit("second")
        line = json.loads(os.read(self.reader, 65_536))
        self.assertEqual((line["event"], line["lines_dropped"]), ("second", 1))

    def test_line_that_can_not_be_encoded_is_dropped(self) -> None:
        """Guards against work that fails for a field of its log line."""
        self.addCleanup(os.close, self.reader)
        with mock.patch.object(self.handler, "handleError") as handle_error:
            self.emit("first", reason=OSError("x"))
        handle_error.assert_called_once()
        self.emit("second")
        line = json.loads(os.read(self.reader, 65_536))
        self.assertEqual(line["lines_dropped"], 1)


if __name__ == "__main__":
    unittest.main()
