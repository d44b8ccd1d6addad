"""Client of the platform's metadata store."""

import asyncio
import base64
import binascii
from urllib import parse

import msgspec

from mothpass.adapters import http_fetch
from mothpass.adapters import http_pool
from mothpass.core import decoding
from mothpass.core import errors
from mothpass.core import store_versions
from mothpass.ports import replicas

# Times until an answer starts; its body may take as long as it arrives. The
# store answers within 4 ms, and within half a second when it is slow.
CALL_TIMEOUT_S = 1.5
# For change feed calls, in addition to their wait; changes are delayed if a
# silent store is detected late.
FEED_TIMEOUT_MARGIN_S = 0.7
_PAGE_ROWS = 500
_GONE = 410
_ERA_HEADER = b"store-era"


class _Row(msgspec.Struct, kw_only=True):
    """A row in an answer of the store."""

    key: str
    ver: int
    part: str = ""
    value: str | None = None
    removed: bool = False


class _Rows(msgspec.Struct, kw_only=True, rename="camel"):
    """An answer of the store with rows."""

    ver: int
    rows: list[_Row] = []
    has_more: bool = False


class Store:
    """Client of the store."""

    __slots__ = ("_address", "_era", "_pool")

    def __init__(self, *, address: str, pool: http_pool.ConnectionPool) -> None:
        """Creates a client.

        Args:
            address: ``ip:port`` of the store.
            pool: Pool of connections.
        """
        self._address = address
        self._pool = pool
        # The highest era that an answer of the store had.
        self._era = 0

    def set_address(self, address: str) -> None:
        """Sets the ``ip:port`` of the store for the next calls."""
        self._address = address

    def drop_connections(self) -> None:
        """See ``ports.Ports``."""
        self._pool.drop_idle(self._address)

    async def read_table(self, table: str) -> replicas.Page:
        """See ``replicas.ReadTable``."""
        rows: list[replicas.Row] = []
        version = store_versions.NONE
        start = ""
        while True:
            query = {"table": table, "part": "", "limit": str(_PAGE_ROWS)}
            if start:
                query["from"] = start
            era, body = await self._get("/-/rows-get", query)
            page = _decode_rows(body)
            if version and era != store_versions.get_era(version):
                raise errors.StoreUnavailableError("restored during a read")
            rows += _convert_rows(page.rows, era)
            # Rows that change between two pages are sent again by the change
            # feed, which is read from the first page's version on.
            version = version or store_versions.make_version(era, page.ver)
            if not page.has_more or not page.rows:
                return replicas.Page(version=version, rows=rows, is_whole=True)
            start = page.rows[-1].key + "\0"

    async def follow_table(
        self, table: str, after: store_versions.Version, wait_s: float
    ) -> replicas.Page | None:
        """See ``replicas.WatchTable``."""
        query = {
            "table": table,
            "after": str(store_versions.get_number(after)),
            "waitMs": str(int(wait_s * 1000)),
        }
        timeout_s = wait_s + FEED_TIMEOUT_MARGIN_S
        self._era = max(self._era, store_versions.get_era(after))
        era, body = await self._get("/-/rows-feed", query, timeout_s)
        if body is None or era > store_versions.get_era(after):
            return None
        page = _decode_rows(body)
        return replicas.Page(
            version=store_versions.make_version(era, page.ver),
            rows=_convert_rows(page.rows, era),
            is_whole=False,
        )

    async def write_row(self, table: str, key: str, value: bytes) -> None:
        """See ``replicas.WriteRow``."""
        entry = {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(value).decode(),
        }
        body = msgspec.json.encode(
            {"expectedRev": [], "writes": [entry], "deletes": []}
        )
        head = (
            f"POST /-/rows-tx HTTP/1.1\r\nhost: {self._address}\r\n"
            "content-type: application/json\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        await self._call(head.encode() + body, CALL_TIMEOUT_S)

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, bytes | None]:
        """Returns the era and body of an answer; see ``_call``."""
        url = f"{path}?{parse.urlencode(query)}"
        head = f"GET {url} HTTP/1.1\r\nhost: {self._address}\r\n\r\n"
        return await self._call(head.encode(), timeout_s)

    async def _call(
        self, request: bytes, timeout_s: float
    ) -> tuple[int, bytes | None]:
        """Returns the era of an answer and its body, None without history.

        Raises:
            errors.StoreUnavailableError: If the call had no effect, or the
                answer is from before a restore that is known already.
            errors.StoreUnconfirmedError: If the answer was lost.
        """
        now = asyncio.get_running_loop().time()
        try:
            reply = await http_fetch.fetch(
                self._pool,
                self._address,
                request,
                deadline=now + timeout_s,
            )
        except errors.TargetUnreachableError as error:
            raise errors.StoreUnavailableError(str(error)) from error
        except errors.TargetAnswerLostError as error:
            raise errors.StoreUnconfirmedError(str(error)) from error
        if reply.status not in (200, _GONE):
            raise errors.StoreUnavailableError(f"status {reply.status}")
        era = _decode_era(reply.headers.get(_ERA_HEADER, b"0"))
        if era < self._era:
            raise errors.StoreUnavailableError("answer from before a restore")
        self._era = era
        return era, None if reply.status == _GONE else reply.body


def _decode_era(value: bytes) -> int:
    if not value.isdigit() or int(value) > store_versions.MAX_ERA:
        raise errors.StoreUnavailableError(f"invalid era {value!r}")
    return int(value)


def _decode_rows(body: bytes | None) -> _Rows:
    try:
        return decoding.decode_json(body or b"", _Rows)
    except errors.MalformedInputError as error:
        raise errors.StoreUnavailableError(f"rows: {error}") from error


def _convert_rows(rows: list[_Row], era: int) -> list[replicas.Row]:
    return [
        replicas.Row(
            key=row.key,
            version=store_versions.make_version(era, row.ver),
            value=_decode_value(row),
        )
        for row in rows
        if not row.part
    ]


def _decode_value(row: _Row) -> bytes | None:
    if row.removed or row.value is None:
        return None
    try:
        return base64.b64decode(row.value, validate=True)
    except (binascii.Error, ValueError):
        # An empty value, which every decoder of rows rejects.
        return b""
