"""Transitions of the model of a call that runs at most once."""

from mothpass.core import claim_refusals
from mothpass.core import claims
from mothpass.core import results
from mothpass.ports import tables
from mothpass.ports import targets
from spec import claims_state

_NOT_RUN = claim_refusals.refuse_not_run(
    results.Code.TARGET_FAILED, "no target could be reached"
)


def list_transitions(
    rules: claims_state.Rules,
    scope: claims_state.Scope,
    state: claims_state.ModelState,
) -> list[tuple[str, claims_state.ModelState]]:
    """Returns all transitions from a state, each with a label."""
    transitions: list[tuple[str, claims_state.ModelState]] = []
    for name, attempts in (("a", scope.attempts_a), ("b", scope.attempts_b)):
        daemon: claims_state.DaemonState = getattr(state, name)
        if daemon.attempts < attempts and daemon.attempt is None:
            transitions.append(
                (f"{name}: a request arrives", _start_attempt(state, name))
            )
        transitions.extend(_list_daemon_steps(rules, state, name))
    if state.time < scope.last_time:
        transitions.append(("time passes", _pass_time(state, scope.time_step)))
    transitions.extend(_list_store_steps(rules, state))
    return transitions


def _pass_time(
    state: claims_state.ModelState, units: int
) -> claims_state.ModelState:
    """Returns the state some time later.

    Delayed writes and deletes that are overdue then no longer take effect.
    """
    delayed_write = state.delayed_write
    if (
        delayed_write is not None
        and delayed_write.sent_at < state.time + units - 1
    ):
        delayed_write = None
    return state._replace(
        time=state.time + units, delayed_write=delayed_write, pruning=()
    )


def _list_store_steps(
    rules: claims_state.Rules, state: claims_state.ModelState
) -> claims_state.Transitions:
    """Yields delayed writes that take effect, and the pruners' steps."""
    if state.delayed_write is not None:
        row, _ = claims_state.apply_write(
            state.row,
            state.delayed_write.expected_version,
            state.delayed_write.claim,
        )
        yield "late write arrives", state._replace(row=row, delayed_write=None)
    wall_ms = state.time * claims_state.TIME_UNIT_MS
    row = state.row
    if (
        row is not None
        and len(state.pruning) < rules.pruners
        and rules.may_prune(row.claim, wall_ms=wall_ms)
    ):
        pruning = (*state.pruning, row.version)
        yield "pruner reads an old row", state._replace(pruning=pruning)
    for index, version in enumerate(state.pruning):
        left = state.pruning[:index] + state.pruning[index + 1 :]
        row, gone = claims_state.apply_write(state.row, version, None)
        runs = 0 if gone else state.runs
        after = state._replace(row=row, pruning=left, runs=runs)
        yield "pruner deletes the row", after


def _list_daemon_steps(
    rules: claims_state.Rules, state: claims_state.ModelState, name: str
) -> claims_state.Transitions:
    daemon: claims_state.DaemonState = getattr(state, name)
    if daemon.attempt is not None:
        yield from _list_attempt_steps(
            rules, state, name, daemon, daemon.attempt
        )
    if daemon.final_write is not None:
        yield from _list_final_write(
            rules, state, name, daemon, daemon.final_write
        )
    if daemon.attempt is not None or daemon.final_write is not None:
        dead = daemon._replace(attempt=None, final_write=None)
        yield f"{name}: dies", claims_state.replace_daemon(state, name, dead)


def _start_attempt(
    state: claims_state.ModelState, name: str
) -> claims_state.ModelState:
    daemon: claims_state.DaemonState = getattr(state, name)
    number = daemon.attempts + 1
    call = claims.Call(
        team="north",
        service="payment",
        idempotency_key="k",
        body_sha256="body",
        token=f"{name}{number}",
        deadline=state.time + 1,
        may_run_until_ms=(state.time + 1) * claims_state.TIME_UNIT_MS,
        kept_until_ms=(state.time + 1) * claims_state.TIME_UNIT_MS,
    )
    found = None
    final_write = daemon.final_write
    if (
        final_write
        and final_write.found
        and final_write.end.state is not claims.State.NOT_RUN
    ):
        found = claims.Stored(
            version=final_write.found.version, claim=final_write.end
        )
    attempt = claims_state.Attempt(
        stage="take", call=call, found=found, unconfirmed_version=None
    )
    return claims_state.replace_daemon(
        state, name, daemon._replace(attempts=number, attempt=attempt)
    )


def _list_attempt_steps(
    rules: claims_state.Rules,
    state: claims_state.ModelState,
    name: str,
    daemon: claims_state.DaemonState,
    attempt: claims_state.Attempt,
) -> claims_state.Transitions:
    match attempt.stage:
        case "take":
            yield from _list_claim_steps(rules, state, name, daemon, attempt)
        case "read":
            moved = attempt._replace(stage="take", found=state.row)
            after = claims_state.replace_daemon(
                state, name, daemon._replace(attempt=moved)
            )
            yield f"{name}: reads the row", after
            if attempt.unconfirmed_version is not None:
                again = daemon._replace(attempt=attempt._replace(stage="take"))
                yield (
                    f"{name}: can't read",
                    claims_state.replace_daemon(state, name, again),
                )
            yield from _list_give_ups(rules, state, name, daemon, attempt)
        case "confirmed" if daemon.final_write is None:
            yield from _list_confirmed(rules, state, name, daemon, attempt)
        case "sent" if daemon.final_write is None:
            yield from _list_sent(rules, state, name, daemon, attempt)


def _list_claim_steps(
    rules: claims_state.Rules,
    state: claims_state.ModelState,
    name: str,
    daemon: claims_state.DaemonState,
    attempt: claims_state.Attempt,
) -> claims_state.Transitions:
    """Yields the steps after the row was read, or is assumed not to exist."""
    ended = daemon._replace(attempt=None)
    if not rules.may_send(attempt.call, now=state.time):
        yield from _list_give_ups(rules, state, name, daemon, attempt)
        return
    step = rules.examine(
        attempt.call,
        attempt.found,
        wall_ms=state.time * claims_state.TIME_UNIT_MS,
    )
    if isinstance(step, claims.Take):
        yield from _list_claim_writes(rules, state, name, daemon, attempt, step)
        yield from _list_give_ups(rules, state, name, daemon, attempt)
    elif isinstance(step, claims.Send):
        ready = attempt._replace(stage="confirmed", found=step.stored)
        after = claims_state.replace_daemon(
            state, name, daemon._replace(attempt=ready)
        )
        yield f"{name}: reads that it has the row", after
    elif isinstance(step, claims.Wait):
        again = attempt._replace(stage="read", found=None)
        waits = claims_state.replace_daemon(
            state, name, daemon._replace(attempt=again)
        )
        yield f"{name}: waits", waits
    else:
        has_result = isinstance(step, claims.Known)
        ran = results.Ran.YES if isinstance(step, claims.Known) else step.ran
        answered = _record_answer(rules, state, name, ran)
        label = "returns the stored answer" if has_result else f"answers {ran}"
        yield (
            f"{name}: {label}",
            claims_state.replace_daemon(answered, name, ended),
        )


def _list_claim_writes(
    rules: claims_state.Rules,
    state: claims_state.ModelState,
    name: str,
    daemon: claims_state.DaemonState,
    attempt: claims_state.Attempt,
    take: claims.Take,
) -> claims_state.Transitions:
    for label, after, outcome in claims_state.list_outcomes(state, take.write):
        unconfirmed_version = attempt.unconfirmed_version
        if unconfirmed_version is not None or outcome is None:
            unconfirmed_version = take.write.expected_version
        send = rules.confirm(take, outcome, attempt.call)
        if send is None:
            moved = attempt._replace(
                stage="read", unconfirmed_version=unconfirmed_version
            )
        else:
            moved = attempt._replace(
                stage="confirmed",
                found=send.stored,
                unconfirmed_version=unconfirmed_version,
            )
        yield (
            f"{name}: claims the row, {label}",
            claims_state.replace_daemon(
                after, name, daemon._replace(attempt=moved)
            ),
        )


def _list_give_ups(
    rules: claims_state.Rules,
    state: claims_state.ModelState,
    name: str,
    daemon: claims_state.DaemonState,
    attempt: claims_state.Attempt,
) -> claims_state.Transitions:
    """Yields the end of an attempt that can't claim the row in time."""
    if (
        attempt.unconfirmed_version is not None
        and daemon.final_write is not None
    ):
        return
    final_write = daemon.final_write
    if attempt.unconfirmed_version is not None:
        end = claims.end_not_run(claims.build_claim(attempt.call))
        final_write = claims_state.FinalWrite(
            found=None, end=end, unconfirmed_version=attempt.unconfirmed_version
        )
    refusal = rules.refuse(0)
    answered = _record_answer(rules, state, name, refusal.ran)
    ended = daemon._replace(attempt=None, final_write=final_write)
    label = f"{name}: gives up, answers {refusal.ran}"
    yield label, claims_state.replace_daemon(answered, name, ended)


def _list_confirmed(
    rules: claims_state.Rules,
    state: claims_state.ModelState,
    name: str,
    daemon: claims_state.DaemonState,
    attempt: claims_state.Attempt,
) -> claims_state.Transitions:
    assert attempt.found is not None
    end = claims.end_not_run(attempt.found.claim)
    final_write = claims_state.FinalWrite(
        found=attempt.found, end=end, unconfirmed_version=None
    )
    unsent = claims_state.replace_daemon(
        state, name, daemon._replace(attempt=None, final_write=final_write)
    )
    refusal = rules.refuse_unsent(
        _NOT_RUN,
        attempt.found.claim,
        wall_ms=state.time * claims_state.TIME_UNIT_MS,
    )
    answered = _record_answer(rules, unsent, name, refusal.ran)
    if not rules.may_send(attempt.call, now=state.time):
        yield f"{name}: is past the deadline, answers {refusal.ran}", answered
        return
    yield f"{name}: reaches no target, answers {refusal.ran}", answered
    sent = daemon._replace(attempt=attempt._replace(stage="sent"))
    ran = state._replace(runs=min(2, state.runs + 1), ran=True)
    yield (
        f"{name}: sends, it runs",
        claims_state.replace_daemon(ran, name, sent),
    )
    yield (
        f"{name}: sends, it is lost",
        claims_state.replace_daemon(state, name, sent),
    )


def _list_sent(
    rules: claims_state.Rules,
    state: claims_state.ModelState,
    name: str,
    daemon: claims_state.DaemonState,
    attempt: claims_state.Attempt,
) -> claims_state.Transitions:
    assert attempt.found is not None
    claim = attempt.found.claim
    ends = {"loses the answer": rules.end_lost(claim)}
    if state.ran:
        ends["has the answer"] = _store_result(claim)
    for label, end in ends.items():
        final_write = claims_state.FinalWrite(
            found=attempt.found, end=end, unconfirmed_version=None
        )
        ended = daemon._replace(attempt=None, final_write=final_write)
        yield (
            f"{name}: {label}",
            claims_state.replace_daemon(state, name, ended),
        )


def _store_result(claim: claims.Claim) -> claims.Claim:
    answer = targets.Answer(
        attempt_id=claim.token, status=200, body=b"", boot_id=""
    )
    return claims.end_result(claim, answer, body_object="")


def _list_final_write(
    rules: claims_state.Rules,
    state: claims_state.ModelState,
    name: str,
    daemon: claims_state.DaemonState,
    final_write: claims_state.FinalWrite,
) -> claims_state.Transitions:
    done = claims_state.replace_daemon(
        state, name, daemon._replace(final_write=None)
    )
    if not rules.is_kept(
        final_write.end, wall_ms=state.time * claims_state.TIME_UNIT_MS
    ):
        yield f"{name}: leaves the row, its time is over", done
        return
    if final_write.unconfirmed_version is None:
        write = rules.plan_end(final_write.found, final_write.end)
    else:
        write = rules.plan_abandon(
            state.row,
            final_write.end,
            expected_version=final_write.unconfirmed_version,
        )
    if write is None:
        yield f"{name}: finds the row ended", done
        return
    for label, after, outcome in claims_state.list_outcomes(state, write):
        left: claims_state.FinalWrite | None = final_write
        if isinstance(outcome, tables.Committed):
            left = None
        elif isinstance(outcome, tables.Conflict) and final_write.found:
            left = final_write._replace(found=state.row)
        yield (
            f"{name}: ends the row as {final_write.end.state}, {label}",
            claims_state.replace_daemon(
                after, name, daemon._replace(final_write=left)
            ),
        )


def _record_answer(
    rules: claims_state.Rules,
    state: claims_state.ModelState,
    name: str,
    ran: results.Ran,
) -> claims_state.ModelState:
    """Records whether an answer is true when it is given.

    "Not run" also counts as false while the other daemon's attempt may still
    send: it would be concluded from that attempt's silence only.
    """
    is_false = ran is results.Ran.YES and not state.ran
    if ran is results.Ran.NO:
        other: claims_state.DaemonState = getattr(
            state, "b" if name == "a" else "a"
        )
        may_still_run = (
            other.attempt is not None
            and other.attempt.stage == "confirmed"
            and rules.may_send(other.attempt.call, now=state.time)
        )
        is_false = state.runs > 0 or may_still_run
    return state._replace(gave_false_answer=state.gave_false_answer or is_false)
