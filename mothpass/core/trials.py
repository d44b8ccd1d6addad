"""Trials of suspects: at each target at most one at a time.

If two suspects ran beside each other and the target died, neither could be
told from the other. The gate of a target's partition therefore also grants
the one trial at it, cold or warm.
"""

import msgspec

from mothpass.core import gates


class _Trial(msgspec.Struct, frozen=True, kw_only=True):
    """A trial that runs.

    Attributes:
        boot_id: Start of the target.
        number: Number of its permit.
        fencing: Fencing number of the lease it was granted under.
        ends_at: Monotonic seconds at which it has surely ended.
    """

    boot_id: str
    number: int
    fencing: int
    ends_at: float


class TrialTable:
    """Trials granted by one daemon's gates, by target."""

    __slots__ = ("_last_number", "_trials")

    def __init__(self) -> None:
        """Starts without trials."""
        self._last_number = 0
        self._trials: dict[str, _Trial] = {}

    def grant(
        self, request: gates.GrantRequest, *, fencing: int, now: float
    ) -> gates.Granted | gates.Denied:
        """Grants a trial unless another may still run at the target.

        Args:
            request: What is asked.
            fencing: Fencing number of the lease that is held now.
            now: Monotonic seconds.
        """
        running = self._trials.get(request.target_id)
        if (
            running is not None
            and running.boot_id == request.boot_id
            and now < running.ends_at
        ):
            return gates.Denied(reason=gates.Reason.FULL)
        self._last_number += 1
        held_s = gates.DISPATCH_WINDOW_S + gates.HOLD_MARGIN_S
        self._trials[request.target_id] = _Trial(
            boot_id=request.boot_id,
            number=self._last_number,
            fencing=fencing,
            ends_at=now + held_s + request.call_ms / 1000.0,
        )
        return gates.Granted(
            number=self._last_number,
            fencing=fencing,
            dispatch_ms=int(gates.DISPATCH_WINDOW_S * 1000),
        )

    def release(self, release: gates.Release) -> None:
        """Takes in that a trial has ended; an old release has no effect."""
        running = self._trials.get(release.target_id)
        if running is None:
            return
        same_number = running.number == release.number
        if same_number and running.fencing == release.fencing:
            del self._trials[release.target_id]

    def expire(self, now: float) -> None:
        """Drops trials that have surely ended."""
        self._trials = {
            target_id: trial
            for target_id, trial in self._trials.items()
            if now < trial.ends_at
        }
