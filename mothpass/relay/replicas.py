"""Keeps copies of the platform's tables, from the store and from peers."""

import asyncio
from collections import abc
import logging
import random

from mothpass.adapters import event_log
from mothpass.core import errors
from mothpass.ports import replicas

# A failed read is tried again after this time; the store bears thousands of
# reads a second, and a change must be in force within 2 s.
RETRY_S = 0.4
# The same where peers reach the store and hand its changes on.
BACKED_RETRY_S = 1.5
# Multiples of these times between which a daemon draws, as all of a fleet that
# failed at once would come again at once.
RETRY_SPREAD = (0.5, 1.5)
# A daemon that only follows its peers looks whether it must read by itself.
IDLE_CHECK_S = 0.1
# Removals remembered for peers; more than a fleet's releases of some minutes.
MOST_REMOVED = 500

_logger = logging.getLogger("mothpass.replicas")

# Takes in what changed: the rows, and whether removals may be taken for true.
Accept = abc.Callable[[list[replicas.Row], bool], None]


class Replica:
    """This daemon's copy of one table.

    Attributes:
        name: Name of the table.
        version: Version of the store that the copy stands at; 0 for none.
        content_version: Version at which its rows last changed.
        rows: Rows by key.
        is_store_reached: Whether the last call to the store succeeded.
        is_following: Whether it follows the store, and not peers.
    """

    __slots__ = (
        "_accept",
        "_complete_since",
        "_find_wait",
        "_follow",
        "_has_backing",
        "_is_settled",
        "_must_read",
        "_on_change",
        "_read",
        "_removed",
        "_waiting",
        "content_version",
        "is_following",
        "is_store_reached",
        "name",
        "rows",
        "version",
    )

    def __init__(
        self,
        *,
        name: str,
        read: replicas.ReadTable,
        follow: replicas.WatchTable,
        accept: Accept,
        must_read: abc.Callable[[], bool],
        find_wait: abc.Callable[[], float],
        has_backing: abc.Callable[[], bool],
        is_settled: abc.Callable[[], bool],
        on_change: abc.Callable[["Replica"], None],
    ) -> None:
        """Starts empty.

        Args:
            name: Name of the table.
            read: Reads it whole.
            follow: Waits for its changes.
            accept: Takes in what changed.
            must_read: Tells whether this daemon is one of those that follow
                the store itself.
            find_wait: Returns for how many seconds the store keeps a call
                that waits for changes.
            has_backing: Tells whether peers follow the store.
            is_settled: Tells whether a row that is missing is gone, and not
                just lapsed while the store was away.
            on_change: Called when its content has changed.
        """
        self.name = name
        self.version = 0
        self.content_version = 0
        # Versions at which rows were removed, for peers that lack that; what
        # was removed before ``_complete_since`` isn't all known.
        self._removed: dict[str, int] = {}
        self._complete_since = 0
        self._on_change = on_change
        self.rows: dict[str, replicas.Row] = {}
        self.is_store_reached = True
        self._read = read
        self._follow = follow
        self._accept = accept
        self._must_read = must_read
        self._find_wait = find_wait
        self._has_backing = has_backing
        self._is_settled = is_settled
        self._waiting: asyncio.Future[replicas.Page | None] | None = None
        self.is_following = True

    async def run(self) -> None:
        """Follows the store for as long as the daemon runs."""
        whole = True
        while True:
            self.is_following = not self.version or self._must_read()
            if not self.is_following:
                await asyncio.sleep(IDLE_CHECK_S)
                whole = False
                continue
            try:
                whole = await self._step(whole or not self.version)
            except (
                errors.StoreUnavailableError,
                errors.StoreUnconfirmedError,
            ) as error:
                self._note_failure(error)
                is_backed = bool(self.version) and self._has_backing()
                pause_s = BACKED_RETRY_S if is_backed else RETRY_S
                spread = random.uniform(*RETRY_SPREAD)  # noqa: S311 - no secret
                await asyncio.sleep(pause_s * spread)

    def ask_anew(self) -> None:
        """Ends a call that waits for changes, as the next one is to be short.

        A call that had failed would end by itself.
        """
        call, self._waiting = self._waiting, None
        if call is not None:
            call.cancel()

    async def check(self) -> None:
        """Asks the store once for changes, beside a call that waits for them.

        That call may hang without a sign.
        """
        if not self.version:
            return
        try:
            page = await self._follow(self.name, self.version, 0.0)
        except (
            errors.StoreUnavailableError,
            errors.StoreUnconfirmedError,
        ) as error:
            self._note_failure(error)
            return
        self._note_success()
        if page is not None:
            self.take_page(page)

    def take_page(self, page: replicas.Page) -> None:
        """Takes in rows of the store or of a peer, unless they are older."""
        if page.version < self.content_version:
            return
        if page.is_whole:
            changed = self._replace_rows(page)
            self._complete_since = page.version
        else:
            changed = [row for row in page.rows if self._put_row(row)]
        self.version = max(self.version, page.version)
        if changed or not self.content_version:
            # The same at all daemons that have taken in the same changes,
            # unlike the versions of the store's answers.
            versions = [row.version for row in changed]
            self.content_version = max(self.content_version, 1, *versions)
            self._accept(changed, self._is_settled())
            self._on_change(self)

    def make_page(self, after: int) -> replicas.Page:
        """Returns what a peer lacks whose content stands at a version."""
        if after < self._complete_since:
            return replicas.Page(
                version=self.content_version,
                rows=list(self.rows.values()),
                is_whole=True,
            )
        rows = [row for row in self.rows.values() if row.version > after]
        rows += [
            replicas.Row(key=key, version=version, value=None)
            for key, version in self._removed.items()
            if version > after
        ]
        return replicas.Page(
            version=self.content_version, rows=rows, is_whole=False
        )

    async def _step(self, whole: bool) -> bool:
        """Reads once; returns whether the next read must be a whole one."""
        if whole:
            page = await self._read(self.name)
        else:
            # After an outage the answer must come at once, to show its end.
            followed = await self._wait_for_changes()
            if followed is None:
                event_log.log(
                    _logger, "history_gone", table=self.name, after=self.version
                )
                return True
            page = followed
        self._note_success()
        self.take_page(page)
        return False

    async def _wait_for_changes(self) -> replicas.Page | None:
        wait_s = self._find_wait() if self.is_store_reached else 0.0
        call = asyncio.ensure_future(
            self._follow(self.name, self.version, wait_s)
        )
        self._waiting = call
        try:
            return await call
        except asyncio.CancelledError:
            if self._waiting is call:
                raise
            return replicas.Page(version=self.version, rows=[], is_whole=False)
        finally:
            self._waiting = None

    def _replace_rows(self, page: replicas.Page) -> list[replicas.Row]:
        present = {row.key for row in page.rows}
        gone = [
            replicas.Row(key=key, version=page.version, value=None)
            for key in self.rows
            if key not in present
        ]
        return [row for row in [*page.rows, *gone] if self._put_row(row)]

    def _put_row(self, row: replicas.Row) -> bool:
        """Takes in one row; tells whether that changed anything."""
        known = self.rows.get(row.key)
        if known is not None and known.version >= row.version:
            return False
        if row.value is None:
            return self._drop_row(row)
        if row.version <= self._removed.get(row.key, 0):
            return False
        self._removed.pop(row.key, None)
        self.rows[row.key] = row
        return known is None or known.value != row.value

    def _drop_row(self, row: replicas.Row) -> bool:
        self._removed[row.key] = row.version
        if len(self._removed) > MOST_REMOVED:
            oldest = min(self._removed, key=self._removed.__getitem__)
            self._complete_since = max(
                self._complete_since, self._removed.pop(oldest)
            )
        return self.rows.pop(row.key, None) is not None

    def _note_failure(self, error: Exception) -> None:
        if self.is_store_reached:
            self.is_store_reached = False
            event_log.log(
                _logger,
                "store_lost",
                logging.WARNING,
                table=self.name,
                version=self.version,
                reason=str(error),
            )
            # Peers read in place of this daemon.
            self._on_change(self)

    def _note_success(self) -> None:
        if not self.is_store_reached:
            self.is_store_reached = True
            event_log.log(_logger, "store_regained", table=self.name)
