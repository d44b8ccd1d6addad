"""Reads callers' HTTP requests and builds the answers to them."""

import asyncio
from collections import abc
import secrets
import typing

import blacksheep
from blacksheep import exceptions

from mothpass.adapters import http_guard
from mothpass.core import errors
from mothpass.core import results
from mothpass.daemon import answers
from mothpass.daemon import calls

BODY_TIMEOUT_MS = 10_000
RETRY_AFTER_MS = 1000


async def read_body(request: blacksheep.Request, limit_bytes: int) -> bytes:
    """Reads a body whole.

    Raises:
        errors.RefusalError: BODY_TOO_LARGE or BODY_INCOMPLETE.
    """
    declared = read_header(request, b"content-length")
    if declared.isdecimal() and int(declared) > limit_bytes:
        raise _refuse_large_body(limit_bytes)
    parts = []
    size = 0
    stream = typing.cast(abc.AsyncIterable[bytes], request.stream())
    try:
        async with asyncio.timeout(BODY_TIMEOUT_MS / 1000):
            async for part in stream:
                size += len(part)
                if size > limit_bytes:
                    raise _refuse_large_body(limit_bytes)
                parts.append(part)
    except (TimeoutError, exceptions.MessageAborted):
        raise _refuse_cut_body() from None
    if find_caller(request).body_cut:
        raise _refuse_cut_body()
    return b"".join(parts)


async def handle_unknown_path(
    request: blacksheep.Request,
) -> blacksheep.Response:
    """Answers a request for a path or method that there is none."""
    refusal = errors.Refusal(
        code=results.Code.NOT_FOUND,
        ran=results.Ran.NO,
        message="no such path or method",
    )
    return respond_refusal(refusal, read_headers(request).request_id)


def find_caller(request: blacksheep.Request) -> http_guard.Caller:
    """Returns the client of a request."""
    scope = typing.cast(dict[str, typing.Any], request.scope)
    return typing.cast(http_guard.Caller, scope[http_guard.CALLER])


def read_header(request: blacksheep.Request, name: bytes) -> str:
    """Returns a header's value, empty where there is none."""
    value = request.get_first_header(name)
    return "" if value is None else value.decode("latin-1")


def read_headers(request: blacksheep.Request) -> calls.Headers:
    """Returns the headers that a call depends on; makes up a request id."""
    request_id = read_header(request, b"x-request-id")
    if not calls.is_printable(request_id, calls.ID_LIMIT):
        request_id = secrets.token_hex(8)
    return calls.Headers(
        request_id=request_id,
        deadline_ms=read_header(request, b"x-deadline-ms"),
        chat_id=read_header(request, b"x-chat-id"),
        idempotency_key=read_header(request, b"idempotency-key"),
    )


def respond(
    status: int, body: bytes, request_id: str = ""
) -> blacksheep.Response:
    """Returns an answer with a JSON body."""
    content = blacksheep.Content(answers.JSON_TYPE, body)
    response = blacksheep.Response(status, content=content)
    if request_id:
        response.add_header(b"X-Request-Id", request_id.encode())
    return response


def respond_refusal(
    refusal: errors.Refusal, request_id: str
) -> blacksheep.Response:
    """Returns the answer that a refusal stands for."""
    body = answers.encode_refusal(refusal, request_id)
    status = results.get_http_status(refusal.code)
    response = respond(status, body, request_id)
    if refusal.code is results.Code.BODY_INCOMPLETE:
        # The rest of the body would be taken for the next request.
        response.add_header(b"Connection", b"close")
    for name, value in answers.list_refusal_headers(refusal):
        response.add_header(name, value)
    return response


def refuse_for_now(code: results.Code, message: str) -> errors.RefusalError:
    """Returns the error for a request that may be sent again soon."""
    refusal = errors.Refusal(
        code=code,
        ran=results.Ran.NO,
        message=message,
        retry_after_ms=RETRY_AFTER_MS,
    )
    return errors.RefusalError(refusal)


def _refuse_cut_body() -> errors.RefusalError:
    return calls.refuse(
        results.Code.BODY_INCOMPLETE, "the request's body was cut"
    )


def _refuse_large_body(limit_bytes: int) -> errors.RefusalError:
    return calls.refuse(
        results.Code.BODY_TOO_LARGE, f"bodies may have {limit_bytes} bytes"
    )
