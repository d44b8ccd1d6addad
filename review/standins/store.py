"""Stand-in of the platform's store: linearizable rows and their feed."""

import asyncio
import base64
import contextlib
import json
import typing
from urllib import parse

from review.standins import wire

Row = dict[str, typing.Any]


class Store:
    """Rows in memory.

    Attributes:
        address: ``ip:port`` once it is open.
        version: Version of the newest transaction.
    """

    def __init__(self) -> None:
        """Starts without rows."""
        self.address = ""
        self.version = 0
        self._rows: dict[tuple[str, str], Row] = {}
        self._changes: list[Row] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def open(self, host: str) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def put(self, table: str, key: str, value: bytes) -> None:
        """Writes a row; the return is the acknowledgement."""
        self.version += 1
        row = _make_row(table, key, self.version)
        row["value"] = base64.b64encode(value).decode()
        self._rows[table, key] = row
        self._publish(row)

    def read(self, table: str, key: str) -> bytes | None:
        """Returns the value of a row, None without one."""
        row = self._rows.get((table, key))
        return None if row is None else base64.b64decode(row["value"])

    def remove(self, table: str, key: str) -> None:
        """Removes a row."""
        if self._rows.pop((table, key), None) is not None:
            self.version += 1
            row = _make_row(table, key, self.version)
            row["removed"] = True
            self._publish(row)

    def _publish(self, row: Row) -> None:
        self._changes.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        headers = {"Content-Type": "application/json"}
        try:
            while True:
                request = await wire.read_request(reader)
                status, body = await self._answer(request)
                data = json.dumps(body).encode()
                writer.write(wire.encode_answer(status, headers, data))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: wire.Message) -> tuple[int, Row]:
        url = parse.urlsplit(request.url)
        query = dict(parse.parse_qsl(url.query, keep_blank_values=True))
        # The platform's store takes 4 ms for an answer.
        await asyncio.sleep(0.004)
        if url.path == "/-/rows-get":
            return 200, self._get(query)
        if url.path == "/-/rows-feed":
            return 200, await self._follow(query)
        if url.path == "/-/rows-tx":
            return self._apply(json.loads(request.body))
        return 404, {}

    def _get(self, query: dict[str, str]) -> Row:
        rows = sorted(
            (
                row
                for (table, key), row in self._rows.items()
                if table == query["table"] and key >= query.get("from", "")
            ),
            key=lambda row: str(row["key"]),
        )
        limit = int(query.get("limit", "500"))
        return self._stamp({"rows": rows[:limit], "hasMore": len(rows) > limit})

    async def _follow(self, query: dict[str, str]) -> Row:
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query.get("waitMs", "0")) / 1000
        while True:
            rows = [
                row
                for row in self._changes
                if row["table"] == query["table"]
                and row["ver"] > int(query["after"])
            ]
            if rows or loop.time() >= until:
                return self._stamp({"rows": rows})
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(until):
                    await self._changed.wait()

    def _apply(self, call: Row) -> tuple[int, Row]:
        for row in call.get("expectedRev", []):
            known = self._rows.get((row["table"], row["key"]))
            if (known["ver"] if known else 0) != row["ver"]:
                return 412, self._stamp({"rows": [known] if known else []})
        for row in [*call.get("writes", []), *call.get("deletes", [])]:
            if row["table"] in ("op", "servers"):
                return 403, {}
        for row in call.get("writes", []):
            value = base64.b64decode(row["value"])
            self.put(row["table"], row["key"], value)
        for row in call.get("deletes", []):
            self.remove(row["table"], row["key"])
        return 200, self._stamp({})

    def _stamp(self, answer: Row) -> Row:
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        return {**answer, "ver": self.version, "nowMs": now_ms}


def _make_row(table: str, key: str, version: int) -> Row:
    return {"table": table, "part": "", "key": key, "ver": version}
