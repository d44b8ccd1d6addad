"""Checks models and their mutants with minicheck."""

from collections import abc
import dataclasses
import typing

import minicheck

from spec import results

MAX_STATES = 2_000_000

State = tuple[typing.Any, ...]


def check_model(
    name: str,
    model: minicheck.Protocol,
    mutants: abc.Mapping[str, minicheck.Protocol],
) -> results.SpecResult:
    """Checks all states of a model, and each mutant until it is refuted.

    Args:
        name: Name of the model.
        model: The model with all guards.
        mutants: The model with one guard removed, by the guard's name.

    Returns:
        The result.
    """
    report = minicheck.check_safety(model, max_states=MAX_STATES)
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
        _stop_at_violation(mutant), max_states=MAX_STATES
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
    """Returns the model without transitions after the first violation.

    minicheck would otherwise explore all states. Its search is breadth-first,
    so the first violation has a shortest trace.
    """
    found = False

    def list_transitions(state: State) -> list[tuple[str, State]]:
        nonlocal found
        if found:
            return []
        transitions: list[tuple[str, State]] = model.transitions(state)
        for _, after in transitions:
            fields = model.d(after)
            if not all(holds(fields) for holds in model.invariants.values()):
                found = True
        return transitions

    return dataclasses.replace(model, transitions=list_transitions)


def _find_violation(report: dict[str, typing.Any]) -> tuple[str, list[str]]:
    """Returns the invariant with the shortest counterexample, and its steps."""
    violations = [
        (name, [step["label"] for step in item["counterexample"][1:]])
        for name, item in report["properties"].items()
        if item["holds"] is False
    ]
    if not violations:
        return "", []
    return min(violations, key=lambda item: len(item[1]))
