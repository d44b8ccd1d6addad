"""Requests that are passed on to targets, and what targets answer."""

from collections import abc
import enum

import msgspec

from mothpass.core import prompts

# Name and value of a header, as bytes on the wire.
Header = tuple[bytes, bytes]

# Headers that concern one connection only, or the framing on it.
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
    """One attempt of a client.

    Attributes:
        id: Id that the client gave this attempt; "" for none.
        method: HTTP method.
        url: Path and query as the client sent them.
        host: Host name in lower case, without a port.
        headers: Headers that a target is shown unchanged.
        body: The whole body.
        key: Key of the client's team, None where it shows none.
        deadline: Monotonic seconds at which the client stops waiting.
        prompt: Parts of the prompt in order; empty for plain requests.
        prompt_tokens: Tokens of the whole prompt, 0 where it isn't said.
        position: Id of the last event that the client has, None for none.
        arrived_at: Monotonic seconds at which it arrived.
    """

    id: str
    method: bytes
    url: bytes
    host: str
    headers: tuple[Header, ...]
    body: bytes
    key: str | None
    deadline: float
    prompt: tuple[prompts.Part, ...]
    prompt_tokens: int
    position: int | None
    arrived_at: float


class Dispatch(msgspec.Struct, frozen=True, kw_only=True):
    """How a request is sent to one target.

    Attributes:
        target_id: The only target that may run it.
        team: Team of the client, None where the route needs no key.
        urgency: 0 is the most urgent.
        left_ms: Time for which the target may work on it.
        position: Id of the last event that need not be sent again.
        source: Address of a target to fetch prompt memory from, or None.
    """

    target_id: str
    team: str | None
    urgency: int
    timeout_ms: int
    position: int | None
    source: str | None


class ExecutionState(enum.StrEnum):
    """What an answer says of whether the request ran."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class AnswerHead(msgspec.Struct, frozen=True, kw_only=True):
    """The head of a target's answer.

    Attributes:
        status: HTTP status.
        headers: Headers that the client gets unchanged.
        request_id: Id of the request that it answers, None for none.
        fate: Whether the request ran.
        is_other_target: Whether another target has the address.
        is_signed: Whether it bears the target's signature.
        idle_timeout_s: How long the target keeps the connection without a
            request, None where it doesn't say.
    """

    status: int
    headers: tuple[Header, ...]
    request_id: str | None
    execution_state: ExecutionState
    is_other_target: bool
    is_signed: bool
    idle_timeout_s: float | None


class ClientHead(msgspec.Struct, frozen=True, kw_only=True):
    """The head of a client's request as it arrived.

    Attributes:
        method: HTTP method.
        url: Path and query.
        headers: Headers in order, names in lower case.
        arrived_at: Monotonic seconds.
    """

    method: bytes
    url: bytes
    headers: tuple[Header, ...]
    arrived_at: float


# Reads a client's request: head and whole body.
ReadRequest = abc.Callable[[ClientHead, bytes], Request]

# Writes the request that a target gets.
WriteRequest = abc.Callable[[Request, Dispatch], bytes]

# Reads the status and the headers of a target's answer.
ReadAnswerHead = abc.Callable[[int, tuple[Header, ...]], AnswerHead]
