"""Checks models with minicheck, and their mutants."""

from collections import abc
import dataclasses
import typing

import minicheck

from spec import results

MOST_STATES = 2_000_000

State = tuple[typing.Any, ...]


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
    report = minicheck.check_safety(
        _stop_at_violation(mutant), max_states=MOST_STATES
    )
    invariant, trace = _find_violation(report)
    return results.MutantResult(
        name=guard,
        states=report["reachable_states"],
        refuted=bool(invariant),
        invariant=invariant,
        trace=trace,
    )


def _stop_at_violation(model: minicheck.Protocol) -> minicheck.Protocol:
    """Returns the model without the steps after the first violation.

    minicheck goes on to the last state otherwise; its search is breadth
    first, so that the first violation has the shortest trace.
    """
    found = False

    def list_moves(state: State) -> list[tuple[str, State]]:
        nonlocal found
        if found:
            return []
        moves: list[tuple[str, State]] = model.transitions(state)
        for _, after in moves:
            fields = model.d(after)
            if not all(holds(fields) for holds in model.invariants.values()):
                found = True
        return moves

    return dataclasses.replace(model, transitions=list_moves)


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
