"""Client requests, their dispatch to targets, and heads of the answers."""

from collections import abc
import enum

import msgspec

from mothpass.core import errors
from mothpass.core import prompts

# Name and value of a header, in the bytes of the wire.
Header = tuple[bytes, bytes]

# Hop-by-hop headers and those that frame the message on a connection.
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"transfer-encoding",
        b"content-length",
        b"te",
        b"trailer",
        b"upgrade",
    }
)


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """A client's request.

    Attributes:
        id: Id that the client gave this request; "" without one.
        method: HTTP method.
        url: Path and query as the client sent them.
        host: Host name in lower case, without a port.
        headers: Headers that are forwarded to the target unchanged.
        body: The complete body.
        api_key: API key of the client's team, None without one.
        deadline: Monotonic seconds at which the client stops waiting.
        prompt: Parts of the prompt in order; empty for plain requests.
        prompt_tokens: Tokens of the whole prompt, 0 if not stated.
        position: Id of the last event that the client has received, None
            without one.
        resumed_id: Id of the request that began the stream, None if the
            request begins one or doesn't name it.
        arrived_at: Monotonic seconds at which the request arrived.
    """

    id: str
    method: bytes
    url: bytes
    host: str
    headers: tuple[Header, ...]
    body: bytes
    api_key: str | None
    deadline: float
    prompt: tuple[prompts.Part, ...]
    prompt_tokens: int
    position: int | None
    resumed_id: str | None = None
    arrived_at: float


class Dispatch(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters with which a request is dispatched to one target.

    Attributes:
        target_id: The only target that may run the request.
        team: Team of the client, None if the route needs no API key.
        priority: Priority of the request; 0 is the most urgent.
        timeout_ms: Time for which the target may work on the request.
        position: Id of the last event that need not be sent again.
        cache_source: Address of a target to fetch the prompt cache from, or
            None.
    """

    target_id: str
    team: str | None
    priority: int
    timeout_ms: int
    position: int | None
    cache_source: str | None


class ExecutionState(enum.StrEnum):
    """Whether a request ran, according to a target's answer."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class AnswerHead(msgspec.Struct, frozen=True, kw_only=True):
    """The head of a target's answer.

    Attributes:
        status: HTTP status.
        headers: Headers that the client gets unchanged.
        request_id: Id of the answered request, None without one.
        execution_state: Whether the request ran.
        is_other_target: Whether the address now belongs to another target.
        is_leaving: Whether the target says that it is about to leave.
        pause_s: Seconds for which it wants no requests, None without a wish.
        limit_per_s: Requests per second that it takes from all daemons
            together, None without a limit.
        turned_away_per_s: Requests that it can turn away within a second before
            it falls over, None if it isn't fragile.
        is_signed: Whether the answer has the target's signature.
        idle_timeout_s: Time for which the target keeps an idle connection
            open, None if not stated.
        refusal: Refusal of the peer that the request was forwarded to, None in
            the answer of a target.
    """

    status: int
    headers: tuple[Header, ...]
    request_id: str | None
    execution_state: ExecutionState
    is_other_target: bool
    is_leaving: bool = False
    pause_s: float | None = None
    limit_per_s: float | None = None
    turned_away_per_s: float | None = None
    is_signed: bool
    idle_timeout_s: float | None
    refusal: errors.Refusal | None = None


class ClientHead(msgspec.Struct, frozen=True, kw_only=True):
    """The head of a client's request as received.

    Attributes:
        method: HTTP method.
        url: Path and query.
        headers: Headers in order, names in lower case.
        arrived_at: Monotonic seconds at which the head arrived.
    """

    method: bytes
    url: bytes
    headers: tuple[Header, ...]
    arrived_at: float


# Parses a client's request from its head and complete body.
ReadRequest = abc.Callable[[ClientHead, bytes], Request]

# Serializes the request that is sent to a target.
WriteRequest = abc.Callable[[Request, Dispatch], bytes]

# Parses the status and the headers of a target's answer.
ReadAnswerHead = abc.Callable[[int, tuple[Header, ...]], AnswerHead]
