"""Tests that the loops of a mothpassd go on after unexpected errors."""

import asyncio
import hashlib
import json
import logging
import socket
import time
import typing
import unittest
from unittest import mock

from mothpass.adapters import http_pool
from mothpass.daemon import claim_pruning
from mothpass.daemon import control
from mothpass.daemon import exchange
from mothpass.daemon import loads
from mothpass.daemon import membership
from mothpass.daemon import service
from mothpass.daemon import settings
from mothpass.daemon import supervision
from mothpass.daemon import telemetry
from tests import processes

_LOGGER = "mothpass.tasks"
_TIMEOUT_S = 10.0
# What each loop calls in each of its rounds.
_STEPS: dict[str, tuple[type, str]] = {
    "catalogue": (control.ControlLoop, "_fetch_newer"),
    "claims": (claim_pruning.ClaimPruner, "is_due"),
    "connections": (http_pool.ConnectionPool, "prune"),
    "heartbeats": (membership.Membership, "send_heartbeat"),
    "loads": (loads.LoadReader, "start_due_reads"),
    "membership": (membership.Membership, "poll"),
    "ticks": (exchange.PeerExchange, "run_tick"),
}


def _build_settings(statsd_address: str) -> settings.Settings:
    nobody = f"http://{processes.find_free_address()}"
    return settings.Settings(
        instance=settings.Instance(
            id="d0", region="r", availability_zone="z", slot=0, slots=1
        ),
        callers=settings.Callers(address=processes.find_free_address()),
        operators=settings.Operators(
            address=processes.find_free_address(),
            token_sha256=[hashlib.sha256(b"token").hexdigest()],
        ),
        peers=settings.Peers(
            address=processes.find_free_address(),
            key="secret-of-the-daemons-in-tests",
            tick_ms=50,
        ),
        platform=settings.Platform(
            tables_url=nobody, objects_url=nobody, members_url=nobody
        ),
        telemetry=settings.Telemetry(statsd_address=statsd_address),
        shutdown=settings.Shutdown(announce_ms=1, drain_ms=100),
    )


class LoopTest(unittest.IsolatedAsyncioTestCase):
    """Runs a daemon without a platform, one loop of which meets an error."""

    def setUp(self) -> None:
        self.statsd = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.statsd.close)
        self.statsd.bind(("127.0.0.1", 0))
        self.statsd.setblocking(False)
        logger = logging.getLogger("mothpass")
        self.addCleanup(logger.setLevel, logger.level)
        logger.setLevel(logging.CRITICAL)
        self.calls = 0
        self._called = asyncio.Event()

    async def _start_daemon(self) -> service.Daemon:
        host, port = self.statsd.getsockname()
        daemon = service.Daemon(settings=_build_settings(f"{host}:{port}"))
        await daemon.start()
        return daemon

    def _fail(self, name: str, *, failures: int) -> typing.Any:
        """Patches the step of a loop so that its first calls fail."""
        owner, step = _STEPS[name]
        work = getattr(owner, step)

        def run(*arguments: object, **options: object) -> object:
            self.calls += 1
            self._called.set()
            if self.calls <= failures:
                raise LookupError(f"unexpected {self.calls}")
            return work(*arguments, **options)

        return mock.patch.object(owner, step, run)

    async def _wait_calls(self, count: int) -> None:
        async with asyncio.timeout(_TIMEOUT_S):
            while self.calls < count:
                await self._called.wait()
                self._called.clear()

    def _read_metrics(self) -> set[str]:
        lines: set[str] = set()
        while True:
            try:
                lines |= set(self.statsd.recv(4096).decode().splitlines())
            except BlockingIOError:
                return lines

    async def test_loop_goes_on_after_unexpected_errors(self) -> None:
        """Guards against one error that ends polls or ticks for good."""
        for name in _STEPS:
            with self.subTest(loop=name):
                self.calls = 0
                await self._check_loop(name)

    async def _check_loop(self, name: str) -> None:
        with (
            self._fail(name, failures=2),
            self.assertLogs(_LOGGER, logging.ERROR) as caught,
            mock.patch.object(service, "PRUNE_INTERVAL_MS", 10),
        ):
            daemon = await self._start_daemon()
            try:
                await self._wait_calls(4)
            finally:
                await daemon.stop()
        lines = [
            json.loads(telemetry.JsonFormatter().format(record))
            for record in caught.records
        ]
        ended = [(line["event"], line["task"]) for line in lines]
        self.assertEqual(ended, [("task ended", name)] * 2)
        self.assertIn("unexpected 1", lines[0]["detail"])
        self.assertIn("Traceback", lines[0]["exception"])
        self.assertIn(f"mothpass.tasks.ended.{name}:1|c", self._read_metrics())

    async def test_shutdown_does_not_wait_for_failing_loops(self) -> None:
        """Guards against a shutdown that waits for loops to start again."""
        with (
            self._fail("ticks", failures=1000),
            self.assertLogs(_LOGGER, logging.ERROR),
        ):
            daemon = await self._start_daemon()
            await self._wait_calls(3)
            started_at = time.monotonic()
            await daemon.stop()
        self.assertLess(time.monotonic() - started_at, 1.5)
        calls = self.calls
        await asyncio.sleep(0.5)
        self.assertEqual(self.calls, calls)

    async def test_cancelled_loop_that_raises_does_not_start_again(
        self,
    ) -> None:
        """Guards against a shutdown that a loop's own clean-up undoes."""
        started = asyncio.Event()
        runs = []

        async def run() -> None:
            runs.append(1)
            started.set()
            try:
                await asyncio.sleep(3600)
            finally:
                if len(runs) == 1:
                    raise LookupError("unexpected")

        task = asyncio.ensure_future(
            supervision.run_forever("loop", run, lambda _: None)
        )
        await started.wait()
        with self.assertLogs(_LOGGER, logging.ERROR):
            task.cancel()
            await asyncio.wait({task}, timeout=1.0)
        self.assertTrue(task.cancelled())
        self.assertEqual(len(runs), 1)


if __name__ == "__main__":
    unittest.main()
