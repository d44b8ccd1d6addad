"""The operators' HTTP routes of a daemon (docs/PROTOCOLS.md)."""

from collections import abc
import hashlib
import hmac
import logging
import typing

import blacksheep
import msgspec
from returns import result

from mothpass.core import catalogue
from mothpass.core import errors
from mothpass.core import results
from mothpass.core import revisions
from mothpass.daemon import catalogues
from mothpass.daemon import operator_pages
from mothpass.daemon import proposals

BODY_LIMIT_BYTES = 33_554_432
HISTORY_DEFAULT = 20
HISTORY_LIMIT = 1000

_logger = logging.getLogger("mothpass.operators")

Handler = abc.Callable[[blacksheep.Request], abc.Awaitable[blacksheep.Response]]
# Returns something that msgspec encodes as JSON.
ReadPage = abc.Callable[[], abc.Awaitable[object]]
T = typing.TypeVar("T")


class Parts(msgspec.Struct, frozen=True, kw_only=True):
    """What the routes need.

    Attributes:
        token_sha256: SHA-256, in hex, of each token that is accepted.
        catalogues: The catalogue in force.
        proposals: Where changes are asked for.
        read_status: Gives the status page of this daemon.
        read_fleet: Gives the daemons as far as known.
    """

    token_sha256: list[str]
    catalogues: catalogues.CatalogueReplica
    proposals: proposals.ChangeProposer
    read_status: ReadPage
    read_fleet: ReadPage


def register_routes(app: blacksheep.Application, parts: Parts) -> None:
    """Adds the operators' routes to an application.

    Args:
        app: Application that listens at the operators' address only.
        parts: What the routes need.
    """
    router = app.router

    def guard(handler: Handler) -> Handler:
        return _guard(handler, parts.token_sha256)

    router.add_get("/v1/catalogue", guard(_show_present(parts)))
    router.add_get("/v1/catalogue/{version}", guard(_show_version(parts)))
    router.add_put("/v1/catalogue", guard(_propose(parts)))
    router.add_post("/v1/catalogue/check", guard(_check))
    router.add_get("/v1/history", guard(_show_history(parts)))
    for word, out in (("out", True), ("in", False)):
        router.add_post(
            f"/v1/availability-zones/{{name}}/{word}",
            guard(_change(parts.proposals.set_zone_out, out)),
        )
        router.add_post(
            f"/v1/instances/{{name}}/{word}",
            guard(_change(parts.proposals.set_instance_out, out)),
        )
    router.add_get("/v1/status", guard(_show_page(parts.read_status)))
    router.add_get("/v1/fleet", guard(_show_page(parts.read_fleet)))


def check_token(header: bytes | None, token_sha256: list[str]) -> results.Code:
    """Checks an operator's token.

    Args:
        header: Value of the header ``Authorization``.
        token_sha256: SHA-256, in hex, of each accepted token.

    Returns:
        OK, UNAUTHENTICATED without a token or FORBIDDEN with a wrong one.
    """
    if header is None or not header.startswith(b"Bearer "):
        return results.Code.UNAUTHENTICATED
    digest = hashlib.sha256(header.removeprefix(b"Bearer ")).hexdigest()
    # Every hash is compared, so that the time taken tells nothing.
    matches = [hmac.compare_digest(digest, item) for item in token_sha256]
    return results.Code.OK if any(matches) else results.Code.FORBIDDEN


def _guard(handler: Handler, token_sha256: list[str]) -> Handler:
    """Wraps a handler: checks the token and answers refusals."""

    async def guarded(request: blacksheep.Request) -> blacksheep.Response:
        code = check_token(
            request.headers.get_first(b"Authorization"), token_sha256
        )
        if code is not results.Code.OK:
            return _send_error(_refuse(code, "not allowed"))
        try:
            return await handler(request)
        except errors.RefusalError as error:
            return _send_error(error.refusal)
        except errors.StoreUnavailableError:
            refusal = _refuse(
                results.Code.STORE_UNAVAILABLE, "the store can't be reached"
            )
            return _send_error(refusal)
        except Exception:
            _logger.exception("operators' request failed")
            refusal = errors.Refusal(
                code=results.Code.INTERNAL,
                ran=results.Ran.UNKNOWN,
                message="internal error; see this daemon's log",
            )
            return _send_error(refusal)

    return guarded


def _show_present(parts: Parts) -> Handler:
    async def show(_request: blacksheep.Request) -> blacksheep.Response:
        if not parts.catalogues.is_confirmed:
            raise errors.RefusalError(
                _refuse(
                    results.Code.NO_CATALOGUE,
                    "neither the store nor enough peers have told the version",
                )
            )
        return _send_json(200, _build_page(parts.catalogues.newest))

    return show


def _show_version(parts: Parts) -> Handler:
    async def show(request: blacksheep.Request) -> blacksheep.Response:
        text = _read_route_value(request, "version")
        found = None
        if text.isascii() and text.isdigit() and len(text) <= 10:
            found = await parts.catalogues.read_version(int(text))
        if found is None:
            raise errors.RefusalError(
                _refuse(results.Code.NOT_FOUND, "no such version")
            )
        return _send_json(200, _build_page(found))

    return show


def _propose(parts: Parts) -> Handler:
    async def propose(request: blacksheep.Request) -> blacksheep.Response:
        body = await _read_body(request, operator_pages.ProposalBody)
        try:
            new = catalogue.decode_catalogue(bytes(body.catalogue))
        except errors.DocumentError as error:
            return _send_problems(error.problems)
        outcome = await parts.proposals.propose(
            body.base_version, new, author=body.author
        )
        return _send_outcome(outcome)

    return propose


async def _check(request: blacksheep.Request) -> blacksheep.Response:
    data = await _read_bytes(request)
    try:
        catalogue.decode_catalogue(data)
    except errors.DocumentError as error:
        return _send_problems(error.problems)
    return _send_json(200, operator_pages.ProblemsPage(problems=[]))


class _ChangeEntry(typing.Protocol):
    """Takes one named entry out of service or back."""

    def __call__(
        self, name: str, /, *, out: bool, author: str
    ) -> abc.Awaitable[proposals.Outcome]: ...


def _change(change: _ChangeEntry, out: bool) -> Handler:
    async def handle(request: blacksheep.Request) -> blacksheep.Response:
        body = await _read_body(request, operator_pages.AuthorBody)
        name = _read_route_value(request, "name")
        try:
            msgspec.convert(name, catalogue.Name)
        except msgspec.ValidationError as error:
            raise errors.RefusalError(
                _refuse(results.Code.BAD_REQUEST, f"name: {error}")
            ) from error
        return _send_outcome(await change(name, out=out, author=body.author))

    return handle


def _show_history(parts: Parts) -> Handler:
    async def show(request: blacksheep.Request) -> blacksheep.Response:
        limit = _read_limit(request)
        changes = await parts.catalogues.list_history(limit)
        items = [
            operator_pages.ChangeItem(
                version=change.version,
                author=change.author,
                at=change.at_ms,
                summary=change.summary,
            )
            for change in changes
        ]
        return _send_json(200, operator_pages.HistoryPage(changes=items))

    return show


def _show_page(read: ReadPage) -> Handler:
    async def show(_request: blacksheep.Request) -> blacksheep.Response:
        return _send_json(200, await read())

    return show


def _build_page(revision: revisions.Revision) -> operator_pages.CataloguePage:
    return operator_pages.CataloguePage(
        version=revision.version,
        digest=revision.digest,
        catalogue=revision.catalogue,
    )


def _read_route_value(request: blacksheep.Request, name: str) -> str:
    values = request.route_values or {}
    return values.get(name) or ""


def _read_limit(request: blacksheep.Request) -> int:
    """Returns the number of changes asked for, within its bounds."""
    values = (request.query or {}).get("limit")
    if not values:
        return HISTORY_DEFAULT
    text = values[0]
    if not (text.isascii() and text.isdigit()) or len(text) > 9:
        raise errors.RefusalError(
            _refuse(results.Code.BAD_REQUEST, "limit: expected a number")
        )
    return min(max(1, int(text)), HISTORY_LIMIT)


async def _read_bytes(request: blacksheep.Request) -> bytes:
    """Reads a body, refusing one that is too large before all of it is in."""
    parts: list[bytes] = []
    size = 0
    # The library's stub types the generator as a coroutine.
    # It yields None for a request without a body.
    stream = typing.cast("abc.AsyncIterator[bytes | None]", request.stream())
    async for chunk in stream:
        if chunk is None:
            continue
        size += len(chunk)
        if size > BODY_LIMIT_BYTES:
            raise errors.RefusalError(
                _refuse(results.Code.BODY_TOO_LARGE, "the body is too large")
            )
        parts.append(chunk)
    return b"".join(parts)


async def _read_body(request: blacksheep.Request, kind: type[T]) -> T:
    data = await _read_bytes(request)
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.DecodeError as error:
        raise errors.RefusalError(
            _refuse(results.Code.BAD_REQUEST, str(error))
        ) from error


def _refuse(code: results.Code, message: str) -> errors.Refusal:
    return errors.Refusal(code=code, ran=results.Ran.NO, message=message)


def _send_outcome(outcome: proposals.Outcome) -> blacksheep.Response:
    if isinstance(outcome, result.Success):
        return _send_json(
            200, operator_pages.AcceptedPage(version=outcome.unwrap())
        )
    rejection = outcome.failure()
    return _send_error(
        rejection.refusal, present_version=rejection.present_version
    )


def _send_problems(problems: list[errors.Problem]) -> blacksheep.Response:
    refusal = _refuse(
        results.Code.CATALOGUE_INVALID, "the catalogue has faults"
    )
    return _send_error(refusal, problems=problems)


def _send_error(
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
    response = _send_json(results.http_status(refusal.code), page)
    if refusal.retry_after_ms is not None:
        seconds = -(-refusal.retry_after_ms // 1000)
        response.headers.add(b"Retry-After", str(seconds).encode())
    return response


def _send_json(status: int, page: object) -> blacksheep.Response:
    data = msgspec.json.encode(page)
    content = blacksheep.Content(b"application/json", data)
    return blacksheep.Response(status, content=content)
