"""Client of the operators' API that fails over between daemons."""

import asyncio

import msgspec

from mothpass.control import config as configs
from mothpass.control import http_client
from mothpass.core import catalogue
from mothpass.core import errors
from mothpass.core import results

_WRITE_METHODS = ("PUT", "POST")
_MIN_SERVER_ERROR = 500


class NoDaemonError(errors.MothpassError):
    """No daemon answered; the request had no effect."""


class UnconfirmedError(errors.MothpassError):
    """A change was sent, but it is unknown whether it took effect."""


class RefusedError(errors.MothpassError):
    """A daemon rejected the request; it had no effect.

    Attributes:
        refusal: Rejection that the daemon returned.
    """

    def __init__(self, refusal: "Refusal") -> None:
        """Stores the rejection; its message becomes the exception text."""
        super().__init__(refusal.message)
        self.refusal = refusal


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """The ``error`` object of an error response.

    Attributes:
        code: Result code.
        name: Name of the code.
        ran: Whether the request ran: ``no``, ``yes`` or ``unknown``.
        message: Description of the error.
        retry_after_ms: Delay before a retry, in milliseconds.
    """

    code: int = 0
    name: str = ""
    ran: str = ""
    message: str = ""
    retry_after_ms: int | None = None


class ErrorAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Error response of a daemon.

    Attributes:
        error: The rejection.
        present_version: Version in force, set in a conflict.
        problems: Problems of a rejected catalogue.
    """

    error: Refusal = Refusal()
    present_version: int | None = None
    problems: list[errors.Problem] = []


class Version(msgspec.Struct, frozen=True, kw_only=True):
    """Catalogue version as a daemon returns it.

    Attributes:
        version: Version number, 0 if there is none yet.
        digest: Digest of the catalogue.
        entries: The catalogue, None if there is none yet; ``catalogue`` in
            JSON.
    """

    version: int
    digest: str = ""
    entries: catalogue.Catalogue | None = msgspec.field(
        name="catalogue", default=None
    )


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted change.

    Attributes:
        version: Version that it made.
        author: Who made it.
        at_ms: When it was accepted, milliseconds since the epoch; ``at`` in
            JSON.
        summary: What it changed.
    """

    version: int
    author: str = ""
    at_ms: int = msgspec.field(name="at", default=0)
    summary: str = ""


class History(msgspec.Struct, frozen=True, kw_only=True):
    """Accepted changes, newest first."""

    changes: list[Change] = []


async def call(
    config: configs.Config,
    method: str,
    path: str,
    body: object = None,
    *,
    idempotent: bool = False,
) -> http_client.Response:
    """Sends a request to the daemons in order until one decides it.

    A daemon is skipped if it is unreachable, or if it reports that it can't
    serve now and that the request had no effect. A change whose response was
    lost is sent to another daemon only if it is idempotent.

    Args:
        config: The daemons and the token.
        method: HTTP method.
        path: Path in the operators' API.
        body: Value to encode as JSON, None for no body.
        idempotent: Whether a change may be resent.

    Returns:
        The first decisive response; its status may be an error.

    Raises:
        NoDaemonError: If no daemon responded.
        RefusedError: If no daemon that responded could serve it.
        UnconfirmedError: If a change may have taken effect.
    """
    request = _build_request(config, method, path, body)
    rejected: http_client.Response | None = None
    unconfirmed: UnconfirmedError | None = None
    for address in config.addresses:
        if unconfirmed is not None and not idempotent:
            break
        try:
            response = await http_client.fetch(
                address, request, timeout_ms=config.timeout_ms
            )
        except errors.TargetUnreachableError:
            continue
        except errors.TargetAnswerLostError as error:
            if method in _WRITE_METHODS:
                unconfirmed = UnconfirmedError(f"{address}: {error}")
            continue
        if response.status < _MIN_SERVER_ERROR:
            return response
        if method in _WRITE_METHODS and not _had_no_effect(response):
            unconfirmed = UnconfirmedError(
                f"{address}: {describe_error(response)}"
            )
            continue
        rejected = response
    if unconfirmed is not None:
        raise unconfirmed
    if rejected is None:
        raise NoDaemonError("no daemon answered")
    raise RefusedError(decode_error(rejected).error)


async def call_all(
    config: configs.Config, path: str
) -> dict[str, http_client.Response | errors.MothpassError]:
    """Reads a path from all daemons concurrently.

    Returns:
        By address, the response or the error of the request.
    """
    request = _build_request(config, "GET", path, None)

    async def read(
        address: str,
    ) -> http_client.Response | errors.MothpassError:
        try:
            return await http_client.fetch(
                address, request, timeout_ms=config.timeout_ms
            )
        except errors.MothpassError as error:
            return error

    responses = await asyncio.gather(
        *(read(address) for address in config.addresses)
    )
    return dict(zip(config.addresses, responses, strict=True))


async def read_version(
    config: configs.Config, version: int | None = None
) -> Version:
    """Reads a catalogue version, or the one in force if None.

    Returns:
        The catalogue; version 0 if none has been accepted yet.

    Raises:
        NoDaemonError: If no daemon responded.
        RefusedError: If the daemons rejected the request or don't know the
            version.
    """
    path = "/v1/catalogue" if version is None else f"/v1/catalogue/{version}"
    try:
        response = await call(config, "GET", path)
        check_status(response)
    except RefusedError as error:
        is_empty = error.refusal.code == results.Code.NO_CATALOGUE
        if version is None and is_empty:
            return Version(version=0)
        raise
    found: Version = http_client.decode_body(response, Version)
    return found


async def read_history(config: configs.Config, limit: int) -> list[Change]:
    """Reads the newest changes, newest first.

    Raises:
        NoDaemonError: If no daemon responded.
        RefusedError: If the daemons rejected the request.
    """
    response = await call(config, "GET", f"/v1/history?limit={limit}")
    check_status(response)
    found: History = http_client.decode_body(response, History)
    return found.changes


def check_status(response: http_client.Response) -> None:
    """Raises RefusedError unless the status is a success."""
    if response.status >= 400:
        raise RefusedError(decode_error(response).error)


def decode_error(response: http_client.Response) -> ErrorAnswer:
    """Decodes an error response as far as possible."""
    try:
        return msgspec.json.decode(response.body, type=ErrorAnswer)
    except msgspec.DecodeError:
        text = response.body[:200].decode(errors="replace")
        message = f"HTTP status {response.status}: {text}"
        return ErrorAnswer(error=Refusal(message=message))


def describe_error(response: http_client.Response) -> str:
    """Returns a one-line description of an error response."""
    refusal = decode_error(response).error
    label = f"{refusal.code} {refusal.name}".strip()
    return f"{label}: {refusal.message}"


def _had_no_effect(response: http_client.Response) -> bool:
    """Returns whether a failed change is known to have had no effect."""
    refusal = decode_error(response).error
    if refusal.code == results.Code.CHANGE_UNCONFIRMED:
        return False
    return refusal.ran == results.Ran.NO.value


def _build_request(
    config: configs.Config, method: str, path: str, body: object
) -> http_client.Request:
    headers = {"Authorization": f"Bearer {config.token}"}
    data = b""
    if body is not None:
        headers["Content-Type"] = "application/json"
        data = msgspec.json.encode(body)
    return http_client.Request(
        method=method, path=path, headers=headers, body=data
    )
