"""HTTP client for targets, following docs/PROTOCOLS.md."""

import asyncio
from collections import abc
import contextlib
import math

import msgspec

from mothpass.adapters import held_bytes
from mothpass.adapters import http_events
from mothpass.adapters import http_exchanges
from mothpass.adapters import http_pool
from mothpass.core import decoding
from mothpass.core import errors
from mothpass.ports import targets

MAX_RESPONSE_BYTES = 16_777_216
# Load reports, and what comes with a refusal or a failure, are small.
MAX_SMALL_RESPONSE_BYTES = 65_536
# Of answers that are being read, all together; the largest one gives way.
MAX_HELD_BYTES = 50_331_648
CONTROL_TIMEOUT_MS = 1000


# Returns the error for a response with a status other than 200.
_BuildError = abc.Callable[
    [http_exchanges.Exchange], abc.Awaitable[errors.MothpassError]
]


class _RefusalBody(msgspec.Struct):
    """Body of a 503; ``ran`` is ``no`` if the target didn't run the request."""

    ran: str = "unknown"


class HttpTargets:
    """HTTP implementation of the functions of ports/targets.py."""

    __slots__ = ("_held", "_pool", "_silence_ms")

    def __init__(
        self, *, pool: http_pool.ConnectionPool, silence_ms: int
    ) -> None:
        """Initializes the client.

        Args:
            pool: Pool of connections.
            silence_ms: Longest time without a byte of a stream, in
                milliseconds.
        """
        self._held = held_bytes.HeldBytes(limit_bytes=MAX_HELD_BYTES)
        self._pool = pool
        self._silence_ms = silence_ms

    def open_stream(
        self, attempt: targets.Attempt
    ) -> abc.AsyncGenerator[targets.EventBatch, None]:
        """See ``targets.OpenStream``."""
        return self._stream(attempt, _encode_post(attempt), _build_open_error)

    def resume_stream(
        self, attempt: targets.Attempt, position: int
    ) -> abc.AsyncGenerator[targets.EventBatch, None]:
        """See ``targets.ResumeStream``."""
        path = f"/v1/attempts/{attempt.id}/events?from={position}"
        request = _encode_bodiless("GET", path, attempt.address)
        return self._stream(attempt, request, _build_resume_error)

    async def call(self, attempt: targets.Attempt) -> targets.Answer:
        """See ``targets.CallTarget``."""
        async with self._exchange(
            attempt.address,
            _encode_post(attempt),
            deadline=attempt.deadline,
            fresh=attempt.idempotency_key is not None,
            accepts_response=_make_matcher(attempt.id),
        ) as exchange:
            if await _wait_for_status(exchange) == 503:
                raise await _build_open_error(exchange)
            body = await self._read_answer(exchange)
            return targets.Answer(
                attempt_id=_read_header(exchange, b"x-attempt-id"),
                status=exchange.status,
                body=body,
                boot_id=_read_header(exchange, b"x-boot-id"),
            )

    async def cancel(self, attempt: targets.Attempt) -> None:
        """See ``targets.CancelAttempt``."""
        path = f"/v1/attempts/{attempt.id}"
        request = _encode_bodiless("DELETE", path, attempt.address)
        with contextlib.suppress(errors.MothpassError):
            async with self._exchange(
                attempt.address, request, deadline=_find_control_deadline()
            ) as exchange:
                await _read_body(exchange, MAX_SMALL_RESPONSE_BYTES)

    async def read_load(self, address: str) -> targets.LoadReport:
        """See ``targets.ReadLoad``."""
        request = _encode_bodiless("GET", "/v1/load", address)
        async with self._exchange(
            address, request, deadline=_find_control_deadline()
        ) as exchange:
            body = await _read_body(exchange, MAX_SMALL_RESPONSE_BYTES)
            if exchange.status != 200:
                raise errors.TargetAnswerLostError(
                    f"load report: HTTP status {exchange.status}"
                )
        try:
            return decoding.decode_json(body, targets.LoadReport)
        except msgspec.DecodeError as error:
            raise errors.TargetAnswerLostError(f"load report: {error}") from (
                error
            )

    async def _read_answer(self, exchange: http_exchanges.Exchange) -> bytes:
        """Returns the body of an answer, which counts as memory meanwhile.

        Raises:
            errors.TargetAnswerLostError: If it is lost or too large, or is
                given up for want of memory.
        """
        holding = self._held.open_holding(
            lambda: exchange.fail(
                errors.TargetAnswerLostError(
                    "too much memory is held for answers"
                )
            )
        )
        try:
            return await _read_body(exchange, MAX_RESPONSE_BYTES, holding.grow)
        finally:
            holding.release()

    async def _stream(
        self,
        attempt: targets.Attempt,
        request: bytes,
        build_error: _BuildError,
    ) -> abc.AsyncGenerator[targets.EventBatch, None]:
        """Yields the events of a response up to the last one."""
        async with self._exchange(
            attempt.address,
            request,
            silence_ms=self._silence_ms,
            deadline=attempt.deadline,
            # Resumes over a new connection, since all open ones may have gone
            # silent together.
            fresh=build_error is _build_resume_error,
            accepts_response=_make_matcher(attempt.id),
        ) as exchange:
            if await _wait_for_status(exchange) != 200:
                raise await build_error(exchange)
            decoder = http_events.EventDecoder()
            boot_id = _read_header(exchange, b"x-boot-id")
            while not exchange.content_ended:
                await exchange.wait_for_progress()
                events = decoder.decode(exchange.read_available())
                if events:
                    exchange.content_ended = events[-1].last
                    yield targets.EventBatch(boot_id=boot_id, events=events)
                elif exchange.complete:
                    raise errors.TargetAnswerLostError(
                        "stream ended before its last event"
                    )

    @contextlib.asynccontextmanager
    async def _exchange(
        self,
        address: str,
        request: bytes,
        *,
        deadline: float,
        silence_ms: int | None = None,
        fresh: bool = False,
        accepts_response: http_exchanges.AcceptsResponse = (
            http_exchanges.accept_any
        ),
    ) -> abc.AsyncIterator[http_exchanges.Exchange]:
        """Sends a request and releases the connection at the end.

        Nothing is sent past the deadline: a daemon that was paused while
        connecting must not send a request whose claim has expired.
        """
        connection = await self._pool.acquire(address, fresh=fresh)
        if asyncio.get_running_loop().time() >= deadline:
            self._pool.release(address, connection)
            raise errors.TargetUnreachableError(
                "deadline passed, request not sent"
            )
        exchange = connection.send(
            request,
            silence_ms=silence_ms,
            deadline=deadline,
            accepts_response=accepts_response,
        )
        try:
            yield exchange
        finally:
            self._pool.release(address, connection)


def _make_matcher(attempt_id: str) -> http_exchanges.AcceptsResponse:
    """Returns whether a response is that of an attempt, not an earlier one."""

    def matches(status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        del status
        named = dict(headers).get(b"x-attempt-id")
        return named is None or named == attempt_id.encode()

    return matches


def _find_control_deadline() -> float:
    """Returns the deadline of a cancellation or a load report."""
    return asyncio.get_running_loop().time() + CONTROL_TIMEOUT_MS / 1000


async def _wait_for_status(exchange: http_exchanges.Exchange) -> int:
    """Waits for the response headers and returns the status."""
    while not exchange.status:
        await exchange.wait_for_progress()
    return exchange.status


async def _read_body(
    exchange: http_exchanges.Exchange,
    limit_bytes: int,
    on_chunk: abc.Callable[[int], None] = lambda _: None,
) -> bytes:
    """Returns the whole body of a response.

    Args:
        exchange: The response.
        limit_bytes: Most bytes of the body.
        on_chunk: Called with the size of each piece that was read.

    Raises:
        errors.TargetAnswerLostError: If it is lost or larger than the limit.
    """
    chunks = []
    size = 0
    while not exchange.complete:
        await exchange.wait_for_progress()
        chunk = exchange.read_available()
        size += len(chunk)
        on_chunk(len(chunk))
        if size > limit_bytes:
            raise errors.TargetAnswerLostError("response too large")
        chunks.append(chunk)
    chunks.append(exchange.read_available())
    return b"".join(chunks)


async def _build_resume_error(
    exchange: http_exchanges.Exchange,
) -> errors.MothpassError:
    """Returns the error for a resume with a status other than 200."""
    if exchange.status == 404:
        return errors.AttemptUnknownError(_read_header(exchange, b"x-boot-id"))
    return errors.TargetAnswerLostError(
        f"resume: HTTP status {exchange.status}"
    )


async def _build_open_error(
    exchange: http_exchanges.Exchange,
) -> errors.MothpassError:
    """Returns the error for an attempt with a status other than 200."""
    body = await _read_body(exchange, MAX_SMALL_RESPONSE_BYTES)
    if exchange.status == 503:
        with contextlib.suppress(msgspec.DecodeError):
            if decoding.decode_json(body, _RefusalBody).ran == "no":
                return errors.TargetRefusedError("rejected by the target")
    return errors.TargetAnswerLostError(f"HTTP status {exchange.status}")


def _read_header(exchange: http_exchanges.Exchange, name: bytes) -> str:
    return exchange.headers.get(name, b"").decode("latin-1")


def _encode_bodiless(method: str, path: str, address: str) -> bytes:
    """Encodes a request without a body."""
    return f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()


def _encode_post(attempt: targets.Attempt) -> bytes:
    """Encodes the request that starts an attempt."""
    now = asyncio.get_running_loop().time()
    left_ms = max(0, math.ceil((attempt.deadline - now) * 1000))
    lines = [
        f"POST {attempt.path} HTTP/1.1",
        f"Host: {attempt.address}",
        "Content-Type: application/json",
        f"Content-Length: {len(attempt.body)}",
        f"X-Attempt-Id: {attempt.id}",
        f"X-Priority: {attempt.priority}",
        f"X-Deadline-Ms: {left_ms}",
        f"X-Fencing: {attempt.fencing}",
    ]
    if attempt.idempotency_key is not None:
        lines.append(f"Idempotency-Key: {attempt.idempotency_key}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + attempt.body
