"""Bundles the adapters of a relay daemon to its platform."""

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
    read_request: relay.ReadRequest
    write_request: relay.WriteRequest
    read_answer_head: relay.ReadAnswerHead
