"""Configuration of `mothpassctl`: addresses, token and author."""

from collections import abc
import getpass
import pathlib
import typing

import msgspec

from mothpass.core import documents
from mothpass.core import errors
from mothpass.daemon import settings

ADDRESSES_VARIABLE = "MOTHPASS_OPERATORS"
TOKEN_VARIABLE = "MOTHPASS_TOKEN"
CONFIG_VARIABLE = "MOTHPASS_CONFIG"
_DEFAULT_TIMEOUT_MS = 5000


class Config(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Configuration for requests to the daemons.

    Attributes:
        addresses: Operators' addresses of the daemons, tried in this order.
        token: Operator token.
        author: Author recorded with changes.
        timeout_ms: Timeout of a request to a daemon, in milliseconds.
    """

    addresses: typing.Annotated[
        list[settings.Address], msgspec.Meta(min_length=1, max_length=4096)
    ]
    token: settings.Secret
    author: typing.Annotated[str, msgspec.Meta(min_length=1, max_length=64)] = (
        msgspec.field(default_factory=getpass.getuser)
    )
    timeout_ms: typing.Annotated[int, msgspec.Meta(ge=1, le=600_000)] = (
        _DEFAULT_TIMEOUT_MS
    )


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """Command-line options; None if not given.

    Attributes:
        config: Path of a configuration file.
        addresses: Comma-separated operators' addresses.
        token: Operator token.
        author: Author recorded with changes.
    """

    config: str | None = None
    addresses: str | None = None
    token: str | None = None
    author: str | None = None


def resolve_config(
    options: Options, environment: abc.Mapping[str, str]
) -> Config:
    """Merges the configuration file, the environment and the command line.

    The command line takes precedence over the environment, which takes
    precedence over the file.

    Raises:
        errors.DocumentError: If the result is invalid.
        OSError: If the configuration file can't be read.
    """
    path = options.config or environment.get(CONFIG_VARIABLE)
    fields: dict[str, object] = _read_fields(path) if path else {}
    addresses = options.addresses or environment.get(ADDRESSES_VARIABLE)
    if addresses:
        fields["addresses"] = [x.strip() for x in addresses.split(",")]
    token = options.token or environment.get(TOKEN_VARIABLE)
    if token:
        fields["token"] = token
    if options.author:
        fields["author"] = options.author
    return documents.decode_document(msgspec.json.encode(fields), Config)


def _read_fields(path: str) -> dict[str, object]:
    data = pathlib.Path(path).read_bytes()
    try:
        return msgspec.json.decode(data, type=dict[str, object])
    except msgspec.DecodeError as error:
        problem = errors.Problem(path="$", message=f"not JSON: {error}")
        raise errors.DocumentError([problem]) from error
