"""Audits the outcomes reported to clients against the services' ledgers."""

import asyncio
import collections
from collections import abc

import msgspec

from mothpass.control import http_client
from mothpass.core import errors
from mothpass.core import results
from mothpass.load import samples

_READ_TIMEOUT_MS = 2000


class LedgerEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One request that a service ran.

    Attributes:
        service: Name of the service.
        key: Idempotency key scoped by team, as targets receive it; None if
            the request has none.
    """

    service: str
    key: str | None = None


class _Ledger(msgspec.Struct, frozen=True, kw_only=True):
    entries: list[LedgerEntry]


class ReportedOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of one request as reported to the client.

    Attributes:
        service: Name of the service.
        key: Idempotency key scoped by team, as targets receive it.
        fate: How the request ended.
        ran: Whether it ran, as a rejection reports it.
    """

    service: str
    key: str
    fate: samples.Fate
    ran: str = ""


async def read_entries(addresses: list[str]) -> list[LedgerEntry]:
    """Reads the ledgers of the stand-in services at some addresses.

    Raises:
        errors.MothpassError: A ledger can't be read.
    """
    ledgers = await asyncio.gather(*(_read_ledger(x) for x in addresses))
    return [entry for ledger in ledgers for entry in ledger.entries]


def count_runs(
    entries: abc.Iterable[LedgerEntry], service: str, key: str
) -> int:
    """Returns how often a request ran."""
    return sum(x.service == service and x.key == key for x in entries)


def audit_requests(
    outcomes: list[ReportedOutcome], entries: list[LedgerEntry]
) -> samples.Audit:
    """Compares the reported outcomes of each key with the ledgers.

    "Not run" counts as untrue only if every answer under the key says so,
    since a later request may have run after an earlier "not run".
    """
    runs = collections.Counter((x.service, x.key) for x in entries)
    outcomes_by_key: dict[tuple[str, str], list[ReportedOutcome]] = {}
    for item in outcomes:
        outcomes_by_key.setdefault((item.service, item.key), []).append(item)
    return samples.Audit(
        keys=len(outcomes_by_key),
        ran=sum(runs[key] > 0 for key in outcomes_by_key),
        ran_twice=sum(runs[key] > 1 for key in outcomes_by_key),
        untrue_not_run=sum(
            runs[key] > 0 and all(map(_is_reported_not_run, items))
            for key, items in outcomes_by_key.items()
        ),
        unrecorded=sum(
            runs[key] == 0 and any(map(_is_whole, items))
            for key, items in outcomes_by_key.items()
        ),
    )


def _is_reported_not_run(item: ReportedOutcome) -> bool:
    return item.ran == results.Ran.NO.value


def _is_whole(item: ReportedOutcome) -> bool:
    return item.fate is samples.Fate.WHOLE


async def _read_ledger(address: str) -> _Ledger:
    request = http_client.Request(method="GET", path="/v1/ledger")
    response = await http_client.fetch(
        address, request, timeout_ms=_READ_TIMEOUT_MS
    )
    if response.status != 200:
        raise errors.TargetAnswerLostError(f"ledger of {address} can't be read")
    ledger: _Ledger = http_client.decode_body(response, _Ledger)
    return ledger
