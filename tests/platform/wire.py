"""Reads and writes HTTP/1.1 for stand-ins and test clients."""

import asyncio
import contextlib

import msgspec


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """A request read by a stand-in; header names are in lower case."""

    method: str
    url: str
    headers: dict[str, str]
    body: bytes


class Answer(msgspec.Struct, kw_only=True):
    """An answer read by a test client.

    Attributes:
        status: HTTP status, 0 if the connection ended before it.
        headers: Headers, with names in lower case.
        body: Received part of the body.
        is_whole: Whether the body was received completely.
    """

    status: int = 0
    headers: dict[str, str] = {}
    body: bytes = b""
    is_whole: bool = False


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads a whole request; None at the end of the connection."""
    head = await _read_head(reader)
    if head is None:
        return None
    start, headers = head
    method, url, _ = start.split(" ")
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method=method, url=url, headers=headers, body=body)


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    start, *lines = raw.decode("latin-1").rstrip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return start, headers


def encode_head(status: int, headers: dict[str, str]) -> bytes:
    """Encodes the status line and the headers."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def write_answer(
    writer: asyncio.StreamWriter,
    status: int,
    headers: dict[str, str],
    body: bytes,
) -> None:
    """Writes an answer with a content length."""
    framed = {**headers, "Content-Length": str(len(body))}
    writer.write(encode_head(status, framed) + body)


def write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Writes a chunk of a body; an empty one ends the body."""
    writer.write(b"%x\r\n%s\r\n" % (len(data), data))


class Client:
    """Connection of a test client."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(cls, address: str) -> "Client":
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def write(self, data: bytes) -> None:
        """Writes raw bytes."""
        self._writer.write(data)

    def send(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b"",
    ) -> None:
        """Writes a request."""
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        self._writer.write(head.encode("latin-1") + body)

    async def read(self, timeout_s: float = 10.0) -> Answer:
        """Reads one answer, or the part of it that arrives."""
        answer = Answer()
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            async with asyncio.timeout(timeout_s):
                await self._read_into(answer)
        return answer

    async def read_event(self, timeout_s: float = 10.0) -> bytes:
        """Reads one chunk of a stream after its head."""
        async with asyncio.timeout(timeout_s):
            return await self._read_chunk()

    async def read_head(self, timeout_s: float = 10.0) -> Answer:
        """Reads the head of an answer."""
        answer = Answer()
        async with asyncio.timeout(timeout_s):
            await self._read_head_into(answer)
        return answer

    async def is_closed(self, timeout_s: float = 5.0) -> bool:
        """Returns whether the server closes the connection in time."""
        with contextlib.suppress(TimeoutError, OSError):
            async with asyncio.timeout(timeout_s):
                return await self._reader.read(1) == b""
        return False

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()

    async def _read_head_into(self, answer: Answer) -> None:
        head = await _read_head(self._reader)
        if head is None:
            raise asyncio.IncompleteReadError(b"", None)
        answer.status = int(head[0].split(" ")[1])
        answer.headers = head[1]

    async def _read_into(self, answer: Answer) -> None:
        await self._read_head_into(answer)
        if answer.headers.get("transfer-encoding") == "chunked":
            while chunk := await self._read_chunk():
                answer.body += chunk
        else:
            length = int(answer.headers.get("content-length", "0"))
            answer.body = await self._reader.readexactly(length)
        answer.is_whole = True

    async def _read_chunk(self) -> bytes:
        size = int(await self._reader.readuntil(b"\r\n"), 16)
        data = await self._reader.readexactly(size + 2)
        return data[:-2]
