"""Tests of bounds that daemons share without talking."""

import random
import unittest

from mothpass.core import cold_rates
from mothpass.core import prompts
from mothpass.core import repeat_budget
from mothpass.core import server_sent_events
from mothpass.core import target_table


class RepeatBudgetTest(unittest.TestCase):
    """Repeats of a fleet over sliding windows."""

    def test_fleet_stays_within_the_budget_in_a_retry_storm(self) -> None:
        source = random.Random(5)
        daemons = 9
        ratio, extra, window_s = 0.2, 58.0, 10.0
        budgets = [
            repeat_budget.RepeatBudget(
                ratio=ratio, extra=extra, window_s=window_s
            )
            for _ in range(daemons)
        ]
        requests: list[float] = []
        repeats: list[float] = []
        now = 0.0
        while now < 60:
            now += source.expovariate(40)
            budget = budgets[source.randrange(daemons)]
            budget.record_request(now)
            requests.append(now)
            # Every request fails and asks for two repeats.
            for _ in range(2):
                if budget.try_spend(daemons, now):
                    repeats.append(now)
        for end in repeats:
            start = end - window_s
            spent = sum(1 for item in repeats if start < item <= end)
            asked = sum(1 for item in requests if start < item <= end)
            self.assertLessEqual(spent, ratio * asked + extra)
        self.assertGreater(len(repeats), 0.1 * len(requests))


class ColdRateTest(unittest.TestCase):
    """Requests a second that cold targets get from all daemons."""

    def test_sum_stays_within_the_bound_though_views_differ(self) -> None:
        source = random.Random(2)
        bound = 20.0
        for daemons in (1, 2, 7, 9, 14, 30, 87, 300):
            names = [f"front-{number}" for number in range(daemons)]
            total = 0
            for own in names:
                # Each daemon misses a tenth of the others.
                seen = [
                    name
                    for name in names
                    if name == own or source.random() < 0.9
                ]
                total += cold_rates.compute_allowance(
                    target_id="i-1",
                    own_id=own,
                    daemon_ids=seen,
                    bound_per_s=bound,
                )
            with self.subTest(daemons=daemons):
                self.assertLessEqual(total, bound)
                self.assertGreater(total, 0)


class PromptMemoryTest(unittest.TestCase):
    """What is remembered of prompts."""

    def test_key_is_the_last_part_that_others_share(self) -> None:
        parts = tuple(
            prompts.Part(id=name, tokens=1) for name in ("a", "b", "c")
        )
        self.assertEqual(prompts.find_key(parts), "b")
        self.assertEqual(prompts.find_key(parts[:1]), "a")
        self.assertIsNone(prompts.find_key(()))

    def test_holders_are_forgotten(self) -> None:
        memory = prompts.PromptMemory(lifetime_s=10.0)
        memory.record("k", "i-1", 0.0, tokens=9000)
        memory.record("k", "i-2", 5.0, tokens=9000)
        self.assertEqual(memory.list_holders("k", 6.0), ["i-2", "i-1"])
        self.assertEqual(memory.list_holders("k", 11.0), ["i-2"])
        memory.forget_target("i-2")
        self.assertEqual(memory.list_holders("k", 11.0), [])

    def test_memory_is_bounded(self) -> None:
        memory = prompts.PromptMemory(lifetime_s=10.0)
        for number in range(prompts.MOST_KEYS + 1):
            memory.record(str(number), "i-1", 0.0, tokens=9000)
        self.assertEqual(memory.list_holders("0", 1.0), [])
        self.assertEqual(memory.list_holders("1", 1.0), ["i-1"])


class BlockSplitterTest(unittest.TestCase):
    """Events cut at any place."""

    def test_each_cut_gives_the_same_events(self) -> None:
        data = b"id: 7\ndata: a\n\nweight-versions: 2\nid: 8\ndata: b\n\n"
        for cut in range(len(data)):
            splitter = server_sent_events.EventSplitter()
            blocks = splitter.split(data[:cut]) + splitter.split(data[cut:])
            self.assertEqual(b"".join(item.data for item in blocks), data)
            self.assertEqual([item.id for item in blocks], [7, 8])
            self.assertFalse(splitter.has_partial_event)

    def test_endless_event_is_an_error(self) -> None:
        splitter = server_sent_events.EventSplitter()
        with self.assertRaises(ValueError):
            splitter.split(b"x" * (server_sent_events.MAX_EVENT_BYTES + 1))


class TargetTableTest(unittest.TestCase):
    """Starts, pauses and zones of targets."""

    def make_entry(self, **fields: object) -> target_table.Entry:
        """Returns an entry of one target."""
        values: dict[str, object] = {
            "id": "i-1",
            "service": "models",
            "address": "10.0.0.1:80",
            "availability_zone": "zone-a",
            "slots": 8,
            "is_draining": False,
            "cold_left_s": 0.0,
            "started_at_ms": 1,
        }
        return target_table.Entry(**values | fields)  # type: ignore[arg-type]

    def test_new_start_is_another_target(self) -> None:
        table = target_table.TargetTable()
        self.assertTrue(table.put(self.make_entry(), 0.0))
        first = table.targets["i-1"]
        self.assertFalse(table.put(self.make_entry(slots=9), 1.0))
        again = self.make_entry(started_at_ms=2, cold_left_s=3.0)
        self.assertTrue(table.put(again, 2.0))
        self.assertTrue(first.is_gone)
        self.assertTrue(table.targets["i-1"].is_cold(4.0))

    def test_pause_doubles_and_ends_with_an_answer(self) -> None:
        target = target_table.Target(entry=self.make_entry(), now=0.0)
        target.record_failure(0.0)
        self.assertTrue(target.is_paused(0.3))
        self.assertFalse(target.is_paused(0.5))
        target.record_failure(0.5)
        self.assertTrue(target.is_paused(1.2))
        target.record_success(1.2)
        self.assertFalse(target.is_paused(1.2))

    def test_target_that_fails_half_of_its_requests_is_paused(self) -> None:
        target = target_table.Target(entry=self.make_entry(), now=0.0)
        for number in range(6):
            target.record_success(number * 0.2)
            if number % 3 == 0:
                target.record_doubt(number * 0.2)
        self.assertFalse(target.is_paused(1.1))
        for number in range(6):
            target.record_doubt(1.2 + number * 0.1)
        self.assertTrue(target.is_paused(1.8))
        target.record_success(1.8)
        self.assertTrue(target.is_paused(1.8))

    def test_zone_that_returns_is_cold(self) -> None:
        table = target_table.TargetTable()
        table.put(self.make_entry(), 0.0)
        table.close_zones(["zone-a"], cold_s=3.0, now=1.0)
        self.assertEqual(table.list_usable("models"), [])
        table.close_zones([], cold_s=3.0, now=5.0)
        [target] = table.list_usable("models")
        self.assertTrue(target.is_cold(7.0))
        self.assertFalse(target.is_cold(8.5))


if __name__ == "__main__":
    unittest.main()
