"""A lean engine for live measures: it streams tokens at a steady pace.

It does nothing else of what an engine does, so that its own work disturbs a
measure of the daemon as little as can be.
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
TICK_MS = 2
_CHUNK = (
    b'{"id":"live","object":"chat.completion.chunk","created":0,'
    b'"model":"live","choices":[{"index":0,"delta":{"content":" token"},'
    b'"finish_reason":null}]}'
)
_LAST_CHUNK = _CHUNK.replace(b"null", b'"stop"')


class _Body(msgspec.Struct):
    max_tokens: int = 32


class _Stream:
    """One answer on its way."""

    __slots__ = ("attempt", "connection", "position", "tokens")

    def __init__(
        self, *, connection: "_Connection", attempt: bytes, tokens: int
    ) -> None:
        self.connection = connection
        self.attempt = attempt
        self.tokens = tokens
        self.position = 0

    def send_event(self) -> bool:
        """Sends the next event; returns whether there are more."""
        last = self.position == self.tokens - 1
        event = b"%bid: %b:%d\ndata: %b\n\n" % (
            b"event: finish\n" if last else b"",
            self.attempt,
            self.position,
            _LAST_CHUNK if last else _CHUNK,
        )
        self.position += 1
        end = b"0\r\n\r\n" if last else b""
        self.connection.write(b"%x\r\n%b\r\n%b" % (len(event), event, end))
        return not last and self.connection.is_open()


class Engine:
    """Streams that run, in the order of their next event."""

    __slots__ = ("_due", "_ids", "_pace_s", "target_id")

    def __init__(self, *, target_id: str, pace_ms: float) -> None:
        """Starts without streams."""
        self.target_id = target_id
        self._pace_s = pace_ms / 1000
        self._due: list[tuple[float, int, _Stream]] = []
        self._ids = itertools.count()

    def start(self, stream: _Stream) -> None:
        """Sends the first event at once and the others at the pace."""
        if stream.send_event():
            now = asyncio.get_running_loop().time()
            due = (now + self._pace_s, next(self._ids), stream)
            heapq.heappush(self._due, due)

    def count_running(self) -> int:
        """Counts the streams that run."""
        return len(self._due)

    async def run(self) -> None:
        """Sends events as they fall due, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            while self._due and self._due[0][0] <= now:
                at, number, stream = heapq.heappop(self._due)
                if stream.send_event():
                    due = (at + self._pace_s, number, stream)
                    heapq.heappush(self._due, due)
            await asyncio.sleep(TICK_MS / 1000)


class _Connection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, *, engine: Engine) -> None:
        self._engine = engine
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._attempt = b""
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
            self._attempt = value

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
        tokens = msgspec.json.decode(self._body, type=_Body).max_tokens
        self.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\nX-Boot-Id: live-engine\r\n"
            b"X-Attempt-Id: %b\r\n\r\n" % self._attempt
        )
        stream = _Stream(connection=self, attempt=self._attempt, tokens=tokens)
        self._engine.start(stream)


async def serve(address: str, target_id: str, pace_ms: float) -> None:
    """Serves until the process is ended; prints a line once it listens."""
    engine = Engine(target_id=target_id, pace_ms=pace_ms)
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: _Connection(engine=engine), host, int(port), backlog=2048
    )
    found = server.sockets[0].getsockname()
    line = msgspec.json.encode({"ready": f"{found[0]}:{found[1]}"})
    print(line.decode(), flush=True)
    await engine.run()


def main() -> None:
    """Reads the command line and serves."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1:0")
    parser.add_argument("--id", default="live-engine-0")
    parser.add_argument("--pace-ms", type=float, default=43.0)
    chosen = parser.parse_args()
    uvloop.run(serve(chosen.address, chosen.id, chosen.pace_ms))


if __name__ == "__main__":
    main()
