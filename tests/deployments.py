"""Starts small deployments of stand-ins and daemons for tests."""

import functools
import hashlib
import json
import typing

from tests import http_calls
from tests import processes

MODEL = "advice"
SERVICE = "chair-payment"
TEAM = "victoria-harbour"
TEAM_KEY = "victoria-harbour-test-key"
ZONES = ("bc-west-a", "bc-west-b")
PEER_KEY = "secret-of-the-daemons-in-tests"
OPERATOR_TOKEN = "operator-token-of-the-tests"
_REGION = "bc-west"
_SILENCE_TIMEOUT_MS = 300
_COLD_IN_FLIGHT = 4
_WARM_IN_FLIGHT = 16
_TARGET_IN_FLIGHT = 64


def _hash(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


class Deployment:
    """Processes of platform, targets and daemons of a test.

    Attributes:
        started: All processes of the deployment.
        table: Table service.
        objects: Object store.
        members: Membership service.
        daemons: Daemons by id.
        targets: Engines and services by id.
    """

    __slots__ = (
        "_operator_addresses",
        "_peer_addresses",
        "_ready_daemons",
        "daemons",
        "members",
        "objects",
        "started",
        "table",
        "targets",
    )

    def __init__(self, *, started: processes.Processes) -> None:
        """Starts the platform without waiting until it is ready.

        Args:
            started: Starts and kills the processes.
        """
        self.started = started
        self.table = self._start_platform_service("table")
        self.objects = self._start_platform_service("objects")
        self.members = self._start_platform_service(
            "members", lag_ms=100, heartbeat_ttl_ms=2000
        )
        self.daemons: dict[str, processes.Process] = {}
        self.targets: dict[str, processes.Process] = {}
        self._operator_addresses: dict[str, str] = {}
        self._peer_addresses: dict[str, str] = {}
        self._ready_daemons: set[str] = set()

    def add_engine(
        self, name: str, zone: int = 0, **settings: object
    ) -> processes.Process:
        """Starts an engine that registers itself.

        Args:
            name: Instance id.
            zone: Index of its availability zone.
            settings: Settings that replace or extend the defaults.

        Returns:
            Its process.
        """
        defaults = {
            "start_warm": True,
            "cold_in_flight": _COLD_IN_FLIGHT,
            "warm_in_flight": _WARM_IN_FLIGHT,
            "token_us": 2000,
            "load_lag_ms": 200,
            "serves": [MODEL],
        }
        return self._add_target("engine", name, zone, defaults | settings)

    def add_service(self, name: str, zone: int = 0) -> processes.Process:
        """Starts a service that registers itself."""
        return self._add_target("service", name, zone, {"serves": [SERVICE]})

    def add_daemon(
        self,
        name: str,
        zone: int = 0,
        *,
        changes: dict[str, dict[str, object]] | None = None,
        max_descriptors: int | None = None,
        log: int | None = None,
    ) -> processes.Process:
        """Starts a daemon.

        Args:
            name: Instance id.
            zone: Index of its availability zone.
            changes: Settings that extend those of the tests, by section.
            max_descriptors: Most descriptors that it may open, None for the
                limit of the tests.
            log: Descriptor of its log, None for a file.

        Returns:
            Its process.
        """
        settings = self._build_settings(name, zone)
        for section, fields in (changes or {}).items():
            settings[section] |= fields
        process = self.started.launch_daemon(
            settings, max_descriptors=max_descriptors, log=log
        )
        self.daemons[name] = process
        self._operator_addresses[name] = settings["operators"]["address"]
        self._peer_addresses[name] = settings["peers"]["address"]
        return process

    def get_operator_address(self, daemon: str) -> str:
        """Returns the address at which a daemon listens for operators."""
        return self._operator_addresses[daemon]

    def get_peer_address(self, daemon: str) -> str:
        """Returns the address at which a daemon listens for its peers."""
        return self._peer_addresses[daemon]

    def wait_ready(self) -> None:
        """Waits until all new daemons are ready and know all targets.

        The catalogue is applied on the first daemon. Daemons that were ready
        in an earlier call are skipped, since they may have ended.
        """
        for name, process in self.daemons.items():
            if name in self._ready_daemons:
                continue
            if not self._ready_daemons:
                apply_catalogue = functools.partial(self._apply_catalogue, name)
                processes.wait_until(apply_catalogue, process)
            check_ready = functools.partial(processes.is_ready, process)
            processes.wait_until(check_ready, process)
            knows_targets = functools.partial(self._knows_targets, name)
            processes.wait_until(knows_targets, process)
            self._ready_daemons.add(name)

    def call_operator_api(
        self, daemon: str, method: str, path: str, document: object = None
    ) -> http_calls.Answer:
        """Sends an operator's request to a daemon."""
        body = None if document is None else json.dumps(document).encode()
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        return http_calls.call(
            self._operator_addresses[daemon], method, path, body, headers
        )

    def read_gates(self) -> set[str]:
        """Returns the daemons that any daemon lists as the gate of a target."""
        gates = set()
        for name in self.daemons:
            status = self.call_operator_api(name, "GET", "/v1/status").decode()
            target_statuses = typing.cast(
                list[dict[str, str]], status["targets"]
            )
            gates |= {item["gate"] for item in target_statuses if item["gate"]}
        return gates

    def count_started_attempts(self, target: str) -> int:
        """Returns the number of attempts that an engine has started."""
        address = self.targets[target].address
        stats = http_calls.call(address, "GET", "/v1/stats").decode()
        return typing.cast(int, stats["started"])

    def _start_platform_service(
        self, kind: str, **settings: object
    ) -> processes.Process:
        """Starts a platform service on an address chosen in advance."""
        address = processes.find_free_address()
        return self.started.start_standin(kind, address=address, **settings)

    def _add_target(
        self, kind: str, name: str, zone: int, settings: dict[str, typing.Any]
    ) -> processes.Process:
        process = self.started.start_standin(
            kind,
            id=name,
            availability_zone=ZONES[zone],
            members_url=self.members.url,
            heartbeat_ms=100,
            **settings,
        )
        self.targets[name] = process
        return process

    def _knows_targets(self, daemon: str) -> bool:
        """Returns whether a daemon has a load report of every target."""
        status = self.call_operator_api(daemon, "GET", "/v1/status").decode()
        target_statuses = typing.cast(list[dict[str, str]], status["targets"])
        known = {item["id"] for item in target_statuses if item["boot_id"]}
        return known == set(self.targets)

    def _apply_catalogue(self, name: str) -> bool:
        change = {
            "base_version": 0,
            "catalogue": _build_catalogue(),
            "author": "tests",
        }
        try:
            answer = self.call_operator_api(
                name, "PUT", "/v1/catalogue", change
            )
        except OSError:
            return False
        return answer.status == http_calls.OK

    def _build_settings(self, name: str, zone: int) -> dict[str, typing.Any]:
        return {
            "instance": {
                "id": name,
                "region": _REGION,
                "availability_zone": ZONES[zone],
                "slot": len(self.daemons),
                "slots": 8,
            },
            "callers": {"address": processes.find_free_address()},
            "operators": {
                "address": processes.find_free_address(),
                "token_sha256": [_hash(OPERATOR_TOKEN)],
            },
            "peers": {
                "address": processes.find_free_address(),
                "key": PEER_KEY,
                "tick_ms": 100,
            },
            "platform": {
                "tables_url": self.table.url,
                "objects_url": self.objects.url,
                "members_url": self.members.url,
                "timeout_ms": 500,
            },
            "targets": {"silence_ms": _SILENCE_TIMEOUT_MS, "load_poll_ms": 200},
            "telemetry": {"log_level": "warning"},
            "shutdown": {"announce_ms": 1000, "drain_ms": 20_000},
        }


def _build_catalogue() -> dict[str, typing.Any]:
    limits = {"in_flight": 500, "requests_per_s": 5000, "queued": 500}
    entry = {"owner": "tests", "class": "quick", "limits": limits}
    model = {
        "name": MODEL,
        "target_in_flight": _TARGET_IN_FLIGHT,
        "cold_start": {
            "in_flight": _COLD_IN_FLIGHT,
            "answers_per_step": 2,
            "warm_in_flight": _WARM_IN_FLIGHT,
        },
    }
    service = {
        "name": SERVICE,
        "repeatable": False,
        "target_in_flight": _TARGET_IN_FLIGHT,
    }
    team = {
        "name": TEAM,
        "key_sha256": [_hash(TEAM_KEY)],
        "uses": [MODEL, SERVICE],
    }
    return {
        "classes": [{"name": "quick", "priority": 1, "deadline_ms": 20_000}],
        "models": [entry | model],
        "services": [entry | service],
        "teams": [entry | team],
        "availability_zones": [
            {"name": zone, "region": _REGION} for zone in ZONES
        ],
    }
