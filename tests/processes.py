"""Starts stand-ins and daemons as processes for tests."""

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
_READY_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.02
_ANY_PORT_ADDRESS = "127.0.0.1:0"
_FIXED_ADDRESS_HOST = "127.0.0.2"
_USED_ADDRESSES: set[str] = set()
_STANDIN = "mothpass.programs.mothpass_standin"
_DAEMON = "mothpass.programs.mothpassd"


class Process:
    """A process of a test and the address that it listens on.

    Attributes:
        name: Name in messages.
        popen: The process.
        log: File with its standard error.
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
        """Wraps a process that was just started.

        Args:
            name: Name in messages.
            popen: The process.
            log: File with its standard error.
            address: Address that it listens on, None where it prints the
                address when it is ready.
        """
        self.name = name
        self._address = address
        self.log = log
        self.popen = popen

    @property
    def address(self) -> str:
        """Address of its HTTP listener; waits until the process prints it."""
        if self._address is None:
            self.wait_listening()
        return str(self._address)

    def wait_listening(self) -> None:
        """Waits until a stand-in prints its address."""
        self._address = _read_ready_address(self)

    @property
    def url(self) -> str:
        """Base URL of its HTTP listener."""
        return f"http://{self.address}"

    def kill(self) -> None:
        """Kills it with SIGKILL and waits for its exit."""
        self.popen.kill()
        self.popen.wait()

    def suspend(self) -> None:
        """Suspends it with SIGSTOP; its connections stay open."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes it with SIGCONT."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Sends SIGTERM without waiting for its exit."""
        self.popen.terminate()

    def wait(self) -> int:
        """Waits for its exit and returns the exit status."""
        return self.popen.wait(_READY_TIMEOUT_S)

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
    """Processes of a test, killed when it ends.

    Attributes:
        folder: Temporary folder for settings and logs.
    """

    __slots__ = ("_started", "_temporary_folder", "folder")

    def __init__(self) -> None:
        """Creates the folder; close() removes it."""
        self._temporary_folder = tempfile.TemporaryDirectory(
            prefix="mothpass-test-"
        )
        self.folder = pathlib.Path(self._temporary_folder.name)
        self._started: list[Process] = []

    def close(self) -> None:
        """Kills all processes, suspended ones too, and removes the folder."""
        for process in self._started:
            if process.popen.poll() is None:
                process.popen.kill()
        for process in self._started:
            process.popen.wait()
            if process.popen.stdout is not None:
                process.popen.stdout.close()
        self._temporary_folder.cleanup()

    def start_standin(self, kind: str, **settings: object) -> Process:
        """Starts a stand-in on a free port.

        Args:
            kind: Subcommand of mothpass-standin.
            settings: Settings; without an address it gets a free port.

        Returns:
            The process. Without an address in the settings, it listens once
            it has printed its address.
        """
        document = {"address": _ANY_PORT_ADDRESS, **settings}
        name = str(settings.get("id", kind))
        path = self.write_document(f"{name}-{len(self._started)}", document)
        address = document["address"]
        known_address = None if address == _ANY_PORT_ADDRESS else str(address)
        return self._start(
            name, known_address, _STANDIN, kind, "--config", str(path)
        )

    def launch_daemon(
        self,
        settings: dict[str, typing.Any],
        *,
        max_descriptors: int | None = None,
        log: int | None = None,
    ) -> Process:
        """Starts a daemon without waiting until it is ready.

        Args:
            settings: Complete settings of the daemon.
            max_descriptors: Most descriptors that it may open, None for the
                limit of this process.
            log: Descriptor of its standard error, None for a file.

        Returns:
            The process with the address of its listener for clients.
        """
        name = str(settings["instance"]["id"])
        path = self.write_document(f"{name}-{len(self._started)}", settings)
        address = str(settings["callers"]["address"])
        return self._start(
            name,
            address,
            _DAEMON,
            str(path),
            max_descriptors=max_descriptors,
            log_descriptor=log,
        )

    def write_document(self, name: str, document: object) -> pathlib.Path:
        """Writes a JSON file to the folder and returns its path."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(document), encoding="utf-8")
        return path

    def _start(
        self,
        name: str,
        address: str | None,
        module: str,
        *arguments: str,
        max_descriptors: int | None = None,
        log_descriptor: int | None = None,
    ) -> Process:
        command = [sys.executable, "-m", module, *arguments]
        if max_descriptors is not None:
            limit = f'ulimit -n {max_descriptors} && exec "$@"'
            command = ["sh", "-c", limit, "sh", *command]
        log = self.folder / f"{name}-{len(self._started)}.log"
        with log.open("w", encoding="utf-8") as stream:
            popen = subprocess.Popen(
                command,
                cwd=_ROOT,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=stream if log_descriptor is None else log_descriptor,
                text=True,
            )
        process = Process(name=name, popen=popen, log=log, address=address)
        self._started.append(process)
        return process


def open_processes(test: unittest.TestCase) -> Processes:
    """Returns processes that are killed when a test ends."""
    processes = Processes()
    test.addCleanup(processes.close)
    return processes


def open_class_processes(test_class: type[unittest.TestCase]) -> Processes:
    """Returns processes that are killed after the last test of a class."""
    processes = Processes()
    test_class.addClassCleanup(processes.close)
    return processes


def find_free_address() -> str:
    """Returns an unused ``ip:port`` on loopback.

    No address is returned twice. Its host differs from that of stand-ins whose
    port the kernel assigns, so they can't take the port.
    """
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
            probe.bind((_FIXED_ADDRESS_HOST, 0))
            host, port = probe.getsockname()
        address = f"{host}:{port}"
        if address not in _USED_ADDRESSES:
            _USED_ADDRESSES.add(address)
            return address


def is_ready(process: Process) -> bool:
    """Returns whether a daemon reports that it is ready for clients."""
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
        condition: Polled until it returns True.
        process: Process that must keep running meanwhile, None for none.

    Raises:
        AssertionError: The process ended, or the condition did not hold
            within 20 s.
    """
    deadline = time.monotonic() + _READY_TIMEOUT_S
    while not condition():
        if process is not None and process.popen.poll() is not None:
            raise AssertionError(_describe_exit(process))
        if time.monotonic() > deadline:
            raise AssertionError("condition did not hold before the timeout")
        time.sleep(_POLL_INTERVAL_S)


def _read_ready_address(process: Process) -> str:
    """Returns the address in the ready line of a stand-in."""
    stdout = process.popen.stdout
    if stdout is None:
        raise AssertionError("standard output is not a pipe")
    readable, _, _ = select.select([stdout], [], [], _READY_TIMEOUT_S)
    line = stdout.readline() if readable else ""
    if not line:
        raise AssertionError(_describe_exit(process))
    return str(json.loads(line)["ready"])


def _describe_exit(process: Process) -> str:
    log_text = process.log.read_text(encoding="utf-8")
    return f"{process.name} ended with {process.popen.poll()}: {log_text}"
