"""Tests of the memory and the connections that clients may take."""

import unittest

from mothpass.core import client_memory
from mothpass.core import connection_slots


class _Holder:
    """A connection whose memory can be reclaimed, or not."""

    def __init__(self, memory: client_memory.ClientMemory) -> None:
        self.memory = memory
        self.reclaimable_bytes = 0
        self.reclaims = 0

    def hold(self, size: int) -> None:
        """Holds some bytes more that can be reclaimed."""
        self.reclaimable_bytes += size
        self.memory.update(self, size)

    def reclaim(self) -> None:
        self.reclaims += 1
        freed = self.reclaimable_bytes
        self.reclaimable_bytes = 0
        self.memory.update(self, -freed)


class ClientMemoryTest(unittest.TestCase):
    """What is reclaimed once the budget is exceeded."""

    def setUp(self) -> None:
        self.memory = client_memory.ClientMemory(limit_bytes=1_000_000)

    def make_holders(self, *sizes: int) -> list[_Holder]:
        """Returns holders of these sizes."""
        holders = []
        for size in sizes:
            holders.append(_Holder(self.memory))
            holders[-1].hold(size)
        return holders

    def test_largest_holder_gives_way(self) -> None:
        """Guards against many bodies that each stay below their limit."""
        holders = self.make_holders(300_000, 400_000, 200_000, 150_000)
        self.assertEqual([item.reclaims for item in holders], [0, 1, 0, 0])
        self.assertEqual(self.memory.held_bytes, 650_000)

    def test_small_holders_are_kept(self) -> None:
        """Guards against ordinary requests that pay for a crowd."""
        self.memory.update(_Holder(self.memory), 1_000_000)
        [small] = self.make_holders(client_memory.SMALL_BYTES)
        self.assertEqual(small.reclaims, 0)
        small.hold(1)
        self.assertEqual(small.reclaims, 1)

    def test_released_memory_admits_others(self) -> None:
        """Guards against a budget that is spent for good."""
        first, second = self.make_holders(600_000, 300_000)
        first.reclaim()
        self.make_holders(600_000)
        self.assertEqual(second.reclaims, 0)
        self.assertEqual(self.memory.held_bytes, 900_000)


class ConnectionSlotsTest(unittest.TestCase):
    """Which connection gives way at the limit."""

    def setUp(self) -> None:
        self.slots: connection_slots.ConnectionSlots[str] = (
            connection_slots.ConnectionSlots(limit=4)
        )

    def take_victims(self) -> list[str]:
        """Returns all victims in order."""
        victims = []
        while (victim := self.slots.pick_victim()) is not None:
            victims.append(victim)
            self.slots.remove(victim)
        return victims

    def test_silent_connections_give_way_first(self) -> None:
        """Guards against a silent crowd that keeps clients out."""
        self.slots.record_idle("kept", is_used=True)
        self.slots.record_idle("silent", is_used=False)
        self.slots.record_reading("body")
        self.slots.record_idle("newer", is_used=False)
        expected = ["silent", "newer", "kept", "body"]
        self.assertEqual(self.take_victims(), expected)

    def test_request_in_service_does_not_give_way(self) -> None:
        """Guards against a crowd that ends requests of others."""
        self.slots.record_reading("body")
        self.slots.remove("body")
        self.assertEqual(self.take_victims(), [])

    def test_limit_leaves_descriptors_for_targets(self) -> None:
        """Guards against clients that leave a daemon no descriptor."""
        for descriptors, expected in ((4100, 2460), (256, 153), (None, 3000)):
            limit = connection_slots.compute_limit(
                share=connection_slots.CLIENT_SHARE,
                descriptors=descriptors,
                maximum=3000,
            )
            self.assertEqual(limit, expected)


if __name__ == "__main__":
    unittest.main()
