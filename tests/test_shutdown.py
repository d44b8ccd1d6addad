"""Tests of the last steps of a shutdown."""

import asyncio
import contextlib
import unittest

from mothpass.daemon import shutdown


class ShutdownStepTest(unittest.IsolatedAsyncioTestCase):
    """Steps that end, fail or go on for good."""

    async def run_step(self, step: object) -> bool:
        now = asyncio.get_running_loop().time()
        assert asyncio.iscoroutine(step)
        return await shutdown.run_step("step", step, now + 0.1)

    async def test_step_that_ends_is_waited_for(self) -> None:
        self.assertTrue(await self.run_step(asyncio.sleep(0.02)))

    async def test_step_that_does_not_end_holds_nothing_up(self) -> None:
        """Guards against a daemon that is still there after its grace time."""

        async def ignore_cancellation() -> None:
            for _ in range(20):
                with contextlib.suppress(asyncio.CancelledError):
                    await asyncio.sleep(0.05)

        loop = asyncio.get_running_loop()
        for step in (asyncio.sleep(3600), ignore_cancellation()):
            begun_at = loop.time()
            with self.assertLogs("mothpass.daemon.shutdown", "ERROR"):
                self.assertFalse(await self.run_step(step))
            self.assertLess(loop.time() - begun_at, 0.5)

    async def test_step_that_fails_does_not_end_the_shutdown(self) -> None:
        async def fail() -> None:
            raise OSError("no route")

        with self.assertLogs("mothpass.daemon.shutdown", "ERROR"):
            self.assertFalse(await self.run_step(fail()))
