"""Checks a model of table copies over restores of the store.

The steps call mothpass.core.table_copies. The store may come back from a copy
at any step; the operator then writes its document again, and the store loses a
target again that has left. Daemons read the store and each other in any order,
an answer of the store may arrive late, and a daemon may start anew. No step has
to be taken, so any daemon may be cut off for any time.
"""

from collections import abc
import functools
import typing

import minicheck

from mothpass.core import store_versions
from mothpass.core import table_copies
from mothpass.ports import replicas
from spec import frozen
from spec import results as spec_results
from spec import runner

_DOCUMENT = "config"
_TARGET = "target"
# After every hold that ends by itself.
_LATER_S = 1000.0


class Scope(typing.NamedTuple):
    """Bounds of the model.

    Attributes:
        daemons: Number of daemons.
        writes: Changes of the document.
        restores: Restores of the store.
        starts: Starts of daemons.
        has_target: Whether there is a target, which may leave.
        late_answers: Answers of the store that may arrive late.
    """

    daemons: int
    writes: int
    restores: int
    starts: int
    has_target: bool
    late_answers: int


# Each daemon may start while the others disagree.
FLEET = Scope(
    daemons=3, writes=2, restores=1, starts=1, has_target=False, late_answers=0
)
# All faults at two daemons.
FAULTS = Scope(
    daemons=2, writes=0, restores=1, starts=1, has_target=True, late_answers=1
)
# A restore after another.
RESTORES = Scope(
    daemons=2, writes=1, restores=2, starts=1, has_target=False, late_answers=0
)


class StoredRow(typing.NamedTuple):
    """A row of the store; the value of a removed one is None."""

    key: str
    number: int
    value: int | None


class Store(typing.NamedTuple):
    """The store: its era, newest number and rows."""

    era: int
    number: int
    rows: tuple[StoredRow, ...]


class Daemon(typing.NamedTuple):
    """A daemon.

    Attributes:
        copy: Its frozen copy of the table.
        least_document: Highest document that it, or a peer that it asked, had
            in force since it started.
        has_seen_leave: Whether it has had the target and seen it leave.
        has_seen_target: Whether it has had the target in force.
    """

    copy: typing.Any
    least_document: int
    has_seen_target: bool
    has_seen_leave: bool


class ModelState(typing.NamedTuple):
    """State of the model.

    Attributes:
        store: The store.
        saved: Copy that it may come back from.
        newest_document: Version of the operator's newest document.
        writes: Changes of the document that may still occur.
        has_left: Whether the target has left.
        daemons: The daemons.
        late_answer: Daemon, content and the daemon's version of an answer that
            is on its way.
        restores: Restores that may still occur.
        starts: Starts of daemons that may still occur.
        late_answers: Answers that may still be late.
    """

    store: Store
    saved: Store
    newest_document: int
    writes: int
    has_left: bool
    daemons: tuple[Daemon, ...]
    late_answer: tuple[int, Store, store_versions.Version] | None
    restores: int
    starts: int
    late_answers: int


class Rules(typing.NamedTuple):
    """Parts of the core that the model uses; each mutant replaces one."""

    compare: replicas.CompareValues
    has_eras: bool = True
    sends_held_rows: bool = True


def _compare_documents(key: str, first: bytes, second: bytes) -> int:
    return int(first) - int(second) if key == _DOCUMENT else 0


def _compare_nothing(key: str, first: bytes, second: bytes) -> int:
    del key, first, second
    return 0


def _make_page(rules: Rules, store: Store) -> replicas.Page:
    era = store.era if rules.has_eras else 0
    return replicas.Page(
        version=store_versions.make_version(era, store.number),
        rows=[
            replicas.Row(
                key=row.key,
                version=store_versions.make_version(era, row.number),
                value=str(row.value).encode(),
            )
            for row in store.rows
            if row.value is not None
        ],
        is_whole=True,
    )


def _write(store: Store, key: str, value: int | None) -> Store:
    number = store.number + 1
    rows = [row for row in store.rows if row.key != key]
    rows.append(StoredRow(key, number, value))
    return Store(store.era, number, tuple(sorted(rows)))


def _read_value(copy: table_copies.TableCopy, key: str) -> int | None:
    row = copy.rows.get(key)
    return None if row is None or row.value is None else int(row.value)


def _find_stored(store: Store, key: str) -> int | None:
    return next((row.value for row in store.rows if row.key == key), None)


@functools.lru_cache(maxsize=500_000)
def _apply(
    daemon: Daemon,
    page_key: "_PageKey",
    asked_document: int,
    asked_at: store_versions.Version | None = None,
    *,
    is_from_peer: bool = False,
) -> Daemon:
    copy: table_copies.TableCopy = frozen.thaw(daemon.copy)
    if asked_at is None:
        asked_at = copy.content_version
    copy.apply_page(
        page_key.page, 0.0, asked_at=asked_at, is_from_peer=is_from_peer
    )
    return _observe(daemon, copy, asked_document)


class _PageKey:
    """A page that is hashed by its encoding."""

    __slots__ = ("_key", "page")

    def __init__(self, page: replicas.Page) -> None:
        self.page = page
        self._key = (
            page.version,
            tuple((row.key, row.version, row.value) for row in page.rows),
            tuple((row.key, row.version, row.value) for row in page.held),
            page.is_whole,
        )

    def __hash__(self) -> int:
        return hash(self._key)

    def __eq__(self, other: object) -> bool:
        return isinstance(other, _PageKey) and self._key == other._key


def _observe(
    daemon: Daemon, copy: table_copies.TableCopy, asked_document: int
) -> Daemon:
    has_target = _read_value(copy, _TARGET) is not None
    return Daemon(
        copy=frozen.freeze(copy),
        least_document=max(
            daemon.least_document,
            asked_document,
            _read_value(copy, _DOCUMENT) or 0,
        ),
        has_seen_target=daemon.has_seen_target or has_target,
        has_seen_leave=daemon.has_seen_leave
        or (daemon.has_seen_target and not has_target),
    )


def _start(rules: Rules) -> Daemon:
    copy = table_copies.TableCopy(compare=rules.compare)
    return Daemon(frozen.freeze(copy), 0, False, False)


def build_initial(rules: Rules, scope: Scope) -> ModelState:
    """Returns the state in which every daemon has read the store."""
    rows = [StoredRow(_DOCUMENT, 1, 1)]
    if scope.has_target:
        rows.append(StoredRow(_TARGET, 2, 1))
    store = Store(0, len(rows), tuple(rows))
    page = _PageKey(_make_page(rules, store))
    daemon = _apply(_start(rules), page, 0)
    return ModelState(
        store=store,
        saved=store,
        newest_document=1,
        writes=scope.writes,
        has_left=not scope.has_target,
        daemons=(daemon,) * scope.daemons,
        late_answer=None,
        restores=scope.restores,
        starts=scope.starts,
        late_answers=scope.late_answers,
    )


def _list_store_steps(
    state: ModelState,
) -> abc.Iterator[tuple[str, ModelState]]:
    store = state.store
    if state.writes:
        newest = state.newest_document + 1
        yield (
            "operator writes",
            state._replace(
                store=_write(store, _DOCUMENT, newest),
                newest_document=newest,
                writes=state.writes - 1,
            ),
        )
    if not state.has_left:
        yield (
            "target leaves",
            state._replace(store=_write(store, _TARGET, None), has_left=True),
        )
    if state.saved != store:
        yield "copy is taken", state._replace(saved=store)
    if state.restores:
        restored = state.saved._replace(era=store.era + 1)
        yield (
            "store is restored",
            state._replace(
                store=restored, saved=restored, restores=state.restores - 1
            ),
        )
    if _find_stored(store, _DOCUMENT) != state.newest_document:
        yield (
            "operator writes again",
            state._replace(
                store=_write(store, _DOCUMENT, state.newest_document)
            ),
        )
    if state.has_left and _find_stored(store, _TARGET) is not None:
        yield (
            "target expires again",
            state._replace(store=_write(store, _TARGET, None)),
        )


def _list_daemon_steps(
    rules: Rules, state: ModelState, index: int
) -> abc.Iterator[tuple[str, ModelState]]:
    daemon = state.daemons[index]
    page = _PageKey(_make_page(rules, state.store))
    yield (
        f"{index} reads the store",
        _replace_daemon(state, index, _apply(daemon, page, 0)),
    )
    copy: table_copies.TableCopy = frozen.thaw(daemon.copy)
    if state.late_answers:
        yield (
            f"{index}'s answer is late",
            state._replace(
                late_answer=(index, state.store, copy.content_version),
                late_answers=state.late_answers - 1,
            ),
        )
    for peer_index, peer in enumerate(state.daemons):
        if peer_index == index:
            continue
        peer_copy: table_copies.TableCopy = frozen.thaw(peer.copy)
        if peer_copy.content_version > copy.content_version:
            sent = peer_copy.make_page(copy.content_version)
        elif peer_copy.has_holds and not copy.has_memory:
            sent = peer_copy.make_page(0)
        else:
            continue
        if not rules.sends_held_rows:
            sent = replicas.Page(
                version=sent.version, rows=sent.rows, is_whole=sent.is_whole
            )
        is_current = sent.version >= copy.content_version
        asked = _read_value(peer_copy, _DOCUMENT) or 0 if is_current else 0
        after = _apply(daemon, _PageKey(sent), asked, is_from_peer=True)
        yield (
            f"{index} asks {peer_index}",
            _replace_daemon(state, index, after),
        )
    if copy.has_holds:
        copy.expire_holds(_LATER_S)
        yield (
            f"{index}'s holds end",
            _replace_daemon(state, index, _observe(daemon, copy, 0)),
        )
    if state.starts:
        started = _replace_daemon(state, index, _start(rules))
        late_answer = state.late_answer
        if late_answer is not None and late_answer[0] == index:
            # It was for the process that has ended.
            late_answer = None
        yield (
            f"{index} starts",
            started._replace(starts=state.starts - 1, late_answer=late_answer),
        )


def _replace_daemon(
    state: ModelState, index: int, daemon: Daemon
) -> ModelState:
    daemons = list(state.daemons)
    daemons[index] = daemon
    return state._replace(daemons=tuple(daemons))


def list_transitions(
    rules: Rules, state: ModelState
) -> list[tuple[str, ModelState]]:
    """Returns all transitions from a state, each with a label."""
    state = ModelState(*state)
    steps = list(_list_store_steps(state))
    for index in range(len(state.daemons)):
        steps += _list_daemon_steps(rules, state, index)
    if state.late_answer is not None:
        index, store, asked_at = state.late_answer
        page = _PageKey(_make_page(rules, store))
        after = _apply(state.daemons[index], page, 0, asked_at)
        arrived = _replace_daemon(state, index, after)
        steps.append(
            ("late answer arrives", arrived._replace(late_answer=None))
        )
    return [(label, after) for label, after in steps if after != state]


def _goes_back(daemon: Daemon) -> bool:
    copy: table_copies.TableCopy = frozen.thaw(daemon.copy)
    document = _read_value(copy, _DOCUMENT) or 0
    return document < daemon.least_document


def _has_returned(daemon: Daemon) -> bool:
    copy: table_copies.TableCopy = frozen.thaw(daemon.copy)
    return daemon.has_seen_leave and _TARGET in copy.rows


def _agrees(rules: Rules, state: dict[str, typing.Any]) -> bool:
    """Returns whether daemons that have the store's state have it in force."""
    store: Store = state["store"]
    newest = state["newest_document"]
    if _find_stored(store, _DOCUMENT) != newest:
        return True
    version = _make_page(rules, store).version
    return all(
        copy.version != version or _read_value(copy, _DOCUMENT) == newest
        for copy in (frozen.thaw(item.copy) for item in state["daemons"])
    )


def build_model(name: str, rules: Rules, scope: Scope) -> minicheck.Protocol:
    """Builds the model from the rules, within the bounds of a scope."""
    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=ModelState._fields,
        initial=build_initial(rules, scope),
        transitions=functools.partial(list_transitions, rules),
        invariants={
            "no daemon acts on an older document than it or a peer it asked": (
                lambda state: not any(map(_goes_back, state["daemons"]))
            ),
            "no target returns that a daemon saw leave": lambda state: (
                not any(map(_has_returned, state["daemons"]))
            ),
            "who has the store's version has the operator's document": (
                functools.partial(_agrees, rules)
            ),
        },
    )


def run() -> list[spec_results.SpecResult]:
    """Checks the model and its mutants in each scope."""
    rules = Rules(compare=_compare_documents)
    mutants = {
        "documents are compared by their content": rules._replace(
            compare=_compare_nothing
        ),
        "versions are compared by era first": rules._replace(has_eras=False),
        "peers hand on what they hold": rules._replace(sends_held_rows=False),
    }
    return [
        _check("table copies: fleet", FLEET, rules, mutants),
        _check("table copies: faults", FAULTS, rules, {}),
        _check("table copies: restores", RESTORES, rules, {}),
    ]


def _check(
    name: str, scope: Scope, rules: Rules, mutants: dict[str, Rules]
) -> spec_results.SpecResult:
    return runner.check_model(
        name,
        build_model(name, rules, scope),
        {
            guard: build_model(guard, mutant, scope)
            for guard, mutant in mutants.items()
        },
    )
