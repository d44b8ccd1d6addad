"""The membership list over HTTP, read by its changes."""

import msgspec

from mothpass.adapters import platform_http
from mothpass.ports import members


class _Listing(msgspec.Struct, frozen=True, kw_only=True):
    revision: int
    full: bool
    instances: list[members.Instance]
    gone: list[str]


class _List:
    """The list as read so far."""

    __slots__ = ("instances", "revision")

    def __init__(self) -> None:
        """Starts without a revision, so that the first read is full."""
        self.instances: dict[str, members.Instance] = {}
        self.revision: int | None = None

    def apply(self, listing: _Listing) -> None:
        """Takes in an answer."""
        if listing.full:
            self.instances = {}
        for instance in listing.instances:
            self.instances[instance.id] = instance
        for instance_id in listing.gone:
            self.instances.pop(instance_id, None)
        self.revision = listing.revision


def build_read_members(
    exchange: platform_http.Exchange, region: str
) -> members.ReadMembers:
    """Returns the function that reads the list of a region."""
    known = _List()

    async def read_members() -> members.Members:
        path = f"/v1/members?region={platform_http.quote(region)}"
        if known.revision is not None:
            path += f"&since={known.revision}"
        reply = await exchange.read(path)
        known.apply(platform_http.decode_read(reply, _Listing))
        return members.Members(
            revision=known.revision or 0,
            instances=list(known.instances.values()),
        )

    return read_members
