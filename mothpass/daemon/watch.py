"""Reads the catalogue, the membership list and load reports on a tick."""

import asyncio
from collections import abc
import contextlib
import logging

from mothpass.core import errors
from mothpass.core import routing
from mothpass.core import targets as target_states
from mothpass.daemon import catalogues
from mothpass.ports import clock
from mothpass.ports import members
from mothpass.ports import targets

MEMBERS_POLL_MS = 1000
CATALOGUE_CHECK_MS = 200
_log = logging.getLogger(__name__)


async def follow_catalogue(
    present: catalogues.Catalogues, monotonic: clock.Monotonic
) -> None:
    """Polls the store for the catalogue whenever that is due."""
    while True:
        if present.needs_poll(monotonic()):
            await present.poll()
        await asyncio.sleep(CATALOGUE_CHECK_MS / 1000)


async def follow_members(
    read: members.ReadMembers, take: abc.Callable[[members.Members], None]
) -> None:
    """Reads the membership list again and again."""
    while True:
        try:
            take(await read())
        except errors.StoreUnavailableError as error:
            _log.warning("membership list not read: %s", error)
        await asyncio.sleep(MEMBERS_POLL_MS / 1000)


async def follow_loads(
    router: routing.Router,
    read: targets.ReadLoad,
    poll_ms: int,
    monotonic: clock.Monotonic,
    wake: abc.Callable[[], None],
) -> None:
    """Reads the load reports of all targets again and again."""
    while True:
        async with asyncio.TaskGroup() as group:
            for target in list(router.targets.values()):
                group.create_task(_read_load(router, read, target, monotonic))
        wake()
        await asyncio.sleep(poll_ms / 1000)


async def _read_load(
    router: routing.Router,
    read: targets.ReadLoad,
    target: target_states.Target,
    monotonic: clock.Monotonic,
) -> None:
    began = monotonic()
    with contextlib.suppress(errors.MothpassError):
        report = await read(target.instance.address)
        if report.target_id != target.id:
            return
        record = target_states.LoadRecord(
            target_id=target.id,
            boot_id=report.boot_id,
            phase=report.phase,
            running=report.running,
            queued=report.queued,
            received_at=began,
            age_ms=report.age_ms,
        )
        router.record_loads([record], now=monotonic())
