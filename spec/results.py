"""Results of checking a model and its mutants."""

import msgspec


class MutantResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result for a mutant, the model with one guard removed.

    Attributes:
        name: The removed guard.
        states: States explored; the search stops once it is refuted.
        refuted: Whether a counterexample was found, as is required.
        invariant: Invariant that the counterexample breaks; "" without one.
        trace: Labels of the steps of a shortest counterexample.
    """

    name: str
    states: int
    refuted: bool
    invariant: str
    trace: list[str]


class SpecResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result for one model and its mutants.

    Attributes:
        name: Name of the model.
        states: States explored.
        exhaustive: Whether these are all reachable states.
        holds: Whether every invariant holds in all of them.
        trace: Labels of the steps of a shortest counterexample; empty if the
            model holds.
        mutants: Results of the mutants.
    """

    name: str
    states: int
    exhaustive: bool
    holds: bool
    trace: list[str]
    mutants: list[MutantResult]


def is_passed(item: SpecResult) -> bool:
    """Returns whether the model holds in all states and no mutant survived."""
    if not (item.exhaustive and item.holds):
        return False
    return all(mutant.refuted for mutant in item.mutants)
