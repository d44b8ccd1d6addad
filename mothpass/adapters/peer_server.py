"""gRPC server for the other daemons of the region."""

from collections import abc
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

MAX_CALLS = 2048
# Above what a peer's link uses at once, as a stream that has ended counts for
# a while.
MAX_STREAMS_PER_CONNECTION = 256
HANDSHAKE_TIMEOUT_MS = 2000
# How long a connection may stay without a call.
IDLE_TIMEOUT_MS = 5000


class Handlers(msgspec.Struct, frozen=True, kw_only=True):
    """Functions that handle the messages of peers.

    Attributes:
        accept_batch: Accepts a batch.
        decide_grant: Grants or denies a permit.
        accept_release: Releases a permit after its request has ended.
        read_changes: Reads catalogue changes after a version.
    """

    accept_batch: peers.AcceptBatch
    decide_grant: peers.DecideGrant
    accept_release: peers.AcceptRelease
    read_changes: peers.ReadChanges


class _Servicer(peers_pb2_grpc.PeersServicer):
    """Passes each call to the handlers."""

    __slots__ = ("_handlers", "_traffic")

    def __init__(
        self,
        *,
        handlers: Handlers,
        traffic: peer_transport.PeerTraffic,
    ) -> None:
        self._handlers = handlers
        self._traffic = traffic

    async def SendBatch(  # noqa: N802  (name of the generated base)
        self,
        request: peers_pb2.Batch,
        _context: aio.ServicerContext[typing.Any, typing.Any],
    ) -> peers_pb2.Receipt:
        """Accepts a batch that was too large for a datagram."""
        self._traffic.count_received(request.ByteSize())
        self._handlers.accept_batch(peer_messages.decode_batch(request))
        return peers_pb2.Receipt()

    async def AskGrant(  # noqa: N802
        self,
        request: peers_pb2.GrantRequest,
        _context: aio.ServicerContext[typing.Any, typing.Any],
    ) -> peers_pb2.GrantReply:
        """Grants or denies a permit."""
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
        _context: aio.ServicerContext[typing.Any, typing.Any],
    ) -> peers_pb2.Receipt:
        """Releases a permit."""
        self._traffic.count_received(request.ByteSize())
        self._handlers.accept_release(peer_messages.decode_release(request))
        return peers_pb2.Receipt()

    async def FetchChanges(  # noqa: N802
        self,
        request: peers_pb2.ChangesRequest,
        _context: aio.ServicerContext[typing.Any, typing.Any],
    ) -> peers_pb2.ChangesReply:
        """Returns the catalogue changes after a version."""
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


class _Authenticator(aio.ServerInterceptor):  # type: ignore[type-arg]
    """Ends calls without the key before their message is received."""

    __slots__ = ("_key",)

    def __init__(self, *, key: str) -> None:
        self._key = key.encode()

    async def intercept_service(
        self,
        continuation: abc.Callable[
            [grpc.HandlerCallDetails],
            abc.Awaitable["grpc.RpcMethodHandler[typing.Any, typing.Any]"],
        ],
        handler_call_details: grpc.HandlerCallDetails,
    ) -> "grpc.RpcMethodHandler[typing.Any, typing.Any]":
        """Returns the handler of the call, or one that ends it."""
        presented = ""
        for name, value in handler_call_details.invocation_metadata or ():
            if name == peer_transport.KEY_HEADER:
                presented = str(value)
        if hmac.compare_digest(presented.encode(), self._key):
            return await continuation(handler_call_details)
        # A handler of a stream starts without a message of the client.
        return grpc.stream_unary_rpc_method_handler(_reject_call)


async def _reject_call(
    _messages: object, context: aio.ServicerContext[typing.Any, typing.Any]
) -> None:
    await context.abort(grpc.StatusCode.UNAUTHENTICATED, "unknown peer")


class Server:
    """Running gRPC server.

    Attributes:
        port: Port that it listens on.
    """

    __slots__ = ("_server", "port")

    def __init__(self, *, server: aio.Server, port: int) -> None:
        """Wraps a started gRPC server."""
        self._server = server
        self.port = port

    async def close(self) -> None:
        """Stops at once; calls in progress fail."""
        await self._server.stop(None)


async def start_server(
    *,
    address: str,
    key: str,
    handlers: Handlers,
    traffic: peer_transport.PeerTraffic,
) -> Server:
    """Starts the server for peers.

    Args:
        address: ``ip:port`` to listen on.
        key: Secret that peers must present.
        handlers: Handlers of the messages.
        traffic: Counters to update.

    Returns:
        The running server.

    Raises:
        RuntimeError: If it can't listen on the address.
    """
    server = aio.server(
        interceptors=[_Authenticator(key=key)],
        options=[
            *peer_transport.GRPC_OPTIONS,
            ("grpc.so_reuseport", 0),
            ("grpc.max_concurrent_streams", MAX_STREAMS_PER_CONNECTION),
            ("grpc.server_handshake_timeout_ms", HANDSHAKE_TIMEOUT_MS),
            ("grpc.max_connection_idle_ms", IDLE_TIMEOUT_MS),
        ],
        maximum_concurrent_rpcs=MAX_CALLS,
    )
    servicer = _Servicer(handlers=handlers, traffic=traffic)
    peers_pb2_grpc.add_PeersServicer_to_server(servicer, server)
    port = server.add_insecure_port(address)
    await server.start()
    return Server(server=server, port=port)
