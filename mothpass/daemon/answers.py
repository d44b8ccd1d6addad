"""Encodes what callers get: events, whole answers and refusals."""

from collections import abc
import typing

import msgspec

from mothpass.core import errors
from mothpass.core import results
from mothpass.ports import targets

STREAM_END = b"data: [DONE]\n\n"
JSON_TYPE = b"application/json"
EVENTS_TYPE = b"text/event-stream"


_NO_USAGE = msgspec.Raw(b"null")


class _Delta(msgspec.Struct, forbid_unknown_fields=True):
    role: str | None = None
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta
    index: int = 0
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    choices: list[_Choice]
    id: str = ""
    created: int = 0
    model: str = ""
    usage: msgspec.Raw = _NO_USAGE


class _WholeMessage(msgspec.Struct, kw_only=True):
    role: str
    content: str


class _WholeChoice(msgspec.Struct, kw_only=True):
    index: int
    message: _WholeMessage
    finish_reason: str | None


class _Completion(msgspec.Struct, kw_only=True, omit_defaults=True):
    id: str
    object: str
    created: int
    model: str
    choices: list[_WholeChoice]
    usage: msgspec.Raw | None = None


class _Error(msgspec.Struct, kw_only=True):
    code: int
    name: str
    ran: results.Ran
    message: str
    retry_after_ms: int | None
    request_id: str


class _ErrorBody(msgspec.Struct, kw_only=True):
    error: _Error


def encode_refusal(refusal: errors.Refusal, request_id: str) -> bytes:
    """Encodes a refusal as the body of an error answer."""
    error = _Error(
        code=int(refusal.code),
        name=refusal.code.name,
        ran=refusal.ran,
        message=refusal.message,
        retry_after_ms=refusal.retry_after_ms,
        request_id=request_id,
    )
    return msgspec.json.encode(_ErrorBody(error=error))


def encode_refusal_event(refusal: errors.Refusal, request_id: str) -> bytes:
    """Encodes a refusal as the event that ends a broken stream."""
    body = encode_refusal(refusal, request_id)
    return b"event: error\ndata: " + body + b"\n\n"


def encode_events(events: abc.Sequence[targets.Event]) -> bytes:
    """Encodes events in the caller's form, with the mark of the end."""
    if len(events) == 1 and not events[0].last:
        event = events[0]
        return b"id: %d\ndata: %b\n\n" % (event.position, event.data)
    parts = [
        b"id: %d\ndata: %b\n\n" % (event.position, event.data)
        for event in events
    ]
    if events and events[-1].last:
        parts.append(STREAM_END)
    return b"".join(parts)


def encode_whole(events: abc.Sequence[targets.Event]) -> bytes:
    """Puts the events of a whole answer together as one body.

    Raises:
        errors.RefusalError: TARGET_FAILED, if the events hold what can't be
            shown in one body.
    """
    try:
        chunks = [
            msgspec.json.decode(event.data, type=_Chunk) for event in events
        ]
    except msgspec.DecodeError as error:
        raise _refuse_chunk(str(error)) from error
    if not chunks:
        raise _refuse_chunk("no events")
    first = chunks[0]
    usages = [x.usage for x in chunks if bytes(x.usage) != b"null"]
    completion = _Completion(
        id=first.id,
        object="chat.completion",
        created=first.created,
        model=first.model,
        choices=_join_choices(chunks),
        usage=usages[-1] if usages else None,
    )
    return msgspec.json.encode(completion)


def _join_choices(chunks: list[_Chunk]) -> list[_WholeChoice]:
    """Joins the pieces of each choice, in the order of their index."""
    pieces: dict[int, list[str]] = {}
    reasons: dict[int, str | None] = {}
    for chunk in chunks:
        for choice in chunk.choices:
            texts = pieces.setdefault(choice.index, [])
            texts.append(choice.delta.content or "")
            if choice.finish_reason is not None:
                reasons[choice.index] = choice.finish_reason
    return [
        _WholeChoice(
            index=index,
            message=_WholeMessage(role="assistant", content="".join(texts)),
            finish_reason=reasons.get(index),
        )
        for index, texts in sorted(pieces.items())
    ]


def _refuse_chunk(reason: str) -> errors.RefusalError:
    return errors.RefusalError(
        errors.Refusal(
            code=results.Code.TARGET_FAILED,
            ran=results.Ran.YES,
            message=f"the target's events don't make one answer: {reason}",
        )
    )


# Encodes a refusal that belongs to no request, as of a whole connection.
def encode_refusal_without_id(refusal: errors.Refusal) -> bytes:
    """Encodes a refusal given before a request could be read."""
    return encode_refusal(refusal, "")


HeaderList: typing.TypeAlias = list[tuple[bytes, bytes]]


def list_refusal_headers(refusal: errors.Refusal) -> HeaderList:
    """Returns the headers that go with a refusal."""
    headers: HeaderList = []
    if refusal.retry_after_ms is not None:
        seconds = -(-refusal.retry_after_ms // 1000)
        headers.append((b"Retry-After", b"%d" % seconds))
    if refusal.code is results.Code.UNAUTHENTICATED:
        headers.append((b"WWW-Authenticate", b"Bearer"))
    return headers
