"""Serves the load reports of many targets from one process.

Each target has a port of its own. The loads change with each read, so every
load digest carries a change.
"""

import argparse
import asyncio
import functools
import json
import typing

import uvloop

_BOOT_ID = "live"
_HOST = "127.0.0.1"


class _Connection(asyncio.Protocol):
    """Answers each request with the target's next load report."""

    def __init__(self, *, target_id: str) -> None:
        self._target_id = target_id
        self._report_count = 0
        self._transport: asyncio.WriteTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = typing.cast(asyncio.WriteTransport, transport)

    def data_received(self, data: bytes) -> None:
        for _ in range(data.count(b"\r\n\r\n")):
            self._answer()

    def _answer(self) -> None:
        self._report_count += 1
        body = json.dumps(
            {
                "target_id": self._target_id,
                "boot_id": _BOOT_ID,
                "phase": "warm",
                "running": 20 + self._report_count % 10,
                "queued": 0,
                "age_ms": 100,
            }
        ).encode()
        head = (
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
            f"x-boot-id: {_BOOT_ID}\r\ncontent-length: {len(body)}\r\n\r\n"
        )
        assert self._transport is not None
        self._transport.write(head.encode() + body)


async def serve(count: int) -> None:
    """Listens for a number of targets and prints their addresses."""
    loop = asyncio.get_running_loop()
    addresses = []
    for number in range(count):
        name = f"target-{number}"
        server = await loop.create_server(
            functools.partial(_Connection, target_id=name), _HOST, 0
        )
        port = server.sockets[0].getsockname()[1]
        addresses.append(f"{_HOST}:{port}")
    print(json.dumps(addresses), flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Reads the command line and serves until the process is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--count", type=int, required=True)
    uvloop.run(serve(parser.parse_args().count))


if __name__ == "__main__":
    main()
