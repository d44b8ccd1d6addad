"""Commands that change the catalogue or show its versions."""

import asyncio
from collections import abc
import datetime
import pathlib
import time
import urllib.parse

import msgspec

from mothpass.control import config as configs
from mothpass.control import differences
from mothpass.control import exits
from mothpass.control import http_client
from mothpass.control import operators
from mothpass.control import outcomes
from mothpass.core import catalogue
from mothpass.core import errors

_STATUS_CONFLICT = 409
_STATUS_INVALID = 422
_POLL_INTERVAL_S = 0.5
_MS_PER_S = 1000.0


class Accepted(msgspec.Struct, frozen=True, kw_only=True):
    """Response to an accepted change."""

    version: int


class _Proposal(msgspec.Struct, frozen=True, kw_only=True):
    base_version: int
    entries: catalogue.Catalogue = msgspec.field(name="catalogue")
    author: str


def check_file(path: str) -> outcomes.Outcome:
    """Checks a catalogue file without contacting a daemon."""
    entries = _read_catalogue(path)
    line = (
        f"{path}: good; teams: {len(entries.teams)}, models: "
        f"{len(entries.models)}, services: {len(entries.services)}"
    )
    return outcomes.Outcome(lines=[line], data={"problems": []})


async def apply_file(
    config: configs.Config, path: str, base: int | None
) -> outcomes.Outcome:
    """Proposes a catalogue file as the next version.

    Args:
        config: Addresses of the daemons and the operator token.
        path: Path of the catalogue file.
        base: Version that the file is based on; None uses the version in
            force, which overwrites changes made by others since.
    """
    entries = _read_catalogue(path)
    if base is None:
        current = await operators.read_version(config)
        if current.entries == entries:
            return _report_unchanged(current.version)
        base = current.version
    proposal = _Proposal(
        base_version=base, entries=entries, author=config.author
    )
    try:
        response = await operators.call(
            config, "PUT", "/v1/catalogue", proposal
        )
        outcome = _build_outcome(response, "accepted as version")
    except operators.UnconfirmedError as error:
        return await _resolve_unconfirmed(config, base, entries, str(error))
    if outcome.data == Accepted(version=base):
        return _report_unchanged(base)
    return outcome


async def set_in_service(
    config: configs.Config, kind: str, name: str, direction: str
) -> outcomes.Outcome:
    """Takes an availability zone or an instance out of service or back in.

    Args:
        config: Addresses of the daemons and the operator token.
        kind: ``availability-zones`` or ``instances``.
        name: Name of the zone or id of the instance.
        direction: ``out`` or ``in``.
    """
    encoded_name = urllib.parse.quote(name, safe="")
    response = await operators.call(
        config,
        "POST",
        f"/v1/{kind}/{encoded_name}/{direction}",
        {"author": config.author},
        idempotent=True,
    )
    return _build_outcome(response, f"{name} is {direction} from version")


async def wait_in_force(
    config: configs.Config, version: int, deadline: float
) -> outcomes.Outcome:
    """Waits until all daemons that respond have a version in force.

    Args:
        config: Addresses of the daemons and the operator token.
        version: Version to wait for; a later one also counts.
        deadline: Monotonic time in seconds.
    """
    while True:
        outdated = await _list_outdated(config, version)
        if not outdated:
            line = (
                f"version {version} is in force on all daemons that responded"
            )
            return outcomes.Outcome(
                lines=[line], data=Accepted(version=version)
            )
        if time.monotonic() >= deadline:
            line = f"not in force yet on {', '.join(outdated)}"
            return outcomes.fail(exits.Exit.UNCONFIRMED, [line])
        await asyncio.sleep(_POLL_INTERVAL_S)


async def show_version(
    config: configs.Config, version: int | None
) -> outcomes.Outcome:
    """Shows the catalogue in force or another version of it."""
    found = await operators.read_version(config, version)
    if found.entries is None:
        return outcomes.fail(exits.Exit.REFUSED, ["no catalogue accepted yet"])
    text = msgspec.json.format(msgspec.json.encode(found.entries)).decode()
    return outcomes.Outcome(lines=[text], data=found)


async def show_differences(
    load: abc.Callable[[str], abc.Awaitable[catalogue.Catalogue]],
    first: str,
    second: str,
) -> outcomes.Outcome:
    """Shows the differences between two files or versions."""
    found = differences.list_differences(await load(first), await load(second))
    lines = [differences.format_difference(item) for item in found]
    return outcomes.Outcome(lines=lines or ["no difference"], data=found)


async def load_operand(
    config: abc.Callable[[], configs.Config], operand: str
) -> catalogue.Catalogue:
    """Loads a version if the operand is a number, otherwise a file.

    Raises:
        RefusedError: If the daemons don't know the version.
    """
    if not operand.isdecimal():
        return _read_catalogue(operand)
    found = await operators.read_version(config(), int(operand))
    if found.entries is None:
        message = f"no version {operand}"
        raise operators.RefusedError(operators.Refusal(message=message))
    return found.entries


async def show_history(config: configs.Config, limit: int) -> outcomes.Outcome:
    """Shows the most recent changes, newest first."""
    found = await operators.read_history(config, limit)
    lines = [
        f"{x.version:>6}  {_format_time(x.at_ms)}  {x.author}  {x.summary}"
        for x in found
    ]
    return outcomes.Outcome(lines=lines or ["no changes yet"], data=found)


def _format_time(at_ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(at_ms / _MS_PER_S, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")


def _read_catalogue(path: str) -> catalogue.Catalogue:
    return catalogue.decode_catalogue(pathlib.Path(path).read_bytes())


def _report_unchanged(version: int) -> outcomes.Outcome:
    line = f"nothing to change: version {version} is the same"
    return outcomes.Outcome(lines=[line], data=Accepted(version=version))


async def _resolve_unconfirmed(
    config: configs.Config,
    base: int,
    entries: catalogue.Catalogue,
    reason: str,
) -> outcomes.Outcome:
    """Determines the outcome of a change whose response was lost.

    An accepted change creates the version directly after its base. If that
    version holds the same catalogue, the change was accepted; if it holds
    another one, another change came first.
    """
    deadline = time.monotonic() + config.timeout_ms / _MS_PER_S
    while time.monotonic() < deadline:
        try:
            found = await operators.read_version(config, base + 1)
        except errors.MothpassError:
            await asyncio.sleep(_POLL_INTERVAL_S)
            continue
        if found.entries == entries:
            line = f"accepted as version {base + 1}, as read back"
            return outcomes.Outcome(
                lines=[line], data=Accepted(version=base + 1)
            )
        line = f"conflict: version {base + 1} is another change"
        return outcomes.fail(exits.Exit.CONFLICT, [line])
    line = f"not known whether it was accepted: {reason}"
    return outcomes.fail(exits.Exit.UNCONFIRMED, [line])


def _build_outcome(
    response: http_client.Response, success: str
) -> outcomes.Outcome:
    """Returns the outcome of a change from its response."""
    if response.status == _STATUS_CONFLICT:
        current = operators.decode_error(response).present_version
        line = f"conflict: the present version is {current}"
        return outcomes.Outcome(
            exit=exits.Exit.CONFLICT,
            lines=[line],
            data={"errors": [line], "present_version": current},
        )
    if response.status == _STATUS_INVALID:
        problems = operators.decode_error(response).problems
        if problems:
            raise errors.DocumentError(problems)
    operators.check_status(response)
    try:
        found: Accepted = http_client.decode_body(response, Accepted)
    except errors.TargetAnswerLostError as error:
        # The change succeeded, but its version is unknown.
        raise operators.UnconfirmedError(str(error)) from error
    return outcomes.Outcome(lines=[f"{success} {found.version}"], data=found)


async def _list_outdated(config: configs.Config, version: int) -> list[str]:
    """Returns the addresses of daemons that report an earlier version."""
    responses = await operators.call_all(config, "/v1/catalogue")
    outdated = []
    for address, response in responses.items():
        if isinstance(response, errors.MothpassError):
            continue
        found = _decode_version(response)
        if found < version:
            outdated.append(address)
    return outdated


def _decode_version(response: http_client.Response) -> int:
    try:
        operators.check_status(response)
    except operators.RefusedError:
        return 0
    found: Accepted = http_client.decode_body(response, Accepted)
    return found.version
