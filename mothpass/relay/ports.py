"""Bundles the adapters of a relay daemon to its platform."""

from collections import abc

import msgspec

from mothpass.ports import relay
from mothpass.ports import replicas


class Ports(msgspec.Struct, frozen=True, kw_only=True):
    """Adapters of a relay daemon to its platform.

    Attributes:
        operator_table: Name of the table with the operator's document.
        target_table: Name of the table with the targets' entries.
        compare_operator_values: Compares values of the operator's table.
        compare_target_values: Compares values of the targets' table.
        read_table: Reads a whole table.
        follow_table: Calls the change feed of a table.
        write_row: Writes a row.
        drop_store_connections: Makes the next call to the store open a new
            connection.
        read_request: Decodes a client's request.
        write_request: Encodes the request to a target.
        read_answer_head: Decodes the head of a target's answer.
    """

    operator_table: str
    target_table: str
    compare_operator_values: replicas.CompareValues
    compare_target_values: replicas.CompareValues
    read_table: replicas.ReadTable
    follow_table: replicas.WatchTable
    write_row: replicas.WriteRow
    drop_store_connections: abc.Callable[[], None]
    read_request: relay.ReadRequest
    write_request: relay.WriteRequest
    read_answer_head: relay.ReadAnswerHead
