"""Runs the soak with one seed after another and prints violations."""

import asyncio
import pathlib
import shutil
import sys
import time

import cleo.application
import cleo.commands.command
import cleo.helpers
from cleo.io.inputs import argv_input

from tests.soak import simulation

_DEFAULT_SECONDS = "12"
_DEFAULT_PROCESSES = "9"
# Target processes of a run.
_TARGETS = 5


class SoakCommand(cleo.commands.command.Command):
    """Runs one seed after another."""

    name = "mothpass-soak"
    description = "Runs the relay's processes under random faults."
    options = [  # noqa: RUF012
        cleo.helpers.option("seed", None, "First seed.", flag=False),
        cleo.helpers.option("seeds", None, "Number of seeds.", flag=False),
        cleo.helpers.option(
            "minutes", None, "Time limit for all seeds.", flag=False
        ),
        cleo.helpers.option(
            "seconds",
            None,
            "Seconds of faults in each run.",
            flag=False,
            default=_DEFAULT_SECONDS,
        ),
        cleo.helpers.option(
            "processes",
            None,
            "Processes of a run.",
            flag=False,
            default=_DEFAULT_PROCESSES,
        ),
        cleo.helpers.option(
            "logs", None, "Folder for the logs of failed runs.", flag=False
        ),
    ]

    def handle(self) -> int:
        """Returns 0 if no guarantee was violated."""
        first = int(self.option("seed") or time.time_ns() % 1_000_000)
        count = int(self.option("seeds") or 1)
        limit = float(self.option("minutes") or 0) * 60 or float("inf")
        logs = pathlib.Path(self.option("logs") or "run/soak")
        until = time.monotonic() + limit
        passed = failed = 0
        for seed in range(first, first + count):
            if time.monotonic() >= until:
                break
            if self._run_seed(seed, logs / str(seed)):
                passed += 1
            else:
                failed += 1
        print(f"{passed} passed, {failed} failed")
        return 0 if passed and not failed else 1

    def _run_seed(self, seed: int, folder: pathlib.Path) -> bool:
        seconds = float(self.option("seconds"))
        count = max(2, int(self.option("processes")) - _TARGETS)
        folder.mkdir(parents=True, exist_ok=True)
        soak_run = simulation.Simulation(
            seed=seed, daemons=count, seconds=seconds, folder=folder
        )
        violations = asyncio.run(soak_run.run())
        sent = len(soak_run.history.sent)
        print(
            f"seed {seed}: {sent} requests, {len(violations)} broken",
            flush=True,
        )
        if not violations:
            shutil.rmtree(folder)
            return True
        for line in violations[:20]:
            print(f"  {line}")
        print(
            f"  logs: {folder}\n  again: scripts/mothpass-soak --seed {seed}"
            f" --seconds {seconds:g} --processes {count + _TARGETS}",
            flush=True,
        )
        return False


def main() -> int:
    """Runs the command line and returns its exit status."""
    application = cleo.application.Application("mothpass-soak")
    application.auto_exits(False)
    application.add(SoakCommand())
    arguments = [sys.argv[0], SoakCommand.name, *sys.argv[1:]]
    return int(application.run(argv_input.ArgvInput(arguments)))


if __name__ == "__main__":
    sys.exit(main())
