"""Tests for mothpass.core.count_reports."""

import unittest

from mothpass.core import count_reports


class CountReportTest(unittest.TestCase):
    """Tests that counts arrive and that the list is sent only once."""

    def setUp(self) -> None:
        self.sender = count_reports.CountReportEncoder(first_version=7)
        self.receiver = count_reports.CountReportDecoder()
        self.sender.set_names(["e2", "e1", "e3"])

    def _send_counts(
        self, counts: dict[str, int], *, with_names: bool
    ) -> dict[str, int] | None:
        report = self.sender.encode_report(counts, with_names=with_names)
        return self.receiver.decode_report("d1", report)

    def test_counts_of_any_size_arrive(self) -> None:
        counts = {"e1": 127, "e2": 128, "e3": 100_000}
        self.assertEqual(self._send_counts(counts, with_names=True), counts)

    def test_small_counts_take_a_byte_each(self) -> None:
        report = self.sender.encode_report({"e1": 75}, with_names=False)
        self.assertEqual(len(report.counts), 3)

    def test_a_known_list_is_not_needed_again(self) -> None:
        self._send_counts({}, with_names=True)
        counts = self._send_counts({"e2": 4}, with_names=False)
        self.assertEqual(counts, {"e2": 4})

    def test_a_report_with_an_unknown_list_is_not_decoded(self) -> None:
        self.assertTrue(self.receiver.lacks_names("d1"))
        self.assertIsNone(self._send_counts({"e1": 1}, with_names=False))
        self._send_counts({}, with_names=True)
        self.sender.set_names(["e1", "e9"])
        self.assertIsNone(self._send_counts({"e9": 1}, with_names=False))

    def test_a_report_that_does_not_match_its_list_is_not_decoded(self) -> None:
        self._send_counts({}, with_names=True)
        for packed in (b"\x01", b"\x01\x01\x01\x81"):
            report = count_reports.CountReport(
                names_version=self.sender.version, names=None, counts=packed
            )
            self.assertIsNone(self.receiver.decode_report("d1", report))
            self.assertTrue(self.receiver.lacks_names("d1"))
            self._send_counts({}, with_names=True)

    def test_lists_of_removed_daemons_are_dropped(self) -> None:
        self._send_counts({}, with_names=True)
        self.receiver.retain(["d2"])
        self.assertTrue(self.receiver.lacks_names("d1"))


if __name__ == "__main__":
    unittest.main()
