"""Promises of the relay, checked on what clients and targets have seen.

Each checker takes a history and returns what breaks its promise.
"""

import collections
from collections import abc

import msgspec

# Kinds of requests, as the soak's routes name them.
PAY = "pay"
READ = "read"
CHAT = "chat"
ONCE = "once"
NOT_REPEATABLE = (PAY, ONCE)
# Statuses that say that a request has not run and never will.
PROMISES = (408, 421, 429, 503)
# Time that an answer may take beyond its deadline.
LATE_S = 0.75
# Time after a removed key's acknowledgement at which nothing runs under it.
REVOKE_S = 2.5
# The same for a target that drains.
DRAIN_S = 2.5
# Part of the requests after the last fault that must be served.
SERVED_SHARE = 0.9


class Sent(msgspec.Struct, frozen=True, kw_only=True):
    """A request that a client sent; times are monotonic seconds."""

    id: str
    kind: str
    key: str
    daemon: int
    at: float
    deadline: float


class Answered(msgspec.Struct, frozen=True, kw_only=True):
    """What the client got.

    Attributes:
        id: Id of the request.
        status: HTTP status, 0 if the connection ended before it.
        body: What arrived.
        is_whole: Whether the answer has its end.
        is_signed: Whether it bears a target's signature.
        at: When it ended.
    """

    id: str
    status: int
    body: str
    is_whole: bool
    is_signed: bool
    at: float


class Ran(msgspec.Struct, frozen=True, kw_only=True):
    """A run at a target.

    Attributes:
        id: Id of the request.
        target: Id of the target.
        path: Path as it arrived.
        team: Team as it arrived.
        at: When it began.
    """

    id: str
    target: str
    path: str
    team: str
    at: float


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """Something that the store acknowledged: a key or a target left."""

    what: str
    name: str
    at: float


class Trouble(msgspec.Struct, frozen=True, kw_only=True):
    """A fault that excuses what is late while it lasts and a while after.

    Attributes:
        kind: What it is.
        daemon: Daemon that it strikes, None for all.
        at: When it began.
        until: When it had ended, with the time to get over it.
    """

    kind: str
    daemon: int | None
    at: float
    until: float


class History(msgspec.Struct, kw_only=True):
    """All that happened in one run.

    Attributes:
        calm_at: When the last fault had ended.
    """

    sent: list[Sent] = []
    answered: list[Answered] = []
    ran: list[Ran] = []
    changes: list[Change] = []
    troubles: list[Trouble] = []
    calm_at: float = float("inf")


Check = abc.Callable[[History], list[str]]


def make_body(request_id: str) -> str:
    """Returns the one right body of an answer that isn't streamed."""
    return f"body of {request_id}"


def make_stream(request_id: str, events: int) -> str:
    """Returns the one right stream of a request."""
    return "".join(
        f"id: {number}\ndata: {request_id} {number}\n\n"
        for number in range(events)
    )


def check_at_most_once(history: History) -> list[str]:
    """A request that may not be repeated runs at most once."""
    kinds = {item.id: item.kind for item in history.sent}
    runs = collections.Counter(
        item.id for item in history.ran if kinds.get(item.id) in NOT_REPEATABLE
    )
    return [
        f"{name} ran {count} times" for name, count in runs.items() if count > 1
    ]


def check_true_refusals(history: History) -> list[str]:
    """A status that says "not run" is true, also later."""
    kinds = {item.id: item.kind for item in history.sent}
    ran = {item.id for item in history.ran}
    return [
        f"{item.id} was refused with {item.status} and ran"
        for item in history.answered
        if item.status in PROMISES
        and item.id in ran
        and kinds[item.id] in NOT_REPEATABLE
    ]


def check_whole_answers(history: History) -> list[str]:
    """A success is whole, signed, and the right one for its request."""
    kinds = {item.id: item.kind for item in history.sent}
    broken = []
    for item in history.answered:
        is_stream = kinds[item.id] in (CHAT, ONCE)
        expected = (
            make_stream(item.id, EVENTS) if is_stream else make_body(item.id)
        )
        if item.status != 200:
            continue
        if not item.is_signed:
            broken.append(f"{item.id}: success without a signature")
        elif item.is_whole and item.body != expected:
            broken.append(f"{item.id}: wrong whole answer {item.body!r}")
        elif not expected.startswith(item.body):
            broken.append(f"{item.id}: wrong part of an answer {item.body!r}")
    return broken


def check_asked(history: History) -> list[str]:
    """Targets run only what clients sent, unchanged, for the right team."""
    sent = {item.id: item for item in history.sent}
    broken = []
    for item in history.ran:
        request = sent.get(item.id)
        if request is None:
            broken.append(f"{item.id} was never sent")
        elif not item.path.startswith(f"/{request.kind}/"):
            broken.append(f"{item.id} ran as {item.path}")
        elif item.team != request.key.removeprefix("key-of-"):
            broken.append(f"{item.id} ran for team {item.team}")
    return broken


def check_answered(history: History) -> list[str]:
    """Each request gets its final answer, or an end, by its deadline."""
    ends = {item.id: item.at for item in history.answered}
    broken = []
    for item in history.sent:
        end = ends.get(item.id, float("inf"))
        is_late = end > item.deadline + LATE_S
        if is_late and not _is_excused(history, item.daemon, item.at, end):
            broken.append(f"{item.id} ended {end - item.deadline:.2f} s late")
    return broken


def _find_changes(history: History, what: str) -> dict[str, float]:
    """Returns when each thing was changed in one way, by its name."""
    return {
        change.name: change.at
        for change in history.changes
        if change.what == what
    }


def check_removed_keys(history: History) -> list[str]:
    """Nothing runs under a key for long after it was taken away."""
    removed = _find_changes(history, "key")
    sent = {item.id: item for item in history.sent}
    broken = []
    for item in history.ran:
        request = sent.get(item.id)
        if request is None or request.key not in removed:
            continue
        bound = removed[request.key] + REVOKE_S
        if request.at > bound and not _is_excused(
            history, request.daemon, removed[request.key], request.at
        ):
            broken.append(f"{item.id} ran under a key that was taken away")
    return broken


def check_drained(history: History) -> list[str]:
    """A target that drains gets nothing new for long."""
    drained = _find_changes(history, "drain")
    sent = {item.id: item for item in history.sent}
    broken = []
    for item in history.ran:
        at = drained.get(item.target)
        request = sent.get(item.id)
        if at is None or request is None or item.at <= at + DRAIN_S:
            continue
        if not _is_excused(history, request.daemon, at, item.at):
            broken.append(f"{item.id} ran at {item.target}, which drains")
    return broken


def check_recovery(history: History) -> list[str]:
    """After the last fault nearly all requests are served."""
    late = {item.id for item in history.sent if item.at >= history.calm_at}
    if not late:
        return ["no request was sent after the last fault"]
    served = sum(
        1
        for item in history.answered
        if item.id in late and item.status == 200 and item.is_whole
    )
    if served >= SERVED_SHARE * len(late):
        return []
    return [f"{served} of {len(late)} served after the last fault"]


CHECKS: dict[str, Check] = {
    "at-most-once": check_at_most_once,
    "true-refusals": check_true_refusals,
    "whole-answers": check_whole_answers,
    "asked": check_asked,
    "answered": check_answered,
    "removed-keys": check_removed_keys,
    "drained": check_drained,
    "recovery": check_recovery,
}
# Events of each stream of the soak's targets.
EVENTS = 6


def check_all(history: History) -> list[str]:
    """Returns what breaks any promise, each with the name of its check."""
    return [
        f"{name}: {found}"
        for name, check in CHECKS.items()
        for found in check(history)
    ]


def _is_excused(
    history: History, daemon: int, start: float, end: float
) -> bool:
    return any(
        trouble.daemon in (None, daemon)
        and trouble.at <= end
        and trouble.until >= start
        for trouble in history.troubles
    )
