"""JSON bodies of the operators' HTTP routes."""

import typing

import msgspec

from mothpass.core import catalogue
from mothpass.core import errors
from mothpass.core import results

Author = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class CataloguePage(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the catalogue."""

    version: int
    digest: str
    catalogue: catalogue.Catalogue


class ChangeItem(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted change; ``at`` is milliseconds since the epoch."""

    version: int
    author: str
    at: int
    summary: str


class HistoryPage(msgspec.Struct, frozen=True, kw_only=True):
    """Accepted changes, newest first."""

    changes: list[ChangeItem]


class AcceptedPage(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to an accepted change."""

    version: int


class ProblemsPage(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a request that only checks a catalogue."""

    problems: list[errors.Problem]


class ErrorDetail(msgspec.Struct, frozen=True, kw_only=True):
    """Details of an error, as described in docs/PROTOCOLS.md."""

    code: int
    name: str
    ran: results.Ran
    message: str
    retry_after_ms: int | None


class ErrorPage(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An error answer.

    Attributes:
        error: Details of the error.
        present_version: Accepted version; set after a conflict.
        problems: Problems of an invalid catalogue.
    """

    error: ErrorDetail
    present_version: int | None = None
    problems: list[errors.Problem] | None = None


class ProposalBody(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Body of ``PUT /v1/catalogue``."""

    base_version: int
    catalogue: msgspec.Raw
    author: Author


class AuthorBody(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Body of requests that take a zone or instance out or back in."""

    author: Author
