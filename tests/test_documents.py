"""Tests for mothpass.core.documents, with catalogues and settings."""

import unittest

from mothpass.core import catalogue
from mothpass.core import errors
from mothpass.daemon import settings


class DecodeDocumentTest(unittest.TestCase):
    """Tests that all problems are reported at once, each with its path."""

    def _list_problem_paths(self, data: bytes) -> list[str]:
        with self.assertRaises(errors.DocumentError) as caught:
            catalogue.decode_catalogue(data)
        return [item.path for item in caught.exception.problems]

    def test_reports_unknown_missing_and_mistyped_fields_together(self) -> None:
        paths = self._list_problem_paths(
            b'{"x": 1, "classes": [{"name": "UPPER", "priority": 77}],'
            b' "models": [], "services": 3}'
        )
        self.assertEqual(
            paths,
            [
                "$.x",
                "$.classes[0].name",
                "$.classes[0].priority",
                "$.classes[0].deadline_ms",
                "$.services",
                "$.teams",
                "$.availability_zones",
            ],
        )

    def test_reports_an_unknown_field_in_an_entry(self) -> None:
        paths = self._list_problem_paths(
            b'{"classes": [{"name": "quick", "priority": 1,'
            b' "deadline_ms": 5000, "colour": 1}], "models": [],'
            b' "services": [], "teams": [], "availability_zones": []}'
        )
        self.assertEqual(paths, ["$.classes[0].colour"])

    def test_reports_a_document_that_is_not_json(self) -> None:
        self.assertEqual(self._list_problem_paths(b"{"), ["$"])

    def test_reports_a_list_in_place_of_an_object(self) -> None:
        self.assertEqual(self._list_problem_paths(b"[]"), ["$"])

    def test_reports_a_problem_that_post_init_raises(self) -> None:
        document = (
            b'{"instance": {"id": "d1", "region": "perth",'
            b' "availability_zone": "a", "slot": 9, "slots": 9},'
            b' "callers": {"address": "127.0.0.1:1"}}'
        )
        with self.assertRaises(errors.DocumentError) as caught:
            settings.decode_settings(document)
        paths = [item.path for item in caught.exception.problems]
        self.assertEqual(
            paths, ["$.instance", "$.operators", "$.peers", "$.platform"]
        )


if __name__ == "__main__":
    unittest.main()
