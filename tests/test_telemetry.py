"""Tests for mothpass.daemon.telemetry."""

import json
import logging
import socket
import unittest

from mothpass.core import results
from mothpass.daemon import settings
from mothpass.daemon import telemetry


def _create_ended(
    team: str = "team", code: results.Code = results.Code.OK
) -> telemetry.EndedRequest:
    return telemetry.EndedRequest(
        request_id="r1",
        team=team,
        service_class="quick",
        name="advice",
        target="t0",
        code=code,
        attempts=1,
        first_token_ms=12.0,
        whole_ms=40.0,
        added_ms=0.5,
    )


class LogTest(unittest.TestCase):
    """Tests the format of log lines."""

    def test_request_is_logged_as_one_json_line(self) -> None:
        logger = logging.getLogger("mothpass.test")
        reporter = telemetry.Telemetry(client=None, logger=logger)
        with self.assertLogs(logger, logging.INFO) as caught:
            reporter.start_request("team", "quick")
            reporter.end_request(_create_ended(code=results.Code.TEAM_LIMIT))
        text = telemetry.JsonFormatter().format(caught.records[0])
        self.assertNotIn("\n", text)
        line = json.loads(text)
        self.assertEqual(
            (line["event"], line["level"], line["request_id"], line["team"]),
            ("request ended", "info", "r1", "team"),
        )
        self.assertEqual((line["target"], line["code"]), ("t0", 201))

    def test_exception_is_logged_on_one_line(self) -> None:
        logger = logging.getLogger("mothpass.test")
        with self.assertLogs(logger, logging.ERROR) as caught:
            try:
                raise ValueError("two\nlines")
            except ValueError:
                logger.exception("failed")
        text = telemetry.JsonFormatter().format(caught.records[0])
        self.assertNotIn("\n", text)
        self.assertIn("ValueError", json.loads(text)["exception"])


class TrafficTest(unittest.TestCase):
    """Tests counts and histograms."""

    def setUp(self) -> None:
        logger = logging.getLogger("mothpass.test.quiet")
        logger.disabled = True
        self.reporter = telemetry.Telemetry(client=None, logger=logger)

    def _run_request(
        self, team: str, code: results.Code = results.Code.OK
    ) -> None:
        self.reporter.start_request(team, "quick")
        self.reporter.end_request(_create_ended(team, code))

    def test_teams_and_classes_are_counted_separately(self) -> None:
        self._run_request("a")
        self._run_request("b")
        self._run_request("b", results.Code.OVERLOADED)
        self._run_request("b", results.Code.CALLER_GONE)
        counts = [
            (x.name, x.requests, x.complete, x.refused)
            for x in self.reporter.list_teams()
        ]
        self.assertEqual(counts, [("a", 1, 1, 0), ("b", 3, 1, 1)])
        (quick,) = self.reporter.list_classes()
        self.assertEqual((quick.requests, quick.in_flight), (4, 0))
        self.assertAlmostEqual(quick.first_token.p95_ms, 12.0, delta=0.2)

    def test_eviction_keeps_teams_with_requests_in_flight(self) -> None:
        self.reporter.start_request("runs", "quick")
        for number in range(telemetry.MAX_TEAMS + 50):
            self._run_request(f"team-{number}")
        names = [item.name for item in self.reporter.list_teams()]
        self.assertLessEqual(len(names), telemetry.MAX_TEAMS + 1)
        self.assertIn("runs", names)
        self.reporter.end_request(_create_ended("runs"))


class StatsdTest(unittest.TestCase):
    """Tests the metrics that a statsd server receives."""

    def test_sends_counts_and_times_by_class(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
            server.bind(("127.0.0.1", 0))
            server.settimeout(5)
            host, port = server.getsockname()
            reporter = telemetry.build_telemetry(
                settings.Telemetry(statsd_address=f"{host}:{port}")
            )
            logging.disable(logging.INFO)
            self.addCleanup(logging.disable, logging.NOTSET)
            reporter.start_request("team", "quick")
            reporter.end_request(_create_ended())
            reporter.send_gauge("streams.resumed", 3)
            sent = server.recv(4096) + b"\n" + server.recv(4096)
        lines = sent.decode().splitlines()
        self.assertIn("mothpass.requests.quick.ok:1|c", lines)
        self.assertIn("mothpass.streams.resumed:3|g", lines)
        self.assertTrue(
            any(x.startswith("mothpass.first_token.quick:12") for x in lines)
        )


if __name__ == "__main__":
    unittest.main()
