"""Composes the answers of a stand-in engine from the messages.

An answer depends only on the messages and the number of tokens, so that the
sender can distinguish a complete answer from one that is truncated, mixed with
another answer or out of order.
"""

from collections import abc
import hashlib

import msgspec

_WORDS = (
    "barrel",
    "cellar",
    "chair",
    "clause",
    "deposit",
    "keg",
    "landlord",
    "lease",
    "notice",
    "reading",
    "renewal",
    "rent",
    "room",
    "shop",
    "tap",
    "week",
)
_DELIMITER_TOKENS = 2
DEFAULT_MAX_TOKENS = 32


class Message(msgspec.Struct, frozen=True, kw_only=True):
    """One message of a chat.

    Attributes:
        role: Author of the message, such as ``user``.
        content: Text of the message.
    """

    role: str
    content: str


def digest_messages(messages: abc.Sequence[Message]) -> str:
    """Returns a digest of the messages as 16 hex digits."""
    return hashlib.sha256(msgspec.json.encode(messages)).hexdigest()[:16]


def compose_answer(
    messages: abc.Sequence[Message], max_tokens: int = DEFAULT_MAX_TOKENS
) -> list[str]:
    """Composes the answer to a list of messages.

    Args:
        messages: All messages of the request.
        max_tokens: Tokens of the answer; the minimum is two, the digest at
            its start and the end marker.

    Returns:
        The tokens, which are joined without a separator to form the text.
    """
    digest = digest_messages(messages)
    count = max(max_tokens, _DELIMITER_TOKENS)
    middle = [
        f"{index}:{_pick_word(digest, index)} "
        for index in range(1, count - _DELIMITER_TOKENS + 1)
    ]
    return [f"[{digest}] ", *middle, f"[end {count} {digest}]"]


def is_whole_answer(
    text: str,
    messages: abc.Sequence[Message],
    max_tokens: int = DEFAULT_MAX_TOKENS,
) -> bool:
    """Returns whether a text is the complete answer to these messages."""
    return text == "".join(compose_answer(messages, max_tokens))


def _pick_word(digest: str, index: int) -> str:
    return _WORDS[(int(digest, 16) + index * index) % len(_WORDS)]
