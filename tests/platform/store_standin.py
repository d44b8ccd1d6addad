"""A small stand-in of the platform's store, over its published protocol."""

import asyncio
import base64
import contextlib
import json
import typing
from urllib import parse

from tests.platform import wire

Row = dict[str, typing.Any]


class Door:
    """An address of the store, which some daemons use.

    Attributes:
        address: ``ip:port``.
        is_silent: Whether calls get no answer.
        calls: Paths of the calls that arrived.
    """

    def __init__(self) -> None:
        self.address = ""
        self.is_silent = False
        self.calls: list[str] = []


class Store:
    """Rows in memory, with faults to order.

    Attributes:
        address: ``ip:port`` once it is open.
        status: Status with which calls are refused; 0 for none.
        is_silent: Whether calls get no answer.
        forgets: Whether feeds are told that the history is gone.
        delay_s: Time that each answer takes.
        loses_answers: Whether writes are done and their answers lost.
        calls: Paths of the calls that arrived.
    """

    def __init__(self) -> None:
        self.address = ""
        self.status = 0
        self.is_silent = False
        self.forgets = False
        self.delay_s = 0.0
        self.loses_answers = False
        self.calls: list[str] = []
        self._rows: dict[tuple[str, str], Row] = {}
        self._log: list[tuple[str, Row]] = []
        self._version = 0
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []

    async def open(self, host: str = "127.0.0.1") -> None:
        door = await self.open_door(host)
        self.address = door.address

    async def open_door(self, host: str = "127.0.0.1") -> Door:
        """Opens one more address, with faults of its own."""
        door = Door()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(door, reader, writer)

        server = await asyncio.start_server(serve, host, 0)
        self._servers.append(server)
        port = server.sockets[0].getsockname()[1]
        door.address = f"{host}:{port}"
        return door

    def close(self) -> None:
        for server in self._servers:
            server.close()

    def put(self, table: str, key: str, value: object) -> None:
        """Writes a row: JSON, or bytes as they are."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._version += 1
        row: Row = {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "ver": self._version,
        }
        self._rows[table, key] = row
        self._note(table, row)

    def remove(self, table: str, key: str) -> None:
        """Drops a row."""
        self._version += 1
        del self._rows[table, key]
        row: Row = {"table": table, "part": "", "key": key}
        self._note(table, {**row, "ver": self._version, "removed": True})

    def read(self, table: str) -> dict[str, bytes]:
        """Returns the rows of a table."""
        return {
            key: base64.b64decode(row["value"])
            for (name, key), row in self._rows.items()
            if name == table
        }

    def _note(self, table: str, row: Row) -> None:
        self._log.append((table, row))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self,
        door: Door,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while (request := await wire.read_request(reader)) is not None:
                await self._answer(door, request, writer)
        writer.close()

    async def _answer(
        self, door: Door, request: wire.Request, writer: asyncio.StreamWriter
    ) -> None:
        url = parse.urlsplit(request.url)
        self.calls.append(url.path)
        door.calls.append(url.path)
        if self.is_silent or door.is_silent:
            await asyncio.sleep(3600)
        await asyncio.sleep(self.delay_s)
        if self.status:
            wire.write_answer(writer, self.status, {}, b"")
            return
        query = dict(parse.parse_qsl(url.query))
        status, body = 200, {}
        if url.path == "/-/rows-get":
            body = self._get(query["table"])
        elif url.path == "/-/rows-feed":
            status, body = await self._feed(query)
        elif url.path == "/-/rows-tx":
            for item in json.loads(request.body)["writes"]:
                value = base64.b64decode(item["value"])
                self.put(item["table"], item["key"], value)
            body = {"ver": self._version, "nowMs": 0}
            if self.loses_answers:
                writer.transport.abort()
                return
        else:
            status = 404
        if self.is_silent or door.is_silent:
            await asyncio.sleep(3600)
        wire.write_answer(writer, status, {}, json.dumps(body).encode())

    def _get(self, table: str) -> dict[str, object]:
        rows = [row for (name, _), row in self._rows.items() if name == table]
        return {
            "rows": rows,
            "hasMore": False,
            "ver": self._version,
            "nowMs": 0,
        }

    async def _feed(
        self, query: dict[str, str]
    ) -> tuple[int, dict[str, object]]:
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query["waitMs"]) / 1000
        while True:
            if self.forgets:
                self.forgets = False
                return 410, {}
            rows = [
                row
                for table, row in self._log
                if table == query["table"] and row["ver"] > int(query["after"])
            ]
            if rows or loop.time() >= until:
                return 200, {"rows": rows, "ver": self._version, "nowMs": 0}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(until):
                    await self._changed.wait()
