"""Validates clients' requests against the catalogue in force."""

from collections import abc
import typing

import msgspec
import xxhash

from mothpass.core import catalogue
from mothpass.core import decoding
from mothpass.core import errors
from mothpass.core import prompt_suspects
from mothpass.core import results
from mothpass.core import suspects

CHAT_PATH = "/v1/chat/completions"
SERVICE_PATH = "/v1/call/"
MAX_IDEMPOTENCY_KEY_CHARS = 128
MAX_REQUEST_ID_CHARS = 128


class Message(msgspec.Struct, frozen=True):
    """One message of a chat.

    Attributes:
        role: Author of the message, such as ``user``.
        content: Text of the message.
    """

    role: str
    content: str


class ChatBody(msgspec.Struct, frozen=True):
    """The fields of a chat request that the daemon reads.

    Other fields are forwarded to the target unread.

    Attributes:
        model: Name of the model.
        messages: The chat so far, at least one message.
        stream: Whether the client wants a stream of events.
        max_tokens: Maximum number of tokens in the answer.
        chat_id: The client's id of the chat.
    """

    model: str
    messages: typing.Annotated[list[Message], msgspec.Meta(min_length=1)]
    stream: bool = False
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=1)] | None = None
    chat_id: typing.Annotated[str, msgspec.Meta(max_length=256)] | None = None


class ClientRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One validated request of a client.

    Attributes:
        request_id: Id of the request in logs and responses.
        team: Name of the team.
        weight: Weight of the team.
        name: Name of the requested model or service.
        service_class: Name of the service class that applies.
        priority: Priority of the service class; 0 is the most urgent.
        deadline: Monotonic seconds after which the client needs no answer.
        path: Path of the request at the target.
        body: Body as it is sent to the target.
        chat_hash: Hash of the chat, 0 for a service.
        stream: Whether the client wants a stream of events.
        repeatable: Whether the request may run more than once.
        idempotency_key: The client's key, None if none was sent.
        result_kept_ms: How long the result is kept, 0 if it isn't.
        fingerprint: Hash that identifies the request as a crash suspect.
        shared_parts: Hashes of its messages but the last, which other requests
            may share.
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
    chat_hash: int = 0
    stream: bool = False
    repeatable: bool = True
    idempotency_key: str | None = None
    result_kept_ms: int = 0
    fingerprint: int
    shared_parts: tuple[int, ...] = ()


class Headers(msgspec.Struct, frozen=True, kw_only=True):
    """The request headers that the daemon reads, empty if not sent."""

    request_id: str
    deadline_ms: str = ""
    chat_id: str = ""
    idempotency_key: str = ""


class CatalogueIndex:
    """Index of the catalogue in force.

    Attributes:
        teams_by_key: Teams by the SHA-256 of their API keys.
        models: Models by name.
        services: Services by name.
        classes: Service classes by name.
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

    def authenticate(self, authorization: str) -> catalogue.Team:
        """Returns the team of the API key in an ``Authorization`` header.

        Raises:
            errors.RefusalError: UNAUTHENTICATED.
        """
        scheme, _, key = authorization.partition(" ")
        if scheme.lower() == "bearer":
            team = self.teams_by_key.get(catalogue.hash_key(key.strip()))
            if team is not None:
                return team
        raise build_rejection(
            results.Code.UNAUTHENTICATED, "a valid API key is required"
        )

    def pick_service_class(
        self, first: str, second: str
    ) -> catalogue.ServiceClass:
        """Returns the less urgent of two classes."""
        classes = (self.classes[first], self.classes[second])
        return max(classes, key=lambda item: (item.priority, item.deadline_ms))


def build_rejection(code: results.Code, message: str) -> errors.RefusalError:
    """Returns the error that rejects an invalid request."""
    refusal = errors.Refusal(code=code, ran=results.Ran.NO, message=message)
    return errors.RefusalError(refusal)


def read_chat_request(
    index: CatalogueIndex,
    team: catalogue.Team,
    headers: Headers,
    body: bytes,
    *,
    now: float,
) -> ClientRequest:
    """Validates a chat request.

    Raises:
        errors.RefusalError: BAD_REQUEST, UNKNOWN_MODEL or FORBIDDEN.
    """
    chat_body = _decode(body, ChatBody)
    model = index.models.get(chat_body.model)
    if model is None:
        raise build_rejection(results.Code.UNKNOWN_MODEL, "no such model")
    _check_permission(team, model.name)
    service_class = index.pick_service_class(
        team.service_class, model.service_class
    )
    target_body = _force_stream(body)
    return ClientRequest(
        request_id=headers.request_id,
        team=team.name,
        weight=team.weight,
        name=model.name,
        service_class=service_class.name,
        priority=service_class.priority,
        deadline=_read_deadline(headers, service_class, now),
        path=CHAT_PATH,
        body=target_body,
        chat_hash=_hash_chat(team.name, chat_body, headers),
        stream=chat_body.stream,
        fingerprint=suspects.compute_fingerprint(
            team=team.name, name=model.name, body=target_body
        ),
        shared_parts=_fingerprint_messages(chat_body.messages),
    )


def read_service_request(
    index: CatalogueIndex,
    team: catalogue.Team,
    name: str,
    headers: Headers,
    body: bytes,
    *,
    now: float,
) -> ClientRequest:
    """Validates a request to a plain service.

    Raises:
        errors.RefusalError: BAD_REQUEST, UNKNOWN_SERVICE, FORBIDDEN or
            IDEMPOTENCY_KEY_MISSING.
    """
    service = index.services.get(name)
    if service is None:
        raise build_rejection(results.Code.UNKNOWN_SERVICE, "no such service")
    _check_permission(team, service.name)
    service_class = index.pick_service_class(
        team.service_class, service.service_class
    )
    return ClientRequest(
        request_id=headers.request_id,
        team=team.name,
        weight=team.weight,
        name=service.name,
        service_class=service_class.name,
        priority=service_class.priority,
        deadline=_read_deadline(headers, service_class, now),
        path=SERVICE_PATH + service.name,
        body=body,
        repeatable=service.repeatable,
        idempotency_key=_read_idempotency_key(headers, service),
        result_kept_ms=0 if service.repeatable else service.result_kept_ms,
        fingerprint=suspects.compute_fingerprint(
            team=team.name, name=service.name, body=body
        ),
    )


def is_printable(text: str, limit: int) -> bool:
    """Returns whether a text is 1 to ``limit`` printable ASCII characters."""
    return 0 < len(text) <= limit and text.isascii() and text.isprintable()


def _check_permission(team: catalogue.Team, name: str) -> None:
    if name not in team.uses:
        raise build_rejection(
            results.Code.FORBIDDEN, "this team has no access to it"
        )


def _decode(body: bytes, kind: type[ChatBody]) -> ChatBody:
    try:
        return decoding.decode_json(body, kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        message = f"invalid request body: {error}"
        raise build_rejection(results.Code.BAD_REQUEST, message) from error


def _force_stream(body: bytes) -> bytes:
    """Returns the body with ``stream`` set and other fields unchanged.

    The daemon always requests a stream from targets and assembles whole
    answers itself, so that their connections are monitored and resumed too.
    """
    fields = decoding.decode_json(body, dict[str, msgspec.Raw])
    fields["stream"] = msgspec.Raw(b"true")
    return msgspec.json.encode(fields)


def _read_deadline(
    headers: Headers, service_class: catalogue.ServiceClass, now: float
) -> float:
    max_ms = service_class.deadline_ms
    if not headers.deadline_ms:
        return now + max_ms / 1000
    if not headers.deadline_ms.isdecimal():
        raise build_rejection(
            results.Code.BAD_REQUEST,
            "X-Deadline-Ms: must be a number of milliseconds",
        )
    return now + min(max_ms, int(headers.deadline_ms[:12])) / 1000


def _read_idempotency_key(
    headers: Headers, service: catalogue.Service
) -> str | None:
    key = headers.idempotency_key
    if not key:
        if service.repeatable:
            return None
        raise build_rejection(
            results.Code.IDEMPOTENCY_KEY_MISSING,
            "this service requires an Idempotency-Key header",
        )
    if not is_printable(key, MAX_IDEMPOTENCY_KEY_CHARS):
        raise build_rejection(
            results.Code.BAD_REQUEST,
            f"Idempotency-Key: must be 1 to {MAX_IDEMPOTENCY_KEY_CHARS} "
            "printable characters",
        )
    return key


def _hash_chat(team: str, chat_body: ChatBody, headers: Headers) -> int:
    """Returns the hash that routes a chat's requests to the same target."""
    digest = xxhash.xxh3_64(team.encode())
    name = headers.chat_id or chat_body.chat_id
    if name:
        digest.update(b"\0id\0" + name.encode())
        return digest.intdigest()
    for message in _list_opening_messages(chat_body.messages):
        digest.update(b"\0" + message.role.encode())
        digest.update(b"\0" + message.content.encode())
    return digest.intdigest()


def _fingerprint_messages(messages: list[Message]) -> tuple[int, ...]:
    """Returns the fingerprints of the messages that requests may share.

    The last message belongs to one request.
    """
    return tuple(
        xxhash.xxh3_64_intdigest(f"{message.role}\0{message.content}".encode())
        for message in messages[:-1][: prompt_suspects.MAX_PARTS]
    )


def _list_opening_messages(messages: list[Message]) -> abc.Iterator[Message]:
    """Yields the messages up to and including the user's first one."""
    for message in messages:
        yield message
        if message.role == "user":
            return
