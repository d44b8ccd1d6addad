"""Runs the tests and sets failures listed in KNOWN-RED.txt apart.

The last line has the form ``N passed, N failed``. The exit status is zero
only if at least one test ran and every failing test is listed. A test that is
still running at its deadline fails.
"""

import functools
import pathlib
import signal
import sys
import types
import typing
import unittest

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_KNOWN_RED = _ROOT / "KNOWN-RED.txt"
# Of a test, or of what a class or module does between two tests.
_TIMEOUT_S = 600.0


class DeadlineError(BaseException):
    """A test is still running at its deadline."""


class _Result(unittest.TextTestResult):
    """Result that gives each test a deadline."""

    def __init__(self, *args: typing.Any, timeout_s: float) -> None:
        super().__init__(*args)
        self._timeout_s = timeout_s

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        self._set_deadline()
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        super().stopTest(test)
        self._set_deadline()

    def _set_deadline(self) -> None:
        # It is raised again, as a test's own code may catch the first one.
        signal.setitimer(
            signal.ITIMER_REAL, self._timeout_s, self._timeout_s / 10
        )


def run_suite(
    suite: unittest.TestSuite,
    *,
    timeout_s: float = _TIMEOUT_S,
    stream: typing.TextIO | None = None,
) -> unittest.TestResult:
    """Runs tests; one that takes longer than the timeout is an error.

    Args:
        suite: Tests to run.
        timeout_s: Time for each test.
        stream: Where the report goes, None for standard error.
    """
    previous = signal.signal(signal.SIGALRM, _end_test)
    try:
        runner = unittest.TextTestRunner(
            stream=stream,
            verbosity=1,
            resultclass=functools.partial(_Result, timeout_s=timeout_s),
        )
        return runner.run(suite)
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0.0)
        signal.signal(signal.SIGALRM, previous)


def _end_test(number: int, frame: types.FrameType | None) -> None:
    raise DeadlineError(f"still running (signal {number} in {frame})")


def read_known_red() -> set[str]:
    """Returns the ids of the tests that KNOWN-RED.txt lists.

    An entry starts with a line ``test: <dotted test id>``.
    """
    if not _KNOWN_RED.exists():
        return set()
    lines = _KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix("test:").strip()
        for line in lines
        if line.startswith("test:")
    }


def load_suite(names: list[str]) -> unittest.TestSuite:
    """Returns the named tests, or all tests of this folder without names."""
    loader = unittest.TestLoader()
    if names:
        return loader.loadTestsFromNames(names)
    return loader.discover(str(_ROOT / "tests"), top_level_dir=str(_ROOT))


def _find_test_id(test: unittest.TestCase) -> str:
    """Returns the id of a test, or of the test that a subtest belongs to."""
    return getattr(test, "test_case", test).id()


def main(names: list[str]) -> int:
    """Runs the named tests, or all, and returns the exit status."""
    known_red = read_known_red()
    result = run_suite(load_suite(names))
    failures_and_errors = [*result.failures, *result.errors]
    failed = {_find_test_id(test) for test, _ in failures_and_errors}
    failed |= {_find_test_id(test) for test in result.unexpectedSuccesses}
    for test_id in sorted(failed & known_red):
        print(f"known red: {test_id}")
    for test_id in sorted(known_red - failed):
        print(f"listed in KNOWN-RED.txt but not failing: {test_id}")
    unlisted = failed - known_red
    for test_id in sorted(unlisted):
        print(f"failed: {test_id}")
    passed = result.testsRun - len(failed) - len(result.skipped)
    print(f"{passed} passed, {len(unlisted)} failed")
    return 0 if passed > 0 and not unlisted else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
