"""Plans the requests of a run: seeded, on a schedule that nothing holds up."""

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


class Planned(msgspec.Struct, frozen=True, kw_only=True):
    """One request of the schedule.

    Attributes:
        at_ms: When it is sent, from the start of the run.
        team: Team that sends it.
        service_class: Label for the histograms.
        name: Model or service.
        chat_id: Chat, empty for a call.
        turn: Number of the chat's turn, from 0.
        messages: Messages of a chat, empty for a call.
        max_tokens: Tokens of the answer.
        stream: Whether the answer is streamed.
        idempotency_key: Key of a call, empty for a chat.
        body: Body of a call.
        returning: Whether the chat or the call was sent before.
        at_most_once: Whether the call's key may run at most once.
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


class _Conversation:
    """A chat that grows by a turn with each request."""

    __slots__ = ("chat_id", "max_tokens", "rested_at_ms", "turns", "used")

    def __init__(
        self, *, chat_id: str, turns: list[str], max_tokens: int
    ) -> None:
        self.chat_id = chat_id
        self.turns = turns
        self.max_tokens = max_tokens
        self.rested_at_ms = 0.0
        self.used = 0


class _OpenChats:
    """Chats of one kind that may go on.

    A chat rests after each request, since nobody answers before having read
    the answer. When all rest, another is opened: the schedule never waits.
    """

    __slots__ = ("_chats", "_open_chat", "_pause_ms")

    def __init__(
        self,
        *,
        count: int,
        pause_ms: float,
        open_chat: abc.Callable[[], _Conversation],
    ) -> None:
        self._open_chat = open_chat
        self._pause_ms = pause_ms
        self._chats = [open_chat() for _ in range(count)]

    def pick(self, at_ms: float, source: random.Random) -> _Conversation:
        """Returns a rested chat and lets it rest from now on."""
        rested = [x for x in self._chats if x.rested_at_ms <= at_ms]
        if rested:
            chat = source.choice(rested)
        else:
            chat = self._open_chat()
            self._chats.append(chat)
        chat.rested_at_ms = at_ms + self._pause_ms
        if chat.used + 1 == len(chat.turns):
            self._replace(chat, at_ms)
        return chat

    def _replace(self, chat: _Conversation, at_ms: float) -> None:
        """Opens a new chat in place of one that takes its last turn."""
        follower = self._open_chat()
        follower.rested_at_ms = at_ms + self._pause_ms
        self._chats[self._chats.index(chat)] = follower


def plan_requests(
    profile: profiles.Profile, recording: recordings.Recording | None
) -> abc.Iterator[Planned]:
    """Yields the requests of a run in the order of their times.

    Args:
        profile: What to send.
        recording: The recorded chats, where the profile has some.
    """
    sources: list[abc.Iterator[Planned]] = []
    for index, chats in enumerate(profile.chats):
        source = random.Random(f"{profile.seed}/chats/{index}")
        sources.append(_plan_chats(profile, chats, index, source))
    for index, calls in enumerate(profile.calls):
        source = random.Random(f"{profile.seed}/calls/{index}")
        sources.append(_plan_calls(profile, calls, index, source))
    if profile.recorded is not None and recording is not None:
        source = random.Random(f"{profile.seed}/recorded")
        sources.append(_plan_recorded(profile, recording, source))
    merged = heapq.merge(*sources, key=lambda item: item.at_ms)
    yield from itertools.islice(merged, profile.request_limit)


def _plan_times(
    profile: profiles.Profile, team: str, rate: float, source: random.Random
) -> abc.Iterator[float]:
    """Yields Poisson arrivals, thinned to the rate of each moment."""
    surges = [item for item in profile.surges if item.team == team]
    peak = max([1.0, *(item.multiple for item in surges)])
    now_ms = 0.0
    while True:
        now_ms += source.expovariate(rate * peak) * _MS_PER_S
        if now_ms >= profile.duration_ms:
            return
        if source.random() * peak < _find_multiple(surges, now_ms):
            yield now_ms


def _find_multiple(surges: list[profiles.Surge], at_ms: float) -> float:
    found = [x.multiple for x in surges if x.from_ms <= at_ms < x.until_ms]
    return max(found, default=1.0)


def _plan_chats(
    profile: profiles.Profile,
    chats: profiles.Chats,
    index: int,
    source: random.Random,
) -> abc.Iterator[Planned]:
    numbers = itertools.count()

    def open_chat() -> _Conversation:
        words = [chats.opening_words, *([chats.turn_words] * (chats.turns - 1))]
        return _Conversation(
            chat_id=f"{profile.seed}-{index}-{next(numbers)}",
            turns=[_compose_text(count, source) for count in words],
            max_tokens=chats.max_tokens,
        )

    open_chats = _OpenChats(
        count=chats.chats, pause_ms=chats.pause_ms, open_chat=open_chat
    )
    times = _plan_times(profile, chats.team, chats.requests_per_s, source)
    for at_ms in times:
        yield _take_turn(
            open_chats.pick(at_ms, source),
            at_ms=at_ms,
            team=chats.team,
            service_class=chats.service_class,
            model=chats.model,
            stream=chats.stream,
        )


def _plan_recorded(
    profile: profiles.Profile,
    recording: recordings.Recording,
    source: random.Random,
) -> abc.Iterator[Planned]:
    recorded = profile.recorded
    assert recorded is not None

    def build_opener(
        chat: recordings.Chat,
    ) -> abc.Callable[[], _Conversation]:
        numbers = itertools.count()
        return lambda: _Conversation(
            chat_id=f"{chat.chat_id}-{profile.seed}-{next(numbers)}",
            turns=chat.turns,
            max_tokens=chat.max_tokens,
        )

    open_chats = {
        chat.name: _OpenChats(
            count=1, pause_ms=recorded.pause_ms, open_chat=build_opener(chat)
        )
        for chat in recording.chats
    }
    for at_ms in _plan_times(profile, "", recorded.requests_per_s, source):
        chat = source.choice(recording.chats)
        yield _take_turn(
            open_chats[chat.name].pick(at_ms, source),
            at_ms=at_ms,
            team=chat.team,
            service_class=recorded.service_class,
            model=recording.model,
            stream=True,
        )


def _take_turn(
    chat: _Conversation,
    *,
    at_ms: float,
    team: str,
    service_class: str,
    model: str,
    stream: bool,
) -> Planned:
    turn = chat.used
    chat.used += 1
    return Planned(
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


def _plan_calls(
    profile: profiles.Profile,
    calls: profiles.Calls,
    index: int,
    source: random.Random,
) -> abc.Iterator[Planned]:
    sent: list[tuple[str, bytes]] = []
    times = _plan_times(profile, calls.team, calls.requests_per_s, source)
    for at_ms in times:
        again = bool(sent) and source.random() < calls.resent_share
        if again:
            key, body = source.choice(sent)
        else:
            key = f"{profile.seed}-{index}-{len(sent)}"
            body = msgspec.json.encode({"call": key})
            sent.append((key, body))
        yield Planned(
            at_ms=at_ms,
            team=calls.team,
            service_class=calls.service_class,
            name=calls.service,
            idempotency_key=key,
            body=body,
            returning=again,
            at_most_once=calls.at_most_once,
        )


def _compose_text(words: int, source: random.Random) -> str:
    return " ".join(source.choices(_WORDS, k=words))
