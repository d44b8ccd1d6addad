"""Recorded chats and calls, as the examples keep them."""

import pathlib

import msgspec

from mothpass.core import catalogue
from mothpass.core import documents
from mothpass.standin import answers


class Chat(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One chat.

    Attributes:
        name: What it is about.
        team: Team that sends it.
        chat_id: Name of the chat, as sent.
        max_tokens: Tokens of each answer.
        turns: What the user writes, turn by turn.
    """

    name: catalogue.Name
    team: catalogue.Name
    chat_id: str
    max_tokens: catalogue.Count
    turns: list[str]


class Call(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One call of a plain service.

    Attributes:
        name: What it is about.
        team: Team that sends it.
        service: Service that it calls.
        idempotency_key: Its key.
        body: Its body.
    """

    name: catalogue.Name
    team: catalogue.Name
    service: catalogue.Name
    idempotency_key: str
    body: dict[str, object]


class Recording(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Chats and calls of one deployment.

    Attributes:
        model: Model that the chats call.
        chats: The chats.
        calls: The calls.
        paid_once: Name of the call that the demo sends several times.
    """

    model: catalogue.Name
    chats: list[Chat]
    calls: list[Call]
    paid_once: catalogue.Name


def read_recording(path: pathlib.Path) -> Recording:
    """Reads a file of chats.

    Raises:
        errors.DocumentError: Where it has faults.
        OSError: Where it can't be read.
    """
    return documents.decode_document(path.read_bytes(), Recording)


def build_messages(
    turns: list[str], turn: int, max_tokens: int
) -> list[answers.Message]:
    """Returns the messages of one turn, with the answers to earlier ones.

    Stand-in engines answer from the messages alone, so the earlier answers
    are known without having been received.

    Args:
        turns: What the user writes, turn by turn.
        turn: Number of the turn, from 0.
        max_tokens: Tokens of each answer.
    """
    messages: list[answers.Message] = []
    for index in range(turn):
        messages.append(answers.Message(role="user", content=turns[index]))
        text = "".join(answers.compose_answer(messages, max_tokens))
        messages.append(answers.Message(role="assistant", content=text))
    messages.append(answers.Message(role="user", content=turns[turn]))
    return messages
