"""Sends HTTP requests and reads whole responses."""

from collections import abc

import msgspec

from mothpass.adapters import body_deadlines
from mothpass.adapters import http_exchanges
from mothpass.adapters import http_pool
from mothpass.core import errors

# A response that has started is abandoned when no byte arrives for this long.
# How long it may take in all depends on its size and on the link.
STALL_TIMEOUT_S = 0.7


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """A whole response.

    Attributes:
        status: HTTP status.
        headers: Headers, names in lower case.
        body: Body.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes


async def fetch(
    pool: http_pool.ConnectionPool,
    address: str,
    request: bytes,
    *,
    deadline: float,
    limit_bytes: int = body_deadlines.MAX_BODY_BYTES,
) -> Reply:
    """Sends a request and returns the whole response.

    Args:
        pool: Pool of connections.
        address: ``ip:port``.
        request: Encoded head and body.
        deadline: Event-loop time by which the response must have started.
        limit_bytes: Most bytes of its body.

    Raises:
        errors.TargetUnreachableError: If the request wasn't sent.
        errors.TargetAnswerLostError: If the response was lost; the message
            has the number of body bytes that had arrived.
    """
    connection = await pool.acquire(address, fresh=False)
    try:
        exchange = connection.send(request, silence_ms=None, deadline=deadline)
        try:
            while not exchange.status:
                await exchange.wait_for_progress()
            body = await _read_body_in_time(exchange, limit_bytes)
        except errors.TargetAnswerLostError as error:
            # The next call isn't to go over a connection that is as old.
            pool.drop_idle(address)
            raise errors.TargetAnswerLostError(
                f"{error}, {exchange.body_bytes} body bytes received"
            ) from error
        return Reply(
            status=exchange.status, headers=exchange.headers, body=body
        )
    finally:
        pool.release(address, connection)


async def _read_body_in_time(
    exchange: http_exchanges.Exchange, limit_bytes: int
) -> bytes:
    """Returns the body of a response that neither stalls nor trickles.

    Raises:
        errors.TargetAnswerLostError: See ``fetch``.
    """
    deadline = body_deadlines.BodyDeadline(now=exchange.last_byte_at)
    exchange.set_timeouts(silence_s=STALL_TIMEOUT_S, deadline=deadline.at)

    def record_progress(received_bytes: int) -> None:
        if deadline.record_progress(received_bytes, exchange.last_byte_at):
            exchange.set_timeouts(
                silence_s=STALL_TIMEOUT_S, deadline=deadline.at
            )

    return await read_body(exchange, record_progress, limit_bytes)


async def read_body(
    exchange: http_exchanges.Exchange,
    on_progress: abc.Callable[[int], None] = lambda _: None,
    limit_bytes: int = body_deadlines.MAX_BODY_BYTES,
) -> bytes:
    """Returns the whole body of a response.

    Args:
        exchange: The response.
        on_progress: Called with the bytes that have arrived so far.
        limit_bytes: Most bytes of the body.

    Raises:
        errors.TargetAnswerLostError: If it was lost or is too large.
    """
    body = bytearray()
    while not exchange.complete:
        await exchange.wait_for_progress()
        body += exchange.read_available()
        on_progress(len(body))
        if len(body) > limit_bytes:
            raise errors.TargetAnswerLostError("response too large")
    body += exchange.read_available()
    return bytes(body)
