"""Result codes and their HTTP status codes.

docs/RESULT_CODES.md lists the same codes; a test compares the two.
"""

import enum


class Ran(enum.StrEnum):
    """Whether any attempt of a request ran at a target."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class Code(enum.IntEnum):
    """Result code, as seen by clients, in logs and in metrics."""

    OK = 0
    BAD_REQUEST = 101
    UNAUTHENTICATED = 102
    FORBIDDEN = 103
    UNKNOWN_MODEL = 104
    UNKNOWN_SERVICE = 105
    IDEMPOTENCY_KEY_MISSING = 106
    IDEMPOTENCY_KEY_REUSED = 107
    BODY_TOO_LARGE = 108
    HEADERS_TOO_LARGE = 109
    NOT_FOUND = 110
    BODY_INCOMPLETE = 111
    CALLER_GONE = 112
    TEAM_LIMIT = 201
    OVERLOADED = 202
    DEADLINE_EXCEEDED = 203
    RETRIES_EXHAUSTED = 204
    SHUTTING_DOWN = 205
    REQUEST_QUARANTINED = 206
    NO_TARGET = 207
    NO_CATALOGUE = 208
    STORE_UNAVAILABLE = 209
    CATALOGUE_OUTDATED = 210
    TARGET_FAILED = 301
    ANSWER_INCOMPLETE = 302
    OUTCOME_UNKNOWN = 303
    IN_PROGRESS = 304
    VERSION_CONFLICT = 401
    CATALOGUE_INVALID = 402
    CHANGE_UNCONFIRMED = 403
    INTERNAL = 501


_STATUS = {
    Code.OK: 200,
    Code.BAD_REQUEST: 400,
    Code.UNAUTHENTICATED: 401,
    Code.FORBIDDEN: 403,
    Code.UNKNOWN_MODEL: 404,
    Code.UNKNOWN_SERVICE: 404,
    Code.IDEMPOTENCY_KEY_MISSING: 400,
    Code.IDEMPOTENCY_KEY_REUSED: 422,
    Code.BODY_TOO_LARGE: 413,
    Code.HEADERS_TOO_LARGE: 431,
    Code.NOT_FOUND: 404,
    Code.BODY_INCOMPLETE: 400,
    Code.CALLER_GONE: 400,
    Code.TEAM_LIMIT: 429,
    Code.OVERLOADED: 503,
    Code.DEADLINE_EXCEEDED: 504,
    Code.RETRIES_EXHAUSTED: 503,
    Code.SHUTTING_DOWN: 503,
    Code.REQUEST_QUARANTINED: 422,
    Code.NO_TARGET: 503,
    Code.NO_CATALOGUE: 503,
    Code.STORE_UNAVAILABLE: 503,
    Code.CATALOGUE_OUTDATED: 503,
    Code.TARGET_FAILED: 502,
    Code.ANSWER_INCOMPLETE: 502,
    Code.OUTCOME_UNKNOWN: 504,
    Code.IN_PROGRESS: 409,
    Code.VERSION_CONFLICT: 409,
    Code.CATALOGUE_INVALID: 422,
    Code.CHANGE_UNCONFIRMED: 504,
    Code.INTERNAL: 500,
}


def get_http_status(code: Code) -> int:
    """Returns the HTTP status code of a result."""
    return _STATUS[code]
