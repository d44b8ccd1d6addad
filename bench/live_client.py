"""A lean client for live measures: it keeps a number of streams running."""

import argparse
import asyncio
import functools
import random
import time
import typing

import httptools
import msgspec
import uvloop

CHAT_BYTES = 400


class Outcome(msgspec.Struct, kw_only=True):
    """What a client saw within its window.

    Attributes:
        seconds: Length of the window.
        tokens: Events received.
        answers: Answers that ended whole.
        broken: Answers that ended in another way.
        first_token_ms: Times to the first event.
    """

    seconds: float = 0.0
    tokens: int = 0
    answers: int = 0
    broken: int = 0
    first_token_ms: list[float] = []


class _Connection(asyncio.Protocol):
    """One connection that carries one answer after the other."""

    def __init__(self, *, number: int, load: "Load") -> None:
        self._number = number
        self._load = load
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._asked_at = 0.0
        self._events = 0
        self._expected = 0
        self._failed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = typing.cast(asyncio.Transport, transport)
        # The first answers are cut short at random, so that the streams of
        # all connections are at different places from the start.
        self._ask(self._load.random.randint(1, self._load.tokens))

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        if not self._load.stopped:
            self._load.outcome.broken += 1

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_headers_complete(self) -> None:
        self._failed = self._parser.get_status_code() != 200

    def on_body(self, body: bytes) -> None:
        events = body.count(b'"choices"')
        if self._events == 0 and events:
            first_ms = (time.perf_counter() - self._asked_at) * 1000
            self._load.outcome.first_token_ms.append(first_ms)
        self._events += events
        self._load.outcome.tokens += events

    def on_message_complete(self) -> None:
        if self._failed or self._events != self._expected:
            self._load.outcome.broken += 1
        else:
            self._load.outcome.answers += 1
        self._loop.call_soon(self._ask, self._load.tokens)

    def _ask(self, tokens: int) -> None:
        if self._load.stopped or self._transport is None:
            return
        self._expected = tokens
        self._events = 0
        text = f"chat {self._number} " + "x" * CHAT_BYTES
        body = msgspec.json.encode(
            {
                "model": self._load.model,
                "messages": [{"role": "user", "content": text}],
                "stream": True,
                "max_tokens": tokens,
            }
        )
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: live\r\n"
            f"Authorization: Bearer {self._load.key}\r\n"
            f"X-Attempt-Id: direct-{self._number}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self._asked_at = time.perf_counter()
        self._transport.write(head.encode() + body)


class Load:
    """What all connections of a client share."""

    __slots__ = ("key", "model", "outcome", "random", "stopped", "tokens")

    def __init__(self, *, key: str, model: str, tokens: int) -> None:
        """Starts with nothing seen."""
        self.key = key
        self.model = model
        self.tokens = tokens
        self.outcome = Outcome()
        self.random = random.Random(7)
        self.stopped = False


async def run(chosen: argparse.Namespace) -> Outcome:
    """Keeps the streams running and returns what was seen in the window."""
    load = Load(key=chosen.key, model=chosen.model, tokens=chosen.tokens)
    loop = asyncio.get_running_loop()
    addresses = chosen.addresses.split(",")
    for number in range(chosen.streams):
        host, _, port = addresses[number % len(addresses)].rpartition(":")
        await loop.create_connection(
            functools.partial(_Connection, number=number, load=load),
            host,
            int(port),
        )
    await asyncio.sleep(chosen.warm_s)
    print('{"window":"start"}', flush=True)
    load.outcome = Outcome()
    began = loop.time()
    await asyncio.sleep(chosen.window_s)
    outcome = load.outcome
    outcome.seconds = loop.time() - began
    load.stopped = True
    return outcome


def main() -> None:
    """Reads the command line, runs and prints the outcome."""
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
