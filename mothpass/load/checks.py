"""Checks that an answer is complete and belongs to its request."""

from collections import abc
import hashlib

import msgspec

from mothpass.load import samples
from mothpass.load import server_sent_events
from mothpass.standin import answers

_END_MARKER = b"[DONE]"
_ERROR_EVENT = "error"


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Token counts of an answer, as the daemon reports them."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


class _Text(msgspec.Struct, frozen=True, kw_only=True):
    content: str | None = None


class _Choice(msgspec.Struct, frozen=True, kw_only=True):
    delta: _Text = _Text()
    message: _Text = _Text()
    finish_reason: str | None = None


class _Body(msgspec.Struct, frozen=True, kw_only=True):
    """Chunk of a streamed answer, or body of an answer that isn't streamed."""

    choices: list[_Choice] = []
    usage: Usage | None = None


class _Error(msgspec.Struct, frozen=True, kw_only=True):
    code: int
    name: str = ""
    ran: str = ""
    message: str = ""


class _ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    error: _Error


class _Receipt(msgspec.Struct, frozen=True, kw_only=True):
    body_sha256: str


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """Result of checking an answer.

    Attributes:
        fate: How the request ended.
        code: Result code of a rejection or of an error event.
        ran: Whether the request ran, as the error reports it.
        detail: Description of the fault.
        text: Text of the answer that was received.
        usage: Token counts that the answer reports.
    """

    fate: samples.Fate
    code: int = 0
    ran: str = ""
    detail: str = ""
    text: str = ""
    usage: Usage = Usage()


class StreamCheck:
    """Checks the events of one streamed answer against the expected text."""

    __slots__ = (
        "_end_received",
        "_error",
        "_expected_text",
        "_fault_text",
        "_finish_reason_received",
        "_next_position",
        "_tokens",
        "_usage",
    )

    def __init__(
        self, *, messages: abc.Sequence[answers.Message], max_tokens: int
    ) -> None:
        """Composes the answer that is expected for the messages."""
        composed = answers.compose_answer(messages, max_tokens)
        self._expected_text = "".join(composed)
        self._next_position = 0
        self._tokens: list[str] = []
        self._usage = Usage()
        self._finish_reason_received = False
        self._end_received = False
        self._error: _Error | None = None
        self._fault_text = ""

    def add_event(self, event: server_sent_events.Event) -> bool:
        """Adds an event; returns whether it carries a token."""
        if self._end_received or self._error is not None:
            self._record_fault("event after the end of the stream")
            return False
        if event.name == _ERROR_EVENT:
            self._error = _decode_error(event.data)
            return False
        if event.data == _END_MARKER:
            self._end_received = True
            return False
        return self._add_chunk(event)

    def finish(self) -> Verdict:
        """Returns the verdict on the stream after its last event."""
        text = "".join(self._tokens)
        if self._fault_text:
            return self._build_verdict(samples.Fate.WRONG, self._fault_text)
        if not self._expected_text.startswith(text):
            return self._build_verdict(
                samples.Fate.WRONG, "text differs from the expected answer"
            )
        if self._error is not None:
            return Verdict(
                fate=samples.Fate.BROKEN_OFF,
                code=self._error.code,
                ran=self._error.ran,
                detail=self._error.message,
                text=text,
            )
        if not self._end_received:
            return self._build_verdict(
                samples.Fate.LOST, "stream ended without [DONE]"
            )
        if text != self._expected_text or not self._finish_reason_received:
            return self._build_verdict(
                samples.Fate.WRONG, "truncated without an error event"
            )
        return self._build_verdict(samples.Fate.WHOLE, "")

    def _add_chunk(self, event: server_sent_events.Event) -> bool:
        if event.id != str(self._next_position):
            self._record_fault(
                f"event id is {event.id!r}, expected {self._next_position}"
            )
        self._next_position += 1
        try:
            body = msgspec.json.decode(event.data, type=_Body)
        except msgspec.DecodeError as error:
            self._record_fault(f"event can't be decoded: {error}")
            return False
        if body.usage is not None:
            self._usage = body.usage
        tokens = [x.delta.content for x in body.choices if x.delta.content]
        self._tokens.extend(tokens)
        if any(choice.finish_reason for choice in body.choices):
            self._finish_reason_received = True
        return bool(tokens)

    def _record_fault(self, fault: str) -> None:
        """Records a fault unless an earlier one is recorded."""
        self._fault_text = self._fault_text or fault

    def _build_verdict(self, fate: samples.Fate, detail: str) -> Verdict:
        return Verdict(
            fate=fate,
            detail=detail,
            text="".join(self._tokens),
            usage=self._usage,
        )


def check_completion(
    body: bytes, messages: abc.Sequence[answers.Message], max_tokens: int
) -> Verdict:
    """Checks a chat's answer that isn't streamed."""
    try:
        completion = msgspec.json.decode(body, type=_Body)
    except msgspec.DecodeError as error:
        return Verdict(
            fate=samples.Fate.WRONG, detail=f"answer can't be decoded: {error}"
        )
    parts = [x.message.content or "" for x in completion.choices]
    text = "".join(parts)
    usage = completion.usage or Usage()
    if answers.is_whole_answer(text, messages, max_tokens):
        return Verdict(fate=samples.Fate.WHOLE, text=text, usage=usage)
    return Verdict(
        fate=samples.Fate.WRONG,
        detail="text differs from the expected answer",
        text=text,
    )


def check_receipt(answer: bytes, sent: bytes) -> Verdict:
    """Checks a service's receipt, which holds the digest of the body it ran."""
    try:
        receipt = msgspec.json.decode(answer, type=_Receipt)
    except msgspec.DecodeError as error:
        return Verdict(
            fate=samples.Fate.WRONG, detail=f"receipt can't be decoded: {error}"
        )
    text = answer.decode()
    if receipt.body_sha256 == hashlib.sha256(sent).hexdigest():
        return Verdict(fate=samples.Fate.WHOLE, text=text)
    return Verdict(
        fate=samples.Fate.WRONG, detail="service ran another body", text=text
    )


def check_rejection(status: int, body: bytes) -> Verdict:
    """Builds the verdict on a response with an HTTP error status."""
    error = _decode_error(body)
    label = f"{error.name} (HTTP {status}): {error.message}"
    return Verdict(
        fate=samples.Fate.REFUSED,
        code=error.code,
        ran=error.ran,
        detail=label.strip(),
    )


def _decode_error(body: bytes) -> _Error:
    try:
        return msgspec.json.decode(body, type=_ErrorBody).error
    except msgspec.DecodeError:
        text = body[:200].decode(errors="replace")
        return _Error(code=-1, message=f"unreadable error: {text}")
