"""Rate-limited, non-blocking logging as JSON lines."""

import logging
import os
import time

import msgspec

from mothpass.core import buckets

# At the deployments' rates, a daemon handles about ten requests a second and
# logs a few lines for each. Lines above the limit are dropped; the next line
# reports their number.
MAX_LINES_PER_S = 150.0
MAX_BURST_LINES = 400.0


class LineHandler(logging.Handler):
    """Handler that writes records as JSON lines to a file descriptor.

    Without a formatter, a record's message is the event name, and its
    ``fields`` are added to the line. A formatter finds the number of lines that
    were dropped before a record in its ``lines_dropped``.
    A line that can't be written is dropped: no work may fail for want of a log.

    Attributes:
        dropped_lines: Lines that weren't written, since the start.
    """

    def __init__(
        self, descriptor: int, *, max_lines_per_s: float = MAX_LINES_PER_S
    ) -> None:
        """Sets the descriptor to non-blocking mode.

        Args:
            descriptor: Open file descriptor, such as that of standard output.
            max_lines_per_s: Lines above this rate are dropped.
        """
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._bucket = buckets.TokenBucket(
            rate=max_lines_per_s, burst=MAX_BURST_LINES, now=time.monotonic()
        )
        self._dropped = 0
        self._last_line_is_partial = False
        self.dropped_lines = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a line, or counts it as dropped."""
        if not self._bucket.try_take(time.monotonic()):
            self._count_dropped()
            return
        try:
            self._write_line(self._encode(record))
        except OSError:
            self._count_dropped()
        except Exception:  # noqa: BLE001 - such as fields that can't be encoded
            self._count_dropped()
            self.handleError(record)

    def _encode(self, record: logging.LogRecord) -> bytes:
        if self.formatter is not None:
            record.lines_dropped = self._dropped or None
            return self.format(record).encode() + b"\n"
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
        return msgspec.json.encode(line) + b"\n"

    def _write_line(self, data: bytes) -> None:
        if self._last_line_is_partial:
            # The rest of the previous line is lost; start a new line.
            data = b"\n" + data
        written = os.write(self._descriptor, data)
        self._dropped = 0
        self._last_line_is_partial = written < len(data)
        if self._last_line_is_partial:
            self._count_dropped()

    def _count_dropped(self) -> None:
        self._dropped += 1
        self.dropped_lines += 1


def start_logging(descriptor: int, level: int = logging.INFO) -> None:
    """Routes all log records to a descriptor as JSON lines."""
    root = logging.getLogger()
    root.handlers[:] = [LineHandler(descriptor)]
    root.setLevel(level)


def count_dropped_lines() -> int:
    """Returns the number of lines that weren't written since the start."""
    return sum(
        handler.dropped_lines
        for handler in logging.getLogger().handlers
        if isinstance(handler, LineHandler)
    )


def log(
    logger: logging.Logger,
    event: str,
    level: int = logging.INFO,
    **fields: object,
) -> None:
    """Logs an event with its fields."""
    logger.log(level, event, extra={"fields": fields})
