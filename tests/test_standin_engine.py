"""Tests for mothpass.standin.engine with real processes."""

import http.client
import json
import typing
import unittest

from mothpass.standin import engine
from tests import http_calls
from tests import processes

_PATH = "/v1/chat/completions"
_SLOW_TOKEN_US = 50_000


def _build_body(content: str, **fields: object) -> bytes:
    messages = [{"role": "user", "content": content}]
    return json.dumps(
        {"model": "advice", "messages": messages, "max_tokens": 4, **fields}
    ).encode()


class EngineTest(unittest.TestCase):
    """Checks how an engine handles requests."""

    def setUp(self) -> None:
        self.processes_started = processes.open_processes(self)

    def _start(self, **settings: object) -> processes.Process:
        fields = {"id": "e1", "token_us": 1000, "load_lag_ms": 0}
        return self.processes_started.start_standin(
            "engine", **(fields | settings)
        )

    def _start_request(
        self, target: processes.Process, body: bytes, name: str
    ) -> None:
        """Sends a request and leaves it running."""
        connection = http_calls.connect(target.address)
        self.addCleanup(connection.close)
        connection.request("POST", _PATH, body, {"X-Attempt-Id": name})
        processes.wait_until(lambda: self._is_known(target, name))

    def _is_known(self, target: processes.Process, name: str) -> bool:
        connection = http_calls.connect(target.address)
        self.addCleanup(connection.close)
        connection.request("GET", f"/v1/attempts/{name}/events?from=0")
        return connection.getresponse().status == http_calls.OK

    def _complete_chat(
        self, target: processes.Process, body: bytes
    ) -> dict[str, typing.Any]:
        response = http_calls.call(target.address, "POST", _PATH, body)
        self.assertEqual(response.status, http_calls.OK)
        return response.decode()

    def _read_stats(self, target: processes.Process) -> dict[str, typing.Any]:
        return http_calls.call(target.address, "GET", "/v1/stats").decode()

    def _read_load(self, target: processes.Process) -> dict[str, typing.Any]:
        return http_calls.call(target.address, "GET", "/v1/load").decode()

    def test_earlier_messages_of_a_chat_are_cached(self) -> None:
        target = self._start()
        first = self._complete_chat(target, _build_body("lease " * 40))
        answer_text = first["choices"][0]["message"]["content"]
        messages = [
            {"role": "user", "content": "lease " * 40},
            {"role": "assistant", "content": answer_text},
            {"role": "user", "content": "and the deposit?"},
        ]
        second = self._complete_chat(target, _build_body("", messages=messages))
        usage = second["usage"]
        self.assertEqual(first["usage"]["cached_tokens"], 0)
        self.assertEqual(usage["prompt_tokens"] - usage["cached_tokens"], 5)

    def test_cold_engine_crashes_over_twice_its_limit(self) -> None:
        target = self._start(token_us=_SLOW_TOKEN_US, cold_in_flight=1)
        self._start_request(target, _build_body("one"), "a1")
        self._start_request(target, _build_body("two"), "a2")
        with self.assertRaises((OSError, http.client.HTTPException)):
            self._complete_chat(target, _build_body("three"))
        self.assertEqual(target.wait(), engine.EXIT_OVERLOADED)

    def test_finished_answers_warm_the_engine(self) -> None:
        target = self._start(
            cold_in_flight=1, answers_per_step=1, warm_in_flight=3
        )
        phases = []
        for content in ("one", "two"):
            phases.append(self._read_load(target)["phase"])
            self._complete_chat(target, _build_body(content))
        phases.append(self._read_load(target)["phase"])
        self.assertEqual(phases, ["cold", "cold", "warm"])

    def test_engine_turned_cold_crashes_when_overloaded(self) -> None:
        target = self._start(
            start_warm=True, token_us=_SLOW_TOKEN_US, cold_in_flight=1
        )
        before = self._read_load(target)
        target.set_faults(cold=True, hide_phase=True)
        after = self._read_load(target)
        self.assertEqual(before["boot_id"], after["boot_id"])
        self.assertEqual(after["phase"], "warm")
        for name in ("a1", "a2"):
            self._start_request(target, _build_body(name), name)
        with self.assertRaises((OSError, http.client.HTTPException)):
            self._complete_chat(target, _build_body("three"))
        self.assertEqual(target.wait(), engine.EXIT_OVERLOADED)

    def test_restart_in_place_has_a_new_boot_id_and_is_cold(self) -> None:
        target = self._start(
            start_warm=True,
            fall="restart",
            restart_ms=200,
            crash_marker="poison",
        )
        before = self._read_load(target)
        with self.assertRaises((OSError, http.client.HTTPException)):
            self._complete_chat(target, _build_body("a poison pill"))
        with self.assertRaises((OSError, http.client.HTTPException)):
            self._read_load(target)

        def has_restarted() -> bool:
            try:
                self._read_load(target)
            except (OSError, http.client.HTTPException):
                return False
            return True

        processes.wait_until(has_restarted)
        after = self._read_load(target)
        self.assertNotEqual(before["boot_id"], after["boot_id"])
        self.assertEqual(after["phase"], "cold")
        self.assertEqual(self._read_stats(target)["deaths"], 1)

    def test_crash_marker_ends_the_process(self) -> None:
        target = self._start(crash_marker="poison")
        self._complete_chat(target, _build_body("no harm"))
        with self.assertRaises((OSError, http.client.HTTPException)):
            self._complete_chat(target, _build_body("a poison pill"))
        self.assertEqual(target.wait(), engine.EXIT_CRASHED)

    def test_attempt_without_readers_is_cancelled_after_the_grace_time(
        self,
    ) -> None:
        target = self._start(
            token_us=_SLOW_TOKEN_US, start_warm=True, grace_ms=200
        )
        connection = http_calls.connect(target.address)
        body = _build_body("long", max_tokens=10_000, stream=True)
        connection.request("POST", _PATH, body, {"X-Attempt-Id": "a1"})
        connection.getresponse().close()
        connection.close()
        self.assertEqual(self._read_stats(target)["cancelled"], 0)
        processes.wait_until(lambda: self._read_stats(target)["cancelled"] == 1)

    def test_cancel_stops_an_attempt_and_frees_its_slot(self) -> None:
        target = self._start(token_us=_SLOW_TOKEN_US, start_warm=True)
        self._start_request(
            target, _build_body("long", max_tokens=10_000), "a1"
        )
        path = "/v1/attempts/a1"
        response = http_calls.call(target.address, "DELETE", path)
        self.assertEqual(response.status, 204)
        self.assertFalse(self._is_known(target, "a1"))
        load = self._read_load(target)
        self.assertEqual(load["running"] + load["queued"], 0)

    def test_an_attempt_sent_twice_runs_once(self) -> None:
        target = self._start(start_warm=True)
        headers = {"X-Attempt-Id": "a1"}
        answers = [
            http_calls.call(
                target.address, "POST", _PATH, _build_body("x"), headers
            ).body
            for _ in range(2)
        ]
        self.assertEqual(answers[0], answers[1])
        self.assertEqual(self._read_stats(target)["started"], 1)

    def test_rejects_requests_when_the_queue_is_full(self) -> None:
        target = self._start(
            token_us=_SLOW_TOKEN_US,
            start_warm=True,
            max_running=1,
            max_queued=1,
        )
        body = _build_body("long", max_tokens=10_000)
        self._start_request(target, body, "a1")
        processes.wait_until(lambda: self._read_load(target)["running"] == 1)
        self._start_request(target, body, "a2")
        response = http_calls.call(target.address, "POST", _PATH, body)
        self.assertEqual(
            (response.status, response.decode()["ran"]), (503, "no")
        )

    def test_sigterm_stops_the_engine_with_open_streams(self) -> None:
        target = self._start(token_us=_SLOW_TOKEN_US, start_warm=True)
        self._start_request(target, _build_body("x", max_tokens=10_000), "a1")
        target.terminate()
        self.assertEqual(target.wait(), 0)


if __name__ == "__main__":
    unittest.main()
