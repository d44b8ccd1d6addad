"""Steps of the model of calls that run at most once."""

from mothpass.core import claim_refusals
from mothpass.core import claims
from mothpass.core import results
from mothpass.ports import tables
from mothpass.ports import targets
from spec import claims_state

_NOT_RUN = claim_refusals.refuse_not_run(
    results.Code.TARGET_FAILED, "no target could be reached"
)


def list_moves(
    rules: claims_state.Rules,
    scope: claims_state.Scope,
    world: claims_state.World,
) -> list[tuple[str, claims_state.World]]:
    """Returns all steps that are possible in a state."""
    moves: list[tuple[str, claims_state.World]] = []
    for name, asks in (("a", scope.asks_a), ("b", scope.asks_b)):
        daemon: claims_state.Daemon = getattr(world, name)
        if daemon.asks < asks and daemon.ask is None:
            moves.append((f"{name}: ask comes", _start_ask(world, name)))
        moves.extend(_move_daemon(rules, world, name))
    if world.time < scope.last_time:
        moves.append(("time passes", _pass_time(world, scope.step)))
    moves.extend(_move_store(rules, world))
    return moves


def _pass_time(world: claims_state.World, units: int) -> claims_state.World:
    """Returns the state later; late writes and pruners are done by then."""
    late = world.late
    if late is not None and late.sent_at < world.time + units - 1:
        late = None
    return world._replace(time=world.time + units, late=late, pruning=())


def _move_store(
    rules: claims_state.Rules, world: claims_state.World
) -> claims_state.Moves:
    """Yields what happens without a daemon's calls."""
    if world.late is not None:
        row, _ = claims_state.apply_write(
            world.row, world.late.expected_version, world.late.claim
        )
        yield "late write arrives", world._replace(row=row, late=None)
    wall_ms = world.time * claims_state.UNIT_MS
    row = world.row
    if (
        row is not None
        and len(world.pruning) < rules.pruners
        and rules.may_prune(row.claim, wall_ms=wall_ms)
    ):
        pruning = (*world.pruning, row.version)
        yield "pruner reads an old row", world._replace(pruning=pruning)
    for index, version in enumerate(world.pruning):
        left = world.pruning[:index] + world.pruning[index + 1 :]
        row, gone = claims_state.apply_write(world.row, version, None)
        runs = 0 if gone else world.runs
        after = world._replace(row=row, pruning=left, runs=runs)
        yield "pruner deletes the row", after


def _move_daemon(
    rules: claims_state.Rules, world: claims_state.World, name: str
) -> claims_state.Moves:
    daemon: claims_state.Daemon = getattr(world, name)
    if daemon.ask is not None:
        yield from _move_ask(rules, world, name, daemon, daemon.ask)
    if daemon.ending is not None:
        yield from _move_ending(rules, world, name, daemon, daemon.ending)
    if daemon.ask is not None or daemon.ending is not None:
        dead = daemon._replace(ask=None, ending=None)
        yield f"{name}: dies", claims_state.put_daemon(world, name, dead)


def _start_ask(world: claims_state.World, name: str) -> claims_state.World:
    daemon: claims_state.Daemon = getattr(world, name)
    number = daemon.asks + 1
    call = claims.Call(
        team="north",
        service="payment",
        idempotency_key="k",
        body_sha256="body",
        token=f"{name}{number}",
        deadline=world.time + 1,
        may_run_until_ms=(world.time + 1) * claims_state.UNIT_MS,
        kept_until_ms=(world.time + 1) * claims_state.UNIT_MS,
    )
    found = None
    ending = daemon.ending
    if ending and ending.found and ending.end.state is not claims.State.NOT_RUN:
        found = claims.Stored(version=ending.found.version, claim=ending.end)
    ask = claims_state.Ask(at="take", call=call, found=found, lost=None)
    return claims_state.put_daemon(
        world, name, daemon._replace(asks=number, ask=ask)
    )


def _move_ask(
    rules: claims_state.Rules,
    world: claims_state.World,
    name: str,
    daemon: claims_state.Daemon,
    ask: claims_state.Ask,
) -> claims_state.Moves:
    match ask.at:
        case "take":
            yield from _move_to_row(rules, world, name, daemon, ask)
        case "read":
            moved = ask._replace(at="take", found=world.row)
            after = claims_state.put_daemon(
                world, name, daemon._replace(ask=moved)
            )
            yield f"{name}: reads the row", after
            if ask.lost is not None:
                again = daemon._replace(ask=ask._replace(at="take"))
                yield (
                    f"{name}: can't read",
                    claims_state.put_daemon(world, name, again),
                )
            yield from _give_up(rules, world, name, daemon, ask)
        case "confirmed" if daemon.ending is None:
            yield from _move_confirmed(rules, world, name, daemon, ask)
        case "sent" if daemon.ending is None:
            yield from _move_sent(rules, world, name, daemon, ask)


def _move_to_row(
    rules: claims_state.Rules,
    world: claims_state.World,
    name: str,
    daemon: claims_state.Daemon,
    ask: claims_state.Ask,
) -> claims_state.Moves:
    """Yields the steps of an ask that has read the row, or assumes none."""
    ended = daemon._replace(ask=None)
    if not rules.may_send(ask.call, now=world.time):
        yield from _give_up(rules, world, name, daemon, ask)
        return
    step = rules.examine(
        ask.call, ask.found, wall_ms=world.time * claims_state.UNIT_MS
    )
    if isinstance(step, claims.Take):
        yield from _write_take(rules, world, name, daemon, ask, step)
        yield from _give_up(rules, world, name, daemon, ask)
    elif isinstance(step, claims.Send):
        ready = ask._replace(at="confirmed", found=step.stored)
        after = claims_state.put_daemon(world, name, daemon._replace(ask=ready))
        yield f"{name}: reads that it has the row", after
    elif isinstance(step, claims.Wait):
        again = ask._replace(at="read", found=None)
        waits = claims_state.put_daemon(world, name, daemon._replace(ask=again))
        yield f"{name}: waits", waits
    else:
        known = isinstance(step, claims.Known)
        ran = results.Ran.YES if isinstance(step, claims.Known) else step.ran
        said = _say(rules, world, name, ran)
        label = "gives the stored answer" if known else f"says {ran}"
        yield f"{name}: {label}", claims_state.put_daemon(said, name, ended)


def _write_take(
    rules: claims_state.Rules,
    world: claims_state.World,
    name: str,
    daemon: claims_state.Daemon,
    ask: claims_state.Ask,
    take: claims.Take,
) -> claims_state.Moves:
    for label, after, outcome in claims_state.list_effects(world, take.write):
        lost = ask.lost
        if lost is not None or outcome is None:
            lost = take.write.expected_version
        send = rules.confirm(take, outcome, ask.call)
        if send is None:
            moved = ask._replace(at="read", lost=lost)
        else:
            moved = ask._replace(at="confirmed", found=send.stored, lost=lost)
        yield (
            f"{name}: claims the row, {label}",
            claims_state.put_daemon(after, name, daemon._replace(ask=moved)),
        )


def _give_up(
    rules: claims_state.Rules,
    world: claims_state.World,
    name: str,
    daemon: claims_state.Daemon,
    ask: claims_state.Ask,
) -> claims_state.Moves:
    """Yields the step of an ask that the store or its deadline stops."""
    if ask.lost is not None and daemon.ending is not None:
        return
    ending = daemon.ending
    if ask.lost is not None:
        end = claims.end_not_run(claims.build_claim(ask.call))
        ending = claims_state.Ending(found=None, end=end, abandoned=ask.lost)
    refusal = rules.refuse(0)
    said = _say(rules, world, name, refusal.ran)
    ended = daemon._replace(ask=None, ending=ending)
    label = f"{name}: gives up, says {refusal.ran}"
    yield label, claims_state.put_daemon(said, name, ended)


def _move_confirmed(
    rules: claims_state.Rules,
    world: claims_state.World,
    name: str,
    daemon: claims_state.Daemon,
    ask: claims_state.Ask,
) -> claims_state.Moves:
    assert ask.found is not None
    end = claims.end_not_run(ask.found.claim)
    ending = claims_state.Ending(found=ask.found, end=end, abandoned=None)
    unsent = claims_state.put_daemon(
        world, name, daemon._replace(ask=None, ending=ending)
    )
    refusal = rules.conclude(
        _NOT_RUN, ask.found.claim, wall_ms=world.time * claims_state.UNIT_MS
    )
    said = _say(rules, unsent, name, refusal.ran)
    if not rules.may_send(ask.call, now=world.time):
        yield f"{name}: is past the deadline, says {refusal.ran}", said
        return
    yield f"{name}: reaches no target, says {refusal.ran}", said
    sent = daemon._replace(ask=ask._replace(at="sent"))
    ran = world._replace(runs=min(2, world.runs + 1), ran=True)
    yield f"{name}: sends, it runs", claims_state.put_daemon(ran, name, sent)
    yield (
        f"{name}: sends, it is lost",
        claims_state.put_daemon(world, name, sent),
    )


def _move_sent(
    rules: claims_state.Rules,
    world: claims_state.World,
    name: str,
    daemon: claims_state.Daemon,
    ask: claims_state.Ask,
) -> claims_state.Moves:
    assert ask.found is not None
    claim = ask.found.claim
    ends = {"loses the answer": rules.end_lost(claim)}
    if world.ran:
        ends["has the answer"] = _store_result(claim)
    for label, end in ends.items():
        ending = claims_state.Ending(found=ask.found, end=end, abandoned=None)
        ended = daemon._replace(ask=None, ending=ending)
        yield f"{name}: {label}", claims_state.put_daemon(world, name, ended)


def _store_result(claim: claims.Claim) -> claims.Claim:
    answer = targets.Answer(
        attempt_id=claim.token, status=200, body=b"", boot_id=""
    )
    return claims.end_result(claim, answer, body_object="")


def _move_ending(
    rules: claims_state.Rules,
    world: claims_state.World,
    name: str,
    daemon: claims_state.Daemon,
    ending: claims_state.Ending,
) -> claims_state.Moves:
    done = claims_state.put_daemon(world, name, daemon._replace(ending=None))
    if not rules.is_kept(ending.end, wall_ms=world.time * claims_state.UNIT_MS):
        yield f"{name}: leaves the row, its time is over", done
        return
    if ending.abandoned is None:
        write = rules.plan_end(ending.found, ending.end)
    else:
        write = rules.plan_abandon(
            world.row, ending.end, expected_version=ending.abandoned
        )
    if write is None:
        yield f"{name}: finds the row ended", done
        return
    for label, after, outcome in claims_state.list_effects(world, write):
        left: claims_state.Ending | None = ending
        if isinstance(outcome, tables.Committed):
            left = None
        elif isinstance(outcome, tables.Conflict) and ending.found:
            left = ending._replace(found=world.row)
        yield (
            f"{name}: ends the row as {ending.end.state}, {label}",
            claims_state.put_daemon(after, name, daemon._replace(ending=left)),
        )


def _say(
    rules: claims_state.Rules,
    world: claims_state.World,
    name: str,
    ran: results.Ran,
) -> claims_state.World:
    """Records whether a word is true at this moment.

    "Not run" is false as well while another attempt is free to send: it
    would be concluded from that attempt's silence.
    """
    false = ran is results.Ran.YES and not world.ran
    if ran is results.Ran.NO:
        other: claims_state.Daemon = getattr(world, "b" if name == "a" else "a")
        free = (
            other.ask is not None
            and other.ask.at == "confirmed"
            and rules.may_send(other.ask.call, now=world.time)
        )
        false = world.runs > 0 or free
    return world._replace(false_word=world.false_word or false)
