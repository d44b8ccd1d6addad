"""States and transitions of the catalogue model."""

from collections import abc
import dataclasses
import functools
import typing

from mothpass.core import edits
from mothpass.core import history
from mothpass.core import revisions
from mothpass.ports import tables

DAEMONS = ("a", "b", "c", "d")
# Daemon at which each operator requests its change, once; the operator's name
# is also the id of the change.
OPERATORS = {"x": "a", "y": "b"}
START = ("first",)

Log = tuple[str, ...]


class Scope(typing.NamedTuple):
    """Bounds of the model.

    Attributes:
        daemons: Number of daemons.
        operators: Number of operators who request a change.
        restarts: Maximum restarts of all daemons together.
        delays_writes: Whether writes may take effect late.
    """

    daemons: int
    operators: int
    restarts: int
    delays_writes: bool


class DaemonState(typing.NamedTuple):
    """State of one daemon.

    Attributes:
        log: Ids of the changes that it has loaded.
        may_serve: Whether it may serve the loaded revision.
        peer_versions: Versions that peers reported before its own was
            confirmed.
        min_version: Version in force on enough other daemons at its last
            start; it must not serve an older one.
    """

    log: Log
    may_serve: bool
    peer_versions: tuple[tuple[str, int], ...]
    min_version: int


class Proposal(typing.NamedTuple):
    """A change whose commit status is unknown.

    Attributes:
        base: Log that the change builds on.
        lost: Whether the answer to a write was lost.
        read: Whether to read the row of the version next.
    """

    base: Log
    lost: bool
    read: bool


class ModelState(typing.NamedTuple):
    """State of the model.

    Attributes:
        store: Ids of the accepted changes.
        delayed_write: Operator and base of a delayed write, None without one.
        known: State of each daemon, in the order of DAEMONS.
        proposals: Changes of unknown status, in the order of OPERATORS.
        requested: Operators who have requested their change.
        refused: Operators whose change was rejected for another one.
        restarts: Number of restarts that may still occur.
        delays_writes: Whether writes may take effect late.
        went_back: Whether a daemon served an older version than before, or
            than its ``min_version`` after a restart.
    """

    store: Log
    delayed_write: tuple[str, Log] | None
    known: tuple[DaemonState, ...]
    proposals: tuple[Proposal | None, ...]
    requested: tuple[str, ...]
    refused: tuple[str, ...]
    restarts: int
    delays_writes: bool
    went_back: bool


Transitions = abc.Iterator[tuple[str, ModelState]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rules:
    """Parts of the core that the model uses; each mutant replaces one.

    Attributes:
        build_history: Class of the revision history.
        classify_commit: Classifies one attempt to commit a change.
        unconfirmed_peers_count: Whether peers report their version before it
            is confirmed.
    """

    build_history: type[history.RevisionHistory] = history.RevisionHistory
    classify_commit: abc.Callable[..., revisions.CommitStatus] = (
        revisions.classify_commit
    )
    unconfirmed_peers_count: bool = False


def build_initial(scope: Scope) -> ModelState:
    """Returns the state in which every daemon serves the first version."""
    known = DaemonState(
        log=START, may_serve=True, peer_versions=(), min_version=0
    )
    return ModelState(
        store=START,
        delayed_write=None,
        known=(known,) * scope.daemons,
        proposals=(None,) * scope.operators,
        requested=(),
        refused=(),
        restarts=scope.restarts,
        delays_writes=scope.delays_writes,
        went_back=False,
    )


@functools.cache
def build_revision(log: Log) -> revisions.Revision:
    """Returns the revision that a log leads to."""
    if not log:
        return revisions.EMPTY
    base = build_revision(log[:-1])
    return revisions.apply_change(base, build_change(log[:-1], log[-1]))


@functools.cache
def build_change(base: Log, change_id: str) -> revisions.Change:
    """Returns the change that appends an operator's change id to a log."""
    edit = edits.Edit(
        section="instances_out", name=change_id, entry=edits.INSTANCE_OUT_ENTRY
    )
    return revisions.build_change(
        build_revision(base), [edit], change_id=change_id, author="", at_ms=0
    )


def _list_changes(log: Log) -> list[revisions.Change]:
    return [
        build_change(log[:index], change_id)
        for index, change_id in enumerate(log)
    ]


def _restore(
    rules: Rules, names: tuple[str, ...], name: str, known: DaemonState
) -> history.RevisionHistory:
    """Builds the core's revision history from the state of a daemon."""
    revision_history = rules.build_history()
    revision_history.set_peers(peer for peer in names if peer != name)
    revision_history.apply_changes(_list_changes(known.log))
    if known.may_serve:
        revision_history.record_head(_build_head(known.log))
    for peer, version in known.peer_versions:
        revision_history.record_peer_version(peer, version)
    return revision_history


def _build_head(log: Log) -> revisions.Head:
    return revisions.Head(version=len(log), digest=build_revision(log).digest)


@functools.lru_cache(maxsize=100_000)
def _read_log(
    rules: Rules,
    names: tuple[str, ...],
    name: str,
    known: DaemonState,
    log: Log,
) -> DaemonState:
    """Returns a daemon's state after it has read a log from the store."""
    revision_history = _restore(rules, names, name, known)
    revision_history.apply_changes(_list_changes(log))
    revision_history.record_head(_build_head(log))
    longer = log if len(log) > len(known.log) else known.log
    return _capture_state(revision_history, known, longer, known.peer_versions)


@functools.lru_cache(maxsize=100_000)
def _receive_batch(
    rules: Rules,
    names: tuple[str, ...],
    name: str,
    known: DaemonState,
    peer: str,
    sent: DaemonState,
) -> DaemonState:
    """Returns a daemon's state after a batch from a peer."""
    revision_history = _restore(rules, names, name, known)
    version = (
        len(sent.log) if sent.may_serve or rules.unconfirmed_peers_count else 0
    )
    if version == 0:
        return known
    revision_history.record_peer_version(peer, version)
    revision_history.install_snapshot(build_revision(sent.log))
    peer_versions = tuple(
        sorted({**dict(known.peer_versions), peer: version}.items())
    )
    log = (
        sent.log
        if revision_history.revision.version == len(sent.log)
        else known.log
    )
    return _capture_state(revision_history, known, log, peer_versions)


def _capture_state(
    revision_history: history.RevisionHistory,
    known: DaemonState,
    log: Log,
    peer_versions: tuple[tuple[str, int], ...],
) -> DaemonState:
    may_serve = revision_history.can_serve()
    return DaemonState(
        log=log,
        may_serve=may_serve,
        peer_versions=() if may_serve else peer_versions,
        min_version=known.min_version,
    )


def list_transitions(
    rules: Rules, state: ModelState
) -> list[tuple[str, ModelState]]:
    """Returns all transitions from a state, each with a label."""
    transitions: list[tuple[str, ModelState]] = []
    for index in range(len(state.known)):
        transitions.extend(_list_daemon_transitions(rules, state, index))
    for operator_index in range(len(state.proposals)):
        transitions.extend(
            _list_operator_transitions(rules, state, operator_index)
        )
    if state.delayed_write is not None:
        operator, base = state.delayed_write
        store = _apply_write(state.store, base, operator)
        transitions.append(
            (
                "late write arrives",
                state._replace(store=store, delayed_write=None),
            )
        )
    return transitions


def _list_daemon_transitions(
    rules: Rules, state: ModelState, index: int
) -> Transitions:
    names = DAEMONS[: len(state.known)]
    name = names[index]
    known = state.known[index]
    polled = _read_log(rules, names, name, known, state.store)
    yield f"{name}: polls", _replace_known(state, index, polled)
    for other, peer in enumerate(names):
        if other != index:
            sent = state.known[other]
            after = _receive_batch(rules, names, name, known, peer, sent)
            yield (
                f"{peer}: sends to {name}",
                _replace_known(state, index, after),
            )
    if state.restarts > 0:
        yield f"{name}: restarts", _restart(state, index)


def _replace_known(
    state: ModelState, index: int, known: DaemonState
) -> ModelState:
    """Replaces a daemon's state and records whether its version went back."""
    before = state.known[index]
    went_back = known.may_serve and len(known.log) < known.min_version
    went_back = went_back or (
        before.may_serve and len(known.log) < len(before.log)
    )
    return state._replace(
        known=(*state.known[:index], known, *state.known[index + 1 :]),
        went_back=state.went_back or went_back,
    )


def _restart(state: ModelState, index: int) -> ModelState:
    """Returns the state after a restart, which loses a daemon's state."""
    others = [
        len(known.log) if known.may_serve else 0
        for other, known in enumerate(state.known)
        if other != index
    ]
    required = history.count_required_peers(len(others))
    others.sort(reverse=True)
    min_version = others[required - 1]
    fresh = DaemonState(
        log=(), may_serve=False, peer_versions=(), min_version=min_version
    )
    known = (*state.known[:index], fresh, *state.known[index + 1 :])
    proposals = tuple(
        None if daemon == DAEMONS[index] else proposal
        for daemon, proposal in zip(
            OPERATORS.values(), state.proposals, strict=False
        )
    )
    return state._replace(
        known=known, proposals=proposals, restarts=state.restarts - 1
    )


def _list_operator_transitions(
    rules: Rules, state: ModelState, operator_index: int
) -> Transitions:
    operator = list(OPERATORS)[operator_index]
    index = DAEMONS.index(OPERATORS[operator])
    proposal = state.proposals[operator_index]
    known = state.known[index]
    if proposal is None:
        if operator not in state.requested and known.may_serve:
            requested_state = state._replace(
                requested=(*state.requested, operator)
            )
            proposed = Proposal(base=known.log, lost=False, read=False)
            label = f"{operator}: requests a change at {DAEMONS[index]}"
            yield (
                label,
                _replace_proposal(requested_state, operator_index, proposed),
            )
        return
    if proposal.read:
        version = len(proposal.base)
        found = None
        if len(state.store) > version:
            found = build_change(state.store[:version], state.store[version])
        status = revisions.classify_row(found, operator)
        after = _apply_status(rules, state, operator_index, operator, status)
        yield f"{operator}: reads the row, {status.value}", after
        return
    for label, after, outcome in _list_write_effects(state, operator, proposal):
        status = rules.classify_commit(outcome, lost_before=proposal.lost)
        if status is revisions.CommitStatus.UNKNOWN:
            read = isinstance(outcome, tables.Conflict)
            lost = proposal.lost or outcome is None
            pending = Proposal(base=proposal.base, lost=lost, read=read)
            yield (
                f"{operator}: {label}",
                _replace_proposal(after, operator_index, pending),
            )
        else:
            decided = _apply_status(
                rules, after, operator_index, operator, status
            )
            yield f"{operator}: {label}, {status.value}", decided
    yield (
        f"{operator}: gives up",
        _replace_proposal(state, operator_index, None),
    )


def _apply_status(
    rules: Rules,
    state: ModelState,
    operator_index: int,
    operator: str,
    status: revisions.CommitStatus,
) -> ModelState:
    """Applies the commit status of a proposal."""
    proposal = state.proposals[operator_index]
    assert proposal is not None
    if status is revisions.CommitStatus.UNKNOWN:
        unread = proposal._replace(read=False)
        return _replace_proposal(state, operator_index, unread)
    decided = _replace_proposal(state, operator_index, None)
    if status is revisions.CommitStatus.REFUSED:
        return decided._replace(refused=(*decided.refused, operator))
    name = OPERATORS[operator]
    index = DAEMONS.index(name)
    log = (*proposal.base, operator)
    names = DAEMONS[: len(decided.known)]
    after = _read_log(rules, names, name, decided.known[index], log)
    return _replace_known(decided, index, after)


def _list_write_effects(
    state: ModelState, operator: str, proposal: Proposal
) -> abc.Iterator[
    tuple[str, ModelState, tables.Committed | tables.Conflict | None]
]:
    """Yields the label, state and answer (None if lost) of a write."""
    store = _apply_write(state.store, proposal.base, operator)
    if store != state.store:
        after = state._replace(store=store)
        yield "is accepted", after, tables.Committed()
        yield "is accepted, answer lost", after, None
    else:
        conflict = tables.Conflict(
            table=revisions.TABLE,
            key=revisions.HEAD_KEY,
            version=len(state.store),
        )
        yield "meets a conflict", state, conflict
    yield "write lost", state, None
    if state.delays_writes and state.delayed_write is None:
        delayed_write = (operator, proposal.base)
        yield "write late", state._replace(delayed_write=delayed_write), None


def _apply_write(store: Log, base: Log, operator: str) -> Log:
    """Applies the transaction of a change like the table service."""
    writes = revisions.build_writes(build_change(base, operator))
    if writes[0].expected_version != len(store):
        return store
    return (*store, operator)


def _replace_proposal(
    state: ModelState, operator_index: int, proposal: Proposal | None
) -> ModelState:
    proposals = list(state.proposals)
    proposals[operator_index] = proposal
    return state._replace(proposals=tuple(proposals))
