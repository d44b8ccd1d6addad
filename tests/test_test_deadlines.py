"""Tests of the deadline that each test has."""

import asyncio
import io
import unittest

from tests import __main__ as runner


class HungTest(unittest.TestCase):
    """A run with a test that doesn't end."""

    def test_hung_test_fails_and_the_rest_runs(self) -> None:
        """Guards against runs of CI that never reach a verdict."""

        class Example(unittest.IsolatedAsyncioTestCase):
            async def test_hang(self) -> None:
                await asyncio.Event().wait()

            async def test_pass(self) -> None:
                await asyncio.sleep(0)

        suite = unittest.TestLoader().loadTestsFromTestCase(Example)
        result = runner.run_suite(suite, timeout_s=0.2, stream=io.StringIO())
        self.assertEqual(result.testsRun, 2)
        (failed,) = [test for test, _ in result.errors]
        self.assertIn("test_hang", failed.id())


if __name__ == "__main__":
    unittest.main()
