"""Ties an ASGI application's work to the client that asked for it."""

import asyncio
from collections import abc
import typing

import blacksheep

# Key of a scope under which the application finds its ``Caller``.
CALLER = "mothpass.caller"


class Caller:
    """The client of one request, as far as its connection shows.

    Attributes:
        body_cut: Whether the client ended its side within the body.
        gone: Whether the connection is lost.
    """

    __slots__ = ("_at_end", "_on_gone", "body_cut", "gone")

    def __init__(self) -> None:
        """Starts with a client that is there."""
        self.body_cut = False
        self.gone = False
        self._on_gone: abc.Callable[[], object] | None = None
        self._at_end: abc.Callable[[], abc.Awaitable[None]] | None = None

    def call_at_end(
        self, callback: abc.Callable[[], abc.Awaitable[None]]
    ) -> None:
        """Sets what is awaited once the answer has ended in any way."""
        self._at_end = callback

    async def end(self) -> None:
        """Awaits what was set, once."""
        at_end = self._at_end
        self._at_end = None
        if at_end is not None:
            await at_end()

    def call_when_gone(self, callback: abc.Callable[[], object] | None) -> None:
        """Sets what is called, once, when the connection is lost."""
        self._on_gone = callback
        if self.gone and callback is not None:
            callback()

    def leave(self) -> None:
        """Notes that the connection is lost."""
        self.gone = True
        if self._on_gone is not None:
            self._on_gone()


def guard_application(
    application: blacksheep.Application,
) -> abc.Callable[..., abc.Awaitable[None]]:
    """Returns the ASGI application that ends when its caller leaves."""

    async def run(
        scope: dict[str, typing.Any],
        receive: abc.Callable[[], abc.Awaitable[typing.Any]],
        send: abc.Callable[[typing.Any], abc.Awaitable[None]],
    ) -> None:
        caller: Caller = scope[CALLER]
        task = asyncio.current_task()
        assert task is not None
        caller.call_when_gone(task.cancel)
        try:
            await application(scope, receive, send)
        except asyncio.CancelledError:
            if not caller.gone:
                raise
        finally:
            caller.call_when_gone(None)
            await caller.end()

    return run
