"""Exchanges HTTP calls with one of the platform's services.

Connections are kept alive and used again. One that failed or went silent is
closed and never used again, and with it all that were idle, because whatever
lost track of one has likely lost track of the others.
"""

import asyncio
import time
import typing
import urllib.parse

import blacksheep
from blacksheep.client import connection as client_connection
import msgspec

from mothpass.core import errors

T = typing.TypeVar("T")

_OK = 200
_IDLE_LIMIT = 8
_IDLE_S = 30.0
_CONNECT_SHARE = 0.5
_NO_EFFECT = (429, 503)
_SERVER_ERROR = 500


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """An answer of the service.

    Attributes:
        status: HTTP status, below 500.
        body: The body, whole.
    """

    status: int
    body: bytes


class Exchange:
    """Connections to one service.

    Attributes:
        idle_timeout: Seconds that an idle connection is kept.
        timeout_s: Seconds after which an answer counts as lost.
    """

    __slots__ = (
        "__weakref__",
        "_base",
        "_host",
        "_idle",
        "_port",
        "idle_timeout",
        "timeout_s",
    )

    def __init__(self, *, url: str, timeout_s: float) -> None:
        """Opens nothing yet.

        Args:
            url: Base URL, as ``http://127.0.0.1:80``.
            timeout_s: Seconds after which an answer counts as lost.
        """
        parts = urllib.parse.urlsplit(url)
        self._host = parts.hostname or ""
        self._port = parts.port or 80
        self._base = f"http://{self._host}:{self._port}"
        self._idle: list[client_connection.HTTP11Connection] = []
        self.idle_timeout = _IDLE_S
        self.timeout_s = timeout_s

    async def write(
        self, method: str, path: str, body: bytes | None = None
    ) -> Reply:
        """Makes a call that may have an effect, once.

        Args:
            method: HTTP method.
            path: Path, with keys percent-encoded.
            body: JSON, or None for none.

        Returns:
            The answer, of any status below 500 but 429.

        Raises:
            errors.StoreUnavailableError: It had no effect.
            errors.StoreUnconfirmedError: It may have had one.
        """
        started = time.monotonic()
        connection = self._take_idle() or await self._connect()
        left_s = self.timeout_s - (time.monotonic() - started)
        request = self._build_request(method, path, body)
        try:
            async with asyncio.timeout(left_s):
                response = await connection.send(request)
                content = await response.read() or b""
        except asyncio.CancelledError:
            _close(connection)
            raise
        except Exception as error:
            _close(connection)
            self.close()
            raise errors.StoreUnconfirmedError(
                f"{self._base}: answer lost: {error!r}"
            ) from error
        return self._check(Reply(status=response.status, body=content))

    async def read(self, path: str) -> Reply:
        """Makes a call without effect, again where its connection was stale.

        Args:
            path: Path, with keys percent-encoded.

        Returns:
            The answer, of any status below 500 but 429.

        Raises:
            errors.StoreUnavailableError: There is no answer.
        """
        was_idle = bool(self._idle)
        started = time.monotonic()
        try:
            return await self.write("GET", path)
        except errors.StoreUnconfirmedError as error:
            # The first failure closed all idle connections, so that the
            # second try opens a new one.
            is_late = time.monotonic() - started >= self.timeout_s
            if not was_idle or is_late:
                raise errors.StoreUnavailableError(str(error)) from error
        try:
            return await self.write("GET", path)
        except errors.StoreUnconfirmedError as error:
            raise errors.StoreUnavailableError(str(error)) from error

    def close(self) -> None:
        """Closes all idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            _close(connection)

    def try_return_connection(
        self, connection: client_connection.HTTP11Connection
    ) -> None:
        """Takes back a connection whose answer was read whole."""
        if len(self._idle) < _IDLE_LIMIT:
            self._idle.append(connection)
        else:
            _close(connection)

    def _take_idle(self) -> client_connection.HTTP11Connection | None:
        while self._idle:
            connection = self._idle.pop()
            ended = connection.reader is None or connection.reader.at_eof()
            if connection.is_alive() and not ended:
                return connection
            _close(connection)
        return None

    async def _connect(self) -> client_connection.HTTP11Connection:
        connection = client_connection.HTTP11Connection(
            self, self._host, self._port, use_ssl=False
        )
        try:
            async with asyncio.timeout(self.timeout_s * _CONNECT_SHARE):
                await connection.connect()
        except OSError as error:
            raise errors.StoreUnavailableError(
                f"{self._base}: no connection: {error!r}"
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

    def _check(self, reply: Reply) -> Reply:
        if reply.status in _NO_EFFECT:
            raise errors.StoreUnavailableError(
                f"{self._base}: refused with {reply.status}"
            )
        if reply.status >= _SERVER_ERROR:
            raise errors.StoreUnconfirmedError(
                f"{self._base}: failed with {reply.status}"
            )
        return reply


def _close(connection: client_connection.HTTP11Connection) -> None:
    """Closes a connection without waiting for its other end."""
    if connection.writer is not None:
        connection.writer.close()


def quote(name: str) -> str:
    """Percent-encodes a key or name as one part of a path."""
    return urllib.parse.quote(name, safe="")


def decode_read(reply: Reply, kind: type[T]) -> T:
    """Returns the typed body of an answer to a read.

    Raises:
        errors.StoreUnavailableError: It isn't a 200 with such a body.
    """
    if reply.status != _OK:
        raise errors.StoreUnavailableError(f"read refused: {reply.status}")
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except msgspec.DecodeError as error:
        raise errors.StoreUnavailableError(f"not readable: {error}") from error
