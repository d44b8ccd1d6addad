"""Reads a caller's request into a typed call."""

from collections import abc
import typing

import msgspec
import xxhash

from mothpass.core import catalogue
from mothpass.core import errors
from mothpass.core import results
from mothpass.core import suspects

CHAT_PATH = "/v1/chat/completions"
SERVICE_PATH = "/v1/call/"
KEY_LIMIT = 128
ID_LIMIT = 128


class Message(msgspec.Struct, frozen=True):
    """One message of a chat.

    Attributes:
        role: Who wrote it, as in ``user``.
        content: Its text.
    """

    role: str
    content: str


class ChatBody(msgspec.Struct, frozen=True):
    """The fields of a chat request that the daemon reads; others go on.

    Attributes:
        model: Name of the model.
        messages: The chat so far, at least one message.
        stream: Whether the caller wants events.
        max_tokens: Most tokens of the answer.
        chat_id: Name that the caller gives the chat.
    """

    model: str
    messages: typing.Annotated[list[Message], msgspec.Meta(min_length=1)]
    stream: bool = False
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=1)] | None = None
    chat_id: typing.Annotated[str, msgspec.Meta(max_length=256)] | None = None


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """One request of a caller, checked.

    Attributes:
        request_id: Names the request in logs and answers.
        team: Name of the team.
        weight: Weight of the team.
        name: Model or service that is called.
        service_class: Name of the class that holds for the call.
        priority: 0 is the most urgent.
        deadline: Monotonic seconds after which an answer is of no use.
        path: Path of the request at the target.
        body: Body as it goes to the target.
        chat: Hash of the chat, 0 for a service.
        stream: Whether the caller wants events.
        repeatable: Whether the call may run more than once.
        idempotency_key: The caller's key, None where none was sent.
        kept_ms: How long the result is kept, 0 where it isn't.
        fingerprint: By which a request that crashes targets is known.
    """

    request_id: str
    team: str
    weight: int
    name: str
    service_class: str
    priority: int
    deadline: float
    path: str
    body: bytes
    chat: int = 0
    stream: bool = False
    repeatable: bool = True
    idempotency_key: str | None = None
    result_kept_ms: int = 0
    fingerprint: int


class Headers(msgspec.Struct, frozen=True, kw_only=True):
    """The headers that a call depends on, empty where they weren't sent."""

    request_id: str
    deadline_ms: str = ""
    chat_id: str = ""
    idempotency_key: str = ""


class CatalogueIndex:
    """Entries of the catalogue in force, by what requests name.

    Attributes:
        teams_by_key: Teams by the hash of a key.
        models: Models by name.
        services: Services by name.
        classes: Classes by name.
    """

    __slots__ = ("classes", "models", "services", "teams_by_key")

    def __init__(self, *, entries: catalogue.Catalogue) -> None:
        """Indexes a catalogue."""
        self.teams_by_key = {
            key: team for team in entries.teams for key in team.key_sha256
        }
        self.models = {item.name: item for item in entries.models}
        self.services = {item.name: item for item in entries.services}
        self.classes = {item.name: item for item in entries.classes}

    def find_team(self, authorization: str) -> catalogue.Team:
        """Returns the team whose key an ``Authorization`` header shows.

        Raises:
            errors.RefusalError: UNAUTHENTICATED.
        """
        scheme, _, key = authorization.partition(" ")
        if scheme.lower() == "bearer":
            team = self.teams_by_key.get(catalogue.hash_key(key.strip()))
            if team is not None:
                return team
        raise refuse(results.Code.UNAUTHENTICATED, "a valid key is needed")

    def pick_class(self, first: str, second: str) -> catalogue.ServiceClass:
        """Returns the less urgent of two classes."""
        classes = (self.classes[first], self.classes[second])
        return max(classes, key=lambda item: (item.priority, item.deadline_ms))


def refuse(code: results.Code, message: str) -> errors.RefusalError:
    """Returns the error for a request that can't be accepted as it is."""
    refusal = errors.Refusal(code=code, ran=results.Ran.NO, message=message)
    return errors.RefusalError(refusal)


def read_chat(
    directory: CatalogueIndex,
    team: catalogue.Team,
    headers: Headers,
    body: bytes,
    *,
    now: float,
) -> Call:
    """Reads a chat request.

    Raises:
        errors.RefusalError: BAD_REQUEST, UNKNOWN_MODEL or FORBIDDEN.
    """
    request = _decode(body, ChatBody)
    model = directory.models.get(request.model)
    if model is None:
        raise refuse(results.Code.UNKNOWN_MODEL, "no such model")
    _check_use(team, model.name)
    chosen = directory.pick_class(team.service_class, model.service_class)
    sent = _encode_streamed(body)
    return Call(
        request_id=headers.request_id,
        team=team.name,
        weight=team.weight,
        name=model.name,
        service_class=chosen.name,
        priority=chosen.priority,
        deadline=_read_deadline(headers, chosen, now),
        path=CHAT_PATH,
        body=sent,
        chat=_hash_chat(team.name, request, headers),
        stream=request.stream,
        fingerprint=suspects.compute_fingerprint(
            team=team.name, name=model.name, body=sent
        ),
    )


def read_service_call(
    directory: CatalogueIndex,
    team: catalogue.Team,
    name: str,
    headers: Headers,
    body: bytes,
    *,
    now: float,
) -> Call:
    """Reads a call of a plain service.

    Raises:
        errors.RefusalError: BAD_REQUEST, UNKNOWN_SERVICE, FORBIDDEN or
            IDEMPOTENCY_KEY_MISSING.
    """
    service = directory.services.get(name)
    if service is None:
        raise refuse(results.Code.UNKNOWN_SERVICE, "no such service")
    _check_use(team, service.name)
    chosen = directory.pick_class(team.service_class, service.service_class)
    return Call(
        request_id=headers.request_id,
        team=team.name,
        weight=team.weight,
        name=service.name,
        service_class=chosen.name,
        priority=chosen.priority,
        deadline=_read_deadline(headers, chosen, now),
        path=SERVICE_PATH + service.name,
        body=body,
        repeatable=service.repeatable,
        idempotency_key=_read_key(headers, service),
        result_kept_ms=0 if service.repeatable else service.result_kept_ms,
        fingerprint=suspects.compute_fingerprint(
            team=team.name, name=service.name, body=body
        ),
    )


def is_printable(text: str, limit: int) -> bool:
    """Tells whether a header's value is 1 to ``limit`` printable characters."""
    return 0 < len(text) <= limit and text.isascii() and text.isprintable()


def _check_use(team: catalogue.Team, name: str) -> None:
    if name not in team.uses:
        raise refuse(results.Code.FORBIDDEN, "not open to this team")


def _decode(body: bytes, kind: type[ChatBody]) -> ChatBody:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        message = f"bad request body: {error}"
        raise refuse(results.Code.BAD_REQUEST, message) from error


def _encode_streamed(body: bytes) -> bytes:
    """Returns the body with ``stream`` set, other fields as they were.

    The daemon always asks targets for a stream: a whole answer is put together
    here, so that its connection is watched and resumed in the same way.
    """
    fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    fields["stream"] = msgspec.Raw(b"true")
    return msgspec.json.encode(fields)


def _read_deadline(
    headers: Headers, chosen: catalogue.ServiceClass, now: float
) -> float:
    most_ms = chosen.deadline_ms
    if not headers.deadline_ms:
        return now + most_ms / 1000
    if not headers.deadline_ms.isdecimal():
        raise refuse(
            results.Code.BAD_REQUEST, "X-Deadline-Ms: not a number of ms"
        )
    return now + min(most_ms, int(headers.deadline_ms[:12])) / 1000


def _read_key(headers: Headers, service: catalogue.Service) -> str | None:
    key = headers.idempotency_key
    if not key:
        if service.repeatable:
            return None
        raise refuse(
            results.Code.IDEMPOTENCY_KEY_MISSING,
            "this service needs the header Idempotency-Key",
        )
    if not is_printable(key, KEY_LIMIT):
        raise refuse(
            results.Code.BAD_REQUEST,
            f"Idempotency-Key: 1 to {KEY_LIMIT} printable characters",
        )
    return key


def _hash_chat(team: str, request: ChatBody, headers: Headers) -> int:
    """Returns the hash by which a chat finds the same target again."""
    digest = xxhash.xxh3_64(team.encode())
    name = headers.chat_id or request.chat_id
    if name:
        digest.update(b"\0id\0" + name.encode())
        return digest.intdigest()
    for message in _list_opening(request.messages):
        digest.update(b"\0" + message.role.encode())
        digest.update(b"\0" + message.content.encode())
    return digest.intdigest()


def _list_opening(messages: list[Message]) -> abc.Iterator[Message]:
    """Yields the messages up to and including the first of the user."""
    for message in messages:
        yield message
        if message.role == "user":
            return
