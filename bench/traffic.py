"""Generates requests of returning chats of ten teams of unequal size."""

import random

import msgspec

TEAM_SHARES = (0.24, 0.2, 0.16, 0.08, 0.08, 0.06, 0.06, 0.05, 0.04, 0.03)
OUTPUT_TOKENS = 60
TURN_TOKENS = 150
FIRST_PROMPT_TOKENS = (300, 4000)


class Turn(msgspec.Struct, frozen=True, kw_only=True):
    """One request of a chat.

    Attributes:
        at: Virtual time of its arrival in seconds.
        team: Number of the team.
        chat: 64-bit hash of the chat.
        prompt_tokens: Length of the prompt, earlier turns included.
        output_tokens: Length of the answer.
        returning: Whether the chat has sent a request before.
    """

    at: float
    team: int
    chat: int
    prompt_tokens: int
    output_tokens: int
    returning: bool


class Surge(msgspec.Struct, frozen=True, kw_only=True):
    """A team whose request rate rises for a while.

    Attributes:
        team: Number of the team.
        factor: Multiple of its usual rate.
        begin: Virtual time of its start in seconds.
        end: Virtual time of its end in seconds.
    """

    team: int
    factor: float
    begin: float
    end: float


class _Chat:
    __slots__ = ("hash", "tokens")

    def __init__(self, *, chat_hash: int, tokens: int) -> None:
        self.hash = chat_hash
        self.tokens = tokens


def make_turns(
    *,
    rng: random.Random,
    rate: float,
    duration: float,
    chats: int,
    surge: Surge | None = None,
) -> list[Turn]:
    """Returns the requests of all teams in order of arrival.

    Args:
        rng: Source of randomness.
        rate: Requests per second of all teams together, without the surge.
        duration: Length of the run in virtual seconds.
        chats: Chats of all teams together; each team has its share.
        surge: A team whose request rate rises for a while, None for none.

    Returns:
        The requests; arrivals are a Poisson process for each team.
    """
    turns: list[Turn] = []
    for team, share in enumerate(TEAM_SHARES):
        chat_count = max(2, round(chats * share))
        turns += _make_team_turns(
            rng, team, rate * share, duration, chat_count, surge
        )
    return sorted(turns, key=lambda turn: turn.at)


def _make_team_turns(
    rng: random.Random,
    team: int,
    rate: float,
    duration: float,
    chat_count: int,
    surge: Surge | None,
) -> list[Turn]:
    chats: dict[int, _Chat] = {}
    turns: list[Turn] = []
    now = 0.0
    while True:
        now += rng.expovariate(_find_rate(rate, team, now, surge))
        if now >= duration:
            return turns
        chat_index = rng.randrange(chat_count)
        chat = chats.get(chat_index)
        returning = chat is not None
        if chat is None:
            tokens = round(rng.triangular(*FIRST_PROMPT_TOKENS))
            chat = _Chat(chat_hash=rng.getrandbits(64), tokens=tokens)
            chats[chat_index] = chat
        answer_tokens = max(4, round(rng.expovariate(1 / OUTPUT_TOKENS)))
        turns.append(
            Turn(
                at=now,
                team=team,
                chat=chat.hash,
                prompt_tokens=chat.tokens,
                output_tokens=answer_tokens,
                returning=returning,
            )
        )
        chat.tokens += answer_tokens + TURN_TOKENS
        if chat.tokens > 2 * FIRST_PROMPT_TOKENS[1]:
            del chats[chat_index]


def _find_rate(
    rate: float, team: int, now: float, surge: Surge | None
) -> float:
    if surge is None or surge.team != team:
        return rate
    return rate * surge.factor if surge.begin <= now < surge.end else rate
