"""Tests for the settings of mothpass.standin and their documentation."""

import pathlib
import unittest

import msgspec

from mothpass.core import errors
from mothpass.programs import mothpass_standin
from mothpass.standin import faults
from mothpass.standin import settings

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_DOCS_PAGE = _ROOT / "docs" / "STANDINS.md"
_SETTINGS = (
    settings.TableSettings,
    settings.ObjectsSettings,
    settings.MembersSettings,
    settings.ServiceSettings,
    settings.EngineSettings,
)


def _list_fields(kind: type[msgspec.Struct]) -> list[str]:
    return [item.encode_name for item in msgspec.structs.fields(kind)]


class PageTest(unittest.TestCase):
    """Compares docs/STANDINS.md with the code."""

    def test_documents_each_setting_and_fault(self) -> None:
        page = _DOCS_PAGE.read_text(encoding="utf-8")
        kinds = (*_SETTINGS, faults.Faults)
        names = {name for kind in kinds for name in _list_fields(kind)}
        missing = [name for name in names if f"| `{name}` |" not in page]
        self.assertEqual(missing, [])

    def test_documents_each_default(self) -> None:
        page = _DOCS_PAGE.read_text(encoding="utf-8")
        for kind in _SETTINGS:
            for item in msgspec.structs.fields(kind):
                if isinstance(item.default, int | float | str):
                    default = str(item.default).lower()
                    with self.subTest(kind=kind, setting=item.name):
                        self.assertRegex(
                            page, rf"\| `{item.name}` \| `?{default}`? \|"
                        )


class ReadSettingsTest(unittest.TestCase):
    """Checks the merging and validation of options and the file."""

    def setUp(self) -> None:
        kinds = {kind.name: kind for kind in mothpass_standin.KINDS}
        self.engine = kinds["engine"]

    def test_options_override_the_file(self) -> None:
        config = b'{"address": "127.0.0.1:0", "id": "e1", "max_running": 4}'
        given = {"max_running": "8", "serves": '["advice"]', "fall": "restart"}
        found = mothpass_standin.read_settings(self.engine, config, given)
        expected = settings.EngineSettings(
            address="127.0.0.1:0",
            id="e1",
            max_running=8,
            serves=["advice"],
            fall="restart",
        )
        self.assertEqual(found, expected)

    def test_reports_all_problems_at_once(self) -> None:
        given = {"address": "nowhere", "max_running": "0", "fall": "up"}
        with self.assertRaises(errors.DocumentError) as caught:
            mothpass_standin.read_settings(self.engine, None, given)
        paths = [item.path for item in caught.exception.problems]
        self.assertEqual(
            paths, ["$.address", "$.id", "$.max_running", "$.fall"]
        )


if __name__ == "__main__":
    unittest.main()
