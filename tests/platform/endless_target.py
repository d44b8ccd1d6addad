"""Targets that answer without end, as a process of their own for tests.

Started as ``python -m tests.platform.endless_target FORM COUNT``; it writes the
ports of its targets as one line of JSON.
"""

import asyncio
from collections import abc
import contextlib
import json
import os
import pathlib
import sys

import msgspec

from tests.platform import target_standin
from tests.platform import wire

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# Bytes that a connection gets at most, should nothing stop it.
_MAX_SENT_BYTES = 400_000_000
_PIECE_BYTES = 65_536
_HEAD = target_standin.SIGNED_HEAD
_STREAM = _HEAD + b"Content-Type: text/event-stream\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_FAILED = _HEAD.replace(b"200 OK", b"500 Failed")
_UNSIGNED = b"HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\n"
_LARGE_CHUNK = b"%x\r\n%s\r\n" % (_PIECE_BYTES, b"x" * _PIECE_BYTES)
_WHOLE = b"Content-Length: 800\r\n\r\n" + b"x" * 800


class Form(msgspec.Struct, frozen=True):
    """What a target sends.

    Attributes:
        first: What comes first, ``ID`` in place of the request's id.
        rest: What then comes again and again.
    """

    first: bytes
    rest: bytes


BODIES = {
    "body in chunks of a byte": Form(_HEAD + _CHUNKED, b"1\r\nx\r\n"),
    "body in large chunks": Form(_HEAD + _CHUNKED, _LARGE_CHUNK),
    "body to the end of the connection": Form(_HEAD + b"\r\n", b"x"),
    "body with a length": Form(
        _HEAD + b"Content-Length: 9000000000\r\n\r\n", b"x"
    ),
    "body of a failure": Form(_FAILED + _CHUNKED, _LARGE_CHUNK),
    "unsigned body": Form(_UNSIGNED + b"\r\n", b"x"),
}
HEADS = {
    "no HTTP": Form(b"", b"no HTTP at all\n"),
    "zeros": Form(b"", b"\0"),
    "empty lines": Form(b"", b"\r\n"),
    "status line": Form(b"HTTP/1.1 200 ", b"O"),
    "name of a header": Form(_HEAD, b"n"),
    "value of a header": Form(_HEAD + b"odd: ", b"v"),
    "header lines": Form(_HEAD, b"odd: 1\r\n"),
    "interim answers": Form(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "size of a chunk": Form(_HEAD + _CHUNKED, b"0"),
    "extension of a chunk": Form(_HEAD + _CHUNKED + b"1;", b"e"),
    "trailers": Form(_HEAD + _CHUNKED + b"1\r\nx\r\n0\r\n", b"odd: 1\r\n"),
}
STREAMS = {
    "comments": Form(_STREAM + b"\r\n", b": beat\n\n"),
    "events": Form(_STREAM + b"\r\n", b"data: again\n\n"),
    "one event": Form(_STREAM + b"\r\ndata: ", b"x"),
    "comments in chunks of a byte": Form(
        _STREAM + _CHUNKED, b"1\r\n:\r\n1\r\n\n\r\n1\r\n\n\r\n"
    ),
}
WHOLE_ANSWERS = {
    "bytes behind an answer": Form(_HEAD + _WHOLE, b"x"),
    "answers behind an answer": Form(
        _HEAD + _WHOLE, b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
    ),
    "empty lines behind an answer": Form(_HEAD + _WHOLE, b"\r\n"),
}
_FORMS = BODIES | HEADS | STREAMS | WHOLE_ANSWERS


@contextlib.asynccontextmanager
async def start(form: str, count: int) -> abc.AsyncIterator[list[str]]:
    """Runs the process; yields the addresses of its targets."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        __name__,
        form,
        str(count),
        cwd=_ROOT,
        env=dict(os.environ),
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    try:
        ports = json.loads(await process.stdout.readline())
        yield [f"127.0.0.1:{port}" for port in ports]
    finally:
        process.kill()
        await process.wait()


async def _serve(
    form: Form, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        request = await wire.read_request(reader)
        if request is not None:
            request_id = request.headers.get("attempt-id", "").encode()
            # With the first of the rest in one piece.
            piece = form.rest * -(-_PIECE_BYTES // len(form.rest))
            writer.write(form.first.replace(b"ID", request_id) + piece)
            for _ in range(_MAX_SENT_BYTES // len(piece)):
                await writer.drain()
                writer.write(piece)
    writer.close()


async def _run(form: Form, count: int) -> None:
    servers = [
        await asyncio.start_server(
            lambda reader, writer: _serve(form, reader, writer), "127.0.0.1", 0
        )
        for _ in range(count)
    ]
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    print(json.dumps(ports), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_run(_FORMS[sys.argv[1]], int(sys.argv[2])))
