"""HTTP client for one of the platform's services.

Connections are kept alive and reused. When one fails or goes silent, it is
closed together with all idle ones, because the cause has likely affected those
as well.
"""

import asyncio
from collections import abc
import time
import typing
import urllib.parse

import blacksheep
from blacksheep.client import connection as client_connection
import msgspec

from mothpass.adapters import body_deadlines
from mothpass.adapters import held_bytes
from mothpass.core import decoding
from mothpass.core import errors

T = typing.TypeVar("T")

_OK = 200
_MAX_IDLE_CONNECTIONS = 8
_IDLE_TIMEOUT_S = 30.0
_CONNECT_TIMEOUT_SHARE = 0.5
_STATUSES_WITHOUT_EFFECT = (429, 503)
_MIN_SERVER_ERROR = 500
# The largest object is a snapshot of the catalogue.
MAX_BODY_BYTES = 33_554_432
# Of answers that are being read, all together; the largest one gives way.
MAX_HELD_BYTES = 50_331_648
# What answers a write names one row at most.
MAX_WRITE_ANSWER_BYTES = 65_536


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """Response of the service.

    Attributes:
        status: HTTP status, below 500.
        body: Complete body.
    """

    status: int
    body: bytes


class PlatformClient:
    """Client of one service with a pool of keep-alive connections.

    Attributes:
        idle_timeout: Seconds that an idle connection is kept.
        timeout_s: Seconds without a byte after which a response counts as
            lost.
    """

    __slots__ = (
        "__weakref__",
        "_base",
        "_held",
        "_host",
        "_idle",
        "_port",
        "idle_timeout",
        "timeout_s",
    )

    def __init__(self, *, url: str, timeout_s: float) -> None:
        """Initializes the client without connecting.

        Args:
            url: Base URL, such as ``http://127.0.0.1:80``.
            timeout_s: Seconds without a byte after which a response counts
                as lost.
        """
        parts = urllib.parse.urlsplit(url)
        self._host = parts.hostname or ""
        self._port = parts.port or 80
        self._base = f"http://{self._host}:{self._port}"
        self._held = held_bytes.HeldBytes(limit_bytes=MAX_HELD_BYTES)
        self._idle: list[client_connection.HTTP11Connection] = []
        self.idle_timeout = _IDLE_TIMEOUT_S
        self.timeout_s = timeout_s

    async def write(
        self, method: str, path: str, body: bytes | None = None
    ) -> Reply:
        """Sends a request that may have an effect, without retries.

        Args:
            method: HTTP method.
            path: Path, with keys percent-encoded.
            body: JSON body, or None.

        Returns:
            The response, with any status below 500 except 429.

        Raises:
            errors.StoreUnavailableError: If the request had no effect.
            errors.StoreUnconfirmedError: If the request may have had an effect.
        """
        started = time.monotonic()
        connection = self._acquire_idle() or await self._connect()
        remaining_s = self.timeout_s - (time.monotonic() - started)
        request = self._build_request(method, path, body)
        try:
            async with asyncio.timeout(remaining_s) as timeout:
                response = await connection.send(request)
                if method == "GET":
                    # Its body may be large, and the link slow.
                    timeout.reschedule(None)
                content = await self._read_body(
                    response,
                    MAX_BODY_BYTES
                    if method == "GET"
                    else MAX_WRITE_ANSWER_BYTES,
                )
        except asyncio.CancelledError:
            _close(connection)
            raise
        except Exception as error:
            _close(connection)
            self.close()
            raise errors.StoreUnconfirmedError(
                f"{self._base}: response lost: {error!r}"
            ) from error
        return self._check_status(Reply(status=response.status, body=content))

    async def read(self, path: str) -> Reply:
        """Sends a GET request; retries once if its connection may be stale.

        Args:
            path: Path, with keys percent-encoded.

        Returns:
            The response, with any status below 500 except 429.

        Raises:
            errors.StoreUnavailableError: If there is no response.
        """
        had_idle = bool(self._idle)
        started = time.monotonic()
        try:
            return await self.write("GET", path)
        except errors.StoreUnconfirmedError as error:
            # The first failure closed all idle connections, so the retry
            # opens a new one.
            is_timed_out = time.monotonic() - started >= self.timeout_s
            if not had_idle or is_timed_out:
                raise errors.StoreUnavailableError(str(error)) from error
        try:
            return await self.write("GET", path)
        except errors.StoreUnconfirmedError as error:
            raise errors.StoreUnavailableError(str(error)) from error

    async def _read_body(
        self, response: blacksheep.Response, limit_bytes: int
    ) -> bytes:
        """Reads a body while it keeps arriving.

        Raises:
            TimeoutError: If it stalls or trickles.
            ValueError: If it is larger than the limit, or is given up for
                want of memory.
        """
        holding = self._held.open_holding(lambda: None)
        body = bytearray()
        try:
            await self._fill_body(body, response, limit_bytes, holding)
            return bytes(body)
        finally:
            # The traceback of a failure keeps the object.
            body.clear()
            holding.release()

    async def _fill_body(
        self,
        body: bytearray,
        response: blacksheep.Response,
        limit_bytes: int,
        holding: held_bytes.Holding,
    ) -> None:
        """Adds what arrives to a body; see ``_read_body``."""
        loop = asyncio.get_running_loop()
        deadline = body_deadlines.BodyDeadline(now=loop.time())
        # The library annotates its generator as a coroutine.
        chunks = typing.cast(abc.AsyncIterator[bytes], response.stream())
        while True:
            until = min(deadline.at, loop.time() + self.timeout_s)
            try:
                async with asyncio.timeout_at(until):
                    chunk = await anext(chunks)
            except StopAsyncIteration:
                return
            body += chunk
            holding.grow(len(chunk))
            if len(body) > limit_bytes:
                raise ValueError(f"body of over {limit_bytes} bytes")
            if holding.size != len(body):
                raise ValueError("too much memory is held for answers")
            deadline.record_progress(len(body), loop.time())

    def close(self) -> None:
        """Closes all idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            _close(connection)

    def try_return_connection(
        self, connection: client_connection.HTTP11Connection
    ) -> None:
        """Returns a connection to the pool after a complete response."""
        if len(self._idle) < _MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            _close(connection)

    def _acquire_idle(self) -> client_connection.HTTP11Connection | None:
        while self._idle:
            connection = self._idle.pop()
            at_eof = connection.reader is None or connection.reader.at_eof()
            if connection.is_alive() and not at_eof:
                return connection
            _close(connection)
        return None

    async def _connect(self) -> client_connection.HTTP11Connection:
        connection = client_connection.HTTP11Connection(
            self, self._host, self._port, use_ssl=False
        )
        try:
            async with asyncio.timeout(self.timeout_s * _CONNECT_TIMEOUT_SHARE):
                await connection.connect()
        except OSError as error:
            raise errors.StoreUnavailableError(
                f"{self._base}: connection failed: {error!r}"
            ) from error
        return connection

    def _build_request(
        self, method: str, path: str, body: bytes | None
    ) -> blacksheep.Request:
        content = None
        if body is not None:
            content = blacksheep.Content(b"application/json", body)
        request = blacksheep.Request(
            method, f"{self._base}{path}".encode(), None
        )
        return request if content is None else request.with_content(content)

    def _check_status(self, reply: Reply) -> Reply:
        if reply.status in _STATUSES_WITHOUT_EFFECT:
            raise errors.StoreUnavailableError(
                f"{self._base}: rejected with HTTP status {reply.status}"
            )
        if reply.status >= _MIN_SERVER_ERROR:
            raise errors.StoreUnconfirmedError(
                f"{self._base}: failed with HTTP status {reply.status}"
            )
        return reply


def _close(connection: client_connection.HTTP11Connection) -> None:
    """Closes a connection without waiting for the peer."""
    if connection.writer is not None:
        connection.writer.close()


def quote(name: str) -> str:
    """Percent-encodes a key or name as a path segment."""
    return urllib.parse.quote(name, safe="")


def decode_read(reply: Reply, body_type: type[T]) -> T:
    """Returns the decoded body of a response to a read.

    Raises:
        errors.StoreUnavailableError: If the status isn't 200 or the body
            doesn't match the type.
    """
    if reply.status != _OK:
        raise errors.StoreUnavailableError(
            f"read failed with HTTP status {reply.status}"
        )
    try:
        return decoding.decode_json(reply.body, body_type)
    except msgspec.DecodeError as error:
        raise errors.StoreUnavailableError(
            f"malformed response: {error}"
        ) from error
