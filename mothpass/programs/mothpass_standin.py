"""The program `mothpass-standin`: runs a target or platform stand-in."""

from collections import abc
import json
import pathlib
import sys
import typing

import cleo.application
import cleo.commands.command
import cleo.helpers
import msgspec
import uvloop

from mothpass.core import documents
from mothpass.core import errors
from mothpass.standin import engine_http
from mothpass.standin import members
from mothpass.standin import objects
from mothpass.standin import service
from mothpass.standin import settings
from mothpass.standin import tables

EXIT_SETTINGS = 2


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """Kind of stand-in.

    Attributes:
        name: Name of the subcommand.
        description: Description of what it stands in for.
        settings: Type of the settings.
        run: Runs the stand-in until it is stopped.
    """

    name: str
    description: str
    settings: type[msgspec.Struct]
    run: abc.Callable[[typing.Any], abc.Coroutine[typing.Any, typing.Any, None]]


KINDS = (
    Kind(
        name="engine",
        description="A model engine.",
        settings=settings.EngineSettings,
        run=engine_http.run,
    ),
    Kind(
        name="service",
        description="A plain service with a ledger.",
        settings=settings.ServiceSettings,
        run=service.run,
    ),
    Kind(
        name="table",
        description="The platform's table service.",
        settings=settings.TableSettings,
        run=tables.run,
    ),
    Kind(
        name="objects",
        description="The platform's object store.",
        settings=settings.ObjectsSettings,
        run=objects.run,
    ),
    Kind(
        name="members",
        description="The platform's membership list.",
        settings=settings.MembersSettings,
        run=members.run,
    ),
)


def read_settings(
    kind: Kind, config: bytes | None, overrides: dict[str, str]
) -> msgspec.Struct:
    """Merges and validates the settings of a stand-in.

    Args:
        kind: Kind of stand-in.
        config: JSON object with settings, or None.
        overrides: Settings by name, each JSON or plain text; they take
            precedence over those of the object.

    Returns:
        Settings of the kind's type.

    Raises:
        errors.DocumentError: If the settings are invalid, with all problems.
    """
    fields: object = {}
    if config is not None:
        fields = _decode_config(config)
    if isinstance(fields, dict):
        fields |= {name: _parse_value(text) for name, text in overrides.items()}
    document = json.dumps(fields).encode()
    return documents.decode_document(document, kind.settings)


def _decode_config(config: bytes) -> object:
    try:
        return json.loads(config)
    except ValueError as error:
        problem = errors.Problem(path="$", message=f"not JSON: {error}")
        raise errors.DocumentError([problem]) from error


def _parse_value(text: str) -> object:
    try:
        return json.loads(text)
    except ValueError:
        return text


def _list_fields(kind: Kind) -> list[str]:
    fields = msgspec.structs.fields(kind.settings)
    return [field.encode_name for field in fields]


def _build_command(kind: Kind) -> cleo.commands.command.Command:
    """Returns the subcommand of a kind, with an option per setting."""
    fields = _list_fields(kind)

    class StandinCommand(cleo.commands.command.Command):
        """Runs one stand-in."""

        name = kind.name
        description = kind.description
        options: typing.ClassVar[list[typing.Any]] = [
            cleo.helpers.option(
                "config", None, "Path of a JSON file.", flag=False
            ),
            *(
                cleo.helpers.option(
                    field.replace("_", "-"), None, f"{field}.", flag=False
                )
                for field in fields
            ),
        ]

        def handle(self) -> int:
            overrides = {
                field: self.option(field.replace("_", "-"))
                for field in fields
                if self.option(field.replace("_", "-")) is not None
            }
            path = self.option("config")
            try:
                config = pathlib.Path(path).read_bytes() if path else None
                options = read_settings(kind, config, overrides)
            except (OSError, errors.DocumentError) as error:
                print(error, file=sys.stderr)
                return EXIT_SETTINGS
            uvloop.run(kind.run(options))
            return 0

    return StandinCommand()


def build_application() -> cleo.application.Application:
    """Returns the command-line application with all subcommands."""
    application = cleo.application.Application("mothpass-standin")
    for kind in KINDS:
        application.add(_build_command(kind))
    return application


def main() -> int:
    """Runs the command line and returns the exit code."""
    return int(build_application().run())


if __name__ == "__main__":
    sys.exit(main())
