"""Sends one request to a daemon and measures its answer."""

import asyncio
from collections import abc
import time

import msgspec

from mothpass.control import http_client
from mothpass.core import errors
from mothpass.load import checks
from mothpass.load import events
from mothpass.load import samples
from mothpass.load import traffic
from mothpass.standin import answers
from mothpass.standin import prefixes

_MS_PER_S = 1000.0
_OK = 200
_IDLE_LIMIT = 64


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """One request with its answer.

    Attributes:
        verdict: What the answer turned out to be.
        first_token_ms: From when it was due to its first event.
        gaps_ms: Between two events each.
        whole_ms: From when it was due to its end, if it is whole.
    """

    verdict: checks.Verdict
    first_token_ms: float | None = None
    gaps_ms: list[float] = []
    whole_ms: float | None = None


class Pool:
    """Idle connections by address."""

    __slots__ = ("_idle",)

    def __init__(self) -> None:
        """Starts without connections."""
        self._idle: dict[str, list[http_client.Connection]] = {}

    async def take(self, address: str) -> http_client.Connection:
        """Returns an idle connection that still looks open, or a new one.

        Raises:
            errors.TargetUnreachableError: Where nobody listens there.
        """
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.reusable:
                return connection
            connection.close()
        return await http_client.connect(address)

    def give_back(self, connection: http_client.Connection) -> None:
        """Keeps a connection for later, or closes it."""
        idle = self._idle.setdefault(connection.address, [])
        if connection.reusable and len(idle) < _IDLE_LIMIT:
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
    pool: Pool,
    address: str,
    key: str,
    planned: traffic.Planned,
    *,
    due: float,
    deadline: float,
) -> Result:
    """Sends a request and reads its answer to the end.

    Args:
        pool: Connections to use.
        address: Callers' address of a daemon.
        key: Key of the team.
        planned: The request.
        due: Monotonic seconds at which it was due; times count from there.
        deadline: Monotonic seconds at which it is given up.

    Returns:
        The answer and what it turned out to be; failures are fates, not
        exceptions.
    """
    loop_time = asyncio.get_running_loop().time()
    until = loop_time + max(0.0, deadline - time.monotonic())
    try:
        async with asyncio.timeout_at(until):
            return await _send_over_pool(pool, address, key, planned, due)
    except TimeoutError:
        return _lose("no whole answer in time")
    except errors.MothpassError as error:
        return _lose(str(error))


async def _send_over_pool(
    pool: Pool,
    address: str,
    key: str,
    planned: traffic.Planned,
    due: float,
) -> Result:
    request = build_request(key, planned)
    connection = await pool.take(address)
    reused = connection.used
    try:
        status = await _start(connection, request)
    except errors.TargetAnswerLostError:
        # An idle connection that its other end has closed meanwhile. Sending
        # again is safe: a chat is repeatable and a call has its key.
        connection.close()
        if not reused:
            raise
        connection = await http_client.connect(address)
        status = await _start(connection, request)
    except BaseException:
        connection.close()
        raise
    try:
        result = await _read_result(connection, status, planned, due)
    except BaseException:
        connection.close()
        raise
    pool.give_back(connection)
    return result


async def _start(
    connection: http_client.Connection, request: http_client.Request
) -> int:
    await connection.send(request)
    return await connection.read_status()


async def _read_result(
    connection: http_client.Connection,
    status: int,
    planned: traffic.Planned,
    due: float,
) -> Result:
    if status == _OK and planned.stream:
        return await _read_stream(connection, planned, due)
    parts = [chunk async for chunk in connection.read_chunks()]
    verdict = _judge_body(status, b"".join(parts), planned)
    whole_ms = None
    if verdict.fate is samples.Fate.WHOLE:
        whole_ms = _elapsed_ms(due)
    return Result(verdict=verdict, whole_ms=whole_ms)


def _judge_body(
    status: int, body: bytes, planned: traffic.Planned
) -> checks.Verdict:
    if status != _OK:
        return checks.judge_refusal(status, body)
    if planned.messages:
        return checks.judge_whole(body, planned.messages, planned.max_tokens)
    return checks.judge_call(body, planned.body)


async def _read_stream(
    connection: http_client.Connection, planned: traffic.Planned, due: float
) -> Result:
    check = checks.StreamCheck(
        messages=planned.messages, max_tokens=planned.max_tokens
    )
    token_times: list[float] = []
    try:
        async for event in _read_events(connection):
            if check.take(event):
                token_times.append(_elapsed_ms(due))
    except errors.TargetAnswerLostError:
        # The check knows by the missing end mark that it is not whole.
        pass
    verdict = check.judge()
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
) -> abc.AsyncIterator[events.Event]:
    splitter = events.Splitter()
    async for chunk in connection.read_chunks():
        for event in splitter.feed(chunk):
            yield event


def build_request(key: str, planned: traffic.Planned) -> http_client.Request:
    """Returns the HTTP request of a planned request."""
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
    planned: traffic.Planned, address: str, result: Result
) -> samples.Sample:
    """Returns the line of a result file for a request."""
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


def _count_reusable(planned: traffic.Planned) -> int:
    """Counts the tokens of all messages but the one that is new."""
    if not planned.returning or not planned.messages:
        return 0
    blocks = prefixes.split_prompt(planned.messages[:-1])
    return sum(block.tokens for block in blocks)


def _elapsed_ms(due: float) -> float:
    return round((time.monotonic() - due) * _MS_PER_S, 3)


def _lose(detail: str) -> Result:
    verdict = checks.Verdict(fate=samples.Fate.LOST, detail=detail)
    return Result(verdict=verdict)
