"""Tests of the program as a process: settings, signals and logs."""

import asyncio
import gc
import importlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import types
import unittest
from unittest import mock

from mothpass.platform import __main__ as program
from mothpass.relay import service as service_module

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_WAIT_S = 10.0
_BASE_PORT = 20_900


def make_settings(**fields: object) -> dict[str, object]:
    """Returns settings of a daemon whose store is unreachable."""
    settings: dict[str, object] = {
        "id": "front-1",
        "availability_zone": "zone-a",
        "address": "127.0.5.1",
        "clients": f"127.0.5.1:{_BASE_PORT}",
        "health": f"127.0.5.1:{_BASE_PORT + 1}",
        "peer_ports": [_BASE_PORT + 2, _BASE_PORT + 5],
        "store": "127.0.5.1:9",
        "grace_s": 1.0,
        "metrics_port": _BASE_PORT + 3,
    }
    return settings | fields


class ProgramTest(unittest.TestCase):
    """Runs of the program with a settings file."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "settings.json"
        self.log = pathlib.Path(folder.name) / "log"

    def start(self) -> subprocess.Popen[bytes]:
        """Starts the program."""
        with self.log.open("wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "mothpass.platform"],
                cwd=_ROOT,
                env=os.environ | {"MOTHPASS_SETTINGS": str(self.path)},
                stdout=log,
            )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def read_events(self) -> list[dict[str, object]]:
        """Returns the events in the log."""
        lines = self.log.read_text(encoding="utf-8").splitlines()
        return [json.loads(line) for line in lines]

    def wait_for_event(self, name: str) -> dict[str, object]:
        """Waits until an event is logged."""
        until = time.monotonic() + _WAIT_S
        while time.monotonic() < until:
            for event in self.read_events():
                if event["event"] == name:
                    return event
            time.sleep(0.02)
        raise AssertionError(f"no {name} in {self.read_events()}")

    def test_invalid_settings_are_logged_with_their_paths(self) -> None:
        self.path.write_text('{"id": 3, "odd": 1}', encoding="utf-8")
        self.assertEqual(self.start().wait(_WAIT_S), 2)
        [event] = self.read_events()
        self.assertEqual(event["event"], "settings_rejected")
        self.assertIn("$.id", str(event["reason"]))
        self.assertIn("$.odd: unknown field", str(event["reason"]))

    def test_sighup_is_ignored_while_the_program_loads(self) -> None:
        before = signal.getsignal(signal.SIGHUP)
        self.addCleanup(signal.signal, signal.SIGHUP, before)
        self.addCleanup(gc.unfreeze)
        seen = []

        def load(name: str) -> types.SimpleNamespace:
            seen.append((name, signal.getsignal(signal.SIGHUP)))
            return types.SimpleNamespace(main=lambda: 7)

        with mock.patch.object(importlib, "import_module", load):
            self.assertEqual(program.main(), 7)
        self.assertEqual(seen, [("mothpass.platform.daemon", signal.SIG_IGN)])

    def test_modules_are_loaded_without_garbage_collections(self) -> None:
        """Guards against starts that spend their time on collections."""
        before = signal.getsignal(signal.SIGHUP)
        self.addCleanup(signal.signal, signal.SIGHUP, before)
        self.addCleanup(gc.unfreeze)
        seen = []

        def load(name: str) -> types.SimpleNamespace:
            del name
            seen.append(gc.isenabled())
            return types.SimpleNamespace(main=lambda: int(gc.isenabled()))

        with mock.patch.object(importlib, "import_module", load):
            self.assertEqual(program.main(), 1)
        self.assertEqual(seen, [False])

    def test_changed_settings_are_applied_with_and_without_a_signal(
        self,
    ) -> None:
        self.path.write_text(json.dumps(make_settings()), encoding="utf-8")
        process = self.start()
        self.wait_for_event("started")
        self.wait_for_event("store_lost")
        changed = make_settings(cold_slack=9.0)
        self.path.write_text(json.dumps(changed), encoding="utf-8")
        event = self.wait_for_event("settings_reloaded")
        self.assertEqual(event["changed"], ["cold_slack"])
        self.path.write_text("{", encoding="utf-8")
        process.send_signal(signal.SIGHUP)
        self.wait_for_event("settings_rejected")
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(_WAIT_S), 0)
        self.wait_for_event("stopped")


class ShutdownErrorTest(unittest.IsolatedAsyncioTestCase):
    """A shutdown one of whose steps fails."""

    async def test_error_of_a_shutdown_is_logged_as_such(self) -> None:
        """Guards against shutdowns that end early for no known reason."""
        service = mock.Mock()
        service.start = mock.AsyncMock()
        service.stop = mock.AsyncMock(side_effect=OSError("no space left"))
        running = asyncio.ensure_future(
            service_module.run_until_stopped(service)
        )
        await asyncio.sleep(0.05)
        with self.assertLogs("mothpass.relay", "ERROR") as logs:
            os.kill(os.getpid(), signal.SIGTERM)
            self.assertFalse(await running)
        self.assertEqual(logs.records[0].getMessage(), "shutdown_failed")


if __name__ == "__main__":
    unittest.main()
