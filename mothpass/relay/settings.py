"""Settings of one relay daemon."""

import msgspec

from mothpass.core import documents


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Where a daemon listens and what binds it.

    Attributes:
        id: Id of this daemon, unique in the fleet.
        availability_zone: Its zone.
        address: Its IP address, for its peers.
        clients: ``ip:port`` at which clients connect.
        health: ``ip:port`` at which the balancer asks whether it is ready.
        peer_ports: First and last port that daemons may use between them.
        seeds: ``ip:port`` of daemons that were there before, maybe stale.
        store: ``ip:port`` of the platform's store.
        grace_s: Time between SIGTERM and SIGKILL.
        repeat_ratio: Repeats for each request that the fleet may send.
        repeat_window_s: Window in which repeats are counted.
        repeat_extra: Repeats that the fleet may send besides.
        cold_overage: Multiple of its rate that a cold target bears.
        cold_slack: Requests that it bears besides in a second.
        change_in_force_ms: Milliseconds after which a change of the operator
            is in force at each daemon.
        metrics_port: Port at which metrics are served; 0 for none.
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
    metrics_port: int = 9464


def decode_settings(data: bytes) -> Settings:
    """Returns the settings of a JSON document.

    Raises:
        errors.DocumentError: With every fault found, each with its path.
    """
    return documents.decode_document(data, Settings)
