"""Measures what one daemon costs and adds while it relays answers.

The daemon runs as a process of its own before two lean engines. Its processor
time is read from the kernel, so that other work on the machine disturbs it
little; times to the first token are compared with those of the same engines
without a daemon in between.
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
FIRST_TOKEN_BOUND_MS = 5.0
CORE_BOUND = 1.0
# Far above what the load can reach, so that no call waits.
_SKEW = 10.0
_BYTES_PER_MB = 1_000_000
_ROOT = pathlib.Path(__file__).resolve().parent.parent


class _Run(msgspec.Struct, kw_only=True):
    """A window of load and the daemon's processor time in it."""

    outcome: live_client.Outcome
    core_share: float
    resident_mb: float


def measure() -> abc.Iterator[live_figures.Figure]:
    """Yields the figures of the data path."""
    with contextlib.ExitStack() as stack:
        engines = [
            live_fleet.start_engine(stack, number) for number in range(ENGINES)
        ]
        fleet = live_fleet.Fleet(
            stack=stack, daemons=1, targets=engines, skew_multiple=_SKEW
        )
        daemon = fleet.daemons[0]
        direct = _run_load(engines, STREAMS // 2, None)
        half = _run_load([daemon.address], STREAMS // 2, daemon)
        full = _run_load([daemon.address], STREAMS, daemon)
    yield _show_cost(full)
    yield _show_added(direct, half)


def _show_cost(full: _Run) -> live_figures.Figure:
    tokens_per_s = full.outcome.tokens / full.outcome.seconds
    return live_figures.Figure(
        measure="daemon core share at the relayed rate",
        value=round(full.core_share, 3),
        bound=CORE_BOUND,
        detail={
            "streams": STREAMS,
            "tokens_per_s": round(tokens_per_s),
            "target_tokens_per_s": TOKENS_PER_S,
            "us_per_token": round(full.core_share / tokens_per_s * 1e6, 1),
            "answers": full.outcome.answers,
            "broken": full.outcome.broken,
            "resident_mb": round(full.resident_mb),
            "first_token_p95_ms": _quantile(full.outcome.first_token_ms, 95),
        },
    )


def _show_added(direct: _Run, half: _Run) -> live_figures.Figure:
    with_daemon = _quantile(half.outcome.first_token_ms, 95)
    without = _quantile(direct.outcome.first_token_ms, 95)
    return live_figures.Figure(
        measure="time added to a first token at half load, p95, ms",
        value=round(with_daemon - without, 2),
        bound=FIRST_TOKEN_BOUND_MS,
        detail={
            "direct_p50_ms": _quantile(direct.outcome.first_token_ms, 50),
            "direct_p95_ms": without,
            "daemon_p50_ms": _quantile(half.outcome.first_token_ms, 50),
            "daemon_p95_ms": with_daemon,
            "ratio_p95": round(with_daemon / max(without, 0.001), 2),
            "broken": half.outcome.broken + direct.outcome.broken,
            "core_share": round(half.core_share, 3),
        },
    )


def _quantile(values: list[float], percent: int) -> float:
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return round(ordered[(len(ordered) - 1) * percent // 100], 2)


def _run_load(
    addresses: list[str], streams: int, daemon: processes.Process | None
) -> _Run:
    """Runs a client and reads the daemon's processor time in its window."""
    command = [
        *(sys.executable, "-m", "bench.live_client"),
        *("--addresses", ",".join(addresses)),
        *("--key", live_fleet.KEY, "--streams", str(streams)),
    ]
    with subprocess.Popen(
        command, cwd=_ROOT, stdout=subprocess.PIPE, text=True
    ) as popen:
        assert popen.stdout is not None
        popen.stdout.readline()
        before = _read_processor_s(daemon)
        line = popen.stdout.readline()
        used_s = _read_processor_s(daemon) - before
        resident_mb = _read_resident_mb(daemon)
    outcome = msgspec.json.decode(line, type=live_client.Outcome)
    return _Run(
        outcome=outcome,
        core_share=used_s / outcome.seconds,
        resident_mb=resident_mb,
    )


def _read_processor_s(daemon: processes.Process | None) -> float:
    """Returns the processor time of a process so far, in seconds."""
    if daemon is None:
        return 0.0
    return live_usage.read_usage(daemon.popen.pid).processor_s


def _read_resident_mb(daemon: processes.Process | None) -> float:
    """Returns the resident memory of a process, in MB."""
    if daemon is None:
        return 0.0
    return live_usage.read_usage(daemon.popen.pid).memory_bytes / _BYTES_PER_MB
