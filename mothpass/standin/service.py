"""Serves a plain service that keeps a ledger of the requests it ran."""

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
from mothpass.standin import heartbeats
from mothpass.standin import identities
from mothpass.standin import load_history
from mothpass.standin import servers
from mothpass.standin import settings

_MS_PER_S = 1000


class LedgerEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One request that ran.

    Attributes:
        order: Index of the request in the ledger of this process.
        service: Name of the service.
        key: Idempotency key, None if the request has none.
        attempt_id: Id of the attempt, None if the request has none.
        team: Value of ``X-Team``, None if the header is absent.
        body_sha256: SHA-256 digest of the body in hex.
    """

    order: int
    service: str
    key: str | None
    attempt_id: str | None
    team: str | None
    body_sha256: str


class Receipt(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a request.

    Attributes:
        order: Index of the request in the ledger.
        service: Name of the service.
        body_sha256: SHA-256 digest of the body that ran, in hex.
        target_id: Instance that ran the request.
    """

    order: int
    service: str
    body_sha256: str
    target_id: str


class Service:
    """State of one service instance.

    Attributes:
        identity: Instance id and boot id.
        ledger: Requests that ran, in order.
        fault_state: Injected faults.
    """

    __slots__ = (
        "_load_history",
        "_options",
        "_running_count",
        "fault_state",
        "identity",
        "ledger",
    )

    def __init__(self, *, options: settings.ServiceSettings) -> None:
        """Initializes a service with an empty ledger."""
        self._options = options
        self._load_history = load_history.LoadHistory(
            lag_s=options.load_lag_ms / _MS_PER_S
        )
        self._running_count = 0
        self.fault_state = faults.FaultState(on_change=self._apply_faults)
        self.identity = identities.Identity(
            target_id=options.id, random=random.SystemRandom()
        )
        self.ledger: list[LedgerEntry] = []
        self._record_load()

    def read_state(self) -> members.State:
        """Returns the state to register with the membership list."""
        if self.fault_state.faults.leaving:
            return members.State.LEAVING
        return members.State.LIVE

    def read_load(self) -> targets.LoadReport:
        """Returns the load report, which lags by the configured time."""
        now = time.monotonic()
        load = self._load_history.read(now=now)
        return targets.LoadReport(
            target_id=self.identity.target_id,
            boot_id=self.identity.get_shown_boot_id(),
            phase=targets.Phase(load.phase),
            running=load.running,
            queued=load.queued,
            age_ms=round((now - load.at) * _MS_PER_S),
        )

    async def handle_request(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        """Runs a request, or rejects it."""
        attempt_id = bodies.read_header(request, identities.ATTEMPT_HEADER)
        service = bodies.read_path_parameter(request, "service")
        if self._options.serves and service not in self._options.serves:
            return self.identity.build_rejection(
                404, "service is not served by this instance", attempt_id
            )
        if self._running_count >= self._options.target_in_flight:
            return self.identity.build_rejection(
                503, "too many requests in flight", attempt_id
            )
        body = await request.read() or b""
        self._running_count += 1
        self._record_load()
        try:
            entry = self._run(request, service, attempt_id, body)
            await asyncio.sleep(self._options.run_ms / _MS_PER_S)
        finally:
            self._running_count -= 1
            self._record_load()
        return self._build_response(entry)

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

    def _build_response(self, entry: LedgerEntry) -> blacksheep.Response:
        receipt = Receipt(
            order=entry.order,
            service=entry.service,
            body_sha256=entry.body_sha256,
            target_id=self.identity.target_id,
        )
        attempt_id = entry.attempt_id
        if attempt_id and self.fault_state.take_crossed_answer():
            attempt_id = f"other-{attempt_id}"
        headers = self.identity.build_headers(attempt_id)
        return bodies.build_json_response(200, receipt, headers)

    def _record_load(self) -> None:
        leaving = self.fault_state.faults.leaving
        self._load_history.record(
            load_history.LoadSample(
                at=time.monotonic(),
                running=self._running_count,
                queued=0,
                phase="leaving" if leaving else "warm",
            )
        )

    def _apply_faults(self, current: faults.Faults) -> None:
        self.identity.shows_wrong_boot_id = current.wrong_boot_id
        self._record_load()


class Ledger(msgspec.Struct, frozen=True, kw_only=True):
    """Response to a read of the ledger."""

    boot_id: str
    entries: list[LedgerEntry]


def build_app(service: Service) -> blacksheep.Application:
    """Builds the HTTP application of a plain service."""
    app = blacksheep.Application(router=blacksheep.Router())

    @app.router.post("/v1/call/{service}")
    async def handle_request(
        request: blacksheep.Request,
    ) -> blacksheep.Response:
        return await service.handle_request(request)

    @app.router.get("/v1/ledger")
    async def read_ledger() -> blacksheep.Response:
        ledger = Ledger(
            boot_id=service.identity.boot_id, entries=service.ledger
        )
        return bodies.build_json_response(200, ledger)

    @app.router.get("/v1/load")
    async def read_load() -> blacksheep.Response:
        headers = service.identity.build_headers(None)
        return bodies.build_json_response(200, service.read_load(), headers)

    return app


async def run(options: settings.ServiceSettings) -> None:
    """Serves a plain service until SIGTERM or SIGINT."""
    service = Service(options=options)
    heartbeat_sender = heartbeats.HeartbeatSender(
        options=options,
        role=members.Role.SERVICE,
        read_state=service.read_state,
    )

    async def stop() -> None:
        service.fault_state.faults.leaving = True
        if options.drain_ms:
            await heartbeat_sender.send_heartbeat()
            await asyncio.sleep(options.drain_ms / _MS_PER_S)
        await heartbeat_sender.remove()

    hooks = servers.Hooks(start=heartbeat_sender.start, stop=stop)
    app = build_app(service)
    await servers.serve(app, options.address, service.fault_state, hooks)
