"""Checks the relay's guarantees on the records of clients and targets.

Each check takes a history and returns the violations of its guarantee.
"""

import collections
from collections import abc

import msgspec

# Kinds of requests, by the names of the soak's routes.
PAY = "pay"
READ = "read"
CHAT = "chat"
ONCE = "once"
NOT_RETRYABLE = (PAY, ONCE)
# Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Time by which an answer may exceed its deadline.
ANSWER_MARGIN_S = 0.75
# Time after the removal of a key from which no request may run under it.
REVOCATION_LIMIT_S = 2.5
# The same for new requests at a draining target.
DRAIN_LIMIT_S = 2.5
# Share of the requests after the last fault that must be served.
MIN_SERVED_SHARE = 0.9


class SentRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that a client sent; times are monotonic seconds.

    Attributes:
        began_as: Id of the request that began the stream, which this one takes
            up; "" for a request that takes up none.
        position: Id of the last event that the client had, -1 for none.
    """

    id: str
    kind: str
    key: str
    daemon: int
    at: float
    deadline: float
    began_as: str = ""
    position: int = -1


class ReceivedAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """An answer as a client received it.

    Attributes:
        id: Id of the request.
        status: HTTP status, 0 if the connection ended before it.
        body: Received part of the body.
        is_whole: Whether the answer was received completely.
        is_signed: Whether the answer has a target's signature.
        at: Monotonic seconds of its end.
    """

    id: str
    status: int
    body: str
    is_whole: bool
    is_signed: bool
    at: float


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """A run of a request at a target.

    Attributes:
        id: Id of the request.
        target: Id of the target.
        path: Path that the target received.
        team: Team that the target received.
        at: Monotonic seconds of its start.
    """

    id: str
    target: str
    path: str
    team: str
    at: float


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """A change acknowledged by the store: a key removed, a target drained."""

    kind: str
    name: str
    at: float


class FaultWindow(msgspec.Struct, frozen=True, kw_only=True):
    """Time of a fault and its recovery, which excuses late answers.

    Attributes:
        kind: Kind of the fault.
        daemon: Affected daemon, None for all.
        at: Monotonic seconds of its start.
        until: Monotonic seconds of its end, with the time to recover.
    """

    kind: str
    daemon: int | None
    at: float
    until: float


class History(msgspec.Struct, kw_only=True):
    """Records of one run.

    Attributes:
        sent: Requests of the clients.
        answers: Answers that the clients received.
        runs: Runs at the targets.
        changes: Changes acknowledged by the store.
        fault_windows: Faults that excuse late answers.
        faults_ended_at: Monotonic seconds at which the last fault had ended.
    """

    sent: list[SentRequest] = []
    answers: list[ReceivedAnswer] = []
    runs: list[Run] = []
    changes: list[Change] = []
    fault_windows: list[FaultWindow] = []
    faults_ended_at: float = float("inf")


Check = abc.Callable[[History], list[str]]


def make_body(request_id: str) -> str:
    """Returns the only correct body of a plain answer."""
    return f"body of {request_id}"


def make_event(began_as: str, number: int, version: str) -> str:
    """Returns an event as targets of a software version write it."""
    return f"id: {number}\ndata: {began_as} {number} {version}\n\n"


def make_stream(
    began_as: str, events: int, *, version: str = "v1", first: int = 0
) -> str:
    """Returns the only correct body of a stream that a version wrote."""
    return "".join(
        make_event(began_as, number, version) for number in range(first, events)
    )


def find_versions(body: str) -> list[str]:
    """Returns the software versions of the whole events of a stream."""
    return [event.split(" ")[-1] for event in body.split("\n\n")[:-1]]


def check_at_most_once(history: History) -> list[str]:
    """Checks that a request that may not be retried runs at most once."""
    kinds = {item.id: item.kind for item in history.sent}
    run_counts = collections.Counter(
        item.id for item in history.runs if kinds.get(item.id) in NOT_RETRYABLE
    )
    return [
        f"{name} ran {count} times"
        for name, count in run_counts.items()
        if count > 1
    ]


def check_rejections(history: History) -> list[str]:
    """Checks that a request rejected as not run never runs, also later."""
    kinds = {item.id: item.kind for item in history.sent}
    ran_ids = {item.id for item in history.runs}
    return [
        f"{item.id} was rejected with {item.status} and ran"
        for item in history.answers
        if item.status in NOT_RUN_STATUSES
        and item.id in ran_ids
        and kinds[item.id] in NOT_RETRYABLE
    ]


def check_whole_answers(history: History) -> list[str]:
    """Checks that a success is complete, signed and of its request."""
    sent = {item.id: item for item in history.sent}
    violations = []
    for item in history.answers:
        expected = _make_expected(sent[item.id], item.body)
        if item.status != 200:
            continue
        if not item.is_signed:
            violations.append(f"{item.id}: success without a signature")
        elif item.is_whole and item.body != expected:
            violations.append(f"{item.id}: wrong complete answer {item.body!r}")
        elif not expected.startswith(item.body):
            violations.append(f"{item.id}: wrong partial answer {item.body!r}")
    return violations


def _make_expected(sent: SentRequest, body: str) -> str:
    """Returns the only correct body, by the version of its first event."""
    if sent.kind not in (CHAT, ONCE):
        return make_body(sent.id)
    version = next(iter(find_versions(body)), "")
    return make_stream(
        sent.began_as or sent.id,
        EVENTS,
        version=version,
        first=sent.position + 1,
    )


def check_one_version(history: History) -> list[str]:
    """Checks that one software version writes a stream, over all its tries."""
    began_as = {item.id: item.began_as or item.id for item in history.sent}
    versions: dict[str, set[str]] = collections.defaultdict(set)
    for item in history.answers:
        if item.status == 200:
            versions[began_as[item.id]].update(find_versions(item.body))
    return [
        f"{name} was written by {', '.join(sorted(found))}"
        for name, found in versions.items()
        if len(found) > 1
    ]


def check_requested(history: History) -> list[str]:
    """Checks that targets run only unchanged requests of the right team."""
    sent = {item.id: item for item in history.sent}
    violations = []
    for item in history.runs:
        request = sent.get(item.id)
        if request is None:
            violations.append(f"{item.id} was never sent")
        elif not item.path.startswith(f"/{request.kind}/"):
            violations.append(f"{item.id} ran as {item.path}")
        elif item.team != request.key.removeprefix("key-of-"):
            violations.append(f"{item.id} ran for team {item.team}")
    return violations


def check_answered(history: History) -> list[str]:
    """Checks that each request is answered or ended by its deadline."""
    ended_at = {item.id: item.at for item in history.answers}
    violations = []
    for item in history.sent:
        end = ended_at.get(item.id, float("inf"))
        is_late = end > item.deadline + ANSWER_MARGIN_S
        if is_late and not _is_excused(history, item.daemon, item.at, end):
            violations.append(
                f"{item.id} ended {end - item.deadline:.2f} s late"
            )
    return violations


def _find_changes(history: History, kind: str) -> dict[str, float]:
    """Returns the times of all changes of a kind by name."""
    return {
        change.name: change.at
        for change in history.changes
        if change.kind == kind
    }


def check_removed_keys(history: History) -> list[str]:
    """Checks that nothing runs under a removed key for long."""
    removed = _find_changes(history, "key")
    sent = {item.id: item for item in history.sent}
    violations = []
    for item in history.runs:
        request = sent.get(item.id)
        if request is None or request.key not in removed:
            continue
        bound = removed[request.key] + REVOCATION_LIMIT_S
        if request.at > bound and not _is_excused(
            history, request.daemon, removed[request.key], request.at
        ):
            violations.append(f"{item.id} ran under a removed key")
    return violations


def check_drained(history: History) -> list[str]:
    """Checks that a draining target gets no new requests for long."""
    drained = _find_changes(history, "drain")
    sent = {item.id: item for item in history.sent}
    violations = []
    for item in history.runs:
        at = drained.get(item.target)
        request = sent.get(item.id)
        if at is None or request is None or item.at <= at + DRAIN_LIMIT_S:
            continue
        if not _is_excused(history, request.daemon, at, item.at):
            violations.append(
                f"{item.id} ran at {item.target}, which is draining"
            )
    return violations


def check_recovery(history: History) -> list[str]:
    """Checks that nearly all requests after the last fault are served."""
    recovery_ids = {
        item.id for item in history.sent if item.at >= history.faults_ended_at
    }
    if not recovery_ids:
        return ["no request was sent after the last fault"]
    served = sum(
        1
        for item in history.answers
        if item.id in recovery_ids and item.status == 200 and item.is_whole
    )
    if served >= MIN_SERVED_SHARE * len(recovery_ids):
        return []
    return [f"{served} of {len(recovery_ids)} served after the last fault"]


CHECKS: dict[str, Check] = {
    "at-most-once": check_at_most_once,
    "true-refusals": check_rejections,
    "whole-answers": check_whole_answers,
    "one-version": check_one_version,
    "asked": check_requested,
    "answered": check_answered,
    "removed-keys": check_removed_keys,
    "drained": check_drained,
    "recovery": check_recovery,
}
# Number of events in each stream of the soak's targets.
EVENTS = 6


def check_all(history: History) -> list[str]:
    """Returns all violations, each after the name of its check."""
    return [
        f"{name}: {found}"
        for name, check in CHECKS.items()
        for found in check(history)
    ]


def _is_excused(
    history: History, daemon: int, start: float, end: float
) -> bool:
    return any(
        window.daemon in (None, daemon)
        and window.at <= end
        and window.until >= start
        for window in history.fault_windows
    )
