"""Starts the daemons as separate processes, as the deploy file says."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import sys
import tempfile
import tomllib

from review.standins import client

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "shop.example"
KEY = "n2ctnfzs989anu6wsjnb"
ZONE = "perth-north"
GRACE_S = 8.0
# Bounds of the site cellarwatch-wa.
DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
STABILITY_S = 3.0
BUDGET_RATIO = 0.2
BUDGET_WINDOW_S = 10.0
BUDGET_EXTRA = 54.0
RESTART_DELAY_S = 0.5


class CaseError(Exception):
    """The case couldn't run."""


class Daemon:
    """One daemon and its process.

    Attributes:
        name: Its name.
        clients: ``ip:port`` for requesters.
        started_at: Monotonic seconds of the last start of its process.
        terminated_at: Monotonic seconds of the last SIGTERM, None before.
    """

    def __init__(
        self,
        *,
        number: int,
        network: int,
        port: int,
        store: str,
        folder: pathlib.Path,
    ) -> None:
        """Writes its settings file as the template of the deploy file does."""
        ip = f"127.{network}.{number + 1}.1"
        self.name = f"front-{ZONE}-{number + 1}"
        self.clients = f"{ip}:{port}"
        self.health = f"{ip}:{port + 1}"
        self.started_at = 0.0
        self.terminated_at: float | None = None
        self._folder = folder
        self._settings = folder / f"{self.name}.json"
        self._settings.write_text(
            json.dumps(
                {
                    "id": self.name,
                    "availability_zone": ZONE,
                    "address": ip,
                    "clients": self.clients,
                    "health": self.health,
                    "peer_ports": [port + 2, port + 17],
                    "seeds": [f"127.{network}.1.1:{port + 18}"],
                    "store": store,
                    "grace_s": GRACE_S,
                    "repeat_ratio": BUDGET_RATIO,
                    "repeat_window_s": BUDGET_WINDOW_S,
                    "repeat_extra": BUDGET_EXTRA,
                    "cold_overage": 1.5,
                    "cold_slack": 5,
                    "change_in_force_ms": int(CONFIG_APPLY_S * 1000),
                    "metrics_port": port + 19,
                }
            )
        )
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        _, *words = shlex.split(deploy["roles"]["relay"]["run"])
        log = open(self._folder / f"{self.name}.log", "ab")  # noqa: ASYNC230, SIM115
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *words,
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/tmp"),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "MOTHPASS_SETTINGS": str(self._settings),
            },
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.started_at = asyncio.get_running_loop().time()

    async def is_ready(self) -> bool:
        """Asks what the platform asks each second."""
        headers = {"Host": self.health}
        answer = await client.call_once(
            self.name,
            self.health,
            "GET",
            "/-/readiness",
            headers,
            budget_s=1.0,
        )
        return answer is not None and answer.status == 200

    async def wait_until_ready(self, timeout_s: float = 15.0) -> None:
        """Waits for readiness."""
        deadline = asyncio.get_running_loop().time() + timeout_s
        while not await self.is_ready():
            if asyncio.get_running_loop().time() > deadline:
                raise CaseError(f"{self.name} isn't ready")
            await asyncio.sleep(0.05)

    def measure_memory_mb(self) -> float:
        """Returns the resident memory of the process, 0 without one."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status")
            for line in status.read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1000
        except OSError:
            pass
        return 0.0

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if number is signal.SIGTERM:
            self.terminated_at = asyncio.get_running_loop().time()
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def terminate(self) -> None:
        """Sends SIGTERM, and SIGKILL after the grace time; waits."""
        self.signal(signal.SIGTERM)
        await self.wait_for_end(GRACE_S)

    async def wait_for_end(self, timeout_s: float = 0.0) -> None:
        """Waits for the end of the process, then kills it."""
        if self.process is None:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.process.wait()
        self.signal(signal.SIGKILL)
        await self.process.wait()


class Fleet:
    """Daemons of one zone."""

    def __init__(self, store: str, count: int) -> None:
        """Chooses free addresses."""
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="mothpass-review-"))
        network = random.randint(16, 250)
        port = find_ports(f"127.{network}.1.1")
        self.daemons = [
            Daemon(
                number=number,
                network=network,
                port=port,
                store=store,
                folder=self.folder,
            )
            for number in range(count)
        ]

    async def start(self) -> None:
        """Starts all daemons and waits until they are ready."""
        for daemon in self.daemons:
            await daemon.start()
        for daemon in self.daemons:
            await daemon.wait_until_ready()

    async def stop(self) -> None:
        """Ends all processes."""
        for daemon in self.daemons:
            daemon.signal(signal.SIGKILL)
        for daemon in self.daemons:
            await daemon.wait_for_end()


def find_ports(host: str) -> int:
    """Returns the first of twenty ports that are free at an address."""
    for _ in range(50):
        first = random.randint(20_000, 30_000)
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + 20):
                    probe = stack.enter_context(socket.socket())
                    probe.bind((host, port))
            except OSError:
                continue
            return first
    raise CaseError("no free ports")


def make_route(name: str, kind: str, **fields: object) -> dict[str, object]:
    """Returns a route with the prefix ``/NAME/``."""
    route: dict[str, object] = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 12000,
        "targetLatencyMs": 1000,
        "priority": 1,
        "service": "ledger-app",
        "maxAttempts": 2,
        "authExempt": False,
        "sessionAffinity": False,
        "streamResume": False,
        "gapAimMs": 500,
    }
    return route | fields


def make_config(
    version: int, routes: list[dict[str, object]], services: list[str]
) -> bytes:
    """Returns the operator's config."""
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": [
                {"name": name, "healthPath": "/health", "maxConns": 360}
                for name in services
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": "hule930", "apiKeys": [KEY]}],
        }
    ).encode()


def make_headers() -> dict[str, str]:
    """Returns the headers of a plain request, without those of its attempt."""
    return {"Host": HOST, "Authorization": f"Bearer {KEY}"}


def make_chat_headers(part: str) -> dict[str, str]:
    """Returns the headers of a model request."""
    return {
        **make_headers(),
        "Model": "m",
        "Token-Count": "1460,80",
        "Prompt-Prefix": f"5c1e07a2:800,{part}:410",
    }
