"""Calls the operators' API of whichever daemon answers."""

import asyncio

import msgspec

from mothpass.control import config as configs
from mothpass.control import http_client
from mothpass.core import catalogue
from mothpass.core import errors
from mothpass.core import results

_WRITES = ("PUT", "POST")
_SERVER_ERROR = 500


class NoDaemonError(errors.MothpassError):
    """No daemon answered; the request had no effect."""


class UnconfirmedError(errors.MothpassError):
    """A change was sent and it isn't known whether it took effect."""


class RefusedError(errors.MothpassError):
    """A daemon refused the request; it had no effect.

    Attributes:
        refusal: What the daemon said.
    """

    def __init__(self, refusal: "Refusal") -> None:
        """Keeps the refusal and uses its message as the exception's text."""
        super().__init__(refusal.message)
        self.refusal = refusal


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """The ``error`` object of an error answer.

    Attributes:
        code: Result code.
        name: Its name.
        ran: Whether the request ran.
        message: What happened.
        retry_after_ms: When to come back, in milliseconds.
    """

    code: int = 0
    name: str = ""
    ran: str = ""
    message: str = ""
    retry_after_ms: int | None = None


class ErrorAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """An error answer of a daemon.

    Attributes:
        error: The refusal.
        present_version: Version in force, in a conflict.
        problems: Faults of a catalogue that was refused.
    """

    error: Refusal = Refusal()
    present_version: int | None = None
    problems: list[errors.Problem] = []


class Version(msgspec.Struct, frozen=True, kw_only=True):
    """A catalogue as a daemon shows it.

    Attributes:
        version: Number it was accepted under, 0 where there is none yet.
        digest: Its digest.
        entries: The catalogue, None where there is none yet; ``catalogue``
            in JSON.
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
    """Sends a request to the daemons in turn until one decides it.

    A daemon that can't be reached, or that says it had no effect because it
    can't serve now, is passed over. A change whose answer was lost goes to
    another daemon only where it is idempotent.

    Args:
        config: The daemons and the token.
        method: As in ``GET``.
        path: Path at the operators' API.
        body: Encoded as JSON where it isn't None.
        idempotent: Whether a change may be sent again.

    Returns:
        The first answer that decides; its status may be an error.

    Raises:
        NoDaemonError: Where none answered.
        RefusedError: Where all that answered could not serve it.
        UnconfirmedError: Where a change may have taken effect.
    """
    request = _build_request(config, method, path, body)
    refused: http_client.Response | None = None
    doubt: UnconfirmedError | None = None
    for address in config.addresses:
        if doubt is not None and not idempotent:
            break
        try:
            response = await http_client.exchange(
                address, request, timeout_ms=config.timeout_ms
            )
        except errors.TargetUnreachableError:
            continue
        except errors.TargetAnswerLostError as error:
            if method in _WRITES:
                doubt = UnconfirmedError(f"{address}: {error}")
            continue
        if response.status < _SERVER_ERROR:
            return response
        if method in _WRITES and not _had_no_effect(response):
            doubt = UnconfirmedError(f"{address}: {describe_error(response)}")
            continue
        refused = response
    if doubt is not None:
        raise doubt
    if refused is None:
        raise NoDaemonError("no daemon answered")
    raise RefusedError(decode_error(refused).error)


async def call_each(
    config: configs.Config, path: str
) -> dict[str, http_client.Response | errors.MothpassError]:
    """Reads a path from every daemon at the same time.

    Returns:
        For each address its answer, or the error that kept it from one.
    """
    request = _build_request(config, "GET", path, None)

    async def read(
        address: str,
    ) -> http_client.Response | errors.MothpassError:
        try:
            return await http_client.exchange(
                address, request, timeout_ms=config.timeout_ms
            )
        except errors.MothpassError as error:
            return error

    answers = await asyncio.gather(*(read(x) for x in config.addresses))
    return dict(zip(config.addresses, answers, strict=True))


async def read_version(
    config: configs.Config, version: int | None = None
) -> Version:
    """Reads a catalogue, the one in force without a version.

    Returns:
        The catalogue; version 0 where none has been accepted yet.

    Raises:
        NoDaemonError: Where no daemon answered.
        RefusedError: Where the daemons refused, or don't know the version.
    """
    path = "/v1/catalogue" if version is None else f"/v1/catalogue/{version}"
    try:
        response = await call(config, "GET", path)
        check_status(response)
    except RefusedError as error:
        empty = error.refusal.code == results.Code.NO_CATALOGUE
        if version is None and empty:
            return Version(version=0)
        raise
    found: Version = http_client.decode_body(response, Version)
    return found


async def read_history(config: configs.Config, limit: int) -> list[Change]:
    """Reads the newest changes, newest first.

    Raises:
        NoDaemonError: Where no daemon answered.
        RefusedError: Where the daemons refused.
    """
    response = await call(config, "GET", f"/v1/history?limit={limit}")
    check_status(response)
    found: History = http_client.decode_body(response, History)
    return found.changes


def check_status(response: http_client.Response) -> None:
    """Raises RefusedError unless the status says success."""
    if response.status >= 400:
        raise RefusedError(decode_error(response).error)


def decode_error(response: http_client.Response) -> ErrorAnswer:
    """Decodes an error answer as far as it can be read."""
    try:
        return msgspec.json.decode(response.body, type=ErrorAnswer)
    except msgspec.DecodeError:
        text = response.body[:200].decode(errors="replace")
        message = f"HTTP status {response.status}: {text}"
        return ErrorAnswer(error=Refusal(message=message))


def describe_error(response: http_client.Response) -> str:
    """Returns an error answer as one line for a person."""
    refusal = decode_error(response).error
    label = f"{refusal.code} {refusal.name}".strip()
    return f"{label}: {refusal.message}"


def _had_no_effect(response: http_client.Response) -> bool:
    """Tells whether a failed change certainly had no effect."""
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
