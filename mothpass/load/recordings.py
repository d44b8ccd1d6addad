"""Reads the recorded chats and service requests of the examples."""

import pathlib

import msgspec

from mothpass.core import catalogue
from mothpass.core import documents
from mothpass.standin import answers


class Chat(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One recorded chat.

    Attributes:
        name: Name of the recording.
        team: Team that sends it.
        chat_id: Id of the chat.
        max_tokens: Tokens of each answer.
        turns: User message of each turn.
    """

    name: catalogue.Name
    team: catalogue.Name
    chat_id: str
    max_tokens: catalogue.Count
    turns: list[str]


class ServiceRequest(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One recorded request to a plain service.

    Attributes:
        name: Name of the recording.
        team: Team that sends it.
        service: Requested service.
        idempotency_key: Idempotency key of the request.
        body: Body of the request.
    """

    name: catalogue.Name
    team: catalogue.Name
    service: catalogue.Name
    idempotency_key: str
    body: dict[str, object]


class Recording(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Recorded requests of one deployment.

    Attributes:
        model: Model that the chats request.
        chats: Recorded chats.
        calls: Recorded requests to plain services.
        paid_once: Name of the service request that the demo repeats under
            one key and expects to run once.
    """

    model: catalogue.Name
    chats: list[Chat]
    calls: list[ServiceRequest]
    paid_once: catalogue.Name


def read_recording(path: pathlib.Path) -> Recording:
    """Reads a recording.

    Raises:
        errors.DocumentError: The file is invalid.
        OSError: The file can't be read.
    """
    return documents.decode_document(path.read_bytes(), Recording)


def build_messages(
    turns: list[str], turn: int, max_tokens: int
) -> list[answers.Message]:
    """Returns the messages of one turn with the answers to earlier turns.

    Stand-in engines derive answers from the messages alone, so the earlier
    answers are known without having been received.

    Args:
        turns: User message of each turn.
        turn: Index of the turn.
        max_tokens: Tokens of each answer.
    """
    messages: list[answers.Message] = []
    for index in range(turn):
        messages.append(answers.Message(role="user", content=turns[index]))
        text = "".join(answers.compose_answer(messages, max_tokens))
        messages.append(answers.Message(role="assistant", content=text))
    messages.append(answers.Message(role="user", content=turns[turn]))
    return messages
