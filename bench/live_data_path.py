"""Measures what one daemon costs and adds while it relays answers.

The daemon runs as a process of its own before two lean engines. Its processor
time is read from the kernel, so that other work on the machine disturbs it
little; times to the first token are compared with those of the same engines
without a daemon in between.
"""

from collections import abc
import contextlib
import json
import os
import pathlib
import subprocess
import sys
import time
import urllib.request

import msgspec

from bench import live_client
from mothpass.core import catalogue
from tests import processes

STREAMS = 560
TOKENS_PER_S = 13_100
ENGINES = 2
FIRST_TOKEN_BOUND_MS = 5.0
CORE_BOUND = 1.0
_KEY = "live-measure-team-key"
_TOKEN = "live-measure-operator-token"
_ROOT = pathlib.Path(__file__).resolve().parent.parent
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Figure(msgspec.Struct, kw_only=True):
    """One figure, printed as a line of JSON.

    Attributes:
        measure: Name, with the unit.
        value: What was measured.
        bound: What it is held against, None for none.
        detail: Other figures of the same run.
    """

    measure: str
    value: float
    bound: float | None
    detail: dict[str, float]


class _Run(msgspec.Struct, kw_only=True):
    """A window of load and the daemon's processor time in it."""

    outcome: live_client.Outcome
    core_share: float
    resident_mb: float


def measure() -> abc.Iterator[Figure]:
    """Yields the figures of the data path."""
    with contextlib.ExitStack() as stack:
        running = processes.Processes()
        stack.callback(running.close)
        engines = [_start_engine(stack, x) for x in range(ENGINES)]
        daemon = _start_daemon(running, engines)
        direct = _run_load(engines, STREAMS // 2, None)
        half = _run_load([daemon.address], STREAMS // 2, daemon)
        full = _run_load([daemon.address], STREAMS, daemon)
    yield _show_cost(full)
    yield _show_added(direct, half)


def _show_cost(full: _Run) -> Figure:
    tokens_per_s = full.outcome.tokens / full.outcome.seconds
    return Figure(
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


def _show_added(direct: _Run, half: _Run) -> Figure:
    with_daemon = _quantile(half.outcome.first_token_ms, 95)
    without = _quantile(direct.outcome.first_token_ms, 95)
    return Figure(
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


def _start_engine(stack: contextlib.ExitStack, number: int) -> str:
    """Starts an engine and returns its address."""
    popen = subprocess.Popen(
        [sys.executable, "-m", "bench.live_engine", "--id", f"engine-{number}"],
        cwd=_ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    stack.callback(popen.wait)
    stack.callback(popen.kill)
    assert popen.stdout is not None
    return str(json.loads(popen.stdout.readline())["ready"])


def _start_daemon(
    running: processes.Processes, engines: list[str]
) -> processes.Process:
    """Starts a daemon that knows the engines, and its catalogue."""
    instances = [
        {
            "id": f"engine-{number}",
            "role": "engine",
            "state": "live",
            "address": address,
            "availability_zone": "zone-a",
            "serves": ["live"],
        }
        for number, address in enumerate(engines)
    ]
    tables = running.start_standin("table")
    objects = running.start_standin("objects")
    members = running.start_standin("members", lag_ms=0, instances=instances)
    operators = processes.find_free_address()
    daemon = running.launch_daemon(
        {
            "instance": {
                "id": "live-daemon",
                "region": "region-a",
                "availability_zone": "zone-a",
                "slot": 0,
                "slots": 1,
            },
            "callers": {"address": processes.find_free_address()},
            "operators": {
                "address": operators,
                "token_sha256": [catalogue.hash_key(_TOKEN)],
            },
            "peers": {
                "address": processes.find_free_address(),
                "key": "live-measure-peer-key",
            },
            "platform": {
                "tables_url": tables.url,
                "objects_url": objects.url,
                "members_url": members.url,
            },
        }
    )
    processes.wait_until(lambda: _put_catalogue(operators), daemon)
    processes.wait_until(lambda: processes.is_ready(daemon), daemon)
    time.sleep(2.0)
    return daemon


def _put_catalogue(operators: str) -> bool:
    """Sends the catalogue; returns whether it was accepted."""
    limits = {"in_flight": 10_000, "requests_per_s": 10_000, "queued": 10_000}
    entries = {
        "classes": [{"name": "chat", "priority": 1, "deadline_ms": 600_000}],
        "models": [
            {
                "name": "live",
                "owner": "measure",
                "class": "chat",
                "limits": limits,
                "target_in_flight": 10_000,
                "skew_multiple": 10.0,
                "cold_start": {
                    "in_flight": 1,
                    "answers_per_step": 1,
                    "warm_in_flight": 1,
                },
            }
        ],
        "services": [],
        "teams": [
            {
                "name": "team",
                "owner": "measure",
                "class": "chat",
                "limits": limits,
                "key_sha256": [catalogue.hash_key(_KEY)],
                "uses": ["live"],
            }
        ],
        "availability_zones": [{"name": "zone-a", "region": "region-a"}],
    }
    body = {"base_version": 0, "author": "measure", "catalogue": entries}
    request = urllib.request.Request(
        f"http://{operators}/v1/catalogue",
        data=json.dumps(body).encode(),
        headers={"Authorization": f"Bearer {_TOKEN}"},
        method="PUT",
    )
    try:
        with urllib.request.urlopen(request, timeout=5) as answer:
            return bool(answer.status == 200)
    except OSError:
        return False


def _run_load(
    addresses: list[str], streams: int, daemon: processes.Process | None
) -> _Run:
    """Runs a client and reads the daemon's processor time in its window."""
    command = [
        *(sys.executable, "-m", "bench.live_client"),
        *("--addresses", ",".join(addresses)),
        *("--key", _KEY, "--streams", str(streams)),
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
    path = pathlib.Path(f"/proc/{daemon.popen.pid}/stat")
    fields = path.read_text(encoding="utf-8").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _read_resident_mb(daemon: processes.Process | None) -> float:
    """Returns the memory that a process has resident, in megabytes."""
    if daemon is None:
        return 0.0
    path = pathlib.Path(f"/proc/{daemon.popen.pid}/status")
    for line in path.read_text(encoding="utf-8").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0
