"""Detects crashes of targets; records the suspected requests and parts."""

import asyncio
from collections import abc
import logging

from mothpass.adapters import event_log
from mothpass.adapters import http_pool
from mothpass.core import errors
from mothpass.core import prompt_suspects
from mothpass.core import suspects
from mothpass.core import target_deaths
from mothpass.core import target_table
from mothpass.relay import death_witnesses
from mothpass.relay import metrics as metrics_module
from mothpass.relay import path_probes

# Time in which a registration ends, or names another start, after a crash:
# three heartbeats of a target, and the transfer of the table.
EVIDENCE_TIMEOUT_S = 10.0
EVIDENCE_CHECK_INTERVAL_S = 0.2
# Position after that of every event.
AFTER_LAST_POSITION = 1 << 30

_logger = logging.getLogger("mothpass.deaths")


class InFlightAttempt:
    """An attempt in flight at a target.

    Attributes:
        fingerprint: Fingerprint of its request; that of another attempt there
            if the same request comes twice.
        shared_parts: Ids of the parts of its prompt that others may share, by
            fingerprint.
        position: Position that it has reached.
        first_event_at: Monotonic seconds of the first event of its answer,
            None before.
    """

    __slots__ = ("fingerprint", "first_event_at", "position", "shared_parts")

    def __init__(
        self, *, fingerprint: int, shared_parts: dict[int, str]
    ) -> None:
        """Starts before the first position."""
        self.fingerprint = fingerprint
        self.shared_parts = shared_parts
        self.position = 0
        self.first_event_at: float | None = None

    def is_answered(self, now: float) -> bool:
        """Returns whether its answer shows that its prompt is sound."""
        if self.position == AFTER_LAST_POSITION:
            return True
        return (
            self.first_event_at is not None
            and now - self.first_event_at
            >= prompt_suspects.ANSWER_TIME_TO_CLEAR_S
        )


class CrashDetector:
    """In-flight table by target and detection of crashed targets.

    Attributes:
        crash_suspects: Requests that are suspected to crash targets.
        suspected_parts: Prompt parts that are suspected to crash targets.
    """

    __slots__ = (
        "_announce",
        "_in_flight",
        "_metrics",
        "_path_monitor",
        "_pool",
        "_probing",
        "_tasks",
        "_witnesses",
        "crash_suspects",
        "suspected_parts",
    )

    def __init__(
        self,
        *,
        pool: http_pool.ConnectionPool,
        crash_suspects: suspects.SuspectTable,
        suspected_parts: prompt_suspects.PromptSuspectTable,
        announce: abc.Callable[[], None],
        witnesses: death_witnesses.DeathWitnesses,
        path_monitor: path_probes.PathMonitor,
        metrics: metrics_module.Metrics,
    ) -> None:
        """Creates an empty in-flight table.

        Args:
            pool: Connections to targets.
            crash_suspects: Requests that are suspected to crash targets.
            suspected_parts: Prompt parts that are suspected to crash targets.
            announce: Sends new suspects to the other daemons.
            witnesses: Decides whether a target has ended.
            path_monitor: Evidence of the paths to targets.
            metrics: Counters.
        """
        self._pool = pool
        self._announce = announce
        self._witnesses = witnesses
        self._path_monitor = path_monitor
        self._metrics = metrics
        self._in_flight: dict[str, list[InFlightAttempt]] = {}
        self._probing: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.crash_suspects = crash_suspects
        self.suspected_parts = suspected_parts

    def record_start(
        self,
        target: target_table.Target,
        fingerprint: int,
        shared_parts: dict[int, str],
    ) -> InFlightAttempt:
        """Records that a request is in flight at a target."""
        attempt = InFlightAttempt(
            fingerprint=fingerprint, shared_parts=shared_parts
        )
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
        now = asyncio.get_running_loop().time()
        if attempt.first_event_at is None:
            attempt.first_event_at = now
        if len(self.crash_suspects):
            self.crash_suspects.record_progress(
                attempt.fingerprint, position, now=now
            )
        if len(self.suspected_parts) and attempt.is_answered(now):
            for part in self.suspected_parts.record_answer(
                attempt.shared_parts, now=now
            ):
                event_log.log(
                    _logger,
                    "prompt_part_cleared",
                    part=attempt.shared_parts[part],
                )

    def probe(self, target: target_table.Target) -> None:
        """Probes a target that closed a connection early, in the background.

        Call this while the interrupted request is still in flight, so that
        it is among the crash suspects.
        """
        if target.id in self._probing:
            return
        now = asyncio.get_running_loop().time()
        in_flight = list(self._in_flight[target.id])
        unanswered_parts = [
            attempt.shared_parts
            for attempt in in_flight
            if not attempt.is_answered(now)
        ]
        self._probing.add(target.id)
        task = asyncio.get_running_loop().create_task(
            self._run_probe(target, in_flight, unanswered_parts)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_probe(
        self,
        target: target_table.Target,
        in_flight: list[InFlightAttempt],
        unanswered_parts: list[dict[int, str]],
    ) -> None:
        address = target.registration.address
        broke_at = asyncio.get_running_loop().time()
        try:
            connection = await self._pool.acquire(address, fresh=True)
        except errors.TargetUnreachableError as error:
            target.record_failure(asyncio.get_running_loop().time())
            self._path_monitor.record_unreachable(target)
            evidence = await self._find_evidence(target, broke_at)
            if evidence is None:
                event_log.log(
                    _logger,
                    "target_unreachable",
                    target=target.id,
                    reason=str(error),
                )
            else:
                self._record_death(
                    target,
                    in_flight,
                    unanswered_parts,
                    reason=str(error),
                    evidence=evidence,
                    broke_at=broke_at,
                )
        else:
            connection.close()
        finally:
            self._probing.discard(target.id)

    async def _find_evidence(
        self, target: target_table.Target, broke_at: float
    ) -> str | None:
        """Returns what shows that a target has ended, None if nothing does."""
        verdict, witnesses = await self._witnesses.judge(target)
        if verdict is target_deaths.Verdict.ALIVE:
            return None
        if verdict is target_deaths.Verdict.DEAD:
            return f"{witnesses} peers" if witnesses else "own links"
        while not target.is_gone:
            now = asyncio.get_running_loop().time()
            if now - broke_at >= EVIDENCE_TIMEOUT_S:
                return None
            await asyncio.sleep(EVIDENCE_CHECK_INTERVAL_S)
        is_confirmed = await self._witnesses.confirm_removal(target)
        return "registration" if is_confirmed else None

    def _record_death(
        self,
        target: target_table.Target,
        in_flight: list[InFlightAttempt],
        unanswered_parts: list[dict[int, str]],
        *,
        reason: str,
        evidence: str,
        broke_at: float,
    ) -> None:
        """Holds a death against what was in flight, and tells the peers."""
        now = asyncio.get_running_loop().time()
        boot = f"{target.id}/{target.registration.started_at_ms}"
        running = [
            suspects.InFlightRequest(
                fingerprint=attempt.fingerprint, position=attempt.position
            )
            for attempt in in_flight
        ]
        self.crash_suspects.record_death(boot, running, now=now)
        self.suspected_parts.record_death(
            boot,
            {part for parts in unanswered_parts for part in parts},
            now=now,
        )
        self._announce()
        self._metrics.count(
            "target_deaths", service=target.registration.service
        )
        event_log.log(
            _logger,
            "target_died",
            logging.WARNING,
            target=target.id,
            reason=reason,
            evidence=evidence,
            evidence_ms=round((now - broke_at) * 1000, 1),
            running=[f"{item.fingerprint:016x}" for item in running],
            unanswered_parts=[
                list(parts.values()) for parts in unanswered_parts
            ],
            barred_parts=[
                part
                for parts in unanswered_parts
                for fingerprint, part in parts.items()
                if self.suspected_parts.find_barred([fingerprint], now=now)
            ],
        )
