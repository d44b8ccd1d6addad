"""Validates JSON documents against typed structs, collecting all errors.

msgspec stops at the first error; operators need all of them at once. This
module walks a document along its type and collects a problem for each
unknown, missing or mistyped field before msgspec converts it.
"""

from collections import abc
import types
import typing

import msgspec

from mothpass.core import decoding
from mothpass.core import errors

T = typing.TypeVar("T")


def decode_document(data: bytes, struct_type: type[T]) -> T:
    """Decodes a JSON document into a struct.

    Args:
        data: The document as UTF-8 JSON.
        struct_type: The struct type to convert it to.

    Returns:
        The struct; its values satisfy the constraints of ``msgspec.Meta``.

    Raises:
        errors.DocumentError: With every problem found, each with its path.
    """
    try:
        raw = decoding.decode_json(data, object)
    except errors.MalformedInputError as error:
        problem = errors.Problem(path="$", message=f"not JSON: {error}")
        raise errors.DocumentError([problem]) from error
    problems = list(_check_value(raw, struct_type, "$"))
    if problems:
        raise errors.DocumentError(problems)
    return msgspec.convert(raw, struct_type)


def _check_value(
    value: object, declared_type: object, path: str
) -> abc.Iterator[errors.Problem]:
    """Yields the problems of one value against its declared type."""
    bare_type = _strip_annotation(declared_type)
    if isinstance(bare_type, type) and issubclass(bare_type, msgspec.Struct):
        yield from _check_struct(value, bare_type, path)
        return
    if typing.get_origin(bare_type) is list and isinstance(value, list):
        (item_type,) = typing.get_args(bare_type)
        for index, item in enumerate(value):
            yield from _check_value(item, item_type, f"{path}[{index}]")
        return
    struct_type = _find_optional_struct(bare_type)
    if struct_type is not None and value is not None:
        yield from _check_struct(value, struct_type, path)
        return
    try:
        msgspec.convert(value, declared_type)
    except msgspec.ValidationError as error:
        yield errors.Problem(path=path, message=str(error))


def _check_struct(
    value: object, struct_type: type[msgspec.Struct], path: str
) -> abc.Iterator[errors.Problem]:
    """Yields the problems of one object against its struct type."""
    if not isinstance(value, dict):
        actual_type = type(value).__name__
        yield errors.Problem(
            path=path, message=f"expected an object, got {actual_type}"
        )
        return
    fields = {
        item.encode_name: item for item in msgspec.structs.fields(struct_type)
    }
    problem_count = 0
    for name in value:
        if name not in fields:
            problem_count += 1
            yield errors.Problem(path=f"{path}.{name}", message="unknown field")
    for name, item in fields.items():
        if name in value:
            for problem in _check_value(
                value[name], item.type, f"{path}.{name}"
            ):
                problem_count += 1
                yield problem
        elif item.required:
            problem_count += 1
            yield errors.Problem(path=f"{path}.{name}", message="missing field")
    if problem_count == 0:
        yield from _check_conversion(value, struct_type, path)


def _check_conversion(
    value: object, struct_type: type[msgspec.Struct], path: str
) -> abc.Iterator[errors.Problem]:
    """Yields the problems that a struct's ``__post_init__`` raises."""
    try:
        msgspec.convert(value, struct_type)
    except msgspec.ValidationError as error:
        yield errors.Problem(path=path, message=str(error))


def _strip_annotation(declared_type: object) -> object:
    """Returns the type inside ``Annotated``, or the type itself."""
    if typing.get_origin(declared_type) is typing.Annotated:
        return typing.get_args(declared_type)[0]
    return declared_type


def _find_optional_struct(declared_type: object) -> type[msgspec.Struct] | None:
    """Returns the struct type of ``Struct | None``, if it is one."""
    if typing.get_origin(declared_type) not in (types.UnionType, typing.Union):
        return None
    for option in typing.get_args(declared_type):
        if isinstance(option, type) and issubclass(option, msgspec.Struct):
            return option
    return None
