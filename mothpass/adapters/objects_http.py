"""HTTP adapter of the object store."""

import msgspec

from mothpass.adapters import platform_http
from mothpass.core import errors
from mothpass.ports import objects

_OK = 200
_NO_CONTENT = 204
_NOT_FOUND = 404


class Objects(msgspec.Struct, frozen=True, kw_only=True):
    """Functions of the object store.

    Attributes:
        get_object: Reads an object.
        put_object: Writes an object.
    """

    get_object: objects.GetObject
    put_object: objects.PutObject


def build_objects(client: platform_http.PlatformClient) -> Objects:
    """Returns the functions of the object store that a client reaches."""

    async def get_object(name: str) -> bytes | None:
        reply = await client.read(_build_path(name))
        if reply.status == _NOT_FOUND:
            return None
        if reply.status != _OK:
            raise errors.StoreUnavailableError(
                f"object request failed with HTTP status {reply.status}"
            )
        return reply.body

    async def put_object(name: str, data: bytes) -> None:
        reply = await client.write("PUT", _build_path(name), data)
        if reply.status != _NO_CONTENT:
            raise errors.StoreUnavailableError(
                f"object request failed with HTTP status {reply.status}"
            )

    return Objects(get_object=get_object, put_object=put_object)


def _build_path(name: str) -> str:
    return f"/v1/objects/{platform_http.quote(name)}"
