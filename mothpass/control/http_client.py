"""Minimal HTTP client that separates unsent requests from lost responses.

It uses httptools over asyncio streams. blacksheep's client isn't used because
it resends a request when a connection closes, which a tool that reports the
outcome of a change or a payment must not do.
"""

import asyncio
from collections import abc
import typing

import httptools
import msgspec

from mothpass.core import errors

_READ_SIZE_BYTES = 65_536
_MS_PER_S = 1000.0
_MAX_RESPONSE_BYTES = 64 << 20


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """One HTTP request.

    Attributes:
        method: HTTP method.
        path: Percent-encoded path and query.
        headers: Headers other than Host and Content-Length.
        body: Body, possibly empty.
    """

    method: str
    path: str
    headers: dict[str, str] = {}
    body: bytes = b""


class Response(msgspec.Struct, frozen=True, kw_only=True):
    """Complete HTTP response.

    Attributes:
        status: HTTP status.
        headers: Headers, names in lower case.
        body: Complete body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class Connection:
    """Open connection that carries one request at a time.

    Attributes:
        address: ``ip:port`` of the server.
        used: Whether a request was sent over it.
    """

    __slots__ = (
        "_chunks",
        "_complete",
        "_head_complete",
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
        """Wraps the streams of an open connection to an address."""
        self.address = address
        self.used = False
        self._reader = reader
        self._writer = writer
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._chunks: list[bytes] = []
        self._head_complete = False
        self._complete = False
        self._keep_alive = False

    async def send(self, request: Request) -> None:
        """Sends a request.

        Raises:
            errors.TargetAnswerLostError: If the connection broke.
        """
        self._parser = httptools.HttpResponseParser(self)
        self._headers = {}
        self._chunks = []
        self._head_complete = False
        self._complete = False
        self.used = True
        self._writer.write(_encode_request(request, self.address))
        try:
            await self._writer.drain()
        except OSError as error:
            raise errors.TargetAnswerLostError(str(error)) from error

    async def read_status(self) -> int:
        """Waits for the response head and returns the status.

        Raises:
            errors.TargetAnswerLostError: If the connection broke.
        """
        while not self._head_complete:
            await self._read_more()
        return int(self._parser.get_status_code())

    async def read_chunks(self) -> abc.AsyncIterator[bytes]:
        """Yields the body chunk by chunk until it is complete.

        Raises:
            errors.TargetAnswerLostError: If the connection broke too early.
        """
        while True:
            while self._chunks:
                yield self._chunks.pop(0)
            if self._complete:
                return
            await self._read_more()

    @property
    def headers(self) -> dict[str, str]:
        """Response headers, names in lower case."""
        return self._headers

    @property
    def reusable(self) -> bool:
        """Whether the connection can carry another request."""
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
        """Adds a header of the response."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Marks the response head as complete."""
        self._head_complete = True

    def on_body(self, body: bytes) -> None:
        """Buffers a body chunk."""
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Marks the response as complete."""
        self._complete = True
        # The parser drops the headers that decide this once the message ends.
        self._keep_alive = self._parser.should_keep_alive()

    async def _read_more(self) -> None:
        try:
            data = await self._reader.read(_READ_SIZE_BYTES)
            if not data:
                raise errors.TargetAnswerLostError("connection closed")
            self._parser.feed_data(data)
        except (OSError, httptools.HttpParserError) as error:
            raise errors.TargetAnswerLostError(str(error)) from error


async def connect(address: str) -> Connection:
    """Opens a connection.

    Args:
        address: ``ip:port``.

    Raises:
        errors.TargetUnreachableError: If the connection was refused or failed.
    """
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError as error:
        raise errors.TargetUnreachableError(str(error)) from error
    return Connection(address=address, reader=reader, writer=writer)


async def fetch(address: str, request: Request, *, timeout_ms: int) -> Response:
    """Sends one request over a new connection.

    Args:
        address: ``ip:port``.
        request: Request to send.
        timeout_ms: Timeout for connecting, and again for the response.

    Returns:
        The complete response, whatever its status.

    Raises:
        errors.TargetUnreachableError: If no byte was sent.
        errors.TargetAnswerLostError: If the request was sent, but no complete
            response arrived in time.
    """
    try:
        async with asyncio.timeout(timeout_ms / _MS_PER_S):
            connection = await connect(address)
    except TimeoutError as error:
        raise errors.TargetUnreachableError("connection timed out") from error
    try:
        async with asyncio.timeout(timeout_ms / _MS_PER_S):
            return await _read_response(connection, request)
    except TimeoutError as error:
        raise errors.TargetAnswerLostError("response timed out") from error
    finally:
        connection.close()


async def _read_response(connection: Connection, request: Request) -> Response:
    await connection.send(request)
    status = await connection.read_status()
    body = bytearray()
    async for chunk in connection.read_chunks():
        body += chunk
        if len(body) > _MAX_RESPONSE_BYTES:
            raise errors.TargetAnswerLostError("response too large")
    return Response(status=status, headers=connection.headers, body=bytes(body))


def decode_body(response: Response, body_type: type[typing.Any]) -> typing.Any:
    """Decodes a JSON body as a type.

    Raises:
        errors.TargetAnswerLostError: If the body isn't JSON of that type.
    """
    try:
        return msgspec.json.decode(response.body, type=body_type)
    except msgspec.DecodeError as error:
        raise errors.TargetAnswerLostError(
            f"malformed response: {error}"
        ) from error


def _encode_request(request: Request, address: str) -> bytes:
    lines = [f"{request.method} {request.path} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in request.headers.items()]
    lines.append(f"Content-Length: {len(request.body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + request.body
