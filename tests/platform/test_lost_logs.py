"""Tests of daemons whose log can't be written any more."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import tempfile
import unittest

from tests.platform import fleet
from tests.platform import target_standin
from tests.platform import wire

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_HOST = "127.0.6.1"
_BASE_PORT = 20_880
_WAIT_S = 20.0


class LostLogTest(fleet.FleetTest):
    """A daemon as a process of its own, beside the stand-ins."""

    daemons = 0

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for target in self.models:
            target.answer = target_standin.stream(20, pause_s=0.1)

    async def start_process(self, log: int) -> asyncio.subprocess.Process:
        """Starts a daemon with this descriptor as log; waits for readiness."""
        settings = {
            "id": "front-1",
            "availability_zone": "zone-a",
            "address": _HOST,
            "clients": f"{_HOST}:{_BASE_PORT}",
            "health": f"{_HOST}:{_BASE_PORT + 1}",
            "peer_ports": [_BASE_PORT + 2, _BASE_PORT + 2],
            "store": self.store.address,
            "grace_s": 6.0,
            "metrics_port": _BASE_PORT + 3,
        }
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "settings.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "mothpass.platform",
            cwd=_ROOT,
            env=os.environ | {"MOTHPASS_SETTINGS": str(path)},
            stdout=log,
        )
        self.addAsyncCleanup(process.wait)
        self.addCleanup(_kill, process)
        async with asyncio.timeout(_WAIT_S):
            # Nothing else shows when it listens, as its log may be lost.
            while not await self._is_listening(process):  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        await self.wait_until_ready(str(settings["health"]))
        return process

    async def _is_listening(self, process: asyncio.subprocess.Process) -> bool:
        self.assertIsNone(process.returncode, "the daemon has ended")
        try:
            client = await wire.Client.connect(f"{_HOST}:{_BASE_PORT + 1}")
        except OSError:
            return False
        client.close()
        return True

    async def start_chat(self) -> wire.Client:
        """Returns the connection of a client that gets a stream."""
        client = await wire.Client.connect(f"{_HOST}:{_BASE_PORT}")
        client.send("POST", "/chat/1", self.make_chat_headers(), b"hi")
        await client.read_head()
        return client

    async def check_graceful_shutdown(
        self, process: asyncio.subprocess.Process, chat: wire.Client
    ) -> None:
        """Checks that a daemon which is to stop ends a stream first."""
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(_WAIT_S):
            while await chat.read_event():
                pass
            self.assertEqual(await process.wait(), 0)

    async def test_streams_end_though_the_reader_of_the_log_is_gone(
        self,
    ) -> None:
        """Guards against a shutdown that a failed log line cuts short."""
        reader, writer = os.pipe()
        process = await self.start_process(writer)
        os.close(writer)
        chat = await self.start_chat()
        os.close(reader)
        await self.check_graceful_shutdown(process, chat)

    async def test_daemon_serves_though_the_log_has_no_space(self) -> None:
        """Guards against requests and daemons that end with a full disk."""
        log = os.open("/dev/full", os.O_WRONLY)
        process = await self.start_process(log)
        os.close(log)
        chat = await self.start_chat()
        await self.check_graceful_shutdown(process, chat)


def _kill(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()


if __name__ == "__main__":
    unittest.main()
