"""Tests for mothpass.core.pruning and mothpass.daemon.claim_pruning."""

import unittest

import msgspec

from mothpass.core import claims
from mothpass.core import pruning
from mothpass.core import store_budgets
from mothpass.daemon import claim_pruning
from mothpass.daemon import stores
from mothpass.ports import tables
from tests import fakes_platform


class PruneScanTest(unittest.TestCase):
    """Checks that the daemons' shares cover all keys."""

    def test_all_slots_cover_each_prefix_once(self) -> None:
        for slots in (1, 8, 9, 300):
            scans = [
                pruning.PruneScan(slot=slot, slots=slots)
                for slot in range(slots)
            ]
            length = len(scans[0].next_prefix())
            seen: list[str] = []
            for slot in range(slots):
                scan = pruning.PruneScan(slot=slot, slots=slots)
                count = sum(
                    number * slots // 16**length == slot
                    for number in range(16**length)
                )
                seen.extend(scan.next_prefix() for _ in range(count))
            self.assertEqual(len(seen), 16**length)
            self.assertEqual(len(set(seen)), 16**length)

    def test_one_slot_covers_all_prefixes_in_later_passes(self) -> None:
        scan = pruning.PruneScan(slot=3, slots=9)
        seen = {scan.next_prefix() for _ in range(16)}
        self.assertEqual(len(seen), 16)

    def test_full_read_splits_the_prefix(self) -> None:
        scan = pruning.PruneScan(slot=0, slots=1)
        prefix = scan.next_prefix()
        scan.record(prefix, pruning.MAX_SCAN_ROWS)
        seen = {scan.next_prefix() for _ in range(16)}
        self.assertEqual(seen, set("0123456789abcdef"))


class ClaimPrunerTest(unittest.IsolatedAsyncioTestCase):
    """Checks which rows are deleted, and when."""

    async def asyncSetUp(self) -> None:
        self.now = 1000.0
        self.tables = fakes_platform.MemoryTables()
        objects = fakes_platform.MemoryObjects()
        store = stores.Store(
            read_row=self.tables.read_row,
            scan_rows=self.tables.scan_rows,
            transact=self.tables.transact,
            get_object=objects.get_object,
            put_object=objects.put_object,
            store_budget=store_budgets.StoreBudget(
                reads_per_s=100, writes_per_s=100, daemons=1, now=self.now
            ),
            monotonic=self.read_clock,
        )
        self.pruner = claim_pruning.ClaimPruner(
            store=store,
            monotonic=self.read_clock,
            wall=self.read_clock,
            slot=0,
            slots=1,
        )

    def read_clock(self) -> float:
        return self.now

    def put_claim(self, key: str, kept_until_ms: int) -> None:
        claim = claims.Claim(
            state=claims.State.UNKNOWN,
            token="t",
            team="north",
            service="payment",
            idempotency_key=key,
            body_sha256="",
            may_run_until_ms=0,
            kept_until_ms=kept_until_ms,
        )
        write = tables.Write(
            table=claims.TABLE,
            key=claims.name_row("north", "payment", key),
            expected_version=0,
            value=msgspec.Raw(msgspec.json.encode(claim)),
        )
        self.tables.apply_writes([write])

    async def test_row_is_kept_until_its_expiry_plus_the_skew_bound(
        self,
    ) -> None:
        kept_until_ms = 1_100_000
        self.put_claim("k", kept_until_ms)
        self.now = (kept_until_ms + claims.MAX_CLOCK_SKEW_MS) / 1000
        await self.pruner.step()
        self.assertEqual(len(self.tables.list_rows(claims.TABLE)), 1)
        self.now += 1.0
        await self.pruner.step()
        self.assertEqual(self.tables.list_rows(claims.TABLE), [])

    async def test_rows_are_deleted_in_batches_within_the_budget(self) -> None:
        for number in range(300):
            self.put_claim(str(number), 0)
        steps = 0
        while self.tables.list_rows(claims.TABLE) and steps < 2000:
            self.now += 100.0
            await self.pruner.step()
            steps += 1
        self.assertEqual(self.pruner.deleted, 300)

    async def test_deletes_nothing_while_another_daemon_holds_the_lease(
        self,
    ) -> None:
        self.put_claim("k", 0)
        key = claims.name_row("north", "payment", "k")
        prefix = key[: pruning.LEASE_PREFIX_DIGITS]
        write = pruning.plan_lease(prefix, None, wall_ms=int(self.now * 1000))
        assert write is not None
        self.tables.apply_writes([write])
        await self.pruner.step()
        self.assertEqual(self.pruner.deleted, 0)
        self.now += (
            pruning.LEASE_DURATION_MS + claims.MAX_CLOCK_SKEW_MS
        ) / 1000 + 1.0
        await self.pruner.step()
        self.assertEqual(self.pruner.deleted, 1)

    async def test_holder_paused_past_its_lease_deletes_nothing(self) -> None:
        self.put_claim("k", 0)

        def pause_holder() -> None:
            self.now += pruning.LEASE_DURATION_MS / 1000

        self.tables.on_read = pause_holder
        await self.pruner.step()
        self.assertEqual(self.pruner.deleted, 0)

    async def test_row_claimed_again_before_the_lease_is_kept(self) -> None:
        self.put_claim("k", 0)

        def claim_again() -> None:
            row = self.tables.list_rows(claims.TABLE)[0]
            self.tables.apply_writes([claims.plan_prune(row)])
            self.put_claim("k", int(self.now * 1000) + 60_000)

        self.tables.on_read = claim_again
        await self.pruner.step()
        self.assertEqual(len(self.tables.list_rows(claims.TABLE)), 1)


if __name__ == "__main__":
    unittest.main()
