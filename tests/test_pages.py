"""Tests that the reference tables of the documentation match the code."""

import pathlib
import re
import typing
import unittest

import msgspec

from mothpass.core import catalogue
from mothpass.daemon import settings
from mothpass.load import profiles

_DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"
_CATALOGUE_TABLES: dict[str, type[msgspec.Struct]] = {
    "Catalogue": catalogue.Catalogue,
    "Class": catalogue.ServiceClass,
    "Limits": catalogue.Limits,
    "Model": catalogue.Model,
    "Cold start": catalogue.ColdStart,
    "Service": catalogue.Service,
    "Team": catalogue.Team,
    "Availability zone": catalogue.AvailabilityZone,
}
_PROFILE_TABLES: dict[str, type[msgspec.Struct]] = {
    "Profile": profiles.Profile,
    "Chats": profiles.Chats,
    "Calls": profiles.Calls,
    "Recorded": profiles.Recorded,
    "Surge": profiles.Surge,
    "Action": profiles.Action,
    "Watch": profiles.Watch,
}
_SETTINGS_TABLES: dict[str, type[msgspec.Struct]] = {
    "Settings": settings.Settings,
    "Instance": settings.Instance,
    "Callers": settings.Callers,
    "Operators": settings.Operators,
    "Peers": settings.Peers,
    "Platform": settings.Platform,
    "Targets": settings.Targets,
    "Telemetry": settings.Telemetry,
    "Shutdown": settings.Shutdown,
}


class FieldRow(typing.NamedTuple):
    """A field's name, default and limits as a table shows them."""

    name: str
    default: str
    limits: str


def read_rows(page: str, title: str) -> list[FieldRow]:
    """Returns the rows of the table under a heading of a page."""
    text = (_DOCS / page).read_text(encoding="utf-8")
    section = re.split(rf"^#+ {title}$", text, flags=re.M)[1]
    section = re.split(r"^#", section, flags=re.M)[0]
    pattern = r"^\| `(\w+)` \| [^|]+ \| ([^|]+) \| ?([^|]*)\|$"
    matches = re.findall(pattern, section, re.M)
    return [
        FieldRow(name, default, limits.strip())
        for name, default, limits in matches
    ]


def list_field_rows(kind: type[msgspec.Struct]) -> list[FieldRow]:
    """Returns the rows that a page has to show for a struct."""
    return [
        FieldRow(
            field.encode_name, _format_default(field), _format_limits(field)
        )
        for field in msgspec.structs.fields(kind)
    ]


def _format_default(field: typing.Any) -> str:
    if field.required:
        return "required"
    value = field.default
    if value is msgspec.NODEFAULT:
        value = field.default_factory()
    return f"`{msgspec.json.encode(value).decode()}`"


def _format_limits(field: typing.Any) -> str:
    if typing.get_origin(field.type) is not typing.Annotated:
        return ""
    kind, meta = typing.get_args(field.type)
    if kind in (int, float):
        return _format_range(meta)
    if meta.min_length is not None:
        unit = "characters" if kind is str else "entries"
        return f"{meta.min_length} to {meta.max_length} {unit}"
    return ""


def _format_range(meta: msgspec.Meta) -> str:
    if meta.gt is not None:
        return f"above {meta.gt:g}, to {meta.le:g}"
    if meta.lt is not None:
        return f"{meta.ge:g}, below {meta.lt:g}"
    if meta.le is None:
        return f"{meta.ge:g} or more"
    return f"{meta.ge} to {meta.le}"


class PageTest(unittest.TestCase):
    """Tests that each table lists the fields of its struct."""

    def check_page(
        self, page: str, tables: dict[str, type[msgspec.Struct]]
    ) -> None:
        for title, kind in tables.items():
            with self.subTest(page=page, table=title):
                self.assertEqual(read_rows(page, title), list_field_rows(kind))

    def test_catalogue(self) -> None:
        self.check_page("CATALOGUE.md", _CATALOGUE_TABLES)

    def test_settings(self) -> None:
        self.check_page("SETTINGS.md", _SETTINGS_TABLES)

    def test_profiles(self) -> None:
        self.check_page("LOAD.md", _PROFILE_TABLES)

    def test_links_between_pages_resolve(self) -> None:
        pages = [_DOCS.parent / "README.md", *_DOCS.rglob("*.md")]
        missing = []
        for page in pages:
            text = page.read_text(encoding="utf-8")
            for link in re.findall(r"\]\(([^)#]+)[^)]*\)", text):
                if "://" not in link and not (page.parent / link).exists():
                    missing.append(f"{page.name}: {link}")
        self.assertEqual(missing, [])


if __name__ == "__main__":
    unittest.main()
