"""A table service: rows with versions, changed by conditional transactions."""

import time
import urllib.parse

import blacksheep
import msgspec
import sortedcontainers

from mothpass.ports import tables
from mothpass.standin import bodies
from mothpass.standin import faults
from mothpass.standin import servers
from mothpass.standin import settings

_DEFAULT_SCAN_ROWS = 1000


class SentWrite(msgspec.Struct, frozen=True, kw_only=True):
    """One conditional write as sent; ``null`` as value deletes the row."""

    table: str
    key: str
    expected_version: int
    value: msgspec.Raw

    def to_write(self) -> tables.Write:
        """Returns the write with a value of its own."""
        deletes = bytes(self.value).strip() == b"null"
        return tables.Write(
            table=self.table,
            key=self.key,
            expected_version=self.expected_version,
            value=None if deletes else self.value.copy(),
        )


class Transaction(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a transaction.

    Attributes:
        writes: Conditional writes, all or none of which take effect.
    """

    writes: list[SentWrite]


class RowList(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a scan."""

    rows: list[tables.Row]


class Counts(msgspec.Struct, kw_only=True):
    """What the service was asked since it started.

    Attributes:
        reads: Reads and scans that were answered.
        commits: Transactions that took effect.
        conflicts: Transactions that met another version.
        throttled: Calls refused by a rate limit.
    """

    reads: int = 0
    commits: int = 0
    conflicts: int = 0
    throttled: int = 0


class TokenBucket:
    """Lets calls through at a rate, with bursts of one second's worth."""

    __slots__ = ("_at", "_level", "_rate_per_s")

    def __init__(self, *, rate_per_s: float, now: float) -> None:
        """Starts full.

        Args:
            rate_per_s: Calls a second.
            now: Monotonic seconds.
        """
        self._rate_per_s = rate_per_s
        self._level = max(rate_per_s, 1.0)
        self._at = now

    def take(self, *, now: float) -> bool:
        """Tells whether a call may pass now, and counts it if so."""
        gained = (now - self._at) * self._rate_per_s
        self._level = min(self._level + gained, max(self._rate_per_s, 1.0))
        self._at = now
        if self._level < 1:
            return False
        self._level -= 1
        return True


class Store:
    """Tables in memory."""

    __slots__ = ("_tables",)

    def __init__(self) -> None:
        """Starts without rows."""
        self._tables: dict[str, sortedcontainers.SortedDict] = {}

    def read(self, table: str, key: str) -> tables.Row | None:
        """Returns one row, None where there is none."""
        row: tables.Row | None = self._rows(table).get(key)
        return row

    def scan(self, table: str, prefix: str, limit: int) -> list[tables.Row]:
        """Returns rows whose key starts with a prefix, in key order."""
        rows = self._rows(table)
        found: list[tables.Row] = []
        for key in rows.irange(minimum=prefix):
            if not key.startswith(prefix) or len(found) >= limit:
                break
            found.append(rows[key])
        return found

    def transact(self, writes: list[tables.Write]) -> tables.Conflict | None:
        """Applies all writes, or none where a row has another version.

        Returns:
            The first conflict, None where all took effect.
        """
        for write in writes:
            row = self.read(write.table, write.key)
            version = 0 if row is None else row.version
            if version != write.expected_version:
                return tables.Conflict(
                    table=write.table, key=write.key, version=version
                )
        for write in writes:
            self._apply(write)
        return None

    def _apply(self, write: tables.Write) -> None:
        rows = self._rows(write.table)
        if write.value is None:
            rows.pop(write.key, None)
            return
        rows[write.key] = tables.Row(
            key=write.key,
            version=write.expected_version + 1,
            value=write.value,
        )

    def _rows(self, table: str) -> sortedcontainers.SortedDict:
        return self._tables.setdefault(table, sortedcontainers.SortedDict())


class Throttle:
    """Rate limits of reads and writes and what they counted."""

    __slots__ = ("_reads", "_writes", "counts")

    def __init__(self, *, options: settings.TableSettings, now: float) -> None:
        """Starts with full buckets."""
        self._reads = TokenBucket(rate_per_s=options.reads_per_s, now=now)
        self._writes = TokenBucket(rate_per_s=options.writes_per_s, now=now)
        self.counts = Counts()

    def refuse_read(self) -> blacksheep.Response | None:
        """Returns the refusal of a read past the limit, None within it."""
        return self._refuse(self._reads)

    def refuse_write(self) -> blacksheep.Response | None:
        """Returns the refusal of a write past the limit, None within it."""
        return self._refuse(self._writes)

    def _refuse(self, bucket: TokenBucket) -> blacksheep.Response | None:
        if bucket.take(now=time.monotonic()):
            return None
        self.counts.throttled += 1
        return bodies.refuse(429, "rate limit")


def build_app(options: settings.TableSettings) -> blacksheep.Application:
    """Builds the application of a table service."""
    app = blacksheep.Application(router=blacksheep.Router())
    store = Store()
    throttle = Throttle(options=options, now=time.monotonic())
    _add_reads(app.router, store, throttle)
    _add_writes(app.router, store, throttle)
    return app


def _add_reads(
    router: blacksheep.Router, store: Store, throttle: Throttle
) -> None:
    @router.get("/v1/tables/{table}/rows")
    async def scan(request: blacksheep.Request) -> blacksheep.Response:
        refusal = throttle.refuse_read()
        if refusal is not None:
            return refusal
        throttle.counts.reads += 1
        table = bodies.read_part(request, "table")
        prefix = bodies.read_query(request, "prefix") or ""
        limit = bodies.read_query(request, "limit") or str(_DEFAULT_SCAN_ROWS)
        rows = store.scan(table, prefix, int(limit))
        return bodies.answer_json(200, RowList(rows=rows))

    @router.get("/v1/tables/{table}/rows/*")
    async def read(request: blacksheep.Request) -> blacksheep.Response:
        refusal = throttle.refuse_read()
        if refusal is not None:
            return refusal
        throttle.counts.reads += 1
        table = bodies.read_part(request, "table")
        row = store.read(table, _read_key(request))
        if row is None:
            return bodies.refuse(404, "no such row")
        return bodies.answer_json(200, row)

    @router.get("/v1/counts")
    async def show_counts() -> blacksheep.Response:
        return bodies.answer_json(200, throttle.counts)


def _add_writes(
    router: blacksheep.Router, store: Store, throttle: Throttle
) -> None:
    @router.post("/v1/transact")
    async def transact(request: blacksheep.Request) -> blacksheep.Response:
        refusal = throttle.refuse_write()
        if refusal is not None:
            return refusal
        body = await bodies.read_json(request, Transaction)
        if body is None:
            return bodies.refuse(400, "not a transaction")
        conflict = store.transact([item.to_write() for item in body.writes])
        if conflict is not None:
            throttle.counts.conflicts += 1
            return bodies.answer_json(409, conflict)
        throttle.counts.commits += 1
        return bodies.answer_json(200, {})


def _read_key(request: blacksheep.Request) -> str:
    """Returns the key, from the path as sent so that ``/`` stays in it."""
    raw = request.scope.get("raw_path") or request.url.path
    path = raw.decode("ascii").partition("?")[0]
    key = path.split("/", 5)[5]
    return urllib.parse.unquote(key)


async def run(options: settings.TableSettings) -> None:
    """Serves a table service until it is told to stop."""
    state = faults.FaultState()
    await servers.serve(build_app(options), options.address, state)
