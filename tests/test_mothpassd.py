"""Tests for mothpass.programs.mothpassd as a process."""

import json
import pathlib
import socket
import subprocess
import sys
import tempfile
import typing
import unittest

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_SETTINGS = _ROOT / "examples" / "guild" / "daemons"


class ProgramTest(unittest.TestCase):
    """Checks what the program does with its settings."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "settings.json"
        first = min(_SETTINGS.glob("*.json"))
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

    def test_names_all_faults_with_their_paths_and_starts_nothing(
        self,
    ) -> None:
        self.settings["callers"]["connections"] = 0
        self.settings["peers"]["extra"] = 1
        del self.settings["instance"]["slot"]
        for arguments in (
            [str(self.path)],
            ["--check-settings", str(self.path)],
        ):
            ended = self._run(*arguments)
            self.assertEqual(ended.returncode, 2)
            for path in (
                "$.callers.connections",
                "$.peers.extra",
                "$.instance.slot",
            ):
                self.assertIn(path, ended.stderr)

    def test_accepts_good_settings_without_starting(self) -> None:
        ended = self._run("--check-settings", str(self.path))
        self.assertEqual((ended.returncode, ended.stderr), (0, ""))

    def test_reports_a_file_that_is_not_there(self) -> None:
        ended = self._run("--check-settings", str(self.path) + ".none")
        self.assertEqual(ended.returncode, 2)
        self.assertIn("No such file", ended.stderr)

    def test_names_an_option_that_it_does_not_have(self) -> None:
        ended = self._run("--nope")
        self.assertEqual(ended.returncode, 2)
        self.assertIn("--nope", ended.stderr)

    def test_fails_where_an_address_is_taken(self) -> None:
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            host, port = taken.getsockname()
            self.settings["callers"]["address"] = f"{host}:{port}"
            ended = self._run(str(self.path))
        self.assertEqual(ended.returncode, 1)
        line = json.loads(ended.stderr.splitlines()[-1])
        self.assertEqual(line["level"], "error")


if __name__ == "__main__":
    unittest.main()
