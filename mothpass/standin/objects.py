"""An object store: whole objects under names, kept in memory."""

import urllib.parse

import blacksheep

from mothpass.standin import bodies
from mothpass.standin import faults
from mothpass.standin import servers
from mothpass.standin import settings

_PREFIX_PARTS = 4


def build_app() -> blacksheep.Application:
    """Builds the application of an object store."""
    app = blacksheep.Application(router=blacksheep.Router())
    objects: dict[str, bytes] = {}

    @app.router.put("/v1/objects/*")
    async def put(request: blacksheep.Request) -> blacksheep.Response:
        objects[_read_name(request)] = await request.read() or b""
        return bodies.answer(204)

    @app.router.get("/v1/objects/*")
    async def get(request: blacksheep.Request) -> blacksheep.Response:
        found = objects.get(_read_name(request))
        if found is None:
            return bodies.refuse(404, "no such object")
        content = blacksheep.Content(b"application/octet-stream", found)
        return bodies.answer(200, content)

    return app


def _read_name(request: blacksheep.Request) -> str:
    """Returns the name, from the path as sent so that ``/`` stays in it."""
    raw = request.scope.get("raw_path") or request.url.path
    path = raw.decode("ascii").partition("?")[0]
    return urllib.parse.unquote(path.split("/", _PREFIX_PARTS - 1)[-1])


async def run(options: settings.ObjectsSettings) -> None:
    """Serves an object store until it is told to stop."""
    state = faults.FaultState()
    await servers.serve(build_app(), options.address, state)
