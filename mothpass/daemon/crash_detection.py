"""Finds out whether a target that can't be reached has ended.

A broken connection and a refused new one come from a crash or from a cut link.
A daemon that reaches other targets of the same service takes it for a crash,
and takes that back where a later load report, which any daemon may have read,
shows that the target goes on. A daemon that doesn't reach them waits for the
target's next start or the end of its membership.
"""

import asyncio
import logging
import random as random_module

from mothpass.core import errors
from mothpass.core import prompt_suspects
from mothpass.core import routing
from mothpass.core import suspects
from mothpass.core import target_deaths
from mothpass.core import targets as target_states
from mothpass.daemon import in_flight
from mothpass.ports import clock
from mothpass.ports import targets

# Time for a load report that is read after the death to arrive from a peer:
# one interval of its reader and two batches of the exchange.
REPORT_TIMEOUT_S = 3.0
# Time in which a target that has ended starts again or leaves the members.
EVIDENCE_TIMEOUT_S = 10.0
PROBE_TIMEOUT_S = 0.5
MAX_PROBED_TARGETS = 3
_CHECK_INTERVAL_S = 0.1
_logger = logging.getLogger("mothpass.deaths")


class _Break:
    """A target whose connections broke, with what was in flight there."""

    __slots__ = ("at", "boot_id", "interruption", "is_suspected", "target_id")

    def __init__(
        self,
        *,
        target_id: str,
        boot_id: str,
        at: float,
        interruption: in_flight.Interruption,
    ) -> None:
        self.target_id = target_id
        self.boot_id = boot_id
        self.at = at
        self.interruption = interruption
        self.is_suspected = False


class CrashDetector:
    """Decides about targets that can't be reached, and records deaths."""

    __slots__ = (
        "_clock",
        "_in_flight",
        "_probes",
        "_random",
        "_read_load",
        "_router",
        "_suspected_parts",
        "_suspects",
        "_watches",
    )

    def __init__(
        self,
        *,
        router: routing.Router,
        attempts: in_flight.InFlightAttempts,
        suspects: suspects.SuspectTable,
        suspected_parts: prompt_suspects.PromptSuspectTable,
        read_load: targets.ReadLoad,
        random: random_module.Random,
        clock: clock.Monotonic,
    ) -> None:
        """Starts without a target in question.

        Args:
            router: Holds the state of the targets.
            attempts: Attempts in flight.
            suspects: Records requests that were in flight at a death.
            suspected_parts: Records parts of their prompts.
            read_load: Reads the load report of the target at an address.
            random: Source of randomness.
            clock: Monotonic seconds.
        """
        self._router = router
        self._in_flight = attempts
        self._suspects = suspects
        self._suspected_parts = suspected_parts
        self._read_load = read_load
        self._random = random
        self._clock = clock
        # By target and boot id, as all attempts at a target break at once.
        self._probes: dict[tuple[str, str], asyncio.Task[bool]] = {}
        self._watches: set[asyncio.Task[None]] = set()

    async def check(self, target_id: str, boot_id: str, name: str) -> bool:
        """Returns whether an unreachable target seems to have crashed.

        Call this while the interrupted attempt is in flight.

        Args:
            target_id: Id of the target.
            boot_id: Boot id of the target when the attempt was sent, empty if
                unknown.
            name: Model or service of the attempt.
        """
        key = (target_id, boot_id)
        probe = self._probes.get(key)
        if probe is None:
            now = self._clock()
            broken = _Break(
                target_id=target_id,
                boot_id=boot_id,
                at=now,
                interruption=self._in_flight.interrupt(target_id, now=now),
            )
            probe = asyncio.get_running_loop().create_task(
                self._probe(broken, name)
            )
            self._probes[key] = probe
            probe.add_done_callback(lambda _: self._probes.pop(key, None))
        return await asyncio.shield(probe)

    async def _probe(self, broken: _Break, name: str) -> bool:
        target = self._router.targets.get(broken.target_id)
        if target is None:
            self._record_death(broken, "left the members")
            return True
        boot_id, has_sound_links = await asyncio.gather(
            self._read_boot_id(target), self._has_sound_links(target, name)
        )
        if boot_id is not None:
            if broken.boot_id in ("", boot_id):
                return False
            self._record_death(broken, "new start")
            return True
        if has_sound_links:
            self._suspect_requests(broken)
        watch = asyncio.get_running_loop().create_task(self._watch(broken))
        self._watches.add(watch)
        watch.add_done_callback(self._watches.discard)
        return broken.is_suspected

    async def _watch(self, broken: _Break) -> None:
        """Waits for what the target shows of itself."""
        timeout_s = (
            REPORT_TIMEOUT_S if broken.is_suspected else EVIDENCE_TIMEOUT_S
        )
        evidence = target_deaths.Verdict.UNKNOWN
        while evidence is target_deaths.Verdict.UNKNOWN:
            if self._clock() >= broken.at + timeout_s:
                break
            await asyncio.sleep(_CHECK_INTERVAL_S)
            evidence = self._find_evidence(broken)
        if evidence is target_deaths.Verdict.DEAD:
            self._record_death(broken, "new start, or left the members")
        elif evidence is target_deaths.Verdict.UNKNOWN and broken.is_suspected:
            self._record_death(broken, "no report, and other targets answer")
        else:
            self._withdraw_death(broken, evidence)

    def _find_evidence(self, broken: _Break) -> target_deaths.Verdict:
        """Returns what the members and the load reports say of a target."""
        target = self._router.targets.get(broken.target_id)
        if target is None:
            return target_deaths.Verdict.DEAD
        record = target.latest_record
        if record is None or record.measured_at <= broken.at:
            return target_deaths.Verdict.UNKNOWN
        if broken.boot_id in ("", record.boot_id):
            return target_deaths.Verdict.ALIVE
        return target_deaths.Verdict.DEAD

    def _suspect_requests(self, broken: _Break) -> None:
        if not broken.is_suspected:
            broken.is_suspected = True
            self._suspects.record_death(
                broken.boot_id or broken.target_id,
                broken.interruption.requests,
                now=self._clock(),
            )

    def _record_death(self, broken: _Break, evidence: str) -> None:
        now = self._clock()
        self._suspect_requests(broken)
        self._suspected_parts.record_death(
            broken.boot_id or broken.target_id,
            broken.interruption.unanswered_parts,
            now=now,
        )
        _logger.warning(
            "target %s has died; evidence after %d ms: %s; in flight: %s",
            broken.target_id,
            round((now - broken.at) * 1000),
            evidence,
            ", ".join(
                f"{item.fingerprint:016x}"
                for item in broken.interruption.requests
            ),
        )

    def _withdraw_death(
        self, broken: _Break, evidence: target_deaths.Verdict
    ) -> None:
        now = self._clock()
        if broken.is_suspected:
            self._suspects.withdraw_death(
                broken.boot_id or broken.target_id, now=now
            )
        _logger.info(
            "target %s was out of reach from here for %d ms: %s",
            broken.target_id,
            round((now - broken.at) * 1000),
            evidence.value,
        )

    async def _has_sound_links(
        self, target: target_states.Target, name: str
    ) -> bool:
        """Returns whether half of the other targets of a service answer."""
        others = [
            other
            for other in self._router.targets.values()
            if other.id != target.id and name in other.instance.serves
        ]
        probed = self._random.sample(
            others, min(MAX_PROBED_TARGETS, len(others))
        )
        boot_ids = await asyncio.gather(
            *(self._read_boot_id(other) for other in probed)
        )
        return target_deaths.are_links_sound(
            [boot_id is not None for boot_id in boot_ids]
        )

    async def _read_boot_id(self, target: target_states.Target) -> str | None:
        """Returns the boot id that a target answers with, None without one."""
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                report = await self._read_load(target.instance.address)
        except (errors.MothpassError, TimeoutError):
            return None
        return report.boot_id
