"""Commands that change the catalogue, and those that show its versions."""

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

_CONFLICT = 409
_INVALID = 422
_READ_BACK_PAUSE_S = 0.5
_MS_PER_S = 1000.0


class Accepted(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a change that was accepted."""

    version: int


class _Submission(msgspec.Struct, frozen=True, kw_only=True):
    base_version: int
    entries: catalogue.Catalogue = msgspec.field(name="catalogue")
    author: str


def check_file(path: str) -> outcomes.Outcome:
    """Checks a catalogue file without any daemon."""
    entries = _read_catalogue(path)
    line = (
        f"{path}: good; teams: {len(entries.teams)}, models: "
        f"{len(entries.models)}, services: {len(entries.services)}"
    )
    return outcomes.Outcome(lines=[line], data={"problems": []})


async def apply_file(
    config: configs.Config, path: str, base: int | None
) -> outcomes.Outcome:
    """Submits a catalogue file as the next version.

    Args:
        config: The daemons and the token.
        path: The file.
        base: Version that the file was made from; None takes the one in
            force, and so overwrites what others changed since.
    """
    entries = _read_catalogue(path)
    if base is None:
        present = await operators.read_version(config)
        if present.entries == entries:
            return _tell_unchanged(present.version)
        base = present.version
    submission = _Submission(
        base_version=base, entries=entries, author=config.author
    )
    try:
        response = await operators.call(
            config, "PUT", "/v1/catalogue", submission
        )
        outcome = _conclude(response, "accepted as version")
    except operators.UnconfirmedError as error:
        return await _read_back(config, base, entries, str(error))
    if outcome.data == Accepted(version=base):
        return _tell_unchanged(base)
    return outcome


async def take_out_or_in(
    config: configs.Config, kind: str, name: str, direction: str
) -> outcomes.Outcome:
    """Takes an availability zone or an instance out, or back in.

    Args:
        config: The daemons and the token.
        kind: ``availability-zones`` or ``instances``.
        name: Name or id.
        direction: ``out`` or ``in``.
    """
    quoted = urllib.parse.quote(name, safe="")
    response = await operators.call(
        config,
        "POST",
        f"/v1/{kind}/{quoted}/{direction}",
        {"author": config.author},
        idempotent=True,
    )
    return _conclude(response, f"{name} is {direction} from version")


async def wait_in_force(
    config: configs.Config, version: int, deadline: float
) -> outcomes.Outcome:
    """Waits until each daemon that answers has a version in force.

    Args:
        config: The daemons and the token.
        version: The version, or a later one.
        deadline: Monotonic seconds.
    """
    while True:
        behind = await _list_behind(config, version)
        if not behind:
            line = f"version {version} is in force on all that answer"
            return outcomes.Outcome(
                lines=[line], data=Accepted(version=version)
            )
        if time.monotonic() >= deadline:
            line = f"not in force yet on {', '.join(behind)}"
            return outcomes.fail(exits.Exit.UNCONFIRMED, [line])
        await asyncio.sleep(_READ_BACK_PAUSE_S)


async def show_version(
    config: configs.Config, version: int | None
) -> outcomes.Outcome:
    """Shows the catalogue in force or an earlier one."""
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
    """Shows what differs between two files or versions."""
    found = differences.list_differences(await load(first), await load(second))
    lines = [differences.format_difference(item) for item in found]
    return outcomes.Outcome(lines=lines or ["no difference"], data=found)


async def load_operand(
    config: abc.Callable[[], configs.Config], operand: str
) -> catalogue.Catalogue:
    """Loads a file, or a version where the operand is a number.

    Raises:
        RefusedError: Where the daemons don't know the version.
    """
    if not operand.isdecimal():
        return _read_catalogue(operand)
    found = await operators.read_version(config(), int(operand))
    if found.entries is None:
        message = f"no version {operand}"
        raise operators.RefusedError(operators.Refusal(message=message))
    return found.entries


async def show_history(config: configs.Config, limit: int) -> outcomes.Outcome:
    """Shows the newest changes, newest first."""
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


def _tell_unchanged(version: int) -> outcomes.Outcome:
    line = f"nothing to change: version {version} is the same"
    return outcomes.Outcome(lines=[line], data=Accepted(version=version))


async def _read_back(
    config: configs.Config,
    base: int,
    entries: catalogue.Catalogue,
    reason: str,
) -> outcomes.Outcome:
    """Learns the fate of a change whose answer was lost.

    A change that is accepted makes the version right after its base, so that
    version tells: the same catalogue there means accepted, another one means
    that another change came first.
    """
    deadline = time.monotonic() + config.timeout_ms / _MS_PER_S
    while time.monotonic() < deadline:
        try:
            found = await operators.read_version(config, base + 1)
        except errors.MothpassError:
            await asyncio.sleep(_READ_BACK_PAUSE_S)
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


def _conclude(response: http_client.Response, success: str) -> outcomes.Outcome:
    """Turns the answer to a change into an outcome."""
    if response.status == _CONFLICT:
        present = operators.decode_error(response).present_version
        line = f"conflict: the present version is {present}"
        return outcomes.Outcome(
            exit=exits.Exit.CONFLICT,
            lines=[line],
            data={"errors": [line], "present_version": present},
        )
    if response.status == _INVALID:
        problems = operators.decode_error(response).problems
        if problems:
            raise errors.DocumentError(problems)
    operators.check_status(response)
    try:
        found: Accepted = http_client.decode_body(response, Accepted)
    except errors.TargetAnswerLostError as error:
        # The status says success, but not of which version.
        raise operators.UnconfirmedError(str(error)) from error
    return outcomes.Outcome(lines=[f"{success} {found.version}"], data=found)


async def _list_behind(config: configs.Config, version: int) -> list[str]:
    """Returns the addresses that answer with an earlier version."""
    answers = await operators.call_each(config, "/v1/catalogue")
    behind = []
    for address, answer in answers.items():
        if isinstance(answer, errors.MothpassError):
            continue
        found = _decode_version(answer)
        if found < version:
            behind.append(address)
    return behind


def _decode_version(response: http_client.Response) -> int:
    try:
        operators.check_status(response)
    except operators.RefusedError:
        return 0
    found: Accepted = http_client.decode_body(response, Accepted)
    return found.version
