"""Tests of a daemon whose log nobody reads."""

import os
import signal
import unittest

from tests import deployments
from tests import payments
from tests import processes


class StalledLogTest(unittest.TestCase):
    """A daemon that logs to a pipe."""

    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.writer)
        self.deployment = deployments.Deployment(
            started=processes.open_processes(self)
        )
        self.deployment.add_service("s1")

    def start_daemon(self) -> processes.Process:
        """Starts a daemon that logs each request to the pipe."""
        daemon = self.deployment.add_daemon(
            "d1",
            changes={"telemetry": {"log_level": "info"}},
            log=self.writer,
        )
        self.deployment.wait_ready()
        return daemon

    def check_daemon(self, daemon: processes.Process) -> None:
        """Checks that a daemon serves a request and shuts down."""
        self.assertEqual(payments.pay(daemon, "ordinary").ran, "yes")
        daemon.popen.send_signal(signal.SIGTERM)
        self.assertEqual(daemon.wait(), 0)

    def test_daemon_whose_log_is_full_serves_and_stops(self) -> None:
        """Guards against a daemon that waits for the reader of its log."""
        self.addCleanup(os.close, self.reader)
        os.set_blocking(self.writer, False)
        with self.assertRaises(BlockingIOError):
            while True:
                os.write(self.writer, b"x" * 4096)
        os.set_blocking(self.writer, True)
        self.check_daemon(self.start_daemon())

    def test_daemon_whose_log_has_no_reader_serves_and_stops(self) -> None:
        """Guards against a daemon that ends as its log is gone."""
        daemon = self.start_daemon()
        os.close(self.reader)
        self.check_daemon(daemon)


if __name__ == "__main__":
    unittest.main()
