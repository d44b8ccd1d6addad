"""Starts the processes of the soak and ends them by their ids."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys

from tests.soak import checkers

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


class Child:
    """A process that the soak started.

    Attributes:
        name: Name for logs.
    """

    def __init__(self, name: str, log: pathlib.Path) -> None:
        self.name = name
        self._log = log
        self._process: asyncio.subprocess.Process | None = None

    async def start(
        self, arguments: list[str], env: dict[str, str], *, pipes: bool
    ) -> None:
        """Starts the program."""
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                stdout=asyncio.subprocess.PIPE if pipes else log,
                stderr=log,
                env=os.environ | env,
                cwd=_ROOT,
            )

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended by itself or by a signal."""
        return self._process is None or self._process.returncode is not None

    @property
    def pid(self) -> int:
        """Id of the process, 0 if there is none."""
        return 0 if self._process is None else self._process.pid

    @property
    def stdout(self) -> asyncio.StreamReader:
        """Output of the program, if it is piped."""
        assert self._process is not None
        assert self._process.stdout is not None
        return self._process.stdout

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def end(self, number: signal.Signals, timeout_s: float = 10.0) -> int:
        """Ends the process by a signal; kills it after a timeout."""
        assert self._process is not None
        self.send_signal(number)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                return await self._process.wait()
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        return await self._process.wait()


async def read_ledger(child: Child, history: checkers.History) -> None:
    """Records the runs in a target's ledger."""
    while line := await child.stdout.readline():
        try:
            entry = json.loads(line)
        except ValueError:
            # The process was killed while it wrote the last line.
            continue
        history.runs.append(checkers.Run(**entry))
