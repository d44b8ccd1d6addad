"""Reads and writes the JSON bodies of stand-ins."""

import typing
import urllib.parse

import blacksheep
import msgspec

T = typing.TypeVar("T")


class Refused(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an answer that refuses a call.

    Attributes:
        message: Why.
        ran: Whether the call ran, ``no`` in all refusals of stand-ins.
    """

    message: str
    ran: str = "no"


def answer_json(
    status: int, value: object, headers: dict[str, str] | None = None
) -> blacksheep.Response:
    """Returns an answer with a JSON body."""
    content = blacksheep.Content(
        b"application/json", msgspec.json.encode(value)
    )
    return answer(status, content, headers)


def answer(
    status: int,
    content: blacksheep.Content | None = None,
    headers: dict[str, str] | None = None,
) -> blacksheep.Response:
    """Returns an answer with any content, or none."""
    pairs = [
        (name.encode(), value.encode())
        for name, value in (headers or {}).items()
    ]
    return blacksheep.Response(status, pairs, content)


def refuse(status: int, message: str) -> blacksheep.Response:
    """Returns an answer that says why a call was not run."""
    return answer_json(status, Refused(message=message))


async def read_json(request: blacksheep.Request, kind: type[T]) -> T | None:
    """Returns the body as a typed message, None where it isn't one."""
    body = await request.read()
    try:
        return msgspec.json.decode(body or b"", type=kind)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


def read_header(request: blacksheep.Request, name: str) -> str | None:
    """Returns the first header of a name, None where there is none."""
    value = request.get_first_header(name.encode())
    return None if value is None else value.decode("latin-1")


def read_part(request: blacksheep.Request, name: str) -> str:
    """Returns a part of the path by its name in the route, decoded."""
    values = typing.cast(dict[str, str], request.route_values or {})
    return urllib.parse.unquote(values[name])


def read_query(request: blacksheep.Request, name: str) -> str | None:
    """Returns the first value of a query parameter, None without one."""
    values = request.query.get(name)
    return values[0] if values else None
