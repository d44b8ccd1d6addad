"""A server that answers without end, as a process of its own for tests.

Started as ``python -m tests.endless_server ADDRESS NAME FORM``. It answers load
reports as the target NAME, and anything else without end; an empty NAME stands
for a server whose load reports have no end either.
"""

import asyncio
from collections import abc
import contextlib
import json
import pathlib
import subprocess
import sys

import msgspec

from tests.platform import wire

_ROOT = pathlib.Path(__file__).resolve().parent.parent

# Bytes that a connection gets at most, should nothing stop it.
_MAX_SENT_BYTES = 400_000_000
_PIECE_BYTES = 65_536
_STATUS = b"HTTP/1.1 200 OK\r\n"
_HEAD = _STATUS + b"X-Attempt-Id: ID\r\nX-Boot-Id: boot\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_STREAM = _HEAD + b"Content-Type: text/event-stream\r\n\r\n"
_LARGE_CHUNK = b"%x\r\n%s\r\n" % (_PIECE_BYTES, b"x" * _PIECE_BYTES)


class Form(msgspec.Struct, frozen=True):
    """What a server sends.

    Attributes:
        first: What comes first, ``ID`` in place of the attempt's id.
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
    "body of a failure": Form(
        _HEAD.replace(b"200 OK", b"500 Failed") + _CHUNKED, _LARGE_CHUNK
    ),
    "body of a refusal": Form(
        _HEAD.replace(b"200 OK", b"503 Busy") + _CHUNKED, _LARGE_CHUNK
    ),
}
HEADS = {
    "no HTTP": Form(b"", b"no HTTP at all\n"),
    "empty lines": Form(b"", b"\r\n"),
    "value of a header": Form(_STATUS + b"odd: ", b"v"),
    "header lines": Form(_STATUS, b"odd: 1\r\n"),
    "interim answers": Form(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "extension of a chunk": Form(_HEAD + _CHUNKED + b"1;", b"e"),
    "trailers": Form(_HEAD + _CHUNKED + b"1\r\nx\r\n0\r\n", b"odd: 1\r\n"),
}
STREAMS = {
    "one event": Form(_STREAM + b"id: ID:0\ndata: ", b"x"),
    "one event again and again": Form(
        _STREAM, b'id: ID:0\ndata: {"choices":[{"delta":{}}]}\n\n'
    ),
    "events of another answer": Form(_STREAM, b"id: other:0\ndata: {}\n\n"),
}
_FORMS = BODIES | HEADS | STREAMS


@contextlib.contextmanager
def run(address: str, name: str, form: str) -> abc.Iterator[None]:
    """Runs the process while it is entered."""
    command = [sys.executable, "-m", __name__, address, name, form]
    with subprocess.Popen(
        command, cwd=_ROOT, stdout=subprocess.PIPE
    ) as process:
        assert process.stdout is not None
        try:
            if not process.stdout.readline():
                raise AssertionError("the endless server has ended")
            yield
        finally:
            process.kill()


async def _serve(
    name: str,
    form: Form,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        while (request := await wire.read_request(reader)) is not None:
            if name and request.url == "/v1/load":
                wire.write_answer(writer, 200, {}, _encode_load(name))
                continue
            attempt = request.headers.get("x-attempt-id", "").encode()
            first = form.first.replace(b"ID", attempt)
            rest = form.rest.replace(b"ID", attempt)
            # With the first of the rest in one piece.
            piece = rest * -(-_PIECE_BYTES // len(rest))
            writer.write(first + piece)
            for _ in range(_MAX_SENT_BYTES // len(piece)):
                await writer.drain()
                writer.write(piece)
            break
    writer.close()


def _encode_load(name: str) -> bytes:
    report = {
        "target_id": name,
        "boot_id": "boot",
        "phase": "warm",
        "running": 0,
        "queued": 0,
        "age_ms": 0,
    }
    return json.dumps(report).encode()


async def _run(address: str, name: str, form: Form) -> None:
    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(
        lambda reader, writer: _serve(name, form, reader, writer),
        host,
        int(port),
    )
    print(json.dumps({"ready": address}), flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(_run(sys.argv[1], sys.argv[2], _FORMS[sys.argv[3]]))
