"""Compares docs/RESULT_CODES.md with mothpass.core.results."""

import http
import pathlib
import re
import unittest

from mothpass.core import results

_PAGE = (
    pathlib.Path(__file__).resolve().parent.parent / "docs" / "RESULT_CODES.md"
)


class ResultCodesTest(unittest.TestCase):
    """Result codes in the page and in the code are the same."""

    def test_page_lists_all_codes_with_number_and_status(self) -> None:
        text = _PAGE.read_text(encoding="utf-8")
        found = re.findall(
            r"^\| (\d+) \| `(\w+)` \| (\d+) \| [a-z, ]+ \| .+\. \|$", text, re.M
        )
        expected = [
            (str(int(code)), code.name, str(results.get_http_status(code)))
            for code in results.Code
        ]
        self.assertEqual(found, expected)

    def test_page_states_for_each_code_whether_the_request_ran(self) -> None:
        text = _PAGE.read_text(encoding="utf-8")
        cells = re.findall(r"^\| \d+ \| `\w+` \| \d+ \| ([^|]+) \|", text, re.M)
        known = {ran.value for ran in results.Ran}
        for cell in cells:
            self.assertLessEqual(set(cell.split(", ")), known)

    def test_each_status_is_an_http_status(self) -> None:
        for code in results.Code:
            self.assertIn(
                results.get_http_status(code), set(http.HTTPStatus), code.name
            )


if __name__ == "__main__":
    unittest.main()
