"""Tests what the status page says of the store and of control's cost."""

import unittest

from mothpass.adapters import peer_transport
from mothpass.core import budget
from mothpass.core import errors
from mothpass.daemon import control_cost
from mothpass.daemon import stores
from mothpass.ports import tables
from tests import fakes_platform


class ControlCostTest(unittest.IsolatedAsyncioTestCase):
    """Counts calls of a fake store."""

    def setUp(self) -> None:
        self.tables = fakes_platform.MemoryTables()
        objects = fakes_platform.MemoryObjects()
        self.store = stores.Store(
            read_row=self.tables.read_row,
            scan_rows=self.tables.scan_rows,
            transact=self.tables.transact,
            get_object=objects.get_object,
            put_object=objects.put_object,
            store_budget=budget.StoreBudget(
                reads_per_s=1000, writes_per_s=1000, daemons=1, now=0.0
            ),
            monotonic=lambda: 0.0,
        )
        self.cost = control_cost.ControlCost(
            traffic=peer_transport.Traffic(), store=self.store
        )

    async def read(self) -> None:
        await self.store.read_row("t", "k", priority=budget.Priority.CLAIM)

    async def test_rates_are_those_since_the_oldest_sample(self) -> None:
        await self.read()
        self.cost.sample(10.0)
        await self.read()
        await self.read()
        write = tables.Write(table="t", key="k", expected_version=0, value=None)
        await self.store.transact([write], priority=budget.Priority.CLAIM)
        shown = self.cost.show(14.0)
        self.assertEqual(shown.store_reads_per_s, 0.5)
        self.assertEqual(shown.store_writes_per_s, 0.25)

    async def test_store_is_down_from_the_first_call_that_failed(self) -> None:
        self.assertIsNone(self.cost.show(0.0).store_up)
        await self.read()
        self.assertTrue(self.cost.show(0.0).store_up)
        self.tables.faults.down = True
        with self.assertRaises(errors.StoreUnavailableError):
            await self.read()
        self.assertFalse(self.cost.show(0.0).store_up)


if __name__ == "__main__":
    unittest.main()
