"""What the check of a specification has shown."""

import msgspec


class MutantResult(msgspec.Struct, frozen=True, kw_only=True):
    """Check of the model with one guard taken out.

    Attributes:
        name: The guard that is missing.
        states: States explored until it was refuted, at most.
        refuted: Whether a counterexample was found, as must be.
        invariant: Invariant that the counterexample breaks; "" without one.
        trace: Labels of its steps, the shortest there are.
    """

    name: str
    states: int
    refuted: bool
    invariant: str
    trace: list[str]


class SpecResult(msgspec.Struct, frozen=True, kw_only=True):
    """Check of one model and its mutants.

    Attributes:
        name: Name of the model.
        states: States explored.
        exhaustive: Whether these are all reachable states.
        holds: Whether every invariant holds in all of them.
        trace: Steps to a violation of the model itself; empty if it holds.
        mutants: Results of the mutants.
    """

    name: str
    states: int
    exhaustive: bool
    holds: bool
    trace: list[str]
    mutants: list[MutantResult]


def is_passed(item: SpecResult) -> bool:
    """Tells whether the model holds in full and no mutant survived."""
    if not (item.exhaustive and item.holds):
        return False
    return all(mutant.refuted for mutant in item.mutants)
