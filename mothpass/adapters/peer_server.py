"""The listener for the other daemons of the region, over gRPC."""

import hmac
import typing

import grpc
from grpc import aio
import msgspec

from mothpass.adapters import peer_messages
from mothpass.adapters import peer_transport
from mothpass.adapters import peers_pb2
from mothpass.adapters import peers_pb2_grpc
from mothpass.ports import peers


class Handlers(msgspec.Struct, frozen=True, kw_only=True):
    """What the server calls.

    Attributes:
        accept_batch: Takes a batch in.
        decide_grant: Decides on a request for a permit.
        accept_release: Takes in that the call of a permit has ended.
        read_changes: Reads catalogue changes after a version.
    """

    accept_batch: peers.AcceptBatch
    decide_grant: peers.DecideGrant
    accept_release: peers.AcceptRelease
    read_changes: peers.ReadChanges


class _Servicer(peers_pb2_grpc.PeersServicer):
    """Checks the key of each call and hands it to the handlers."""

    __slots__ = ("_handlers", "_key", "_traffic")

    def __init__(
        self, *, handlers: Handlers, key: str, traffic: peer_transport.Traffic
    ) -> None:
        self._handlers = handlers
        self._key = key.encode()
        self._traffic = traffic

    async def SendBatch(  # noqa: N802  (name of the generated base)
        self,
        request: peers_pb2.Batch,
        context: aio.ServicerContext[typing.Any, typing.Any],
    ) -> peers_pb2.Receipt:
        """Takes in a batch that was too large for a datagram."""
        await self._authenticate(context)
        self._traffic.count_received(request.ByteSize())
        self._handlers.accept_batch(peer_messages.decode_batch(request))
        return peers_pb2.Receipt()

    async def AskGrant(  # noqa: N802
        self,
        request: peers_pb2.GrantRequest,
        context: aio.ServicerContext[typing.Any, typing.Any],
    ) -> peers_pb2.GrantReply:
        """Decides on one request for a permit."""
        await self._authenticate(context)
        self._traffic.count_received(request.ByteSize())
        reply = self._handlers.decide_grant(
            peer_messages.decode_grant_request(request)
        )
        message = peer_messages.encode_grant_reply(reply)
        self._traffic.count_sent(message.ByteSize())
        return message

    async def SendRelease(  # noqa: N802
        self,
        request: peers_pb2.Release,
        context: aio.ServicerContext[typing.Any, typing.Any],
    ) -> peers_pb2.Receipt:
        """Takes in one release."""
        await self._authenticate(context)
        self._traffic.count_received(request.ByteSize())
        self._handlers.accept_release(peer_messages.decode_release(request))
        return peers_pb2.Receipt()

    async def FetchChanges(  # noqa: N802
        self,
        request: peers_pb2.ChangesRequest,
        context: aio.ServicerContext[typing.Any, typing.Any],
    ) -> peers_pb2.ChangesReply:
        """Gives the catalogue changes after a version."""
        await self._authenticate(context)
        self._traffic.count_received(request.ByteSize())
        found = self._handlers.read_changes(
            request.after_version, request.limit_bytes
        )
        message = peers_pb2.ChangesReply(
            catalogue_version=found.catalogue_version,
            changes=found.changes,
            snapshot=found.snapshot or b"",
        )
        self._traffic.count_sent(message.ByteSize())
        return message

    async def _authenticate(
        self, context: aio.ServicerContext[typing.Any, typing.Any]
    ) -> None:
        shown = ""
        for name, value in context.invocation_metadata() or ():
            if name == peer_transport.KEY_HEADER:
                shown = str(value)
        if not hmac.compare_digest(shown.encode(), self._key):
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, "unknown peer")


class Server:
    """A running listener.

    Attributes:
        port: Port that it listens at.
    """

    __slots__ = ("_server", "port")

    def __init__(self, *, server: aio.Server, port: int) -> None:
        """Keeps the server of the library."""
        self._server = server
        self.port = port

    async def close(self) -> None:
        """Stops at once; open calls end with an error."""
        await self._server.stop(None)


async def start_server(
    *,
    address: str,
    key: str,
    handlers: Handlers,
    traffic: peer_transport.Traffic,
) -> Server:
    """Starts to listen for peers.

    Args:
        address: ``ip:port`` to listen at.
        key: Secret that callers must show.
        handlers: What to call.
        traffic: Counts what goes through.

    Returns:
        The running server.

    Raises:
        RuntimeError: The address can't be listened at.
    """
    server = aio.server(
        options=[*peer_transport.OPTIONS, ("grpc.so_reuseport", 0)]
    )
    servicer = _Servicer(handlers=handlers, key=key, traffic=traffic)
    peers_pb2_grpc.add_PeersServicer_to_server(servicer, server)
    port = server.add_insecure_port(address)
    await server.start()
    return Server(server=server, port=port)
