"""Measures the processor time and added latency of a daemon that streams.

The daemon is a process of its own with two lean engines. Its processor time is
read from the kernel, so other work on the machine disturbs it little. Times to
the first token are compared with those of the same engines without a daemon in
between.
"""

from collections import abc
import contextlib
import pathlib
import subprocess
import sys

import msgspec

from bench import live_client
from bench import live_figures
from bench import live_fleet
from bench import live_usage
from tests import processes

STREAMS = 560
TOKENS_PER_S = 13_100
ENGINES = 2
MAX_ADDED_FIRST_TOKEN_MS = 5.0
MAX_CORE_SHARE = 1.0
# Far above the skew that the load can reach, so no request waits.
_SKEW_MULTIPLE = 10.0
_BYTES_PER_MB = 1_000_000
_ROOT = pathlib.Path(__file__).resolve().parent.parent


class _LoadWindow(msgspec.Struct, kw_only=True):
    """Outcome of a window of load and the daemon's resource use in it."""

    outcome: live_client.Outcome
    core_share: float
    resident_mb: float


def measure() -> abc.Iterator[live_figures.Figure]:
    """Yields the cost at full load and the added latency at half load."""
    with contextlib.ExitStack() as stack:
        engines = [
            live_fleet.start_engine(stack, number) for number in range(ENGINES)
        ]
        fleet = live_fleet.ProcessFleet(
            stack=stack,
            daemons=1,
            targets=engines,
            skew_multiple=_SKEW_MULTIPLE,
        )
        daemon = fleet.daemons[0]
        direct_load = _run_load(engines, STREAMS // 2, None)
        half_load = _run_load([daemon.address], STREAMS // 2, daemon)
        full_load = _run_load([daemon.address], STREAMS, daemon)
    yield _build_cost_figure(full_load)
    yield _build_latency_figure(direct_load, half_load)


def _build_cost_figure(full_load: _LoadWindow) -> live_figures.Figure:
    tokens_per_s = full_load.outcome.tokens / full_load.outcome.seconds
    return live_figures.Figure(
        measure="daemon core share at the relayed rate",
        value=round(full_load.core_share, 3),
        bound=MAX_CORE_SHARE,
        detail={
            "streams": STREAMS,
            "tokens_per_s": round(tokens_per_s),
            "target_tokens_per_s": TOKENS_PER_S,
            "us_per_token": round(full_load.core_share / tokens_per_s * 1e6, 1),
            "answers": full_load.outcome.answers,
            "broken": full_load.outcome.broken,
            "resident_mb": round(full_load.resident_mb),
            "first_token_p95_ms": _quantile(
                full_load.outcome.first_token_ms, 95
            ),
        },
    )


def _build_latency_figure(
    direct_load: _LoadWindow, half_load: _LoadWindow
) -> live_figures.Figure:
    daemon_ms = _quantile(half_load.outcome.first_token_ms, 95)
    direct_ms = _quantile(direct_load.outcome.first_token_ms, 95)
    return live_figures.Figure(
        measure="time added to a first token at half load, p95, ms",
        value=round(daemon_ms - direct_ms, 2),
        bound=MAX_ADDED_FIRST_TOKEN_MS,
        detail={
            "direct_p50_ms": _quantile(direct_load.outcome.first_token_ms, 50),
            "direct_p95_ms": direct_ms,
            "daemon_p50_ms": _quantile(half_load.outcome.first_token_ms, 50),
            "daemon_p95_ms": daemon_ms,
            "ratio_p95": round(daemon_ms / max(direct_ms, 0.001), 2),
            "broken": half_load.outcome.broken + direct_load.outcome.broken,
            "core_share": round(half_load.core_share, 3),
        },
    )


def _quantile(values: list[float], percent: int) -> float:
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return round(ordered[(len(ordered) - 1) * percent // 100], 2)


def _run_load(
    addresses: list[str], streams: int, daemon: processes.Process | None
) -> _LoadWindow:
    """Runs a client and reads the daemon's resource use in its window."""
    command = [
        *(sys.executable, "-m", "bench.live_client"),
        *("--addresses", ",".join(addresses)),
        *("--key", live_fleet.TEAM_KEY, "--streams", str(streams)),
    ]
    with subprocess.Popen(
        command, cwd=_ROOT, stdout=subprocess.PIPE, text=True
    ) as popen:
        assert popen.stdout is not None
        popen.stdout.readline()
        processor_s_before = _read_processor_s(daemon)
        line = popen.stdout.readline()
        used_s = _read_processor_s(daemon) - processor_s_before
        resident_mb = _read_resident_mb(daemon)
    outcome = msgspec.json.decode(line, type=live_client.Outcome)
    return _LoadWindow(
        outcome=outcome,
        core_share=used_s / outcome.seconds,
        resident_mb=resident_mb,
    )


def _read_processor_s(daemon: processes.Process | None) -> float:
    """Returns the processor time of a daemon so far, 0 without a daemon."""
    if daemon is None:
        return 0.0
    return live_usage.read_usage(daemon.popen.pid).processor_s


def _read_resident_mb(daemon: processes.Process | None) -> float:
    """Returns the resident memory of a daemon in MB, 0 without a daemon."""
    if daemon is None:
        return 0.0
    return live_usage.read_usage(daemon.popen.pid).memory_bytes / _BYTES_PER_MB
