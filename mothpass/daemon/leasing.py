"""Acquires, renews and releases the leases of this daemon's gates."""

import asyncio
import logging

import msgspec

from mothpass.core import errors
from mothpass.core import gate_table
from mothpass.core import leases
from mothpass.core import store_budgets
from mothpass.daemon import stores
from mothpass.ports import clock
from mothpass.ports import tables

_PRIORITY = store_budgets.Priority.RENEWAL
_logger = logging.getLogger("mothpass.leasing")


class LeaseManager:
    """Runs the store calls that the leases of a gate table need."""

    __slots__ = ("_gates", "_monotonic", "_store", "_tasks")

    def __init__(
        self,
        *,
        gates: gate_table.GateTable,
        store: stores.Store,
        monotonic: clock.Monotonic,
    ) -> None:
        """Starts without a store call.

        Args:
            gates: Gate table with the leases of its gates.
            store: The platform's store.
            monotonic: Clock.
        """
        self._gates = gates
        self._store = store
        self._monotonic = monotonic
        self._tasks: dict[int, asyncio.Task[None]] = {}

    def start_due_steps(self, daemons: list[str]) -> None:
        """Starts all due store calls, at most one per lease at a time.

        Args:
            daemons: Ids of the live daemons of the region.
        """
        now = self._monotonic()
        self._gates.expire(now)
        for lease, step in self._gates.plan(daemons, now=now):
            if lease.partition not in self._tasks:
                self._start(lease, step)

    async def release_all(self) -> None:
        """Releases all leases at a graceful shutdown."""
        steps = []
        for lease in self._gates.leases.values():
            release = lease.release(self._monotonic())
            if release is not None:
                steps.append(self._run(lease, release))
        await asyncio.gather(*steps)

    async def stop(self) -> None:
        """Cancels all running store calls."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _start(
        self, lease: leases.Lease, step: leases.Read | leases.Take
    ) -> None:
        task = asyncio.get_running_loop().create_task(self._run(lease, step))
        self._tasks[lease.partition] = task
        task.add_done_callback(lambda _: self._tasks.pop(lease.partition, None))

    async def _run(
        self, lease: leases.Lease, step: leases.Read | leases.Take
    ) -> None:
        try:
            if isinstance(step, leases.Read):
                await self._read(lease, step)
            else:
                await self._write(lease, step)
        except (errors.StoreUnavailableError, msgspec.DecodeError) as error:
            _logger.info("store call for lease %s failed: %s", lease.key, error)
            lease.record_unavailable(self._monotonic())

    async def _read(self, lease: leases.Lease, step: leases.Read) -> None:
        row = await self._store.read_row(
            leases.TABLE, step.key, priority=_PRIORITY
        )
        lease.record_row(row, self._monotonic())

    async def _write(self, lease: leases.Lease, step: leases.Take) -> None:
        try:
            outcome = await self._store.transact(
                [step.write], priority=_PRIORITY
            )
        except errors.StoreUnconfirmedError:
            lease.record_unconfirmed(self._monotonic())
            return
        if isinstance(outcome, tables.Committed):
            lease.record_committed(step, self._monotonic())
        else:
            lease.record_conflict(self._monotonic())
