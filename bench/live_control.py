"""Measures what control costs a daemon, and how the cost grows.

Without callers all that a daemon does is control, so that its processor time
and the bytes of its TCP connections are read from the kernel. The datagrams
between daemons are counted by the daemons themselves.
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
BYTES_BOUND = 4000.0
CORE_BOUND = 0.011
ENGINES = 5
REQUESTS_PER_S = 59
LOAD_STREAMS = 112
_BYTES_PER_MIB = 1 << 20


class Cost(msgspec.Struct, frozen=True, kw_only=True):
    """Mean cost of a daemon over a window.

    Attributes:
        core_share: Processor time a second.
        sent_per_s: Bytes sent a second over TCP.
        received_per_s: Bytes received a second over TCP.
        peer_bytes_per_s: Bytes to and from peers a second.
        messages_per_s: Messages to and from peers a second.
        memory_mib: Resident memory.
    """

    core_share: float
    sent_per_s: float
    received_per_s: float
    peer_bytes_per_s: float
    messages_per_s: float
    memory_mib: float

    @property
    def bytes_per_s(self) -> float:
        """Bytes sent and received a second, to peers and all others."""
        tcp_per_s = self.sent_per_s + self.received_per_s
        return tcp_per_s + self.peer_bytes_per_s


def measure() -> abc.Iterator[live_figures.Figure]:
    """Yields the cost at today's size and its slopes."""
    base = _measure_idle(daemons=DAEMONS, targets=TARGETS, teams=10)
    yield _show("control bytes a second, idle", base.bytes_per_s, base)
    yield _show("control share of a core, idle", base.core_share, base)
    yield _measure_loaded()
    for name, size in _SIZES.items():
        grown = _measure_idle(**size)
        yield _show(f"control bytes a second, idle, {name}", None, grown)


def _measure_loaded() -> live_figures.Figure:
    """Returns the bytes to peers while callers send at the full rate."""
    with contextlib.ExitStack() as stack:
        addresses = [
            live_fleet.start_engine(stack, number) for number in range(ENGINES)
        ]
        fleet = live_fleet.Fleet(
            stack=stack, daemons=DAEMONS, targets=addresses
        )
        outcome = live_fleet.run_load(fleet, streams=LOAD_STREAMS)
        shown = [
            fleet.read_status(number)["control"] for number in range(DAEMONS)
        ]
    peer_bytes = sum(float(item["bytes_per_s"]) for item in shown)
    messages = sum(float(item["messages_per_s"]) for item in shown)
    rate = outcome.answers / outcome.seconds / DAEMONS
    return live_figures.Figure(
        measure="control bytes a second to peers, under load",
        value=round(peer_bytes / DAEMONS),
        bound=None,
        detail={
            "messages_per_s": round(messages / DAEMONS, 1),
            "requests_per_s": round(rate, 1),
            "target_requests_per_s": REQUESTS_PER_S,
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


def _show(name: str, value: float | None, cost: Cost) -> live_figures.Figure:
    bounds = {
        "control bytes a second, idle": BYTES_BOUND,
        "control share of a core, idle": CORE_BOUND,
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


def _measure_idle(*, daemons: int, targets: int, teams: int) -> Cost:
    """Returns the mean cost of the daemons of a fleet without callers."""
    with contextlib.ExitStack() as stack:
        addresses = live_fleet.start_targets(stack, targets)
        fleet = live_fleet.Fleet(
            stack=stack, daemons=daemons, targets=addresses, teams=teams
        )
        return _measure_window(fleet)


def _measure_window(fleet: live_fleet.Fleet) -> Cost:
    pids = [item.popen.pid for item in fleet.daemons]
    before = [live_usage.read_usage(pid) for pid in pids]
    began = time.monotonic()
    time.sleep(WINDOW_S)
    after = [live_usage.read_usage(pid) for pid in pids]
    seconds = time.monotonic() - began
    total = len(pids) * seconds

    def mean_rate(read: abc.Callable[[live_usage.Usage], float]) -> float:
        return (sum(map(read, after)) - sum(map(read, before))) / total

    shown = [
        fleet.read_status(number)["control"] for number in range(len(pids))
    ]
    messages = [float(item["messages_per_s"]) for item in shown]
    peer_bytes = [float(item["bytes_per_s"]) for item in shown]
    memory = sum(item.memory_bytes for item in after) / len(pids)
    return Cost(
        core_share=mean_rate(lambda item: item.processor_s),
        sent_per_s=mean_rate(lambda item: item.sent_bytes),
        received_per_s=mean_rate(lambda item: item.received_bytes),
        peer_bytes_per_s=sum(peer_bytes) / len(peer_bytes),
        messages_per_s=sum(messages) / len(messages),
        memory_mib=memory / _BYTES_PER_MIB,
    )
