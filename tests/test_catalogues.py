"""Tests of the catalogue on several daemons with injected faults."""

import asyncio
import unittest

import msgspec
from returns import result

from mothpass.core import edits
from mothpass.core import grid
from mothpass.core import history
from mothpass.core import results
from mothpass.core import revisions
from mothpass.core import store_budgets
from mothpass.daemon import catalogues
from mothpass.daemon import proposals
from mothpass.ports import tables
from tests import catalogue_fixtures
from tests import fakes_platform

_MAX_CHANGES_BYTES = 100_000


class CataloguesTest(unittest.IsolatedAsyncioTestCase):
    """Three daemons share a store in which one catalogue is accepted."""

    async def asyncSetUp(self) -> None:
        self.tables = fakes_platform.MemoryTables()
        self.objects = fakes_platform.MemoryObjects()
        self.a, self.b, self.c = (self.start_node(name) for name in "abc")
        await self.a.proposals.propose(
            0, catalogue_fixtures.decode_sample(), author="ann"
        )
        for node in (self.b, self.c):
            await node.catalogues.poll()

    def start_node(self, name: str) -> catalogue_fixtures.Node:
        """Starts a daemon that lists the others of a, b and c as peers."""
        node = catalogue_fixtures.build_node(name, self.tables, self.objects)
        node.catalogues.set_peers([peer for peer in "abc" if peer != name])
        return node

    async def take_instance_out(
        self, node: catalogue_fixtures.Node, instance: str
    ) -> proposals.Outcome:
        return await node.proposals.set_instance_out(
            instance, out=True, author="ann"
        )

    def send_batch(
        self, sender: catalogue_fixtures.Node, receiver: catalogue_fixtures.Node
    ) -> None:
        """Delivers a peer's version and changes, as a batch does."""
        name = sender.name
        receiver.catalogues.record_peer_version(name, sender.catalogues.version)
        newest_version = receiver.catalogues.newest.version
        changes = sender.catalogues.changes_since(
            newest_version, _MAX_CHANGES_BYTES
        )
        receiver.catalogues.apply_changes(changes)

    def assert_rejected(
        self, outcome: proposals.Outcome, code: results.Code
    ) -> proposals.Rejection:
        self.assertIsInstance(outcome, result.Failure)
        rejection = outcome.failure()
        self.assertEqual(rejection.refusal.code, code)
        return rejection

    async def test_change_reaches_a_daemon_without_the_store(self) -> None:
        await self.take_instance_out(self.a, "e1")
        self.tables.faults.down = True
        self.send_batch(self.a, self.b)
        self.assertEqual(self.b.catalogues.version, 2)
        self.assertEqual(
            self.b.catalogues.newest.catalogue.instances_out, ["e1"]
        )

    async def test_change_reaches_a_daemon_without_peers(self) -> None:
        await self.take_instance_out(self.a, "e1")
        await self.c.catalogues.poll()
        self.assertEqual(self.c.served, [1, 2])

    async def test_change_is_resent_after_a_lost_answer(self) -> None:
        self.tables.faults.lose_answers = 1
        outcome = await self.take_instance_out(self.a, "e1")
        self.assertEqual(outcome, result.Success(2))
        self.assertEqual(self.tables.transactions, 3)

    async def test_unconfirmed_change_is_not_in_force(self) -> None:
        self.tables.faults.drop_writes = proposals.MAX_CONFIRM_TRIES
        outcome = await self.take_instance_out(self.a, "e1")
        self.assert_rejected(outcome, results.Code.CHANGE_UNCONFIRMED)
        self.assertEqual(self.a.catalogues.version, 1)
        await self.a.catalogues.poll()
        self.assertEqual(self.a.catalogues.version, 1)

    async def test_outage_rejects_a_change_as_not_run(self) -> None:
        self.tables.faults.down = True
        outcome = await self.take_instance_out(self.a, "e1")
        rejection = self.assert_rejected(
            outcome, results.Code.STORE_UNAVAILABLE
        )
        self.assertIs(rejection.refusal.ran, results.Ran.NO)

    async def test_concurrent_edits_are_all_accepted(self) -> None:
        nodes = (self.a, self.b, self.c)
        outcomes = await asyncio.gather(
            *(
                self.take_instance_out(node, f"e{number}")
                for number, node in enumerate(nodes)
            )
        )
        versions = sorted(outcome.unwrap() for outcome in outcomes)
        self.assertEqual(versions, [2, 3, 4])
        await self.a.catalogues.poll()
        self.assertEqual(
            self.a.catalogues.newest.catalogue.instances_out,
            ["e0", "e1", "e2"],
        )

    async def test_concurrent_whole_catalogues_give_one_conflict(self) -> None:
        outcomes = []
        for number, node in enumerate((self.a, self.b)):
            new = msgspec.structs.replace(
                catalogue_fixtures.decode_sample(),
                instances_out=[f"e{number}"],
            )
            outcomes.append(node.proposals.propose(1, new, author="ann"))
        first, second = await asyncio.gather(*outcomes)
        self.assertEqual(first, result.Success(2))
        rejection = self.assert_rejected(second, results.Code.VERSION_CONFLICT)
        self.assertEqual(rejection.present_version, 2)

    async def test_start_in_an_outage_waits_for_enough_peers(self) -> None:
        await self.take_instance_out(self.a, "e1")
        self.send_batch(self.a, self.b)
        self.tables.faults.down = True
        new_node = self.start_node("d")
        new_node.catalogues.set_peers(["a", "b", "c"])
        self.send_batch(self.c, new_node)
        self.assertEqual(
            (new_node.catalogues.version, new_node.served), (0, [])
        )
        self.send_batch(self.b, new_node)
        self.assertEqual(
            (new_node.catalogues.version, new_node.served), (2, [2])
        )

    async def test_start_without_store_and_peers_serves_nothing(self) -> None:
        self.tables.faults.down = True
        new_node = self.start_node("a")
        self.assertFalse(await new_node.catalogues.poll())
        self.assertEqual(new_node.catalogues.version, 0)
        self.assertEqual(
            new_node.catalogues.changes_since(0, _MAX_CHANGES_BYTES), []
        )

    async def test_starting_daemons_do_not_confirm_each_other(
        self,
    ) -> None:
        await self.take_instance_out(self.a, "e1")
        self.tables.faults.down = True
        first, second = self.start_node("a"), self.start_node("b")
        for sender, receiver in (
            (self.c, first),
            (self.c, second),
            (first, second),
            (second, first),
        ):
            self.send_batch(sender, receiver)
        self.assertEqual(first.catalogues.version, 0)
        self.assertEqual(second.catalogues.version, 0)

    async def test_change_of_another_history_is_rejected(self) -> None:
        forged = revisions.build_change(
            msgspec.structs.replace(self.a.catalogues.newest, digest="other"),
            [edits.Edit(section="teams", name="north")],
            change_id="forged",
            author="eve",
            at_ms=0,
        )
        self.b.catalogues.apply_changes([forged])
        self.assertEqual(self.b.catalogues.version, 1)
        self.assertEqual(self.b.catalogues.mismatches, 1)

    async def test_edits_with_a_wrong_digest_are_rejected(
        self,
    ) -> None:
        await self.take_instance_out(self.a, "e1")
        (change,) = self.a.catalogues.changes_since(1, _MAX_CHANGES_BYTES)
        forged = msgspec.structs.replace(
            change, edits=[edits.Edit(section="teams", name="north")]
        )
        self.b.catalogues.apply_changes([forged])
        self.assertEqual(self.b.catalogues.version, 1)

    async def test_gap_brings_the_next_poll_forward(self) -> None:
        await self.take_instance_out(self.a, "e1")
        await self.take_instance_out(self.a, "e2")
        (_, last) = self.a.catalogues.changes_since(1, _MAX_CHANGES_BYTES)
        self.assertFalse(self.b.catalogues.needs_poll(self.b.now))
        self.b.catalogues.apply_changes([last])
        self.assertEqual(self.b.catalogues.version, 1)
        soon = self.b.now + catalogues.CATCH_UP_DELAY_S
        self.assertTrue(self.b.catalogues.needs_poll(soon))

    async def test_daemon_ignores_an_older_head_of_the_store(
        self,
    ) -> None:
        await self.take_instance_out(self.a, "e1")
        self.a.catalogues.apply_snapshot(
            revisions.encode_snapshot(self.b.catalogues.newest)
        )
        self.assertEqual(self.a.catalogues.version, 2)
        for row in self.tables.list_rows(revisions.TABLE):
            write = tables.Write(
                table=revisions.TABLE,
                key=row.key,
                expected_version=row.version,
                value=None,
            )
            self.tables.apply_writes([write])
        await self.a.catalogues.poll()
        self.assertEqual(self.a.catalogues.version, 2)

    async def test_large_change_goes_through_the_object_store(self) -> None:
        teams = [
            msgspec.structs.replace(
                catalogue_fixtures.decode_sample().teams[0],
                name=f"team-{number}",
                key_sha256=[f"{number:064x}"],
            )
            for number in range(300)
        ]
        new = msgspec.structs.replace(
            catalogue_fixtures.decode_sample(), teams=teams
        )
        await self.a.proposals.propose(1, new, author="ann")
        names = self.objects.list_names()
        self.assertIn(revisions.build_snapshot_object_name(2), names)
        await self.b.catalogues.poll()
        self.assertEqual(len(self.b.catalogues.newest.catalogue.teams), 300)
        self.tables.faults.down = True
        self.send_batch(self.a, self.c)
        self.assertEqual(self.c.catalogues.version, 1)
        await self.c.catalogues.poll()
        self.assertEqual(self.c.catalogues.version, 2)

    async def test_new_daemon_loads_a_snapshot(self) -> None:
        snapshot_interval = revisions.SNAPSHOT_INTERVAL_CHANGES
        for number in range(snapshot_interval + 2):
            self.a.now += 1.0
            await self.take_instance_out(self.a, f"e{number}")
        self.tables.reads = 0
        new_node = self.start_node("b")
        await new_node.catalogues.poll()
        self.assertEqual(new_node.catalogues.version, snapshot_interval + 3)
        self.assertLess(self.tables.reads, 5)
        past = await new_node.catalogues.read_version(snapshot_interval + 1)
        assert past is not None
        self.assertEqual(len(past.catalogue.instances_out), snapshot_interval)

    async def test_older_history_is_read_from_the_store(self) -> None:
        for number in range(12):
            await self.take_instance_out(self.a, f"e{number}")
        new_node = self.start_node("b")
        await new_node.catalogues.poll()
        changes = await new_node.catalogues.list_history(13)
        self.assertEqual(
            [change.version for change in changes], list(range(13, 0, -1))
        )

    async def test_polls_have_lower_budget_priority_than_changes(self) -> None:
        while self.a.budget.try_take(
            store_budgets.Kind.READ, store_budgets.Priority.POLL, now=self.a.now
        ):
            pass
        self.assertFalse(await self.a.catalogues.poll())
        self.assertEqual(self.a.catalogues.version, 1)
        self.assertIsInstance(
            await self.take_instance_out(self.a, "e1"), result.Success
        )


class HistoryTest(unittest.TestCase):
    """Tests the limits of the history and of confirmation by peers."""

    def test_log_is_bounded_and_peers_too_far_behind_get_no_changes(
        self,
    ) -> None:
        bounded_history = history.RevisionHistory()
        for number in range(history.MAX_LOG_CHANGES + 5):
            change = revisions.build_change(
                bounded_history.revision,
                [edits.Edit(section="instances_out", name=f"e{number}")],
                change_id=str(number),
                author="ann",
                at_ms=0,
            )
            bounded_history.apply_changes([change])
        newest = bounded_history.revision
        bounded_history.record_head(
            revisions.Head(version=newest.version, digest=newest.digest)
        )
        self.assertEqual(bounded_history.list_changes(4, 10**9), [])
        self.assertEqual(
            len(bounded_history.list_changes(5, 10**9)),
            history.MAX_LOG_CHANGES,
        )

    def test_every_daemon_has_enough_neighbours_to_confirm(self) -> None:
        for size in (*range(2, 41), 200):
            daemons = [f"d{number}" for number in range(size)]
            neighbour_counts = dict.fromkeys(daemons, 0)
            for own_id in daemons:
                plan = grid.plan_exchange(own_id=own_id, daemons=daemons)
                for peer in plan.row | plan.column:
                    neighbour_counts[peer] += 1
            needed = history.count_required_peers(size - 1)
            self.assertGreaterEqual(
                min(neighbour_counts.values()), needed, size
            )

    def test_majority_of_a_small_view_is_needed(self) -> None:
        needed = [history.count_required_peers(view) for view in (1, 2, 3, 7)]
        self.assertEqual(needed, [1, 2, 2, 4])


if __name__ == "__main__":
    unittest.main()
