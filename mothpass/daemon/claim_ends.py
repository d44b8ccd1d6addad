"""Ends the rows of calls that ran, in the background until it is confirmed."""

import asyncio
from collections import abc
import logging
import random as random_module

import msgspec

from mothpass.core import budget
from mothpass.core import claims
from mothpass.core import errors
from mothpass.daemon import stores
from mothpass.ports import clock
from mothpass.ports import tables
from mothpass.ports import targets

PAUSE_FIRST_S = 0.1
PAUSE_MOST_S = 5.0

_CLAIM = budget.Priority.CLAIM
_logger = logging.getLogger("mothpass.claims")


class ClaimEnds:
    """Rows that are to be ended.

    An outage of the store delays the end; the answer to the caller doesn't
    wait for it. Until the store has it, asks through this daemon are answered
    from here. If this daemon dies first, the row says for good that the call
    may have run.
    """

    __slots__ = ("_random", "_sleep", "_store", "_tasks", "_unsettled", "_wall")

    def __init__(
        self,
        *,
        store: stores.Store,
        wall: clock.WallClock,
        sleep: stores.Sleep,
        random: random_module.Random,
    ) -> None:
        """Starts with none."""
        self._store = store
        self._wall = wall
        self._sleep = sleep
        self._random = random
        self._tasks: set[asyncio.Task[None]] = set()
        self._unsettled: dict[str, claims.Stored] = {}

    @property
    def count(self) -> int:
        """Rows that the store has not confirmed yet."""
        return len(self._tasks)

    def find(self, call: claims.Call) -> claims.Stored | None:
        """Returns the end of a call that ran here and isn't stored yet."""
        key = claims.name_row(call.team, call.service, call.idempotency_key)
        return self._unsettled.get(key)

    def begin(self, stored: claims.Stored, end: claims.Claim) -> None:
        """Starts to end a row that this daemon's attempt holds.

        Args:
            stored: The row as it was confirmed.
            end: The row as it should become.
        """
        key = claims.name_row(end.team, end.service, end.idempotency_key)
        if end.state is not claims.State.NOT_RUN:
            self._unsettled[key] = claims.Stored(
                version=stored.version, claim=end
            )
        self._start(self._end_row(key, stored, end))

    def abandon(self, claim: claims.Claim, expected_version: int) -> None:
        """Starts to end a row whose claim was sent and never confirmed.

        Args:
            claim: The row as the attempt would have written it. The attempt
                sends nothing any more.
            expected_version: Version that its newest write expects.
        """
        end = claims.end_not_run(claim)
        self._start(self._end_unconfirmed(end, expected_version))

    async def drain(self) -> None:
        """Waits until the store has confirmed each end."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start(self, work: abc.Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _end_row(
        self, key: str, stored: claims.Stored, end: claims.Claim
    ) -> None:
        """Ends a confirmed row; then the store can answer for it."""
        found: claims.Stored | None = stored

        async def plan() -> tables.Write | None:
            return claims.plan_end(found, await self._move_body(end))

        pause_s = PAUSE_FIRST_S
        while not self._is_over(end):
            try:
                if await self._try_write(plan):
                    break
                found = await self._read(key)
            except (
                errors.StoreUnavailableError,
                errors.StoreUnconfirmedError,
            ):
                pause_s = await self._pause(pause_s)
        held = self._unsettled.get(key)
        if held is not None and held.claim is end:
            del self._unsettled[key]

    async def _end_unconfirmed(
        self, end: claims.Claim, expected_version: int
    ) -> None:
        """Ends a row that may be there, or puts an ended one in its place."""
        key = claims.name_row(end.team, end.service, end.idempotency_key)

        async def plan() -> tables.Write | None:
            found = await self._read(key)
            return claims.plan_abandon(
                found, end, expected_version=expected_version
            )

        pause_s = PAUSE_FIRST_S
        while not self._is_over(end):
            try:
                if await self._try_write(plan):
                    return
            except (
                errors.StoreUnavailableError,
                errors.StoreUnconfirmedError,
            ):
                pause_s = await self._pause(pause_s)

    async def _try_write(
        self, plan: abc.Callable[[], abc.Awaitable[tables.Write | None]]
    ) -> bool:
        """Writes what is planned once; returns whether nothing is left."""
        write = await plan()
        if write is None:
            return True
        outcome = await self._store.transact([write], priority=_CLAIM)
        return isinstance(outcome, tables.Committed)

    async def _move_body(self, end: claims.Claim) -> claims.Claim:
        """Puts a body that is too large for a row into the object store."""
        answer = targets.Answer(
            attempt_id=end.token,
            status=end.status,
            body=end.body,
            boot_id=end.boot_id,
        )
        name = claims.name_body_object(answer)
        if not name:
            return end
        await self._store.put_object(name, end.body, priority=_CLAIM)
        return msgspec.structs.replace(end, body=b"", body_object=name)

    async def _read(self, key: str) -> claims.Stored | None:
        row = await self._store.read_row(claims.TABLE, key, priority=_CLAIM)
        return claims.decode_row(row)

    async def _pause(self, pause_s: float) -> float:
        """Waits, with jitter, and returns how long to wait the next time."""
        await self._sleep(pause_s * self._random.uniform(0.5, 1.0))
        return min(PAUSE_MOST_S, pause_s * 2)

    def _is_over(self, end: claims.Claim) -> bool:
        """Tells whether the row's time is over, so that it is left alone."""
        return not claims.is_kept(end, wall_ms=int(self._wall() * 1000))
