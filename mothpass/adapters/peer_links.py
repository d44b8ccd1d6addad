"""gRPC connections to the other daemons of the region.

They carry messages that need a reply (permit requests, releases, catalogue
changes) and batches that are too large for a datagram.
"""

import asyncio
from collections import abc
import typing

from grpc import aio

from mothpass.adapters import peer_messages
from mothpass.adapters import peer_transport
from mothpass.adapters import peers_pb2
from mothpass.adapters import peers_pb2_grpc
from mothpass.core import errors
from mothpass.core import gates
from mothpass.ports import clock
from mothpass.ports import peers

IDLE_TIMEOUT_S = 60.0
SEND_TIMEOUT_S = 2.0
# Calls of a link at a time; more wait, since a peer refuses those above the
# streams that it allows.
MAX_CALLS = 64
# How long a connection stays without a call; gRPC may take twice as long to
# notice. It ends here before the peer ends it, which may lose a call.
CONNECTION_IDLE_TIMEOUT_MS = 2000
_FAILURES = (aio.AioRpcError, TimeoutError)
_ReplyT = typing.TypeVar("_ReplyT")


class Link:
    """gRPC connection to one peer.

    Attributes:
        address: ``ip:port`` of the peer.
    """

    __slots__ = (
        "_calls",
        "_channel",
        "_metadata",
        "_stub",
        "_traffic",
        "address",
    )

    def __init__(
        self, *, address: str, key: str, traffic: peer_transport.PeerTraffic
    ) -> None:
        """Creates the channel; it connects on the first call.

        Args:
            address: ``ip:port`` of the peer.
            key: Secret that all daemons share.
            traffic: Counters to update.
        """
        self.address = address
        self._metadata = ((peer_transport.KEY_HEADER, key),)
        self._traffic = traffic
        self._calls = asyncio.Semaphore(MAX_CALLS)
        self._channel = aio.insecure_channel(
            address,
            options=[
                *peer_transport.GRPC_OPTIONS,
                ("grpc.client_idle_timeout_ms", CONNECTION_IDLE_TIMEOUT_MS),
            ],
        )
        self._stub = peers_pb2_grpc.PeersStub(self._channel)

    async def send_batch(
        self, message: peers_pb2.Batch, *, timeout_s: float
    ) -> bool:
        """Sends a batch and returns whether the peer acknowledged it."""
        self._traffic.count_sent(message.ByteSize())
        try:
            await self._call(self._stub.SendBatch, message, timeout_s)
        except _FAILURES:
            return False
        return True

    async def request_permit(
        self, request: gates.GrantRequest, *, timeout_s: float
    ) -> gates.Granted | gates.Denied | None:
        """Requests a permit from the peer, which holds the gate of a target.

        Returns:
            The peer's decision, or None if the call failed or timed out.
        """
        message = peer_messages.encode_grant_request(request)
        self._traffic.count_sent(message.ByteSize())
        try:
            reply = await self._call(self._stub.AskGrant, message, timeout_s)
        except _FAILURES:
            return None
        self._traffic.count_received(reply.ByteSize())
        return peer_messages.decode_grant_reply(reply)

    async def send_release(
        self, release: gates.Release, *, timeout_s: float
    ) -> bool:
        """Releases a permit at the peer after its request has ended.

        Returns:
            Whether the peer acknowledged the release.
        """
        message = peer_messages.encode_release(release)
        self._traffic.count_sent(message.ByteSize())
        try:
            await self._call(self._stub.SendRelease, message, timeout_s)
        except _FAILURES:
            return False
        return True

    async def fetch_changes(
        self, after_version: int, *, limit_bytes: int, timeout_s: float
    ) -> peers.Changes:
        """Fetches the peer's catalogue changes after a version.

        Raises:
            errors.StoreUnavailableError: If the call failed or timed out.
        """
        request = peers_pb2.ChangesRequest(
            after_version=after_version, limit_bytes=limit_bytes
        )
        self._traffic.count_sent(request.ByteSize())
        try:
            reply = await self._call(
                self._stub.FetchChanges, request, timeout_s
            )
        except aio.AioRpcError as error:
            raise errors.StoreUnavailableError(
                f"{self.address}: {error.code()}"
            ) from error
        except TimeoutError as error:
            raise errors.StoreUnavailableError(
                f"{self.address}: timed out"
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

    async def _call(
        self,
        method: abc.Callable[..., abc.Awaitable[_ReplyT]],
        message: object,
        timeout_s: float,
    ) -> _ReplyT:
        """Returns the reply to a call, which may wait for others to end.

        Raises:
            aio.AioRpcError: If the call failed.
            TimeoutError: If it timed out.
        """
        async with asyncio.timeout(timeout_s), self._calls:
            return await method(
                message, metadata=self._metadata, timeout=timeout_s
            )


class LinkPool:
    """Open links of one daemon, by address of the peer."""

    __slots__ = (
        "_close_tasks",
        "_key",
        "_last_used_at",
        "_links",
        "_monotonic",
        "_send_tasks",
        "_traffic",
    )

    def __init__(
        self,
        *,
        key: str,
        traffic: peer_transport.PeerTraffic,
        monotonic: clock.Monotonic,
    ) -> None:
        """Starts without links.

        Args:
            key: Secret that all daemons share.
            traffic: Counters to update.
            monotonic: Monotonic clock in seconds.
        """
        self._key = key
        self._traffic = traffic
        self._monotonic = monotonic
        self._links: dict[str, Link] = {}
        self._last_used_at: dict[str, float] = {}
        self._send_tasks: dict[str, asyncio.Task[bool]] = {}
        self._close_tasks: set[asyncio.Task[None]] = set()

    def get(self, address: str) -> Link:
        """Returns the link to an address, creating it if needed."""
        self._last_used_at[address] = self._monotonic()
        link = self._links.get(address)
        if link is None:
            link = Link(address=address, key=self._key, traffic=self._traffic)
            self._links[address] = link
        return link

    def send_batch_in_background(
        self, address: str, message: peers_pb2.Batch
    ) -> None:
        """Sends a batch in a background task.

        A batch to an address with a send in progress is dropped.
        """
        if address in self._send_tasks:
            return
        link = self.get(address)
        task = asyncio.get_running_loop().create_task(
            link.send_batch(message, timeout_s=SEND_TIMEOUT_S)
        )
        self._send_tasks[address] = task
        task.add_done_callback(lambda _: self._send_tasks.pop(address, None))

    def prune(self) -> None:
        """Closes the links that were idle for ``IDLE_TIMEOUT_S``."""
        idle_since = self._monotonic() - IDLE_TIMEOUT_S
        idle = [
            address
            for address, at in self._last_used_at.items()
            if at < idle_since
        ]
        for address in idle:
            del self._last_used_at[address]
            link = self._links.pop(address)
            task = asyncio.get_running_loop().create_task(link.close())
            self._close_tasks.add(task)
            task.add_done_callback(self._close_tasks.discard)

    async def close(self) -> None:
        """Closes all links and cancels background sends."""
        links = list(self._links.values())
        self._links = {}
        self._last_used_at = {}
        for task in list(self._send_tasks.values()):
            task.cancel()
        for link in links:
            await link.close()
        if self._close_tasks:
            await asyncio.gather(*self._close_tasks)
