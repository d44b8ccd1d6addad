"""Reads the load reports of this daemon's part of the targets.

Each target's report is read by one daemon and passed on in digests. Another
daemon takes over when no report has come for a while, so that a reader that
is gone but still listed leaves no target unread.
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

_STEP_S = 0.2
# Reports that may be missing before the next daemon in order reads too.
_MISSED_REPORTS = 3
_MOST_READERS = 3
_LOST = (errors.TargetUnreachableError, errors.TargetAnswerLostError)
_logger = logging.getLogger("mothpass.loads")


class LoadReader:
    """Load reports that this daemon reads itself."""

    __slots__ = (
        "_daemons",
        "_due",
        "_monotonic",
        "_own_id",
        "_places",
        "_poll_s",
        "_random",
        "_read",
        "_reading",
        "_records",
        "_ring",
        "_router",
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
        """Reads nothing yet.

        Args:
            own_id: Id of this daemon.
            router: Knows targets and daemons, and takes the reports in.
            read: Reads the report of the target at an address.
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
        self._places: dict[str, int | None] = {}
        self._due: dict[str, float] = {}
        self._reading: dict[str, asyncio.Task[None]] = {}
        self._records: dict[str, targets.LoadRecord] = {}

    def list_records(self) -> list[targets.LoadRecord]:
        """Returns the reports read lately, one a target."""
        oldest = self._monotonic() - _MISSED_REPORTS * self._poll_s
        return [
            record
            for record in self._records.values()
            if record.received_at >= oldest
        ]

    async def run(self) -> None:
        """Reads reports as they fall due, until cancelled."""
        try:
            while True:
                self.start_due_reads()
                await asyncio.sleep(_STEP_S)
        finally:
            for task in self._reading.values():
                task.cancel()

    def start_due_reads(self) -> None:
        """Starts to read each report of this daemon's part that is due."""
        now = self._monotonic()
        self._follow_daemons()
        for target in list(self._router.targets.values()):
            if target.id in self._reading:
                continue
            if now >= self._due.get(target.id, 0.0) and self._is_reader(
                target, now
            ):
                jitter = self._random.uniform(0.9, 1.1)
                self._due[target.id] = now + self._poll_s * jitter
                self._start_read(target)
        for gone in self._records.keys() - self._router.targets.keys():
            del self._records[gone]
            self._due.pop(gone, None)

    def _follow_daemons(self) -> None:
        if self._daemons != self._router.daemons:
            self._daemons = list(self._router.daemons)
            self._ring = preference.HashRing(ids=self._daemons)
            self._places = {}

    def _is_reader(self, target: targets.Target, now: float) -> bool:
        """Tells whether this daemon is to read a target now.

        The first in order always reads; each next one only when the report
        has been missing for longer still.
        """
        if target.id not in self._places:
            self._places[target.id] = self._find_place(target.id)
        place = self._places[target.id]
        if place is None:
            return False
        heard_at = (
            target.latest_record.received_at if target.latest_record else 0.0
        )
        missed_s = self._poll_s * _MISSED_REPORTS * place
        return place == 0 or now - heard_at > missed_s

    def _find_place(self, target_id: str) -> int | None:
        """Returns this daemon's place among a target's readers, if any."""
        order = self._ring.rank(preference.hash_name(target_id))
        readers = order[:_MOST_READERS]
        return readers.index(self._own_id) if self._own_id in readers else None

    def _start_read(self, target: targets.Target) -> None:
        task = asyncio.get_running_loop().create_task(
            self._read_one(target.id, target.instance.address)
        )
        self._reading[target.id] = task
        task.add_done_callback(lambda _: self._reading.pop(target.id, None))

    async def _read_one(self, target_id: str, address: str) -> None:
        began = self._monotonic()
        try:
            report = await self._read(address)
        except _LOST as error:
            _logger.info("load of %s not read: %s", target_id, error)
            return
        if report.target_id != target_id:
            _logger.warning(
                "%s answers at the address of %s", report.target_id, target_id
            )
            return
        record = targets.LoadRecord(
            target_id=target_id,
            boot_id=report.boot_id,
            phase=report.phase,
            running=report.running,
            queued=report.queued,
            received_at=began,
            age_ms=report.age_ms,
        )
        self._records[target_id] = record
        self._router.record_loads([record], now=self._monotonic())
