"""Asks one peer a short question over HTTP."""

import asyncio
import typing

from mothpass.adapters import http_fetch
from mothpass.adapters import http_pool
from mothpass.core import decoding
from mothpass.core import errors

# An answer to a question has some dozen bytes.
MAX_ANSWER_BYTES = 65_536

_Answer = typing.TypeVar("_Answer")


async def ask(
    pool: http_pool.ConnectionPool,
    address: str,
    path: str,
    answer_type: type[_Answer],
    *,
    timeout_s: float,
) -> _Answer:
    """Returns a peer's answer.

    Args:
        pool: Connections to peers.
        address: ``ip:port`` of the peer.
        path: Path and query that name the question.
        answer_type: Type of the answer, which comes as MessagePack.
        timeout_s: Seconds until the answer must be whole.

    Raises:
        errors.MothpassError: If the peer gives no answer of this type in time.
    """
    request = f"GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n"
    now = asyncio.get_running_loop().time()
    try:
        async with asyncio.timeout_at(now + timeout_s):
            reply = await http_fetch.fetch(
                pool,
                address,
                request.encode(),
                deadline=now + timeout_s,
                limit_bytes=MAX_ANSWER_BYTES,
            )
    except TimeoutError as error:
        raise errors.TargetAnswerLostError("no whole answer in time") from error
    try:
        return decoding.decode_msgpack(reply.body, answer_type)
    except errors.MalformedInputError as error:
        raise errors.TargetAnswerLostError(str(error)) from error
