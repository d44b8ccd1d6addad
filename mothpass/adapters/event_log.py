"""Writes log records as JSON lines, bounded in rate and never blocking."""

import logging
import os
import time

import msgspec

from mothpass.core import buckets

# A daemon of the sheets takes some ten requests a second with a few lines
# each; what exceeds this is counted and told with the next line.
LINES_PER_S = 150.0
BURST_LINES = 400.0


class LineHandler(logging.Handler):
    """Writes records to a descriptor.

    A record's message names the event; its fields are in ``fields``.
    """

    def __init__(self, descriptor: int) -> None:
        """Makes the descriptor non-blocking.

        Args:
            descriptor: Open file descriptor, as that of standard output.
        """
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._bucket = buckets.TokenBucket(
            rate=LINES_PER_S, burst=BURST_LINES, now=time.monotonic()
        )
        self._dropped = 0
        self._is_torn = False

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one line, or counts it as dropped."""
        if not self._bucket.try_take(time.monotonic()):
            self._dropped += 1
            return
        line: dict[str, object] = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "event": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            line["exception"] = logging.Formatter().formatException(
                record.exc_info
            )
        if self._dropped:
            line["lines_dropped"] = self._dropped
        data = msgspec.json.encode(line) + b"\n"
        if self._is_torn:
            # The rest of the line before is lost; this one stands alone.
            data = b"\n" + data
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            self._dropped += 1
            return
        self._is_torn = written < len(data)
        self._dropped = 1 if self._is_torn else 0


def start_logging(descriptor: int, level: int = logging.INFO) -> None:
    """Sends all log records to a descriptor as JSON lines."""
    root = logging.getLogger()
    root.handlers[:] = [LineHandler(descriptor)]
    root.setLevel(level)


def log(
    logger: logging.Logger,
    event: str,
    level: int = logging.INFO,
    **fields: object,
) -> None:
    """Logs an event with its fields."""
    logger.log(level, event, extra={"fields": fields})
