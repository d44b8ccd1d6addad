"""How a relay daemon speaks to what is around it."""

import msgspec

from mothpass.ports import relay
from mothpass.ports import replicas


class Ports(msgspec.Struct, frozen=True, kw_only=True):
    """How the daemon speaks to what is around it.

    Attributes:
        operator_table: Table of the operator's document.
        target_table: Table of the targets' entries.
        read_table: Reads a table.
        follow_table: Waits for changes of a table.
        write_row: Writes a row.
        read_request: Reads a client's request.
        write_request: Writes a target's request.
        read_answer_head: Reads the head of a target's answer.
    """

    operator_table: str
    target_table: str
    read_table: replicas.ReadTable
    follow_table: replicas.WatchTable
    write_row: replicas.WriteRow
    read_request: relay.ReadRequest
    write_request: relay.WriteRequest
    read_answer_head: relay.ReadAnswerHead
