"""Tests of copies of a table while the store comes back from an older copy."""

import unittest

from mothpass.core import store_versions
from mothpass.core import table_copies
from mothpass.ports import replicas

_HOLD_S = table_copies.RESTORE_HOLD_S


def compare_numbers(key: str, first: bytes, second: bytes) -> int:
    """Compares values that are numbers, except those of zones."""
    return 0 if key.startswith("zone") else int(first) - int(second)


def make_row(
    key: str, era: int, number: int, value: str | None
) -> replicas.Row:
    """Returns a row."""
    return replicas.Row(
        key=key,
        version=store_versions.make_version(era, number),
        value=None if value is None else value.encode(),
    )


def make_page(
    era: int, number: int, *rows: replicas.Row, is_whole: bool = True
) -> replicas.Page:
    """Returns a page of the store."""
    return replicas.Page(
        version=store_versions.make_version(era, number),
        rows=list(rows),
        is_whole=is_whole,
    )


class PeerPageTest(unittest.TestCase):
    """Pages of peers whose content version came about in another way."""

    def test_copy_has_the_version_of_a_peer_after_its_page(self) -> None:
        """Guards against a copy that stays behind its peers for good."""
        old = table_copies.TableCopy(compare=compare_numbers)
        new = table_copies.TableCopy(compare=compare_numbers)
        row = make_row("config", 0, 10, "1")
        old.apply_page(make_page(0, 10, row), 0.0, asked_at=store_versions.NONE)
        for page in (
            make_page(0, 20, make_row("zone-a", 0, 20, "x"), is_whole=False),
            make_page(0, 30, make_row("zone-a", 0, 30, None), is_whole=False),
        ):
            old.apply_page(page, 0.0, asked_at=old.content_version)
        new.apply_page(make_page(0, 30, row), 0.0, asked_at=store_versions.NONE)
        self.assertLess(new.content_version, old.content_version)
        new.apply_page(
            old.make_page(new.content_version),
            0.0,
            asked_at=new.content_version,
            is_from_peer=True,
        )
        self.assertEqual(new.content_version, old.content_version)
        self.assertEqual(new.rows, old.rows)


class RestoreTest(unittest.TestCase):
    """One copy, before and after a restore."""

    def setUp(self) -> None:
        self.copy = table_copies.TableCopy(compare=compare_numbers)
        self.apply(
            make_page(
                0,
                100,
                make_row("config", 0, 100, "9"),
                make_row("target", 0, 60, "1"),
                make_row("zone-a", 0, 90, "x"),
            )
        )

    def apply(self, page: replicas.Page, now: float = 0.0) -> None:
        """Applies a page that isn't outdated."""
        asked_at = self.copy.content_version
        change = self.copy.apply_page(page, now, asked_at=asked_at)
        self.assertIsNotNone(change)

    def apply_to(
        self, copy: table_copies.TableCopy, page: replicas.Page
    ) -> table_copies.Change | None:
        """Applies a page that a copy has just asked for."""
        return copy.apply_page(page, 0.1, asked_at=copy.content_version)

    def read(self) -> dict[str, str]:
        """Returns the values in force."""
        return {
            key: row.value.decode()
            for key, row in self.copy.rows.items()
            if row.value is not None
        }

    def restore(self, *rows: replicas.Row, now: float = 0.0) -> None:
        """Applies the first page of the next era."""
        era = store_versions.get_era(self.copy.content_version) + 1
        self.apply(make_page(era, 80, *rows), now)

    def test_lower_number_of_a_new_era_is_applied(self) -> None:
        """Guards against changes that are ignored until numbers catch up."""
        self.restore(make_row("config", 1, 70, "8"))
        changed = make_row("config", 1, 81, "10")
        self.apply(make_page(1, 81, changed, is_whole=False))
        self.assertEqual(self.read()["config"], "10")

    def test_page_of_an_earlier_era_is_dropped(self) -> None:
        """Guards against an answer from before the restore that comes late."""
        self.restore(make_row("config", 1, 70, "8"))
        late = make_page(0, 900, make_row("config", 0, 900, "12"))
        self.assertIsNone(self.apply_to(self.copy, late))
        self.assertEqual(self.read()["config"], "9")

    def test_older_content_is_not_applied_however_long_it_stays(self) -> None:
        """Guards against an older document that comes back into force."""
        self.restore(make_row("config", 1, 70, "8"))
        self.copy.expire_holds(1000.0)
        self.assertEqual(self.read()["config"], "9")

    def test_missing_row_is_kept_for_a_bounded_time(self) -> None:
        """Guards against a closed zone that gets requests at once."""
        self.restore(make_row("config", 1, 70, "9"))
        self.copy.expire_holds(_HOLD_S - 0.1)
        self.assertEqual(self.read()["zone-a"], "x")
        self.copy.expire_holds(_HOLD_S + 0.1)
        self.assertNotIn("zone-a", self.read())

    def test_removed_row_does_not_come_back_with_the_copy(self) -> None:
        """Guards against a target that left and gets requests again."""
        gone = make_row("target", 0, 101, None)
        self.apply(make_page(0, 101, gone, is_whole=False))
        self.restore(make_row("target", 1, 60, "1"))
        self.copy.expire_holds(1000.0)
        self.assertNotIn("target", self.read())
        back = make_row("target", 1, 82, "2")
        self.apply(make_page(1, 82, back, is_whole=False))
        self.assertEqual(self.read()["target"], "2")

    def test_row_written_after_the_restore_ends_the_hold(self) -> None:
        """Guards against a hold that outlives the operator's rewriting."""
        same = [make_row("target", 1, 60, "1"), make_row("zone-a", 1, 70, "x")]
        self.restore(make_row("config", 1, 70, "8"), *same)
        self.assertTrue(self.copy.has_holds)
        rewritten = make_row("config", 1, 81, "9")
        self.apply(make_page(1, 81, rewritten, is_whole=False))
        self.assertFalse(self.copy.has_holds)
        self.assertEqual(self.copy.rows["config"], rewritten)

    def test_whole_read_of_the_same_era_keeps_what_is_held(self) -> None:
        """Guards against older rows that a lost history brings into force."""
        self.restore(make_row("config", 1, 70, "8"))
        self.apply(make_page(1, 80, make_row("config", 1, 70, "8")), 0.5)
        self.assertEqual(self.read()["config"], "9")

    def test_two_restores_in_a_row_are_as_one(self) -> None:
        """Guards against a second copy that undoes the first hold."""
        self.restore(make_row("config", 1, 70, "8"))
        self.restore(make_row("config", 2, 65, "7"), now=0.1)
        self.assertEqual(
            self.read(), {"config": "9", "target": "1", "zone-a": "x"}
        )
        self.apply(make_page(3, 90, make_row("config", 3, 90, "9")), 0.2)
        self.assertEqual(self.read()["config"], "9")

    def test_copy_that_starts_meanwhile_takes_the_newer_state_of_a_peer(
        self,
    ) -> None:
        """Guards against a new daemon with a revoked key in force."""
        gone = make_row("target", 0, 101, None)
        self.apply(make_page(0, 101, gone, is_whole=False))
        restored = [
            make_row("config", 1, 70, "8"),
            make_row("target", 1, 60, "1"),
        ]
        self.restore(*restored)
        for reads_store_first in (True, False):
            with self.subTest(reads_store_first=reads_store_first):
                starting = table_copies.TableCopy(compare=compare_numbers)
                if reads_store_first:
                    self.apply_to(starting, make_page(1, 80, *restored))
                self.apply_to(starting, self.copy.make_page(0))
                self.assertEqual(starting.rows, self.copy.rows)
                starting.expire_holds(1000.0)
                self.assertEqual(set(starting.rows), {"config"})
                self.assertEqual(starting.rows["config"].value, b"9")

    def test_copy_that_skipped_a_restore_takes_the_newer_state_of_a_peer(
        self,
    ) -> None:
        """Guards against an older document that went through two restores."""
        other = table_copies.TableCopy(compare=compare_numbers)
        self.apply_to(other, make_page(1, 70, make_row("config", 1, 70, "8")))
        self.restore(make_row("config", 1, 70, "8"))
        self.restore(make_row("config", 2, 70, "8"))
        page = self.copy.make_page(other.content_version)
        self.apply_to(other, page)
        self.assertEqual(other.rows["config"].value, b"9")

    def test_answer_from_before_a_page_of_the_new_era_is_dropped(self) -> None:
        """Guards against a target that a late whole read brings back."""
        asked_at = self.copy.content_version
        self.apply(make_page(1, 75, make_row("config", 1, 75, "9")))
        self.copy.expire_holds(1000.0)
        late = make_page(1, 80, make_row("target", 1, 80, "1"))
        self.assertIsNone(self.copy.apply_page(late, 1.0, asked_at=asked_at))
        self.assertNotIn("target", self.read())

    def test_peer_of_the_earlier_era_is_brought_over(self) -> None:
        """Guards against a fleet that stays split between two eras."""
        behind = table_copies.TableCopy(compare=compare_numbers)
        self.apply_to(behind, make_page(0, 95, make_row("config", 0, 95, "7")))
        self.restore(make_row("config", 1, 70, "6"))
        page = self.copy.make_page(behind.content_version)
        change = self.apply_to(behind, page)
        assert change is not None
        self.assertTrue(change.is_restore)
        self.assertEqual(behind.rows["config"].value, b"9")
        self.assertEqual(behind.content_version, self.copy.content_version)
        outdated = make_page(0, 100, make_row("config", 0, 100, "5"))
        self.assertIsNone(self.apply_to(self.copy, outdated))


if __name__ == "__main__":
    unittest.main()
