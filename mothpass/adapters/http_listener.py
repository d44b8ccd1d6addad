"""Listens for HTTP requests with bounds on headers and connections.

uvicorn parses and blacksheep routes. uvicorn's own server class isn't used,
since it decides by itself how to shut down.
"""

import asyncio
from collections import abc
import contextlib
import http
import typing

import uvicorn
from uvicorn import server as uvicorn_server
from uvicorn.protocols.http import httptools_impl

from mothpass.adapters import http_guard
from mothpass.core import errors
from mothpass.core import results

HEADER_TIMEOUT_MS = 10_000
# Time that a client may leave an answer unread while more of it waits.
UNREAD_TIMEOUT_MS = 30_000
# Rest of a body that is taken, unused, after its request was refused, so that
# a client that is still sending gets to read the refusal.
DISCARD_LIMIT_BYTES = 16_777_216
KEEP_ALIVE_S = 5
# Encodes a refusal as the body of an answer.
EncodeRefusal = abc.Callable[[errors.Refusal], bytes]


class Bounds:
    """What a listener accepts.

    Attributes:
        header_limit_bytes: Larger sets of headers get 431.
        connections: Connections open at once; further ones get 503.
        encode_refusal: Encodes the body of such an answer.
        closed: Set when the last connection has been closed.
    """

    __slots__ = (
        "closed",
        "connections",
        "encode_refusal",
        "header_limit_bytes",
    )

    def __init__(
        self,
        *,
        header_limit_bytes: int,
        connections: int,
        encode_refusal: EncodeRefusal,
    ) -> None:
        """Keeps the bounds."""
        self.header_limit_bytes = header_limit_bytes
        self.connections = connections
        self.encode_refusal = encode_refusal
        self.closed = asyncio.Event()


class BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """One client connection of a listener."""

    def __init__(
        self,
        *,
        config: uvicorn.Config,
        state: uvicorn_server.ServerState,
        bounds: Bounds,
    ) -> None:
        """Starts a connection of a listener."""
        super().__init__(config, state, {})
        self._bounds = bounds
        self._discarded_bytes = 0
        self._header_bytes = 0
        self._in_headers = True
        self._refused = False
        self._header_timer: asyncio.TimerHandle | None = None
        self._unread_timer: asyncio.TimerHandle | None = None
        self._callers: list[http_guard.Caller] = []

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Takes the connection, or refuses it where there are too many."""
        super().connection_made(transport)
        self._start_header_timer()
        if len(self.connections) > self._bounds.connections:
            self._refuse(results.Code.OVERLOADED, "too many connections", 1000)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the requests of this connection."""
        self._stop_header_timer()
        self._stop_unread_timer()
        super().connection_lost(exc)
        if not self.connections:
            self._bounds.closed.set()
        for caller in self._callers:
            caller.leave()
        self._callers.clear()

    def eof_received(self) -> bool:  # type: ignore[override]
        """Keeps the connection half open if a body was cut, to say so."""
        cycle = self.cycle
        if self._refused or cycle is None or not cycle.more_body:
            return False
        if cycle.response_complete or not self._callers:
            return False
        self._callers[-1].body_cut = True
        cycle.more_body = False
        cycle.keep_alive = False
        cycle.message_event.set()
        return True

    def data_received(self, data: bytes) -> None:
        """Parses what arrived, unless the headers grow too large."""
        if self._refused:
            return
        if self._in_headers:
            self._header_bytes += len(data)
        super().data_received(data)
        limit = self._bounds.header_limit_bytes
        if self._in_headers and self._header_bytes > limit:
            self._refuse_headers()

    def on_message_begin(self) -> None:
        """Starts a request."""
        super().on_message_begin()
        self._in_headers = True
        if self._header_timer is None:
            self._start_header_timer()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header; those that follow a body are of no use."""
        if self._in_headers:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Starts the application, unless the headers are too large."""
        self._in_headers = False
        self._header_bytes = 0
        self._stop_header_timer()
        size = len(self.url)
        size += sum(len(name) + len(value) for name, value in self.headers)
        if size > self._bounds.header_limit_bytes:
            self._refuse_headers()
            return
        caller = http_guard.Caller()
        self._callers.append(caller)
        scope = typing.cast(dict[str, object], self.scope)
        scope[http_guard.CALLER] = caller
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Takes a part of a body, for some time also of a refused one."""
        if self._refused:
            return
        if self.cycle.response_complete:
            self._discarded_bytes += len(body)
            if self._discarded_bytes > DISCARD_LIMIT_BYTES:
                self.transport.abort()
            return
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Takes the end of a request."""
        if not self._refused:
            super().on_message_complete()
        self._in_headers = True
        self._header_bytes = 0

    def on_response_complete(self) -> None:
        """Forgets the request that has been answered."""
        if self._callers:
            self._callers.pop(0)
        super().on_response_complete()

    def pause_writing(self) -> None:
        """Gives a client that doesn't read its answer a limited time."""
        super().pause_writing()
        self._unread_timer = self.loop.call_later(
            UNREAD_TIMEOUT_MS / 1000, self.transport.abort
        )

    def resume_writing(self) -> None:
        """Goes on, since the client reads again."""
        self._stop_unread_timer()
        super().resume_writing()

    def _stop_unread_timer(self) -> None:
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None

    def _start_header_timer(self) -> None:
        self._header_timer = self.loop.call_later(
            HEADER_TIMEOUT_MS / 1000, self._close_slow_client
        )

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _close_slow_client(self) -> None:
        """Closes a connection whose headers don't come."""
        self.transport.close()

    def _refuse_headers(self) -> None:
        self._refuse(results.Code.HEADERS_TOO_LARGE, "headers too large", None)

    def _refuse(
        self, code: results.Code, message: str, retry_after_ms: int | None
    ) -> None:
        """Answers without the application and closes."""
        if self._refused:
            return
        self._refused = True
        # The request isn't read, so that it may be one that ran before.
        refusal = errors.Refusal(
            code=code,
            ran=results.Ran.UNKNOWN,
            message=message,
            retry_after_ms=retry_after_ms,
        )
        self.transport.write(_encode_answer(refusal, self._bounds))
        self.transport.close()


class Listener:
    """An open listener and its connections."""

    __slots__ = ("_bounds", "_server", "_state")

    def __init__(
        self,
        *,
        server: asyncio.AbstractServer,
        state: uvicorn_server.ServerState,
        bounds: Bounds,
    ) -> None:
        """Keeps a server that is listening."""
        self._bounds = bounds
        self._server = server
        self._state = state

    @property
    def port(self) -> int:
        """Port that is listened at."""
        server = typing.cast(asyncio.Server, self._server)
        return int(server.sockets[0].getsockname()[1])

    def stop_accepting(self) -> None:
        """Closes the listening socket and the idle connections.

        Connections with a running request close once it is answered.
        """
        self._server.close()
        for connection in list(self._state.connections):
            connection.shutdown()

    async def drain(self, deadline: float) -> int:
        """Waits until all requests are answered and all answers are sent.

        Args:
            deadline: Time of the loop at which to stop waiting.

        Returns:
            Connections that are left.
        """
        self._bounds.closed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(deadline):
                while self._state.connections:
                    await self._bounds.closed.wait()
                    self._bounds.closed.clear()
        return len(self._state.connections)

    def abort(self) -> None:
        """Closes all connections at once."""
        for connection in list(self._state.connections):
            connection.transport.abort()


async def open_listener(
    application: typing.Any, address: str, bounds: Bounds
) -> Listener:
    """Starts to listen.

    Args:
        application: ASGI application, already started.
        address: ``ip:port``; port 0 takes a free one.
        bounds: What is accepted.

    Raises:
        OSError: If the address can't be listened at.
    """
    config = uvicorn.Config(
        application,
        http=httptools_impl.HttpToolsProtocol,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        proxy_headers=False,
        server_header=False,
        date_header=False,
        timeout_keep_alive=KEEP_ALIVE_S,
    )
    config.load()
    state = uvicorn_server.ServerState()
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: BoundedProtocol(config=config, state=state, bounds=bounds),
        host,
        int(port),
        backlog=2048,
        reuse_address=True,
    )
    return Listener(server=server, state=state, bounds=bounds)


def _encode_answer(refusal: errors.Refusal, bounds: Bounds) -> bytes:
    status = results.get_http_status(refusal.code)
    body = bounds.encode_refusal(refusal)
    lines = [
        f"HTTP/1.1 {status} {http.HTTPStatus(status).phrase}",
        "content-type: application/json",
        f"content-length: {len(body)}",
        "connection: close",
    ]
    if refusal.retry_after_ms is not None:
        lines.append(f"retry-after: {-(-refusal.retry_after_ms // 1000)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
