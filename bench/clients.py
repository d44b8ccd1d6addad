"""Models impatient clients, which time out and send requests again."""

import random

import msgspec


class ClientRequest(msgspec.Struct, kw_only=True):
    """One request of a client, including when it is sent again.

    Attributes:
        id: Number of the request.
        team: Team that sends it.
        first_sent_at: Virtual time of the first send in seconds.
        send_count: Times that it was sent so far.
        done: Whether the client has its answer or has given up.
        answered_at: Virtual time of the complete answer, None without one.
        first_token_s: Time from the first send to the first token.
        rejections: Rejections received.
    """

    id: int
    team: str
    first_sent_at: float
    send_count: int = 0
    done: bool = False
    answered_at: float | None = None
    first_token_s: float | None = None
    rejections: int = 0


class ClientBehaviour(msgspec.Struct, frozen=True, kw_only=True):
    """Timeouts and delays of clients.

    Attributes:
        timeout_s: Time after which a client sends an unanswered request again.
        max_sends: Sends of one request before the client gives up.
        eager_share: Share of resends that ignore the retry-after time.
        eager_delay_s: Delay of those after a rejection.
    """

    timeout_s: float = 4.0
    max_sends: int = 6
    eager_share: float = 0.5
    eager_delay_s: float = 0.25


def draw_resend_delay_s(
    behaviour: ClientBehaviour,
    retry_after_ms: int | None,
    source: random.Random,
) -> float:
    """Returns the delay before a client sends a rejected request again.

    Args:
        behaviour: Timeouts and delays of the clients.
        retry_after_ms: Retry-after time of the rejection, None without one.
        source: Source of randomness.
    """
    is_eager = source.random() < behaviour.eager_share
    if is_eager or retry_after_ms is None:
        return behaviour.eager_delay_s
    return retry_after_ms / 1000.0 * source.uniform(1.0, 1.5)
