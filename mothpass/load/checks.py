"""Checks that an answer is whole and the one to its own request."""

from collections import abc
import hashlib

import msgspec

from mothpass.load import events
from mothpass.load import samples
from mothpass.standin import answers

_DONE = b"[DONE]"
_ERROR_EVENT = "error"


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens of an answer."""

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
    """A chunk of a streamed answer, or a whole answer."""

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
    """What an answer turned out to be.

    Attributes:
        fate: What became of the request.
        code: Result code of a refusal or an error event.
        ran: What it says of having run.
        detail: What was wrong, for a person.
        text: Text of the answer, as far as it came.
        usage: Tokens, as the answer says.
    """

    fate: samples.Fate
    code: int = 0
    ran: str = ""
    detail: str = ""
    text: str = ""
    usage: Usage = Usage()


class StreamCheck:
    """Takes the events of one streamed answer and judges it at its end."""

    __slots__ = (
        "_done",
        "_error",
        "_expected",
        "_fault",
        "_finished",
        "_position",
        "_tokens",
        "_usage",
    )

    def __init__(
        self, *, messages: abc.Sequence[answers.Message], max_tokens: int
    ) -> None:
        """Works out the answer that is due to the messages."""
        composed = answers.compose_answer(messages, max_tokens)
        self._expected = "".join(composed)
        self._position = 0
        self._tokens: list[str] = []
        self._usage = Usage()
        self._finished = False
        self._done = False
        self._error: _Error | None = None
        self._fault = ""

    def take(self, event: events.Event) -> bool:
        """Takes an event; returns whether it carries a token."""
        if self._done or self._error is not None:
            self._blame("an event came after the end")
            return False
        if event.name == _ERROR_EVENT:
            self._error = _decode_error(event.data)
            return False
        if event.data == _DONE:
            self._done = True
            return False
        return self._take_chunk(event)

    def judge(self) -> Verdict:
        """Returns the verdict once no more events come."""
        text = "".join(self._tokens)
        if self._fault:
            return self._conclude(samples.Fate.WRONG, self._fault)
        if not self._expected.startswith(text):
            return self._conclude(samples.Fate.WRONG, "not its own answer")
        if self._error is not None:
            return Verdict(
                fate=samples.Fate.BROKEN_OFF,
                code=self._error.code,
                ran=self._error.ran,
                detail=self._error.message,
                text=text,
            )
        if not self._done:
            return self._conclude(samples.Fate.LOST, "ended without its mark")
        if text != self._expected or not self._finished:
            return self._conclude(samples.Fate.WRONG, "cut, but looks whole")
        return self._conclude(samples.Fate.WHOLE, "")

    def _take_chunk(self, event: events.Event) -> bool:
        if event.id != str(self._position):
            self._blame(f"position {event.id!r} came, not {self._position}")
        self._position += 1
        try:
            body = msgspec.json.decode(event.data, type=_Body)
        except msgspec.DecodeError as error:
            self._blame(f"unreadable event: {error}")
            return False
        if body.usage is not None:
            self._usage = body.usage
        tokens = [x.delta.content for x in body.choices if x.delta.content]
        self._tokens.extend(tokens)
        if any(choice.finish_reason for choice in body.choices):
            self._finished = True
        return bool(tokens)

    def _blame(self, fault: str) -> None:
        """Keeps the first fault."""
        self._fault = self._fault or fault

    def _conclude(self, fate: samples.Fate, detail: str) -> Verdict:
        return Verdict(
            fate=fate,
            detail=detail,
            text="".join(self._tokens),
            usage=self._usage,
        )


def judge_whole(
    body: bytes, messages: abc.Sequence[answers.Message], max_tokens: int
) -> Verdict:
    """Judges a chat's answer that came as one body."""
    try:
        completion = msgspec.json.decode(body, type=_Body)
    except msgspec.DecodeError as error:
        return Verdict(fate=samples.Fate.WRONG, detail=f"unreadable: {error}")
    parts = [x.message.content or "" for x in completion.choices]
    text = "".join(parts)
    usage = completion.usage or Usage()
    if answers.is_whole_answer(text, messages, max_tokens):
        return Verdict(fate=samples.Fate.WHOLE, text=text, usage=usage)
    return Verdict(
        fate=samples.Fate.WRONG, detail="not its own whole answer", text=text
    )


def judge_call(answer: bytes, sent: bytes) -> Verdict:
    """Judges a service's answer, which names the digest of what it ran."""
    try:
        receipt = msgspec.json.decode(answer, type=_Receipt)
    except msgspec.DecodeError as error:
        return Verdict(fate=samples.Fate.WRONG, detail=f"unreadable: {error}")
    text = answer.decode()
    if receipt.body_sha256 == hashlib.sha256(sent).hexdigest():
        return Verdict(fate=samples.Fate.WHOLE, text=text)
    return Verdict(
        fate=samples.Fate.WRONG, detail="ran with another body", text=text
    )


def judge_refusal(status: int, body: bytes) -> Verdict:
    """Judges an answer whose HTTP status says error."""
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
