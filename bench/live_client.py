"""Runs a lean client that keeps a number of streams in flight."""

import argparse
import asyncio
import functools
import random
import time
import typing

import httptools
import msgspec
import uvloop

PROMPT_BYTES = 400


class Outcome(msgspec.Struct, kw_only=True):
    """Answers that a client received within its window.

    Attributes:
        seconds: Length of the window in seconds.
        tokens: Token events received.
        answers: Complete answers.
        broken: Failed or incomplete answers, and lost connections.
        first_token_ms: Times to the first token event.
    """

    seconds: float = 0.0
    tokens: int = 0
    answers: int = 0
    broken: int = 0
    first_token_ms: list[float] = []


class _Connection(asyncio.Protocol):
    """A connection that sends one request after another."""

    def __init__(self, *, number: int, shared: "SharedState") -> None:
        self._number = number
        self._shared = shared
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._sent_at = 0.0
        self._events = 0
        self._expected = 0
        self._failed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = typing.cast(asyncio.Transport, transport)
        # The first answers have random lengths, so the streams of all
        # connections are at different positions from the start.
        self._send_request(self._shared.random.randint(1, self._shared.tokens))

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        if not self._shared.stopped:
            self._shared.outcome.broken += 1

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_headers_complete(self) -> None:
        self._failed = self._parser.get_status_code() != 200

    def on_body(self, body: bytes) -> None:
        events = body.count(b'"choices"')
        if self._events == 0 and events:
            first_ms = (time.perf_counter() - self._sent_at) * 1000
            self._shared.outcome.first_token_ms.append(first_ms)
        self._events += events
        self._shared.outcome.tokens += events

    def on_message_complete(self) -> None:
        if self._failed or self._events != self._expected:
            self._shared.outcome.broken += 1
        else:
            self._shared.outcome.answers += 1
        self._loop.call_soon(self._send_request, self._shared.tokens)

    def _send_request(self, tokens: int) -> None:
        if self._shared.stopped or self._transport is None:
            return
        self._expected = tokens
        self._events = 0
        text = f"chat {self._number} " + "x" * PROMPT_BYTES
        body = msgspec.json.encode(
            {
                "model": self._shared.model,
                "messages": [{"role": "user", "content": text}],
                "stream": True,
                "max_tokens": tokens,
            }
        )
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: live\r\n"
            f"Authorization: Bearer {self._shared.key}\r\n"
            f"X-Attempt-Id: direct-{self._number}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self._sent_at = time.perf_counter()
        self._transport.write(head.encode() + body)


class SharedState:
    """State shared by all connections of a client."""

    __slots__ = ("key", "model", "outcome", "random", "stopped", "tokens")

    def __init__(self, *, key: str, model: str, tokens: int) -> None:
        """Starts with an empty outcome."""
        self.key = key
        self.model = model
        self.tokens = tokens
        self.outcome = Outcome()
        self.random = random.Random(7)
        self.stopped = False


async def run(options: argparse.Namespace) -> Outcome:
    """Keeps the streams in flight and returns the outcome of the window."""
    shared = SharedState(
        key=options.key, model=options.model, tokens=options.tokens
    )
    loop = asyncio.get_running_loop()
    addresses = options.addresses.split(",")
    for number in range(options.streams):
        host, _, port = addresses[number % len(addresses)].rpartition(":")
        await loop.create_connection(
            functools.partial(_Connection, number=number, shared=shared),
            host,
            int(port),
        )
    await asyncio.sleep(options.warm_s)
    print('{"window":"start"}', flush=True)
    shared.outcome = Outcome()
    started_at = loop.time()
    await asyncio.sleep(options.window_s)
    outcome = shared.outcome
    outcome.seconds = loop.time() - started_at
    shared.stopped = True
    return outcome


def main() -> None:
    """Reads the command line, runs the client and prints the outcome."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--addresses", required=True)
    parser.add_argument("--key", default="none")
    parser.add_argument("--model", default="live")
    parser.add_argument("--streams", type=int, default=560)
    parser.add_argument("--tokens", type=int, default=222)
    parser.add_argument("--warm-s", type=float, default=3.0)
    parser.add_argument("--window-s", type=float, default=8.0)
    outcome = uvloop.run(run(parser.parse_args()))
    print(msgspec.json.encode(outcome).decode(), flush=True)


if __name__ == "__main__":
    main()
