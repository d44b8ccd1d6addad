"""Runs a lean engine that streams tokens at a fixed interval.

It does no other work of an engine, so it disturbs measurements of the daemon
as little as possible.
"""

import argparse
import asyncio
import heapq
import itertools
import typing

import httptools
import msgspec
import uvloop

BOOT_ID = "live-engine"
SEND_INTERVAL_MS = 2
_CHUNK = (
    b'{"id":"live","object":"chat.completion.chunk","created":0,'
    b'"model":"live","choices":[{"index":0,"delta":{"content":" token"},'
    b'"finish_reason":null}]}'
)
_LAST_CHUNK = _CHUNK.replace(b"null", b'"stop"')


class _ChatBody(msgspec.Struct):
    max_tokens: int = 32


class _Stream:
    """An answer that is being streamed."""

    __slots__ = ("attempt_id", "connection", "position", "tokens")

    def __init__(
        self, *, connection: "_Connection", attempt_id: bytes, tokens: int
    ) -> None:
        self.connection = connection
        self.attempt_id = attempt_id
        self.tokens = tokens
        self.position = 0

    def send_event(self) -> bool:
        """Sends the next event and returns whether more follow."""
        last = self.position == self.tokens - 1
        event = b"%bid: %b:%d\ndata: %b\n\n" % (
            b"event: finish\n" if last else b"",
            self.attempt_id,
            self.position,
            _LAST_CHUNK if last else _CHUNK,
        )
        self.position += 1
        end = b"0\r\n\r\n" if last else b""
        self.connection.write(b"%x\r\n%b\r\n%b" % (len(event), event, end))
        return not last and self.connection.is_open()


class Engine:
    """Running streams, ordered by the time of their next event."""

    __slots__ = ("_ids", "_pending", "_token_interval_s", "target_id")

    def __init__(self, *, target_id: str, token_interval_ms: float) -> None:
        """Starts without streams."""
        self.target_id = target_id
        self._token_interval_s = token_interval_ms / 1000
        self._pending: list[tuple[float, int, _Stream]] = []
        self._ids = itertools.count()

    def start(self, stream: _Stream) -> None:
        """Sends the first event at once, the others at the token interval."""
        if stream.send_event():
            now = asyncio.get_running_loop().time()
            pending = (now + self._token_interval_s, next(self._ids), stream)
            heapq.heappush(self._pending, pending)

    def count_running(self) -> int:
        """Returns the number of running streams."""
        return len(self._pending)

    async def run(self) -> None:
        """Sends events when they are due, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            while self._pending and self._pending[0][0] <= now:
                due_at, number, stream = heapq.heappop(self._pending)
                if stream.send_event():
                    pending = (due_at + self._token_interval_s, number, stream)
                    heapq.heappush(self._pending, pending)
            await asyncio.sleep(SEND_INTERVAL_MS / 1000)


class _Connection(asyncio.Protocol):
    """A connection from a daemon or client."""

    def __init__(self, *, engine: Engine) -> None:
        self._engine = engine
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._attempt_id = b""
        self._body = b""
        self._url = b""

    def is_open(self) -> bool:
        return self._transport is not None

    def write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = typing.cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self._transport = None

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        self._body = b""
        self._url = b""

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-attempt-id":
            self._attempt_id = value

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        if self._url.startswith(b"/v1/load"):
            self._send_load()
        elif self._url.startswith(b"/v1/chat"):
            self._start_stream()
        else:
            self.write(b"HTTP/1.1 204 No Content\r\n\r\n")

    def _send_load(self) -> None:
        body = msgspec.json.encode(
            {
                "target_id": self._engine.target_id,
                "boot_id": BOOT_ID,
                "phase": "warm",
                "running": self._engine.count_running(),
                "queued": 0,
                "age_ms": 0,
            }
        )
        self.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"
            % (len(body), body)
        )

    def _start_stream(self) -> None:
        tokens = msgspec.json.decode(self._body, type=_ChatBody).max_tokens
        self.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\nX-Boot-Id: live-engine\r\n"
            b"X-Attempt-Id: %b\r\n\r\n" % self._attempt_id
        )
        stream = _Stream(
            connection=self, attempt_id=self._attempt_id, tokens=tokens
        )
        self._engine.start(stream)


async def serve(address: str, target_id: str, token_interval_ms: float) -> None:
    """Prints a line once it listens, and serves until the process ends."""
    engine = Engine(target_id=target_id, token_interval_ms=token_interval_ms)
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: _Connection(engine=engine), host, int(port), backlog=2048
    )
    bound_address = server.sockets[0].getsockname()
    line = msgspec.json.encode(
        {"ready": f"{bound_address[0]}:{bound_address[1]}"}
    )
    print(line.decode(), flush=True)
    await engine.run()


def main() -> None:
    """Reads the command line and serves."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1:0")
    parser.add_argument("--id", default="live-engine-0")
    parser.add_argument("--pace-ms", type=float, default=43.0)
    options = parser.parse_args()
    uvloop.run(serve(options.address, options.id, options.pace_ms))


if __name__ == "__main__":
    main()
