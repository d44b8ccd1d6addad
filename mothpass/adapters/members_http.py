"""HTTP adapter that reads the membership list incrementally."""

import msgspec

from mothpass.adapters import platform_http
from mothpass.ports import members


class _Listing(msgspec.Struct, frozen=True, kw_only=True):
    revision: int
    full: bool
    instances: list[members.Instance]
    gone: list[str]


class _Replica:
    """Local copy of the membership list."""

    __slots__ = ("instances", "revision")

    def __init__(self) -> None:
        """Starts without a revision; the first read returns the full list."""
        self.instances: dict[str, members.Instance] = {}
        self.revision: int | None = None

    def apply(self, listing: _Listing) -> None:
        """Applies a full list or the changes since the last read."""
        if listing.full:
            self.instances = {}
        for instance in listing.instances:
            self.instances[instance.id] = instance
        for instance_id in listing.gone:
            self.instances.pop(instance_id, None)
        self.revision = listing.revision


def build_read_members(
    client: platform_http.PlatformClient, region: str
) -> members.ReadMembers:
    """Returns the function that reads the membership list of a region."""
    replica = _Replica()

    async def read_members() -> members.Members:
        path = f"/v1/members?region={platform_http.quote(region)}"
        if replica.revision is not None:
            path += f"&since={replica.revision}"
        reply = await client.read(path)
        replica.apply(platform_http.decode_read(reply, _Listing))
        return members.Members(
            revision=replica.revision or 0,
            instances=list(replica.instances.values()),
        )

    return read_members
