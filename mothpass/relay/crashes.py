"""Detects crashes of targets and records the suspected requests."""

import asyncio
import logging

from mothpass.adapters import event_log
from mothpass.adapters import http_pool
from mothpass.core import errors
from mothpass.core import suspects
from mothpass.core import target_table

# Position after that of every event.
AFTER_LAST_POSITION = 1 << 30

_logger = logging.getLogger("mothpass.deaths")


class InFlightAttempt:
    """An attempt in flight at a target.

    Attributes:
        fingerprint: Fingerprint of its request; that of another attempt there
            if the same request comes twice.
        position: Position that it has reached.
    """

    __slots__ = ("fingerprint", "position")

    def __init__(self, *, fingerprint: int) -> None:
        """Starts before the first position."""
        self.fingerprint = fingerprint
        self.position = 0


class CrashDetector:
    """In-flight table by target and detection of crashed targets.

    Attributes:
        crash_suspects: Requests that are suspected to crash targets.
    """

    __slots__ = ("_in_flight", "_pool", "_probing", "_tasks", "crash_suspects")

    def __init__(
        self,
        *,
        pool: http_pool.ConnectionPool,
        crash_suspects: suspects.SuspectTable,
    ) -> None:
        """Creates an empty in-flight table."""
        self._pool = pool
        self._in_flight: dict[str, list[InFlightAttempt]] = {}
        self._probing: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.crash_suspects = crash_suspects

    def record_start(
        self, target: target_table.Target, fingerprint: int
    ) -> InFlightAttempt:
        """Records that a request is in flight at a target."""
        attempt = InFlightAttempt(fingerprint=fingerprint)
        self._in_flight.setdefault(target.id, []).append(attempt)
        return attempt

    def record_end(
        self, target: target_table.Target, attempt: InFlightAttempt
    ) -> None:
        """Records that an attempt is no longer in flight at a target."""
        in_flight = self._in_flight[target.id]
        in_flight.remove(attempt)
        if not in_flight:
            del self._in_flight[target.id]

    def record_progress(self, attempt: InFlightAttempt, position: int) -> None:
        """Records the position that an attempt has reached."""
        attempt.position = position
        if len(self.crash_suspects):
            self.crash_suspects.record_progress(
                attempt.fingerprint,
                position,
                now=asyncio.get_running_loop().time(),
            )

    def probe(self, target: target_table.Target) -> None:
        """Probes a target that closed a connection early, in the background.

        Call this while the interrupted request is still in flight, so that
        it is among the crash suspects.
        """
        if target.id in self._probing:
            return
        running = [
            suspects.InFlightRequest(
                fingerprint=attempt.fingerprint, position=attempt.position
            )
            for attempt in self._in_flight[target.id]
        ]
        self._probing.add(target.id)
        task = asyncio.get_running_loop().create_task(
            self._run_probe(target, running)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_probe(
        self,
        target: target_table.Target,
        running: list[suspects.InFlightRequest],
    ) -> None:
        address = target.registration.address
        try:
            connection = await self._pool.acquire(address, fresh=True)
        except errors.TargetUnreachableError as error:
            now = asyncio.get_running_loop().time()
            target.record_failure(now)
            boot = f"{target.id}/{target.registration.started_at_ms}"
            self.crash_suspects.record_death(boot, running, now=now)
            event_log.log(
                _logger,
                "target_died",
                logging.WARNING,
                target=target.id,
                reason=str(error),
                running=[f"{item.fingerprint:016x}" for item in running],
            )
        else:
            connection.close()
        finally:
            self._probing.discard(target.id)
