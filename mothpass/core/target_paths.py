"""Assesses whether a daemon can open connections to the targets of a service.

A daemon may lose its path to targets that others still reach: connections hang,
are reset, or live on while new ones are refused. Only new connections are
evidence, as those of before may outlive the path. A single target that can't be
connected to says nothing of the path; several in a row, with no connection in
between, do. While that lasts, peers that have a path take the requests.
"""

from collections import abc
import random as random_module

import msgspec

# Targets in a row to which no connection could be opened.
_MIN_UNREACHABLE = 2
# Older failures say nothing about the path now.
_EVIDENCE_S = 5.0
# A connection that was refused costs no time, so that the next target is tried.
_SLOW_CONNECT_S = 0.1
# Keeps a gossip message within one packet.
MAX_REPORTED_SERVICES = 8


class PeerPath(msgspec.Struct, frozen=True, kw_only=True):
    """What a peer says of its paths.

    Attributes:
        id: Id of the peer.
        address: ``ip:port`` at which it takes requests of peers.
        availability_zone: Its availability zone, "" for a peer that takes no
            requests of others.
        cut_off_services: Services to whose targets it has no path.
    """

    id: str
    address: str
    availability_zone: str
    cut_off_services: list[str]


class TargetPaths:
    """Failed connections to targets since the last one that was opened."""

    __slots__ = ("_connected_at", "_failed_at")

    def __init__(self) -> None:
        """Starts without evidence."""
        self._connected_at: dict[str, float] = {}
        self._failed_at: dict[str, dict[str, float]] = {}

    def record_connected(self, service: str, now: float) -> None:
        """Records that a connection to a target of a service was opened."""
        self._connected_at[service] = now
        self._failed_at.pop(service, None)

    def record_unreachable(
        self, service: str, target_id: str, now: float
    ) -> None:
        """Records that no connection to a target could be opened."""
        self._failed_at.setdefault(service, {})[target_id] = now

    def is_suspected(self, service: str, now: float) -> bool:
        """Returns whether a connection has failed and none was opened since."""
        return bool(self._list_unreachable(service, now))

    def is_cut_off(
        self, service: str, target_ids: abc.Collection[str], now: float
    ) -> bool:
        """Returns whether there is no path to the targets of a service.

        Args:
            service: Name of the service.
            target_ids: Ids of its targets.
            now: Monotonic seconds.
        """
        required = max(1, min(_MIN_UNREACHABLE, len(target_ids)))
        return len(self._list_unreachable(service, now)) >= required

    def has_tried_all(
        self, service: str, target_ids: abc.Collection[str], now: float
    ) -> bool:
        """Returns whether no target of a service could be connected to."""
        return self._list_unreachable(service, now) >= set(target_ids)

    def may_be_cut_off(
        self, service: str, *, attempted_at: float, now: float
    ) -> bool:
        """Returns whether a failed connection may be due to the path.

        Args:
            service: Name of the service.
            attempted_at: Monotonic seconds at which the connection was begun.
            now: Monotonic seconds.
        """
        connected_at = self._connected_at.get(service, float("-inf"))
        return (
            now - attempted_at >= _SLOW_CONNECT_S
            and connected_at < attempted_at
        )

    def pick_to_probe(
        self,
        service: str,
        target_ids: abc.Collection[str],
        *,
        random: random_module.Random,
    ) -> str:
        """Returns the id of the target whose failure is the longest ago.

        Targets without a failed connection go first, in random order, so that
        daemons don't probe the same one.

        Args:
            service: Name of the service.
            target_ids: Ids of its targets, at least one.
            random: Source of randomness.
        """
        failed_at = self._failed_at.get(service, {})
        failures = {
            target_id: failed_at.get(target_id, float("-inf"))
            for target_id in target_ids
        }
        oldest = min(failures.values())
        return random.choice(
            [
                target_id
                for target_id, failure in failures.items()
                if failure == oldest
            ]
        )

    def has_connected_since(self, service: str, since: float) -> bool:
        """Returns whether a connection was opened since a time."""
        return self._connected_at.get(service, float("-inf")) >= since

    def _list_unreachable(self, service: str, now: float) -> set[str]:
        return {
            target_id
            for target_id, failed_at in self._failed_at.get(service, {}).items()
            if now - failed_at <= _EVIDENCE_S
        }


def pick_peer(
    peers: abc.Iterable[PeerPath],
    *,
    service: str,
    availability_zone: str,
    tried: abc.Container[str],
    random: random_module.Random,
) -> PeerPath | None:
    """Returns a peer to take a request, None if none has a path.

    Peers in the daemon's own availability zone go first, as bytes between
    zones are paid for.

    Args:
        peers: Live peers.
        service: Service of the request.
        availability_zone: Availability zone of the daemon.
        tried: Ids of peers that couldn't take the request.
        random: Source of randomness.
    """
    usable = [
        peer
        for peer in peers
        if peer.availability_zone
        and service not in peer.cut_off_services
        and peer.id not in tried
    ]
    near = [
        peer for peer in usable if peer.availability_zone == availability_zone
    ]
    candidates = near or usable
    return random.choice(candidates) if candidates else None
