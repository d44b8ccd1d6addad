"""The program `mothpassd`: runs a daemon or checks its settings."""

import logging
import pathlib
import sys

from cleo import exceptions
import cleo.application
import cleo.commands.command
import cleo.helpers
from cleo.io.inputs import argv_input
import uvloop

from mothpass.core import errors
from mothpass.daemon import service
from mothpass.daemon import settings
from mothpass.daemon import telemetry

EXIT_FAILED = 1
EXIT_SETTINGS = 2


class DaemonCommand(cleo.commands.command.Command):
    """Runs a daemon until SIGTERM, then shuts it down gracefully."""

    name = "mothpassd"
    description = "Runs one daemon until SIGTERM."
    arguments = [  # noqa: RUF012
        cleo.helpers.argument(
            "settings", "Path of the JSON settings file.", optional=True
        )
    ]
    options = [  # noqa: RUF012
        cleo.helpers.option(
            "check-settings",
            None,
            "Checks a settings file and exits.",
            flag=False,
        )
    ]

    def handle(self) -> int:
        """Runs the command and returns the exit status."""
        checked = self.option("check-settings")
        path = checked or self.argument("settings")
        if not path:
            print("a settings file is required", file=sys.stderr)
            return EXIT_SETTINGS
        try:
            daemon_settings = settings.decode_settings(
                pathlib.Path(path).read_bytes()
            )
        except (OSError, errors.DocumentError) as error:
            print(error, file=sys.stderr)
            return EXIT_SETTINGS
        return 0 if checked else run_daemon(daemon_settings)


def run_daemon(daemon_settings: settings.Settings) -> int:
    """Runs a daemon and returns the exit status."""
    telemetry.start_logging(daemon_settings.telemetry.log_level)
    try:
        uvloop.run(service.run_daemon(daemon_settings))
    except (OSError, RuntimeError) as error:
        logging.getLogger(__name__).error("daemon not started: %s", error)
        return EXIT_FAILED
    return 0


def main() -> int:
    """Runs the command line and returns its exit status."""
    application = cleo.application.Application("mothpassd")
    application.auto_exits(False)
    application.catch_exceptions(False)
    application.add(DaemonCommand())
    # There is only one command, so users don't type its name.
    arguments = [sys.argv[0], DaemonCommand.name, *sys.argv[1:]]
    try:
        return int(application.run(argv_input.ArgvInput(arguments)))
    except exceptions.CleoError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS


if __name__ == "__main__":
    sys.exit(main())
