"""Starts stand-ins and daemons as processes of their own for tests."""

import json
import pathlib
import select
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing
import unittest

from tests import http_calls

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_READY_S = 20.0
_POLL_S = 0.02
_ANY_PORT = "127.0.0.1:0"
_KNOWN_HOST = "127.0.0.2"
_HANDED_OUT: set[str] = set()
_STANDIN = "mothpass.programs.mothpass_standin"
_DAEMON = "mothpass.programs.mothpassd"


class Process:
    """One process and where it listens.

    Attributes:
        name: Name for messages.
        popen: The process itself.
        log: File with what it wrote to its standard error.
    """

    __slots__ = ("_address", "log", "name", "popen")

    def __init__(
        self,
        *,
        name: str,
        popen: subprocess.Popen[str],
        log: pathlib.Path,
        address: str | None,
    ) -> None:
        """Keeps a process that was just started.

        Args:
            name: Name for messages.
            popen: The process itself.
            log: File with what it writes to its standard error.
            address: Where it is going to listen, None if it will tell.
        """
        self.name = name
        self._address = address
        self.log = log
        self.popen = popen

    @property
    def address(self) -> str:
        """Where its HTTP listener is; waits until the process tells."""
        if self._address is None:
            self.wait_listening()
        return str(self._address)

    def wait_listening(self) -> None:
        """Waits until a stand-in tells that it listens."""
        self._address = _read_ready(self)

    @property
    def url(self) -> str:
        """Base URL of its HTTP listener."""
        return f"http://{self.address}"

    def kill(self) -> None:
        """Ends it with SIGKILL and waits until it is gone."""
        self.popen.kill()
        self.popen.wait()

    def suspend(self) -> None:
        """Stops it with SIGSTOP; its connections stay open."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets it go on after a freeze."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Asks it to stop with SIGTERM, without waiting."""
        self.popen.terminate()

    def wait(self) -> int:
        """Waits until it has ended and returns its exit status."""
        return self.popen.wait(_READY_S)

    def set_faults(self, **fields: object) -> None:
        """Sets faults of a stand-in."""
        body = json.dumps(fields).encode()
        answer = http_calls.call(self.address, "POST", "/faults", body)
        if answer.status != http_calls.OK:
            raise AssertionError(f"{self.name}: {answer.body!r}")

    def clear_faults(self) -> None:
        """Clears the faults of a stand-in."""
        http_calls.call(self.address, "DELETE", "/faults")


class Processes:
    """Processes of one test, all ended with it.

    Attributes:
        folder: Temporary folder for settings and logs.
    """

    __slots__ = ("_holder", "_started", "folder")

    def __init__(self) -> None:
        """Makes the folder; close() removes it."""
        self._holder = tempfile.TemporaryDirectory(prefix="mothpass-test-")
        self.folder = pathlib.Path(self._holder.name)
        self._started: list[Process] = []

    def close(self) -> None:
        """Ends all processes, frozen ones too, and removes the folder."""
        for process in self._started:
            if process.popen.poll() is None:
                process.popen.kill()
        for process in self._started:
            process.popen.wait()
            if process.popen.stdout is not None:
                process.popen.stdout.close()
        self._holder.cleanup()

    def start_standin(self, kind: str, **settings: object) -> Process:
        """Starts a stand-in on a free port.

        Args:
            kind: Subcommand of mothpass-standin.
            settings: Settings beside the address.

        Returns:
            The process. Where the port is left to the system, it listens
            once its address is known.
        """
        document = {"address": _ANY_PORT, **settings}
        name = str(settings.get("id", kind))
        path = self.write_document(f"{name}-{len(self._started)}", document)
        address = document["address"]
        known = None if address == _ANY_PORT else str(address)
        return self._start(name, known, _STANDIN, kind, "--config", str(path))

    def launch_daemon(self, settings: dict[str, typing.Any]) -> Process:
        """Starts a daemon, without waiting for it.

        Args:
            settings: All its settings.

        Returns:
            The process, with the address of its listener for callers.
        """
        name = str(settings["instance"]["id"])
        path = self.write_document(f"{name}-{len(self._started)}", settings)
        address = str(settings["callers"]["address"])
        return self._start(name, address, _DAEMON, str(path))

    def write_document(self, name: str, document: object) -> pathlib.Path:
        """Writes a JSON file to the folder and returns its path."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(document), encoding="utf-8")
        return path

    def _start(
        self, name: str, address: str | None, module: str, *arguments: str
    ) -> Process:
        log = self.folder / f"{name}-{len(self._started)}.log"
        with log.open("w", encoding="utf-8") as stream:
            popen = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                cwd=_ROOT,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=stream,
                text=True,
            )
        process = Process(name=name, popen=popen, log=log, address=address)
        self._started.append(process)
        return process


def open_processes(test: unittest.TestCase) -> Processes:
    """Returns processes that end with a test."""
    processes = Processes()
    test.addCleanup(processes.close)
    return processes


def open_class_processes(test_class: type[unittest.TestCase]) -> Processes:
    """Returns processes that end after the last test of a class."""
    processes = Processes()
    test_class.addClassCleanup(processes.close)
    return processes


def find_free_address() -> str:
    """Returns ``ip:port`` on loopback that nothing listens at.

    No address is returned twice. The host is another one than that of
    stand-ins whose port is left to the system, so that they can't take it.
    """
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
            probe.bind((_KNOWN_HOST, 0))
            host, port = probe.getsockname()
        address = f"{host}:{port}"
        if address not in _HANDED_OUT:
            _HANDED_OUT.add(address)
            return address


def is_ready(process: Process) -> bool:
    """Tells whether a daemon says that it is ready for callers."""
    try:
        answer = http_calls.call(process.address, "GET", "/readyz")
    except OSError:
        return False
    return answer.status == http_calls.OK


def wait_until(
    condition: typing.Callable[[], bool], process: Process | None = None
) -> None:
    """Waits until a condition holds.

    Args:
        condition: Asked again and again.
        process: Process that must not end meanwhile.

    Raises:
        AssertionError: The process ended, or it took far too long.
    """
    deadline = time.monotonic() + _READY_S
    while not condition():
        if process is not None and process.popen.poll() is not None:
            raise AssertionError(_describe_end(process))
        if time.monotonic() > deadline:
            raise AssertionError("what was waited for didn't come about")
        time.sleep(_POLL_S)


def _read_ready(process: Process) -> str:
    """Returns the address from the line that a stand-in prints."""
    stdout = process.popen.stdout
    if stdout is None:
        raise AssertionError("standard output isn't a pipe")
    readable, _, _ = select.select([stdout], [], [], _READY_S)
    line = stdout.readline() if readable else ""
    if not line:
        raise AssertionError(_describe_end(process))
    return str(json.loads(line)["ready"])


def _describe_end(process: Process) -> str:
    text = process.log.read_text(encoding="utf-8")
    return f"{process.name} ended with {process.popen.poll()}: {text}"
