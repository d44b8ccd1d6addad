"""Holds what callers were told of their calls against the services' ledgers."""

import asyncio
import collections
from collections import abc

import msgspec

from mothpass.control import http_client
from mothpass.core import errors
from mothpass.core import results
from mothpass.load import samples

_TIMEOUT_MS = 2000


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """One call that a service ran.

    Attributes:
        service: Name of the service.
        key: Idempotency key with its team, as targets are shown it; None
            without one.
    """

    service: str
    key: str | None = None


class _Ledger(msgspec.Struct, frozen=True, kw_only=True):
    entries: list[Entry]


class Told(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller was told of one call.

    Attributes:
        service: Name of the service.
        key: Idempotency key with its team, as targets are shown it.
        fate: What became of the request.
        ran: Whether it ran, as a refusal says.
    """

    service: str
    key: str
    fate: samples.Fate
    ran: str = ""


async def read_entries(addresses: list[str]) -> list[Entry]:
    """Reads the ledgers of all stand-in services.

    Raises:
        errors.MothpassError: Where one of them can't be read.
    """
    ledgers = await asyncio.gather(*(_read_ledger(x) for x in addresses))
    return [entry for ledger in ledgers for entry in ledger.entries]


def count_runs(entries: abc.Iterable[Entry], service: str, key: str) -> int:
    """Returns how often a call ran."""
    return sum(x.service == service and x.key == key for x in entries)


def audit_calls(told: list[Told], entries: list[Entry]) -> samples.Audit:
    """Holds what was told of each key against what ran.

    "Not run" counts as untrue only where each answer under a key said so,
    since a later ask may have run after an earlier "not run".
    """
    runs = collections.Counter((x.service, x.key) for x in entries)
    answers: dict[tuple[str, str], list[Told]] = {}
    for item in told:
        answers.setdefault((item.service, item.key), []).append(item)
    return samples.Audit(
        keys=len(answers),
        ran=sum(runs[key] > 0 for key in answers),
        ran_twice=sum(runs[key] > 1 for key in answers),
        untrue_not_run=sum(
            runs[key] > 0 and all(map(_says_not_run, items))
            for key, items in answers.items()
        ),
        unrecorded=sum(
            runs[key] == 0 and any(map(_is_whole, items))
            for key, items in answers.items()
        ),
    )


def _says_not_run(item: Told) -> bool:
    return item.ran == results.Ran.NO.value


def _is_whole(item: Told) -> bool:
    return item.fate is samples.Fate.WHOLE


async def _read_ledger(address: str) -> _Ledger:
    request = http_client.Request(method="GET", path="/v1/ledger")
    response = await http_client.fetch(address, request, timeout_ms=_TIMEOUT_MS)
    if response.status != 200:
        raise errors.TargetAnswerLostError(f"ledger of {address} not read")
    ledger: _Ledger = http_client.decode_body(response, _Ledger)
    return ledger
