"""Tests of the bound on the bytes that clients make a daemon hold."""

import unittest

from mothpass.adapters import held_bytes

_LIMIT_BYTES = 1_000_000


class HeldBytesTest(unittest.TestCase):
    """Holdings of one listener."""

    def setUp(self) -> None:
        self.held = held_bytes.HeldBytes(limit_bytes=_LIMIT_BYTES)
        self.evicted: list[str] = []

    def hold(self, name: str, size: int) -> held_bytes.Holding:
        """Returns a holding that notes its eviction under a name."""
        holding = self.held.open_holding(lambda: self.evicted.append(name))
        holding.grow(size)
        return holding

    def test_largest_unfinished_one_is_given_up(self) -> None:
        """Guards against sums that grow without bound."""
        self.hold("whole", 400_000).settle()
        self.hold("small", 50_000)
        self.hold("large", 250_000)
        self.hold("last", 150_000)
        self.assertEqual(self.evicted, ["large"])
        self.assertEqual(self.held.total, 600_000)

    def test_large_ones_leave_place_for_small_ones(self) -> None:
        """Guards against large requests that keep all others out."""
        self.hold("whole", 740_000).settle()
        self.hold("small", 50_000)
        self.hold("large", 100_000)
        self.assertEqual(self.evicted, ["large"])

    def test_whole_ones_alone_keep_their_place(self) -> None:
        """Guards against requests that are given up while they run."""
        self.hold("whole", 750_000).settle()
        self.hold("large", 100_000)
        self.hold("larger", 200_000)
        self.assertEqual(self.evicted, ["large", "larger"])
        self.assertEqual(self.held.total, 750_000)

    def test_bytes_count_until_the_last_owner_releases_them(self) -> None:
        """Guards against requests that go on uncounted without a client."""
        holding = self.hold("whole", 750_000)
        holding.settle()
        holding.add_owner()
        holding.release()
        self.assertEqual(self.held.total, 750_000)
        holding.release()
        self.assertEqual(self.held.total, 0)

    def test_given_up_one_counts_nothing_more(self) -> None:
        """Guards against a sum that drifts as a client goes on sending."""
        holding = self.hold("large", 800_000)
        holding.grow(800_000)
        holding.release()
        holding.drop()
        self.assertEqual(self.evicted, ["large"])
        self.assertEqual(self.held.total, 0)


if __name__ == "__main__":
    unittest.main()
