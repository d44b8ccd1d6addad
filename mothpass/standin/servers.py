"""Serves a stand-in over HTTP until SIGTERM or SIGINT."""

import asyncio
from collections import abc
import json
import signal
import socket
import typing

import blacksheep
import msgspec
import uvicorn

from mothpass.standin import connections
from mothpass.standin import faults

Scope = dict[str, typing.Any]
AsgiMessage = dict[str, typing.Any]
Receive = abc.Callable[[], abc.Awaitable[AsgiMessage]]
Send = abc.Callable[[AsgiMessage], abc.Awaitable[None]]
AsgiApp = abc.Callable[[Scope, Receive, Send], abc.Awaitable[None]]

CONNECTION_KEY = "mothpass.connection"
_BACKLOG = 2048
_KEEP_ALIVE_TIMEOUT_S = 300
_MS_PER_S = 1000
# Reads of a stand-in's own state, which run no request.
_STATE_PATHS = frozenset(
    ("/v1/cache-events", "/v1/ledger", "/v1/load", "/v1/stats")
)
_UNAVAILABLE_BODY = b'{"ran": "no", "message": "down"}'


class Hooks(msgspec.Struct, frozen=True, kw_only=True):
    """Callbacks at the start and the end of serving.

    Attributes:
        start: Called with ``ip:port`` once the server listens.
        stop: Called after SIGTERM or SIGINT, before the server stops.
    """

    start: abc.Callable[[str], abc.Awaitable[None]] | None = None
    stop: abc.Callable[[], abc.Awaitable[None]] | None = None


class _Server(uvicorn.Server):
    """Uvicorn server that signals when it listens."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.listening = asyncio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        await super().startup(sockets)
        self.listening.set()


def get_connection(request: blacksheep.Request) -> connections.Connection:
    """Returns the connection of a request."""
    scope = typing.cast(Scope, request.scope)
    found: connections.Connection = scope[CONNECTION_KEY]
    return found


async def serve(
    app: blacksheep.Application,
    address: str,
    state: faults.FaultState,
    hooks: Hooks | None = None,
) -> None:
    """Serves an application until SIGTERM or SIGINT.

    Prints a line of JSON with the address once requests are accepted.

    Args:
        app: Application with its own routes.
        address: ``ip:port`` to listen on; port 0 selects a free port.
        state: Faults to inject.
        hooks: Callbacks at the start and the end.
    """
    hooks = hooks or Hooks()
    faults.add_fault_routes(app, state)
    await app.start()  # type: ignore[no-untyped-call]
    listener = _open_listener(address)
    host, port = listener.getsockname()[:2]
    server = _Server(_build_config(app, state))
    stopping = asyncio.Event()
    serving = asyncio.create_task(server.serve([listener]))
    await server.listening.wait()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    if hooks.start is not None:
        await hooks.start(f"{host}:{port}")
    print(json.dumps({"ready": f"{host}:{port}"}), flush=True)
    await stopping.wait()
    if hooks.stop is not None:
        await hooks.stop()
    server.should_exit = True
    server.force_exit = True
    state.connections.abort()
    await serving


def _open_listener(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.setblocking(False)
    return listener


def _build_config(
    app: blacksheep.Application, state: faults.FaultState
) -> uvicorn.Config:
    def build_protocol(**kwargs: typing.Any) -> asyncio.Protocol:
        return connections.TrackedProtocol(
            connection_table=state.connections, **kwargs
        )

    return uvicorn.Config(
        wrap_with_faults(typing.cast(AsgiApp, app), state),
        http=typing.cast(typing.Any, build_protocol),
        lifespan="off",
        log_config=None,
        access_log=False,
        backlog=_BACKLOG,
        timeout_keep_alive=_KEEP_ALIVE_TIMEOUT_S,
    )


def wrap_with_faults(app: AsgiApp, state: faults.FaultState) -> AsgiApp:
    """Wraps an application to inject the faults common to all stand-ins."""

    async def run(scope: Scope, receive: Receive, send: Send) -> None:
        connection = state.connections.get(scope["client"])
        if connection is None:
            return
        scope[CONNECTION_KEY] = connection
        if scope["path"] == "/faults":
            await app(scope, receive, send)
            return
        if state.is_restarting():
            connection.transport.abort()
            return
        await _wait_if_silent(connection)
        await state.wait_while_paused()
        if state.faults.down:
            await _send_unavailable(send)
            return
        await asyncio.sleep(state.faults.slow_ms / _MS_PER_S)
        send_with_faults = _wrap_send(
            send,
            connection,
            state,
            runs_request=scope["path"] not in _STATE_PATHS,
        )
        await app(scope, receive, send_with_faults)

    return run


def _wrap_send(
    send: Send,
    connection: connections.Connection,
    state: faults.FaultState,
    *,
    runs_request: bool,
) -> Send:
    """Wraps a send function to hold, delay or drop what a response sends."""
    started = False
    is_answer_lost = False

    async def send_with_faults(message: AsgiMessage) -> None:
        nonlocal started, is_answer_lost
        if not started:
            started = True
            is_answer_lost = runs_request and state.take_lost_answer()
            await asyncio.sleep(state.faults.late_ms / _MS_PER_S)
        if is_answer_lost:
            connection.transport.abort()
            return
        await state.wait_while_paused()
        await _wait_if_silent(connection)
        await send(message)

    return send_with_faults


async def _wait_if_silent(connection: connections.Connection) -> None:
    """Waits until the connection is closed, if it is silent."""
    if connection.silent:
        await connection.closed.wait()


async def _send_unavailable(send: Send) -> None:
    headers = [(b"content-type", b"application/json")]
    await send(
        {"type": "http.response.start", "status": 503, "headers": headers}
    )
    await send({"type": "http.response.body", "body": _UNAVAILABLE_BODY})
