"""The operators' command-line program `mothpassctl`."""

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

_WATCH_INTERVAL_S = 2.0
_DEFAULT_HISTORY_LIMIT = 20
_CLEAR_SCREEN = "\x1b[2J\x1b[H"
_JSON_OPTION = helpers.option("json", None, "Print JSON, for scripts.")
_COMMON_OPTIONS = [
    helpers.option(
        "config", "c", "Path of the JSON configuration file.", flag=False
    ),
    helpers.option(
        "operators", "o", "Comma-separated operators' addresses.", flag=False
    ),
    helpers.option("token", None, "Operator token.", flag=False),
    helpers.option("author", None, "Author recorded with changes.", flag=False),
    _JSON_OPTION,
]


class _Command(command.Command):
    """Base of all commands: common options, output and exit codes."""

    options = _COMMON_OPTIONS

    def run_command(self) -> outcomes.Outcome:
        """Executes the command and returns its outcome."""
        raise NotImplementedError

    def handle(self) -> int:
        """Runs the command, prints its outcome and returns the exit code."""
        try:
            outcome = self.run_command()
        except (errors.MothpassError, OSError) as error:
            outcome = outcomes.describe_failure(error)
        _print_outcome(outcome, as_json=bool(self.option("json")))
        return int(outcome.exit)

    def build_config(self) -> configs.Config:
        """Returns the configuration of the command."""
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
    description = "Checks a catalogue file without contacting a daemon."
    arguments = [helpers.argument("file", "Path of the catalogue file.")]

    def run_command(self) -> outcomes.Outcome:
        return changes.check_file(self.argument("file"))


class _Apply(_Command):
    name = "apply"
    description = "Proposes a catalogue file as the next version."
    arguments = [helpers.argument("file", "Path of the catalogue file.")]
    options = [
        *_COMMON_OPTIONS,
        helpers.option(
            "base", "b", "Version that the file is based on.", flag=False
        ),
        helpers.option(
            "wait", "w", "Seconds to wait until it is in force.", flag=False
        ),
    ]

    def run_command(self) -> outcomes.Outcome:
        base = _parse_number("base", self.option("base"))
        wait_s = _parse_number("wait", self.option("wait"))
        return asyncio.run(
            _apply(self.build_config(), self.argument("file"), base, wait_s)
        )


class _Show(_Command):
    name = "show"
    description = "Shows the catalogue in force or another version."
    arguments = [helpers.argument("number", "Version number.", optional=True)]

    def run_command(self) -> outcomes.Outcome:
        version = _parse_number("number", self.argument("number"))
        return asyncio.run(changes.show_version(self.build_config(), version))


class _Diff(_Command):
    name = "diff"
    description = "Shows the differences between two files or versions."
    arguments = [
        helpers.argument("first", "Path of a file, or a version number."),
        helpers.argument("second", "Path of a file, or a version number."),
    ]

    def run_command(self) -> outcomes.Outcome:
        first = self.argument("first")
        second = self.argument("second")
        return asyncio.run(
            changes.show_differences(
                lambda operand: changes.load_operand(
                    self.build_config, operand
                ),
                first,
                second,
            )
        )


class _History(_Command):
    name = "history"
    description = "Shows the changes of the catalogue, newest first."
    options = [
        *_COMMON_OPTIONS,
        helpers.option("limit", "l", "Number of changes to show.", flag=False),
    ]

    def run_command(self) -> outcomes.Outcome:
        limit = _parse_number("limit", self.option("limit"))
        return asyncio.run(
            changes.show_history(
                self.build_config(), limit or _DEFAULT_HISTORY_LIMIT
            )
        )


class _ServiceChange(_Command):
    """Base of the commands that take something out of service or back in."""

    kind = ""
    direction = ""
    arguments = [helpers.argument("id", "Name or id.")]

    def run_command(self) -> outcomes.Outcome:
        return asyncio.run(
            changes.set_in_service(
                self.build_config(),
                self.kind,
                self.argument("id"),
                self.direction,
            )
        )


class _ZoneOut(_ServiceChange):
    name = "zone out"
    description = "Takes an availability zone out of service."
    kind = "availability-zones"
    direction = "out"


class _ZoneIn(_ServiceChange):
    name = "zone in"
    description = "Takes an availability zone back into service."
    kind = "availability-zones"
    direction = "in"


class _InstanceOut(_ServiceChange):
    name = "instance out"
    description = "Takes an instance out of service."
    kind = "instances"
    direction = "out"


class _InstanceIn(_ServiceChange):
    name = "instance in"
    description = "Takes an instance back into service."
    kind = "instances"
    direction = "in"


class _Status(_Command):
    name = "status"
    description = (
        "Shows the status of the fleet; partial if daemons don't respond."
    )
    options = [
        *_COMMON_OPTIONS,
        helpers.option("watch", "w", "Refresh every two seconds."),
    ]

    def run_command(self) -> outcomes.Outcome:
        config = self.build_config()
        if not self.option("watch"):
            return _read_status(config)
        try:
            while True:
                outcome = _read_status(config)
                print(_CLEAR_SCREEN, end="")
                _print_outcome(outcome, as_json=bool(self.option("json")))
                time.sleep(_WATCH_INTERVAL_S)
        except KeyboardInterrupt:
            # Interrupting is the usual way to stop watching, not an error.
            return outcomes.Outcome(lines=[], data=None)


class _Settings(_Command):
    name = "settings"
    description = "Writes the settings files for a folder's fleet.json."
    arguments = [
        helpers.argument("folder", "Folder with fleet.json and keys.json.")
    ]

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
    """Returns the command-line application with all commands."""
    app = application.Application("mothpassctl", _read_version())
    app.auto_exits(False)
    app.catch_exceptions(False)
    for command_type in _COMMANDS:
        app.add(command_type())
    return app


def main() -> int:
    """Runs the command line and returns the exit code."""
    try:
        return build_application().run()
    except exceptions.CleoError as error:
        print(str(error), file=sys.stderr)
        return int(exits.Exit.BAD_INPUT)


def _read_version() -> str:
    return metadata.version("mothpass")


async def _apply(
    config: configs.Config, path: str, base: int | None, wait_s: int | None
) -> outcomes.Outcome:
    outcome = await changes.apply_file(config, path, base)
    if wait_s is None or outcome.exit is not exits.Exit.DONE:
        return outcome
    version = typing.cast(changes.Accepted, outcome.data).version
    in_force = await changes.wait_in_force(
        config, version, time.monotonic() + wait_s
    )
    return outcomes.Outcome(
        exit=in_force.exit,
        lines=[*outcome.lines, *in_force.lines],
        data=in_force.data,
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
    is_done = outcome.exit is exits.Exit.DONE
    stream = sys.stdout if is_done else sys.stderr
    print("\n".join(outcome.lines), file=stream, flush=True)


if __name__ == "__main__":
    sys.exit(main())
