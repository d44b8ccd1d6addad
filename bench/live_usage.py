"""Reads the resource usage of a process from the kernel."""

import os
import pathlib
import re
import shutil
import subprocess

import msgspec

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_PORTS = re.compile(r":(\d+)\s+\S*?:(\d+)\s")
_SENT = re.compile(r"bytes_sent:(\d+)")
_RECEIVED = re.compile(r"bytes_received:(\d+)")


class ResourceUsage(msgspec.Struct, frozen=True, kw_only=True):
    """Resource usage of a process so far.

    Attributes:
        processor_s: Processor time in seconds.
        memory_bytes: Current resident memory.
        sent_bytes: Bytes sent over the TCP connections that are open, without
            TCP headers; 0 where the machine has no ``ss``.
        received_bytes: The same for bytes received.
    """

    processor_s: float
    memory_bytes: int
    sent_bytes: int
    received_bytes: int


def read_usage(pid: int) -> ResourceUsage:
    """Returns the resource usage of a process so far."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    fields = stat.rpartition(")")[2].split()
    sent, received = read_bytes(pid)
    return ResourceUsage(
        processor_s=(int(fields[11]) + int(fields[12])) / _TICKS_PER_S,
        memory_bytes=int(fields[21]) * _PAGE_BYTES,
        sent_bytes=sent,
        received_bytes=received,
    )


def read_bytes(pid: int, ports: set[int] | None = None) -> tuple[int, int]:
    """Returns the bytes sent and received over open TCP connections.

    Args:
        pid: The process.
        ports: Counts only connections with one of these ports at either end;
            None counts all.
    """
    if shutil.which("ss") is None:
        return 0, 0
    output = subprocess.run(
        ["ss", "-H", "-O", "-tinp"], capture_output=True, text=True, check=True
    ).stdout
    sent = received = 0
    for line in output.splitlines():
        if f"pid={pid}," not in line:
            continue
        match = _PORTS.search(line)
        if match is None:
            continue
        if ports is not None and not {int(x) for x in match.groups()} & ports:
            continue
        sent += _read_counter(_SENT, line)
        received += _read_counter(_RECEIVED, line)
    return sent, received


def _read_counter(pattern: re.Pattern[str], line: str) -> int:
    match = pattern.search(line)
    return 0 if match is None else int(match.group(1))
