"""Simulates one seed: processes, proxies, a store, clients and faults."""

import asyncio
import itertools
import json
import pathlib
import random
import signal

from tests.platform import fleet
from tests.platform import store_standin
from tests.platform import wire
from tests.soak import checkers
from tests.soak import clients
from tests.soak import owners
from tests.soak import processes
from tests.soak import proxy

# Recovery time after a fault, as in the platform's rules: of a daemon after its
# own fault, of all daemons after a fault of the store.
RECOVERY_S = 3.0
FAULT_FREE_S = 3.0
_READY_S = 20.0
_TARGETS = {"plain": 2, "models": 3}
_FAULT_SHARE = 0.05
_TEAMS = ("red", "blue", "green")
# What two versions of a target write doesn't fit together.
_SOFTWARE_VERSIONS = ("v1", "v1", "v1.1")
_GRACE_S = 6.0


class DaemonProcess:
    """A daemon process with proxies for its clients and its store."""

    def __init__(self, number: int, base: int, folder: pathlib.Path) -> None:
        self.number = number
        self.host = f"127.0.{2 + number // 200}.{1 + number % 200}"
        self.base = base
        self.child = processes.Child(
            f"daemon-{number}", folder / f"daemon-{number}.log"
        )
        self.settings = folder / f"daemon-{number}.json"
        self.front = proxy.Proxy(f"{self.host}:{base}")
        self.store = proxy.Proxy("")

    async def start(self) -> None:
        """Starts the process."""
        env = {"MOTHPASS_SETTINGS": str(self.settings)}
        arguments = ["-m", "mothpass.platform"]
        await self.child.start(arguments, env, pipes=False)

    def write_settings(self, store: str) -> None:
        """Writes the settings file."""
        settings = {
            "id": f"front-{self.number}",
            "availability_zone": "zone-a",
            "address": self.host,
            "clients": f"{self.host}:{self.base}",
            "health": f"{self.host}:{self.base + 1}",
            "peer_ports": [self.base + 2, self.base + 2],
            "seeds": [f"127.0.2.1:{self.base + 2}"],
            "store": store,
            "grace_s": _GRACE_S,
            "metrics_port": self.base + 3,
        }
        self.settings.write_text(json.dumps(settings), encoding="utf-8")


class TargetProcess:
    """A target process behind a proxy."""

    def __init__(
        self, name: str, service: str, version: str, folder: pathlib.Path
    ) -> None:
        self.name = name
        self.service = service
        self.version = version
        self.child = processes.Child(name, folder / f"{name}.log")
        self.proxy = proxy.Proxy("")
        self.ledger: asyncio.Task[None] | None = None


class Simulation:
    """Processes, proxies and faults of one seed.

    Attributes:
        history: Records of clients and targets.
    """

    def __init__(
        self, *, seed: int, daemons: int, seconds: float, folder: pathlib.Path
    ) -> None:
        self.history = checkers.History()
        self._seed = seed
        self._seconds = seconds
        self._folder = folder
        self._random = random.Random(seed)
        self._store = store_standin.Store()
        # Ports below the ephemeral port range.
        base = 10_000 + seed % 2000 * 8
        self._daemons = [
            DaemonProcess(number, base, folder) for number in range(daemons)
        ]
        # A host per seed, as other seeds may run at the same time.
        self._target_host = f"127.{1 + seed // 250 % 250}.{seed % 250}.1"
        self._target_ports = itertools.count(20_000)
        self._targets: dict[str, TargetProcess] = {}
        self._draining: dict[str, TargetProcess] = {}
        self._names = itertools.count(1)
        self._version = 1
        self._keys = [f"key-of-{team}" for team in _TEAMS]
        self._faulty: set[int] = set()
        # Modes of the links to all targets, by daemon.
        self._cuts: dict[int, proxy.Mode] = {}
        self._is_leaving = False
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> list[str]:
        """Runs the simulation and returns the violations."""
        await self._start()
        addresses = [daemon.front.address for daemon in self._daemons]
        load = clients.Clients(
            addresses=addresses, history=self.history, seed=self._seed
        )
        load.keys = self._keys
        stop = asyncio.Event()
        client_tasks = [
            asyncio.ensure_future(load.run(stop))
            for _ in range(4 + 2 * len(self._daemons))
        ]
        try:
            await self._inject_faults()
            await asyncio.sleep(RECOVERY_S + 1.0)
            self.history.faults_ended_at = asyncio.get_running_loop().time()
            await asyncio.sleep(FAULT_FREE_S)
            stop.set()
            await asyncio.gather(*client_tasks)
        finally:
            for task in client_tasks:
                task.cancel()
            await self._end()
        return checkers.check_all(self.history)

    async def _start(self) -> None:
        await self._store.open()
        self._put_document()
        for service, count in _TARGETS.items():
            for _ in range(count):
                await self._add_target(service)
        for daemon in self._daemons:
            daemon.store = proxy.Proxy(self._store.address)
            await daemon.store.open("127.0.0.1")
            await daemon.front.open("127.0.0.1")
            daemon.write_settings(daemon.store.address)
            await daemon.start()
        for daemon in self._daemons:
            await self._wait_until_ready(daemon)

    async def _end(self) -> None:
        for task in self._tasks:
            task.cancel()
        children = [item.child for item in self._daemons]
        children += [item.child for item in self._targets.values()]
        for child in children:
            child.send_signal(signal.SIGCONT)
        await asyncio.gather(*(child.end(signal.SIGKILL) for child in children))
        for daemon in self._daemons:
            daemon.front.close()
            daemon.store.close()
        for target in self._targets.values():
            target.proxy.close()
            if target.ledger is not None:
                await target.ledger
        self._store.close()

    async def _wait_until_ready(self, daemon: DaemonProcess) -> None:
        address = f"{daemon.host}:{daemon.base + 1}"
        async with asyncio.timeout(_READY_S):
            while True:
                if daemon.child.has_ended:
                    # The platform restarts a process that has ended, such as
                    # one that got SIGHUP before its first line ran.
                    await daemon.start()
                try:
                    client = await wire.Client.connect(address)
                except OSError:
                    await asyncio.sleep(0.05)
                    continue
                client.send("GET", "/-/readiness", {"Host": address})
                answer = await client.read(1.0)
                client.close()
                if answer.status == 200:
                    return
                await asyncio.sleep(0.05)

    async def _add_target(self, service: str) -> TargetProcess:
        number = next(self._names)
        name = f"i-{number:08x}"
        version = _SOFTWARE_VERSIONS[number % len(_SOFTWARE_VERSIONS)]
        target = TargetProcess(name, service, version, self._folder)
        address = f"{self._target_host}:{next(self._target_ports)}"
        target.proxy = proxy.Proxy(address)
        target.proxy.find_mode = self._find_link_mode
        await target.proxy.open("127.0.0.1")
        seed = str(self._random.randrange(1 << 30))
        arguments = ["-m", "tests.soak.target", name, version, address]
        arguments += [str(_FAULT_SHARE), seed]
        await target.child.start(arguments, {}, pipes=True)
        target.ledger = asyncio.ensure_future(
            processes.read_ledger(target.child, self.history)
        )
        self._targets[name] = target
        await asyncio.sleep(0.3)
        self._put_entry(target, "ready")
        return target

    def _put_entry(self, target: TargetProcess, state: str) -> None:
        entry = {
            "service": target.service,
            "addr": target.proxy.address,
            "zone": "zone-a",
            "version": target.version,
            "slots": 16,
            "state": state,
            "coldLeftMs": 0,
            "seq": 1 if state == "ready" else 2,
            "born": 1000,
        }
        self._store.put("servers", target.name, entry)

    def _put_document(self) -> None:
        document = fleet.make_document(self._version)
        document["tenants"] = [
            {"name": key.removeprefix("key-of-"), "apiKeys": [key]}
            for key in self._keys
        ]
        self._store.put("op", "config", document)

    async def _inject_faults(self) -> None:
        """Injects faults one after another, some of them at the same time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + self._seconds
        faults = [
            self._kill_daemon,
            self._suspend_daemon,
            self._stop_daemon,
            self._reload_daemon,
            self._disturb_front,
            self._cut_daemon,
            self._disturb_target,
            self._kill_target,
            self._suspend_target,
            self._replace_target,
            self._disturb_store,
            self._reject_store_calls,
            self._forget_history,
            self._restore_store,
            self._change_document,
            self._remove_key,
        ]
        while loop.time() < until:
            task = asyncio.ensure_future(self._random.choice(faults)())
            self._tasks.add(task)
            await asyncio.sleep(self._random.uniform(0.1, 1.2))
        await asyncio.gather(*self._tasks)

    def _pick_daemon(self) -> DaemonProcess | None:
        """Reserves a daemon for a fault; one always stays without faults."""
        healthy = [
            item for item in self._daemons if item.number not in self._faulty
        ]
        if len(healthy) < 2:
            return None
        daemon = self._random.choice(healthy)
        self._faulty.add(daemon.number)
        return daemon

    def _release_daemon(
        self, daemon: DaemonProcess, kind: str, at: float
    ) -> None:
        until = asyncio.get_running_loop().time() + RECOVERY_S
        self._faulty.discard(daemon.number)
        self._record_fault_window(kind, daemon.number, at, until)

    def _record_fault_window(
        self, kind: str, daemon: int | None, at: float, until: float
    ) -> None:
        self.history.fault_windows.append(
            checkers.FaultWindow(kind=kind, daemon=daemon, at=at, until=until)
        )

    async def _kill_daemon(self) -> None:
        if (daemon := self._pick_daemon()) is None:
            return
        at = asyncio.get_running_loop().time()
        await daemon.child.end(signal.SIGKILL)
        await asyncio.sleep(self._random.uniform(0.1, 1.0))
        await daemon.start()
        await self._wait_until_ready(daemon)
        self._release_daemon(daemon, "kill", at)

    async def _suspend_daemon(self) -> None:
        if (daemon := self._pick_daemon()) is None:
            return
        at = asyncio.get_running_loop().time()
        daemon.child.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.2, 2.5))
        daemon.child.send_signal(signal.SIGCONT)
        self._release_daemon(daemon, "pause", at)

    async def _stop_daemon(self) -> None:
        if (daemon := self._pick_daemon()) is None:
            return
        at = asyncio.get_running_loop().time()
        await daemon.child.end(signal.SIGTERM, _GRACE_S)
        await daemon.start()
        await self._wait_until_ready(daemon)
        self._release_daemon(daemon, "stop", at)

    async def _reload_daemon(self) -> None:
        self._random.choice(self._daemons).child.send_signal(signal.SIGHUP)

    async def _disturb_front(self) -> None:
        if (daemon := self._pick_daemon()) is None:
            return
        at = asyncio.get_running_loop().time()
        await self._disturb(daemon.front)
        self._release_daemon(daemon, "front", at)

    async def _cut_daemon(self) -> None:
        """Cuts a daemon off from all targets; clients and peers reach it."""
        if (daemon := self._pick_daemon()) is None:
            return
        at = asyncio.get_running_loop().time()
        modes = (proxy.Mode.SILENT, proxy.Mode.RESET)
        for mode in self._random.sample(modes, 2):
            self._cuts[daemon.number] = mode
            self._update_links()
            await asyncio.sleep(self._random.uniform(0.2, 2.0))
            del self._cuts[daemon.number]
            self._update_links()
            await asyncio.sleep(self._random.uniform(0.0, 0.5))
        self._release_daemon(daemon, "cut", at)

    def _update_links(self) -> None:
        for target in (*self._targets.values(), *self._draining.values()):
            target.proxy.update_links()

    def _find_link_mode(
        self, client: proxy.Address, own: proxy.Address
    ) -> proxy.Mode:
        """Returns the mode of a daemon's connection to a target."""
        cut = {
            daemon.child.pid: self._cuts[daemon.number]
            for daemon in self._daemons
            if daemon.number in self._cuts
        }
        owner = owners.find_owner(client, own, cut) if cut else None
        return proxy.Mode.PASS if owner is None else cut[owner]

    async def _disturb_target(self) -> None:
        target = self._random.choice(list(self._targets.values()))
        await self._disturb(target.proxy)

    async def _disturb(self, disturbed: proxy.Proxy) -> None:
        modes = [mode for mode in proxy.Mode if mode is not proxy.Mode.PASS]
        disturbed.mode = self._random.choice(modes)
        if disturbed.mode is proxy.Mode.RESET:
            disturbed.reset()
        await asyncio.sleep(self._random.uniform(0.2, 2.0))
        disturbed.mode = proxy.Mode.PASS

    async def _kill_target(self) -> None:
        """Kills a target; another one registers under a new id."""
        target = self._pick_removable()
        if target is None:
            return
        await target.child.end(signal.SIGKILL)
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        self._remove_entry(target)
        await self._add_target(target.service)

    async def _suspend_target(self) -> None:
        target = self._random.choice(list(self._targets.values()))
        target.child.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.2, 2.0))
        target.child.send_signal(signal.SIGCONT)

    async def _replace_target(self) -> None:
        """Drains and removes a target after another one has registered."""
        target = self._pick_removable()
        if target is None:
            return
        await self._add_target(target.service)
        self._draining[target.name] = target
        self._put_entry(target, "draining")
        self._record_change("drain", target.name)
        await asyncio.sleep(checkers.DRAIN_LIMIT_S + 1.0)
        del self._draining[target.name]
        self._remove_entry(target)
        await target.child.end(signal.SIGKILL)

    def _remove_entry(self, target: TargetProcess) -> None:
        if target.name in self._store.read("servers"):
            self._store.remove("servers", target.name)

    def _pick_removable(self) -> TargetProcess | None:
        """Removes a target from the list, unless its service has only one."""
        counts = list(item.service for item in self._targets.values())
        removable = [
            item
            for item in self._targets.values()
            if counts.count(item.service) > 1
        ]
        if not removable:
            return None
        target = self._random.choice(removable)
        del self._targets[target.name]
        return target

    async def _disturb_store(self) -> None:
        """Disturbs the connections of one daemon to the store."""
        daemon = self._random.choice(self._daemons)
        at = asyncio.get_running_loop().time()
        await self._disturb(daemon.store)
        until = asyncio.get_running_loop().time() + RECOVERY_S
        self._record_fault_window("store-path", None, at, until)

    async def _reject_store_calls(self) -> None:
        at = asyncio.get_running_loop().time()
        self._store.status = self._random.choice((429, 503))
        await asyncio.sleep(self._random.uniform(0.3, 2.0))
        self._store.status = 0
        until = asyncio.get_running_loop().time() + RECOVERY_S
        self._record_fault_window("store", None, at, until)

    async def _forget_history(self) -> None:
        self._store.forgets_history = True

    async def _restore_store(self) -> None:
        """Takes the store back to a copy; its writers then write again."""
        version = self._store.version
        await asyncio.sleep(self._random.uniform(0.5, 3.0))
        at = asyncio.get_running_loop().time()
        self._store.restore(min(version, self._store.version))
        await asyncio.sleep(self._random.uniform(0.0, 1.0))
        self._put_document()
        for target in self._targets.values():
            self._put_entry(target, "ready")
        for target in self._draining.values():
            self._put_entry(target, "draining")
        known = self._targets.keys() | self._draining.keys()
        for name in self._store.read("servers").keys() - known:
            self._store.remove("servers", name)
        until = asyncio.get_running_loop().time() + RECOVERY_S
        self._record_fault_window("store", None, at, until)

    async def _change_document(self) -> None:
        self._version += self._random.randint(1, 3)
        self._put_document()

    async def _remove_key(self) -> None:
        if len(self._keys) > 1:
            key = self._keys.pop()
            self._version += 1
            self._put_document()
            self._record_change("key", key)

    def _record_change(self, kind: str, name: str) -> None:
        at = asyncio.get_running_loop().time()
        self.history.changes.append(
            checkers.Change(kind=kind, name=name, at=at)
        )
