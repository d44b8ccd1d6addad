"""Model of the catalogue: four daemons, two operators who race, one store.

The steps are those of mothpass.core.revisions and mothpass.core.history.
Around them anything may happen in any order: a write is lost before or after
it takes effect, or takes effect late; daemons restart and lose all they knew;
any daemon may be cut from the store, or from any peer, for as long as the
others need, as no step ever has to be taken.
"""

import functools
import typing

import minicheck

from mothpass.core import history
from mothpass.core import revisions
from mothpass.ports import tables
from spec import catalogue_model
from spec import results as spec_results
from spec import runner

# Operators race while daemons restart and writes come late.
RACE = catalogue_model.Scope(daemons=3, operators=2, restarts=2, late=True)
# Daemons start anew while most of the fleet does.
STARTS = catalogue_model.Scope(daemons=4, operators=1, restarts=3, late=False)


def _is_accepted(state: dict[str, typing.Any]) -> bool:
    store: catalogue_model.Log = state["store"]
    return all(
        store[: len(known.log)] == known.log
        for known in state["known"]
        if known.certain
    )


def build_model(
    name: str, rules: catalogue_model.Rules, scope: catalogue_model.Scope
) -> minicheck.Protocol:
    """Builds the model with a set of rules, as far as a scope goes."""
    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=catalogue_model.World._fields,
        initial=catalogue_model.build_initial(scope),
        transitions=functools.partial(catalogue_model.list_moves, rules),
        invariants={
            "only what was accepted is in force": _is_accepted,
            "no daemon goes back": lambda state: not state["went_back"],
            "what was refused is never accepted": lambda state: (
                not (set(state["refused"]) & set(state["store"]))
            ),
        },
    )


class _HistoryOfOnePeer(history.RevisionHistory):
    """Mutant: the word of one peer is enough."""

    __slots__ = ()

    def _update_certainty(self) -> None:
        newest = max(self._peer_versions.values(), default=0)
        if self._peer_versions and self.revision.version >= newest:
            self._confirmed = True


class _HistoryServingAtOnce(history.RevisionHistory):
    """Mutant: a daemon serves whatever it has."""

    __slots__ = ()

    def can_serve(self) -> bool:
        """Tells whether there is anything to serve."""
        return self.revision.version > 0


class _HistoryGoingBack(history.RevisionHistory):
    """Mutant: a snapshot is taken whatever its version."""

    __slots__ = ()

    def install_snapshot(self, snapshot: revisions.Revision) -> bool:
        """Takes the snapshot."""
        self.revision = snapshot
        self._update_certainty()
        return True


def _trust_lost_answer(
    outcome: tables.Committed | tables.Conflict | None, *, lost_before: bool
) -> revisions.CommitStatus:
    if outcome is None:
        return revisions.CommitStatus.ACCEPTED
    return revisions.classify_commit(outcome, lost_before=lost_before)


def _forget_lost_answer(
    outcome: tables.Committed | tables.Conflict | None, *, lost_before: bool
) -> revisions.CommitStatus:
    del lost_before
    return revisions.classify_commit(outcome, lost_before=False)


def run() -> list[spec_results.SpecResult]:
    """Checks the model in both scopes, each with the mutants it refutes."""
    race = {
        "a lost answer is no acceptance": catalogue_model.Rules(
            classify_commit=_trust_lost_answer
        ),
        "a conflict after a lost answer is looked at": catalogue_model.Rules(
            classify_commit=_forget_lost_answer
        ),
        "an older snapshot is refused": catalogue_model.Rules(
            build_history=_HistoryGoingBack
        ),
    }
    starts = {
        "one peer is not enough": catalogue_model.Rules(
            build_history=_HistoryOfOnePeer
        ),
        "a start waits for certainty": catalogue_model.Rules(
            build_history=_HistoryServingAtOnce
        ),
        "only certain peers count": catalogue_model.Rules(uncertain_tell=True),
    }
    return [
        _check("catalogue: races", RACE, race),
        _check("catalogue: starts", STARTS, starts),
    ]


def _check(
    name: str,
    scope: catalogue_model.Scope,
    mutants: dict[str, catalogue_model.Rules],
) -> spec_results.SpecResult:
    return runner.check_model(
        name,
        build_model(name, catalogue_model.Rules(), scope),
        {
            guard: build_model(guard, rules, scope)
            for guard, rules in mutants.items()
        },
    )
