"""Handles targets whose answers show that they are gone or about to leave.

The load pattern: many targets are replaced at their addresses within a second,
or leave, under full load. Until the tables show it, each daemon of the fleet
sends requests to targets that are gone; each is rejected and sent again, and
may meet the next one. So a daemon stops using such a target with the first
answer that shows it, and reports it to its peers. A report alone only makes
other targets go first, and not where the target has just answered: a daemon
that is wrong can't take a target from the fleet. A request that has met a
replaced target prefers targets that have answered since.
"""

from collections import abc

from mothpass.core import target_table

# Exceeds the time until the registration of an ended target is removed: three
# heartbeats, and the transfer of the table.
REPLACED_HOLD_S = 5.0
# Targets in a report; the newest ones, some 16 bytes each.
MAX_REPORTED = 16
# Time for which other targets go first after a report, which is repeated for
# ``REPLACED_HOLD_S``.
REPORT_BACKOFF_S = 1.0
# An answer within this time outweighs a report, which is some ticks old.
_EVIDENCE_S = 1.0


class DepartureTable:
    """Targets that this daemon has found gone or leaving, and reports."""

    __slots__ = ("_leaving_since", "_replaced_since")

    def __init__(self) -> None:
        """Initializes an empty table."""
        self._leaving_since: dict[str, float] = {}
        self._replaced_since: dict[str, float] = {}

    def record_replaced(self, target: target_table.Target, now: float) -> None:
        """Records that another target answered at a target's address."""
        target.replaced_until = now + REPLACED_HOLD_S
        _put_last(self._replaced_since, target.id, now)

    def record_leaving(self, target: target_table.Target, now: float) -> bool:
        """Records that a target said in an answer that it leaves.

        Returns:
            Whether that was not known before.
        """
        if target.is_leaving:
            return False
        target.is_leaving = True
        _put_last(self._leaving_since, target.id, now)
        return True

    def export(self, now: float) -> list[str]:
        """Returns the ids of targets to report to peers."""
        self._expire(now)
        since = self._leaving_since | self._replaced_since
        return sorted(since, key=since.__getitem__)[-MAX_REPORTED:]

    def find_start(self, now: float) -> float | None:
        """Returns since when targets have been found replaced.

        None if none was found within ``REPLACED_HOLD_S``.
        """
        self._expire(now)
        return next(iter(self._replaced_since.values()), None)

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
        for since in (self._leaving_since, self._replaced_since):
            expired = [
                target_id
                for target_id, found_at in since.items()
                if now - found_at >= REPLACED_HOLD_S
            ]
            for target_id in expired:
                del since[target_id]


def _put_last(since: dict[str, float], target_id: str, now: float) -> None:
    since.pop(target_id, None)
    since[target_id] = now
