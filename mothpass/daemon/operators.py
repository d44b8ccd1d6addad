"""The operators' HTTP routes of a daemon (docs/PROTOCOLS.md)."""

import asyncio
from collections import abc
import hashlib
import hmac
import logging
import typing

import blacksheep
import msgspec
from returns import result

from mothpass.core import catalogue
from mothpass.core import decoding
from mothpass.core import errors
from mothpass.core import results
from mothpass.core import revisions
from mothpass.daemon import catalogues
from mothpass.daemon import operator_pages
from mothpass.daemon import proposals

MAX_BODY_BYTES = 33_554_432
BODY_TIMEOUT_MS = 60_000
DEFAULT_HISTORY_CHANGES = 20
MAX_HISTORY_CHANGES = 1000

_logger = logging.getLogger("mothpass.operators")

Handler = abc.Callable[[blacksheep.Request], abc.Awaitable[blacksheep.Response]]
# Returns a value that msgspec encodes as JSON.
ReadPage = abc.Callable[[], abc.Awaitable[object]]
BodyT = typing.TypeVar("BodyT")


class Dependencies(msgspec.Struct, frozen=True, kw_only=True):
    """What the routes use.

    Attributes:
        token_sha256: SHA-256 in hex of each accepted token.
        catalogues: This daemon's replica of the catalogue.
        proposals: Commits changes of the catalogue.
        read_status: Returns the status page of this daemon.
        read_fleet: Returns the known daemons of the region.
    """

    token_sha256: list[str]
    catalogues: catalogues.CatalogueReplica
    proposals: proposals.ChangeProposer
    read_status: ReadPage
    read_fleet: ReadPage


def register_routes(
    app: blacksheep.Application, dependencies: Dependencies
) -> None:
    """Adds the operators' routes to an application.

    Args:
        app: Application that listens only on the operators' address.
        dependencies: What the routes use.
    """
    router = app.router

    def require_token(handler: Handler) -> Handler:
        return _require_token(handler, dependencies.token_sha256)

    router.add_get(
        "/v1/catalogue", require_token(_build_current_handler(dependencies))
    )
    router.add_get(
        "/v1/catalogue/{version}",
        require_token(_build_version_handler(dependencies)),
    )
    router.add_put(
        "/v1/catalogue", require_token(_build_proposal_handler(dependencies))
    )
    router.add_post("/v1/catalogue/check", require_token(_handle_check))
    router.add_get(
        "/v1/history", require_token(_build_history_handler(dependencies))
    )
    for action, out in (("out", True), ("in", False)):
        router.add_post(
            f"/v1/availability-zones/{{name}}/{action}",
            require_token(
                _build_change_handler(dependencies.proposals.set_zone_out, out)
            ),
        )
        router.add_post(
            f"/v1/instances/{{name}}/{action}",
            require_token(
                _build_change_handler(
                    dependencies.proposals.set_instance_out, out
                )
            ),
        )
    router.add_get(
        "/v1/status",
        require_token(_build_page_handler(dependencies.read_status)),
    )
    router.add_get(
        "/v1/fleet", require_token(_build_page_handler(dependencies.read_fleet))
    )


def check_token(header: bytes | None, token_sha256: list[str]) -> results.Code:
    """Checks an operator's token.

    Args:
        header: Value of the ``Authorization`` header.
        token_sha256: SHA-256 in hex of each accepted token.

    Returns:
        OK; UNAUTHENTICATED without a token; FORBIDDEN for a wrong token.
    """
    if header is None or not header.startswith(b"Bearer "):
        return results.Code.UNAUTHENTICATED
    digest = hashlib.sha256(header.removeprefix(b"Bearer ")).hexdigest()
    # Compares every hash, so that the duration reveals nothing about a match.
    matches = [hmac.compare_digest(digest, item) for item in token_sha256]
    return results.Code.OK if any(matches) else results.Code.FORBIDDEN


def _require_token(handler: Handler, token_sha256: list[str]) -> Handler:
    """Wraps a handler with token authentication and error responses."""

    async def handle_authenticated(
        request: blacksheep.Request,
    ) -> blacksheep.Response:
        code = check_token(
            request.headers.get_first(b"Authorization"), token_sha256
        )
        if code is not results.Code.OK:
            return _build_error_response(
                _build_refusal(code, "a valid operator token is required")
            )
        try:
            return await handler(request)
        except errors.RefusalError as error:
            return _build_error_response(error.refusal)
        except errors.StoreUnavailableError:
            refusal = _build_refusal(
                results.Code.STORE_UNAVAILABLE, "the store is unavailable"
            )
            return _build_error_response(refusal)
        except Exception:
            _logger.exception("operator request failed")
            refusal = errors.Refusal(
                code=results.Code.INTERNAL,
                ran=results.Ran.UNKNOWN,
                message="internal error; see this daemon's log",
            )
            return _build_error_response(refusal)

    return handle_authenticated


def _build_current_handler(dependencies: Dependencies) -> Handler:
    async def handle(_request: blacksheep.Request) -> blacksheep.Response:
        if not dependencies.catalogues.is_confirmed:
            raise errors.RefusalError(
                _build_refusal(
                    results.Code.NO_CATALOGUE,
                    "neither the store nor enough peers confirmed the version",
                )
            )
        return _build_json_response(
            200, _build_catalogue_page(dependencies.catalogues.newest)
        )

    return handle


def _build_version_handler(dependencies: Dependencies) -> Handler:
    async def handle(request: blacksheep.Request) -> blacksheep.Response:
        text = _read_route_value(request, "version")
        revision = None
        if text.isascii() and text.isdigit() and len(text) <= 10:
            revision = await dependencies.catalogues.read_version(int(text))
        if revision is None:
            raise errors.RefusalError(
                _build_refusal(results.Code.NOT_FOUND, "version not found")
            )
        return _build_json_response(200, _build_catalogue_page(revision))

    return handle


def _build_proposal_handler(dependencies: Dependencies) -> Handler:
    async def propose(request: blacksheep.Request) -> blacksheep.Response:
        body = await _read_body(request, operator_pages.ProposalBody)
        try:
            new = catalogue.decode_catalogue(bytes(body.catalogue))
        except errors.DocumentError as error:
            return _build_problems_response(error.problems)
        outcome = await dependencies.proposals.propose(
            body.base_version, new, author=body.author
        )
        return _build_outcome_response(outcome)

    return propose


async def _handle_check(request: blacksheep.Request) -> blacksheep.Response:
    data = await _read_bytes(request)
    try:
        catalogue.decode_catalogue(data)
    except errors.DocumentError as error:
        return _build_problems_response(error.problems)
    return _build_json_response(200, operator_pages.ProblemsPage(problems=[]))


class _SetOut(typing.Protocol):
    """Takes a named entry of the catalogue out of service or back in."""

    def __call__(
        self, name: str, /, *, out: bool, author: str
    ) -> abc.Awaitable[proposals.Outcome]: ...


def _build_change_handler(change: _SetOut, out: bool) -> Handler:
    async def handle(request: blacksheep.Request) -> blacksheep.Response:
        body = await _read_body(request, operator_pages.AuthorBody)
        name = _read_route_value(request, "name")
        try:
            msgspec.convert(name, catalogue.Name)
        except msgspec.ValidationError as error:
            raise errors.RefusalError(
                _build_refusal(results.Code.BAD_REQUEST, f"name: {error}")
            ) from error
        return _build_outcome_response(
            await change(name, out=out, author=body.author)
        )

    return handle


def _build_history_handler(dependencies: Dependencies) -> Handler:
    async def handle(request: blacksheep.Request) -> blacksheep.Response:
        limit = _read_limit(request)
        changes = await dependencies.catalogues.list_history(limit)
        items = [
            operator_pages.ChangeItem(
                version=change.version,
                author=change.author,
                at=change.at_ms,
                summary=change.summary,
            )
            for change in changes
        ]
        return _build_json_response(
            200, operator_pages.HistoryPage(changes=items)
        )

    return handle


def _build_page_handler(read: ReadPage) -> Handler:
    async def handle(_request: blacksheep.Request) -> blacksheep.Response:
        return _build_json_response(200, await read())

    return handle


def _build_catalogue_page(
    revision: revisions.Revision,
) -> operator_pages.CataloguePage:
    return operator_pages.CataloguePage(
        version=revision.version,
        digest=revision.digest,
        catalogue=revision.catalogue,
    )


def _read_route_value(request: blacksheep.Request, name: str) -> str:
    values = request.route_values or {}
    return values.get(name) or ""


def _read_limit(request: blacksheep.Request) -> int:
    """Returns the requested number of changes, within its bounds."""
    values = (request.query or {}).get("limit")
    if not values:
        return DEFAULT_HISTORY_CHANGES
    text = values[0]
    if not (text.isascii() and text.isdigit()) or len(text) > 9:
        raise errors.RefusalError(
            _build_refusal(results.Code.BAD_REQUEST, "limit: must be a number")
        )
    return min(max(1, int(text)), MAX_HISTORY_CHANGES)


async def _read_bytes(request: blacksheep.Request) -> bytes:
    """Reads a body; rejects a too large one before all of it is received."""
    body = bytearray()
    # blacksheep's stub types this generator as a coroutine. It yields None for
    # a request without a body.
    stream = typing.cast("abc.AsyncIterator[bytes | None]", request.stream())
    try:
        async with asyncio.timeout(BODY_TIMEOUT_MS / 1000):
            async for chunk in stream:
                body += chunk or b""
                if len(body) > MAX_BODY_BYTES:
                    raise errors.RefusalError(
                        _build_refusal(
                            results.Code.BODY_TOO_LARGE,
                            "the request body is too large",
                        )
                    )
    except TimeoutError:
        raise errors.RefusalError(
            _build_refusal(
                results.Code.BODY_INCOMPLETE, "the request body is incomplete"
            )
        ) from None
    return bytes(body)


async def _read_body(request: blacksheep.Request, kind: type[BodyT]) -> BodyT:
    data = await _read_bytes(request)
    try:
        return decoding.decode_json(data, kind)
    except msgspec.DecodeError as error:
        raise errors.RefusalError(
            _build_refusal(results.Code.BAD_REQUEST, str(error))
        ) from error


def _build_refusal(code: results.Code, message: str) -> errors.Refusal:
    return errors.Refusal(code=code, ran=results.Ran.NO, message=message)


def _build_outcome_response(outcome: proposals.Outcome) -> blacksheep.Response:
    if isinstance(outcome, result.Success):
        return _build_json_response(
            200, operator_pages.AcceptedPage(version=outcome.unwrap())
        )
    rejection = outcome.failure()
    return _build_error_response(
        rejection.refusal, present_version=rejection.present_version
    )


def _build_problems_response(
    problems: list[errors.Problem],
) -> blacksheep.Response:
    refusal = _build_refusal(
        results.Code.CATALOGUE_INVALID, "the catalogue is invalid"
    )
    return _build_error_response(refusal, problems=problems)


def _build_error_response(
    refusal: errors.Refusal,
    *,
    present_version: int | None = None,
    problems: list[errors.Problem] | None = None,
) -> blacksheep.Response:
    detail = operator_pages.ErrorDetail(
        code=refusal.code,
        name=refusal.code.name,
        ran=refusal.ran,
        message=refusal.message,
        retry_after_ms=refusal.retry_after_ms,
    )
    page = operator_pages.ErrorPage(
        error=detail, present_version=present_version, problems=problems
    )
    response = _build_json_response(results.get_http_status(refusal.code), page)
    if refusal.retry_after_ms is not None:
        seconds = -(-refusal.retry_after_ms // 1000)
        response.headers.add(b"Retry-After", str(seconds).encode())
    return response


def _build_json_response(status: int, page: object) -> blacksheep.Response:
    data = msgspec.json.encode(page)
    content = blacksheep.Content(b"application/json", data)
    return blacksheep.Response(status, content=content)
