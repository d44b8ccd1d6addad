"""Decodes requests of clients."""

import math

from mothpass.core import prompts
from mothpass.ports import relay

# Headers of one connection only and those that the relay sets itself; values of
# the latter from a client must not reach a target.
_DROPPED_HEADERS = relay.CONNECTION_HEADERS | frozenset(
    {
        b"expect",
        b"host",
        b"authorization",
        b"tenant",
        b"deadline-ms",
        b"expect-instance",
        b"expect-version",
        b"request-urgency",
        b"last-event-id",
        b"hold",
        b"pin-ms",
        b"kv-fetch",
        b"kv-from",
        b"kv-backup",
    }
)
# For requests without a valid deadline header.
_DEFAULT_DEADLINE_S = 30.0
# Larger numbers don't fit in the messages between daemons.
_MAX_DIGITS = 18


def read_request(head: relay.ClientHead, body: bytes) -> relay.Request:
    """Decodes a client's request; see ``relay.ReadRequest``."""
    fields = dict(head.headers)
    dropped = _DROPPED_HEADERS | _list_connection_headers(fields)
    prompt = _decode_prompt(fields.get(b"prompt-prefix", b""))
    return relay.Request(
        id=fields.get(b"attempt-id", b"").decode("latin-1"),
        method=head.method,
        url=head.url,
        host=_decode_host(fields.get(b"host", b"")),
        headers=tuple(item for item in head.headers if item[0] not in dropped)
        + ((b"host", fields.get(b"host", b"")),),
        body=body,
        api_key=_decode_api_key(fields.get(b"authorization", b"")),
        deadline=head.arrived_at
        + _decode_deadline_s(fields.get(b"deadline-ms")),
        prompt=prompt,
        prompt_tokens=_decode_prompt_tokens(fields.get(b"token-count", b"")),
        position=_decode_position(fields.get(b"last-event-id")),
        resumed_id=_decode_resumed_id(fields.get(b"resumes", b"")),
        arrived_at=head.arrived_at,
    )


def _list_connection_headers(fields: dict[bytes, bytes]) -> set[bytes]:
    """Returns the hop-by-hop headers named by the connection header."""
    named = fields.get(b"connection", b"").lower().split(b",")
    return {name.strip() for name in named}


def _decode_host(value: bytes) -> str:
    return value.decode("latin-1").partition(":")[0].strip().lower()


def _decode_api_key(value: bytes) -> str | None:
    scheme, _, api_key = value.partition(b" ")
    if scheme.lower() != b"bearer":
        return None
    return api_key.strip().decode("latin-1")


def _decode_deadline_s(value: bytes | None) -> float:
    try:
        seconds = float(value or b"") / 1000
    except ValueError:
        return _DEFAULT_DEADLINE_S
    return seconds if math.isfinite(seconds) else _DEFAULT_DEADLINE_S


def _decode_prompt(value: bytes) -> tuple[prompts.Part, ...]:
    parts = []
    for item in value.decode("latin-1").split(","):
        name, _, tokens = item.strip().partition(":")
        length = _decode_number(tokens.encode("latin-1"))
        if name and length is not None:
            parts.append(prompts.Part(id=name, tokens=length))
    return tuple(parts)


def _decode_prompt_tokens(value: bytes) -> int:
    """Returns the first number; the second bounds the generated tokens."""
    return _decode_number(value.partition(b",")[0].strip()) or 0


def _decode_position(value: bytes | None) -> int | None:
    return None if value is None else _decode_number(value)


def _decode_number(value: bytes) -> int | None:
    """Returns a number, None for text that states none or a longer one."""
    if not value.isdigit() or len(value) > _MAX_DIGITS:
        return None
    return int(value)


def _decode_resumed_id(value: bytes) -> str | None:
    return value.strip().decode("latin-1") or None
