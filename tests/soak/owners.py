"""Finds the process at the other end of a loopback connection."""

from collections import abc
import contextlib
import os
import pathlib
import socket
import struct

Peer = tuple[str, int]

_CONNECTIONS = pathlib.Path("/proc/net/tcp")
_INODE_COLUMN = 9


def find_owner(peer: Peer, pids: abc.Iterable[int]) -> int | None:
    """Returns the process that has a socket, None if none of these has it.

    Args:
        peer: Address and port of the socket.
        pids: Ids of the processes to look at.
    """
    inode = _find_inode(peer)
    if inode is None:
        return None
    return next((pid for pid in pids if _has_open(pid, inode)), None)


def _has_open(pid: int, inode: str) -> bool:
    folder = f"/proc/{pid}/fd"
    with contextlib.suppress(OSError):
        for descriptor in os.listdir(folder):
            # A descriptor that was closed meanwhile is none of those sought.
            with contextlib.suppress(OSError):
                if os.readlink(f"{folder}/{descriptor}") == inode:
                    return True
    return False


def _find_inode(peer: Peer) -> str | None:
    host, port = peer
    (number,) = struct.unpack("=I", socket.inet_aton(host))
    local = f"{number:08X}:{port:04X}"
    for line in _CONNECTIONS.read_text(encoding="ascii").splitlines()[1:]:
        columns = line.split()
        if columns[1] == local:
            return f"socket:[{columns[_INODE_COLUMN]}]"
    return None
