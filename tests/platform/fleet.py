"""Base of tests: relay daemons and stand-ins of the platform in one loop."""

import asyncio
from collections import abc
import enum
import itertools
import typing
import unittest

from mothpass.adapters import http_exchanges
from mothpass.adapters import http_pool
from mothpass.core import errors
from mothpass.platform import daemon as daemon_module
from mothpass.relay import service as service_module
from mothpass.relay import settings as settings_module
from tests.platform import store_standin
from tests.platform import target_standin
from tests.platform import wire

HOST = "shop.example"
KEY = "key-of-red"
_ports = itertools.count(21_000, 4)
_ids = itertools.count(1)


def make_route(name: str, kind: str, **fields: object) -> dict[str, object]:
    """Returns a route with prefix ``/NAME/`` of the operator's document."""
    route: dict[str, object] = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 300,
        "priority": 1,
        "service": "plain",
        "maxAttempts": 2,
        "authExempt": False,
        "sessionAffinity": False,
        "streamResume": False,
        "gapAimMs": 500,
    }
    return route | fields


def make_document(version: int = 1) -> dict[str, object]:
    """Returns a document with routes of each kind."""
    chat: dict[str, object] = {"service": "models", "sessionAffinity": True}
    return {
        "version": version,
        "routes": [
            make_route("read", "idempotent"),
            make_route("pay", "non_idempotent", maxAttempts=1),
            make_route("chat", "stream", streamResume=True, **chat),
            make_route("once", "stream", maxAttempts=1, **chat),
            make_route("open", "idempotent", authExempt=True),
        ],
        "services": [
            {"name": "plain", "healthPath": "/health", "maxConns": 50},
            {
                "name": "models",
                "healthPath": "/health",
                "maxConns": 50,
                "coldStartS": 3.0,
                "coldPerS": 10.0,
                "engine": {"kvBytes": 18432, "linkMbps": 550000},
            },
        ],
        "limits": {
            "maxHeaderBytes": 4096,
            "maxBodyBytes": 10_000,
            "headerTimeoutMs": 500,
            "idleTimeoutMs": 2000,
        },
        "tenants": [{"name": "red", "apiKeys": [KEY], "priority": 2}],
    }


class _DeafTransport:
    """Transport of a connection over which nothing gets through any more."""

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        transport.pause_reading()

    def write(self, data: bytes) -> None:
        del data

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def is_closing(self) -> bool:
        return self._transport.is_closing()

    def abort(self) -> None:
        self._transport.abort()


class Cut(enum.StrEnum):
    """What a cut link does.

    SILENT: nothing gets through. RESET: connections are reset, new ones are
    refused. REFUSED: connections live on, new ones are refused.
    """

    SILENT = "silent"
    RESET = "reset"
    REFUSED = "refused"


class LinkedPool(http_pool.ConnectionPool):
    """Connects over links that can be replaced, slowed down and cut.

    Attributes:
        connect_delay_s: Time that a new connection takes.
    """

    def __init__(self, links: dict[str, str]) -> None:
        super().__init__(connect_timeout_ms=service_module.CONNECT_TIMEOUT_MS)
        self.connect_delay_s = 0.0
        self._links = links
        self._cuts: dict[str, Cut] = {}
        self._opened: dict[str, list[http_exchanges.Connection]] = {}

    def cut(self, addresses: abc.Iterable[str], how: Cut) -> None:
        """Cuts the links to addresses."""
        for address in addresses:
            self._cuts[address] = how
            for connection in self._opened.pop(address, ()):
                _cut_connection(connection, how)

    def silence_idle(self, address: str, idle_s: float) -> int:
        """Silences connections over which nothing has come for a time.

        New ones work. Returns how many went silent.
        """
        now = asyncio.get_running_loop().time()
        silenced = 0
        for connection in self._opened.get(address, ()):
            exchange = connection._exchange
            if exchange is not None and now - exchange.last_byte_at >= idle_s:
                _cut_connection(connection, Cut.SILENT)
                silenced += 1
        return silenced

    def heal(self) -> None:
        """Ends all cuts; silent connections stay silent."""
        self._cuts.clear()

    async def _connect(self, address: str) -> http_exchanges.Connection:
        await asyncio.sleep(self.connect_delay_s)
        how = self._cuts.get(address)
        if how is not None:
            if how is Cut.SILENT:
                await asyncio.sleep(service_module.CONNECT_TIMEOUT_MS / 1000)
            raise errors.TargetUnreachableError(
                f"no connection to {address}: cut"
            )
        connection = await super()._connect(self._links.get(address, address))
        self._opened.setdefault(address, []).append(connection)
        return connection


def _cut_connection(connection: http_exchanges.Connection, how: Cut) -> None:
    transport = connection._transport
    if transport is None or how is Cut.REFUSED:
        return
    if how is Cut.RESET:
        transport.abort()
    else:
        deaf = _DeafTransport(transport)
        connection._transport = typing.cast(asyncio.Transport, deaf)


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Base class: a store, two targets of each service and daemons."""

    daemons = 1

    async def asyncSetUp(self) -> None:
        self.store = store_standin.Store()
        await self.store.open()
        self.addCleanup(self.store.close)
        self.plain = [await self.add_target("plain") for _ in range(2)]
        self.models = [await self.add_target("models") for _ in range(2)]
        self.document = make_document()
        self.store.put("op", "config", self.document)
        self.services: list[service_module.Service] = []
        self.pools: list[LinkedPool] = []
        self.addresses: list[str] = []
        self._base = next(_ports)
        for number in range(self.daemons):
            await self.add_daemon(number)

    async def asyncTearDown(self) -> None:
        for service in self.services:
            await service.close()

    async def add_target(
        self, service: str, version: str = "v1", **fields: object
    ) -> target_standin.Target:
        """Starts a target of a software version and registers it."""
        target = target_standin.Target(f"i-{next(_ids):08x}")
        target.version = version
        await target.open()
        self.addCleanup(target.close)
        entry = target.encode_entry(service, **fields)
        self.store.put("servers", target.id, entry)
        return target

    def script_all(
        self,
        targets: list[target_standin.Target],
        *scripts: target_standin.Script,
    ) -> None:
        """Makes targets use scripts in order, then answer normally."""
        order = list(scripts)

        async def run(
            target: target_standin.Target,
            request: wire.Request,
            writer: asyncio.StreamWriter,
        ) -> None:
            script = order.pop(0) if order else target_standin.answer_normally
            await script(target, request, writer)

        for target in targets:
            target.answer = run

    async def add_daemon(
        self,
        number: int,
        store: str = "",
        links: dict[str, str] | None = None,
        cut: Cut | None = None,
    ) -> None:
        """Starts a daemon and waits until it is ready.

        Args:
            number: Its number, unique in the fleet.
            store: Address of its store, if not that of the others.
            links: Addresses that it connects to in place of others.
            cut: How its links to the targets are cut from the start.
        """
        host = f"127.0.1.{number + 1}"
        settings = settings_module.Settings(
            id=f"front-{number}",
            availability_zone="zone-a",
            address=host,
            clients=f"{host}:{self._base}",
            health=f"{host}:{self._base + 1}",
            peer_ports=(self._base + 2, self._base + 2),
            seeds=[f"127.0.1.1:{self._base + 3}"],
            store=store or self.store.address,
            metrics_port=self._base + 3,
            grace_s=4.0,
        )
        pool = LinkedPool(links or {})
        self.pools.append(pool)
        if cut is not None:
            self.cut_daemon(number, cut)
        service = daemon_module.build_service(
            settings, pool, daemon_module.build_store(settings, pool)
        )
        await service.start()
        self.services.append(service)
        self.addresses.append(settings.clients)
        await self.wait_until_ready(settings.health)

    def cut_daemon(self, number: int, how: Cut) -> None:
        """Cuts the links of a daemon to all targets."""
        targets = [*self.plain, *self.models]
        self.pools[number].cut([item.address for item in targets], how)

    async def wait_until_ready(self, address: str) -> None:
        """Waits until a daemon reports that it is ready."""
        for _ in range(200):
            client = await wire.Client.connect(address)
            client.send("GET", "/-/readiness", {"Host": address})
            answer = await client.read()
            client.close()
            if answer.status == 200:
                return
            await asyncio.sleep(0.02)
        self.fail("the daemon didn't become ready")

    def make_headers(self, **fields: str) -> dict[str, str]:
        """Returns the headers of a client's request with a new id."""
        headers = {
            "Host": HOST,
            "Attempt-Id": f"{next(_ids):016x}",
            "Deadline-Ms": "3000",
            "Authorization": f"Bearer {KEY}",
        }
        return headers | {
            name.replace("_", "-"): value for name, value in fields.items()
        }

    def make_chat_headers(self, **fields: str) -> dict[str, str]:
        """Returns the headers of a model request."""
        return self.make_headers(
            Model="m",
            Token_Count="120,40",
            Prompt_Prefix="aa:80,bb:30,cc:10",
            **fields,
        )

    async def send_request(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        daemon: int = 0,
    ) -> wire.Answer:
        """Sends one request over a new connection and returns the answer."""
        client = await wire.Client.connect(self.addresses[daemon])
        client.send(method, path, headers or self.make_headers(), body)
        answer = await client.read()
        client.close()
        return answer

    async def wait_for(self, condition: object, timeout_s: float = 5.0) -> None:
        """Waits until a condition holds."""
        assert callable(condition)
        async with asyncio.timeout(timeout_s):
            # The stand-ins signal no event to wait for.
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def drain_target(
        self, target: target_standin.Target, timeout_s: float
    ) -> None:
        """Lets a plain target drain; waits until all daemons know of it."""
        entry = target.encode_entry("plain", state="draining", seq=2)
        self.store.put("servers", target.id, entry)
        await self.wait_for(
            lambda: all(
                item.state.targets.targets[target.id].registration.is_draining
                for item in self.services
            ),
            timeout_s,
        )

    async def wait_until_followed(self) -> None:
        """Waits until change feed calls of both tables wait at the store.

        A daemon makes them some time after its start.
        """
        await self.wait_for(
            lambda: {"op", "servers"} <= set(self.store.waiting_calls)
        )

    async def wait_for_version(
        self, version: int, timeout_s: float = 2.0
    ) -> None:
        """Waits until all daemons have a version of the document in force."""
        await self.wait_for(
            lambda: all(
                item.state.routes is not None
                and item.state.routes.version == version
                for item in self.services
            ),
            timeout_s,
        )
