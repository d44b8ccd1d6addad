"""Serves tables of versioned rows with conditional transactions."""

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


class WriteBody(msgspec.Struct, frozen=True, kw_only=True):
    """Conditional write of a transaction; a null value deletes the row."""

    table: str
    key: str
    expected_version: int
    value: msgspec.Raw

    def to_write(self) -> tables.Write:
        """Returns the write with a copy of its value."""
        is_delete = bytes(self.value).strip() == b"null"
        return tables.Write(
            table=self.table,
            key=self.key,
            expected_version=self.expected_version,
            value=None if is_delete else self.value.copy(),
        )


class Transaction(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a transaction.

    Attributes:
        writes: Conditional writes, applied all or none.
    """

    writes: list[WriteBody]


class RowList(msgspec.Struct, frozen=True, kw_only=True):
    """Response to a scan."""

    rows: list[tables.Row]


class Counts(msgspec.Struct, kw_only=True):
    """Request counters since the start of the service.

    Attributes:
        reads: Reads and scans within the rate limit.
        commits: Transactions that were applied.
        conflicts: Transactions rejected by a version conflict.
        throttled: Requests rejected by a rate limit.
    """

    reads: int = 0
    commits: int = 0
    conflicts: int = 0
    throttled: int = 0


class TokenBucket:
    """Token bucket that holds the requests of one second."""

    __slots__ = ("_rate_per_s", "_tokens", "_updated_at")

    def __init__(self, *, rate_per_s: float, now: float) -> None:
        """Initializes a full bucket.

        Args:
            rate_per_s: Requests per second.
            now: Monotonic time in seconds.
        """
        self._rate_per_s = rate_per_s
        self._tokens = max(rate_per_s, 1.0)
        self._updated_at = now

    def take(self, *, now: float) -> bool:
        """Takes a token; returns whether one was available."""
        refilled = (now - self._updated_at) * self._rate_per_s
        self._tokens = min(self._tokens + refilled, max(self._rate_per_s, 1.0))
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Store:
    """In-memory tables."""

    __slots__ = ("_tables",)

    def __init__(self) -> None:
        """Initializes a store without rows."""
        self._tables: dict[str, sortedcontainers.SortedDict] = {}

    def read(self, table: str, key: str) -> tables.Row | None:
        """Returns a row, None if it doesn't exist."""
        row: tables.Row | None = self._get_rows(table).get(key)
        return row

    def scan(self, table: str, prefix: str, limit: int) -> list[tables.Row]:
        """Returns rows whose key starts with a prefix, in key order."""
        rows = self._get_rows(table)
        found: list[tables.Row] = []
        for key in rows.irange(minimum=prefix):
            if not key.startswith(prefix) or len(found) >= limit:
                break
            found.append(rows[key])
        return found

    def transact(self, writes: list[tables.Write]) -> tables.Conflict | None:
        """Applies all writes, or none if a row has another version.

        Returns:
            The first conflict, None if all writes were applied.
        """
        for write in writes:
            row = self.read(write.table, write.key)
            version = 0 if row is None else row.version
            if version != write.expected_version:
                return tables.Conflict(
                    table=write.table, key=write.key, version=version
                )
        for write in writes:
            self._apply_write(write)
        return None

    def _apply_write(self, write: tables.Write) -> None:
        rows = self._get_rows(write.table)
        if write.value is None:
            rows.pop(write.key, None)
            return
        rows[write.key] = tables.Row(
            key=write.key,
            version=write.expected_version + 1,
            value=write.value,
        )

    def _get_rows(self, table: str) -> sortedcontainers.SortedDict:
        return self._tables.setdefault(table, sortedcontainers.SortedDict())


class RateLimiter:
    """Rate limiter of reads and writes with the request counters."""

    __slots__ = ("_reads", "_writes", "counts")

    def __init__(self, *, options: settings.TableSettings, now: float) -> None:
        """Initializes full token buckets."""
        self._reads = TokenBucket(rate_per_s=options.reads_per_s, now=now)
        self._writes = TokenBucket(rate_per_s=options.writes_per_s, now=now)
        self.counts = Counts()

    def check_read(self) -> blacksheep.Response | None:
        """Returns the rejection of a read over the limit, None within it."""
        return self._check(self._reads)

    def check_write(self) -> blacksheep.Response | None:
        """Returns the rejection of a write over the limit, None within it."""
        return self._check(self._writes)

    def _check(self, bucket: TokenBucket) -> blacksheep.Response | None:
        if bucket.take(now=time.monotonic()):
            return None
        self.counts.throttled += 1
        return bodies.build_rejection(429, "rate limit exceeded")


def build_app(options: settings.TableSettings) -> blacksheep.Application:
    """Builds the HTTP application of a table service."""
    app = blacksheep.Application(router=blacksheep.Router())
    store = Store()
    rate_limiter = RateLimiter(options=options, now=time.monotonic())
    _add_read_routes(app.router, store, rate_limiter)
    _add_write_routes(app.router, store, rate_limiter)
    return app


def _add_read_routes(
    router: blacksheep.Router, store: Store, rate_limiter: RateLimiter
) -> None:
    @router.get("/v1/tables/{table}/rows")
    async def scan(request: blacksheep.Request) -> blacksheep.Response:
        rejection = rate_limiter.check_read()
        if rejection is not None:
            return rejection
        rate_limiter.counts.reads += 1
        table = bodies.read_path_parameter(request, "table")
        prefix = bodies.read_query_parameter(request, "prefix") or ""
        limit = bodies.read_query_parameter(request, "limit") or str(
            _DEFAULT_SCAN_ROWS
        )
        rows = store.scan(table, prefix, int(limit))
        return bodies.build_json_response(200, RowList(rows=rows))

    @router.get("/v1/tables/{table}/rows/*")
    async def read(request: blacksheep.Request) -> blacksheep.Response:
        rejection = rate_limiter.check_read()
        if rejection is not None:
            return rejection
        rate_limiter.counts.reads += 1
        table = bodies.read_path_parameter(request, "table")
        row = store.read(table, _read_key(request))
        if row is None:
            return bodies.build_rejection(404, "row not found")
        return bodies.build_json_response(200, row)

    @router.get("/v1/counts")
    async def show_counts() -> blacksheep.Response:
        return bodies.build_json_response(200, rate_limiter.counts)


def _add_write_routes(
    router: blacksheep.Router, store: Store, rate_limiter: RateLimiter
) -> None:
    @router.post("/v1/transact")
    async def transact(request: blacksheep.Request) -> blacksheep.Response:
        rejection = rate_limiter.check_write()
        if rejection is not None:
            return rejection
        body = await bodies.read_json(request, Transaction)
        if body is None:
            return bodies.build_rejection(400, "invalid transaction")
        conflict = store.transact([item.to_write() for item in body.writes])
        if conflict is not None:
            rate_limiter.counts.conflicts += 1
            return bodies.build_json_response(409, conflict)
        rate_limiter.counts.commits += 1
        return bodies.build_json_response(200, {})


def _read_key(request: blacksheep.Request) -> str:
    """Returns the key from the raw path, so that an encoded ``/`` is kept."""
    raw = request.scope.get("raw_path") or request.url.path
    path = raw.decode("ascii").partition("?")[0]
    key = path.split("/", 5)[5]
    return urllib.parse.unquote(key)


async def run(options: settings.TableSettings) -> None:
    """Serves a table service until SIGTERM or SIGINT."""
    state = faults.FaultState()
    await servers.serve(build_app(options), options.address, state)
