"""Keeps the catalogue version in force on this daemon up to date."""

from collections import abc
import logging
import random as random_module

import msgspec

from mothpass.core import errors
from mothpass.core import history
from mothpass.core import revisions
from mothpass.daemon import catalogue_log
from mothpass.ports import clock

POLL_LEAST_S = 2.0
POLL_BEHIND_S = 0.5
POLL_FAILED_MOST_S = 10.0
FLEET_POLLS_PER_S = 100.0

_logger = logging.getLogger("mothpass.catalogue")

OnChange = abc.Callable[[revisions.Revision], None]


class CatalogueReplica:
    """The catalogue in force on this daemon.

    Attributes:
        mismatches: Changes from peers that did not fit this history.
        log: The log in the store.
    """

    __slots__ = (
        "_daemons",
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
            log: The log in the store.
            monotonic: Clock for polls.
            random: Source of jitter.
            on_change: Called with each new revision that may be served, and
                never with an older one.
        """
        self.log = log
        self._monotonic = monotonic
        self._random = random
        self._on_change = on_change
        self._history = history.History()
        self._incomplete: revisions.Change | None = None
        self._daemons = 1
        self._failed_polls = 0
        self._next_poll_at = monotonic()
        self.mismatches = 0

    @property
    def version(self) -> int:
        """Version in force; 0 while none may be served."""
        if not self._history.is_certain():
            return 0
        return self._history.revision.version

    @property
    def revision(self) -> revisions.Revision | None:
        """Revision in force; None while none may be served."""
        if not self._history.is_certain():
            return None
        return self._history.revision

    @property
    def is_confirmed(self) -> bool:
        """Whether the version is known; it may be 0, for none accepted yet."""
        return self._history.is_confirmed()

    @property
    def newest(self) -> revisions.Revision:
        """Newest revision known, which may not be served yet."""
        return self._history.revision

    @property
    def known_version(self) -> int:
        """Newest version heard of, which may not be loaded yet."""
        return self._history.known_version

    def set_peers(self, peer_ids: abc.Collection[str]) -> None:
        """Sets the other live daemons of the region, by the membership list."""
        self._history.set_view(peer_ids)
        self._daemons = len(peer_ids) + 1

    def changes_since(
        self, version: int, limit_bytes: int
    ) -> list[revisions.Change]:
        """Returns accepted changes for a peer that has a version.

        Args:
            version: Newest version that the peer has loaded.
            limit_bytes: Most bytes of the changes together.

        Returns:
            The changes that fit, oldest first; none while this daemon itself
            may not serve, or where the peer is too far behind.
        """
        return self._history.list_changes(version, limit_bytes)

    def snapshot(self, limit_bytes: int) -> bytes | None:
        """Returns the revision in force whole, for a peer that can't follow.

        Args:
            limit_bytes: Most bytes that may be sent.

        Returns:
            The encoded revision; None if none is in force or it is larger.
        """
        revision = self.revision
        if revision is None:
            return None
        data = revisions.encode_snapshot(revision)
        return data if len(data) <= limit_bytes else None

    def note_peer(self, peer_id: str, version: int) -> None:
        """Records the ``version`` that a peer reports."""
        before = self.version
        self._history.note_peer(peer_id, version)
        self._settle(before)

    def apply_changes(self, changes: list[revisions.Change]) -> None:
        """Takes changes from a peer that is authenticated.

        Changes that don't continue this history by their digests are counted
        and dropped; a gap brings the next poll forward.

        Args:
            changes: What the peer's ``changes_since`` gave.
        """
        before = self.version
        try:
            self._history.follow(changes)
        except errors.ChangeMismatchError as error:
            self._keep_incomplete(changes, error)
        self._settle(before)

    def offer_snapshot(self, data: bytes) -> None:
        """Takes a whole revision from a peer that is authenticated.

        Args:
            data: What the peer's ``snapshot`` gave.
        """
        before = self.version
        try:
            self._history.adopt(revisions.decode_snapshot(data))
        except msgspec.DecodeError as error:
            self.mismatches += 1
            _logger.error("snapshot from a peer dropped: %s", error)
        self._settle(before)

    def take_accepted(self, change: revisions.Change) -> None:
        """Takes a change of this daemon that the store has confirmed."""
        before = self.version
        self._history.follow([change])
        digest = revisions.digest_change(change)
        head = revisions.Head(version=change.version, digest=digest)
        self._history.note_head(head)
        self._settle(before)

    def note_unconfirmed(self, version: int) -> None:
        """Makes a poll due, since a version may have been accepted."""
        self._history.note_taken(version)
        self._next_poll_at = self._monotonic()

    def needs_poll(self, now: float) -> bool:
        """Tells whether a poll of the store is due."""
        return now >= self._next_poll_at

    async def poll(self, log: catalogue_log.CatalogueLog | None = None) -> bool:
        """Reads the head and loads what is new.

        Args:
            log: The log to read through, None for the one given at the start.

        Returns:
            Whether the store answered in full.
        """
        before = self.version
        # The next poll is put off first, so that a second caller that comes
        # while this one waits doesn't poll beside it.
        self._schedule_poll()
        try:
            await self._complete_offer()
            await self._load(log or self.log)
        except (
            errors.StoreUnavailableError,
            errors.ChangeMismatchError,
            msgspec.DecodeError,
        ) as error:
            self._failed_polls += 1
            _logger.warning("poll of the catalogue failed: %s", error)
            return False
        finally:
            self._schedule_poll()
            self._settle(before)
        self._failed_polls = 0
        return True

    async def list_history(self, limit: int) -> list[revisions.Change]:
        """Returns the newest changes, newest first.

        Args:
            limit: Most changes to return.

        Returns:
            Changes, some without their edits.

        Raises:
            errors.StoreUnavailableError: Older changes than those held here
                were asked for and the store can't be reached.
        """
        newest = self._history.revision.version
        recent = self._history.list_recent(limit)
        if len(recent) >= min(limit, newest):
            return recent
        found: list[revisions.Change] = []
        version = newest
        while version > 0 and len(found) < limit:
            group = await self.log.read_group(version)
            older = [item for item in group if item.version <= version]
            found.extend(reversed(older))
            version -= version % revisions.SCAN_GROUP_CHANGES + 1
        return found[:limit]

    async def read_version(self, version: int) -> revisions.Revision | None:
        """Returns the revision of a version, None if there was none.

        Args:
            version: Version up to the newest.

        Returns:
            The revision.

        Raises:
            errors.StoreUnavailableError: The store can't be reached.
            errors.ChangeMismatchError: The log has a gap.
        """
        held = self._history.revision
        if version == held.version:
            return held
        if not 0 < version < held.version:
            return None
        return await self.log.rebuild(version)

    async def _load(self, log: catalogue_log.CatalogueLog) -> None:
        """Reads the head and follows the log up to it."""
        head = await log.read_head()
        held = self._history.revision.version
        if head.version < held:
            _logger.error(
                "the store's head is version %d, older than %d in force here",
                head.version,
                held,
            )
        await log.follow(self._history, head.version)
        self._history.note_head(head)

    def _keep_incomplete(
        self,
        changes: list[revisions.Change],
        error: errors.ChangeMismatchError,
    ) -> None:
        """Keeps a change whose edits are to be read; counts a wrong one."""
        held = self._history.revision
        for change in changes:
            if (
                change.version == held.version + 1
                and change.previous == held.digest
                and change.edits is None
            ):
                self._incomplete = change
                return
        self.mismatches += 1
        _logger.error("change from a peer dropped: %s", error)

    async def _complete_offer(self) -> None:
        """Applies a large change from a peer; needs no table service."""
        change = self._incomplete
        if change is not None:
            self._history.follow([await self.log.fill_edits(change)])
            self._incomplete = None

    def _schedule_poll(self) -> None:
        """Sets when the next poll is due."""
        interval = max(POLL_LEAST_S, self._daemons / FLEET_POLLS_PER_S)
        if self._failed_polls > 0:
            backoff = POLL_BEHIND_S * 2 ** min(self._failed_polls, 8)
            interval = max(interval, min(backoff, POLL_FAILED_MOST_S))
        interval *= self._random.uniform(0.8, 1.2)
        self._next_poll_at = self._monotonic() + interval

    def _settle(self, before: int) -> None:
        """Hands on a newer revision; polls soon if there is one to load."""
        if self.version > before:
            self._on_change(self._history.revision)
        if self._history.is_behind() and self._failed_polls == 0:
            soon = self._monotonic() + POLL_BEHIND_S * self._random.random()
            self._next_poll_at = min(self._next_poll_at, soon)
