"""Tests that the demo script stops all its processes, however it ends."""

import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time
import unittest

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_SCRIPT = _ROOT / "scripts" / "demo.sh"
_TOTALS_LINE = '{"requests":1}'
# Daemons, engines, services and the stand-ins of the platform.
_PROCESSES = 8 + 5 + 3 + 3
# Replaces the interpreter: records its process id, then behaves like the
# program that it is asked to run.
_FAKE_INTERPRETER = """#!/usr/bin/env bash
program=$2
echo "$program $$" >>"{process_list}"
case $program in
  *mothpassctl) echo accepted ;;
  *mothpass_load)
    # The script stops all processes after this one, which some of them would
    # not live to record.
    until [ "$(grep -cE 'mothpassd|standin' "{process_list}")" -ge {processes} ]
    do sleep 0.05; done
    echo '{line}'; exit {load_status} ;;
  *{dying}) exit 1 ;;
  *) exec sleep 60 ;;
esac
"""


class DemoScriptTest(unittest.TestCase):
    """Tests the script with a fake interpreter."""

    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.folder = pathlib.Path(folder)
        self.process_list = self.folder / "notes"

    def start(
        self, *arguments: str, load_status: int = 0, dying: str = "none"
    ) -> subprocess.Popen[str]:
        fake = self.folder / "python"
        fake.write_text(
            _FAKE_INTERPRETER.format(
                process_list=self.process_list,
                line=_TOTALS_LINE,
                load_status=load_status,
                processes=_PROCESSES,
                dying=dying,
            )
        )
        fake.chmod(0o755)
        environment = {**os.environ, "BIN": str(self.folder)}
        return subprocess.Popen(
            ["bash", str(_SCRIPT), *arguments],
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def list_started(self) -> dict[int, str]:
        """Returns process ids and programs of all background processes."""
        programs_by_id = {}
        for line in self.process_list.read_text().splitlines():
            program, process_id = line.split()
            if program.endswith(("mothpassd", "mothpass_standin")):
                programs_by_id[int(process_id)] = program
        return programs_by_id

    def check_all_stopped(self) -> None:
        started = self.list_started()
        programs = list(started.values())
        self.assertEqual(programs.count("mothpass.programs.mothpassd"), 8)
        self.assertEqual(len(programs), _PROCESSES)
        for process_id in started:
            with self.assertRaises(ProcessLookupError, msg=str(process_id)):
                os.kill(process_id, 0)

    def test_processes_are_stopped_after_success(self) -> None:
        process = self.start("guild")
        output, _ = process.communicate()
        self.assertEqual(process.returncode, 0)
        self.assertEqual(json.loads(output.splitlines()[-1]), {"requests": 1})
        self.check_all_stopped()

    def test_processes_are_stopped_after_failure_and_logs_are_shown(
        self,
    ) -> None:
        process = self.start("guild", load_status=1)
        _, errors = process.communicate()
        self.assertEqual(process.returncode, 1)
        self.assertIn("== guild-daemon-7.log, last lines", errors)
        self.check_all_stopped()

    def test_processes_are_stopped_on_sigterm(self) -> None:
        process = self.start("guild", "up")
        assert process.stdout is not None
        while "up;" not in process.stdout.readline():
            pass
        process.send_signal(signal.SIGTERM)
        process.communicate()
        self.assertEqual(process.returncode, 128 + signal.SIGTERM)
        self.check_all_stopped()

    def test_program_that_ends_early_is_a_failure(self) -> None:
        process = self.start("guild", "up", dying="mothpassd")
        # The catalogue is applied only once, so the script may notice the end
        # of a daemon in its first check or while the deployment is up.
        deadline = time.monotonic() + 20
        while process.poll() is None and time.monotonic() < deadline:
            time.sleep(0.05)
        process.send_signal(signal.SIGTERM)
        _, errors = process.communicate()
        self.assertEqual(process.returncode, 1)
        self.assertIn("a process has ended", errors)
        self.check_all_stopped()

    def test_unknown_deployment_starts_nothing(self) -> None:
        process = self.start("nowhere")
        _, errors = process.communicate()
        self.assertEqual(process.returncode, 2)
        self.assertIn("no deployment named nowhere", errors)
        self.assertFalse(self.process_list.exists())


if __name__ == "__main__":
    unittest.main()
