"""The object store over HTTP."""

import msgspec

from mothpass.adapters import platform_http
from mothpass.core import errors
from mothpass.ports import objects

_OK = 200
_NO_CONTENT = 204
_NOT_FOUND = 404


class Objects(msgspec.Struct, frozen=True, kw_only=True):
    """The functions of the object store.

    Attributes:
        get_object: Reads an object.
        put_object: Writes an object whole.
    """

    get_object: objects.GetObject
    put_object: objects.PutObject


def build_objects(exchange: platform_http.Exchange) -> Objects:
    """Returns the functions of the object store behind an exchange."""

    async def get_object(name: str) -> bytes | None:
        reply = await exchange.read(_build_path(name))
        if reply.status == _NOT_FOUND:
            return None
        if reply.status != _OK:
            raise errors.StoreUnavailableError(
                f"object refused with {reply.status}"
            )
        return reply.body

    async def put_object(name: str, data: bytes) -> None:
        reply = await exchange.write("PUT", _build_path(name), data)
        if reply.status != _NO_CONTENT:
            raise errors.StoreUnavailableError(
                f"object refused with {reply.status}"
            )

    return Objects(get_object=get_object, put_object=put_object)


def _build_path(name: str) -> str:
    return f"/v1/objects/{platform_http.quote(name)}"
