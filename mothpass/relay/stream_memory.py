"""Keeps what must outlive the loss of all daemons of streams in the store."""

import asyncio
from collections import abc
import logging

from mothpass.adapters import event_log
from mothpass.core import errors
from mothpass.core import stream_memory
from mothpass.core import stream_origins
from mothpass.core import target_table
from mothpass.ports import replicas

TABLE = "streams"
# Daemons that write a row; each learns of nearly all streams from its peers.
WRITERS = 2
WRITE_INTERVAL_S = 1.0
# A stream waits for the rows no longer than this.
READ_TIMEOUT_S = 0.5
# Between two attempts to read while the store doesn't answer.
RETRY_INTERVAL_S = 1.0

_logger = logging.getLogger("mothpass.streams")


class StreamMemory:
    """Reads the rows of earlier daemons once and writes this daemon's row."""

    __slots__ = (
        "_id",
        "_is_read",
        "_is_writer",
        "_list_services",
        "_origins",
        "_read_table",
        "_reading",
        "_retry_at",
        "_started_at",
        "_targets",
        "_versions",
        "_write_row",
        "_written",
    )

    def __init__(
        self,
        *,
        own_id: str,
        read_table: replicas.ReadTable,
        write_row: replicas.WriteRow,
        origins: stream_origins.StreamOrigins,
        versions: stream_origins.VersionHistory,
        targets: target_table.TargetTable,
        list_services: abc.Callable[[], abc.Iterable[str]],
        is_writer: abc.Callable[[], bool],
    ) -> None:
        """Creates a memory that hasn't been read.

        Args:
            own_id: Id of this daemon.
            read_table: Reads a table of the store.
            write_row: Writes a row of the store.
            origins: Streams that began at this daemon and at its peers.
            versions: Software versions that have served each service.
            targets: Targets of all services.
            list_services: Returns the services whose streams may go on.
            is_writer: Returns whether this daemon is one that writes a row.
        """
        self._id = own_id
        self._read_table = read_table
        self._write_row = write_row
        self._origins = origins
        self._versions = versions
        self._targets = targets
        self._list_services = list_services
        self._is_writer = is_writer
        self._is_read = False
        self._reading = asyncio.Lock()
        self._retry_at = float("-inf")
        self._started_at = asyncio.get_running_loop().time()
        self._written: stream_memory.Snapshot | None = None

    async def load(self) -> bool:
        """Reads the rows of earlier daemons, unless that isn't needed.

        Returns:
            Whether this daemon knows what they knew.
        """
        async with self._reading:
            now = asyncio.get_running_loop().time()
            if now - self._started_at >= stream_origins.LIFETIME_S:
                # No stream from before its start runs any more.
                self._is_read = True
            if not self._is_read and now >= self._retry_at:
                self._is_read = await self._read()
                self._retry_at = now + RETRY_INTERVAL_S
            return self._is_read

    async def run(self) -> None:
        """Writes this daemon's row whenever it changes."""
        while True:
            await asyncio.sleep(WRITE_INTERVAL_S)
            if self._is_writer() and await self.load():
                await self._write()

    async def _read(self) -> bool:
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                page = await self._read_table(TABLE)
        except (errors.MothpassError, TimeoutError) as error:
            event_log.log(
                _logger,
                "stream_memory_unread",
                logging.WARNING,
                reason=str(error) or "no answer",
            )
            return False
        rows = sorted(page.rows, key=lambda row: row.version, reverse=True)
        snapshots = list(_decode_rows(rows))
        now = asyncio.get_running_loop().time()
        versions = stream_memory.list_versions(snapshots)
        origins = stream_memory.list_origins(snapshots)
        self._versions.merge_former(versions, now)
        self._origins.merge(origins, now)
        event_log.log(
            _logger,
            "stream_memory_read",
            rows=len(snapshots),
            streams=len(origins),
            versions={name: len(known) for name, known in versions.items()},
        )
        return True

    async def _write(self) -> None:
        now = asyncio.get_running_loop().time()
        snapshot = stream_memory.make_snapshot(
            {
                service: self._versions.assess(
                    service, self._targets.list_registered(service), now
                )
                for service in sorted(self._list_services())
            },
            self._origins.list_newest(),
        )
        if snapshot == self._written:
            return
        try:
            await self._write_row(
                TABLE, self._id, stream_memory.encode(snapshot)
            )
        except errors.MothpassError as error:
            event_log.log(
                _logger,
                "stream_memory_unwritten",
                logging.WARNING,
                reason=str(error),
            )
        else:
            self._written = snapshot


def _decode_rows(
    rows: abc.Iterable[replicas.Row],
) -> abc.Iterator[stream_memory.Snapshot]:
    for row in rows:
        try:
            yield stream_memory.decode(row.value or b"")
        except errors.DocumentError as error:
            event_log.log(
                _logger, "stream_memory_torn", row=row.key, reason=str(error)
            )
