"""Checks a model of the catalogue: four daemons, two operators, one store.

The steps call mothpass.core.revisions and mothpass.core.history. Faults may
occur in any order between them: a write is lost before or after it takes
effect, or takes effect late; a daemon restarts and loses its state. No step
has to be taken, so any daemon may be partitioned from the store or from any
peer for any time.
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

# Concurrent changes of two operators, with restarts and late writes.
RACE = catalogue_model.Scope(
    daemons=3, operators=2, restarts=2, delays_writes=True
)
# Restarts of most of the fleet.
STARTS = catalogue_model.Scope(
    daemons=4, operators=1, restarts=3, delays_writes=False
)


def _is_accepted(state: dict[str, typing.Any]) -> bool:
    store: catalogue_model.Log = state["store"]
    return all(
        store[: len(known.log)] == known.log
        for known in state["known"]
        if known.may_serve
    )


def build_model(
    name: str, rules: catalogue_model.Rules, scope: catalogue_model.Scope
) -> minicheck.Protocol:
    """Builds the model from the rules, within the bounds of a scope."""
    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=catalogue_model.ModelState._fields,
        initial=catalogue_model.build_initial(scope),
        transitions=functools.partial(catalogue_model.list_transitions, rules),
        invariants={
            "only what was accepted is in force": _is_accepted,
            "no daemon goes back": lambda state: not state["went_back"],
            "what was refused is never accepted": lambda state: (
                not (set(state["refused"]) & set(state["store"]))
            ),
        },
    )


class _HistoryConfirmedByOnePeer(history.RevisionHistory):
    """Mutant: one peer is enough to confirm the version."""

    __slots__ = ()

    def _update_confirmation(self) -> None:
        newest = max(self._peer_versions.values(), default=0)
        if self._peer_versions and self.revision.version >= newest:
            self._confirmed = True


class _HistoryServingUnconfirmed(history.RevisionHistory):
    """Mutant: a daemon serves a version that isn't confirmed."""

    __slots__ = ()

    def can_serve(self) -> bool:
        """Returns whether any revision is loaded."""
        return self.revision.version > 0


class _HistoryInstallingOlderSnapshots(history.RevisionHistory):
    """Mutant: a snapshot is installed whatever its version."""

    __slots__ = ()

    def install_snapshot(self, snapshot: revisions.Revision) -> bool:
        """Installs the snapshot."""
        self.revision = snapshot
        self._update_confirmation()
        return True


def _accept_lost_answer(
    outcome: tables.Committed | tables.Conflict | None, *, lost_before: bool
) -> revisions.CommitStatus:
    if outcome is None:
        return revisions.CommitStatus.ACCEPTED
    return revisions.classify_commit(outcome, lost_before=lost_before)


def _ignore_lost_answer(
    outcome: tables.Committed | tables.Conflict | None, *, lost_before: bool
) -> revisions.CommitStatus:
    del lost_before
    return revisions.classify_commit(outcome, lost_before=False)


def run() -> list[spec_results.SpecResult]:
    """Checks the model and its mutants in both scopes."""
    race = {
        "a lost answer is no acceptance": catalogue_model.Rules(
            classify_commit=_accept_lost_answer
        ),
        "a conflict after a lost answer is looked at": catalogue_model.Rules(
            classify_commit=_ignore_lost_answer
        ),
        "an older snapshot is refused": catalogue_model.Rules(
            build_history=_HistoryInstallingOlderSnapshots
        ),
    }
    starts = {
        "one peer is not enough": catalogue_model.Rules(
            build_history=_HistoryConfirmedByOnePeer
        ),
        "a start waits for certainty": catalogue_model.Rules(
            build_history=_HistoryServingUnconfirmed
        ),
        "only certain peers count": catalogue_model.Rules(
            unconfirmed_peers_count=True
        ),
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
