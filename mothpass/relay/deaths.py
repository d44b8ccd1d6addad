"""Finds out whether a target died, and which requests it died of."""

import asyncio
import logging

from mothpass.adapters import event_log
from mothpass.adapters import http_pool
from mothpass.core import errors
from mothpass.core import suspects
from mothpass.core import target_table

# Position above that of all events.
PAST_ALL_POSITIONS = 1 << 30

_logger = logging.getLogger("mothpass.deaths")


class Deaths:
    """Requests in flight by target, and the suspicions that follow.

    Attributes:
        suspicions: Requests that are suspected to crash targets.
    """

    __slots__ = ("_asking", "_pool", "_positions", "_tasks", "suspicions")

    def __init__(
        self,
        *,
        pool: http_pool.ConnectionPool,
        suspicions: suspects.SuspectTable,
    ) -> None:
        """Starts with nothing in flight."""
        self._pool = pool
        self._positions: dict[str, dict[int, int]] = {}
        self._asking: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.suspicions = suspicions

    def start(self, target: target_table.Target, fingerprint: int) -> None:
        """Notes that a request is in flight at a target."""
        self._positions.setdefault(target.id, {})[fingerprint] = 0

    def end(self, target: target_table.Target, fingerprint: int) -> None:
        """Notes that it isn't any more."""
        positions = self._positions.get(target.id, {})
        positions.pop(fingerprint, None)
        if not positions:
            self._positions.pop(target.id, None)

    def progress(
        self, target: target_table.Target, fingerprint: int, position: int
    ) -> None:
        """Notes that a target has got on with a request."""
        positions = self._positions.get(target.id)
        if positions is not None and fingerprint in positions:
            positions[fingerprint] = position
        if len(self.suspicions):
            now = asyncio.get_running_loop().time()
            self.suspicions.record_progress(fingerprint, position, now=now)

    def look_into(self, target: target_table.Target) -> None:
        """Asks whether a target that broke off a connection is still there.

        Call this while the request that was broken off is in flight, so that
        it is among those that the target may have died of.
        """
        if target.id in self._asking:
            return
        running = [
            suspects.InFlightRequest(fingerprint=fingerprint, position=position)
            for fingerprint, position in self._positions[target.id].items()
        ]
        self._asking.add(target.id)
        task = asyncio.get_running_loop().create_task(
            self._ask(target, running)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(
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
            start = f"{target.id}/{target.registration.started_at_ms}"
            self.suspicions.record_death(start, running, now=now)
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
            self._asking.discard(target.id)
