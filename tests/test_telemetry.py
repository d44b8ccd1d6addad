"""Tests for mothpass.daemon.telemetry."""

import json
import logging
import socket
import unittest

from mothpass.core import results
from mothpass.daemon import settings
from mothpass.daemon import telemetry


def _make_ended(
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
    """Checks the lines of the log."""

    def test_a_request_is_one_json_object_on_one_line(self) -> None:
        log = logging.getLogger("mothpass.test")
        counted = telemetry.Telemetry(client=None, log=log)
        with self.assertLogs(log, logging.INFO) as caught:
            counted.start_request("team", "quick")
            counted.end_request(_make_ended(code=results.Code.TEAM_LIMIT))
        text = telemetry.JsonFormatter().format(caught.records[0])
        self.assertNotIn("\n", text)
        line = json.loads(text)
        self.assertEqual(
            (line["event"], line["level"], line["request_id"], line["team"]),
            ("request ended", "info", "r1", "team"),
        )
        self.assertEqual((line["target"], line["code"]), ("t0", 201))

    def test_an_exception_stays_on_its_line(self) -> None:
        log = logging.getLogger("mothpass.test")
        with self.assertLogs(log, logging.ERROR) as caught:
            try:
                raise ValueError("two\nlines")
            except ValueError:
                log.exception("failed")
        text = telemetry.JsonFormatter().format(caught.records[0])
        self.assertNotIn("\n", text)
        self.assertIn("ValueError", json.loads(text)["exception"])


class TrafficTest(unittest.TestCase):
    """Checks counts and histograms."""

    def setUp(self) -> None:
        log = logging.getLogger("mothpass.test.quiet")
        log.disabled = True
        self.counted = telemetry.Telemetry(client=None, log=log)

    def _run(self, team: str, code: results.Code = results.Code.OK) -> None:
        self.counted.start_request(team, "quick")
        self.counted.end_request(_make_ended(team, code))

    def test_teams_and_classes_are_counted_apart(self) -> None:
        self._run("a")
        self._run("b")
        self._run("b", results.Code.OVERLOADED)
        self._run("b", results.Code.CALLER_GONE)
        counts = [
            (x.name, x.requests, x.complete, x.refused)
            for x in self.counted.list_teams()
        ]
        self.assertEqual(counts, [("a", 1, 1, 0), ("b", 3, 1, 1)])
        (quick,) = self.counted.list_classes()
        self.assertEqual((quick.requests, quick.in_flight), (4, 0))
        self.assertAlmostEqual(quick.first_token.p95_ms, 12.0, delta=0.2)

    def test_memory_is_bounded_and_running_teams_are_kept(self) -> None:
        self.counted.start_request("runs", "quick")
        for number in range(telemetry.TEAMS_KEPT + 50):
            self._run(f"team-{number}")
        names = [item.name for item in self.counted.list_teams()]
        self.assertLessEqual(len(names), telemetry.TEAMS_KEPT + 1)
        self.assertIn("runs", names)
        self.counted.end_request(_make_ended("runs"))


class StatsdTest(unittest.TestCase):
    """Checks what a statsd server gets."""

    def test_sends_counts_and_times_by_class(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
            server.bind(("127.0.0.1", 0))
            server.settimeout(5)
            host, port = server.getsockname()
            counted = telemetry.build_telemetry(
                settings.Telemetry(statsd_address=f"{host}:{port}")
            )
            logging.disable(logging.INFO)
            self.addCleanup(logging.disable, logging.NOTSET)
            counted.start_request("team", "quick")
            counted.end_request(_make_ended())
            counted.gauge("streams.resumed", 3)
            sent = server.recv(4096) + b"\n" + server.recv(4096)
        lines = sent.decode().splitlines()
        self.assertIn("mothpass.requests.quick.ok:1|c", lines)
        self.assertIn("mothpass.streams.resumed:3|g", lines)
        self.assertTrue(
            any(x.startswith("mothpass.first_token.quick:12") for x in lines)
        )


if __name__ == "__main__":
    unittest.main()
