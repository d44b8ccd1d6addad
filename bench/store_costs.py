"""Measures store calls, time and bytes of claims and catalogue changes.

``python -m bench.store_costs`` prints one JSON line per measure. The platform
is simulated in memory, so times are those of the daemon's own code.
"""

import asyncio
import random
import sys
import time
import tracemalloc

import msgspec

from mothpass.core import catalogue
from mothpass.core import edits
from mothpass.core import revisions
from mothpass.core import store_budgets
from mothpass.daemon import at_most_once
from mothpass.daemon import catalogue_log
from mothpass.daemon import catalogues
from mothpass.daemon import proposals
from mothpass.daemon import stores
from mothpass.ports import targets
from tests import fakes_platform

TEAMS = 12_000
CHANGES = 200
REQUESTS = 2_000
NO_LIMIT_PER_S = 1e9

_LIMITS = catalogue.Limits(in_flight=100, requests_per_s=100, queued=100)


class StoreCost(msgspec.Struct, frozen=True, kw_only=True):
    """One cost, printed as a line of JSON.

    Attributes:
        measure: Name.
        value: Measured value.
        unit: Unit of the value.
    """

    measure: str
    value: float
    unit: str


class StoreUser:
    """The components of one daemon that use the store, with fake tables."""

    __slots__ = ("catalogues", "claims", "proposals", "tables")

    def __init__(self, *, name: str, tables: fakes_platform.MemoryTables):
        """Builds the components.

        Args:
            name: Instance id of the daemon.
            tables: The tables that they share.
        """
        objects = fakes_platform.MemoryObjects()
        source = random.Random(name)
        store = stores.Store(
            read_row=tables.read_row,
            scan_rows=tables.scan_rows,
            transact=tables.transact,
            get_object=objects.get_object,
            put_object=objects.put_object,
            store_budget=store_budgets.StoreBudget(
                reads_per_s=NO_LIMIT_PER_S,
                writes_per_s=NO_LIMIT_PER_S,
                daemons=1,
                now=time.monotonic(),
            ),
            monotonic=time.monotonic,
        )
        change_log = catalogue_log.CatalogueLog(
            store=store,
            sleep=asyncio.sleep,
            priority=store_budgets.Priority.CLAIM,
        )
        self.tables = tables
        self.catalogues = catalogues.CatalogueReplica(
            log=change_log,
            monotonic=time.monotonic,
            random=source,
            on_change=_ignore_revision,
        )
        self.proposals = proposals.ChangeProposer(
            daemon_id=name,
            replica=self.catalogues,
            log=change_log,
            wall=time.time,
            sleep=asyncio.sleep,
            random=source,
        )
        self.claims = at_most_once.AtMostOnceRunner(
            store=store,
            monotonic=time.monotonic,
            wall=time.time,
            sleep=asyncio.sleep,
            random=source,
        )


def _ignore_revision(_revision: revisions.Revision) -> None:
    """Ignores a new revision."""


def _build_catalogue(teams: int) -> catalogue.Catalogue:
    return catalogue.Catalogue(
        classes=[
            catalogue.ServiceClass(name="quick", priority=1, deadline_ms=5000)
        ],
        models=[],
        services=[],
        teams=[_build_team(number) for number in range(teams)],
        availability_zones=[],
    )


def _build_team(number: int, weight: int = 1) -> catalogue.Team:
    return catalogue.Team(
        name=f"team-{number:05d}",
        owner=f"owner of team {number}",
        service_class="quick",
        limits=_LIMITS,
        weight=weight,
        key_sha256=[f"{number:064x}"],
        uses=[],
    )


def _build_changes(
    base: revisions.Revision, count: int
) -> list[revisions.Change]:
    """Returns successive changes of one team each, after a base revision."""
    changes: list[revisions.Change] = []
    for number in range(count):
        entry = msgspec.json.encode(_build_team(number, weight=2))
        edit = edits.Edit(
            section="teams",
            name=f"team-{number:05d}",
            entry=msgspec.Raw(entry),
        )
        change = revisions.build_change(
            base,
            [edit],
            change_id=f"daemon-name-{number}",
            author="operator@example",
            at_ms=1_700_000_000_000,
        )
        changes.append(change)
        base = revisions.apply_change(base, change)
    return changes


async def measure_catalogue() -> list[StoreCost]:
    """Measures proposing, checking and changing a catalogue of 12,000 teams."""
    tables = fakes_platform.MemoryTables()
    store_user = StoreUser(name="d1", tables=tables)
    tracemalloc.start()
    full = _build_catalogue(TEAMS)
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started = time.process_time()
    await store_user.proposals.propose(0, full, author="bench")
    propose_s = time.process_time() - started
    data = catalogue.encode_catalogue(full)
    started = time.process_time()
    catalogue.decode_catalogue(data)
    check_s = time.process_time() - started
    before = (tables.transactions, tables.reads)
    await store_user.proposals.set_instance_out("e1", out=True, author="bench")
    writes = tables.transactions - before[0]
    reads = tables.reads - before[1]
    base = store_user.catalogues.newest
    changes = _build_changes(base, CHANGES)
    started = time.process_time()
    store_user.catalogues.apply_changes(changes)
    apply_s = (time.process_time() - started) / CHANGES
    sizes = [len(msgspec.json.encode(change)) for change in changes]
    return [
        StoreCost(
            measure="catalogue_memory", value=allocated_bytes / 1e6, unit="MB"
        ),
        StoreCost(
            measure="catalogue_json",
            value=len(data) / 1e6,
            unit="MB",
        ),
        StoreCost(
            measure="whole_catalogue_proposed", value=propose_s, unit="s"
        ),
        StoreCost(measure="whole_catalogue_checked", value=check_s, unit="s"),
        StoreCost(measure="change_followed", value=apply_s * 1e3, unit="ms"),
        StoreCost(measure="change_bytes", value=sum(sizes) / CHANGES, unit="B"),
        StoreCost(measure="change_transactions", value=writes, unit="calls"),
        StoreCost(measure="change_reads", value=reads, unit="calls"),
    ]


async def measure_polls() -> list[StoreCost]:
    """Measures a poll of the catalogue that finds no change."""
    tables = fakes_platform.MemoryTables()
    store_user = StoreUser(name="d1", tables=tables)
    await store_user.proposals.propose(0, _build_catalogue(10), author="bench")
    before = tables.reads
    await store_user.catalogues.poll()
    return [
        StoreCost(
            measure="poll_reads", value=tables.reads - before, unit="calls"
        )
    ]


async def measure_claims() -> list[StoreCost]:
    """Measures at-most-once requests, new ones and repeated ones."""
    tables = fakes_platform.MemoryTables()
    store_user = StoreUser(name="d1", tables=tables)
    started = time.process_time()
    for number in range(REQUESTS):
        await _run_request(store_user, number)
    await store_user.claims.drain()
    request_s = (time.process_time() - started) / REQUESTS
    writes, reads = tables.transactions, tables.reads
    for number in range(REQUESTS):
        await _run_request(store_user, number)
    rows = tables.list_rows("claims")
    size = sum(len(bytes(row.value)) for row in rows) / len(rows)
    return [
        StoreCost(measure="claim_time", value=request_s * 1e6, unit="us"),
        StoreCost(
            measure="claim_row_writes", value=writes / REQUESTS, unit="calls"
        ),
        StoreCost(measure="claim_reads", value=reads / REQUESTS, unit="calls"),
        StoreCost(
            measure="repeated_claim_writes",
            value=(tables.transactions - writes) / REQUESTS,
            unit="calls",
        ),
        StoreCost(
            measure="repeated_claim_reads",
            value=(tables.reads - reads) / REQUESTS,
            unit="calls",
        ),
        StoreCost(measure="claim_row_bytes", value=size, unit="B"),
    ]


async def _run_request(store_user: StoreUser, number: int) -> None:
    body = b'{"amount": 30, "chair": "victoria-12", "day": "2026-12-03"}'
    deadline = time.monotonic() + 5.0
    attempt = targets.Attempt(
        id=f"d1-{number}-{random.getrandbits(32)}",
        target_id="s1",
        address="127.0.0.1:1",
        path="/v1/call/payment",
        body=body,
        priority=0,
        idempotency_key=f"key-{number}",
        deadline=deadline,
    )
    request = at_most_once.Request(
        team="north",
        service="payment",
        idempotency_key=f"key-{number}",
        body=body,
        deadline=deadline,
        result_kept_ms=86_400_000,
    )
    await store_user.claims.run_once(request, attempt, _send_attempt)


async def _send_attempt(attempt: targets.Attempt) -> targets.Answer:
    return targets.Answer(
        attempt_id=attempt.id,
        status=200,
        body=b'{"receipt": "0123456789abcdef"}',
        boot_id="b1",
    )


async def _measure_all() -> list[StoreCost]:
    return [
        *await measure_catalogue(),
        *await measure_polls(),
        *await measure_claims(),
    ]


def main() -> int:
    """Prints all measures and returns the exit status."""
    for item in asyncio.run(_measure_all()):
        print(msgspec.json.encode(item).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
