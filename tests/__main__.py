"""Runs the tests and sets failures listed in KNOWN-RED.txt apart.

The last line has the form ``N passed, N failed``. The exit status is zero
only if at least one test ran and every failing test is listed.
"""

import pathlib
import sys
import unittest

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_KNOWN_RED = _ROOT / "KNOWN-RED.txt"


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
    runner = unittest.TextTestRunner(verbosity=1)
    result = runner.run(load_suite(names))
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
