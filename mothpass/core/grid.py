"""Plans which daemons exchange control batches.

A small fleet is a full mesh: every daemon sends its records to every other.
A large fleet is a grid: a daemon sends its own records to its row, and the
records of its row to its column. So each record reaches every daemon once,
within two ticks, while a daemon exchanges batches with about 2 * sqrt(n)
others instead of n.

Every daemon computes the grid from its own copy of the membership list. While
the copies differ some records arrive twice or not at all; the next ticks
bring newer ones.
"""

from collections import abc
import math

import msgspec
import xxhash

# Up to this many daemons a full mesh costs less than relaying would save.
MAX_MESH_DAEMONS = 16


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Neighbours of one daemon.

    Attributes:
        row: Daemons that receive this daemon's own records.
        column: Daemons that receive the records of this daemon's whole row.
        origins: Daemons whose records this daemon relays: its row and itself.
    """

    row: frozenset[str]
    column: frozenset[str]
    origins: frozenset[str]


def plan_exchange(
    *,
    own_id: str,
    daemons: abc.Iterable[str],
    unreachable: abc.Set[str] = frozenset(),
    mesh_daemons: int = MAX_MESH_DAEMONS,
) -> Plan:
    """Returns the neighbours of a daemon.

    Args:
        own_id: Id of the daemon.
        daemons: Ids of all live daemons of the region, with or without its
            own.
        unreachable: Daemons that it can't reach now; another daemon of their
            row relays in their place.
        mesh_daemons: Number of daemons up to which the fleet is a full mesh.
    """
    members = sorted({own_id, *daemons}, key=_order_key)
    if len(members) <= mesh_daemons:
        others = frozenset(members) - {own_id}
        return Plan(row=others, column=frozenset(), origins=frozenset({own_id}))
    columns = math.ceil(math.sqrt(len(members)))
    rows = [
        members[start : start + columns]
        for start in range(0, len(members), columns)
    ]
    own_row = next(row for row in rows if own_id in row)
    served = _find_served_columns(own_row, own_id, columns, unreachable)
    column = {
        row[index]
        for row in rows
        if row is not own_row
        for index in served
        if index < len(row)
    }
    return Plan(
        row=frozenset(own_row) - {own_id},
        column=frozenset(column),
        origins=frozenset(own_row),
    )


def _order_key(daemon_id: str) -> tuple[int, str]:
    """Orders daemons by hash, to spread the daemons of a zone over rows."""
    return xxhash.xxh64_intdigest(daemon_id.encode()), daemon_id


def _find_served_columns(
    row: list[str], own_id: str, columns: int, unreachable: abc.Set[str]
) -> list[int]:
    """Returns the columns to which a daemon relays its row's records.

    Column c is served by the daemon at index c of the row or, if that one is
    missing or unreachable, by the next one after it, cyclically.
    """
    served = []
    for column in range(columns):
        for step in range(len(row)):
            relay = row[(column + step) % len(row)]
            if relay == own_id or relay not in unreachable:
                break
        if relay == own_id:
            served.append(column)
    return served
