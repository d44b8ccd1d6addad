"""Encodes requests to targets and decodes the heads of their answers."""

import math

from mothpass.ports import relay

_OTHER_INSTANCE = 421
_UNAVAILABLE = 503
# A target that asks for more is treated as if it had asked for this.
MAX_PAUSE_S = 3600.0


def write_request(request: relay.Request, dispatch: relay.Dispatch) -> bytes:
    """Encodes a request to a target; see ``relay.WriteRequest``."""
    lines = [b"%s %s HTTP/1.1\r\n" % (request.method, request.url)]
    lines += [b"%s: %s\r\n" % header for header in request.headers]
    lines.append(b"deadline-ms: %d\r\n" % dispatch.timeout_ms)
    lines.append(b"expect-instance: %s\r\n" % dispatch.target_id.encode())
    lines.append(b"request-urgency: %d\r\n" % dispatch.priority)
    if dispatch.team is not None:
        lines.append(b"tenant: %s\r\n" % dispatch.team.encode())
    if dispatch.position is not None:
        lines.append(b"last-event-id: %d\r\n" % dispatch.position)
    if dispatch.cache_source is not None:
        lines.append(b"kv-fetch: %s\r\n" % dispatch.cache_source.encode())
    if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"content-length: %d\r\n" % len(request.body))
    lines.append(b"\r\n")
    return b"".join(lines) + request.body


def read_answer_head(
    status: int, headers: tuple[relay.Header, ...]
) -> relay.AnswerHead:
    """Decodes the head of an answer; see ``relay.ReadAnswerHead``."""
    fields = dict(headers)
    is_other = status == _OTHER_INSTANCE
    if is_other or b"not-run" in fields:
        execution_state = relay.ExecutionState.NOT_RUN
    elif status in (408, 429, 503):
        # Without the header that excludes it, the request may have run.
        execution_state = relay.ExecutionState.UNKNOWN
    else:
        execution_state = relay.ExecutionState.RAN
    request_id = fields.get(b"attempt-id")
    return relay.AnswerHead(
        status=status,
        headers=tuple(
            item for item in headers if item[0] not in relay.CONNECTION_HEADERS
        ),
        request_id=None if request_id is None else request_id.decode("latin-1"),
        execution_state=execution_state,
        is_other_target=is_other,
        is_leaving=fields.get(b"server-leaving", b"").strip() == b"1",
        pause_s=_decode_pause(fields.get(b"retry-after", b""))
        if status == _UNAVAILABLE
        else None,
        limit_per_s=_decode_rate(fields.get(b"server-limit", b"")),
        turned_away_per_s=_decode_rate(fields.get(b"server-brittle", b"")),
        is_signed=b"server-seal" in fields,
        idle_timeout_s=_decode_idle_timeout(fields.get(b"keep-alive", b"")),
    )


def _decode_pause(value: bytes) -> float | None:
    """Returns the seconds of a Retry-After, None if it has no usable value."""
    try:
        seconds = float(value)
    except ValueError:
        return None
    if not seconds > 0:
        return None
    return min(seconds, MAX_PAUSE_S)


def _decode_rate(value: bytes) -> float | None:
    """Returns requests per second, None without a usable number."""
    try:
        per_s = float(value)
    except ValueError:
        return None
    return per_s if 0 <= per_s < math.inf else None


def _decode_idle_timeout(value: bytes) -> float | None:
    for item in value.split(b","):
        name, _, seconds = item.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.strip().isdigit():
            return float(seconds)
    return None
