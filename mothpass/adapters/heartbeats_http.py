"""Heartbeats to the membership list over HTTP."""

import msgspec

from mothpass.adapters import platform_http
from mothpass.ports import heartbeats
from mothpass.ports import members


def build_send_heartbeat(
    exchange: platform_http.Exchange,
) -> heartbeats.SendHeartbeat:
    """Returns the function that sends one heartbeat."""

    async def send_heartbeat(instance: members.Instance) -> None:
        path = f"/v1/heartbeats/{platform_http.quote(instance.id)}"
        await exchange.write("POST", path, msgspec.json.encode(instance))

    return send_heartbeat


def build_remove_instance(
    exchange: platform_http.Exchange,
) -> heartbeats.RemoveInstance:
    """Returns the function that takes an instance off the list."""

    async def remove_instance(instance_id: str) -> None:
        path = f"/v1/instances/{platform_http.quote(instance_id)}"
        await exchange.write("DELETE", path)

    return remove_instance
