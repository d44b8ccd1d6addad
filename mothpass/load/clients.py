"""Sends a request to a daemon, checks the answer and measures its latency."""

import asyncio
from collections import abc
import time

import msgspec

from mothpass.control import http_client
from mothpass.core import errors
from mothpass.load import checks
from mothpass.load import samples
from mothpass.load import server_sent_events
from mothpass.load import traffic
from mothpass.standin import answers
from mothpass.standin import prefix_cache

_MS_PER_S = 1000.0
_OK = 200
_MAX_IDLE_CONNECTIONS_PER_ADDRESS = 64


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of one request.

    Attributes:
        verdict: Result of checking the answer.
        first_token_ms: Time from when the request was due to its first token.
        gaps_ms: Times between two consecutive tokens.
        whole_ms: Time from when the request was due to the end of the answer;
            None unless the answer is complete.
    """

    verdict: checks.Verdict
    first_token_ms: float | None = None
    gaps_ms: list[float] = []
    whole_ms: float | None = None


class ConnectionPool:
    """Pool of keep-alive connections by address."""

    __slots__ = ("_idle",)

    def __init__(self) -> None:
        """Initializes an empty pool."""
        self._idle: dict[str, list[http_client.Connection]] = {}

    async def acquire(self, address: str) -> http_client.Connection:
        """Returns an idle connection that is still open, or a new one.

        Raises:
            errors.TargetUnreachableError: The connection can't be opened.
        """
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.reusable:
                return connection
            connection.close()
        return await http_client.connect(address)

    def release(self, connection: http_client.Connection) -> None:
        """Returns a connection to the pool, or closes it if it can't stay."""
        idle = self._idle.setdefault(connection.address, [])
        if (
            connection.reusable
            and len(idle) < _MAX_IDLE_CONNECTIONS_PER_ADDRESS
        ):
            idle.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Closes all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()


class _ChatBody(msgspec.Struct, frozen=True, kw_only=True):
    model: str
    messages: list[answers.Message]
    stream: bool
    max_tokens: int


async def send_request(
    pool: ConnectionPool,
    address: str,
    key: str,
    planned: traffic.PlannedRequest,
    *,
    due: float,
    deadline: float,
) -> Result:
    """Sends a request and reads its answer to the end.

    Args:
        pool: Connection pool.
        address: Client address of a daemon.
        key: API key of the team.
        planned: Request to send.
        due: Monotonic time in seconds at which the request was due; latencies
            count from it.
        deadline: Monotonic time in seconds at which the request times out.

    Returns:
        The checked answer; a failure is reported as its fate, not raised.
    """
    loop_now = asyncio.get_running_loop().time()
    loop_deadline = loop_now + max(0.0, deadline - time.monotonic())
    try:
        async with asyncio.timeout_at(loop_deadline):
            return await _send_over_pool(pool, address, key, planned, due)
    except TimeoutError:
        return _build_lost_result("answer incomplete at the deadline")
    except errors.MothpassError as error:
        return _build_lost_result(str(error))


async def _send_over_pool(
    pool: ConnectionPool,
    address: str,
    key: str,
    planned: traffic.PlannedRequest,
    due: float,
) -> Result:
    request = build_request(key, planned)
    connection = await pool.acquire(address)
    reused = connection.used
    try:
        status = await _send_and_read_status(connection, request)
    except errors.TargetAnswerLostError:
        # The daemon may have closed the idle connection. Resending is safe:
        # a chat is idempotent and a service request has an idempotency key.
        connection.close()
        if not reused:
            raise
        connection = await http_client.connect(address)
        status = await _send_and_read_status(connection, request)
    except BaseException:
        connection.close()
        raise
    try:
        result = await _read_result(connection, status, planned, due)
    except BaseException:
        connection.close()
        raise
    pool.release(connection)
    return result


async def _send_and_read_status(
    connection: http_client.Connection, request: http_client.Request
) -> int:
    await connection.send(request)
    return await connection.read_status()


async def _read_result(
    connection: http_client.Connection,
    status: int,
    planned: traffic.PlannedRequest,
    due: float,
) -> Result:
    if status == _OK and planned.stream:
        return await _read_stream(connection, planned, due)
    parts = [chunk async for chunk in connection.read_chunks()]
    verdict = _check_body(status, b"".join(parts), planned)
    whole_ms = None
    if verdict.fate is samples.Fate.WHOLE:
        whole_ms = _elapsed_ms(due)
    return Result(verdict=verdict, whole_ms=whole_ms)


def _check_body(
    status: int, body: bytes, planned: traffic.PlannedRequest
) -> checks.Verdict:
    if status != _OK:
        return checks.check_rejection(status, body)
    if planned.messages:
        return checks.check_completion(
            body, planned.messages, planned.max_tokens
        )
    return checks.check_receipt(body, planned.body)


async def _read_stream(
    connection: http_client.Connection,
    planned: traffic.PlannedRequest,
    due: float,
) -> Result:
    check = checks.StreamCheck(
        messages=planned.messages, max_tokens=planned.max_tokens
    )
    token_times: list[float] = []
    try:
        async for event in _read_events(connection):
            if check.add_event(event):
                token_times.append(_elapsed_ms(due))
    except errors.TargetAnswerLostError:
        # StreamCheck reports the answer as lost, as its end marker is missing.
        pass
    verdict = check.finish()
    whole = verdict.fate is samples.Fate.WHOLE
    gaps = [
        later - earlier
        for earlier, later in zip(token_times, token_times[1:], strict=False)
    ]
    return Result(
        verdict=verdict,
        first_token_ms=token_times[0] if token_times else None,
        gaps_ms=gaps,
        whole_ms=_elapsed_ms(due) if whole else None,
    )


async def _read_events(
    connection: http_client.Connection,
) -> abc.AsyncIterator[server_sent_events.Event]:
    splitter = server_sent_events.EventSplitter()
    async for chunk in connection.read_chunks():
        for event in splitter.feed(chunk):
            yield event


def build_request(
    key: str, planned: traffic.PlannedRequest
) -> http_client.Request:
    """Builds the HTTP request of a planned request."""
    headers = {
        "Authorization": f"Bearer {key}",
        "Content-Type": "application/json",
    }
    if not planned.messages:
        headers["Idempotency-Key"] = planned.idempotency_key
        return http_client.Request(
            method="POST",
            path=f"/v1/services/{planned.name}",
            headers=headers,
            body=planned.body,
        )
    headers["X-Chat-Id"] = planned.chat_id
    body = _ChatBody(
        model=planned.name,
        messages=planned.messages,
        stream=planned.stream,
        max_tokens=planned.max_tokens,
    )
    return http_client.Request(
        method="POST",
        path="/v1/chat/completions",
        headers=headers,
        body=msgspec.json.encode(body),
    )


def build_sample(
    planned: traffic.PlannedRequest, address: str, result: Result
) -> samples.Sample:
    """Builds the line of the result file for a request."""
    verdict = result.verdict
    return samples.Sample(
        at_ms=round(planned.at_ms, 3),
        team=planned.team,
        service_class=planned.service_class,
        name=planned.name,
        daemon=address,
        fate=verdict.fate,
        code=verdict.code,
        ran=verdict.ran,
        detail=verdict.detail,
        first_token_ms=result.first_token_ms,
        gaps_ms=[round(gap, 3) for gap in result.gaps_ms],
        whole_ms=result.whole_ms,
        prompt_tokens=verdict.usage.prompt_tokens,
        cached_tokens=verdict.usage.cached_tokens,
        reusable_tokens=_count_reusable(planned),
        returning=planned.returning,
    )


def _count_reusable(planned: traffic.PlannedRequest) -> int:
    """Returns the tokens of all messages except the new one."""
    if not planned.returning or not planned.messages:
        return 0
    blocks = prefix_cache.split_prompt(planned.messages[:-1])
    return sum(block.tokens for block in blocks)


def _elapsed_ms(due: float) -> float:
    return round((time.monotonic() - due) * _MS_PER_S, 3)


def _build_lost_result(detail: str) -> Result:
    verdict = checks.Verdict(fate=samples.Fate.LOST, detail=detail)
    return Result(verdict=verdict)
