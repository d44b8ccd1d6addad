"""Finds the process at one end of a loopback connection."""

from collections import abc
import contextlib
import os
import socket
import struct

Address = tuple[str, int]

# Protocol of netlink that describes sockets, and its request and error types;
# see sock_diag(7).
_NETLINK_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY = 20
_NLMSG_ERROR = 2
_NLM_F_REQUEST = 1
_HEADER = struct.Struct("=IHHII")
# Family, protocol, extensions, padding and states.
_REQUEST = struct.Struct("=BBBBI")
_ALL_STATES = 0xFFFFFFFF
# Ports and addresses of a socket, its interface and a cookie that fits any.
_SOCKET_ID = struct.Struct("!HH16s16sIQ")
_ANY_COOKIE = 0xFFFFFFFFFFFFFFFF
_INODE_OFFSET = _HEADER.size + 68
_MAX_MESSAGE_BYTES = 4096


def find_owner(
    local: Address, remote: Address, pids: abc.Iterable[int]
) -> int | None:
    """Returns the process that has a socket, None if none of these has it.

    Args:
        local: Address of the socket.
        remote: Address that it is connected to.
        pids: Ids of the processes to look at.
    """
    inode = _find_inode(local, remote)
    if inode is None:
        return None
    return next((pid for pid in pids if _has_open(pid, inode)), None)


def _has_open(pid: int, inode: int) -> bool:
    folder = f"/proc/{pid}/fd"
    with contextlib.suppress(OSError):
        for descriptor in os.listdir(folder):
            # A descriptor that was closed meanwhile is none of those sought.
            with contextlib.suppress(OSError):
                if os.readlink(f"{folder}/{descriptor}") == f"socket:[{inode}]":
                    return True
    return False


def _find_inode(local: Address, remote: Address) -> int | None:
    """Asks the kernel for one socket; a list of all takes long on a busy one.

    Returns:
        Its inode, None if it doesn't exist.
    """
    request = _REQUEST.pack(
        socket.AF_INET, socket.IPPROTO_TCP, 0, 0, _ALL_STATES
    ) + _SOCKET_ID.pack(
        local[1],
        remote[1],
        socket.inet_aton(local[0]),
        socket.inet_aton(remote[0]),
        0,
        _ANY_COOKIE,
    )
    header = _HEADER.pack(
        _HEADER.size + len(request), _SOCK_DIAG_BY_FAMILY, _NLM_F_REQUEST, 0, 0
    )
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG
    ) as kernel:
        kernel.send(header + request)
        answer = kernel.recv(_MAX_MESSAGE_BYTES)
    _, kind, _, _, _ = _HEADER.unpack_from(answer)
    if kind == _NLMSG_ERROR:
        return None
    (inode,) = struct.unpack_from("=I", answer, _INODE_OFFSET)
    return int(inode)
