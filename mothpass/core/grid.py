"""Who sends control batches to whom.

A small fleet is a full mesh: every daemon sends what it measured to every
other. A large one is a grid: a daemon sends what it measured to its row, and
what its row measured to its column. Each record so reaches every daemon once,
in two ticks, while a daemon exchanges batches with about 2 * sqrt(n) others
in place of n.

Every daemon computes the grid from its own view of the membership list. Where
views differ for a moment some records arrive twice or not at all; the next
ticks carry newer ones.
"""

from collections import abc
import math

import msgspec
import xxhash

# Up to this many daemons the full mesh costs less than the relay saves.
MESH_DAEMONS = 16


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """The neighbours of one daemon.

    Attributes:
        row: Daemons that get what this daemon measured itself.
        column: Daemons that get what this daemon's whole row measured.
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
    mesh_daemons: int = MESH_DAEMONS,
) -> Plan:
    """Returns the neighbours of a daemon.

    Args:
        own_id: Id of the daemon that plans.
        daemons: Ids of all live daemons of the region, with or without it.
        unreachable: Daemons that it can't reach now; another of their row
            does their part as relay.
        mesh_daemons: Largest fleet that is a full mesh.
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
    """Orders daemons by hash, so that a zone's daemons spread over rows."""
    return xxhash.xxh64_intdigest(daemon_id.encode()), daemon_id


def _find_served_columns(
    row: list[str], own_id: str, columns: int, unreachable: abc.Set[str]
) -> list[int]:
    """Returns the columns that a daemon relays its row's records to.

    Column c belongs to the daemon at place c of the row, or to the next one
    after it, cyclically, that is present and reachable.
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
