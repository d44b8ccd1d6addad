"""Keeps a copy of a table through restores of the store from an older copy.

The store may come back some seconds older. Its rows are then those of an
earlier time until their writers have written them again. A daemon keeps what
it had in force meanwhile: for a row that it knows to be older by its content,
or a row that it had seen removed, until the store has it at a later version;
for a row that is merely missing or can't be compared, for a bounded time. What
is kept and what the store has instead both go to peers, so that a daemon that
starts meanwhile doesn't take the older state into force.
"""

import msgspec

from mothpass.core import store_versions
from mothpass.ports import replicas

# Entries that a restore or an outage took are written again within about 2 s,
# as the platform states.
RESTORE_HOLD_S = 2.5
# Exceeds the removals by a fleet's releases within some minutes.
MAX_TOMBSTONES = 500


class _Tombstone(msgspec.Struct, frozen=True, kw_only=True):
    """A removed row.

    Attributes:
        version: Version at which it was removed.
        last_written: Version at which it was written last.
    """

    version: store_versions.Version
    last_written: store_versions.Version


class _Hold(msgspec.Struct, frozen=True, kw_only=True):
    """A row that is kept although the restored store has another state.

    Attributes:
        until: Seconds of the caller's clock at which the store's state is
            applied; infinity to wait for a later version.
        restored: The row that the store has instead; its value is None if the
            store has none.
    """

    until: float
    restored: replicas.Row


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """Effect of a page on a copy.

    Attributes:
        rows: Rows whose content has changed; removed ones without a value.
        is_restore: Whether the page is the first of a new era.
        held: Keys that are kept in spite of the page.
    """

    rows: list[replicas.Row]
    is_restore: bool = False
    held: list[str] = []


class TableCopy:
    """Copy of one table.

    Attributes:
        version: Version of the store that the copy has; 0 for none.
        content_version: Version at which the rows last changed, the same at
            all daemons that have applied the same changes.
        rows: Rows in force by key.
        has_memory: Whether the copy goes back beyond the last restore, or has
            the state of a peer whose copy does.
    """

    __slots__ = (
        "_compare",
        "_history_start",
        "_holds",
        "_tombstones",
        "content_version",
        "has_memory",
        "rows",
        "version",
    )

    def __init__(self, *, compare: replicas.CompareValues) -> None:
        """Creates an empty copy.

        Args:
            compare: Compares two values of a key by their content.
        """
        self.version = store_versions.NONE
        self.content_version = store_versions.NONE
        self.rows: dict[str, replicas.Row] = {}
        self.has_memory = False
        self._compare = compare
        self._holds: dict[str, _Hold] = {}
        # For peers without the removal; incomplete before ``_history_start``.
        self._tombstones: dict[str, _Tombstone] = {}
        self._history_start = 0

    @property
    def has_holds(self) -> bool:
        """Whether rows are kept in place of those of a restored store."""
        return bool(self._holds)

    def apply_page(
        self,
        page: replicas.Page,
        now: float,
        *,
        asked_at: store_versions.Version,
        is_from_peer: bool = False,
    ) -> Change | None:
        """Applies a page of the store or of a peer.

        Args:
            page: Rows of the store, or of a peer's copy.
            now: Seconds of the caller's clock.
            asked_at: Content version of the copy when it was asked for.
            is_from_peer: Whether the version of the page is a content version.

        Returns:
            The effect, None if the page is older than the copy.
        """
        era = store_versions.get_era(page.version)
        own_era = store_versions.get_era(self.content_version)
        is_first = not self.content_version
        is_restore = not is_first and era > own_era
        is_incomplete = is_restore and not page.is_whole
        # It may be from before a change that a page of the new era has brought.
        is_overtaken = own_era > store_versions.get_era(asked_at)
        if page.version < self.content_version or is_incomplete or is_overtaken:
            return None
        kept = self._adopt_held(page, now)
        if page.is_whole:
            rows = self._replace_rows(page, is_restore=is_restore, now=now)
            self._history_start = page.version
        else:
            rows = [row for row in page.rows if self._apply_row(row)]
        if is_restore or page.held:
            self.has_memory = True
        self.version = max(self.version, page.version)
        changed = kept + rows
        if changed or is_first or is_restore:
            self.content_version = max(
                self.content_version,
                store_versions.make_version(era, 1),
                *(row.version for row in changed),
            )
        if is_restore or is_from_peer:
            # This copy now has all that the peer has, also where its rows were
            # the same or removed before it had them.
            self.content_version = max(self.content_version, page.version)
        return Change(
            rows=changed,
            is_restore=is_restore,
            held=list(self._holds) if is_restore else [],
        )

    def make_page(self, after: int) -> replicas.Page:
        """Returns the changes that a peer with a content version lacks."""
        is_other_era = store_versions.get_era(after) != store_versions.get_era(
            self.content_version
        )
        if after < self._history_start or is_other_era:
            return self._make_whole_page()
        rows = [row for row in self.rows.values() if row.version > after]
        rows += [
            replicas.Row(key=key, version=tombstone.version, value=None)
            for key, tombstone in self._tombstones.items()
            if tombstone.version > after
        ]
        return replicas.Page(
            version=self.content_version, rows=rows, is_whole=False
        )

    def expire_holds(self, now: float) -> list[replicas.Row]:
        """Applies the store's state for rows that weren't written again.

        Returns:
            The rows whose content has changed.
        """
        expired = [
            (key, hold.restored)
            for key, hold in self._holds.items()
            if now >= hold.until
        ]
        for key, _ in expired:
            del self._holds[key]
        return [row for _, row in expired if self._apply_row(row)]

    def _make_whole_page(self) -> replicas.Page:
        rows = [row for row in self.rows.values() if row.key not in self._holds]
        held = []
        for key, hold in self._holds.items():
            if hold.restored.value is not None:
                rows.append(hold.restored)
            kept = self.rows.get(key)
            if kept is None:
                tombstone = self._tombstones.get(key)
                version = store_versions.NONE
                if tombstone is not None:
                    version = tombstone.version
                kept = replicas.Row(key=key, version=version, value=None)
            held.append(kept)
        return replicas.Page(
            version=self.content_version, rows=rows, is_whole=True, held=held
        )

    def _adopt_held(
        self, page: replicas.Page, now: float
    ) -> list[replicas.Row]:
        """Takes rows that a peer keeps in place of those of the store."""
        restored = {row.key: row for row in page.rows}
        changed = []
        for kept in page.held:
            mine = self.rows.get(kept.key)
            theirs = restored.get(kept.key) or replicas.Row(
                key=kept.key, version=page.version, value=None
            )
            if mine is not None and self._is_outranked(mine, theirs, kept):
                # This daemon only knows the restored state.
                del self.rows[kept.key]
                self._tombstones.pop(kept.key, None)
                self._apply_row(kept)
                changed.append(kept)
            elif mine is not None and mine.version > kept.version:
                continue
            elif self._apply_row(kept):
                changed.append(kept)
            self._hold(kept.key, theirs, now + RESTORE_HOLD_S)
        return changed

    def _is_outranked(
        self, mine: replicas.Row, theirs: replicas.Row, kept: replicas.Row
    ) -> bool:
        """Returns whether a peer keeps a newer state than this copy has.

        Args:
            mine: Row of this copy.
            theirs: Row of the restored store.
            kept: Row that the peer keeps in its place.
        """
        is_restored = mine.value == theirs.value and store_versions.get_number(
            mine.version
        ) == store_versions.get_number(theirs.version)
        if is_restored or kept.value is None or mine.value is None:
            return is_restored
        return self._compare(mine.key, kept.value, mine.value) > 0

    def _replace_rows(
        self, page: replicas.Page, *, is_restore: bool, now: float
    ) -> list[replicas.Row]:
        restored = {row.key: row for row in page.rows}
        gone = [
            replicas.Row(key=key, version=page.version, value=None)
            for key in self.rows
            if key not in restored
        ]
        changed = []
        for row in [*page.rows, *gone]:
            if is_restore:
                until = self._decide_hold(row, now)
                if until > now:
                    self._hold(row.key, row, until)
                    continue
            elif self._is_held(row):
                continue
            if self._apply_row(row):
                changed.append(row)
        return changed

    def _is_held(self, row: replicas.Row) -> bool:
        """Returns whether a row is the one in place of which one is kept."""
        hold = self._holds.get(row.key)
        if hold is None:
            return False
        if row.value is None:
            return hold.restored.value is None
        return row.version <= hold.restored.version

    def _decide_hold(self, restored: replicas.Row, now: float) -> float:
        """Returns until when the known state of a row outranks a restored one.

        Args:
            restored: The store's row; without a value if it has none.
            now: Seconds of the caller's clock.
        """
        known = self.rows.get(restored.key)
        if known is None:
            tombstone = self._tombstones.get(restored.key)
            is_older = tombstone is not None and store_versions.get_number(
                restored.version
            ) <= store_versions.get_number(tombstone.last_written)
            return float("inf") if is_older else now
        if restored.value is None:
            return now + RESTORE_HOLD_S
        assert known.value is not None
        if restored.value == known.value:
            return now
        order = self._compare(restored.key, known.value, restored.value)
        if order:
            return float("inf") if order > 0 else now
        is_later = store_versions.get_number(
            restored.version
        ) > store_versions.get_number(known.version)
        return now if is_later else now + RESTORE_HOLD_S

    def _hold(self, key: str, restored: replicas.Row, until: float) -> None:
        kept = self.rows.get(key)
        if restored.value is not None and (
            kept is None
            or self._compare(key, kept.value or b"", restored.value) > 0
        ):
            until = float("inf")
        self._holds[key] = _Hold(until=until, restored=restored)

    def _apply_row(self, row: replicas.Row) -> bool:
        """Applies one row; returns whether that changed anything."""
        known = self.rows.get(row.key)
        if known is not None and known.version >= row.version:
            return False
        tombstone = self._tombstones.get(row.key)
        if tombstone is not None and row.version <= tombstone.version:
            return False
        self._holds.pop(row.key, None)
        if row.value is None:
            return self._remove_row(row)
        self._tombstones.pop(row.key, None)
        self.rows[row.key] = row
        return known is None or known.value != row.value

    def _remove_row(self, row: replicas.Row) -> bool:
        known = self.rows.pop(row.key, None)
        tombstone = self._tombstones.get(row.key)
        last_written = store_versions.NONE
        if known is not None:
            last_written = known.version
        elif tombstone is not None:
            last_written = tombstone.last_written
        self._tombstones[row.key] = _Tombstone(
            version=row.version, last_written=last_written
        )
        if len(self._tombstones) > MAX_TOMBSTONES:
            oldest = min(
                self._tombstones,
                key=lambda key: self._tombstones[key].version,
            )
            self._history_start = max(
                self._history_start, self._tombstones.pop(oldest).version
            )
        return known is not None
