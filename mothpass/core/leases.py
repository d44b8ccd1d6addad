"""Leases on the partitions of a region's gates, kept as rows of a table.

A row names its holder; the version at which the holder took it is the fencing
token. The daemons' clocks need not agree: a holder measures the lease from
when it sent the write, other daemons measure it from when they first saw the
row's version, which can't be earlier.
"""

import msgspec

from mothpass.core import decoding
from mothpass.ports import tables

TABLE = "gates"
LEASE_DURATION_S = 12.0
RENEW_AFTER_S = 4.0
# A holder stops this long before other daemons may take the lease.
EXPIRY_MARGIN_S = 1.0
READ_INTERVAL_S = 4.0
UNAVAILABLE_RETRY_DELAY_S = 1.0


class LeaseRow(msgspec.Struct, frozen=True, kw_only=True):
    """Value of a lease row.

    Attributes:
        holder: Daemon that holds the lease, empty once it is released.
        token: Unique id of the write, by which its writer recognizes it.
    """

    holder: str
    token: str


class Read(msgspec.Struct, frozen=True, kw_only=True):
    """A read of the row; its result goes to ``Lease.record_row``.

    Attributes:
        key: Key of the row in ``TABLE``.
    """

    key: str


class Take(msgspec.Struct, frozen=True, kw_only=True):
    """A write that takes, renews or releases a lease.

    Attributes:
        write: The write; its outcome goes to one of the ``record`` methods.
        token: Unique id of the write, as in the row.
    """

    write: tables.Write
    token: str


class Lease:
    """One partition's lease, as one daemon sees it.

    Attributes:
        partition: Number of the partition.
        taken_at: Monotonic seconds at which this daemon took the lease.
        ends_at: Monotonic seconds from which this daemon no longer holds it.
        fencing: Fencing token of this daemon's lease; renewing keeps it.
    """

    __slots__ = (
        "_daemon",
        "_holder",
        "_needs_read",
        "_next_call_at",
        "_sent_at",
        "_version",
        "_version_seen_at",
        "_write_count",
        "ends_at",
        "fencing",
        "partition",
        "taken_at",
    )

    def __init__(self, *, partition: int, daemon: str) -> None:
        """Starts without the lease and without knowledge of the row.

        Args:
            partition: Number of the partition.
            daemon: Id of this daemon.
        """
        self.partition = partition
        self.taken_at = 0.0
        self.ends_at = float("-inf")
        self.fencing = 0
        self._daemon = daemon
        self._write_count = 0
        self._holder = ""
        self._needs_read = True
        self._next_call_at = float("-inf")
        self._version_seen_at = 0.0
        self._sent_at: dict[str, float] = {}
        self._version = 0

    @property
    def key(self) -> str:
        """Key of the row."""
        return f"partition/{self.partition:04d}"

    def is_held(self, now: float) -> bool:
        """Returns whether this daemon may act as the holder now."""
        return now < self.ends_at

    def plan(self, *, candidate: bool, now: float) -> Read | Take | None:
        """Returns the next store call, if one is due.

        Args:
            candidate: Whether this daemon should hold the partition.
            now: Monotonic seconds.

        Returns:
            A read or a write. While its outcome isn't recorded, the next
            call is due after ``READ_INTERVAL_S``.
        """
        if now < self._next_call_at or not (candidate or self.is_held(now)):
            return None
        self._next_call_at = now + READ_INTERVAL_S
        if self._needs_read:
            return Read(key=self.key)
        if self.is_held(now):
            return self._plan_write(self._daemon if candidate else "", now)
        if self._is_free(now):
            return self._plan_write(self._daemon, now)
        return Read(key=self.key)

    def release(self, now: float) -> Take | None:
        """Gives up the lease and returns the write that records it.

        A daemon releases its leases at shutdown, so that the next holder
        need not wait until they expire.
        """
        if not self.is_held(now):
            return None
        return self._plan_write("", now)

    def record_row(self, row: tables.Row | None, now: float) -> None:
        """Records the row as read, None if there is none."""
        self._needs_read = False
        version = row.version if row is not None else 0
        if row is None:
            lease_row = LeaseRow(holder="", token="")
        else:
            lease_row = decoding.decode_json(row.value, LeaseRow)
        if version != self._version:
            self._version = version
            self._version_seen_at = now
        self._holder = lease_row.holder
        sent_at = self._sent_at.get(lease_row.token)
        if lease_row.holder == self._daemon and sent_at is not None:
            self._record_held(sent_at, version)
        else:
            self.ends_at = float("-inf")
        if self._is_free(now):
            self._next_call_at = now

    def record_committed(self, take: Take, now: float) -> None:
        """Records that a write took effect."""
        self._version = take.write.expected_version + 1
        self._version_seen_at = now
        sent_at = self._sent_at.get(take.token)
        assert take.write.value is not None
        holder = decoding.decode_json(take.write.value, LeaseRow).holder
        self._holder = holder
        if holder == self._daemon and sent_at is not None:
            self._record_held(sent_at, self._version)
        else:
            self.ends_at = float("-inf")

    def record_conflict(self, now: float) -> None:
        """Records that the row had another version: the lease isn't held."""
        self.ends_at = float("-inf")
        self._needs_read = True
        self._next_call_at = now

    def record_unconfirmed(self, now: float) -> None:
        """Records that a write's answer was lost: the row is read next.

        A lease that was held before the write stays held until it expires,
        as no other daemon can take the row before that.
        """
        self._needs_read = True
        self._next_call_at = now

    def record_unavailable(self, now: float) -> None:
        """Records that the store did not accept the call."""
        self._next_call_at = now + UNAVAILABLE_RETRY_DELAY_S

    def _is_free(self, now: float) -> bool:
        """Returns whether this daemon may take the lease."""
        if self._version == 0 or not self._holder:
            return True
        return now >= self._version_seen_at + LEASE_DURATION_S

    def _record_held(self, sent_at: float, version: int) -> None:
        """Records that a write of this daemon took or renewed the lease."""
        ends_at = sent_at + LEASE_DURATION_S - EXPIRY_MARGIN_S
        if not self.fencing or sent_at >= self.ends_at:
            self.taken_at = sent_at
            self.fencing = version
        self.ends_at = ends_at
        self._next_call_at = sent_at + RENEW_AFTER_S

    def _plan_write(self, holder: str, now: float) -> Take:
        self._write_count += 1
        token = f"{self._daemon}/{now:.6f}/{self._write_count}"
        if holder:
            self._sent_at = {**self._list_live_writes(now), token: now}
        else:
            self.ends_at = float("-inf")
            self.fencing = 0
            self._sent_at = {}
        value = msgspec.json.encode(LeaseRow(holder=holder, token=token))
        return Take(
            token=token,
            write=tables.Write(
                table=TABLE,
                key=self.key,
                expected_version=self._version,
                value=msgspec.Raw(value),
            ),
        )

    def _list_live_writes(self, now: float) -> dict[str, float]:
        """Returns the writes whose lease may not have expired yet."""
        return {
            token: sent_at
            for token, sent_at in self._sent_at.items()
            if now < sent_at + LEASE_DURATION_S
        }
