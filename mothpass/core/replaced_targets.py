"""Handles targets whose address has turned out to belong to another target.

The load pattern: many targets are replaced at their addresses within a second,
under full load. Until the tables show it, each daemon of the fleet sends
requests to targets that are gone; each is rejected and sent again, and may
meet the next one. So a daemon stops using such a target as soon as it meets
one, and reports it to its peers. A report alone only makes other targets go
first, and not where the target has just answered: a daemon that is wrong can't
take a target from the fleet. A request that has met one prefers targets that
have answered since.
"""

from collections import abc

from mothpass.core import target_table

# Exceeds the time until the registration of an ended target is removed: three
# heartbeats, and the transfer of the table.
REPLACED_HOLD_S = 5.0
# Targets in a report; the newest ones, some 16 bytes each.
MAX_REPORTED = 16
# Time for which other targets go first after a report, which is repeated while
# the daemon that made it holds the target.
REPORT_BACKOFF_S = 1.0
# An answer within this time outweighs a report, which is some ticks old.
_EVIDENCE_S = 1.0


class ReplacedTargets:
    """Targets that this daemon has found replaced, and reports about them."""

    __slots__ = ("_found_at",)

    def __init__(self) -> None:
        """Initializes an empty table."""
        self._found_at: dict[str, float] = {}

    def record(self, target: target_table.Target, now: float) -> None:
        """Records that another target answered at a target's address."""
        target.replaced_until = now + REPLACED_HOLD_S
        self._found_at.pop(target.id, None)
        self._found_at[target.id] = now

    def export(self, now: float) -> list[str]:
        """Returns the ids of targets to report to peers, newest last."""
        self._expire(now)
        return list(self._found_at)[-MAX_REPORTED:]

    def find_start(self, now: float) -> float | None:
        """Returns since when targets have been found replaced.

        None if none was found within ``REPLACED_HOLD_S``.
        """
        self._expire(now)
        return next(iter(self._found_at.values()), None)

    def merge(
        self,
        reported: abc.Sequence[str],
        targets: abc.Mapping[str, target_table.Target],
        now: float,
    ) -> None:
        """Lets other targets go before those that a peer reports.

        Args:
            reported: Ids of the targets; those beyond ``MAX_REPORTED`` are
                ignored.
            targets: Registered targets by id.
            now: Monotonic seconds.
        """
        for target_id in reported[:MAX_REPORTED]:
            target = targets.get(target_id)
            if target is None or now - target.last_success_at < _EVIDENCE_S:
                continue
            target.backoff_until = max(
                target.backoff_until, now + REPORT_BACKOFF_S
            )

    def _expire(self, now: float) -> None:
        self._found_at = {
            target_id: found_at
            for target_id, found_at in self._found_at.items()
            if now - found_at < REPLACED_HOLD_S
        }
