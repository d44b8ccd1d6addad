"""Measures the cost of the control plane per daemon and how it grows.

Without clients a daemon does control work only, so its processor time and the
bytes of its TCP connections are read from the kernel. The datagrams between
daemons are counted by the daemons themselves.
"""

from collections import abc
import contextlib
import time

import msgspec

from bench import live_figures
from bench import live_fleet
from bench import live_usage

DAEMONS = 8
TARGETS = 10
WINDOW_S = 10.0
MAX_BYTES_PER_S = 4000.0
MAX_CORE_SHARE = 0.011
ENGINES = 5
NOMINAL_REQUESTS_PER_S = 59
LOAD_STREAMS = 112
_BYTES_PER_MIB = 1 << 20


class ControlCost(msgspec.Struct, frozen=True, kw_only=True):
    """Mean control cost of a daemon over a window.

    Attributes:
        core_share: Processor seconds per second.
        sent_per_s: Bytes sent over TCP per second.
        received_per_s: Bytes received over TCP per second.
        peer_bytes_per_s: Bytes to and from peers per second.
        messages_per_s: Messages to and from peers per second.
        memory_mib: Resident memory in MiB.
    """

    core_share: float
    sent_per_s: float
    received_per_s: float
    peer_bytes_per_s: float
    messages_per_s: float
    memory_mib: float

    @property
    def bytes_per_s(self) -> float:
        """Bytes sent and received per second over TCP and in datagrams."""
        tcp_per_s = self.sent_per_s + self.received_per_s
        return tcp_per_s + self.peer_bytes_per_s


def measure() -> abc.Iterator[live_figures.Figure]:
    """Yields the cost at the current fleet size and at other sizes."""
    current = _measure_idle(daemons=DAEMONS, targets=TARGETS, teams=10)
    yield _build_figure(
        "control bytes a second, idle", current.bytes_per_s, current
    )
    yield _build_figure(
        "control share of a core, idle", current.core_share, current
    )
    yield _measure_loaded()
    for name, size in _SIZES.items():
        larger = _measure_idle(**size)
        yield _build_figure(
            f"control bytes a second, idle, {name}", None, larger
        )


def _measure_loaded() -> live_figures.Figure:
    """Returns the bytes to and from peers while clients send at full rate."""
    with contextlib.ExitStack() as stack:
        addresses = [
            live_fleet.start_engine(stack, number) for number in range(ENGINES)
        ]
        fleet = live_fleet.ProcessFleet(
            stack=stack, daemons=DAEMONS, targets=addresses
        )
        outcome = live_fleet.run_load(fleet, streams=LOAD_STREAMS)
        control_statuses = [
            fleet.read_status(number)["control"] for number in range(DAEMONS)
        ]
    peer_bytes = sum(float(item["bytes_per_s"]) for item in control_statuses)
    messages = sum(float(item["messages_per_s"]) for item in control_statuses)
    rate = outcome.answers / outcome.seconds / DAEMONS
    return live_figures.Figure(
        measure="control bytes a second to peers, under load",
        value=round(peer_bytes / DAEMONS),
        bound=None,
        detail={
            "messages_per_s": round(messages / DAEMONS, 1),
            "requests_per_s": round(rate, 1),
            "target_requests_per_s": NOMINAL_REQUESTS_PER_S,
            "broken": outcome.broken,
        },
    )


_SIZES: dict[str, dict[str, int]] = {
    "4 daemons": {"daemons": 4, "targets": TARGETS, "teams": 10},
    "16 daemons": {"daemons": 16, "targets": TARGETS, "teams": 10},
    "25 daemons (grid)": {"daemons": 25, "targets": TARGETS, "teams": 10},
    "36 daemons (grid)": {"daemons": 36, "targets": TARGETS, "teams": 10},
    "200 targets": {"daemons": DAEMONS, "targets": 200, "teams": 10},
    "2000 teams": {"daemons": DAEMONS, "targets": TARGETS, "teams": 2000},
}


def _build_figure(
    name: str, value: float | None, cost: ControlCost
) -> live_figures.Figure:
    bounds = {
        "control bytes a second, idle": MAX_BYTES_PER_S,
        "control share of a core, idle": MAX_CORE_SHARE,
    }
    return live_figures.Figure(
        measure=name,
        value=round(cost.bytes_per_s if value is None else value, 4),
        bound=bounds.get(name),
        detail={
            "core_share": round(cost.core_share, 4),
            "sent_per_s": round(cost.sent_per_s),
            "received_per_s": round(cost.received_per_s),
            "peer_bytes_per_s": round(cost.peer_bytes_per_s),
            "messages_per_s": round(cost.messages_per_s, 1),
            "memory_mib": round(cost.memory_mib, 1),
        },
    )


def _measure_idle(*, daemons: int, targets: int, teams: int) -> ControlCost:
    """Returns the mean cost of the daemons of a fleet without clients."""
    with contextlib.ExitStack() as stack:
        addresses = live_fleet.start_targets(stack, targets)
        fleet = live_fleet.ProcessFleet(
            stack=stack, daemons=daemons, targets=addresses, teams=teams
        )
        return _measure_window(fleet)


def _measure_window(fleet: live_fleet.ProcessFleet) -> ControlCost:
    pids = [item.popen.pid for item in fleet.daemons]
    before = [live_usage.read_usage(pid) for pid in pids]
    began = time.monotonic()
    time.sleep(WINDOW_S)
    after = [live_usage.read_usage(pid) for pid in pids]
    seconds = time.monotonic() - began
    total = len(pids) * seconds

    def mean_rate(
        read: abc.Callable[[live_usage.ResourceUsage], float],
    ) -> float:
        return (sum(map(read, after)) - sum(map(read, before))) / total

    control_statuses = [
        fleet.read_status(number)["control"] for number in range(len(pids))
    ]
    messages = [float(item["messages_per_s"]) for item in control_statuses]
    peer_bytes = [float(item["bytes_per_s"]) for item in control_statuses]
    memory = sum(item.memory_bytes for item in after) / len(pids)
    return ControlCost(
        core_share=mean_rate(lambda item: item.processor_s),
        sent_per_s=mean_rate(lambda item: item.sent_bytes),
        received_per_s=mean_rate(lambda item: item.received_bytes),
        peer_bytes_per_s=sum(peer_bytes) / len(peer_bytes),
        messages_per_s=sum(messages) / len(messages),
        memory_mib=memory / _BYTES_PER_MIB,
    )
