"""`mothpassctl`: the operators' command line."""

import asyncio
from importlib import metadata
import os
import pathlib
import sys
import time
import typing

from cleo import application
from cleo import exceptions
from cleo import helpers
from cleo.commands import command
import msgspec

from mothpass.control import changes
from mothpass.control import config as configs
from mothpass.control import exits
from mothpass.control import fleet_status
from mothpass.control import fleets
from mothpass.control import outcomes
from mothpass.core import errors

_WATCH_PAUSE_S = 2.0
_HISTORY_LIMIT = 20
_CLEAR_SCREEN = "\x1b[2J\x1b[H"
_JSON = helpers.option("json", None, "Print JSON, for scripts.")
_COMMON = [
    helpers.option("config", "c", "JSON file with addresses.", flag=False),
    helpers.option("operators", "o", "Addresses, by comma.", flag=False),
    helpers.option("token", None, "Operator token.", flag=False),
    helpers.option("author", None, "Name kept with changes.", flag=False),
    _JSON,
]


class _Command(command.Command):
    """Shared options of all commands, and how they end."""

    options = _COMMON

    def run_command(self) -> outcomes.Outcome:
        """Does the work of the command."""
        raise NotImplementedError

    def handle(self) -> int:
        """Runs the command, prints its outcome and returns the exit code."""
        try:
            outcome = self.run_command()
        except (errors.MothpassError, OSError) as error:
            outcome = outcomes.describe_failure(error)
        _print_outcome(outcome, as_json=bool(self.option("json")))
        return int(outcome.exit)

    def resolve(self) -> configs.Config:
        """Returns the daemons and the token to use."""
        return configs.resolve_config(
            configs.Options(
                config=self.option("config"),
                addresses=self.option("operators"),
                token=self.option("token"),
                author=self.option("author"),
            ),
            os.environ,
        )


class _Check(_Command):
    name = "check"
    description = "Checks a catalogue file; asks no daemon."
    arguments = [helpers.argument("file", "The catalogue.")]

    def run_command(self) -> outcomes.Outcome:
        return changes.check_file(self.argument("file"))


class _Apply(_Command):
    name = "apply"
    description = "Makes a catalogue file the next version."
    arguments = [helpers.argument("file", "The catalogue.")]
    options = [
        *_COMMON,
        helpers.option(
            "base", "b", "Version the file was made from.", flag=False
        ),
        helpers.option(
            "wait", "w", "Seconds to wait until all have it.", flag=False
        ),
    ]

    def run_command(self) -> outcomes.Outcome:
        base = _parse_number("base", self.option("base"))
        wait_s = _parse_number("wait", self.option("wait"))
        return asyncio.run(
            _apply(self.resolve(), self.argument("file"), base, wait_s)
        )


class _Show(_Command):
    name = "show"
    description = "Shows the catalogue in force or an earlier version."
    arguments = [
        helpers.argument("number", "Number of a version.", optional=True)
    ]

    def run_command(self) -> outcomes.Outcome:
        version = _parse_number("number", self.argument("number"))
        return asyncio.run(changes.show_version(self.resolve(), version))


class _Diff(_Command):
    name = "diff"
    description = "Shows what differs between two files or versions."
    arguments = [
        helpers.argument("first", "A file, or the number of a version."),
        helpers.argument("second", "A file, or the number of a version."),
    ]

    def run_command(self) -> outcomes.Outcome:
        first = self.argument("first")
        second = self.argument("second")
        return asyncio.run(
            changes.show_differences(
                lambda operand: changes.load_operand(self.resolve, operand),
                first,
                second,
            )
        )


class _History(_Command):
    name = "history"
    description = "Shows who changed what, newest first."
    options = [
        *_COMMON,
        helpers.option("limit", "l", "Changes to show.", flag=False),
    ]

    def run_command(self) -> outcomes.Outcome:
        limit = _parse_number("limit", self.option("limit"))
        return asyncio.run(
            changes.show_history(self.resolve(), limit or _HISTORY_LIMIT)
        )


class _Moving(_Command):
    """Takes something out of service, or back in."""

    kind = ""
    direction = ""
    arguments = [helpers.argument("id", "Its name or id.")]

    def run_command(self) -> outcomes.Outcome:
        return asyncio.run(
            changes.set_in_service(
                self.resolve(), self.kind, self.argument("id"), self.direction
            )
        )


class _ZoneOut(_Moving):
    name = "zone out"
    description = "Takes an availability zone out of service."
    kind = "availability-zones"
    direction = "out"


class _ZoneIn(_Moving):
    name = "zone in"
    description = "Brings an availability zone back."
    kind = "availability-zones"
    direction = "in"


class _InstanceOut(_Moving):
    name = "instance out"
    description = "Takes an instance out of service."
    kind = "instances"
    direction = "out"


class _InstanceIn(_Moving):
    name = "instance in"
    description = "Brings an instance back."
    kind = "instances"
    direction = "in"


class _Status(_Command):
    name = "status"
    description = "Shows what all daemons say, in part if some don't answer."
    options = [
        *_COMMON,
        helpers.option("watch", "w", "Show it again every two seconds."),
    ]

    def run_command(self) -> outcomes.Outcome:
        config = self.resolve()
        if not self.option("watch"):
            return _read_status(config)
        try:
            while True:
                outcome = _read_status(config)
                print(_CLEAR_SCREEN, end="")
                _print_outcome(outcome, as_json=bool(self.option("json")))
                time.sleep(_WATCH_PAUSE_S)
        except KeyboardInterrupt:
            # The usual way to end it, and no refusal.
            return outcomes.Outcome(lines=[], data=None)


class _Settings(_Command):
    name = "settings"
    description = "Writes the daemons' settings from a folder's fleet.json."
    arguments = [helpers.argument("folder", "Has fleet.json and keys.json.")]

    def run_command(self) -> outcomes.Outcome:
        folder = pathlib.Path(self.argument("folder"))
        paths = [str(path) for path in fleets.write_settings(folder)]
        return outcomes.Outcome(lines=paths, data=paths)


_COMMANDS: list[type[_Command]] = [
    _Check,
    _Apply,
    _Show,
    _Diff,
    _History,
    _ZoneOut,
    _ZoneIn,
    _InstanceOut,
    _InstanceIn,
    _Status,
    _Settings,
]


def build_application() -> application.Application:
    """Returns the command line with all its commands."""
    app = application.Application("mothpassctl", _read_release())
    app.auto_exits(False)
    app.catch_exceptions(False)
    for kind in _COMMANDS:
        app.add(kind())
    return app


def main() -> int:
    """Runs the command line and returns the exit code."""
    try:
        return build_application().run()
    except exceptions.CleoError as error:
        print(str(error), file=sys.stderr)
        return int(exits.Exit.BAD_INPUT)


def _read_release() -> str:
    return metadata.version("mothpass")


async def _apply(
    config: configs.Config, path: str, base: int | None, wait_s: int | None
) -> outcomes.Outcome:
    outcome = await changes.apply_file(config, path, base)
    if wait_s is None or outcome.exit is not exits.Exit.DONE:
        return outcome
    version = typing.cast(changes.Accepted, outcome.data).version
    waited = await changes.wait_in_force(
        config, version, time.monotonic() + wait_s
    )
    return outcomes.Outcome(
        exit=waited.exit,
        lines=[*outcome.lines, *waited.lines],
        data=waited.data,
    )


def _read_status(config: configs.Config) -> outcomes.Outcome:
    return fleet_status.build_outcome(
        asyncio.run(fleet_status.read_fleet_status(config))
    )


def _parse_number(name: str, text: str | None) -> int | None:
    if text is None:
        return None
    if not text.isdecimal():
        problem = errors.Problem(path=name, message="expected a number")
        raise errors.DocumentError([problem])
    return int(text)


def _print_outcome(outcome: outcomes.Outcome, *, as_json: bool) -> None:
    if as_json:
        print(msgspec.json.encode(outcome.data).decode(), flush=True)
        return
    good = outcome.exit is exits.Exit.DONE
    stream = sys.stdout if good else sys.stderr
    print("\n".join(outcome.lines), file=stream, flush=True)


if __name__ == "__main__":
    sys.exit(main())
