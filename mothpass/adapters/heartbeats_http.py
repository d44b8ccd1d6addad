"""HTTP adapter that sends heartbeats to the membership list."""

import msgspec

from mothpass.adapters import platform_http
from mothpass.ports import heartbeats
from mothpass.ports import members


def build_send_heartbeat(
    client: platform_http.PlatformClient,
) -> heartbeats.SendHeartbeat:
    """Returns the function that sends a heartbeat."""

    async def send_heartbeat(instance: members.Instance) -> None:
        path = f"/v1/heartbeats/{platform_http.quote(instance.id)}"
        await client.write("POST", path, msgspec.json.encode(instance))

    return send_heartbeat


def build_remove_instance(
    client: platform_http.PlatformClient,
) -> heartbeats.RemoveInstance:
    """Returns the function that removes an instance from the list."""

    async def remove_instance(instance_id: str) -> None:
        path = f"/v1/instances/{platform_http.quote(instance_id)}"
        await client.write("DELETE", path)

    return remove_instance
