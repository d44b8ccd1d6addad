"""Encodes responses to clients: events, chat completions and errors."""

from collections import abc
import typing

import msgspec

from mothpass.core import decoding
from mothpass.core import errors
from mothpass.core import results
from mothpass.ports import targets

STREAM_END_MARKER = b"data: [DONE]\n\n"
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
    """Encodes a rejection as the body of an error response."""
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
    """Encodes a rejection as the event that ends a failed stream."""
    body = encode_refusal(refusal, request_id)
    return b"event: error\ndata: " + body + b"\n\n"


def encode_events(events: abc.Sequence[targets.Event]) -> bytes:
    """Encodes events for the client, with the end marker after the last."""
    if len(events) == 1 and not events[0].last:
        event = events[0]
        return b"id: %d\ndata: %b\n\n" % (event.position, event.data)
    parts = [
        b"id: %d\ndata: %b\n\n" % (event.position, event.data)
        for event in events
    ]
    if events and events[-1].last:
        parts.append(STREAM_END_MARKER)
    return b"".join(parts)


def encode_completion(events: abc.Sequence[targets.Event]) -> bytes:
    """Merges the events of a whole answer into one completion body.

    Raises:
        errors.RefusalError: TARGET_FAILED, if the events can't be decoded or
            there are none.
    """
    try:
        chunks = [decoding.decode_json(event.data, _Chunk) for event in events]
    except msgspec.DecodeError as error:
        raise _build_chunk_error(str(error)) from error
    if not chunks:
        raise _build_chunk_error("no events")
    first = chunks[0]
    usages = [chunk.usage for chunk in chunks if bytes(chunk.usage) != b"null"]
    completion = _Completion(
        id=first.id,
        object="chat.completion",
        created=first.created,
        model=first.model,
        choices=_merge_choices(chunks),
        usage=usages[-1] if usages else None,
    )
    return msgspec.json.encode(completion)


def _merge_choices(chunks: list[_Chunk]) -> list[_WholeChoice]:
    """Merges the content of each choice, ordered by index."""
    pieces: dict[int, list[str]] = {}
    finish_reasons: dict[int, str | None] = {}
    for chunk in chunks:
        for choice in chunk.choices:
            texts = pieces.setdefault(choice.index, [])
            texts.append(choice.delta.content or "")
            if choice.finish_reason is not None:
                finish_reasons[choice.index] = choice.finish_reason
    return [
        _WholeChoice(
            index=index,
            message=_WholeMessage(role="assistant", content="".join(texts)),
            finish_reason=finish_reasons.get(index),
        )
        for index, texts in sorted(pieces.items())
    ]


def _build_chunk_error(reason: str) -> errors.RefusalError:
    return errors.RefusalError(
        errors.Refusal(
            code=results.Code.TARGET_FAILED,
            ran=results.Ran.YES,
            message=f"the target sent invalid completion events: {reason}",
        )
    )


def encode_refusal_without_id(refusal: errors.Refusal) -> bytes:
    """Encodes a rejection sent before the request could be read."""
    return encode_refusal(refusal, "")


HeaderList: typing.TypeAlias = list[tuple[bytes, bytes]]


def list_refusal_headers(refusal: errors.Refusal) -> HeaderList:
    """Returns the response headers of a rejection."""
    headers: HeaderList = []
    if refusal.retry_after_ms is not None:
        seconds = -(-refusal.retry_after_ms // 1000)
        headers.append((b"Retry-After", b"%d" % seconds))
    if refusal.code is results.Code.UNAUTHENTICATED:
        headers.append((b"WWW-Authenticate", b"Bearer"))
    return headers
