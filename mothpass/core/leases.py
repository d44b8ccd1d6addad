"""Leases on the partitions of a region's gates, kept as rows of a table.

A row names its holder; its version is the fencing number. No clock is shared:
a holder counts its lease from the moment it sent the write, others count it
from the moment they first saw the row's version, which can't be earlier.
"""

import msgspec

from mothpass.ports import tables

TABLE = "gates"
DURATION_S = 12.0
RENEW_AFTER_S = 4.0
MARGIN_S = 1.0
READ_INTERVAL_S = 4.0
UNAVAILABLE_PAUSE_S = 1.0


class Holder(msgspec.Struct, frozen=True, kw_only=True):
    """Columns of a lease row.

    Attributes:
        holder: Daemon that holds it, empty where it was given back.
        token: Unique to one write, so that its writer can tell it again.
    """

    holder: str
    token: str


class Read(msgspec.Struct, frozen=True, kw_only=True):
    """The row must be read, and the result given to ``record_row``.

    Attributes:
        key: Key of the row in ``TABLE``.
    """

    key: str


class Take(msgspec.Struct, frozen=True, kw_only=True):
    """A write that takes, renews or gives back a lease.

    Attributes:
        write: The write; its outcome goes to one of the ``record`` methods.
        token: Token in it.
    """

    write: tables.Write
    token: str


class Lease:
    """One partition's lease, as one daemon sees it.

    Attributes:
        partition: Number of the partition.
        taken_at: Monotonic seconds at which this daemon took it.
        ends_at: Monotonic seconds at which this daemon holds it no more.
        fencing: Fencing number of this daemon's hold; renewing keeps it.
    """

    __slots__ = (
        "_count",
        "_daemon",
        "_holder",
        "_must_read",
        "_next_at",
        "_seen_at",
        "_sent",
        "_version",
        "ends_at",
        "fencing",
        "partition",
        "taken_at",
    )

    def __init__(self, *, partition: int, daemon: str) -> None:
        """Holds nothing and has seen nothing.

        Args:
            partition: Number of the partition.
            daemon: Id of this daemon.
        """
        self.partition = partition
        self.taken_at = 0.0
        self.ends_at = float("-inf")
        self.fencing = 0
        self._daemon = daemon
        self._count = 0
        self._holder = ""
        self._must_read = True
        self._next_at = float("-inf")
        self._seen_at = 0.0
        self._sent: dict[str, float] = {}
        self._version = 0

    @property
    def key(self) -> str:
        """Key of the row."""
        return f"partition/{self.partition:04d}"

    def is_held(self, now: float) -> bool:
        """Tells whether this daemon may act as the holder now."""
        return now < self.ends_at

    def plan(self, *, candidate: bool, now: float) -> Read | Take | None:
        """Returns the next call of the store, if one is due.

        Args:
            candidate: Whether this daemon should hold the partition.
            now: Monotonic seconds.

        Returns:
            A read or a write; until its outcome is recorded the next call
            may be planned again after ``READ_INTERVAL_S``.
        """
        if now < self._next_at or not (candidate or self.is_held(now)):
            return None
        self._next_at = now + READ_INTERVAL_S
        if self._must_read:
            return Read(key=self.key)
        if self.is_held(now):
            return self._write(self._daemon if candidate else "", now)
        if self._is_free(now):
            return self._write(self._daemon, now)
        return Read(key=self.key)

    def release(self, now: float) -> Take | None:
        """Returns the write that gives the lease back, and holds it no more.

        For a shutdown, so that the next holder need not wait.
        """
        if not self.is_held(now):
            return None
        return self._write("", now)

    def record_row(self, row: tables.Row | None, now: float) -> None:
        """Takes in the row as read, None where there is none."""
        self._must_read = False
        version = row.version if row is not None else 0
        if row is None:
            holder = Holder(holder="", token="")
        else:
            holder = msgspec.json.decode(row.value, type=Holder)
        if version != self._version:
            self._version = version
            self._seen_at = now
        self._holder = holder.holder
        sent_at = self._sent.get(holder.token)
        if holder.holder == self._daemon and sent_at is not None:
            self._hold(sent_at, version)
        else:
            self.ends_at = float("-inf")
        if self._is_free(now):
            self._next_at = now

    def record_committed(self, take: Take, now: float) -> None:
        """Takes in that a write took effect."""
        self._version = take.write.expected_version + 1
        self._seen_at = now
        sent_at = self._sent.get(take.token)
        assert take.write.value is not None
        holder = msgspec.json.decode(take.write.value, type=Holder).holder
        self._holder = holder
        if holder == self._daemon and sent_at is not None:
            self._hold(sent_at, self._version)
        else:
            self.ends_at = float("-inf")

    def record_conflict(self, now: float) -> None:
        """Takes in that the row had another version: nothing is held."""
        self.ends_at = float("-inf")
        self._must_read = True
        self._next_at = now

    def record_unconfirmed(self, now: float) -> None:
        """Takes in that a write's answer was lost: the row is read back.

        A lease held before it stays held until its own end, as no other
        daemon can take the row before that.
        """
        self._must_read = True
        self._next_at = now

    def record_unavailable(self, now: float) -> None:
        """Takes in that the store did not take the call."""
        self._next_at = now + UNAVAILABLE_PAUSE_S

    def _is_free(self, now: float) -> bool:
        """Tells whether the row may be taken."""
        if self._version == 0 or not self._holder:
            return True
        return now >= self._seen_at + DURATION_S

    def _hold(self, sent_at: float, version: int) -> None:
        ends_at = sent_at + DURATION_S - MARGIN_S
        if not self.fencing or sent_at >= self.ends_at:
            self.taken_at = sent_at
            self.fencing = version
        self.ends_at = ends_at
        self._next_at = sent_at + RENEW_AFTER_S

    def _write(self, holder: str, now: float) -> Take:
        self._count += 1
        token = f"{self._daemon}/{now:.6f}/{self._count}"
        if holder:
            self._sent = {**self._recent(now), token: now}
        else:
            self.ends_at = float("-inf")
            self.fencing = 0
            self._sent = {}
        value = msgspec.json.encode(Holder(holder=holder, token=token))
        return Take(
            token=token,
            write=tables.Write(
                table=TABLE,
                key=self.key,
                expected_version=self._version,
                value=msgspec.Raw(value),
            ),
        )

    def _recent(self, now: float) -> dict[str, float]:
        """Returns the writes whose lease could still run."""
        return {
            token: sent_at
            for token, sent_at in self._sent.items()
            if now < sent_at + DURATION_S
        }
