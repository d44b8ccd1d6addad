"""Measures what control costs this daemon over the last minute."""

import collections

import msgspec

from mothpass.adapters import peer_transport
from mothpass.daemon import status_page
from mothpass.daemon import stores

WINDOW_S = 60.0


class _Sample(msgspec.Struct, frozen=True, kw_only=True):
    at: float
    sent_bytes: int
    messages: int
    store_reads: int
    store_writes: int


class ControlCost:
    """Samples the counts of the exchange with peers and of the store."""

    __slots__ = ("_samples", "_store", "_traffic")

    def __init__(
        self, *, traffic: peer_transport.PeerTraffic, store: stores.Store
    ) -> None:
        """Starts without samples."""
        self._store = store
        self._traffic = traffic
        self._samples: collections.deque[_Sample] = collections.deque()

    def sample(self, now: float) -> None:
        """Takes a sample; to be called about once a tick."""
        samples = self._samples
        samples.append(self._read(now))
        while samples[0].at < now - WINDOW_S:
            samples.popleft()

    def show(self, now: float) -> status_page.ControlStatus:
        """Returns the rates since the oldest sample."""
        if not self._samples:
            return status_page.ControlStatus(store_up=self._store.answered)
        oldest = self._samples[0]
        present = self._read(now)
        seconds = max(0.001, now - oldest.at)
        return status_page.ControlStatus(
            bytes_per_s=(present.sent_bytes - oldest.sent_bytes) / seconds,
            messages_per_s=(present.messages - oldest.messages) / seconds,
            store_reads_per_s=(present.store_reads - oldest.store_reads)
            / seconds,
            store_writes_per_s=(present.store_writes - oldest.store_writes)
            / seconds,
            store_up=self._store.answered,
        )

    def _read(self, now: float) -> _Sample:
        traffic = self._traffic
        return _Sample(
            at=now,
            sent_bytes=traffic.sent_bytes + traffic.received_bytes,
            messages=traffic.sent + traffic.received,
            store_reads=self._store.reads,
            store_writes=self._store.writes,
        )
