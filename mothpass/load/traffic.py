"""Generates the open-loop request schedule of a run from a seed."""

from collections import abc
import heapq
import itertools
import random

import msgspec

from mothpass.load import profiles
from mothpass.load import recordings
from mothpass.standin import answers

_MS_PER_S = 1000.0
_WORDS = (
    "barber",
    "basin",
    "booking",
    "cellar",
    "chair",
    "clause",
    "credit",
    "glycol",
    "keg",
    "lease",
    "line",
    "notice",
    "probe",
    "reading",
    "rent",
    "tap",
)


class PlannedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One request of the schedule, to a model or to a plain service.

    Attributes:
        at_ms: Time at which it is due, from the start of the run.
        team: Team that sends it.
        service_class: Label for the histograms.
        name: Model or service.
        chat_id: Id of the chat; empty for a service request.
        turn: Index of the turn in its chat.
        messages: Messages of the chat; empty for a service request.
        max_tokens: Number of tokens in the answer.
        stream: Whether the answer is streamed.
        idempotency_key: Key of a service request; empty for a chat.
        body: Body of a service request.
        returning: Whether the chat, or the idempotency key, was sent before.
        at_most_once: Whether the request may run at most once under its key.
    """

    at_ms: float
    team: str
    service_class: str
    name: str
    chat_id: str = ""
    turn: int = 0
    messages: list[answers.Message] = []
    max_tokens: int = 0
    stream: bool = False
    idempotency_key: str = ""
    body: bytes = b""
    returning: bool = False
    at_most_once: bool = False


class _Chat:
    """A generated chat that grows by one turn with each request."""

    __slots__ = ("chat_id", "max_tokens", "ready_at_ms", "turns", "turns_sent")

    def __init__(
        self, *, chat_id: str, turns: list[str], max_tokens: int
    ) -> None:
        self.chat_id = chat_id
        self.turns = turns
        self.max_tokens = max_tokens
        self.ready_at_ms = 0.0
        self.turns_sent = 0


class _ChatPool:
    """Open chats that follow the same settings.

    A chat pauses after each request, as a user reads the answer before
    writing again. If all chats are paused, another one is opened, so the
    schedule is never delayed.
    """

    __slots__ = ("_chats", "_open_chat", "_pause_ms")

    def __init__(
        self,
        *,
        count: int,
        pause_ms: float,
        open_chat: abc.Callable[[], _Chat],
    ) -> None:
        self._open_chat = open_chat
        self._pause_ms = pause_ms
        self._chats = [open_chat() for _ in range(count)]

    def pick(self, at_ms: float, rng: random.Random) -> _Chat:
        """Returns a chat that isn't paused and pauses it from now on."""
        ready = [x for x in self._chats if x.ready_at_ms <= at_ms]
        if ready:
            chat = rng.choice(ready)
        else:
            chat = self._open_chat()
            self._chats.append(chat)
        chat.ready_at_ms = at_ms + self._pause_ms
        if chat.turns_sent + 1 == len(chat.turns):
            self._replace(chat, at_ms)
        return chat

    def _replace(self, chat: _Chat, at_ms: float) -> None:
        """Replaces a chat that takes its last turn by a new one."""
        replacement = self._open_chat()
        replacement.ready_at_ms = at_ms + self._pause_ms
        self._chats[self._chats.index(chat)] = replacement


def plan_requests(
    profile: profiles.Profile, recording: recordings.Recording | None
) -> abc.Iterator[PlannedRequest]:
    """Yields the requests of a run in the order in which they are due.

    Args:
        profile: Profile of the run.
        recording: Recorded chats, None if the profile names none.
    """
    schedules: list[abc.Iterator[PlannedRequest]] = []
    for index, chats in enumerate(profile.chats):
        rng = random.Random(f"{profile.seed}/chats/{index}")
        schedules.append(_plan_chats(profile, chats, index, rng))
    for index, calls in enumerate(profile.calls):
        rng = random.Random(f"{profile.seed}/calls/{index}")
        schedules.append(_plan_service_requests(profile, calls, index, rng))
    if profile.recorded is not None and recording is not None:
        rng = random.Random(f"{profile.seed}/recorded")
        schedules.append(_plan_recorded(profile, recording, rng))
    merged = heapq.merge(*schedules, key=lambda item: item.at_ms)
    yield from itertools.islice(merged, profile.request_limit)


def _plan_arrivals(
    profile: profiles.Profile, team: str, rate: float, rng: random.Random
) -> abc.Iterator[float]:
    """Yields arrival times of a Poisson process, thinned to the current rate.

    Arrivals are generated at the peak rate of all surges and kept with the
    probability of the rate at their time over the peak.
    """
    surges = [item for item in profile.surges if item.team == team]
    peak_multiple = max([1.0, *(item.multiple for item in surges)])
    now_ms = 0.0
    while True:
        now_ms += rng.expovariate(rate * peak_multiple) * _MS_PER_S
        if now_ms >= profile.duration_ms:
            return
        if rng.random() * peak_multiple < _find_rate_multiple(surges, now_ms):
            yield now_ms


def _find_rate_multiple(surges: list[profiles.Surge], at_ms: float) -> float:
    found = [x.multiple for x in surges if x.from_ms <= at_ms < x.until_ms]
    return max(found, default=1.0)


def _plan_chats(
    profile: profiles.Profile,
    chats: profiles.Chats,
    index: int,
    rng: random.Random,
) -> abc.Iterator[PlannedRequest]:
    chat_numbers = itertools.count()

    def open_chat() -> _Chat:
        words = [chats.opening_words, *([chats.turn_words] * (chats.turns - 1))]
        return _Chat(
            chat_id=f"{profile.seed}-{index}-{next(chat_numbers)}",
            turns=[_compose_text(count, rng) for count in words],
            max_tokens=chats.max_tokens,
        )

    open_chats = _ChatPool(
        count=chats.chats, pause_ms=chats.pause_ms, open_chat=open_chat
    )
    arrivals = _plan_arrivals(profile, chats.team, chats.requests_per_s, rng)
    for at_ms in arrivals:
        yield _plan_turn(
            open_chats.pick(at_ms, rng),
            at_ms=at_ms,
            team=chats.team,
            service_class=chats.service_class,
            model=chats.model,
            stream=chats.stream,
        )


def _plan_recorded(
    profile: profiles.Profile,
    recording: recordings.Recording,
    rng: random.Random,
) -> abc.Iterator[PlannedRequest]:
    recorded = profile.recorded
    assert recorded is not None

    def build_chat_factory(
        chat: recordings.Chat,
    ) -> abc.Callable[[], _Chat]:
        chat_numbers = itertools.count()
        return lambda: _Chat(
            chat_id=f"{chat.chat_id}-{profile.seed}-{next(chat_numbers)}",
            turns=chat.turns,
            max_tokens=chat.max_tokens,
        )

    open_chats = {
        chat.name: _ChatPool(
            count=1,
            pause_ms=recorded.pause_ms,
            open_chat=build_chat_factory(chat),
        )
        for chat in recording.chats
    }
    for at_ms in _plan_arrivals(profile, "", recorded.requests_per_s, rng):
        chat = rng.choice(recording.chats)
        yield _plan_turn(
            open_chats[chat.name].pick(at_ms, rng),
            at_ms=at_ms,
            team=chat.team,
            service_class=recorded.service_class,
            model=recording.model,
            stream=True,
        )


def _plan_turn(
    chat: _Chat,
    *,
    at_ms: float,
    team: str,
    service_class: str,
    model: str,
    stream: bool,
) -> PlannedRequest:
    turn = chat.turns_sent
    chat.turns_sent += 1
    return PlannedRequest(
        at_ms=at_ms,
        team=team,
        service_class=service_class,
        name=model,
        chat_id=chat.chat_id,
        turn=turn,
        messages=recordings.build_messages(chat.turns, turn, chat.max_tokens),
        max_tokens=chat.max_tokens,
        stream=stream,
        returning=turn > 0,
    )


def _plan_service_requests(
    profile: profiles.Profile,
    calls: profiles.Calls,
    index: int,
    rng: random.Random,
) -> abc.Iterator[PlannedRequest]:
    sent: list[tuple[str, bytes]] = []
    arrivals = _plan_arrivals(profile, calls.team, calls.requests_per_s, rng)
    for at_ms in arrivals:
        is_resent = bool(sent) and rng.random() < calls.resent_share
        if is_resent:
            key, body = rng.choice(sent)
        else:
            key = f"{profile.seed}-{index}-{len(sent)}"
            body = msgspec.json.encode({"call": key})
            sent.append((key, body))
        yield PlannedRequest(
            at_ms=at_ms,
            team=calls.team,
            service_class=calls.service_class,
            name=calls.service,
            idempotency_key=key,
            body=body,
            returning=is_resent,
            at_most_once=calls.at_most_once,
        )


def _compose_text(words: int, rng: random.Random) -> str:
    return " ".join(rng.choices(_WORDS, k=words))
