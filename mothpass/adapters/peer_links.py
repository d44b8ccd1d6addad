"""Links to the other daemons of the region, over gRPC.

Links carry what needs an answer: permits, releases, catalogue changes; and
batches that are too large for a datagram.
"""

import asyncio

from grpc import aio

from mothpass.adapters import peer_messages
from mothpass.adapters import peer_transport
from mothpass.adapters import peers_pb2
from mothpass.adapters import peers_pb2_grpc
from mothpass.core import errors
from mothpass.core import gates
from mothpass.ports import clock
from mothpass.ports import peers

IDLE_S = 60.0
SEND_TIMEOUT_S = 2.0


class Link:
    """Connection to one neighbour.

    Attributes:
        address: ``ip:port`` of the neighbour.
    """

    __slots__ = (
        "_channel",
        "_key",
        "_stub",
        "_traffic",
        "address",
    )

    def __init__(
        self, *, address: str, key: str, traffic: peer_transport.Traffic
    ) -> None:
        """Makes a link; the connection opens with the first call.

        Args:
            address: ``ip:port`` of the neighbour.
            key: Secret to show.
            traffic: Counts what goes through.
        """
        self.address = address
        self._key = ((peer_transport.KEY_HEADER, key),)
        self._traffic = traffic
        self._channel = aio.insecure_channel(
            address, options=peer_transport.OPTIONS
        )
        self._stub = peers_pb2_grpc.PeersStub(self._channel)

    async def send_batch(
        self, message: peers_pb2.Batch, *, timeout_s: float
    ) -> bool:
        """Sends a batch. Returns whether it has arrived."""
        self._traffic.count_sent(message.ByteSize())
        try:
            await self._stub.SendBatch(
                message, metadata=self._key, timeout=timeout_s
            )
        except aio.AioRpcError:
            return False
        return True

    async def ask_grant(
        self, request: gates.GrantRequest, *, timeout_s: float
    ) -> gates.Granted | gates.Denied | None:
        """Asks the neighbour, as a gate, for a permit.

        Returns:
            Its decision, or None where it gave none in time.
        """
        message = peer_messages.encode_grant_request(request)
        self._traffic.count_sent(message.ByteSize())
        try:
            reply = await self._stub.AskGrant(
                message, metadata=self._key, timeout=timeout_s
            )
        except aio.AioRpcError:
            return None
        self._traffic.count_received(reply.ByteSize())
        return peer_messages.decode_grant_reply(reply)

    async def send_release(
        self, release: gates.Release, *, timeout_s: float
    ) -> bool:
        """Tells the neighbour that a call has ended.

        Returns:
            Whether it took the message in.
        """
        message = peer_messages.encode_release(release)
        self._traffic.count_sent(message.ByteSize())
        try:
            await self._stub.SendRelease(
                message, metadata=self._key, timeout=timeout_s
            )
        except aio.AioRpcError:
            return False
        return True

    async def fetch_changes(
        self, after_version: int, *, limit_bytes: int, timeout_s: float
    ) -> peers.Changes:
        """Reads the neighbour's catalogue changes after a version.

        Raises:
            errors.StoreUnavailableError: It gave no answer.
        """
        request = peers_pb2.ChangesRequest(
            after_version=after_version, limit_bytes=limit_bytes
        )
        self._traffic.count_sent(request.ByteSize())
        try:
            reply = await self._stub.FetchChanges(
                request, metadata=self._key, timeout=timeout_s
            )
        except aio.AioRpcError as error:
            raise errors.StoreUnavailableError(
                f"{self.address}: {error.code()}"
            ) from error
        self._traffic.count_received(reply.ByteSize())
        return peers.Changes(
            catalogue_version=reply.catalogue_version,
            changes=list(reply.changes),
            snapshot=reply.snapshot or None,
        )

    async def close(self) -> None:
        """Closes the connection."""
        await self._channel.close(None)


class Links:
    """All links of one daemon, by address."""

    __slots__ = (
        "_closing",
        "_key",
        "_links",
        "_monotonic",
        "_sending",
        "_traffic",
        "_used_at",
    )

    def __init__(
        self,
        *,
        key: str,
        traffic: peer_transport.Traffic,
        monotonic: clock.Monotonic,
    ) -> None:
        """Opens nothing yet.

        Args:
            key: Secret to show.
            traffic: Counts what goes through.
            monotonic: Clock.
        """
        self._key = key
        self._traffic = traffic
        self._monotonic = monotonic
        self._links: dict[str, Link] = {}
        self._used_at: dict[str, float] = {}
        self._sending: dict[str, asyncio.Task[bool]] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def get(self, address: str) -> Link:
        """Returns the link to an address; makes one where there is none."""
        self._used_at[address] = self._monotonic()
        link = self._links.get(address)
        if link is None:
            link = Link(address=address, key=self._key, traffic=self._traffic)
            self._links[address] = link
        return link

    def send_batch_soon(self, address: str, message: peers_pb2.Batch) -> None:
        """Sends a batch in the background, one at a time to an address."""
        if address in self._sending:
            return
        link = self.get(address)
        task = asyncio.get_running_loop().create_task(
            link.send_batch(message, timeout_s=SEND_TIMEOUT_S)
        )
        self._sending[address] = task
        task.add_done_callback(lambda _: self._sending.pop(address, None))

    def prune(self) -> None:
        """Closes links that have not been used for a while."""
        oldest = self._monotonic() - IDLE_S
        idle = [name for name, at in self._used_at.items() if at < oldest]
        for address in idle:
            del self._used_at[address]
            link = self._links.pop(address)
            task = asyncio.get_running_loop().create_task(link.close())
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)

    async def close(self) -> None:
        """Closes all links."""
        links = list(self._links.values())
        self._links = {}
        self._used_at = {}
        for task in list(self._sending.values()):
            task.cancel()
        for link in links:
            await link.close()
        if self._closing:
            await asyncio.gather(*self._closing)
