"""Grants trials of crash suspects, at most one per target at a time.

If two suspects ran at a target at the same time and it died, the one that
caused the crash could not be identified. The gate of a target's partition
therefore also grants its trials, whether the target is cold or warm.
"""

import msgspec

from mothpass.core import gates


class _Trial(msgspec.Struct, frozen=True, kw_only=True):
    """A trial that was granted and may still run.

    Attributes:
        boot_id: Boot id of the target.
        number: Number of its permit.
        fencing: Fencing token of the lease under which it was granted.
        expires_at: Monotonic seconds at which it must have ended.
    """

    boot_id: str
    number: int
    fencing: int
    expires_at: float


class TrialTable:
    """Trials that one daemon's gates have granted, by target."""

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
            request: The grant request.
            fencing: Fencing token of the lease that is held now.
            now: Monotonic seconds.

        Returns:
            The grant or the denial.
        """
        running = self._trials.get(request.target_id)
        if (
            running is not None
            and running.boot_id == request.boot_id
            and now < running.expires_at
        ):
            return gates.Denied(reason=gates.Reason.FULL)
        self._last_number += 1
        extra_s = gates.DISPATCH_TIMEOUT_S + gates.PERMIT_EXPIRY_MARGIN_S
        self._trials[request.target_id] = _Trial(
            boot_id=request.boot_id,
            number=self._last_number,
            fencing=fencing,
            expires_at=now + extra_s + request.call_ms / 1000.0,
        )
        return gates.Granted(
            number=self._last_number,
            fencing=fencing,
            dispatch_ms=int(gates.DISPATCH_TIMEOUT_S * 1000),
        )

    def release(self, release: gates.Release) -> None:
        """Records that a trial has ended; an old release has no effect."""
        running = self._trials.get(release.target_id)
        if running is None:
            return
        same_number = running.number == release.number
        if same_number and running.fencing == release.fencing:
            del self._trials[release.target_id]

    def expire(self, now: float) -> None:
        """Drops trials that must have ended."""
        self._trials = {
            target_id: trial
            for target_id, trial in self._trials.items()
            if now < trial.expires_at
        }
