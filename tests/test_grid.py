"""Tests for mothpass.core.grid."""

import math
import unittest

from mothpass.core import grid


def _plan_all(
    count: int, *, unreachable: frozenset[str] = frozenset()
) -> dict[str, grid.Plan]:
    daemons = [f"daemon-{number}" for number in range(count)]
    return {
        own: grid.plan_exchange(
            own_id=own, daemons=daemons, unreachable=unreachable - {own}
        )
        for own in daemons
        if own not in unreachable
    }


def _count_deliveries(
    plans: dict[str, grid.Plan], origin: str
) -> dict[str, int]:
    """Returns how often each daemon receives a record of an origin."""
    received = dict.fromkeys(plans, 0)
    holders = {origin}
    for peer in plans[origin].row:
        if peer in received:
            received[peer] += 1
            holders.add(peer)
    for holder in holders:
        if origin not in plans[holder].origins:
            continue
        for peer in plans[holder].column:
            if peer in received:
                received[peer] += 1
    return received


class PlanExchangeTest(unittest.TestCase):
    """Tests the reach of records and the number of neighbours."""

    def test_a_small_fleet_is_a_full_mesh(self) -> None:
        plans = _plan_all(8)
        for own, plan in plans.items():
            self.assertEqual(plan.row, frozenset(plans) - {own})
            self.assertEqual(plan.column, frozenset())

    def test_every_record_reaches_each_other_daemon_once(self) -> None:
        for count in (17, 23, 100, 200, 211):
            plans = _plan_all(count)
            for origin in plans:
                received = _count_deliveries(plans, origin)
                del received[origin]
                self.assertEqual(set(received.values()), {1}, count)

    def test_neighbours_grow_with_the_square_root_of_the_fleet(self) -> None:
        plans = _plan_all(200)
        for plan in plans.values():
            neighbours = len(plan.row | plan.column)
            self.assertLessEqual(neighbours, 3 * math.ceil(math.sqrt(200)))

    def test_another_daemon_relays_for_an_unreachable_one(self) -> None:
        unreachable = frozenset({"daemon-3", "daemon-50"})
        plans = _plan_all(100, unreachable=unreachable)
        for origin in plans:
            received = _count_deliveries(plans, origin)
            del received[origin]
            self.assertEqual(min(received.values()), 1)

    def test_a_daemon_that_is_not_listed_yet_has_neighbours(self) -> None:
        plan = grid.plan_exchange(own_id="new", daemons=["a", "b"])
        self.assertEqual(plan.row, frozenset({"a", "b"}))


if __name__ == "__main__":
    unittest.main()
