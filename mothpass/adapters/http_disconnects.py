"""Cancels an ASGI request when its client disconnects."""

import asyncio
from collections import abc
import typing

import blacksheep

from mothpass.adapters import held_bytes

# Key in the ASGI scope that holds the ``RequestConnection``.
CONNECTION_KEY = "mothpass.caller"


class RequestConnection:
    """State of the client connection of one request.

    Attributes:
        body: Bytes of the body that the daemon holds.
        body_truncated: Whether the client closed its side before the end of
            the body.
        disconnected: Whether the connection is lost.
    """

    __slots__ = (
        "_on_disconnect",
        "_on_end",
        "body",
        "body_truncated",
        "disconnected",
    )

    def __init__(self, *, body: held_bytes.Holding) -> None:
        """Starts connected."""
        self.body = body
        self.body_truncated = False
        self.disconnected = False
        self._on_disconnect: abc.Callable[[], object] | None = None
        self._on_end: abc.Callable[[], abc.Awaitable[None]] | None = None

    def set_end_callback(
        self, callback: abc.Callable[[], abc.Awaitable[None]]
    ) -> None:
        """Sets the callback to await when the response completes or fails."""
        self._on_end = callback

    async def run_end_callback(self) -> None:
        """Awaits the end callback, at most once."""
        on_end = self._on_end
        self._on_end = None
        if on_end is not None:
            await on_end()

    def set_disconnect_callback(
        self, callback: abc.Callable[[], object] | None
    ) -> None:
        """Sets the callback for a lost connection; None removes it.

        If the connection is already lost, the callback runs at once.
        """
        self._on_disconnect = callback
        if self.disconnected and callback is not None:
            callback()

    def mark_disconnected(self) -> None:
        """Marks the connection as lost and calls the disconnect callback."""
        self.disconnected = True
        if self._on_disconnect is not None:
            self._on_disconnect()


def cancel_on_disconnect(
    application: blacksheep.Application,
) -> abc.Callable[..., abc.Awaitable[None]]:
    """Wraps an application so that a client's disconnect cancels its task."""

    async def run(
        scope: dict[str, typing.Any],
        receive: abc.Callable[[], abc.Awaitable[typing.Any]],
        send: abc.Callable[[typing.Any], abc.Awaitable[None]],
    ) -> None:
        connection: RequestConnection = scope[CONNECTION_KEY]
        task = asyncio.current_task()
        assert task is not None
        connection.set_disconnect_callback(task.cancel)
        try:
            await application(scope, receive, send)
        except asyncio.CancelledError:
            if not connection.disconnected:
                raise
        finally:
            connection.set_disconnect_callback(None)
            await connection.run_end_callback()
            connection.body.release()

    return run
