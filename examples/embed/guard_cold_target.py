"""Guards a target that has just started, with lease and gate alone.

Run it by ``python examples/embed/guard_cold_target.py``.
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

    In a fleet the lease's write goes to a table service that compares
    versions; here it is taken as committed.
    """
    table = gate_table.GateTable(
        instance_id="embedded",
        find_start=lambda _: COLD_START,
        call_limit_ms=30_000,
    )
    lease = table.leases[gate_table.find_partition(_TARGET)]
    step = lease.plan(candidate=True, now=now)
    assert isinstance(step, leases.Read)
    lease.record_row(None, now)
    take = lease.plan(candidate=True, now=now)
    assert isinstance(take, leases.Take)
    lease.record_committed(take, now)
    for boot_id, moment in (("boot-0", now + 0.5), (_BOOT, now + 1.0)):
        table.record_load(
            targets.LoadRecord(
                target_id=_TARGET,
                boot_id=boot_id,
                phase=targets_port.Phase.COLD,
                running=0,
                queued=0,
                received_at=moment,
            )
        )
    return table


def count_grants(table: gate_table.GateTable, asked: int, now: float) -> int:
    """Asks for so many permits; returns how many were granted."""
    request = gates.GrantRequest(target_id=_TARGET, boot_id=_BOOT, call_ms=5000)
    replies = [table.grant(request, now=now) for _ in range(asked)]
    return sum(isinstance(reply, gates.Granted) for reply in replies)


def main() -> None:
    """Shows that a cold target gets no more than it bears."""
    table = build_gate(now=0.0)
    granted = count_grants(table, asked=100, now=2.0)
    print(f"100 asked, {granted} granted; it bears {COLD_START.in_flight},")
    print("of which the holders of the reserve keep the rest")


if __name__ == "__main__":
    main()
