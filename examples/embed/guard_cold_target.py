"""Limits a cold target's load with the lease and gate of mothpass.core alone.

Run it with ``python examples/embed/guard_cold_target.py``.
"""

from mothpass.core import catalogue
from mothpass.core import gate_table
from mothpass.core import gates
from mothpass.core import leases
from mothpass.core import targets
from mothpass.ports import targets as targets_port

COLD_START = catalogue.ColdStart(
    in_flight=4, answers_per_step=2, warm_in_flight=16
)
_TARGET = "runner-1"
_BOOT = "boot-1"


def build_gate(now: float) -> gate_table.GateTable:
    """Returns a gate that holds its lease and has seen the target start.

    In a fleet the lease's write is a conditional write to a table service;
    here it is treated as committed.
    """
    table = gate_table.GateTable(
        instance_id="embedded",
        find_start=lambda _: COLD_START,
        call_limit_ms=30_000,
    )
    lease = table.leases[gate_table.find_partition(_TARGET)]
    read_step = lease.plan(candidate=True, now=now)
    assert isinstance(read_step, leases.Read)
    lease.record_row(None, now)
    take_step = lease.plan(candidate=True, now=now)
    assert isinstance(take_step, leases.Take)
    lease.record_committed(take_step, now)
    for boot_id, report_at in (("boot-0", now + 0.5), (_BOOT, now + 1.0)):
        table.record_load(
            targets.LoadRecord(
                target_id=_TARGET,
                boot_id=boot_id,
                phase=targets_port.Phase.COLD,
                running=0,
                queued=0,
                received_at=report_at,
            )
        )
    return table


def count_grants(table: gate_table.GateTable, count: int, now: float) -> int:
    """Requests a number of permits and returns how many were granted."""
    request = gates.GrantRequest(target_id=_TARGET, boot_id=_BOOT, call_ms=5000)
    replies = [table.grant(request, now=now) for _ in range(count)]
    return sum(isinstance(reply, gates.Granted) for reply in replies)


def main() -> None:
    """Prints that a cold target gets no more than its limit."""
    table = build_gate(now=0.0)
    granted = count_grants(table, count=100, now=2.0)
    print(f"100 asked, {granted} granted; its limit is {COLD_START.in_flight},")
    print("of which the holders of the reserve keep the rest")


if __name__ == "__main__":
    main()
