"""Replicates the platform's tables from the store and from peers."""

import asyncio
from collections import abc
import logging
import random

from mothpass.adapters import event_log
from mothpass.core import errors
from mothpass.core import route_freshness
from mothpass.core import store_versions
from mothpass.core import table_copies
from mothpass.ports import replicas
from mothpass.relay import metrics as metrics_module

# The store handles thousands of reads a second, and a change must be in force
# within 2 s.
RETRY_INTERVAL_S = 0.4
# For daemons whose peers reach the store and pass its changes on.
PEER_BACKED_RETRY_INTERVAL_S = 1.5
# Bounds of the jitter factor, as daemons that fail at the same time would also
# retry at the same time.
RETRY_JITTER = (0.5, 1.5)
# For a poll that a client's request waits for; a slow store takes half of it.
CONFIRM_TIMEOUT_S = 0.5
# A daemon that replicates from peers checks whether it must read the store.
ROLE_CHECK_INTERVAL_S = 0.1
# Keys in a log line.
MAX_LOGGED_KEYS = 10

_logger = logging.getLogger("mothpass.replicas")

# Applies changed rows; the flag is whether the store's removals are final.
ApplyChanges = abc.Callable[[list[replicas.Row], bool], None]


class Replica:
    """This daemon's replica of one table.

    Attributes:
        name: Name of the table.
        freshness: When the replica was last known to be the newest.
        is_store_reached: Whether the last call to the store succeeded.
        is_store_down: Whether the last two calls or more failed, not just one
            connection.
        is_following_store: Whether it reads the store instead of peers.
    """

    __slots__ = (
        "_apply_changes",
        "_confirmation",
        "_copy",
        "_feed_call",
        "_follow",
        "_get_pause_s",
        "_get_wait_s",
        "_had_changes",
        "_has_gap",
        "_has_reader_peer",
        "_is_store_stable",
        "_metrics",
        "_must_read",
        "_on_change",
        "_on_gap",
        "_read",
        "freshness",
        "is_following_store",
        "is_store_down",
        "is_store_reached",
        "name",
    )

    def __init__(
        self,
        *,
        name: str,
        read: replicas.ReadTable,
        follow: replicas.WatchTable,
        apply_changes: ApplyChanges,
        compare: replicas.CompareValues,
        must_read: abc.Callable[[], bool],
        get_wait_s: abc.Callable[[bool], float],
        get_pause_s: abc.Callable[[], float],
        has_reader_peer: abc.Callable[[], bool],
        is_store_stable: abc.Callable[[], bool],
        on_change: abc.Callable[["Replica"], None],
        on_gap: abc.Callable[[], None],
        metrics: metrics_module.Metrics,
    ) -> None:
        """Creates an empty replica.

        Args:
            name: Name of the table.
            read: Reads the whole table.
            follow: Calls the store's change feed.
            apply_changes: Applies changed rows.
            compare: Compares two values of a key by their content.
            must_read: Returns whether this daemon is to read the store.
            get_wait_s: Returns for how many seconds the store holds a change
                feed call; its argument is whether the last one had changes.
            get_pause_s: Returns the seconds between two change feed calls.
            has_reader_peer: Returns whether a peer reads the store.
            is_store_stable: Returns whether a missing row is removed, and
                didn't just expire during an outage of the store.
            on_change: Called when the content has changed or the store has
                become unreachable.
            on_gap: Called when the store no longer had the history since the
                last read, so that rows may have come and gone unseen.
            metrics: Counters and histograms.
        """
        self.name = name
        self._copy = table_copies.TableCopy(compare=compare)
        self._on_change = on_change
        self._on_gap = on_gap
        self._metrics = metrics
        self.is_store_reached = True
        self.is_store_down = False
        self._read = read
        self._follow = follow
        self._apply_changes = apply_changes
        self._must_read = must_read
        self._get_wait_s = get_wait_s
        self._get_pause_s = get_pause_s
        self._has_reader_peer = has_reader_peer
        self._is_store_stable = is_store_stable
        self._feed_call: asyncio.Future[replicas.Page | None] | None = None
        self._confirmation: asyncio.Task[None] | None = None
        self._had_changes = False
        self._has_gap = False
        self.freshness = route_freshness.Freshness()
        self.is_following_store = True

    @property
    def version(self) -> store_versions.Version:
        """Version of the store that the replica has; 0 for none."""
        return self._copy.version

    @property
    def content_version(self) -> store_versions.Version:
        """Version at which the rows last changed."""
        return self._copy.content_version

    @property
    def has_holds(self) -> bool:
        """Whether rows are kept in place of those of a restored store."""
        return self._copy.has_holds

    @property
    def has_memory(self) -> bool:
        """Whether it knows what was in force before the last restore."""
        return self._copy.has_memory

    async def run(self) -> None:
        """Reads the store's change feed whenever this daemon is to."""
        needs_whole = True
        while True:
            self.is_following_store = not self.version or self._must_read()
            if not self.is_following_store:
                await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
                needs_whole = False
                continue
            is_feed_call = bool(self.version) and not needs_whole
            was_reached = self.is_store_reached
            try:
                needs_whole = await self._read_once(not is_feed_call)
                if is_feed_call:
                    await asyncio.sleep(self._get_pause_s())
            except (
                errors.StoreUnavailableError,
                errors.StoreUnconfirmedError,
            ) as error:
                self._record_failure(error)
                if is_feed_call and was_reached:
                    # Only the connection may have failed.
                    continue
                is_backed = bool(self.version) and self._has_reader_peer()
                pause_s = (
                    PEER_BACKED_RETRY_INTERVAL_S
                    if is_backed
                    else RETRY_INTERVAL_S
                )
                jitter = random.uniform(*RETRY_JITTER)  # noqa: S311 - no secret
                await asyncio.sleep(pause_s * jitter)

    def restart_feed_call(self) -> None:
        """Cancels the change feed call, as the next one is to be shorter.

        A failed call would end by itself.
        """
        call, self._feed_call = self._feed_call, None
        if call is not None:
            call.cancel()

    async def confirm(self) -> bool:
        """Polls the store, so that all rows from before the call are applied.

        Calls at the same time share a poll.

        Returns:
            Whether that succeeded.
        """
        called_at = asyncio.get_running_loop().time()
        # A poll that is under way may be from before the call.
        for _ in range(2):
            if self._confirmation is None:
                self._confirmation = asyncio.ensure_future(self.poll_once())
                self._confirmation.add_done_callback(self._end_confirmation)
            try:
                async with asyncio.timeout_at(called_at + CONFIRM_TIMEOUT_S):
                    await asyncio.shield(self._confirmation)
            except TimeoutError:
                return False
            if self.freshness.confirmed_at >= called_at:
                return True
        return False

    def _end_confirmation(self, task: asyncio.Task[None]) -> None:
        del task
        self._confirmation = None

    async def poll_once(self) -> None:
        """Polls the store for changes, beside a change feed call.

        That call may hang silently.
        """
        if not self.version:
            return
        asked_at = self.content_version
        called_at = asyncio.get_running_loop().time()
        try:
            page = await self._follow(self.name, self.version, 0.0)
        except (
            errors.StoreUnavailableError,
            errors.StoreUnconfirmedError,
        ) as error:
            self._record_failure(error)
            return
        self._record_success()
        if page is not None and self._apply_store_page(page, asked_at):
            self.freshness.confirm(called_at)

    def apply_page(
        self,
        page: replicas.Page,
        *,
        asked_at: store_versions.Version,
        is_from_peer: bool = False,
    ) -> bool:
        """Applies rows of the store or of a peer, unless they are outdated.

        Args:
            page: The rows.
            asked_at: Content version of this replica when it asked for them.
            is_from_peer: Whether they are a peer's.

        Returns:
            Whether they were applied.
        """
        before = self._copy.content_version
        change = self._copy.apply_page(
            page,
            asyncio.get_running_loop().time(),
            asked_at=asked_at,
            is_from_peer=is_from_peer,
        )
        if change is None:
            self._metrics.count("table_pages_dropped", table=self.name)
            return False
        if change.is_restore:
            self._metrics.count("store_restores", table=self.name)
            event_log.log(
                _logger,
                "store_restored",
                logging.WARNING,
                table=self.name,
                version=store_versions.to_pair(self.content_version),
                before=store_versions.to_pair(before),
                changed=len(change.rows),
                held=sorted(change.held)[:MAX_LOGGED_KEYS],
                held_count=len(change.held),
            )
        if change.rows or change.is_restore or not before:
            self._apply_changes(change.rows, self._is_store_stable())
            self._on_change(self)
        return True

    def expire_holds(self) -> None:
        """Applies the store's state for rows that weren't written again."""
        if not self._copy.has_holds:
            return
        rows = self._copy.expire_holds(asyncio.get_running_loop().time())
        if rows:
            event_log.log(
                _logger,
                "held_rows_expired",
                table=self.name,
                keys=[row.key for row in rows][:MAX_LOGGED_KEYS],
            )
            self._apply_changes(rows, True)

    def make_page(self, after: int) -> replicas.Page:
        """Returns the changes that a peer with a content version lacks."""
        return self._copy.make_page(after)

    def count_read(self, source: str, end: str, size: int = 0) -> None:
        """Counts a transfer of rows.

        Args:
            source: ``store`` or ``peer``.
            end: ``ok`` or ``failed``.
            size: Bytes of the rows.
        """
        self._metrics.count(
            "table_reads", table=self.name, source=source, end=end
        )
        self._metrics.count(
            "table_bytes", amount=size, table=self.name, source=source
        )

    async def _read_once(self, needs_whole: bool) -> bool:
        """Reads once; returns whether the next read must be a whole one."""
        asked_at = self.content_version
        confirmed_at = asyncio.get_running_loop().time()
        if needs_whole:
            page = await self._read(self.name)
        else:
            followed, confirmed_at = await self._wait_for_changes()
            if followed is None:
                event_log.log(
                    _logger,
                    "history_gone",
                    table=self.name,
                    after=store_versions.to_pair(self.version),
                )
                self._has_gap = True
                return True
            page = followed
        self._record_success()
        is_applied = self._apply_store_page(page, asked_at)
        if is_applied:
            self.freshness.confirm(confirmed_at)
        if is_applied and self._has_gap:
            self._has_gap = False
            self._on_gap()
        return needs_whole and not is_applied

    def _apply_store_page(
        self, page: replicas.Page, asked_at: store_versions.Version
    ) -> bool:
        """Applies an answer of the store; returns whether it was applied."""
        before = self.content_version
        is_applied = self.apply_page(page, asked_at=asked_at)
        if self.content_version == before:
            return is_applied
        size = sum(len(row.value or b"") for row in page.rows)
        self.count_read("store", "ok", size)
        event_log.log(
            _logger,
            "table_from_store",
            table=self.name,
            version=store_versions.to_pair(self.content_version),
            before=store_versions.to_pair(before),
            bytes=size,
        )
        return is_applied

    async def _wait_for_changes(self) -> tuple[replicas.Page | None, float]:
        """Calls the change feed.

        Returns:
            The changes, None if the history is gone, and the time as of which
            there are no others.
        """
        # After an outage the answer must come at once to show its end.
        wait_s = 0.0
        if self.is_store_reached:
            wait_s = self._get_wait_s(self._had_changes)
        loop = asyncio.get_running_loop()
        called_at = loop.time()
        call = asyncio.ensure_future(
            self._follow(self.name, self.version, wait_s)
        )
        self._feed_call = call
        try:
            page = await call
        except asyncio.CancelledError:
            # The cancellation is that of the call, unless this task is
            # cancelled as well.
            task = asyncio.current_task()
            if task is None or task.cancelling():
                raise
            page = replicas.Page(version=self.version, rows=[], is_whole=False)
            return page, float("-inf")
        finally:
            self._feed_call = None
        self._had_changes = page is not None and bool(page.rows)
        # A call that the store held for its time shows that nothing came.
        is_held = not self._had_changes and loop.time() - called_at >= wait_s
        return page, called_at + wait_s if is_held else called_at

    def _record_failure(self, error: Exception) -> None:
        self.count_read("store", "failed")
        event_log.log(
            _logger,
            "store_read_failed",
            logging.WARNING,
            table=self.name,
            version=store_versions.to_pair(self.version),
            reason=str(error),
        )
        self.is_store_down = not self.is_store_reached
        if self.is_store_reached:
            self.is_store_reached = False
            event_log.log(
                _logger,
                "store_lost",
                logging.WARNING,
                table=self.name,
                version=store_versions.to_pair(self.version),
                reason=str(error),
            )
            # Notifies the peers, so that others read in place of this daemon.
            self._on_change(self)

    def _record_success(self) -> None:
        self.is_store_down = False
        if not self.is_store_reached:
            self.is_store_reached = True
            event_log.log(_logger, "store_regained", table=self.name)
