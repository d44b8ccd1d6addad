"""Tests of a daemon beside targets that answer without end.

The bound on memory comes from the machines of the sites, which have 200 MB.
"""

import asyncio
import unittest

from tests import crowds
from tests.platform import daemon_process
from tests.platform import endless_target
from tests.platform import fleet
from tests.platform import target_standin
from tests.platform import wire

_HOST = "127.0.7.2"
_BASE_PORT = 20_880
_CLIENTS = f"{_HOST}:{_BASE_PORT}"
_METRICS = f"{_HOST}:{_BASE_PORT + 3}"
_WAIT_S = 30.0
_MEMORY_BOUND_MB = 200.0
_TIMEOUT_MS = 8_000
# Of each service; a read may be sent to one more.
_ENDLESS = 2
_READS = 16
_PAYMENTS = 10
_STREAMS = 10
_EVENTS = target_standin.make_events(0, target_standin.EVENTS)


class _EndlessTargetsTest(fleet.FleetTest):
    """Requests at once to two sound targets and two endless ones a service."""

    daemons = 0

    async def check_forms(self, forms: dict[str, endless_target.Form]) -> None:
        """Checks all requests beside targets of each form."""
        for number, name in enumerate(forms):
            with self.subTest(name):
                await self.check_form(name, number)

    async def check_form(self, name: str, number: int) -> None:
        """Checks all requests, the daemon's memory and its paths."""
        async with endless_target.start(name, 2 * _ENDLESS) as addresses:
            self.store.put("op", "config", _make_document(number))
            for index, address in enumerate(addresses):
                target = target_standin.Target(f"i-endless-{index}")
                target.address = address
                service = "plain" if index % 2 else "models"
                entry = target.encode_entry(service, born=1000 + number)
                self.store.put("servers", target.id, entry)
            process = await daemon_process.start(
                self,
                host=_HOST,
                base_port=_BASE_PORT,
                timeout_s=_WAIT_S,
                log=asyncio.subprocess.DEVNULL,
            )
            try:
                answers = await asyncio.gather(
                    *[self.send("/read/1") for _ in range(_READS)],
                    *[self.send("/pay/1") for _ in range(_PAYMENTS)],
                    *[self.send("/once/1") for _ in range(_STREAMS)],
                )
                self.assertIsNone(process.returncode, "the daemon has ended")
                self.check_answers(answers)
                memory_mb = crowds.read_peak_memory(process.pid) / 1024**2
                self.assertLessEqual(memory_mb, _MEMORY_BOUND_MB)
                self.assertNotIn(b"mothpass_lost_paths", await _read_metrics())
            finally:
                process.kill()
                await process.wait()

    async def send(self, path: str) -> tuple[str, str, wire.Answer]:
        """Sends a request; returns its path, its id and the answer."""
        headers = self.make_chat_headers(Deadline_Ms=str(_TIMEOUT_MS))
        if path != "/once/1":
            headers = self.make_headers(Deadline_Ms=str(_TIMEOUT_MS))
        client = await wire.Client.connect(_CLIENTS)
        client.send("POST", path, headers, b"hi")
        answer = await client.read(_WAIT_S)
        client.close()
        return path, headers["Attempt-Id"], answer

    def check_answers(
        self, answers: list[tuple[str, str, wire.Answer]]
    ) -> None:
        """Checks that only requests at an endless target lack their answer."""
        sound = {
            run for target in (*self.plain, *self.models) for run in target.runs
        }
        failed = []
        for path, request_id, answer in answers:
            body = _EVENTS if path == "/once/1" else b"done"
            is_right = (answer.status, answer.body) == (200, body)
            if is_right and answer.is_whole:
                continue
            if (
                path == "/read/1"
                or request_id in sound
                or not answer.status
                or answer.status == 503
            ):
                failed.append((path, answer.status, answer.body[:80]))
        self.assertEqual(failed, [])


class EndlessTargetTest(_EndlessTargetsTest):
    """Targets whose answers have no end."""

    async def test_endless_bodies_cost_no_other_request_its_answer(
        self,
    ) -> None:
        """Guards against bodies that take answers and paths of others."""
        await self.check_forms(endless_target.BODIES)

    async def test_endless_heads_cost_no_other_request_its_answer(
        self,
    ) -> None:
        """Guards against heads that take answers and paths of others."""
        await self.check_forms(endless_target.HEADS)

    async def test_endless_streams_cost_no_other_request_its_answer(
        self,
    ) -> None:
        """Guards against streams that take answers and paths of others."""
        await self.check_forms(endless_target.STREAMS)


class WholeAnswerTest(_EndlessTargetsTest):
    """Targets that send without end behind a whole answer."""

    def check_answers(
        self, answers: list[tuple[str, str, wire.Answer]]
    ) -> None:
        """Checks that plain requests get the answer of either target."""
        failed = [
            (path, answer.status, answer.body[:80])
            for path, _, answer in answers
            if path != "/once/1"
            and (answer.status, answer.body)
            not in ((200, b"done"), (200, b"x" * 800))
        ]
        self.assertEqual(failed, [])

    async def test_bytes_behind_an_answer_do_not_cost_it(self) -> None:
        """Guards against whole answers that nobody gets."""
        await self.check_forms(endless_target.WHOLE_ANSWERS)


def _make_document(number: int) -> dict[str, object]:
    """Returns a document in which a read may reach a sound target."""
    document = fleet.make_document(version=2 + number)
    times: dict[str, object] = {
        "timeoutMs": _TIMEOUT_MS,
        "targetLatencyMs": 300,
    }
    models: dict[str, object] = {"service": "models", "sessionAffinity": True}
    return document | {
        "routes": [
            fleet.make_route(
                "read", "idempotent", maxAttempts=_ENDLESS + 1, **times
            ),
            fleet.make_route("pay", "non_idempotent", maxAttempts=1, **times),
            fleet.make_route(
                "once", "stream", maxAttempts=1, **times, **models
            ),
        ]
    }


async def _read_metrics() -> bytes:
    client = await wire.Client.connect(_METRICS)
    client.send("GET", "/metrics", {"Host": "daemon"})
    answer = await client.read(_WAIT_S)
    client.close()
    return answer.body


if __name__ == "__main__":
    unittest.main()
