"""Model of a call that runs at most once: two daemons, one key.

The daemons' steps are those of mothpass.core.claims. The environment may do
the following in any order: a write conflicts, is lost before or after it takes
effect, or takes effect late; a daemon dies, or is paused for any time;
deadlines pass; rows are pruned. One write at a time can be late, and it
arrives within MAX_CLOCK_SKEW_MS.
"""

import functools

import minicheck
import msgspec

from mothpass.core import claim_refusals
from mothpass.core import claims
from mothpass.core import errors
from mothpass.core import results
from mothpass.ports import tables
from spec import claims_state
from spec import claims_transitions
from spec import results as spec_results
from spec import runner


def build_model(
    name: str, rules: claims_state.Rules, scope: claims_state.Scope
) -> minicheck.Protocol:
    """Builds the model with a set of rules and the bounds of a scope."""
    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=claims_state.ModelState._fields,
        initial=claims_state.INITIAL._replace(
            delays_writes=scope.delays_writes
        ),
        transitions=functools.partial(
            claims_transitions.list_transitions, rules, scope
        ),
        invariants={
            "runs at most once": lambda state: state["runs"] <= 1,
            "each word is true": lambda state: not state["gave_false_answer"],
        },
    )


def run() -> list[spec_results.SpecResult]:
    """Checks the model in each scope, with the mutants that it refutes."""
    races = {
        "the row is confirmed before sending": claims_state.Rules(
            examine=_send_unclaimed
        ),
        "a lost answer is read back": claims_state.Rules(
            confirm=_trust_lost_answer
        ),
        "without the store the word is unknown": claims_state.Rules(
            refuse=_deny_without_store
        ),
        "a silent attempt keeps its row": claims_state.Rules(
            examine=_take_over
        ),
        "a released row stays": claims_state.Rules(plan_end=_delete_released),
        "a lost answer is not a release": claims_state.Rules(
            end_lost=claims.end_not_run
        ),
        "only one's own row is ended": claims_state.Rules(
            plan_end=_end_any_row
        ),
        "an abandoned claim is looked at again": claims_state.Rules(
            plan_abandon=_overwrite_abandoned
        ),
    }
    deadlines = {
        "nothing is sent past the deadline": claims_state.Rules(
            may_send=_send_always
        ),
        "a row is kept for its time": claims_state.Rules(
            may_prune=_prune_always
        ),
        "after a long pause the word is unknown": claims_state.Rules(
            refuse_unsent=_refuse_as_not_run
        ),
    }
    after_pruning = {
        "an old row is not ended": claims_state.Rules(is_kept=_keep_always),
        "an old row is not taken": claims_state.Rules(examine=_take_old),
        "one pruner at a time": claims_state.Rules(pruners=2),
    }
    return [
        _check("claims: races", claims_state.RACES, races),
        _check(
            "claims: deadlines and pruning", claims_state.DEADLINES, deadlines
        ),
        _check(
            "claims: after pruning", claims_state.AFTER_PRUNING, after_pruning
        ),
    ]


def _check(
    name: str,
    scope: claims_state.Scope,
    mutants: dict[str, claims_state.Rules],
) -> spec_results.SpecResult:
    return runner.check_model(
        name,
        build_model(name, claims_state.Rules(), scope),
        {
            guard: build_model(guard, rules, scope)
            for guard, rules in mutants.items()
        },
    )


def _send_unclaimed(
    call: claims.Call,
    found: claims.Stored | None,
    *,
    wall_ms: int,
) -> claims.Step:
    step = claims.examine(call, found, wall_ms=wall_ms)
    if isinstance(step, claims.Take):
        row = claims.Stored(version=0, claim=claims.build_claim(call))
        return claims.Send(stored=row)
    return step


def _trust_lost_answer(
    take: claims.Take,
    outcome: tables.Committed | tables.Conflict | None,
    call: claims.Call,
) -> claims.Send | None:
    trusted = tables.Committed() if outcome is None else outcome
    return claims.confirm(take, trusted, call)


def _deny_without_store(retry_after_ms: int) -> errors.Refusal:
    refusal = claim_refusals.refuse_without_store(retry_after_ms)
    return msgspec.structs.replace(refusal, ran=results.Ran.NO)


def _take_over(
    call: claims.Call,
    found: claims.Stored | None,
    *,
    wall_ms: int,
) -> claims.Step:
    step = claims.examine(call, found, wall_ms=wall_ms)
    if isinstance(step, claims.Wait) and found is not None:
        released = claims.end_not_run(found.claim)
        free = claims.Stored(version=found.version, claim=released)
        return claims.examine(call, free, wall_ms=wall_ms)
    return step


def _take_old(
    call: claims.Call,
    found: claims.Stored | None,
    *,
    wall_ms: int,
) -> claims.Step:
    if found is not None and found.claim.state is claims.State.NOT_RUN:
        return claims.examine(call, found, wall_ms=0)
    return claims.examine(call, found, wall_ms=wall_ms)


def _delete_released(
    found: claims.Stored | None, end: claims.Claim
) -> tables.Write | None:
    write = claims.plan_end(found, end)
    if write is None or end.state is not claims.State.NOT_RUN:
        return write
    return msgspec.structs.replace(write, value=None)


def _end_any_row(
    found: claims.Stored | None, end: claims.Claim
) -> tables.Write | None:
    if found is None:
        return None
    own = msgspec.structs.replace(found.claim, token=end.token)
    return claims.plan_end(claims.Stored(version=found.version, claim=own), end)


def _overwrite_abandoned(
    found: claims.Stored | None,
    end: claims.Claim,
    *,
    expected_version: int,
) -> tables.Write | None:
    version = found.version if found else 0
    del expected_version
    return claims.plan_abandon(found, end, expected_version=version)


def _send_always(call: claims.Call, *, now: float) -> bool:
    del call, now
    return True


def _prune_always(claim: claims.Claim, *, wall_ms: int) -> bool:
    del claim, wall_ms
    return True


def _keep_always(claim: claims.Claim, *, wall_ms: int) -> bool:
    del claim, wall_ms
    return True


def _refuse_as_not_run(
    refusal: errors.Refusal, claim: claims.Claim, *, wall_ms: int
) -> errors.Refusal:
    del claim, wall_ms
    return refusal
