"""Tests for mothpass.standin.faults with real processes."""

import http.client
import json
import time
import typing
import unittest

from mothpass.standin import answers
from mothpass.standin import faults
from tests import http_calls
from tests import processes

_MAX_TOKENS = 6
_MESSAGES = [{"role": "user", "content": "Explain my lease."}]
_PATH = "/v1/chat/completions"


def _build_body(stream: bool) -> bytes:
    return json.dumps(
        {
            "model": "advice",
            "messages": _MESSAGES,
            "stream": stream,
            "max_tokens": _MAX_TOKENS,
        }
    ).encode()


class EngineFaultTest(unittest.TestCase):
    """Checks the faults in the streams and answers of an engine."""

    engine: typing.ClassVar[processes.Process]
    attempts: typing.ClassVar[int] = 0

    @classmethod
    def setUpClass(cls) -> None:
        started = processes.open_class_processes(cls)
        cls.engine = started.start_standin(
            "engine", id="e1", token_us=1000, start_warm=True
        )

    def setUp(self) -> None:
        self.addCleanup(self.engine.clear_faults)
        type(self).attempts += 1
        self.attempt_id = f"a{self.attempts}"

    def _open_stream(
        self, timeout_s: float = 10.0, path: str | None = None
    ) -> http.client.HTTPResponse:
        connection = http_calls.connect(self.engine.address, timeout_s)
        self.addCleanup(connection.close)
        headers = {"X-Attempt-Id": self.attempt_id}
        if path is None:
            connection.request("POST", _PATH, _build_body(True), headers)
        else:
            connection.request("GET", path)
        return connection.getresponse()

    def _read_ids(self, path: str | None = None) -> list[str]:
        events = http_calls.read_events(self._open_stream(path=path))
        return [item.id.removeprefix(f"{self.attempt_id}:") for item in events]

    def _set_stream_fault(self, **fields: object) -> None:
        self.engine.set_faults(streams=[fields])

    def _list_positions(self, first: int = 0) -> list[str]:
        return [str(item) for item in range(first, _MAX_TOKENS + 1)]

    def test_a_stream_without_faults_is_whole(self) -> None:
        events = list(http_calls.read_events(self._open_stream()))
        chunks = [json.loads(item.data) for item in events]
        text = "".join(
            item["choices"][0]["delta"].get("content", "") for item in chunks
        )
        messages = [answers.Message(**item) for item in _MESSAGES]
        self.assertTrue(answers.is_whole_answer(text, messages, _MAX_TOKENS))
        self.assertEqual(events[-1].kind, "finish")

    def test_cut_stream_can_be_resumed_after_the_event(self) -> None:
        self._set_stream_fault(kind="cut", at=2)
        with self.assertRaises(http.client.HTTPException):
            self._read_ids()
        path = f"/v1/attempts/{self.attempt_id}/events?from=3"
        self.assertEqual(self._read_ids(path), self._list_positions(3))

    def test_silent_stream_stays_open_while_a_new_one_works(self) -> None:
        self._set_stream_fault(kind="silent", at=1)
        events = http_calls.read_events(self._open_stream(timeout_s=0.3))
        received = [next(events).id, next(events).id]
        self.assertEqual(
            received, [f"{self.attempt_id}:0", f"{self.attempt_id}:1"]
        )
        with self.assertRaises(TimeoutError):
            next(events)
        path = f"/v1/attempts/{self.attempt_id}/events?from=2"
        self.assertEqual(self._read_ids(path), self._list_positions(2))

    def test_cross_inserts_an_event_of_another_attempt(self) -> None:
        self._set_stream_fault(kind="cross", at=1)
        expected = self._list_positions()
        expected.insert(2, f"other-{self.attempt_id}:2")
        self.assertEqual(self._read_ids(), expected)

    def test_double_sends_an_event_twice(self) -> None:
        self._set_stream_fault(kind="double", at=1)
        self.assertEqual(self._read_ids(), ["0", "1", *self._list_positions(1)])

    def test_skip_omits_an_event(self) -> None:
        self._set_stream_fault(kind="skip", at=1)
        self.assertEqual(self._read_ids(), ["0", *self._list_positions(2)])

    def test_reorder_swaps_two_events(self) -> None:
        self._set_stream_fault(kind="reorder", at=1)
        self.assertEqual(
            self._read_ids(), ["0", "2", "1", *self._list_positions(3)]
        )

    def test_late_delays_an_event(self) -> None:
        self._set_stream_fault(kind="late", at=1, delay_ms=300)
        events = http_calls.read_events(self._open_stream())
        next(events)
        started = time.monotonic()
        next(events)
        self.assertGreater(time.monotonic() - started, 0.2)

    def test_a_stream_fault_ends_after_its_count(self) -> None:
        self._set_stream_fault(kind="skip", at=0, count=1)
        self.assertEqual(self._read_ids(), self._list_positions(1))
        path = f"/v1/attempts/{self.attempt_id}/events?from=0"
        self.assertEqual(self._read_ids(path), self._list_positions())

    def test_forget_attempts_rejects_a_resumption(self) -> None:
        self._read_ids()
        self.engine.set_faults(forget_attempts=True)
        path = f"/v1/attempts/{self.attempt_id}/events?from=1"
        self.assertEqual(self._open_stream(path=path).status, 404)

    def test_crossed_answer_names_another_attempt(self) -> None:
        self.engine.set_faults(crossed_answers=1)
        response = http_calls.call(
            self.engine.address,
            "POST",
            _PATH,
            _build_body(False),
            {"X-Attempt-Id": self.attempt_id},
        )
        self.assertEqual(
            response.headers["x-attempt-id"], f"other-{self.attempt_id}"
        )

    def test_wrong_boot_id_is_reported_until_cleared(self) -> None:
        def read_boot_id() -> str:
            path = "/v1/load"
            response = http_calls.call(self.engine.address, "GET", path)
            return response.headers["x-boot-id"]

        right = read_boot_id()
        self.engine.set_faults(wrong_boot_id=True)
        self.assertNotEqual(read_boot_id(), right)
        self.engine.clear_faults()
        self.assertEqual(read_boot_id(), right)


class ServiceFaultTest(unittest.TestCase):
    """Checks the faults common to all stand-ins on a plain service."""

    service: typing.ClassVar[processes.Process]
    processes_started: typing.ClassVar[processes.Processes]

    @classmethod
    def setUpClass(cls) -> None:
        cls.processes_started = processes.open_class_processes(cls)
        cls.service = cls.processes_started.start_standin(
            "service", id="s1", run_ms=0, load_lag_ms=0
        )

    def setUp(self) -> None:
        self.addCleanup(self.service.clear_faults)

    def _call(self, key: str, timeout_s: float = 5.0) -> http_calls.Answer:
        return http_calls.call(
            self.service.address,
            "POST",
            "/v1/call/payments",
            b"{}",
            {"Idempotency-Key": key, "X-Attempt-Id": key},
            timeout_s,
        )

    def _has_run(self, key: str) -> bool:
        response = http_calls.call(self.service.address, "GET", "/v1/ledger")
        return f'"key":"{key}"'.encode() in response.body

    def test_down_rejects_without_running(self) -> None:
        self.service.set_faults(down=True)
        response = self._call("down")
        self.assertEqual(
            (response.status, response.decode()["ran"]), (503, "no")
        )
        self.service.clear_faults()
        self.assertFalse(self._has_run("down"))

    def test_lose_answers_runs_the_request_and_aborts(self) -> None:
        self.service.set_faults(lose_answers=1)
        with self.assertRaises((OSError, http.client.HTTPException)):
            self._call("lost")
        self.assertTrue(self._has_run("lost"))

    def test_read_of_the_load_takes_no_lost_answer(self) -> None:
        """Guards against a daemon's load read that saves the next answer."""
        self.service.set_faults(lose_answers=1)
        http_calls.call(self.service.address, "GET", "/v1/load")
        with self.assertRaises((OSError, http.client.HTTPException)):
            self._call("lost-after-read")
        self.assertTrue(self._has_run("lost-after-read"))

    def test_late_delays_the_response_of_a_request_that_ran(self) -> None:
        self.service.set_faults(late_ms=60_000)
        with self.assertRaises(TimeoutError):
            self._call("late", timeout_s=0.3)
        self.service.clear_faults()
        self.assertTrue(self._has_run("late"))

    def test_slow_delays_running_the_request(self) -> None:
        self.service.set_faults(slow_ms=60_000)
        with self.assertRaises(TimeoutError):
            self._call("slow", timeout_s=0.3)
        self.service.clear_faults()
        self.assertFalse(self._has_run("slow"))

    def test_pause_holds_requests_for_its_duration(self) -> None:
        self.service.set_faults(pause_ms=400)
        with self.assertRaises(TimeoutError):
            self._call("pause", timeout_s=0.1)
        self.assertEqual(self._call("after-pause").status, 200)

    def test_silent_affects_open_connections_only(self) -> None:
        connection = http_calls.connect(self.service.address, 0.3)
        self.addCleanup(connection.close)
        connection.request("GET", "/v1/load")
        http_calls.read_answer(connection)
        self.service.set_faults(silent=True)
        connection.request("GET", "/v1/load")
        with self.assertRaises(TimeoutError):
            http_calls.read_answer(connection)
        self.assertEqual(self._call("new-connection").status, 200)

    def test_crossed_answer_names_another_attempt(self) -> None:
        self.service.set_faults(crossed_answers=1)
        responses = [self._call(key) for key in ("first", "second")]
        self.assertEqual(
            [item.headers["x-attempt-id"] for item in responses],
            ["other-first", "second"],
        )

    def test_load_report_has_the_phase_leaving(self) -> None:
        self.service.set_faults(leaving=True)
        response = http_calls.call(self.service.address, "GET", "/v1/load")
        self.assertEqual(response.decode()["phase"], "leaving")

    def test_unknown_fault_is_reported(self) -> None:
        response = http_calls.call(
            self.service.address, "POST", "/faults", b'{"sulk": true}'
        )
        self.assertEqual(response.status, 422)
        self.assertIn(b"$.sulk", response.body)

    def test_exit_ends_the_process(self) -> None:
        other = self.processes_started.start_standin("service", id="s2")
        with self.assertRaises((OSError, http.client.HTTPException)):
            other.set_faults(exit=True)
        self.assertEqual(other.wait(), faults.EXIT_FAULT)


if __name__ == "__main__":
    unittest.main()
