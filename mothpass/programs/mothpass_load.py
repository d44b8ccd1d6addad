"""The program `mothpass-load`: generates load and checks every response."""

import pathlib
import sys
import typing

from cleo import application
from cleo import exceptions
from cleo import helpers
from cleo.commands import command
import msgspec
import uvloop

from mothpass.core import errors
from mothpass.load import comparison
from mothpass.load import demonstration
from mothpass.load import runner
from mothpass.load import samples
from mothpass.load import series
from mothpass.load import summaries

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
_READY_TIMEOUT_S = 20


class _Command(command.Command):
    """Base of all commands; maps errors to exit codes."""

    def run_command(self) -> int:
        """Executes the command and returns the exit code."""
        raise NotImplementedError

    def handle(self) -> int:
        """Runs the command and returns the exit code."""
        try:
            return self.run_command()
        except (errors.DocumentError, msgspec.DecodeError, OSError) as error:
            print(str(error), file=sys.stderr)
            return EXIT_BAD_INPUT
        except errors.MothpassError as error:
            print(str(error), file=sys.stderr)
            return EXIT_FAILED


class _Run(_Command):
    name = "run"
    description = (
        "Runs a profile; exits with 1 on wrong, lost or untrue answers."
    )
    arguments = [helpers.argument("profile", "Path of the JSON profile.")]
    options = [
        helpers.option(
            "output", "o", "Path of the JSON lines output file.", flag=False
        ),
        helpers.option("check", None, "Check the profile without running it."),
        helpers.option(
            "seed", None, "Seed that overrides the profile's.", flag=False
        ),
    ]

    def run_command(self) -> int:
        path = pathlib.Path(self.argument("profile"))
        plan = runner.read_plan(path, seed=_parse_seed(self.option("seed")))
        if self.option("check"):
            print("good")
            return EXIT_OK
        summary = _run_plan(plan, self.option("output"))
        print(msgspec.json.encode(summary).decode(), flush=True)
        bad = (samples.Fate.WRONG, samples.Fate.LOST)
        has_failed = any(summary.fates.get(fate, 0) for fate in bad)
        is_untrue = summary.audit is not None and not summary.audit.good
        return EXIT_FAILED if has_failed or is_untrue else EXIT_OK


class _Compare(_Command):
    name = "compare"
    description = "Compares two result files."
    arguments = [
        helpers.argument("before", "Path of a result file."),
        helpers.argument("after", "Path of a result file."),
    ]
    options = [
        helpers.option("json", None, "Print JSON, for scripts."),
        helpers.option(
            "bound",
            "b",
            "Most growth of a time in percent; exits with 1 above it.",
            flag=False,
        ),
    ]

    def run_command(self) -> int:
        rows = comparison.compare_summaries(
            summaries.summarize_file(pathlib.Path(self.argument("before"))),
            summaries.summarize_file(pathlib.Path(self.argument("after"))),
        )
        if self.option("json"):
            print(msgspec.json.encode(rows).decode())
        else:
            print("\n".join(comparison.format_rows(rows)))
        bound = _parse_percent(self.option("bound"))
        if bound is None:
            return EXIT_OK
        regressions = comparison.list_regressions(rows, bound)
        for row in regressions:
            print(f"growth above the bound: {row.name}", file=sys.stderr)
        return EXIT_FAILED if regressions else EXIT_OK


class _Report(_Command):
    name = "report"
    description = "Plots result files and bench output as an HTML page."
    arguments = [
        helpers.argument(
            "files",
            "Result files, their baselines and bench output.",
            multiple=True,
        )
    ]
    options = [
        helpers.option("output", "o", "Path of the HTML file.", flag=False)
    ]

    def run_command(self) -> int:
        # Imported here because the plotting library is optional.
        from mothpass.load import report

        paths = [pathlib.Path(name) for name in self.argument("files")]
        runs, measures = [], []
        for path in paths:
            file_measures = series.read_measures(path)
            measures += file_measures
            if not file_measures:
                runs.append(series.read_run(path))
        output = pathlib.Path(self.option("output") or "report.html")
        page = report.build_page(runs, measures)
        output.write_text(page, encoding="utf-8")
        print(output)
        return EXIT_OK


class _Demo(_Command):
    name = "demo"
    description = "Sends the example chats of a running deployment."
    arguments = [helpers.argument("folder", "Folder of the deployment.")]

    def run_command(self) -> int:
        totals = _run_demo(pathlib.Path(self.argument("folder")))
        print(msgspec.json.encode(totals).decode(), flush=True)
        return EXIT_OK if totals.good else EXIT_FAILED


def build_application() -> application.Application:
    """Returns the command-line application with all commands."""
    app = application.Application("mothpass-load")
    app.auto_exits(False)
    app.catch_exceptions(False)
    for command_type in (_Run, _Compare, _Report, _Demo):
        app.add(command_type())
    return app


def main() -> int:
    """Runs the command line and returns the exit code."""
    try:
        return build_application().run()
    except exceptions.CleoError as error:
        print(str(error), file=sys.stderr)
        return EXIT_BAD_INPUT


def _run_plan(plan: runner.Plan, output: str | None) -> samples.Summary:
    path = pathlib.Path(output or f"{pathlib.Path(plan.name).stem}.jsonl")
    with path.open("wb") as file:
        return uvloop.run(
            runner.run_plan(plan, typing.cast(typing.BinaryIO, file))
        )


def _run_demo(folder: pathlib.Path) -> demonstration.Totals:
    try:
        return uvloop.run(
            demonstration.run_demo(
                folder,
                write_line=lambda line: print(line, flush=True),
                ready_timeout_s=_READY_TIMEOUT_S,
            )
        )
    except TimeoutError as error:
        print(str(error), file=sys.stderr)
        return demonstration.Totals()


def _parse_seed(text: str | None) -> int | None:
    if text is None:
        return None
    if not text.isdecimal():
        problem = errors.Problem(path="--seed", message="expected a number")
        raise errors.DocumentError([problem])
    return int(text)


def _parse_percent(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        return float(text)
    except ValueError as error:
        problem = errors.Problem(path="--bound", message="expected a number")
        raise errors.DocumentError([problem]) from error


if __name__ == "__main__":
    sys.exit(main())
