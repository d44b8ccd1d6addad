"""Reads requests and builds responses of stand-ins."""

import typing
import urllib.parse

import blacksheep
import msgspec

T = typing.TypeVar("T")


class Rejection(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a response that rejects a request.

    Attributes:
        message: Reason.
        ran: Whether the request ran; always ``no`` at stand-ins.
    """

    message: str
    ran: str = "no"


def build_json_response(
    status: int, value: object, headers: dict[str, str] | None = None
) -> blacksheep.Response:
    """Builds a response with a JSON body."""
    content = blacksheep.Content(
        b"application/json", msgspec.json.encode(value)
    )
    return build_response(status, content, headers)


def build_response(
    status: int,
    content: blacksheep.Content | None = None,
    headers: dict[str, str] | None = None,
) -> blacksheep.Response:
    """Builds a response with any content, or none."""
    encoded_headers = [
        (name.encode(), value.encode())
        for name, value in (headers or {}).items()
    ]
    return blacksheep.Response(status, encoded_headers, content)


def build_rejection(status: int, message: str) -> blacksheep.Response:
    """Builds a rejection that states why the request was not run."""
    return build_json_response(status, Rejection(message=message))


async def read_json(
    request: blacksheep.Request, body_type: type[T]
) -> T | None:
    """Returns the body decoded as a type, None if it can't be decoded."""
    body = await request.read()
    try:
        return msgspec.json.decode(body or b"", type=body_type)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


def read_header(request: blacksheep.Request, name: str) -> str | None:
    """Returns the first value of a header, None if it is absent."""
    value = request.get_first_header(name.encode())
    return None if value is None else value.decode("latin-1")


def read_path_parameter(request: blacksheep.Request, name: str) -> str:
    """Returns a path parameter of the route, percent-decoded."""
    values = typing.cast(dict[str, str], request.route_values or {})
    return urllib.parse.unquote(values[name])


def read_query_parameter(request: blacksheep.Request, name: str) -> str | None:
    """Returns the first value of a query parameter, None if it is absent."""
    values = request.query.get(name)
    return values[0] if values else None
