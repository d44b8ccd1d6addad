"""Tests for mothpass.core.preference."""

import unittest

from mothpass.core import preference

CHATS = 3000


class HashRingTest(unittest.TestCase):
    """Tests the order of preference of many chats."""

    def _list_preferred(self, count: int) -> list[str]:
        ring = preference.HashRing(ids=[f"e{i}" for i in range(count)])
        return [ring.rank(chat)[0] for chat in range(CHATS)]

    def test_a_new_target_moves_only_the_chats_that_it_gets(self) -> None:
        before = self._list_preferred(5)
        after = self._list_preferred(6)
        moved = {b for a, b in zip(before, after, strict=True) if a != b}
        self.assertEqual(moved, {"e5"})

    def test_chats_spread_evenly_over_few_targets(self) -> None:
        preferred = self._list_preferred(5)
        for name in set(preferred):
            self.assertAlmostEqual(
                preferred.count(name) / CHATS, 0.2, delta=0.03
            )

    def test_a_new_one_of_many_targets_moves_few_chats(self) -> None:
        before = self._list_preferred(200)
        after = self._list_preferred(201)
        moved = sum(a != b for a, b in zip(before, after, strict=True))
        self.assertLess(moved / CHATS, 4 / 200)

    def test_a_rank_names_no_target_twice(self) -> None:
        ring = preference.HashRing(ids=[f"e{i}" for i in range(200)])
        for chat in range(100):
            ranked = ring.rank(chat)
            self.assertEqual(len(ranked), preference.MAX_RANKED_TARGETS)
            self.assertEqual(len(set(ranked)), preference.MAX_RANKED_TARGETS)


if __name__ == "__main__":
    unittest.main()
