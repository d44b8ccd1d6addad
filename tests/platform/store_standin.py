"""Stand-in of the platform's store that speaks its HTTP protocol."""

import asyncio
import base64
import contextlib
import json
import typing
from urllib import parse

from tests.platform import wire

Row = dict[str, typing.Any]


class Endpoint:
    """One address of the store, for some of the daemons.

    Attributes:
        address: ``ip:port`` at which it listens.
        is_silent: Whether calls get no answer.
        calls: Paths of the calls that arrived.
    """

    def __init__(self) -> None:
        self.address = ""
        self.is_silent = False
        self.calls: list[str] = []


class Store:
    """Store with rows in memory and faults that a test can inject.

    Attributes:
        address: ``ip:port`` once it is open.
        status: Status with which calls are rejected; 0 for none.
        is_silent: Whether calls get no answer.
        forgets_history: Whether the next feed call is answered that the
            history is gone.
        delay_s: Delay of each answer.
        loses_answers: Whether writes are applied and their answers lost.
        calls: Paths of the calls that arrived.
        waiting_calls: Tables of the change feed calls that wait now.
        era: Number of the restores, as each answer states.
        version: Newest version.
    """

    def __init__(self) -> None:
        self.address = ""
        self.era = 0
        self.version = 0
        self.status = 0
        self.is_silent = False
        self.forgets_history = False
        self.delay_s = 0.0
        self.loses_answers = False
        self.calls: list[str] = []
        self.waiting_calls: list[str] = []
        self._rows: dict[tuple[str, str], Row] = {}
        self._changes: list[tuple[str, Row]] = []
        self._dropped_version = 0
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._servers: list[asyncio.Server] = []

    async def open(self, host: str = "127.0.0.1") -> None:
        endpoint = await self.open_endpoint(host)
        self.address = endpoint.address

    async def open_endpoint(self, host: str = "127.0.0.1") -> Endpoint:
        """Opens another address, which can be silent on its own."""
        endpoint = Endpoint()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(endpoint, reader, writer)

        server = await asyncio.start_server(serve, host, 0)
        self._servers.append(server)
        port = server.sockets[0].getsockname()[1]
        endpoint.address = f"{host}:{port}"
        return endpoint

    def close(self) -> None:
        for server in self._servers:
            server.close()

    def put(self, table: str, key: str, value: object) -> None:
        """Writes a row; a value other than bytes is encoded as JSON."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.version += 1
        row: Row = {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "ver": self.version,
        }
        self._rows[table, key] = row
        self._append_change(table, row)

    def remove(self, table: str, key: str) -> None:
        """Removes a row."""
        self.version += 1
        del self._rows[table, key]
        row: Row = {"table": table, "part": "", "key": key}
        self._append_change(
            table, {**row, "ver": self.version, "removed": True}
        )

    def drop_history(self) -> None:
        """Drops all changes up to now; feed calls that need them get 410."""
        self._dropped_version = self.version

    def restore(self, version: int) -> None:
        """Comes back from a copy that was taken at an earlier version.

        Connections are reset, and later versions are given out again.
        """
        changes = [item for item in self._changes if item[1]["ver"] <= version]
        self._rows = {}
        for table, row in changes:
            if row.get("removed"):
                self._rows.pop((table, row["key"]), None)
            else:
                self._rows[table, row["key"]] = row
        self._changes = changes
        self.version = version
        self.era += 1
        for writer in self._writers:
            writer.transport.abort()

    def read(self, table: str) -> dict[str, bytes]:
        """Returns the rows of a table."""
        return {
            key: base64.b64decode(row["value"])
            for (name, key), row in self._rows.items()
            if name == table
        }

    def _append_change(self, table: str, row: Row) -> None:
        self._changes.append((table, row))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self,
        endpoint: Endpoint,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while (request := await wire.read_request(reader)) is not None:
                await self._answer(endpoint, request, writer)
        self._writers.discard(writer)
        writer.close()

    async def _answer(
        self,
        endpoint: Endpoint,
        request: wire.Request,
        writer: asyncio.StreamWriter,
    ) -> None:
        url = parse.urlsplit(request.url)
        self.calls.append(url.path)
        endpoint.calls.append(url.path)
        if self.is_silent or endpoint.is_silent:
            await asyncio.sleep(3600)
        await asyncio.sleep(self.delay_s)
        if self.status:
            wire.write_answer(writer, self.status, self._make_headers(), b"")
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
            body = {"ver": self.version, "nowMs": 0}
            if self.loses_answers:
                writer.transport.abort()
                return
        else:
            status = 404
        if self.is_silent or endpoint.is_silent:
            await asyncio.sleep(3600)
        raw = json.dumps(body).encode()
        wire.write_answer(writer, status, self._make_headers(), raw)

    def _make_headers(self) -> dict[str, str]:
        return {"Store-Era": str(self.era)}

    def _get(self, table: str) -> dict[str, object]:
        rows = [row for (name, _), row in self._rows.items() if name == table]
        return {
            "rows": rows,
            "hasMore": False,
            "ver": self.version,
            "nowMs": 0,
        }

    async def _feed(
        self, query: dict[str, str]
    ) -> tuple[int, dict[str, object]]:
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query["waitMs"]) / 1000
        if int(query["after"]) < self._dropped_version:
            return 410, {}
        while True:
            if int(query["after"]) > self.version:
                return 410, {}
            if self.forgets_history:
                self.forgets_history = False
                return 410, {}
            rows = [
                row
                for table, row in self._changes
                if table == query["table"] and row["ver"] > int(query["after"])
            ]
            if rows or loop.time() >= until:
                return 200, {"rows": rows, "ver": self.version, "nowMs": 0}
            self.waiting_calls.append(query["table"])
            try:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout_at(until):
                        await self._changed.wait()
            finally:
                self.waiting_calls.remove(query["table"])
