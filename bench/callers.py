"""Fake callers that are impatient: they give up and send again."""

import random

import msgspec


class Sending(msgspec.Struct, kw_only=True):
    """One request of a caller, over all its sendings.

    Attributes:
        id: Number of the request.
        team: Team that sends it.
        born_at: Virtual seconds of the first sending.
        tries: Sendings so far.
        done: Whether the caller has its answer or has given up for good.
        answered_at: Virtual seconds of the whole answer, None without one.
        first_token_s: Time from the first sending to the first token.
        refused: Refusals received.
    """

    id: int
    team: str
    born_at: float
    tries: int = 0
    done: bool = False
    answered_at: float | None = None
    first_token_s: float | None = None
    refused: int = 0


class Patience(msgspec.Struct, frozen=True, kw_only=True):
    """How callers behave.

    Attributes:
        wait_s: Time after which a caller gives a sending up and sends again.
        most_tries: Sendings after which it gives up for good.
        hasty_share: Share of callers that ignore when to come back.
        hasty_pause_s: Their pause after a refusal.
    """

    wait_s: float = 4.0
    most_tries: int = 6
    hasty_share: float = 0.5
    hasty_pause_s: float = 0.25


def draw_pause_s(
    patience: Patience, retry_after_ms: int | None, source: random.Random
) -> float:
    """Returns how long a caller waits after a refusal before it sends again.

    Args:
        patience: How callers behave.
        retry_after_ms: When the refusal says to come back.
        source: Source of randomness.
    """
    hasty = source.random() < patience.hasty_share
    if hasty or retry_after_ms is None:
        return patience.hasty_pause_s
    return retry_after_ms / 1000.0 * source.uniform(1.0, 1.5)
