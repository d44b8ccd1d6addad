"""Reads load reports of the targets that are assigned to this daemon.

One daemon reads each target's reports and forwards them to its peers in
digests. Another daemon takes over when reports are missing, so that targets of
a reader that has failed but is still listed are read too.
"""

import asyncio
import logging
import random as random_module

from mothpass.core import errors
from mothpass.core import preference
from mothpass.core import routing
from mothpass.core import targets
from mothpass.ports import clock
from mothpass.ports import targets as targets_port

_CHECK_INTERVAL_S = 0.2
# Missing reports after which the next daemon in rank reads the target too.
_MAX_MISSED_REPORTS = 3
_MAX_READERS_PER_TARGET = 3
_READ_ERRORS = (errors.TargetUnreachableError, errors.TargetAnswerLostError)
_logger = logging.getLogger("mothpass.loads")


class LoadReader:
    """Reads load reports and records them in the router."""

    __slots__ = (
        "_daemons",
        "_monotonic",
        "_next_read_at",
        "_own_id",
        "_poll_s",
        "_random",
        "_ranks",
        "_read",
        "_records",
        "_ring",
        "_router",
        "_tasks",
    )

    def __init__(
        self,
        *,
        own_id: str,
        router: routing.Router,
        read: targets_port.ReadLoad,
        poll_s: float,
        monotonic: clock.Monotonic,
        random: random_module.Random,
    ) -> None:
        """Starts without a report.

        Args:
            own_id: Id of this daemon.
            router: Lists targets and daemons, and records the reports.
            read: Reads the load report of the target at an address.
            poll_s: Seconds between two reads of a target.
            monotonic: Clock.
            random: Source of jitter.
        """
        self._own_id = own_id
        self._router = router
        self._read = read
        self._poll_s = poll_s
        self._monotonic = monotonic
        self._random = random
        self._daemons: list[str] = []
        self._ring = preference.HashRing(ids=())
        self._ranks: dict[str, int | None] = {}
        self._next_read_at: dict[str, float] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._records: dict[str, targets.LoadRecord] = {}

    def list_records(self) -> list[targets.LoadRecord]:
        """Returns the latest report of each target that is not too old."""
        oldest = self._monotonic() - _MAX_MISSED_REPORTS * self._poll_s
        return [
            record
            for record in self._records.values()
            if record.received_at >= oldest
        ]

    async def run(self) -> None:
        """Reads due reports periodically until cancelled."""
        try:
            while True:
                self.start_due_reads()
                await asyncio.sleep(_CHECK_INTERVAL_S)
        finally:
            for task in self._tasks.values():
                task.cancel()

    def start_due_reads(self) -> None:
        """Starts all due reads of targets assigned to this daemon."""
        now = self._monotonic()
        self._update_ring()
        for target in list(self._router.targets.values()):
            if target.id in self._tasks:
                continue
            if now >= self._next_read_at.get(
                target.id, 0.0
            ) and self._is_reader(target, now):
                jitter = self._random.uniform(0.9, 1.1)
                self._next_read_at[target.id] = now + self._poll_s * jitter
                self._start_read(target)
        for target_id in self._records.keys() - self._router.targets.keys():
            del self._records[target_id]
            self._next_read_at.pop(target_id, None)

    def _update_ring(self) -> None:
        if self._daemons != self._router.daemons:
            self._daemons = list(self._router.daemons)
            self._ring = preference.HashRing(ids=self._daemons)
            self._ranks = {}

    def _is_reader(self, target: targets.Target, now: float) -> bool:
        """Returns whether this daemon should read a target now.

        The first daemon in rank always reads; each following one only after
        a longer time without a report.
        """
        if target.id not in self._ranks:
            self._ranks[target.id] = self._find_rank(target.id)
        own_rank = self._ranks[target.id]
        if own_rank is None:
            return False
        reported_at = (
            target.latest_record.received_at if target.latest_record else 0.0
        )
        takeover_s = self._poll_s * _MAX_MISSED_REPORTS * own_rank
        return own_rank == 0 or now - reported_at > takeover_s

    def _find_rank(self, target_id: str) -> int | None:
        """Returns this daemon's rank among a target's readers, if any."""
        ranking = self._ring.rank(preference.hash_name(target_id))
        readers = ranking[:_MAX_READERS_PER_TARGET]
        return readers.index(self._own_id) if self._own_id in readers else None

    def _start_read(self, target: targets.Target) -> None:
        task = asyncio.get_running_loop().create_task(
            self._read_target(target.id, target.instance.address)
        )
        self._tasks[target.id] = task
        task.add_done_callback(lambda _: self._tasks.pop(target.id, None))

    async def _read_target(self, target_id: str, address: str) -> None:
        started_at = self._monotonic()
        try:
            report = await self._read(address)
        except _READ_ERRORS as error:
            _logger.info(
                "failed to read the load report of %s: %s", target_id, error
            )
            return
        if report.target_id != target_id:
            _logger.warning(
                "%s answered at the address of %s", report.target_id, target_id
            )
            return
        record = targets.LoadRecord(
            target_id=target_id,
            boot_id=report.boot_id,
            phase=report.phase,
            running=report.running,
            queued=report.queued,
            received_at=started_at,
            age_ms=report.age_ms,
        )
        self._records[target_id] = record
        self._router.record_loads([record], now=self._monotonic())
