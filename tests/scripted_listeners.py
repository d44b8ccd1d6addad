"""Listeners of mothpassd in front of scripted applications, for tests."""

import asyncio
from collections import abc
import typing
import unittest

import blacksheep

from mothpass.adapters import http_disconnects
from mothpass.adapters import http_listener

Message = dict[str, typing.Any]
Send = abc.Callable[[Message], abc.Awaitable[None]]
Receive = abc.Callable[[], abc.Awaitable[Message]]
# An application as of ASGI.
Application = abc.Callable[[Message, Receive, Send], abc.Awaitable[None]]


async def open_listener(
    test: unittest.IsolatedAsyncioTestCase,
    application: Application,
    limits: http_listener.ListenerLimits,
) -> http_listener.Listener:
    """Opens a listener on a free port until a test ends."""
    listener = await http_listener.open_listener(
        http_disconnects.cancel_on_disconnect(
            typing.cast(blacksheep.Application, application)
        ),
        "127.0.0.1:0",
        limits,
    )
    test.addAsyncCleanup(_close, listener)
    return listener


async def _close(listener: http_listener.Listener) -> None:
    listener.stop_accepting()
    listener.abort()
    await listener.drain(asyncio.get_running_loop().time() + 5)
