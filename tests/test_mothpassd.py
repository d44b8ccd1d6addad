"""Tests for mothpass.programs.mothpassd, run as a process."""

import json
import pathlib
import socket
import subprocess
import sys
import tempfile
import typing
import unittest

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_EXAMPLE_SETTINGS = _ROOT / "examples" / "guild" / "daemons"


class ProgramTest(unittest.TestCase):
    """Checks how the program validates its settings and starts."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / "settings.json"
        first = min(_EXAMPLE_SETTINGS.glob("*.json"))
        self.settings: dict[str, typing.Any] = json.loads(first.read_bytes())

    def _run(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        self.path.write_text(json.dumps(self.settings), encoding="utf-8")
        return subprocess.run(
            [sys.executable, "-m", "mothpass.programs.mothpassd", *arguments],
            cwd=_ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def test_reports_all_problems_with_their_paths(
        self,
    ) -> None:
        self.settings["callers"]["connections"] = 0
        self.settings["peers"]["extra"] = 1
        del self.settings["instance"]["slot"]
        for arguments in (
            [str(self.path)],
            ["--check-settings", str(self.path)],
        ):
            completed = self._run(*arguments)
            self.assertEqual(completed.returncode, 2)
            for path in (
                "$.callers.connections",
                "$.peers.extra",
                "$.instance.slot",
            ):
                self.assertIn(path, completed.stderr)

    def test_checks_valid_settings_without_starting(self) -> None:
        completed = self._run("--check-settings", str(self.path))
        self.assertEqual((completed.returncode, completed.stderr), (0, ""))

    def test_reports_missing_file(self) -> None:
        completed = self._run("--check-settings", str(self.path) + ".none")
        self.assertEqual(completed.returncode, 2)
        self.assertIn("No such file", completed.stderr)

    def test_reports_unknown_option(self) -> None:
        completed = self._run("--nope")
        self.assertEqual(completed.returncode, 2)
        self.assertIn("--nope", completed.stderr)

    def test_fails_if_address_is_in_use(self) -> None:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            host, port = listener.getsockname()
            self.settings["callers"]["address"] = f"{host}:{port}"
            completed = self._run(str(self.path))
        self.assertEqual(completed.returncode, 1)
        line = json.loads(completed.stderr.splitlines()[-1])
        self.assertEqual(line["level"], "error")


if __name__ == "__main__":
    unittest.main()
