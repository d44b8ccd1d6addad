"""Starts a daemon as a process of its own, for tests."""

import asyncio
import json
import os
import pathlib
import sys
import tempfile

from tests.platform import fleet
from tests.platform import wire

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


async def start(
    test: fleet.FleetTest,
    *,
    host: str,
    base_port: int,
    timeout_s: float,
    log: int,
    max_descriptors: int | None = None,
    **settings: object,
) -> asyncio.subprocess.Process:
    """Starts a daemon and waits until it is ready.

    It listens at four ports in a row: to clients, health checks, peers and
    reads of its metrics.

    Args:
        test: Test at whose end the daemon is killed.
        host: Host of all its addresses.
        base_port: The first of its ports.
        timeout_s: Time in which it must listen.
        log: Descriptor of its log.
        max_descriptors: Most descriptors that it may open, None for the limit
            of this process.
        **settings: Further settings.
    """
    health = f"{host}:{base_port + 1}"
    document: dict[str, object] = {
        "id": "front-1",
        "availability_zone": "zone-a",
        "address": host,
        "clients": f"{host}:{base_port}",
        "health": health,
        "peer_ports": [base_port + 2, base_port + 2],
        "store": test.store.address,
        "metrics_port": base_port + 3,
    }
    folder = tempfile.TemporaryDirectory()
    test.addCleanup(folder.cleanup)
    path = pathlib.Path(folder.name) / "settings.json"
    path.write_text(json.dumps(document | settings), encoding="utf-8")
    command = [sys.executable, "-m", "mothpass.platform"]
    if max_descriptors is not None:
        limit = f'ulimit -n {max_descriptors}; exec "$@"'
        command = ["/bin/sh", "-c", limit, "sh", *command]
    process = await asyncio.create_subprocess_exec(
        *command,
        cwd=_ROOT,
        env=os.environ | {"MOTHPASS_SETTINGS": str(path)},
        stdout=log,
    )
    test.addAsyncCleanup(process.wait)
    test.addCleanup(_kill, process)
    async with asyncio.timeout(timeout_s):
        # Nothing else shows when it listens, as its log may be lost.
        while not await _is_listening(test, process, health):  # noqa: ASYNC110
            await asyncio.sleep(0.05)
    await test.wait_until_ready(health)
    return process


async def _is_listening(
    test: fleet.FleetTest, process: asyncio.subprocess.Process, health: str
) -> bool:
    test.assertIsNone(process.returncode, "the daemon has ended")
    try:
        client = await wire.Client.connect(health)
    except OSError:
        return False
    client.close()
    return True


def _kill(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()
