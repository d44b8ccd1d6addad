"""HTTP adapter of the table service."""

import msgspec

from mothpass.adapters import platform_http
from mothpass.core import decoding
from mothpass.core import errors
from mothpass.ports import tables

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409


class Tables(msgspec.Struct, frozen=True, kw_only=True):
    """Functions of the table service.

    Attributes:
        read_row: Reads one row.
        scan_rows: Reads the rows whose keys have a prefix.
        transact: Runs a transaction.
    """

    read_row: tables.ReadRow
    scan_rows: tables.ScanRows
    transact: tables.Transact


class _RowList(msgspec.Struct, frozen=True, kw_only=True):
    rows: list[tables.Row]


class _Transaction(msgspec.Struct, frozen=True, kw_only=True):
    writes: list[tables.Write]


def build_tables(client: platform_http.PlatformClient) -> Tables:
    """Returns the functions of the table service that a client reaches."""

    async def read_row(table: str, key: str) -> tables.Row | None:
        path = f"{_build_path(table)}/{platform_http.quote(key)}"
        reply = await client.read(path)
        if reply.status == _NOT_FOUND:
            return None
        return platform_http.decode_read(reply, tables.Row)

    async def scan_rows(
        table: str, prefix: str, limit: int
    ) -> list[tables.Row]:
        query = f"prefix={platform_http.quote(prefix)}&limit={limit}"
        reply = await client.read(f"{_build_path(table)}?{query}")
        return platform_http.decode_read(reply, _RowList).rows

    async def transact(
        writes: list[tables.Write],
    ) -> tables.Committed | tables.Conflict:
        body = msgspec.json.encode(_Transaction(writes=writes))
        reply = await client.write("POST", "/v1/transact", body)
        return _decode_outcome(reply)

    return Tables(read_row=read_row, scan_rows=scan_rows, transact=transact)


def _build_path(table: str) -> str:
    return f"/v1/tables/{platform_http.quote(table)}/rows"


def _decode_outcome(
    reply: platform_http.Reply,
) -> tables.Committed | tables.Conflict:
    if reply.status == _OK:
        return tables.Committed()
    if reply.status != _CONFLICT:
        raise errors.StoreUnavailableError(
            f"transaction failed with HTTP status {reply.status}"
        )
    try:
        return decoding.decode_json(reply.body, tables.Conflict)
    except msgspec.DecodeError as error:
        raise errors.StoreUnconfirmedError(str(error)) from error
