"""Reads clients' HTTP requests and builds the responses to them."""

import asyncio
from collections import abc
import secrets
import typing

import blacksheep
from blacksheep import exceptions

from mothpass.adapters import http_disconnects
from mothpass.core import errors
from mothpass.core import results
from mothpass.daemon import answers
from mothpass.daemon import client_requests

BODY_TIMEOUT_MS = 10_000
RETRY_AFTER_MS = 1000


async def read_body(request: blacksheep.Request, limit_bytes: int) -> bytes:
    """Reads a whole request body.

    Raises:
        errors.RefusalError: BODY_TOO_LARGE or BODY_INCOMPLETE.
    """
    content_length = read_header(request, b"content-length")
    if content_length.isdecimal() and int(content_length) > limit_bytes:
        raise _build_large_body_rejection(limit_bytes)
    body = bytearray()
    stream = typing.cast(abc.AsyncIterable[bytes], request.stream())
    try:
        async with asyncio.timeout(BODY_TIMEOUT_MS / 1000):
            async for part in stream:
                body += part
                if len(body) > limit_bytes:
                    raise _build_large_body_rejection(limit_bytes)
    except (TimeoutError, exceptions.MessageAborted):
        raise _build_incomplete_body_rejection() from None
    if get_connection(request).body_truncated:
        raise _build_incomplete_body_rejection()
    return bytes(body)


async def handle_unknown_path(
    request: blacksheep.Request,
) -> blacksheep.Response:
    """Responds to a request for an unknown path or method."""
    refusal = errors.Refusal(
        code=results.Code.NOT_FOUND,
        ran=results.Ran.NO,
        message="no such path or method",
    )
    return build_error_response(refusal, read_headers(request).request_id)


def get_connection(
    request: blacksheep.Request,
) -> http_disconnects.RequestConnection:
    """Returns the client connection of a request."""
    scope = typing.cast(dict[str, typing.Any], request.scope)
    return typing.cast(
        http_disconnects.RequestConnection,
        scope[http_disconnects.CONNECTION_KEY],
    )


def read_header(request: blacksheep.Request, name: bytes) -> str:
    """Returns a header's value, empty if it is missing."""
    value = request.get_first_header(name)
    return "" if value is None else value.decode("latin-1")


def read_headers(request: blacksheep.Request) -> client_requests.Headers:
    """Returns the headers that the daemon reads.

    Generates a request id if the client's is missing or invalid.
    """
    request_id = read_header(request, b"x-request-id")
    if not client_requests.is_printable(
        request_id, client_requests.MAX_REQUEST_ID_CHARS
    ):
        request_id = secrets.token_hex(8)
    return client_requests.Headers(
        request_id=request_id,
        deadline_ms=read_header(request, b"x-deadline-ms"),
        chat_id=read_header(request, b"x-chat-id"),
        idempotency_key=read_header(request, b"idempotency-key"),
    )


def build_response(
    status: int, body: bytes, request_id: str = ""
) -> blacksheep.Response:
    """Returns a response with a JSON body."""
    content = blacksheep.Content(answers.JSON_TYPE, body)
    response = blacksheep.Response(status, content=content)
    if request_id:
        response.add_header(b"X-Request-Id", request_id.encode())
    return response


def build_error_response(
    refusal: errors.Refusal, request_id: str
) -> blacksheep.Response:
    """Returns the error response of a rejection."""
    body = answers.encode_refusal(refusal, request_id)
    status = results.get_http_status(refusal.code)
    response = build_response(status, body, request_id)
    if refusal.code is results.Code.BODY_INCOMPLETE:
        # The rest of the body would be parsed as the next request.
        response.add_header(b"Connection", b"close")
    for name, value in answers.list_refusal_headers(refusal):
        response.add_header(name, value)
    return response


def build_retryable_rejection(
    code: results.Code, message: str
) -> errors.RefusalError:
    """Returns the error that rejects a request until a later retry."""
    refusal = errors.Refusal(
        code=code,
        ran=results.Ran.NO,
        message=message,
        retry_after_ms=RETRY_AFTER_MS,
    )
    return errors.RefusalError(refusal)


def _build_incomplete_body_rejection() -> errors.RefusalError:
    return client_requests.build_rejection(
        results.Code.BODY_INCOMPLETE, "the request body is incomplete"
    )


def _build_large_body_rejection(limit_bytes: int) -> errors.RefusalError:
    return client_requests.build_rejection(
        results.Code.BODY_TOO_LARGE,
        f"the request body exceeds {limit_bytes} bytes",
    )
