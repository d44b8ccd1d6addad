"""Holds docs/RESULT_CODES.md against mothpass.core.results."""

import http
import pathlib
import re
import unittest

from mothpass.core import results

_PAGE = (
    pathlib.Path(__file__).resolve().parent.parent / "docs" / "RESULT_CODES.md"
)


class ResultCodesTest(unittest.TestCase):
    """Checks that the page lists each code with its number and status."""

    def test_page_lists_the_codes_as_the_code_has_them(self) -> None:
        text = _PAGE.read_text(encoding="utf-8")
        found = re.findall(
            r"^\| (\d+) \| `(\w+)` \| (\d+) \| [a-z, ]+ \| .+\. \|$", text, re.M
        )
        expected = [
            (str(int(code)), code.name, str(results.get_http_status(code)))
            for code in results.Code
        ]
        self.assertEqual(found, expected)

    def test_page_says_of_each_whether_it_ran(self) -> None:
        text = _PAGE.read_text(encoding="utf-8")
        words = re.findall(r"^\| \d+ \| `\w+` \| \d+ \| ([^|]+) \|", text, re.M)
        known = {ran.value for ran in results.Ran}
        for word in words:
            self.assertLessEqual(set(word.split(", ")), known)

    def test_each_status_is_a_known_one(self) -> None:
        for code in results.Code:
            self.assertIn(
                results.get_http_status(code), set(http.HTTPStatus), code.name
            )


if __name__ == "__main__":
    unittest.main()
