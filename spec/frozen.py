"""Converts state objects of the core to hashable values and back."""

from collections import abc
import typing

import msgspec

T = typing.TypeVar("T")


class Frozen(typing.NamedTuple):
    """An object's class and the values of its slots."""

    kind: type
    values: tuple[object, ...]


class _FrozenDict(typing.NamedTuple):
    items: tuple[tuple[object, object], ...]


def _list_slots(kind: type) -> list[str]:
    return [
        name
        for base in reversed(kind.__mro__)
        for name in getattr(base, "__slots__", ())
    ]


def freeze(value: object) -> typing.Any:
    """Returns a hashable copy of an object with slots, or of a plain value."""
    if isinstance(value, dict):
        return _FrozenDict(tuple((k, freeze(v)) for k, v in value.items()))
    if isinstance(value, set):
        return frozenset(value)
    if isinstance(value, msgspec.Struct) or not hasattr(value, "__slots__"):
        return value
    if isinstance(value, str | int | float | tuple | frozenset):
        return value
    kind = type(value)
    return Frozen(
        kind, tuple(freeze(getattr(value, x)) for x in _list_slots(kind))
    )


def thaw(value: typing.Any) -> typing.Any:
    """Returns a new object from a result of ``freeze``."""
    if isinstance(value, _FrozenDict):
        return {key: thaw(item) for key, item in value.items}
    if isinstance(value, frozenset):
        return set(value)
    if not isinstance(value, Frozen):
        return value
    thawed: object = object.__new__(value.kind)
    for name, item in zip(_list_slots(value.kind), value.values, strict=True):
        setattr(thawed, name, thaw(item))
    return thawed


def apply(value: T, action: abc.Callable[[typing.Any], object]) -> T:
    """Returns a frozen object as it is after an action on its thawed copy."""
    thawed = thaw(value)
    action(thawed)
    return typing.cast(T, freeze(thawed))
