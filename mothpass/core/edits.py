"""Computes and applies edits of single catalogue entries."""

import bisect
from collections import abc
import operator
import typing

import msgspec

from mothpass.core import catalogue
from mothpass.core import decoding

MAX_SUMMARY_EDITS = 4
# Bytes of an encoded edit in addition to its name and its entry.
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
_ENTRY_TYPES: dict[str, type[msgspec.Struct]] = {
    "classes": catalogue.ServiceClass,
    "models": catalogue.Model,
    "services": catalogue.Service,
    "teams": catalogue.Team,
    "availability_zones": catalogue.AvailabilityZone,
}
_read_name = operator.attrgetter("name")
INSTANCE_OUT_ENTRY = msgspec.Raw(b"true")
_REMOVED_ENTRY = msgspec.Raw(b"null")


class Edit(msgspec.Struct, frozen=True, kw_only=True):
    """Puts or removes one entry of the catalogue.

    Attributes:
        section: List of the catalogue that holds the entry.
        name: Name of the entry, or id of an instance that is out of service.
        entry: Complete new entry as JSON; ``null`` removes the entry.
    """

    section: Section
    name: str
    entry: msgspec.Raw = _REMOVED_ENTRY


def is_removal(edit: Edit) -> bool:
    """Returns whether an edit removes its entry."""
    return bytes(edit.entry).strip() == b"null"


def compare_catalogues(
    old: catalogue.Catalogue, new: catalogue.Catalogue
) -> list[Edit]:
    """Returns the edits that lead from one catalogue to another."""
    edits: list[Edit] = []
    for section in _SECTIONS:
        edits.extend(_compare_section(section, old, new))
    before = set(old.instances_out)
    after = set(new.instances_out)
    for name in sorted(after - before):
        edits.append(
            Edit(section="instances_out", name=name, entry=INSTANCE_OUT_ENTRY)
        )
    for name in sorted(before - after):
        edits.append(Edit(section="instances_out", name=name))
    return edits


def apply_edits(
    base: catalogue.Catalogue, edits: abc.Iterable[Edit]
) -> catalogue.Catalogue:
    """Returns the catalogue after the edits, leaving the base unchanged."""
    groups: dict[str, list[Edit]] = {}
    for edit in edits:
        groups.setdefault(edit.section, []).append(edit)
    fields: dict[str, typing.Any] = {}
    for section, group in groups.items():
        fields[section] = _apply_section(section, base, group)
    return msgspec.structs.replace(base, **fields)


def encode_edits(edits: list[Edit]) -> bytes:
    """Encodes edits as JSON; the digest of a change covers these bytes.

    Entries are re-encoded with sorted fields, since a store may return JSON
    with other white space or another order of fields.
    """
    fields = msgspec.json.decode(msgspec.json.encode(edits))
    return msgspec.json.encode(fields, order="deterministic")


def estimate_edits_bytes(edits: list[Edit]) -> int:
    """Returns the approximate encoded size of edits, without encoding."""
    return sum(
        EDIT_OVERHEAD_BYTES + len(edit.name) + len(bytes(edit.entry))
        for edit in edits
    )


def decode_edits(data: bytes) -> list[Edit]:
    """Decodes the result of ``encode_edits``."""
    return decoding.decode_json(data, list[Edit])


def summarize_edits(edits: list[Edit]) -> str:
    """Returns a human-readable line that summarizes edits."""
    parts: list[str] = []
    for edit in edits[:MAX_SUMMARY_EDITS]:
        verb = "remove" if is_removal(edit) else "put"
        parts.append(f"{verb} {edit.section}/{edit.name}")
    if len(edits) > MAX_SUMMARY_EDITS:
        parts.append(f"and {len(edits) - MAX_SUMMARY_EDITS} more")
    return ", ".join(parts) if parts else "no difference"


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
    """Returns one list after the edits, ordered by name like the base."""
    if section == "instances_out":
        return _apply_names(base.instances_out, edits)
    entries = list(getattr(base, section))
    for edit in edits:
        # Few of many entries change, so a binary search finds each.
        index = bisect.bisect_left(entries, edit.name, key=_read_name)
        end = index
        if index < len(entries) and entries[index].name == edit.name:
            end = index + 1
        if is_removal(edit):
            entries[index:end] = []
        else:
            entry_type = _ENTRY_TYPES[section]
            entries[index:end] = [decoding.decode_json(edit.entry, entry_type)]
    return entries


def _apply_names(base: list[str], edits: list[Edit]) -> list[str]:
    names = set(base)
    for edit in edits:
        if is_removal(edit):
            names.discard(edit.name)
        else:
            names.add(edit.name)
    return sorted(names)
