"""The program `mothpass-spec`: checks the specifications of the protocols."""

import importlib
import pkgutil
import sys
import types

import cleo.application
import cleo.commands.command
import cleo.helpers
from cleo.io.inputs import argv_input
import msgspec

import spec
from spec import results


def find_models() -> dict[str, types.ModuleType]:
    """Returns the modules of ``spec`` with a function ``run``, by name."""
    found: dict[str, types.ModuleType] = {}
    for item in pkgutil.iter_modules(spec.__path__):
        module = importlib.import_module(f"spec.{item.name}")
        if hasattr(module, "run"):
            found[item.name] = module
    return found


class CheckCommand(cleo.commands.command.Command):
    """Checks the named models, or all of them."""

    name = "check"
    description = (
        "Checks models and their mutants; prints a JSON line per model."
    )
    arguments = [
        cleo.helpers.argument(
            "names",
            "Names of the models; all by default.",
            optional=True,
            multiple=True,
        )
    ]
    options = [
        cleo.helpers.option(
            "traces", None, "Print the counterexamples of the mutants."
        )
    ]

    def handle(self) -> int:
        """Runs the checks.

        Returns:
            0 if every model holds in all its states and every mutant is
            refuted, 1 if not, 2 for an unknown model.
        """
        models = find_models()
        names = self.argument("names") or list(models)
        unknown = [name for name in names if name not in models]
        if unknown:
            self.line_error(
                f"no model named {', '.join(unknown)}; "
                f"there are {', '.join(models)}"
            )
            return 2
        checked: list[results.SpecResult] = []
        for name in names:
            for item in models[name].run():
                checked.append(item)
                self._print(item)
        return 0 if all(map(results.is_passed, checked)) else 1

    def _print(self, item: results.SpecResult) -> None:
        self.line(msgspec.json.encode(_summarize(item)).decode())
        if not self.option("traces"):
            return
        for mutant in item.mutants:
            self.line(f"  without: {mutant.name}")
            for step in mutant.trace:
                self.line(f"    {step}")


class MutantSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Printed summary of a mutant; ``steps`` is its counterexample's length."""

    without: str
    refuted: bool
    breaks: str
    steps: int


class Summary(msgspec.Struct, frozen=True, kw_only=True):
    """Printed summary of a model."""

    model: str
    passed: bool
    states: int
    exhaustive: bool
    holds: bool
    trace: list[str]
    mutants: list[MutantSummary]


def _summarize(item: results.SpecResult) -> Summary:
    return Summary(
        model=item.name,
        passed=results.is_passed(item),
        states=item.states,
        exhaustive=item.exhaustive,
        holds=item.holds,
        trace=item.trace,
        mutants=[
            MutantSummary(
                without=mutant.name,
                refuted=mutant.refuted,
                breaks=mutant.invariant,
                steps=len(mutant.trace),
            )
            for mutant in item.mutants
        ],
    )


def main() -> int:
    """Runs the command line and returns the exit code."""
    application = cleo.application.Application("mothpass-spec")
    command = CheckCommand()
    application.add(command)
    arguments = [sys.argv[0], CheckCommand.name, *sys.argv[1:]]
    return int(application.run(argv_input.ArgvInput(arguments)))


if __name__ == "__main__":
    sys.exit(main())
