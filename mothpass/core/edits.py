"""Edits of single entries, by which one catalogue leads to another."""

import bisect
from collections import abc
import operator
import typing

import msgspec

from mothpass.core import catalogue

SUMMARY_EDITS = 4
# Bytes of an encoded edit beside its name and its entry.
EDIT_OVERHEAD_BYTES = 48

Section = typing.Literal[
    "classes",
    "models",
    "services",
    "teams",
    "availability_zones",
    "instances_out",
]

_SECTIONS: tuple[Section, ...] = (
    "classes",
    "models",
    "services",
    "teams",
    "availability_zones",
)
_KINDS: dict[str, type[msgspec.Struct]] = {
    "classes": catalogue.ServiceClass,
    "models": catalogue.Model,
    "services": catalogue.Service,
    "teams": catalogue.Team,
    "availability_zones": catalogue.AvailabilityZone,
}
_read_name = operator.attrgetter("name")
PRESENT = msgspec.Raw(b"true")
_ABSENT = msgspec.Raw(b"null")


class Edit(msgspec.Struct, frozen=True, kw_only=True):
    """Puts or removes one entry of the catalogue.

    Attributes:
        section: List that holds the entry.
        name: Name of the entry, or id of an instance that is out.
        entry: The whole new entry as JSON; ``null`` removes it.
    """

    section: Section
    name: str
    entry: msgspec.Raw = _ABSENT


def is_removal(edit: Edit) -> bool:
    """Tells whether an edit removes its entry."""
    return bytes(edit.entry).strip() == b"null"


def compare_catalogues(
    old: catalogue.Catalogue, new: catalogue.Catalogue
) -> list[Edit]:
    """Returns the edits that lead from one catalogue to another."""
    found: list[Edit] = []
    for section in _SECTIONS:
        found.extend(_compare_section(section, old, new))
    before = set(old.instances_out)
    after = set(new.instances_out)
    for name in sorted(after - before):
        found.append(Edit(section="instances_out", name=name, entry=PRESENT))
    for name in sorted(before - after):
        found.append(Edit(section="instances_out", name=name))
    return found


def apply_edits(
    base: catalogue.Catalogue, edits: abc.Iterable[Edit]
) -> catalogue.Catalogue:
    """Returns the catalogue after the edits; the base stays as it is."""
    groups: dict[str, list[Edit]] = {}
    for edit in edits:
        groups.setdefault(edit.section, []).append(edit)
    fields: dict[str, typing.Any] = {}
    for section, group in groups.items():
        fields[section] = _apply_section(section, base, group)
    return msgspec.structs.replace(base, **fields)


def encode_edits(edits: list[Edit]) -> bytes:
    """Encodes edits as JSON; the digest of a change covers these bytes.

    The entries are written anew with their fields in order, since a store may
    hand JSON back with other spaces or another order than it was given.
    """
    fields = msgspec.json.decode(msgspec.json.encode(edits))
    return msgspec.json.encode(fields, order="deterministic")


def measure_edits(edits: list[Edit]) -> int:
    """Returns the bytes that edits take, without encoding them."""
    return sum(
        EDIT_OVERHEAD_BYTES + len(edit.name) + len(bytes(edit.entry))
        for edit in edits
    )


def decode_edits(data: bytes) -> list[Edit]:
    """Decodes what ``encode_edits`` gave."""
    return msgspec.json.decode(data, type=list[Edit])


def summarize_edits(edits: list[Edit]) -> str:
    """Describes edits in one line for a person."""
    words: list[str] = []
    for edit in edits[:SUMMARY_EDITS]:
        verb = "remove" if is_removal(edit) else "put"
        words.append(f"{verb} {edit.section}/{edit.name}")
    if len(edits) > SUMMARY_EDITS:
        words.append(f"and {len(edits) - SUMMARY_EDITS} more")
    return ", ".join(words) if words else "no difference"


def _compare_section(
    section: Section, old: catalogue.Catalogue, new: catalogue.Catalogue
) -> abc.Iterator[Edit]:
    before = {entry.name: entry for entry in getattr(old, section)}
    after = {entry.name: entry for entry in getattr(new, section)}
    for name in sorted(after):
        if before.get(name) != after[name]:
            data = msgspec.json.encode(after[name], order="deterministic")
            yield Edit(section=section, name=name, entry=msgspec.Raw(data))
    for name in sorted(before.keys() - after.keys()):
        yield Edit(section=section, name=name)


def _apply_section(
    section: str, base: catalogue.Catalogue, edits: list[Edit]
) -> list[typing.Any]:
    """Returns one list after the edits; it is ordered by name, as the base."""
    if section == "instances_out":
        return _apply_names(base.instances_out, edits)
    entries = list(getattr(base, section))
    for edit in edits:
        # Few of many entries change, so that the place of each is searched.
        index = bisect.bisect_left(entries, edit.name, key=_read_name)
        end = index
        if index < len(entries) and entries[index].name == edit.name:
            end = index + 1
        if is_removal(edit):
            entries[index:end] = []
        else:
            kind = _KINDS[section]
            entries[index:end] = [msgspec.json.decode(edit.entry, type=kind)]
    return entries


def _apply_names(base: list[str], edits: list[Edit]) -> list[str]:
    names = set(base)
    for edit in edits:
        if is_removal(edit):
            names.discard(edit.name)
        else:
            names.add(edit.name)
    return sorted(names)
