"""Writes the final states of claims to the store, in the background."""

import asyncio
from collections import abc
import logging
import random as random_module

import msgspec

from mothpass.core import claims
from mothpass.core import errors
from mothpass.core import store_budgets
from mothpass.daemon import stores
from mothpass.ports import clock
from mothpass.ports import tables
from mothpass.ports import targets

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0

_PRIORITY = store_budgets.Priority.CLAIM
_logger = logging.getLogger("mothpass.claims")


class ClaimFinalizer:
    """Writes the final states of claims, with retries until confirmed.

    An outage of the store delays the writes, but not the responses to clients.
    Until a write is confirmed, requests with the same key at this daemon are
    answered from memory. If this daemon dies first, the row permanently says
    that the request may have run.
    """

    __slots__ = (
        "_random",
        "_sleep",
        "_store",
        "_tasks",
        "_unconfirmed",
        "_wall",
    )

    def __init__(
        self,
        *,
        store: stores.Store,
        wall: clock.WallClock,
        sleep: stores.Sleep,
        random: random_module.Random,
    ) -> None:
        """Starts with no claims to finalize."""
        self._store = store
        self._wall = wall
        self._sleep = sleep
        self._random = random
        self._tasks: set[asyncio.Task[None]] = set()
        self._unconfirmed: dict[str, claims.Stored] = {}

    @property
    def count(self) -> int:
        """Number of writes that the store has not confirmed yet."""
        return len(self._tasks)

    def find_unconfirmed(self, call: claims.Call) -> claims.Stored | None:
        """Returns the final state of a call that isn't stored yet, if any."""
        key = claims.name_row(call.team, call.service, call.idempotency_key)
        return self._unconfirmed.get(key)

    def finalize(self, stored: claims.Stored, final: claims.Claim) -> None:
        """Starts to write the final state of a confirmed claim.

        Args:
            stored: The row as the store confirmed it.
            final: The claim in its final state.
        """
        key = claims.name_row(final.team, final.service, final.idempotency_key)
        if final.state is not claims.State.NOT_RUN:
            self._unconfirmed[key] = claims.Stored(
                version=stored.version, claim=final
            )
        self._start_task(self._finalize_confirmed(key, stored, final))

    def abandon(self, claim: claims.Claim, expected_version: int) -> None:
        """Starts to release a claim that was sent and never confirmed.

        Args:
            claim: The claim as the attempt wrote it. The attempt must not be
                sent any more.
            expected_version: Row version that its latest write expects.
        """
        final = claims.end_not_run(claim)
        self._start_task(self._finalize_unconfirmed(final, expected_version))

    async def drain(self) -> None:
        """Waits until the store has confirmed all writes."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start_task(self, coroutine: abc.Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _finalize_confirmed(
        self, key: str, stored: claims.Stored, final: claims.Claim
    ) -> None:
        """Writes a final state until confirmed; then drops it from memory."""
        found: claims.Stored | None = stored

        async def plan() -> tables.Write | None:
            return claims.plan_end(found, await self._offload_body(final))

        backoff_s = MIN_BACKOFF_S
        while not self._is_expired(final):
            try:
                if await self._write_once(plan):
                    break
                found = await self._read_row(key)
            except (
                errors.StoreUnavailableError,
                errors.StoreUnconfirmedError,
            ):
                backoff_s = await self._back_off(backoff_s)
        unconfirmed = self._unconfirmed.get(key)
        if unconfirmed is not None and unconfirmed.claim is final:
            del self._unconfirmed[key]

    async def _finalize_unconfirmed(
        self, final: claims.Claim, expected_version: int
    ) -> None:
        """Releases a claim that may be stored, or writes a released one."""
        key = claims.name_row(final.team, final.service, final.idempotency_key)

        async def plan() -> tables.Write | None:
            found = await self._read_row(key)
            return claims.plan_abandon(
                found, final, expected_version=expected_version
            )

        backoff_s = MIN_BACKOFF_S
        while not self._is_expired(final):
            try:
                if await self._write_once(plan):
                    return
            except (
                errors.StoreUnavailableError,
                errors.StoreUnconfirmedError,
            ):
                backoff_s = await self._back_off(backoff_s)

    async def _write_once(
        self, plan: abc.Callable[[], abc.Awaitable[tables.Write | None]]
    ) -> bool:
        """Writes the planned row once; returns whether no write is left."""
        write = await plan()
        if write is None:
            return True
        outcome = await self._store.transact([write], priority=_PRIORITY)
        return isinstance(outcome, tables.Committed)

    async def _offload_body(self, final: claims.Claim) -> claims.Claim:
        """Moves a body that is too large for a row to the object store."""
        answer = targets.Answer(
            attempt_id=final.token,
            status=final.status,
            body=final.body,
            boot_id=final.boot_id,
        )
        name = claims.name_body_object(answer)
        if not name:
            return final
        await self._store.put_object(name, final.body, priority=_PRIORITY)
        return msgspec.structs.replace(final, body=b"", body_object=name)

    async def _read_row(self, key: str) -> claims.Stored | None:
        row = await self._store.read_row(claims.TABLE, key, priority=_PRIORITY)
        return claims.decode_row(row)

    async def _back_off(self, backoff_s: float) -> float:
        """Waits with jitter; returns the next backoff in seconds."""
        await self._sleep(backoff_s * self._random.uniform(0.5, 1.0))
        return min(MAX_BACKOFF_S, backoff_s * 2)

    def _is_expired(self, final: claims.Claim) -> bool:
        """Returns whether the row has expired and must not be written."""
        return not claims.is_kept(final, wall_ms=int(self._wall() * 1000))
