"""Starts fleets of daemon processes with lean engines or load reporters."""

import contextlib
import functools
import json
import pathlib
import subprocess
import sys
import time
import typing

import msgspec

from bench import live_client
from mothpass.core import catalogue
from tests import http_calls
from tests import processes

MODEL = "live"
TEAM_KEY = "live-measure-team-key"
OPERATOR_TOKEN = "live-measure-operator-token"
ZONE = "zone-a"
_REGION = "region-a"
_ROOT = pathlib.Path(__file__).resolve().parent.parent
_SETTLE_TIME_S = 4.0
_LOAD_ANSWER_TOKENS = 5
# The status page shows the mean of the last minute, so the load has to last
# that long.
_LOAD_WARM_S = 50.0
_LOAD_WINDOW_S = 15.0
_CLIENTS_PORT = 18001
_OPERATORS_PORT = 18002
_PEERS_PORT = 18003


class ProcessFleet:
    """Processes of a platform and its daemons, ended with the exit stack.

    Attributes:
        daemons: The daemons.
        operator_addresses: Addresses of their listeners for operators.
        control_ports: Ports of the platform and of the listeners for peers.
    """

    __slots__ = (
        "_members",
        "_objects",
        "_running",
        "_tables",
        "control_ports",
        "daemons",
        "operator_addresses",
    )

    def __init__(
        self,
        *,
        stack: contextlib.ExitStack,
        daemons: int,
        targets: list[str],
        teams: int = 10,
        skew_multiple: float = 1.25,
    ) -> None:
        """Starts the processes and waits until every daemon is ready.

        Args:
            stack: Ends the processes.
            daemons: Number of daemons.
            targets: Addresses of the targets; ids are ``target-<number>``.
            teams: Number of teams in the catalogue.
            skew_multiple: Skew bound of the model, as a multiple of the mean.
        """
        self._running = processes.Processes()
        stack.callback(self._running.close)
        self._tables = self._running.start_standin("table")
        self._objects = self._running.start_standin("objects")
        self._members = self._running.start_standin(
            "members", lag_ms=0, instances=_list_instances(targets)
        )
        self.control_ports = {
            _PEERS_PORT,
            *(
                _read_port(item.address)
                for item in (self._tables, self._objects, self._members)
            ),
        }
        self.daemons: list[processes.Process] = []
        self.operator_addresses: list[str] = []
        for number in range(daemons):
            self._start_daemon(number, daemons)
        entries = build_catalogue(teams, skew_multiple)
        processes.wait_until(
            lambda: put_catalogue(self.operator_addresses[0], 0, entries),
            self.daemons[0],
        )
        for daemon in self.daemons:
            processes.wait_until(
                functools.partial(processes.is_ready, daemon), daemon
            )
        time.sleep(_SETTLE_TIME_S)

    def read_status(self, number: int) -> dict[str, typing.Any]:
        """Returns the status page of a daemon."""
        response = http_calls.call(
            self.operator_addresses[number],
            "GET",
            "/v1/status",
            headers=_OPERATOR_HEADERS,
        )
        return typing.cast(dict[str, typing.Any], response.decode())

    def _start_daemon(self, number: int, slots: int) -> None:
        # The ports lie below those that the kernel assigns to outgoing
        # connections.
        host = f"127.0.2.{number + 1}"
        peers = f"{host}:{_PEERS_PORT}"
        operator_address = f"{host}:{_OPERATORS_PORT}"
        self.operator_addresses.append(operator_address)
        daemon = self._running.launch_daemon(
            {
                "instance": {
                    "id": f"daemon-{number}",
                    "region": _REGION,
                    "availability_zone": ZONE,
                    "slot": number,
                    "slots": slots,
                },
                "callers": {"address": f"{host}:{_CLIENTS_PORT}"},
                "operators": {
                    "address": operator_address,
                    "token_sha256": [catalogue.hash_key(OPERATOR_TOKEN)],
                },
                "peers": {"address": peers, "key": "live-measure-peer-key"},
                "platform": {
                    "tables_url": self._tables.url,
                    "objects_url": self._objects.url,
                    "members_url": self._members.url,
                },
                "telemetry": {"log_level": "error"},
            }
        )
        self.daemons.append(daemon)


_OPERATOR_HEADERS = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}


def start_targets(stack: contextlib.ExitStack, count: int) -> list[str]:
    """Starts a process that serves the load reports of many targets.

    Args:
        stack: Ends the process.
        count: Number of targets.

    Returns:
        Addresses of the targets.
    """
    popen = subprocess.Popen(
        [sys.executable, "-m", "bench.live_loads", "--count", str(count)],
        cwd=_ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    stack.callback(popen.wait)
    stack.callback(popen.kill)
    assert popen.stdout is not None
    return [str(item) for item in json.loads(popen.stdout.readline())]


def start_engine(stack: contextlib.ExitStack, number: int) -> str:
    """Starts a lean engine that streams answers and returns its address."""
    popen = subprocess.Popen(
        [sys.executable, "-m", "bench.live_engine", "--id", f"target-{number}"],
        cwd=_ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    stack.callback(popen.wait)
    stack.callback(popen.kill)
    assert popen.stdout is not None
    return str(json.loads(popen.stdout.readline())["ready"])


def run_load(fleet: ProcessFleet, *, streams: int) -> live_client.Outcome:
    """Sends short requests through all daemons for some seconds.

    Args:
        fleet: Daemons with engines that stream answers.
        streams: Requests in flight at any moment.
    """
    addresses = ",".join(item.address for item in fleet.daemons)
    command = [
        *(sys.executable, "-m", "bench.live_client", "--key", TEAM_KEY),
        *("--addresses", addresses, "--model", MODEL),
        *("--streams", str(streams), "--tokens", str(_LOAD_ANSWER_TOKENS)),
        *("--warm-s", str(_LOAD_WARM_S), "--window-s", str(_LOAD_WINDOW_S)),
    ]
    output = subprocess.run(
        command, cwd=_ROOT, stdout=subprocess.PIPE, text=True, check=True
    ).stdout
    line = output.strip().splitlines()[-1]
    return msgspec.json.decode(line, type=live_client.Outcome)


def build_catalogue(teams: int, skew_multiple: float) -> dict[str, typing.Any]:
    """Returns a catalogue of one model and a number of teams."""
    limits = {"in_flight": 100_000, "requests_per_s": 100_000, "queued": 10_000}
    entry = {"owner": "measure", "class": "chat", "limits": limits}
    model = entry | {
        "name": MODEL,
        "target_in_flight": 10_000,
        "skew_multiple": skew_multiple,
        "cold_start": {
            "in_flight": 4,
            "answers_per_step": 1,
            "warm_in_flight": 16,
        },
    }
    return {
        "classes": [{"name": "chat", "priority": 1, "deadline_ms": 60_000}],
        "models": [model],
        "services": [],
        "teams": [
            entry
            | {
                "name": f"team-{number}",
                "key_sha256": [
                    catalogue.hash_key(
                        TEAM_KEY if number == 0 else f"key-{number}"
                    )
                ],
                "uses": [MODEL],
            }
            for number in range(teams)
        ],
        "availability_zones": [{"name": ZONE, "region": _REGION}],
    }


def put_catalogue(
    operator_address: str, base_version: int, entries: dict[str, typing.Any]
) -> bool:
    """Proposes a catalogue to a daemon and returns whether it was accepted."""
    body = {
        "base_version": base_version,
        "author": "measure",
        "catalogue": entries,
    }
    try:
        response = http_calls.call(
            operator_address,
            "PUT",
            "/v1/catalogue",
            json.dumps(body).encode(),
            _OPERATOR_HEADERS,
        )
    except OSError:
        return False
    return response.status == http_calls.OK


def _list_instances(addresses: list[str]) -> list[dict[str, typing.Any]]:
    return [
        {
            "id": f"target-{number}",
            "role": "engine",
            "state": "live",
            "address": address,
            "availability_zone": ZONE,
            "serves": [MODEL],
        }
        for number, address in enumerate(addresses)
    ]


def _read_port(address: str) -> int:
    return int(address.rpartition(":")[2])
