"""The revision in force on one daemon, the changes before it, and certainty.

A daemon keeps nothing over a restart, so at its start it can't know by itself
which version has been in force. It serves none until the store's head or
enough of the peers in its view have told it (docs/design/catalogue.md).
"""

import collections
from collections import abc

from mothpass.core import edits
from mothpass.core import revisions

# Peers that are enough to hear of in a large fleet, where a daemon hears of
# its neighbours in the grid only; in a small one it takes more than half.
ENOUGH_PEERS = 4
MAX_LOG_CHANGES = 512
LOG_LIMIT_BYTES = 1_048_576
# Bytes of a change beside its edits, for the two limits above.
CHANGE_OVERHEAD_BYTES = 512


class RevisionHistory:
    """Follows accepted changes forward and tells when it may serve.

    Attributes:
        revision: Newest revision known whole.
        known_version: Newest version heard of, which may not be loaded yet.
    """

    __slots__ = (
        "_confirmed",
        "_log",
        "_log_bytes",
        "_peer_versions",
        "_view",
        "known_version",
        "revision",
    )

    def __init__(self) -> None:
        """Starts with the empty revision, certain of nothing."""
        self.revision = revisions.EMPTY
        self.known_version = 0
        self._confirmed = False
        self._log: collections.deque[tuple[revisions.Change, int]] = (
            collections.deque()
        )
        self._log_bytes = 0
        self._peer_versions: dict[str, int] = {}
        self._view: frozenset[str] = frozenset()

    def set_peers(self, peer_ids: abc.Iterable[str]) -> None:
        """Sets the other daemons of the region that are live as far as known.

        Args:
            peer_ids: Ids of the membership list without this daemon's own.
        """
        self._view = frozenset(peer_ids)
        for peer_id in self._peer_versions.keys() - self._view:
            del self._peer_versions[peer_id]

    def record_peer_version(self, peer_id: str, version: int) -> None:
        """Records the version that a peer says is in force on it.

        Args:
            peer_id: Id of the peer.
            version: Its version; 0 from a peer that isn't certain itself,
                which tells nothing.
        """
        if version <= 0:
            return
        self.known_version = max(self.known_version, version)
        if peer_id in self._view:
            self._peer_versions[peer_id] = version
        self._update_certainty()

    def record_head(self, head: revisions.Head) -> None:
        """Records the head as just read from the store."""
        self.known_version = max(self.revision.version, head.version)
        if head.version <= self.revision.version:
            self._confirmed = True

    def record_known_version(self, version: int) -> None:
        """Records that a version was or may have been accepted."""
        self.known_version = max(self.known_version, version)

    def is_behind(self) -> bool:
        """Tells whether a newer version than the one loaded is known of."""
        return self.known_version > self.revision.version

    def is_confirmed(self) -> bool:
        """Tells whether the version is known, which may be 0 for none yet."""
        return self._confirmed

    def can_serve(self) -> bool:
        """Tells whether the revision may be served.

        Once true it stays true: a daemon that lags after that serves what it
        has, as every daemon does until a change reaches it.
        """
        return self._confirmed and self.revision.version > 0

    def apply_changes(self, changes: abc.Iterable[revisions.Change]) -> int:
        """Applies accepted changes that continue the revision.

        Args:
            changes: Changes in order of their version, with their edits.
                Those that are applied already are passed over.

        Returns:
            Number of changes applied. It stops at a gap.

        Raises:
            errors.ChangeMismatchError: A change is of another history, or its
                edits are missing; those before it were applied.
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
        self._update_certainty()
        return applied

    def install_snapshot(self, snapshot: revisions.Revision) -> bool:
        """Takes a whole revision in place of the one held.

        Args:
            snapshot: Revision that was accepted.

        Returns:
            Whether it was newer; an older one is never taken.
        """
        if snapshot.version <= self.revision.version:
            return False
        self.revision = snapshot
        self.known_version = max(self.known_version, snapshot.version)
        self._log.clear()
        self._log_bytes = 0
        self._update_certainty()
        return True

    def list_changes(
        self, version: int, limit_bytes: int
    ) -> list[revisions.Change]:
        """Returns changes after a version, oldest first.

        Args:
            version: Newest version that the receiver has.
            limit_bytes: Most bytes of the changes together.

        Returns:
            The changes that fit, without large edits; empty where the
            receiver is level or too far behind for the log, and while this
            daemon is not certain itself.
        """
        if not self.can_serve() or not self._log:
            return []
        first = self._log[0][0].version
        if version < first - 1:
            return []
        found: list[revisions.Change] = []
        for index in range(version + 1 - first, len(self._log)):
            change, size = self._log[index]
            limit_bytes -= size
            if limit_bytes < 0:
                break
            found.append(change)
        return found

    def list_recent(self, limit: int) -> list[revisions.Change]:
        """Returns the newest changes that are held, newest first."""
        recent = [change for change, _ in reversed(self._log)]
        return recent[:limit]

    def _append(self, change: revisions.Change) -> None:
        slim = revisions.strip_large_edits(change)
        size = CHANGE_OVERHEAD_BYTES
        if slim.edits is not None:
            size += edits.measure_edits(slim.edits)
        self._log.append((slim, size))
        self._log_bytes += size
        while (
            len(self._log) > MAX_LOG_CHANGES
            or self._log_bytes > LOG_LIMIT_BYTES
        ):
            self._log_bytes -= self._log.popleft()[1]

    def _update_certainty(self) -> None:
        """Becomes certain when enough of the view is not ahead of it."""
        if self._confirmed or not self._view:
            return
        heard = len(self._peer_versions)
        newest = max(self._peer_versions.values(), default=0)
        if heard >= count_required_peers(len(self._view)) and (
            self.revision.version >= newest
        ):
            self._confirmed = True


def count_required_peers(view: int) -> int:
    """Returns how many peers must have told their version.

    Args:
        view: Other daemons that are live as far as known.

    Returns:
        More than half of a small view, ENOUGH_PEERS of a large one.
    """
    return min(view // 2 + 1, ENOUGH_PEERS)
