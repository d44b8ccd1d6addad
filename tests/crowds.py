"""Crowds of connections whose clients don't behave, for tests."""

from collections import abc
import contextlib
import pathlib
import re
import select
import socket
import time
import unittest

# A crowd counts as sent once none of its connections takes a byte for this
# long.
_QUIET_S = 1.0
_PIECE_BYTES = 1 << 20
_RECEIVE_BUFFER_BYTES = 4096
_MEMORY_LINE = re.compile(r"^VmHWM:\s+(\d+) kB$", re.MULTILINE)


class Crowd:
    """Connections that send what a test gives them and read no answer."""

    __slots__ = ("_sockets",)

    def __init__(self) -> None:
        """Opens nothing yet."""
        self._sockets: list[socket.socket] = []

    def close(self) -> None:
        """Closes all connections."""
        for connection in self._sockets:
            connection.close()

    def send(self, address: str, count: int, payload: bytes) -> None:
        """Opens connections and sends as much as the receiver takes.

        The connections stay open. Those that the receiver closes are left.

        Args:
            address: ``ip:port`` to connect to.
            count: Number of connections.
            payload: What each of them sends.
        """
        host, _, port = address.rpartition(":")
        offsets: dict[socket.socket, int] = {}
        for _ in range(count):
            connection = socket.socket()
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
            )
            self._sockets.append(connection)
            with contextlib.suppress(OSError):
                connection.connect((host, int(port)))
                offsets[connection] = 0
            connection.setblocking(False)
        quiet_at = time.monotonic() + _QUIET_S
        while offsets and time.monotonic() < quiet_at:
            _, writable, _ = select.select([], list(offsets), [], _QUIET_S)
            for connection in writable:
                offset = offsets[connection]
                piece = memoryview(payload)[offset : offset + _PIECE_BYTES]
                try:
                    offset += connection.send(piece)
                except BlockingIOError:
                    continue
                except OSError:
                    offset = len(payload)
                quiet_at = time.monotonic() + _QUIET_S
                offsets[connection] = offset
                if offset >= len(payload):
                    del offsets[connection]


def open_crowd(test: unittest.TestCase) -> Crowd:
    """Returns a crowd that is closed when a test ends."""
    crowd = Crowd()
    test.addCleanup(crowd.close)
    return crowd


def read_peak_memory(pid: int) -> int:
    """Returns the most bytes of memory that a process has held."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    match = _MEMORY_LINE.search(text)
    assert match is not None
    return int(match.group(1)) * 1024


def count_descriptors(pid: int) -> int:
    """Returns the number of open descriptors of a process."""
    return len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir()))


def build_head(
    path: str, headers: abc.Mapping[str, str], *, method: str = "POST"
) -> bytes:
    """Returns the head of a request."""
    lines = [f"{method} {path} HTTP/1.1", "Host: daemon"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def build_chunks(size: int, chunk_size: int) -> bytes:
    """Returns chunks of a body of at least ``size`` bytes, without its end."""
    chunk = b"%x\r\n" % chunk_size + b"x" * chunk_size + b"\r\n"
    return chunk * -(-size // chunk_size)
