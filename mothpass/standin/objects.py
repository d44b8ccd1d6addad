"""Serves an in-memory object store."""

import urllib.parse

import blacksheep

from mothpass.standin import bodies
from mothpass.standin import faults
from mothpass.standin import servers
from mothpass.standin import settings

_PATH_PARTS = 4


def build_app() -> blacksheep.Application:
    """Builds the HTTP application of an object store."""
    app = blacksheep.Application(router=blacksheep.Router())
    objects: dict[str, bytes] = {}

    @app.router.put("/v1/objects/*")
    async def put(request: blacksheep.Request) -> blacksheep.Response:
        objects[_read_name(request)] = await request.read() or b""
        return bodies.build_response(204)

    @app.router.get("/v1/objects/*")
    async def get(request: blacksheep.Request) -> blacksheep.Response:
        content_bytes = objects.get(_read_name(request))
        if content_bytes is None:
            return bodies.build_rejection(404, "object not found")
        content = blacksheep.Content(b"application/octet-stream", content_bytes)
        return bodies.build_response(200, content)

    return app


def _read_name(request: blacksheep.Request) -> str:
    """Returns the name from the raw path, so that an encoded ``/`` is kept."""
    raw = request.scope.get("raw_path") or request.url.path
    path = raw.decode("ascii").partition("?")[0]
    return urllib.parse.unquote(path.split("/", _PATH_PARTS - 1)[-1])


async def run(options: settings.ObjectsSettings) -> None:
    """Serves an object store until SIGTERM or SIGINT."""
    state = faults.FaultState()
    await servers.serve(build_app(), options.address, state)
