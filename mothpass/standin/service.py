"""A plain service with a ledger of every call that it ran."""

import asyncio
import hashlib
import random
import time

import blacksheep
import msgspec

from mothpass.ports import members
from mothpass.ports import targets
from mothpass.standin import bodies
from mothpass.standin import faults
from mothpass.standin import identities
from mothpass.standin import loads
from mothpass.standin import registrations
from mothpass.standin import servers
from mothpass.standin import settings

_MS_PER_S = 1000


class LedgerEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One call that ran.

    Attributes:
        order: Its place among all calls of this process, from 0.
        service: Name of the service.
        key: Idempotency key, None without one.
        attempt_id: Attempt that it belongs to, None without one.
        team: Team as sent in ``X-Team``, None without it.
        body_sha256: Digest of the body in hex.
    """

    order: int
    service: str
    key: str | None
    attempt_id: str | None
    team: str | None
    body_sha256: str


class Receipt(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a call.

    Attributes:
        order: Place of the call in the ledger.
        service: Name of the service.
        body_sha256: Digest of the body that it ran with.
        target_id: Instance that ran it.
    """

    order: int
    service: str
    body_sha256: str
    target_id: str


class Service:
    """State of one service instance.

    Attributes:
        identity: Id and boot id.
        ledger: What it ran, in order.
        faults: Faults that are set.
    """

    __slots__ = (
        "_history",
        "_options",
        "_running",
        "faults",
        "identity",
        "ledger",
    )

    def __init__(self, *, options: settings.ServiceSettings) -> None:
        """Starts with an empty ledger."""
        self._options = options
        self._history = loads.LoadHistory(lag_s=options.load_lag_ms / _MS_PER_S)
        self._running = 0
        self.faults = faults.FaultState(on_change=self._change_faults)
        self.identity = identities.Identity(
            target_id=options.id, random=random.SystemRandom()
        )
        self.ledger: list[LedgerEntry] = []
        self._record_load()

    def read_state(self) -> members.State:
        """Returns the state that the membership list shows."""
        if self.faults.faults.leaving:
            return members.State.LEAVING
        return members.State.LIVE

    def read_load(self) -> targets.LoadReport:
        """Returns the lagging load report."""
        now = time.monotonic()
        load = self._history.read(now=now)
        return targets.LoadReport(
            target_id=self.identity.target_id,
            boot_id=self.identity.show_boot_id(),
            phase=targets.Phase(load.phase),
            running=load.running,
            queued=load.queued,
            age_ms=round((now - load.at) * _MS_PER_S),
        )

    async def call(self, request: blacksheep.Request) -> blacksheep.Response:
        """Runs one call, or refuses it where it can't."""
        attempt_id = bodies.read_header(request, identities.ATTEMPT_HEADER)
        service = bodies.read_part(request, "service")
        if self._options.serves and service not in self._options.serves:
            return self.identity.refuse(404, "not served here", attempt_id)
        if self._running >= self._options.target_in_flight:
            return self.identity.refuse(503, "too many calls", attempt_id)
        body = await request.read() or b""
        self._running += 1
        self._record_load()
        try:
            entry = self._run(request, service, attempt_id, body)
            await asyncio.sleep(self._options.run_ms / _MS_PER_S)
        finally:
            self._running -= 1
            self._record_load()
        return self._answer(entry)

    def _run(
        self,
        request: blacksheep.Request,
        service: str,
        attempt_id: str | None,
        body: bytes,
    ) -> LedgerEntry:
        entry = LedgerEntry(
            order=len(self.ledger),
            service=service,
            key=bodies.read_header(request, "Idempotency-Key"),
            attempt_id=attempt_id,
            team=bodies.read_header(request, "X-Team"),
            body_sha256=hashlib.sha256(body).hexdigest(),
        )
        self.ledger.append(entry)
        return entry

    def _answer(self, entry: LedgerEntry) -> blacksheep.Response:
        receipt = Receipt(
            order=entry.order,
            service=entry.service,
            body_sha256=entry.body_sha256,
            target_id=self.identity.target_id,
        )
        attempt_id = entry.attempt_id
        if attempt_id and self.faults.take_crossed_answer():
            attempt_id = f"other-{attempt_id}"
        headers = self.identity.build_headers(attempt_id)
        return bodies.answer_json(200, receipt, headers)

    def _record_load(self) -> None:
        leaving = self.faults.faults.leaving
        self._history.record(
            loads.Load(
                at=time.monotonic(),
                running=self._running,
                queued=0,
                phase="leaving" if leaving else "warm",
            )
        )

    def _change_faults(self, present: faults.Faults) -> None:
        self.identity.show_wrong = present.wrong_boot_id
        self._record_load()


class Ledger(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a read of the ledger."""

    boot_id: str
    entries: list[LedgerEntry]


def build_app(service: Service) -> blacksheep.Application:
    """Builds the application of a plain service."""
    app = blacksheep.Application(router=blacksheep.Router())

    @app.router.post("/v1/call/{service}")
    async def call(request: blacksheep.Request) -> blacksheep.Response:
        return await service.call(request)

    @app.router.get("/v1/ledger")
    async def read_ledger() -> blacksheep.Response:
        ledger = Ledger(
            boot_id=service.identity.boot_id, entries=service.ledger
        )
        return bodies.answer_json(200, ledger)

    @app.router.get("/v1/load")
    async def read_load() -> blacksheep.Response:
        headers = service.identity.build_headers(None)
        return bodies.answer_json(200, service.read_load(), headers)

    return app


async def run(options: settings.ServiceSettings) -> None:
    """Serves a plain service until it is told to stop."""
    service = Service(options=options)
    registration = registrations.Registration(
        options=options,
        role=members.Role.SERVICE,
        read_state=service.read_state,
    )

    async def stop() -> None:
        service.faults.faults.leaving = True
        if options.drain_ms:
            await registration.beat()
            await asyncio.sleep(options.drain_ms / _MS_PER_S)
        await registration.remove()

    hooks = servers.Hooks(start=registration.start, stop=stop)
    app = build_app(service)
    await servers.serve(app, options.address, service.faults, hooks)
