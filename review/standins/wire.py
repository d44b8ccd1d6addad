"""Reads and writes HTTP/1.1 for the stand-ins."""

import asyncio
import dataclasses


@dataclasses.dataclass(slots=True)
class Message:
    """A request or an answer.

    Attributes:
        start: The first line.
        headers: Headers, names in lower case.
        body: The body, as far as it was read.
    """

    start: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(" ")[0]

    @property
    def url(self) -> str:
        """Path and query of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Reads a first line and headers.

    Raises:
        asyncio.IncompleteReadError: If the connection ends before them.
    """
    raw = await reader.readuntil(b"\r\n\r\n")
    start, *lines = raw.decode("latin-1").rstrip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(start=start, headers=headers)


async def read_request(reader: asyncio.StreamReader) -> Message:
    """Reads a request with its body."""
    message = await read_head(reader)
    length = int(message.headers.get("content-length", "0"))
    message.body = await reader.readexactly(length)
    return message


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encodes a message whose headers state its framing."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Encodes an answer with its length."""
    framed = {**headers, "Content-Length": str(len(body))}
    return encode(f"HTTP/1.1 {status} X", framed, body)


def encode_chunk(data: bytes) -> bytes:
    """Encodes a chunk of a body; an empty one ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Reads a chunk of a body; an empty one ends the body."""
    size = int(await reader.readuntil(b"\r\n"), 16)
    return (await reader.readexactly(size + 2))[:-2]
