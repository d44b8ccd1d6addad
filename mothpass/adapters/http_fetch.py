"""Sends HTTP requests and reads whole responses."""

from mothpass.adapters import body_deadlines
from mothpass.adapters import http_exchanges
from mothpass.adapters import http_pool
from mothpass.core import errors

# A response that has started is abandoned when no byte arrives for this long.
# How long it may take in all depends on its size and on the link.
STALL_TIMEOUT_S = 0.7


async def fetch(
    pool: http_pool.ConnectionPool,
    address: str,
    request: bytes,
    *,
    deadline: float,
) -> tuple[int, bytes]:
    """Sends a request and returns the status and body of the response.

    Args:
        pool: Pool of connections.
        address: ``ip:port``.
        request: Encoded head and body.
        deadline: Event-loop time by which the response must have started.

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
            exchange.set_timeouts(
                silence_s=STALL_TIMEOUT_S,
                deadline=body_deadlines.compute_body_deadline(
                    exchange.headers.get(b"content-length"),
                    now=exchange.last_byte_at,
                    stall_timeout_s=STALL_TIMEOUT_S,
                ),
            )
            body = await read_body(exchange)
        except errors.TargetAnswerLostError as error:
            raise errors.TargetAnswerLostError(
                f"{error}, {exchange.body_bytes} body bytes received"
            ) from error
        return exchange.status, body
    finally:
        pool.release(address, connection)


async def read_body(exchange: http_exchanges.Exchange) -> bytes:
    """Returns the whole body of a response.

    Raises:
        errors.TargetAnswerLostError: If it was lost or is too large.
    """
    chunks = []
    size = 0
    while not exchange.complete:
        await exchange.wait_for_progress()
        chunks.append(exchange.read_available())
        size += len(chunks[-1])
        if size > body_deadlines.MAX_BODY_BYTES:
            raise errors.TargetAnswerLostError("response too large")
    chunks.append(exchange.read_available())
    return b"".join(chunks)
