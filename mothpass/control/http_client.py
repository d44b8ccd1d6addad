"""A small HTTP client for the tools, which tells lost answers from unsent ones.

httptools parses; asyncio streams carry the bytes. blacksheep's client was
ruled out because it sends a request again by itself when a connection closes,
which a tool that reports the fate of a change or a payment must not do.
"""

import asyncio
from collections import abc
import typing

import httptools
import msgspec

from mothpass.core import errors

_READ_BYTES = 65_536
_MS_PER_S = 1000.0
_ANSWER_LIMIT_BYTES = 64 << 20


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """One HTTP request.

    Attributes:
        method: As in ``GET``.
        path: Path with its query, already percent-encoded.
        headers: Headers besides Host and Content-Length.
        body: Body, may be empty.
    """

    method: str
    path: str
    headers: dict[str, str] = {}
    body: bytes = b""


class Response(msgspec.Struct, frozen=True, kw_only=True):
    """One whole HTTP answer.

    Attributes:
        status: HTTP status.
        headers: Headers, names in lower case.
        body: The body, whole.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class Connection:
    """One open connection; a request at a time."""

    __slots__ = (
        "_chunks",
        "_complete",
        "_head_seen",
        "_headers",
        "_keep_alive",
        "_parser",
        "_reader",
        "_writer",
        "address",
        "used",
    )

    def __init__(
        self,
        *,
        address: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Wraps the two ends of an open connection to an address."""
        self.address = address
        self.used = False
        self._reader = reader
        self._writer = writer
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._chunks: list[bytes] = []
        self._head_seen = False
        self._complete = False
        self._keep_alive = False

    async def send(self, request: Request) -> None:
        """Sends a request.

        Raises:
            errors.TargetAnswerLostError: Where the connection broke.
        """
        self._parser = httptools.HttpResponseParser(self)
        self._headers = {}
        self._chunks = []
        self._head_seen = False
        self._complete = False
        self.used = True
        self._writer.write(_encode_request(request, self.address))
        try:
            await self._writer.drain()
        except OSError as error:
            raise errors.TargetAnswerLostError(str(error)) from error

    async def read_status(self) -> int:
        """Waits for the head of the answer and returns its status.

        Raises:
            errors.TargetAnswerLostError: Where the connection broke.
        """
        while not self._head_seen:
            await self._feed()
        return int(self._parser.get_status_code())

    async def read_chunks(self) -> abc.AsyncIterator[bytes]:
        """Yields the body as it arrives, until it is whole.

        Raises:
            errors.TargetAnswerLostError: Where it ended before it was whole.
        """
        while True:
            while self._chunks:
                yield self._chunks.pop(0)
            if self._complete:
                return
            await self._feed()

    @property
    def headers(self) -> dict[str, str]:
        """Headers of the answer, names in lower case."""
        return self._headers

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent over this connection."""
        return (
            self._complete
            and self._keep_alive
            and not self._reader.at_eof()
            and not self._writer.is_closing()
        )

    def close(self) -> None:
        """Closes the connection without waiting."""
        self._writer.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header from the parser."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Learns from the parser that the head is whole."""
        self._head_seen = True

    def on_body(self, body: bytes) -> None:
        """Takes a part of the body from the parser."""
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Learns from the parser that the answer is whole."""
        self._complete = True
        # The parser forgets the headers that tell once the answer is whole.
        self._keep_alive = self._parser.should_keep_alive()

    async def _feed(self) -> None:
        try:
            data = await self._reader.read(_READ_BYTES)
            if not data:
                raise errors.TargetAnswerLostError("connection was closed")
            self._parser.feed_data(data)
        except (OSError, httptools.HttpParserError) as error:
            raise errors.TargetAnswerLostError(str(error)) from error


async def connect(address: str) -> Connection:
    """Opens a connection.

    Args:
        address: ``ip:port``.

    Raises:
        errors.TargetUnreachableError: Where nobody listens there.
    """
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError as error:
        raise errors.TargetUnreachableError(str(error)) from error
    return Connection(address=address, reader=reader, writer=writer)


async def exchange(
    address: str, request: Request, *, timeout_ms: int
) -> Response:
    """Sends one request over a connection of its own.

    Args:
        address: ``ip:port``.
        request: What to send.
        timeout_ms: Time for the connection, and again for the answer.

    Returns:
        The whole answer, whatever its status.

    Raises:
        errors.TargetUnreachableError: Where no byte was sent.
        errors.TargetAnswerLostError: Where it was sent and no whole answer
            came in time.
    """
    try:
        async with asyncio.timeout(timeout_ms / _MS_PER_S):
            connection = await connect(address)
    except TimeoutError as error:
        raise errors.TargetUnreachableError("connection timed out") from error
    try:
        async with asyncio.timeout(timeout_ms / _MS_PER_S):
            return await _read_whole(connection, request)
    except TimeoutError as error:
        raise errors.TargetAnswerLostError("no answer in time") from error
    finally:
        connection.close()


async def _read_whole(connection: Connection, request: Request) -> Response:
    await connection.send(request)
    status = await connection.read_status()
    body = bytearray()
    async for chunk in connection.read_chunks():
        body += chunk
        if len(body) > _ANSWER_LIMIT_BYTES:
            raise errors.TargetAnswerLostError("the answer is too large")
    return Response(status=status, headers=connection.headers, body=bytes(body))


def decode_body(response: Response, kind: type[typing.Any]) -> typing.Any:
    """Decodes a JSON body into a type.

    Raises:
        errors.TargetAnswerLostError: Where it isn't JSON of that type.
    """
    try:
        return msgspec.json.decode(response.body, type=kind)
    except msgspec.DecodeError as error:
        raise errors.TargetAnswerLostError(
            f"answer can't be read: {error}"
        ) from error


def _encode_request(request: Request, address: str) -> bytes:
    lines = [f"{request.method} {request.path} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in request.headers.items()]
    lines.append(f"Content-Length: {len(request.body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + request.body
