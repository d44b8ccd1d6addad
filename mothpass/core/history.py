"""Follows the accepted revisions of the catalogue on one daemon.

A daemon keeps no state over a restart, so at its start it can't know which
version has been in force. It serves none until the store's head or enough of
its peers have confirmed the version (docs/design/catalogue.md).
"""

import collections
from collections import abc

from mothpass.core import edits
from mothpass.core import revisions

# Bounds the peers required in a large fleet, where a daemon receives batches
# only from its neighbours in the grid; a small fleet requires more than half.
MAX_REQUIRED_PEERS = 4
MAX_LOG_CHANGES = 512
MAX_LOG_BYTES = 1_048_576
# Bytes counted for a change beside its edits, toward MAX_LOG_BYTES.
CHANGE_OVERHEAD_BYTES = 512


class RevisionHistory:
    """Newest revision of the catalogue, with the changes that led to it.

    Attributes:
        revision: Newest revision that is loaded.
        known_version: Newest version known of, which may not be loaded yet.
    """

    __slots__ = (
        "_confirmed",
        "_log",
        "_log_bytes",
        "_peer_versions",
        "_peers",
        "known_version",
        "revision",
    )

    def __init__(self) -> None:
        """Starts with the empty revision, unconfirmed."""
        self.revision = revisions.EMPTY
        self.known_version = 0
        self._confirmed = False
        self._log: collections.deque[tuple[revisions.Change, int]] = (
            collections.deque()
        )
        self._log_bytes = 0
        self._peer_versions: dict[str, int] = {}
        self._peers: frozenset[str] = frozenset()

    def set_peers(self, peer_ids: abc.Iterable[str]) -> None:
        """Sets the peers whose versions count toward confirmation.

        Args:
            peer_ids: Ids of the daemons that the membership list gives as
                live, without this daemon.
        """
        self._peers = frozenset(peer_ids)
        for peer_id in self._peer_versions.keys() - self._peers:
            del self._peer_versions[peer_id]

    def record_peer_version(self, peer_id: str, version: int) -> None:
        """Records the version that a peer reports as in force on it.

        Args:
            peer_id: Id of the peer.
            version: Version on the peer; ignored if 0, which a peer reports
                whose own version isn't confirmed.
        """
        if version <= 0:
            return
        self.known_version = max(self.known_version, version)
        if peer_id in self._peers:
            self._peer_versions[peer_id] = version
        self._update_confirmation()

    def record_head(self, head: revisions.Head) -> None:
        """Records the head row as just read from the store."""
        self.known_version = max(self.revision.version, head.version)
        if head.version <= self.revision.version:
            self._confirmed = True

    def record_known_version(self, version: int) -> None:
        """Records a version that was or may have been accepted."""
        self.known_version = max(self.known_version, version)

    def is_behind(self) -> bool:
        """Returns whether a newer version than the loaded one is known of."""
        return self.known_version > self.revision.version

    def is_confirmed(self) -> bool:
        """Returns whether the version, 0 for none yet, is confirmed."""
        return self._confirmed

    def can_serve(self) -> bool:
        """Returns whether the revision may be served.

        Once true it stays true: a daemon that lags later serves the revision
        it has, as every daemon does until a change reaches it.
        """
        return self._confirmed and self.revision.version > 0

    def apply_changes(self, changes: abc.Iterable[revisions.Change]) -> int:
        """Applies accepted changes that follow the loaded revision.

        Args:
            changes: Changes in order of their version, with their edits.
                Changes that are already applied are skipped.

        Returns:
            Number of changes applied; the first gap in the versions ends it.

        Raises:
            errors.ChangeMismatchError: A change belongs to another history,
                or its edits are missing; those before it were applied.
        """
        applied = 0
        for change in changes:
            self.known_version = max(self.known_version, change.version)
            if change.version <= self.revision.version:
                continue
            if change.version > self.revision.version + 1:
                break
            self.revision = revisions.apply_change(self.revision, change)
            self._append(change)
            applied += 1
        self._update_confirmation()
        return applied

    def install_snapshot(self, snapshot: revisions.Revision) -> bool:
        """Replaces the loaded revision by a newer snapshot.

        Args:
            snapshot: Revision that was accepted.

        Returns:
            Whether the snapshot was newer; an older one is never installed.
        """
        if snapshot.version <= self.revision.version:
            return False
        self.revision = snapshot
        self.known_version = max(self.known_version, snapshot.version)
        self._log.clear()
        self._log_bytes = 0
        self._update_confirmation()
        return True

    def list_changes(
        self, version: int, limit_bytes: int
    ) -> list[revisions.Change]:
        """Returns changes after a version, oldest first.

        Args:
            version: Newest version that the receiver has.
            limit_bytes: Bound on the size of all changes together.

        Returns:
            The changes that fit, without large edits. Empty if the receiver
            is up to date or too far behind for the log, or if this daemon may
            not serve its own revision yet.
        """
        if not self.can_serve() or not self._log:
            return []
        first = self._log[0][0].version
        if version < first - 1:
            return []
        changes: list[revisions.Change] = []
        for index in range(version + 1 - first, len(self._log)):
            change, size_bytes = self._log[index]
            limit_bytes -= size_bytes
            if limit_bytes < 0:
                break
            changes.append(change)
        return changes

    def list_recent(self, limit: int) -> list[revisions.Change]:
        """Returns the newest changes of the log, newest first."""
        recent = [change for change, _ in reversed(self._log)]
        return recent[:limit]

    def _append(self, change: revisions.Change) -> None:
        row = revisions.strip_large_edits(change)
        size_bytes = CHANGE_OVERHEAD_BYTES
        if row.edits is not None:
            size_bytes += edits.estimate_edits_bytes(row.edits)
        self._log.append((row, size_bytes))
        self._log_bytes += size_bytes
        while (
            len(self._log) > MAX_LOG_CHANGES or self._log_bytes > MAX_LOG_BYTES
        ):
            self._log_bytes -= self._log.popleft()[1]

    def _update_confirmation(self) -> None:
        """Confirms the version once enough peers report no newer one."""
        if self._confirmed or not self._peers:
            return
        reported = len(self._peer_versions)
        newest = max(self._peer_versions.values(), default=0)
        if reported >= count_required_peers(len(self._peers)) and (
            self.revision.version >= newest
        ):
            self._confirmed = True


def count_required_peers(peers: int) -> int:
    """Returns how many peers must have reported their version.

    Args:
        peers: Number of other daemons that are known to be live.

    Returns:
        More than half of a few peers, MAX_REQUIRED_PEERS of many.
    """
    return min(peers // 2 + 1, MAX_REQUIRED_PEERS)
