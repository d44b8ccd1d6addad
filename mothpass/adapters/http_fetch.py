"""Fetches one short answer over HTTP."""

from mothpass.adapters import http_exchanges
from mothpass.adapters import http_pool
from mothpass.core import errors

ANSWER_LIMIT_BYTES = 16_777_216


async def fetch(
    pool: http_pool.ConnectionPool,
    address: str,
    request: bytes,
    *,
    deadline: float,
) -> tuple[int, bytes]:
    """Sends a request and returns status and whole body of the answer.

    Args:
        pool: Where connections come from.
        address: ``ip:port``.
        request: Head and body of the request.
        deadline: Time of the loop at which to stop waiting.

    Raises:
        errors.TargetUnreachableError: If nothing was sent.
        errors.TargetAnswerLostError: If the answer was lost.
    """
    connection = await pool.acquire(address, fresh=False)
    try:
        exchange = connection.send(request, silence_ms=None, deadline=deadline)
        body = await read_body(exchange)
        return exchange.status, body
    finally:
        pool.release(address, connection)


async def read_body(exchange: http_exchanges.Exchange) -> bytes:
    """Returns the whole body of an answer.

    Raises:
        errors.TargetAnswerLostError: If it was lost, or is too long.
    """
    parts = []
    size = 0
    while not exchange.complete:
        await exchange.wait_for_progress()
        parts.append(exchange.read_available())
        size += len(parts[-1])
        if size > ANSWER_LIMIT_BYTES:
            raise errors.TargetAnswerLostError("answer too large")
    parts.append(exchange.read_available())
    return b"".join(parts)
