"""Runs one stand-in of an engine, a service or a part of the platform."""

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
    """One kind of stand-in.

    Attributes:
        name: Name of its subcommand.
        description: What it stands in for.
        settings: Type of its settings.
        run: Serves it until it is told to stop.
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
    kind: Kind, config: bytes | None, given: dict[str, str]
) -> msgspec.Struct:
    """Joins and checks the settings of a stand-in.

    Args:
        kind: Kind of stand-in.
        config: JSON object with settings, None for none.
        given: Further settings by name, each JSON or else plain text; they
            go before those of the object.

    Returns:
        Settings of the type that the kind has.

    Raises:
        errors.DocumentError: With every fault found.
    """
    fields: object = {}
    if config is not None:
        fields = _decode(config)
    if isinstance(fields, dict):
        fields |= {name: _read_value(text) for name, text in given.items()}
    document = json.dumps(fields).encode()
    return documents.decode_document(document, kind.settings)


def _decode(config: bytes) -> object:
    try:
        return json.loads(config)
    except ValueError as error:
        problem = errors.Problem(path="$", message=f"not JSON: {error}")
        raise errors.DocumentError([problem]) from error


def _read_value(text: str) -> object:
    try:
        return json.loads(text)
    except ValueError:
        return text


def _list_fields(kind: Kind) -> list[str]:
    fields = msgspec.structs.fields(kind.settings)
    return [field.encode_name for field in fields]


def _build_command(kind: Kind) -> cleo.commands.command.Command:
    """Returns the subcommand of a kind, with an option for each setting."""
    fields = _list_fields(kind)

    class StandinCommand(cleo.commands.command.Command):
        """Serves one stand-in."""

        name = kind.name
        description = kind.description
        options: typing.ClassVar[list[typing.Any]] = [
            cleo.helpers.option("config", None, "JSON file.", flag=False),
            *(
                cleo.helpers.option(
                    field.replace("_", "-"), None, f"{field}.", flag=False
                )
                for field in fields
            ),
        ]

        def handle(self) -> int:
            given = {
                field: self.option(field.replace("_", "-"))
                for field in fields
                if self.option(field.replace("_", "-")) is not None
            }
            path = self.option("config")
            try:
                config = pathlib.Path(path).read_bytes() if path else None
                options = read_settings(kind, config, given)
            except (OSError, errors.DocumentError) as error:
                print(error, file=sys.stderr)
                return EXIT_SETTINGS
            uvloop.run(kind.run(options))
            return 0

    return StandinCommand()


def build_application() -> cleo.application.Application:
    """Returns the command line with all subcommands."""
    application = cleo.application.Application("mothpass-standin")
    for kind in KINDS:
        application.add(_build_command(kind))
    return application


def main() -> int:
    """Runs the command line and returns its exit status."""
    return int(build_application().run())


if __name__ == "__main__":
    sys.exit(main())
