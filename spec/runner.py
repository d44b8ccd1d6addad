"""Checks models with minicheck, and their mutants."""

from collections import abc
import typing

import minicheck

from spec import results

MOST_STATES = 2_000_000
# A mutant is searched in growing parts, since minicheck goes on after the
# first counterexample.
MUTANT_FIRST_STATES = 2_000
MUTANT_GROWTH = 4


def check_model(
    name: str,
    model: minicheck.Protocol,
    mutants: abc.Mapping[str, minicheck.Protocol],
) -> results.SpecResult:
    """Checks a model in full and each mutant until it is refuted.

    Args:
        name: Name of the model.
        model: The model with all guards.
        mutants: The same with one guard missing, by the guard's name.

    Returns:
        The result.
    """
    report = minicheck.check_safety(model, max_states=MOST_STATES)
    _, trace = _find_violation(report)
    return results.SpecResult(
        name=name,
        states=report["reachable_states"],
        exhaustive=report["exhaustive"],
        holds=all(
            item["holds"] is True for item in report["properties"].values()
        ),
        trace=trace,
        mutants=[
            _check_mutant(guard, mutant) for guard, mutant in mutants.items()
        ],
    )


def _check_mutant(
    guard: str, mutant: minicheck.Protocol
) -> results.MutantResult:
    limit = MUTANT_FIRST_STATES
    while True:
        report = minicheck.check_safety(mutant, max_states=limit)
        invariant, trace = _find_violation(report)
        if invariant or report["exhaustive"] or limit >= MOST_STATES:
            break
        limit *= MUTANT_GROWTH
    return results.MutantResult(
        name=guard,
        states=report["reachable_states"],
        refuted=bool(invariant),
        invariant=invariant,
        trace=trace,
    )


def _find_violation(report: dict[str, typing.Any]) -> tuple[str, list[str]]:
    """Returns the invariant with the shortest counterexample, and its steps."""
    found = [
        (name, [step["label"] for step in item["counterexample"][1:]])
        for name, item in report["properties"].items()
        if item["holds"] is False
    ]
    if not found:
        return "", []
    return min(found, key=lambda item: len(item[1]))
