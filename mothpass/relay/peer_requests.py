"""Encodes the requests that daemons forward to each other, and the answers."""

from collections import abc

import msgspec

from mothpass.adapters import relay_listener
from mothpass.core import decoding
from mothpass.core import errors
from mothpass.core import results
from mothpass.ports import relay

PATH = b"/requests"
# Room for the request's own fields beside its body.
MESSAGE_OVERHEAD_BYTES = 65_536
# Marks the answers to forwarded requests.
_ANSWER_HEADER = b"x-mothpass-answer"
_REFUSAL_HEADER = b"x-mothpass-refusal"
_FROM_TARGET = b"target"
_OWN_HEADERS = frozenset({_ANSWER_HEADER, _REFUSAL_HEADER})


class ForwardedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that a peer is to handle.

    Attributes:
        request: The request; its times are those of the sender's clock.
        timeout_s: Seconds until its final answer is due.
        max_attempts: Attempts in which it may still run.
        avoided: Ids of targets that it was sent to before.
        version: Fingerprint of the only software version that may run it, None
            for any.
    """

    request: relay.Request
    timeout_s: float
    max_attempts: int
    avoided: list[str]
    version: int | None


class PeerResponder:
    """Writes the response to a forwarded request; see ``Responder``."""

    __slots__ = ("_connection",)

    def __init__(self, connection: relay_listener.ClientConnection) -> None:
        """Wraps the connection of a peer."""
        self._connection = connection

    @property
    def response_started(self) -> bool:
        """Whether any byte of the response was written."""
        return self._connection.response_started

    def record_answer_size(
        self, size_bytes: int, give_up: abc.Callable[[], None]
    ) -> None:
        """Records how much of a response is held before it is written."""
        self._connection.record_answer_size(size_bytes, give_up)

    def write_response(
        self, status: int, headers: abc.Iterable[relay.Header], body: bytes
    ) -> None:
        """Writes a complete response of a target."""
        self._connection.write_response(status, _mark(headers), body)

    def write_rejection(self, refusal: errors.Refusal) -> None:
        """Writes a refusal that the peer can decode."""
        self._connection.write_response(
            results.get_http_status(refusal.code),
            [
                (_ANSWER_HEADER, b"refusal"),
                (_REFUSAL_HEADER, msgspec.json.encode(refusal)),
            ],
            b"",
        )

    def start_stream(
        self, status: int, headers: abc.Iterable[relay.Header]
    ) -> None:
        """Writes the head of a stream."""
        self._connection.start_stream(status, _mark(headers))

    async def write_chunk(self, data: bytes) -> None:
        """Writes a part of a stream."""
        await self._connection.write_chunk(data)

    def end_stream(self) -> None:
        """Writes the end of a stream."""
        self._connection.end_stream()

    def abort(self) -> None:
        """Closes the connection at once."""
        self._connection.abort()


def encode_request(address: str, forwarded: ForwardedRequest) -> bytes:
    """Returns the bytes that ask a peer to handle a request."""
    body = msgspec.msgpack.encode(forwarded)
    head = b"POST %s HTTP/1.1\r\nhost: %s\r\ncontent-length: %d\r\n\r\n" % (
        PATH,
        address.encode(),
        len(body),
    )
    return head + body


def decode_request(body: bytes, now: float) -> ForwardedRequest:
    """Returns a peer's request, with times of this daemon's clock.

    Raises:
        errors.MalformedInputError: If it can't be decoded.
    """
    forwarded = decoding.decode_msgpack(body, ForwardedRequest)
    request = msgspec.structs.replace(
        forwarded.request, arrived_at=now, deadline=now + forwarded.timeout_s
    )
    return msgspec.structs.replace(forwarded, request=request)


def make_read_head(
    read_answer_head: relay.ReadAnswerHead,
) -> relay.ReadAnswerHead:
    """Returns a function that decodes the head of a peer's response.

    Args:
        read_answer_head: Decodes the head of a target's answer.
    """

    def read_head(
        status: int, headers: tuple[relay.Header, ...]
    ) -> relay.AnswerHead:
        fields = dict(headers)
        if fields.get(_ANSWER_HEADER) != _FROM_TARGET:
            return _make_refused_head(status, fields.get(_REFUSAL_HEADER, b""))
        # What the target says of itself, it says to the peer.
        return msgspec.structs.replace(
            read_answer_head(
                status,
                tuple(item for item in headers if item[0] != _ANSWER_HEADER),
            ),
            execution_state=relay.ExecutionState.RAN,
            is_other_target=False,
            is_leaving=False,
            pause_s=None,
            limit_per_s=None,
            idle_timeout_s=None,
        )

    return read_head


def _make_refused_head(status: int, encoded: bytes) -> relay.AnswerHead:
    try:
        refusal = decoding.decode_json(encoded, errors.Refusal)
    except errors.MalformedInputError:
        refusal = errors.Refusal(
            code=results.Code.INTERNAL,
            ran=results.Ran.UNKNOWN,
            message="a peer failed to handle the request",
        )
    return relay.AnswerHead(
        status=status,
        headers=(),
        request_id=None,
        execution_state=relay.ExecutionState.NOT_RUN
        if refusal.ran is results.Ran.NO
        else relay.ExecutionState.UNKNOWN,
        is_other_target=False,
        is_signed=False,
        idle_timeout_s=None,
        refusal=refusal,
    )


def _mark(headers: abc.Iterable[relay.Header]) -> list[relay.Header]:
    """Returns a target's headers, marked as such for the peer."""
    passed_on = [item for item in headers if item[0] not in _OWN_HEADERS]
    return [(_ANSWER_HEADER, _FROM_TARGET), *passed_on]
