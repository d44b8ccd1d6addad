"""Decodes what other parties sent, with one error for whatever is wrong."""

import typing

import msgspec

from mothpass.core import errors

T = typing.TypeVar("T")

# msgspec raises the last two for values that are nested too deeply or numbers
# that are too large, beside its own errors.
_FAILURES = (
    msgspec.DecodeError,
    UnicodeDecodeError,
    RecursionError,
    OverflowError,
)


def decode_json(raw: bytes | str, value_type: type[T]) -> T:
    """Decodes a JSON value.

    Raises:
        errors.MalformedInputError: If it isn't a value of this type.
    """
    try:
        return msgspec.json.decode(raw, type=value_type)
    except _FAILURES as error:
        raise errors.MalformedInputError(str(error)) from error


def decode_msgpack(raw: bytes, value_type: type[T]) -> T:
    """Decodes a MessagePack value.

    Raises:
        errors.MalformedInputError: If it isn't a value of this type.
    """
    try:
        return msgspec.msgpack.decode(raw, type=value_type)
    except _FAILURES as error:
        raise errors.MalformedInputError(str(error)) from error
