"""Turns the core's small state objects into values that a checker can hash."""

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
    """Returns an object of its own from what ``freeze`` gave."""
    if isinstance(value, _FrozenDict):
        return {key: thaw(item) for key, item in value.items}
    if isinstance(value, frozenset):
        return set(value)
    if not isinstance(value, Frozen):
        return value
    found: object = object.__new__(value.kind)
    for name, item in zip(_list_slots(value.kind), value.values, strict=True):
        setattr(found, name, thaw(item))
    return found


def change(value: T, step: abc.Callable[[typing.Any], object]) -> T:
    """Returns what a frozen object becomes by one step."""
    found = thaw(value)
    step(found)
    return typing.cast(T, freeze(found))
