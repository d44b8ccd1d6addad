"""Measures the cost of control traffic and store calls over a minute."""

import collections

import msgspec

from mothpass.adapters import peer_transport
from mothpass.daemon import status_page
from mothpass.daemon import stores

WINDOW_S = 60.0


class _Sample(msgspec.Struct, frozen=True, kw_only=True):
    taken_at: float
    byte_count: int
    message_count: int
    store_reads: int
    store_writes: int


class ControlCost:
    """Computes rates from samples of the traffic with peers and store calls."""

    __slots__ = ("_samples", "_store", "_traffic")

    def __init__(
        self, *, traffic: peer_transport.PeerTraffic, store: stores.Store
    ) -> None:
        """Starts without samples."""
        self._store = store
        self._traffic = traffic
        self._samples: collections.deque[_Sample] = collections.deque()

    def record_sample(self, now: float) -> None:
        """Takes a sample and expires old ones; called about once per tick."""
        samples = self._samples
        samples.append(self._take_sample(now))
        while samples[0].taken_at < now - WINDOW_S:
            samples.popleft()

    def compute_rates(self, now: float) -> status_page.ControlStatus:
        """Returns the rates since the oldest sample."""
        if not self._samples:
            return status_page.ControlStatus(store_up=self._store.answered)
        oldest = self._samples[0]
        latest = self._take_sample(now)
        seconds = max(0.001, now - oldest.taken_at)
        return status_page.ControlStatus(
            bytes_per_s=(latest.byte_count - oldest.byte_count) / seconds,
            messages_per_s=(latest.message_count - oldest.message_count)
            / seconds,
            store_reads_per_s=(latest.store_reads - oldest.store_reads)
            / seconds,
            store_writes_per_s=(latest.store_writes - oldest.store_writes)
            / seconds,
            store_up=self._store.answered,
        )

    def _take_sample(self, now: float) -> _Sample:
        traffic = self._traffic
        return _Sample(
            taken_at=now,
            byte_count=traffic.sent_bytes + traffic.received_bytes,
            message_count=traffic.sent + traffic.received,
            store_reads=self._store.reads,
            store_writes=self._store.writes,
        )
