"""Tests of daemons whose log can't be written any more."""

import asyncio
import os
import signal
import unittest

from tests.platform import daemon_process
from tests.platform import fleet
from tests.platform import target_standin
from tests.platform import wire

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
        return await daemon_process.start(
            self,
            host=_HOST,
            base_port=_BASE_PORT,
            timeout_s=_WAIT_S,
            log=log,
            grace_s=6.0,
        )

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


if __name__ == "__main__":
    unittest.main()
