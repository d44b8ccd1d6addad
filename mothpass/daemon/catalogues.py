"""Keeps this daemon's replica of the catalogue up to date."""

from collections import abc
import logging
import random as random_module

import msgspec

from mothpass.core import errors
from mothpass.core import history
from mothpass.core import revisions
from mothpass.daemon import catalogue_log
from mothpass.ports import clock

MIN_POLL_INTERVAL_S = 2.0
CATCH_UP_DELAY_S = 0.5
MAX_POLL_BACKOFF_S = 10.0
MAX_FLEET_POLLS_PER_S = 100.0

_logger = logging.getLogger("mothpass.catalogue")

OnChange = abc.Callable[[revisions.Revision], None]


class CatalogueReplica:
    """This daemon's replica of the catalogue.

    Attributes:
        mismatches: Number of changes from peers that don't continue this
            history.
        log: Log of catalogue changes in the store.
    """

    __slots__ = (
        "_daemon_count",
        "_failed_polls",
        "_history",
        "_incomplete",
        "_monotonic",
        "_next_poll_at",
        "_on_change",
        "_random",
        "log",
        "mismatches",
    )

    def __init__(
        self,
        *,
        log: catalogue_log.CatalogueLog,
        monotonic: clock.Monotonic,
        random: random_module.Random,
        on_change: OnChange,
    ) -> None:
        """Starts without a catalogue; the first poll is due at once.

        Args:
            log: Log of catalogue changes in the store.
            monotonic: Clock for polls.
            random: Source of jitter.
            on_change: Called with each new revision in force, never with an
                older one.
        """
        self.log = log
        self._monotonic = monotonic
        self._random = random
        self._on_change = on_change
        self._history = history.RevisionHistory()
        self._incomplete: revisions.Change | None = None
        self._daemon_count = 1
        self._failed_polls = 0
        self._next_poll_at = monotonic()
        self.mismatches = 0

    @property
    def version(self) -> int:
        """Version in force; 0 if none is."""
        if not self._history.can_serve():
            return 0
        return self._history.revision.version

    @property
    def revision(self) -> revisions.Revision | None:
        """Revision in force; None if none is."""
        if not self._history.can_serve():
            return None
        return self._history.revision

    @property
    def is_confirmed(self) -> bool:
        """Whether the version is confirmed; an empty store confirms 0."""
        return self._history.is_confirmed()

    @property
    def is_behind(self) -> bool:
        """Whether a newer version than the loaded one is known of."""
        return self._history.is_behind()

    @property
    def newest(self) -> revisions.Revision:
        """Newest loaded revision, which may not be in force yet."""
        return self._history.revision

    @property
    def known_version(self) -> int:
        """Newest known version, which may not be loaded yet."""
        return self._history.known_version

    def set_peers(self, peer_ids: abc.Collection[str]) -> None:
        """Sets the other live daemons of the region."""
        self._history.set_peers(peer_ids)
        self._daemon_count = len(peer_ids) + 1

    def changes_since(
        self, version: int, limit_bytes: int
    ) -> list[revisions.Change]:
        """Returns accepted changes that a peer with an older version lacks.

        Args:
            version: Newest version that the peer has loaded.
            limit_bytes: Maximum total size of the changes.

        Returns:
            The changes that fit, oldest first; none while no revision is in
            force here, or if the peer is too far behind.
        """
        return self._history.list_changes(version, limit_bytes)

    def snapshot(self, limit_bytes: int) -> bytes | None:
        """Returns the encoded revision in force for a peer too far behind.

        Args:
            limit_bytes: Maximum size of the encoded revision.

        Returns:
            The encoded revision; None if there is none in force or it is too
            large.
        """
        revision = self.revision
        if revision is None:
            return None
        data = revisions.encode_snapshot(revision)
        return data if len(data) <= limit_bytes else None

    def record_peer_version(self, peer_id: str, version: int) -> None:
        """Records the ``version`` that a peer reports."""
        version_before = self.version
        self._history.record_peer_version(peer_id, version)
        self._publish_update(version_before)

    def apply_changes(self, changes: list[revisions.Change]) -> None:
        """Applies changes from an authenticated peer.

        Changes whose digests don't continue this history are counted and
        dropped. A gap brings the next poll forward.

        Args:
            changes: Result of the peer's ``changes_since``.
        """
        version_before = self.version
        try:
            self._history.apply_changes(changes)
        except errors.ChangeMismatchError as error:
            self._handle_mismatch(changes, error)
        self._publish_update(version_before)

    def apply_snapshot(self, data: bytes) -> None:
        """Applies a whole revision from an authenticated peer.

        Args:
            data: Result of the peer's ``snapshot``.
        """
        version_before = self.version
        try:
            self._history.install_snapshot(revisions.decode_snapshot(data))
        except msgspec.DecodeError as error:
            self.mismatches += 1
            _logger.error("rejected a snapshot from a peer: %s", error)
        self._publish_update(version_before)

    def apply_committed(self, change: revisions.Change) -> None:
        """Applies a change from this daemon that the store has committed."""
        version_before = self.version
        self._history.apply_changes([change])
        digest = revisions.digest_change(change)
        head = revisions.Head(version=change.version, digest=digest)
        self._history.record_head(head)
        self._publish_update(version_before)

    def record_unconfirmed(self, version: int) -> None:
        """Makes a poll due because the store may have accepted a version."""
        self._history.record_known_version(version)
        self._next_poll_at = self._monotonic()

    def needs_poll(self, now: float) -> bool:
        """Returns whether a poll of the store is due."""
        return now >= self._next_poll_at

    async def poll(self, log: catalogue_log.CatalogueLog | None = None) -> bool:
        """Reads the head from the store and loads newer changes.

        Args:
            log: Log to read through; None for ``self.log``.

        Returns:
            Whether all reads succeeded.
        """
        version_before = self.version
        # Scheduling the next poll first keeps concurrent callers from polling
        # while this poll waits.
        self._schedule_poll()
        try:
            await self._apply_incomplete()
            await self._load_changes(log or self.log)
        except (
            errors.StoreUnavailableError,
            errors.ChangeMismatchError,
            msgspec.DecodeError,
        ) as error:
            self._failed_polls += 1
            _logger.warning("failed to poll the catalogue: %s", error)
            return False
        finally:
            self._schedule_poll()
            self._publish_update(version_before)
        self._failed_polls = 0
        return True

    async def list_history(self, limit: int) -> list[revisions.Change]:
        """Returns the newest changes, newest first.

        Args:
            limit: Maximum number of changes to return.

        Returns:
            The changes, some without their edits.

        Raises:
            errors.StoreUnavailableError: The store is unavailable and older
                changes than those in memory are needed.
        """
        newest = self._history.revision.version
        recent = self._history.list_recent(limit)
        if len(recent) >= min(limit, newest):
            return recent
        changes: list[revisions.Change] = []
        version = newest
        while version > 0 and len(changes) < limit:
            group = await self.log.read_group(version)
            older = [item for item in group if item.version <= version]
            changes.extend(reversed(older))
            version -= version % revisions.CHANGES_PER_SCAN + 1
        return changes[:limit]

    async def read_version(self, version: int) -> revisions.Revision | None:
        """Returns the revision of a version; None if there is none.

        Args:
            version: Version up to the newest.

        Returns:
            The revision.

        Raises:
            errors.StoreUnavailableError: The store is unavailable.
            errors.ChangeMismatchError: The log has a gap.
        """
        newest_revision = self._history.revision
        if version == newest_revision.version:
            return newest_revision
        if not 0 < version < newest_revision.version:
            return None
        return await self.log.rebuild(version)

    async def _load_changes(self, log: catalogue_log.CatalogueLog) -> None:
        """Reads the head and applies the log up to it."""
        head = await log.read_head()
        newest_version = self._history.revision.version
        if head.version < newest_version:
            _logger.error(
                "head of the store is version %d, older than local version %d",
                head.version,
                newest_version,
            )
        await log.advance_history(self._history, head.version)
        self._history.record_head(head)

    def _handle_mismatch(
        self,
        changes: list[revisions.Change],
        error: errors.ChangeMismatchError,
    ) -> None:
        """Keeps a change whose edits must be read, else counts a mismatch."""
        newest_revision = self._history.revision
        for change in changes:
            if (
                change.version == newest_revision.version + 1
                and change.previous == newest_revision.digest
                and change.edits is None
            ):
                self._incomplete = change
                return
        self.mismatches += 1
        _logger.error("rejected a change from a peer: %s", error)

    async def _apply_incomplete(self) -> None:
        """Applies an incomplete change; reads its edits from the object store.

        This works while the table service is unavailable.
        """
        change = self._incomplete
        if change is not None:
            self._history.apply_changes([await self.log.fill_edits(change)])
            self._incomplete = None

    def _schedule_poll(self) -> None:
        """Schedules the next poll, with backoff after failures and jitter."""
        interval_s = max(
            MIN_POLL_INTERVAL_S, self._daemon_count / MAX_FLEET_POLLS_PER_S
        )
        if self._failed_polls > 0:
            backoff_s = CATCH_UP_DELAY_S * 2 ** min(self._failed_polls, 8)
            interval_s = max(interval_s, min(backoff_s, MAX_POLL_BACKOFF_S))
        interval_s *= self._random.uniform(0.8, 1.2)
        self._next_poll_at = self._monotonic() + interval_s

    def _publish_update(self, version_before: int) -> None:
        """Publishes a newer revision; schedules a poll soon if it is behind."""
        if self.version > version_before:
            self._on_change(self._history.revision)
        if self._history.is_behind() and self._failed_polls == 0:
            catch_up_at = (
                self._monotonic() + CATCH_UP_DELAY_S * self._random.random()
            )
            self._next_poll_at = min(self._next_poll_at, catch_up_at)
