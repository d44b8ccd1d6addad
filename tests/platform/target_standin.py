"""Stand-in of an engine or a plain service, with faults to inject."""

import asyncio
from collections import abc
import contextlib
import socket
import struct

from tests.platform import wire

SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"
EVENTS = 4
# Start of the head of an answer for close_after().
SIGNED_HEAD = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Seal: "
    + SIGNATURE.encode()
    + b"\r\n"
)
# What may follow it where the answer is no stream.
RESTS_WITHOUT_STREAM = (
    b"\r\n",
    b"\r\nout of memory",
    b"Content-Length: 4\r\n\r\ndone",
    b"Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}",
)


class Target:
    """Target that answers by scripts and records its requests.

    Attributes:
        id: Id under which it registers.
        address: ``ip:port`` once it is open.
        requests: Requests that arrived, in order.
        runs: Ids of the requests that it ran, in order.
        cancelled_runs: Ids of the runs whose client closed the connection
            early.
        script: Scripts of the next requests, in order.
        answer: Script of all further requests.
        on_reused_connection: Script of requests on a reused connection, None
            to handle them as others.
        connections: Number of connections opened to it.
        extra_headers: Headers that its answers carry besides.
        version: Version of its software; events of two versions differ.
    """

    def __init__(self, target_id: str) -> None:
        self.id = target_id
        self.address = ""
        self.requests: list[wire.Request] = []
        self.runs: list[str] = []
        self.cancelled_runs: list[str] = []
        self.script: list[Script] = []
        self.answer: Script = answer_normally
        self.on_reused_connection: Script | None = None
        self.connections = 0
        self.extra_headers: dict[str, str] = {}
        self.version = "v1"
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, host, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def encode_entry(self, service: str, **fields: object) -> dict[str, object]:
        """Returns the entry with which it registers."""
        entry: dict[str, object] = {
            "service": service,
            "addr": self.address,
            "zone": "zone-a",
            "version": self.version,
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
            "born": 1000,
        }
        return entry | fields

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self.connections += 1
        is_reused = False
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while (request := await wire.read_request(reader)) is not None:
                self.requests.append(request)
                script = self.script.pop(0) if self.script else self.answer
                if is_reused and self.on_reused_connection is not None:
                    script = self.on_reused_connection
                is_reused = True
                await self._run(script, request, reader, writer)
        self._writers.discard(writer)
        writer.close()

    async def _run(
        self,
        script: "Script",
        request: wire.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Runs a script until it ends or the client disconnects."""
        work = asyncio.ensure_future(script(self, request, writer))
        while not work.done():
            await asyncio.wait([work], timeout=0.01)
            is_closed = reader.at_eof() or reader.exception() is not None
            if is_closed and not work.done():
                work.cancel()
                self.cancelled_runs.append(
                    request.headers.get("attempt-id", "")
                )
                break
        with contextlib.suppress(asyncio.CancelledError):
            await work


Script = abc.Callable[
    [Target, wire.Request, asyncio.StreamWriter], abc.Awaitable[None]
]


def make_headers(request: wire.Request) -> dict[str, str]:
    """Returns the headers with which a target signs its answers."""
    return {
        "Attempt-Id": request.headers["attempt-id"],
        "Server-Seal": SIGNATURE,
    }


def make_event(number: int, version: str = "v1") -> bytes:
    """Returns an event of a stream, the same at each target of a version."""
    written_by = "" if version == "v1" else f" of {version}"
    return f"id: {number}\ndata: part {number}{written_by}\n\n".encode()


def make_events(start: int, end: int) -> bytes:
    """Returns the events of a stream from one id up to another."""
    return b"".join(make_event(number) for number in range(start, end))


async def answer_normally(
    target: Target, request: wire.Request, writer: asyncio.StreamWriter
) -> None:
    """Runs the request: a stream for model requests, else a short body."""
    if "prompt-prefix" in request.headers:
        await stream(EVENTS)(target, request, writer)
        return
    target.runs.append(request.headers["attempt-id"])
    headers = make_headers(request) | target.extra_headers
    wire.write_answer(writer, 200, headers, b"done")


def start_stream(
    target: Target, request: wire.Request, writer: asyncio.StreamWriter
) -> int:
    """Writes the head of a stream; returns the number of its first event."""
    target.runs.append(request.headers["attempt-id"])
    headers = make_headers(request) | target.extra_headers
    headers["Content-Type"] = "text/event-stream"
    headers["Transfer-Encoding"] = "chunked"
    writer.write(wire.encode_head(200, headers))
    return int(request.headers.get("last-event-id", "-1")) + 1


def stream(
    events: int, *, pause_s: float = 0.0, first_s: float = 0.0
) -> Script:
    """Returns a script that streams events to a complete end.

    Args:
        events: Number of events.
        pause_s: Pause after each event.
        first_s: Time before the first event, to read the prompt.
    """

    async def run(
        target: Target, request: wire.Request, writer: asyncio.StreamWriter
    ) -> None:
        first = start_stream(target, request, writer)
        await asyncio.sleep(first_s)
        for number in range(first, events):
            wire.write_chunk(writer, make_event(number, target.version))
            await asyncio.sleep(pause_s)
        wire.write_chunk(writer, b"")

    return run


def break_stream(events: int, rest: bytes = b"") -> Script:
    """Returns a script that resets the stream after events and ``rest``."""

    async def run(
        target: Target, request: wire.Request, writer: asyncio.StreamWriter
    ) -> None:
        for number in range(start_stream(target, request, writer), events):
            wire.write_chunk(writer, make_event(number, target.version))
        if rest:
            wire.write_chunk(writer, rest)
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.transport.abort()

    return run


def stream_text(
    *pieces: bytes, is_whole: bool = True, is_signed: bool = True
) -> Script:
    """Returns a script that answers with a stream of any bytes.

    Args:
        *pieces: Chunks of the stream.
        is_whole: Whether the stream gets its end, or is reset.
        is_signed: Whether its head has the signature.
    """

    async def run(
        target: Target, request: wire.Request, writer: asyncio.StreamWriter
    ) -> None:
        target.runs.append(request.headers["attempt-id"])
        headers = make_headers(request) | {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        if not is_signed:
            del headers["Server-Seal"]
        writer.write(wire.encode_head(200, headers))
        for piece in pieces:
            wire.write_chunk(writer, piece)
        if is_whole:
            wire.write_chunk(writer, b"")
        else:
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.transport.abort()

    return run


def close_after(head: bytes) -> Script:
    """Returns a script that sends bytes and closes the connection cleanly.

    Args:
        head: The bytes, ``ID`` in place of the request's id.
    """

    async def run(
        target: Target, request: wire.Request, writer: asyncio.StreamWriter
    ) -> None:
        request_id = request.headers["attempt-id"]
        target.runs.append(request_id)
        writer.write(head.replace(b"ID", request_id.encode()))
        await writer.drain()
        writer.close()

    return run


def reset_after(answer: bytes) -> Script:
    """Returns a script that sends bytes and resets the connection.

    Args:
        answer: The bytes, ``ID`` in place of the request's id.
    """

    async def run(
        target: Target, request: wire.Request, writer: asyncio.StreamWriter
    ) -> None:
        request_id = request.headers["attempt-id"]
        target.runs.append(request_id)
        writer.write(answer.replace(b"ID", request_id.encode()))
        await writer.drain()
        await asyncio.sleep(0.05)
        connection = writer.get_extra_info("socket")
        # A close with this option sends a reset.
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        writer.transport.abort()

    return run


def send_bytes(*pieces: bytes) -> Script:
    """Returns a script that sends an answer as it is and stays connected.

    Args:
        *pieces: The bytes, ``ID`` in place of the request's id; there is a
            short pause before each but the first.
    """

    async def run(
        target: Target, request: wire.Request, writer: asyncio.StreamWriter
    ) -> None:
        request_id = request.headers["attempt-id"]
        target.runs.append(request_id)
        for piece in pieces:
            writer.write(piece.replace(b"ID", request_id.encode()))
            await writer.drain()
            await asyncio.sleep(0.05)
        await asyncio.sleep(3600)

    return run


def silence_stream(events: int) -> Script:
    """Returns a script that stops sending after events."""

    async def run(
        target: Target, request: wire.Request, writer: asyncio.StreamWriter
    ) -> None:
        for number in range(start_stream(target, request, writer), events):
            wire.write_chunk(writer, make_event(number, target.version))
        await asyncio.sleep(3600)

    return run


def drip_stream(events: int, *, pause_s: float) -> Script:
    """Returns a script that sends events, then a byte at a time for good."""

    async def run(
        target: Target, request: wire.Request, writer: asyncio.StreamWriter
    ) -> None:
        for number in range(start_stream(target, request, writer), events):
            wire.write_chunk(writer, make_event(number, target.version))
        while True:
            wire.write_chunk(writer, b"x")
            await asyncio.sleep(pause_s)

    return run


def repeat_event(data: bytes, *, pause_s: float) -> Script:
    """Returns a script that sends the same event again and again."""

    async def run(
        target: Target, request: wire.Request, writer: asyncio.StreamWriter
    ) -> None:
        start_stream(target, request, writer)
        while True:
            wire.write_chunk(writer, data)
            await asyncio.sleep(pause_s)

    return run


def reject(status: int, headers: dict[str, str]) -> Script:
    """Returns a script that rejects the request without running it."""

    async def run(
        target: Target, request: wire.Request, writer: asyncio.StreamWriter
    ) -> None:
        del request
        wire.write_answer(writer, status, headers | target.extra_headers, b"")

    return run


def fail(status: int) -> Script:
    """Returns a script that runs the request and answers with a failure."""

    async def run(
        target: Target, request: wire.Request, writer: asyncio.StreamWriter
    ) -> None:
        target.runs.append(request.headers["attempt-id"])
        wire.write_answer(writer, status, make_headers(request), b"failed")

    return run


def answer_largely(size_bytes: int) -> Script:
    """Returns a script that runs the request and answers with a large body."""

    async def run(
        target: Target, request: wire.Request, writer: asyncio.StreamWriter
    ) -> None:
        target.runs.append(request.headers["attempt-id"])
        body = b"x" * size_bytes
        wire.write_answer(writer, 200, make_headers(request), body)
        await writer.drain()

    return run


async def trickle_body(
    target: Target, request: wire.Request, writer: asyncio.StreamWriter
) -> None:
    """Runs the request and sends a byte of its body now and then, for good."""
    target.runs.append(request.headers["attempt-id"])
    headers = make_headers(request) | {"Transfer-Encoding": "chunked"}
    writer.write(wire.encode_head(200, headers))
    while True:
        wire.write_chunk(writer, b"x")
        await asyncio.sleep(0.05)


async def lose_answer(
    target: Target, request: wire.Request, writer: asyncio.StreamWriter
) -> None:
    """Runs the request and resets the connection."""
    target.runs.append(request.headers["attempt-id"])
    await asyncio.sleep(0.02)
    writer.transport.abort()


async def hang(
    target: Target, request: wire.Request, writer: asyncio.StreamWriter
) -> None:
    """Runs the request and never answers."""
    del writer
    target.runs.append(request.headers["attempt-id"])
    await asyncio.sleep(3600)


async def crash(
    target: Target, request: wire.Request, writer: asyncio.StreamWriter
) -> None:
    """Starts to run the request and crashes the target."""
    del writer
    target.runs.append(request.headers["attempt-id"])
    await asyncio.sleep(0.02)
    target.close()


async def reset(
    target: Target, request: wire.Request, writer: asyncio.StreamWriter
) -> None:
    """Resets the connection without running the request."""
    del target, request
    writer.transport.abort()


async def stay_silent(
    target: Target, request: wire.Request, writer: asyncio.StreamWriter
) -> None:
    """Neither runs nor answers, like a half-open connection."""
    del target, request, writer
    await asyncio.sleep(3600)


async def answer_twice(
    target: Target, request: wire.Request, writer: asyncio.StreamWriter
) -> None:
    """Answers normally, then sends a second answer."""
    await answer_normally(target, request, writer)
    wire.write_answer(writer, 200, make_headers(request), b"again")


async def answer_another_first(
    target: Target, request: wire.Request, writer: asyncio.StreamWriter
) -> None:
    """Sends the late answer of another request before the right one."""
    headers = make_headers(request) | {"Attempt-Id": "somebody-else"}
    wire.write_answer(writer, 200, headers, b"not yours")
    await answer_normally(target, request, writer)


async def answer_garbage(
    target: Target, request: wire.Request, writer: asyncio.StreamWriter
) -> None:
    """Runs the request and sends bytes that aren't HTTP."""
    target.runs.append(request.headers["attempt-id"])
    writer.write(b"\x00\x01 garbage \r\n\r\n")


async def answer_short(
    target: Target, request: wire.Request, writer: asyncio.StreamWriter
) -> None:
    """Runs the request and closes the connection within the body."""
    target.runs.append(request.headers["attempt-id"])
    headers = make_headers(request) | {"Content-Length": "100"}
    writer.write(wire.encode_head(200, headers) + b"only a part")
    await writer.drain()
    await asyncio.sleep(0.02)
    writer.close()


async def answer_unframed(
    target: Target, request: wire.Request, writer: asyncio.StreamWriter
) -> None:
    """Sends a body without a length that ends with the connection."""
    target.runs.append(request.headers["attempt-id"])
    writer.write(wire.encode_head(200, make_headers(request)) + b"to the end")
    await writer.drain()
    writer.close()
