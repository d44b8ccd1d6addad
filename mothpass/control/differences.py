"""Computes the differences between two catalogues by entry and field."""

from collections import abc

import msgspec

from mothpass.core import catalogue

_LIST_FIELDS = ("classes", "models", "services", "teams", "availability_zones")


class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """One field or entry that differs.

    Attributes:
        path: Path of the field, such as ``teams.quay.limits.in_flight``.
        before: Value in the first catalogue, None if absent.
        after: Value in the second catalogue, None if absent.
    """

    path: str
    before: object = None
    after: object = None


def list_differences(
    before: catalogue.Catalogue, after: catalogue.Catalogue
) -> list[Difference]:
    """Returns the differences, in the order of the catalogue's lists.

    Entries are matched by name; their order in a list is ignored.
    """
    first = msgspec.to_builtins(before)
    second = msgspec.to_builtins(after)
    found: list[Difference] = []
    for field in _LIST_FIELDS:
        old = {item["name"]: item for item in first[field]}
        new = {item["name"]: item for item in second[field]}
        found.extend(_compare(field, old, new))
    old_out = {name: True for name in first["instances_out"]}
    new_out = {name: True for name in second["instances_out"]}
    found.extend(_compare("instances_out", old_out, new_out))
    return found


def format_difference(item: Difference) -> str:
    """Formats a difference as one line."""
    if item.before is None:
        return f"+ {item.path}: {_format_value(item.after)}"
    if item.after is None:
        return f"- {item.path}: {_format_value(item.before)}"
    old = _format_value(item.before)
    return f"~ {item.path}: {old} -> {_format_value(item.after)}"


def _compare(
    path: str, before: object, after: object
) -> abc.Iterator[Difference]:
    if before == after:
        return
    if not (isinstance(before, dict) and isinstance(after, dict)):
        yield Difference(path=path, before=before, after=after)
        return
    for name in [*before, *(x for x in after if x not in before)]:
        yield from _compare(f"{path}.{name}", before.get(name), after.get(name))


def _format_value(value: object) -> str:
    return msgspec.json.encode(value).decode()
