"""Traffic of returning chats of ten teams, a few of them large."""

import random

import msgspec

TEAM_SHARES = (0.24, 0.2, 0.16, 0.08, 0.08, 0.06, 0.06, 0.05, 0.04, 0.03)
OUTPUT_TOKENS = 60
TURN_TOKENS = 150
FIRST_PROMPT_TOKENS = (300, 4000)


class Turn(msgspec.Struct, frozen=True, kw_only=True):
    """One request of a chat.

    Attributes:
        at: Virtual seconds of its arrival.
        team: Number of the team.
        chat: 64-bit hash of the chat.
        prompt_tokens: Length of the prompt, earlier turns included.
        output_tokens: Length of the answer.
        returning: Whether the chat has been seen before.
    """

    at: float
    team: int
    chat: int
    prompt_tokens: int
    output_tokens: int
    returning: bool


class Surge(msgspec.Struct, frozen=True, kw_only=True):
    """A team that sends more for a while.

    Attributes:
        team: Number of the team.
        factor: Multiple of its usual rate.
        begin: Virtual seconds.
        end: Virtual seconds.
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
    """Makes the requests of all teams, in order of arrival.

    Args:
        rng: Source of randomness.
        rate: Requests a second of all teams together, without the surge.
        duration: Virtual seconds.
        chats: Chats of all teams together; each team has its share.
        surge: A team that sends more for a while.

    Returns:
        The requests; arrivals are a Poisson process for each team.
    """
    turns: list[Turn] = []
    for team, share in enumerate(TEAM_SHARES):
        known = max(2, round(chats * share))
        turns += _make_team(rng, team, rate * share, duration, known, surge)
    return sorted(turns, key=lambda turn: turn.at)


def _make_team(
    rng: random.Random,
    team: int,
    rate: float,
    duration: float,
    count: int,
    surge: Surge | None,
) -> list[Turn]:
    chats: dict[int, _Chat] = {}
    turns: list[Turn] = []
    now = 0.0
    while True:
        now += rng.expovariate(_find_rate(rate, team, now, surge))
        if now >= duration:
            return turns
        place = rng.randrange(count)
        chat = chats.get(place)
        returning = chat is not None
        if chat is None:
            tokens = round(rng.triangular(*FIRST_PROMPT_TOKENS))
            chat = _Chat(chat_hash=rng.getrandbits(64), tokens=tokens)
            chats[place] = chat
        output = max(4, round(rng.expovariate(1 / OUTPUT_TOKENS)))
        turns.append(
            Turn(
                at=now,
                team=team,
                chat=chat.hash,
                prompt_tokens=chat.tokens,
                output_tokens=output,
                returning=returning,
            )
        )
        chat.tokens += output + TURN_TOKENS
        if chat.tokens > 2 * FIRST_PROMPT_TOKENS[1]:
            del chats[place]


def _find_rate(
    rate: float, team: int, now: float, surge: Surge | None
) -> float:
    if surge is None or surge.team != team:
        return rate
    return rate * surge.factor if surge.begin <= now < surge.end else rate
