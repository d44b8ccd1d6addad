"""Decodes the settings of a relay daemon."""

import msgspec

from mothpass.core import documents


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a relay daemon.

    Attributes:
        id: Id of this daemon, unique in the fleet.
        availability_zone: Its zone.
        address: IP address of this daemon, for peers.
        clients: ``ip:port`` at which clients connect.
        health: ``ip:port`` at which the balancer checks readiness.
        peer_ports: First and last port for traffic between daemons.
        seeds: ``ip:port`` of daemons known before the start, maybe stale.
        store: ``ip:port`` of the platform's store.
        grace_s: Time between SIGTERM and SIGKILL.
        repeat_ratio: Retries that the fleet may send per request.
        repeat_window_s: Window of the retry budget.
        repeat_extra: Retries that the fleet may send in addition.
        cold_overage: Multiple of its configured rate that a cold target may
            get.
        cold_slack: Requests a second that a cold target may get in addition.
        change_in_force_ms: Time limit for an operator's change to be in force
            at each daemon.
        drain_ms: Time limit for a draining target to get no more requests.
        metrics_port: Port at which metrics are served; 0 for none.
        max_connections: Maximum number of clients' connections; fewer where
            the process may open few descriptors.
        max_client_bytes: Memory that all connections may hold for unfinished
            requests, requests in service and unread answers.
    """

    id: str
    availability_zone: str
    address: str
    clients: str
    health: str
    peer_ports: tuple[int, int]
    store: str
    seeds: list[str] | None = None
    grace_s: float = 8.0
    repeat_ratio: float = 0.2
    repeat_window_s: float = 10.0
    repeat_extra: float = 50.0
    cold_overage: float = 1.5
    cold_slack: float = 5.0
    change_in_force_ms: int = 2000
    drain_ms: int = 2000
    metrics_port: int = 9464
    max_connections: int = 3000
    max_client_bytes: int = 64_000_000


def decode_settings(data: bytes) -> Settings:
    """Returns the settings of a JSON document.

    Raises:
        errors.DocumentError: With every problem found, each with its path.
    """
    return documents.decode_document(data, Settings)
