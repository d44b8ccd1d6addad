"""Checks JSON documents against typed structs, collecting all faults.

msgspec stops at the first fault; operators want all of them at once. This
module walks the document beside its type and gathers a problem for each
unknown, missing or mistyped field before msgspec converts it.
"""

from collections import abc
import types
import typing

import msgspec

from mothpass.core import errors

T = typing.TypeVar("T")


def decode_document(data: bytes, kind: type[T]) -> T:
    """Decodes a JSON document into a struct.

    Args:
        data: The document, UTF-8 JSON.
        kind: The struct type to convert it to.

    Returns:
        The struct; value ranges stated by ``msgspec.Meta`` hold.

    Raises:
        errors.DocumentError: With every fault found, each with its path.
    """
    try:
        raw = msgspec.json.decode(data)
    except msgspec.DecodeError as error:
        problem = errors.Problem(path="$", message=f"not JSON: {error}")
        raise errors.DocumentError([problem]) from error
    problems = list(_check_value(raw, kind, "$"))
    if problems:
        raise errors.DocumentError(problems)
    return msgspec.convert(raw, kind)


def _check_value(
    value: object, kind: object, path: str
) -> abc.Iterator[errors.Problem]:
    """Yields the problems of one value against its declared type."""
    bare = _strip_annotation(kind)
    if isinstance(bare, type) and issubclass(bare, msgspec.Struct):
        yield from _check_struct(value, bare, path)
        return
    if typing.get_origin(bare) is list and isinstance(value, list):
        (item_kind,) = typing.get_args(bare)
        for index, item in enumerate(value):
            yield from _check_value(item, item_kind, f"{path}[{index}]")
        return
    struct = _find_optional_struct(bare)
    if struct is not None and value is not None:
        yield from _check_struct(value, struct, path)
        return
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        yield errors.Problem(path=path, message=str(error))


def _check_struct(
    value: object, kind: type[msgspec.Struct], path: str
) -> abc.Iterator[errors.Problem]:
    """Yields the problems of one object against its struct type."""
    if not isinstance(value, dict):
        found = type(value).__name__
        yield errors.Problem(
            path=path, message=f"expected an object, got {found}"
        )
        return
    fields = {item.encode_name: item for item in msgspec.structs.fields(kind)}
    count = 0
    for name in value:
        if name not in fields:
            count += 1
            yield errors.Problem(path=f"{path}.{name}", message="unknown field")
    for name, item in fields.items():
        if name in value:
            for problem in _check_value(
                value[name], item.type, f"{path}.{name}"
            ):
                count += 1
                yield problem
        elif item.required:
            count += 1
            yield errors.Problem(path=f"{path}.{name}", message="missing field")
    if count == 0:
        yield from _check_whole(value, kind, path)


def _check_whole(
    value: object, kind: type[msgspec.Struct], path: str
) -> abc.Iterator[errors.Problem]:
    """Yields what a struct's own ``__post_init__`` finds wrong."""
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        yield errors.Problem(path=path, message=str(error))


def _strip_annotation(kind: object) -> object:
    """Returns the type inside ``Annotated``, or the type itself."""
    if typing.get_origin(kind) is typing.Annotated:
        return typing.get_args(kind)[0]
    return kind


def _find_optional_struct(kind: object) -> type[msgspec.Struct] | None:
    """Returns the struct type of ``Struct | None``, if it is one."""
    if typing.get_origin(kind) not in (types.UnionType, typing.Union):
        return None
    for option in typing.get_args(kind):
        if isinstance(option, type) and issubclass(option, msgspec.Struct):
            return option
    return None
