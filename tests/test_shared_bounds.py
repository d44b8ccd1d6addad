"""Tests of fleet-wide bounds without communication, and of core tables."""

import random
import unittest
from unittest import mock

from mothpass.core import cold_rates
from mothpass.core import fleet_retry_budget
from mothpass.core import prompts
from mothpass.core import server_sent_events
from mothpass.core import target_table
from tests import registrations


class FleetRetryBudgetTest(unittest.TestCase):
    """Retries of a fleet over sliding windows.

    Guards against a retry storm, in which every request fails and is retried.
    """

    def test_fleet_stays_within_the_budget_during_a_retry_storm(self) -> None:
        source = random.Random(5)
        daemons = 9
        ratio, extra, window_s = 0.2, 58.0, 10.0
        budgets = [
            fleet_retry_budget.FleetRetryBudget(
                ratio=ratio, extra=extra, window_s=window_s
            )
            for _ in range(daemons)
        ]
        requests: list[float] = []
        retries: list[float] = []
        now = 0.0
        while now < 60:
            now += source.expovariate(40)
            budget = budgets[source.randrange(daemons)]
            budget.record_request(now)
            requests.append(now)
            # Every request fails and would be retried twice.
            for _ in range(2):
                if budget.try_spend(daemons, now):
                    retries.append(now)
        for end in retries:
            start = end - window_s
            spent = sum(1 for item in retries if start < item <= end)
            requested = sum(1 for item in requests if start < item <= end)
            self.assertLessEqual(spent, ratio * requested + extra)
        self.assertGreater(len(retries), 0.1 * len(requests))


class ColdRateTest(unittest.TestCase):
    """Requests per second that a cold target gets from all daemons."""

    def test_sum_stays_within_the_bound_if_daemons_know_different_peers(
        self,
    ) -> None:
        source = random.Random(2)
        bound = 20.0
        for daemons in (1, 2, 7, 9, 14, 30, 87, 300):
            names = [f"front-{number}" for number in range(daemons)]
            total = 0
            for own_id in names:
                # Each daemon does not know a tenth of the others.
                seen = [
                    name
                    for name in names
                    if name == own_id or source.random() < 0.9
                ]
                total += cold_rates.compute_allowance(
                    target_id="i-1",
                    own_id=own_id,
                    daemon_ids=seen,
                    bound_per_s=bound,
                )
            with self.subTest(daemons=daemons):
                self.assertLessEqual(total, bound)
                self.assertGreater(total, 0)


class PromptCacheIndexTest(unittest.TestCase):
    """Keys of prompts and the targets that hold them."""

    def test_key_is_the_last_shared_part(self) -> None:
        parts = tuple(
            prompts.Part(id=name, tokens=1) for name in ("a", "b", "c")
        )
        self.assertEqual(prompts.find_shared_key(parts), "b")
        self.assertEqual(prompts.find_shared_key(parts[:1]), "a")
        self.assertIsNone(prompts.find_shared_key(()))

    def test_holders_expire_and_are_removed(self) -> None:
        index = prompts.PromptCacheIndex(lifetime_s=10.0)
        index.record("k", "i-1", 0.0, tokens=9000)
        index.record("k", "i-2", 5.0, tokens=9000)
        self.assertEqual(index.list_holders("k", 6.0), ["i-2", "i-1"])
        self.assertEqual(index.list_holders("k", 11.0), ["i-2"])
        index.remove_target("i-2")
        self.assertEqual(index.list_holders("k", 11.0), [])

    def test_number_of_keys_is_bounded(self) -> None:
        index = prompts.PromptCacheIndex(lifetime_s=10.0)
        for number in range(prompts.MAX_KEYS + 1):
            index.record(str(number), "i-1", 0.0, tokens=9000)
        self.assertEqual(index.list_holders("0", 1.0), [])
        self.assertEqual(index.list_holders("1", 1.0), ["i-1"])


class EventSplitterTest(unittest.TestCase):
    """Events that arrive in two pieces."""

    def test_lines_may_end_with_crlf_or_cr(self) -> None:
        """Guards against events that are never found in their stream."""
        events = (b"id: 1\ndata: a\n\n", b": beat\n\n", b"id: 3\ndata: b\n\n")
        for line_end in (b"\n", b"\r\n", b"\r"):
            body = b"".join(events).replace(b"\n", line_end)
            for size in range(1, len(body)):
                with self.subTest(line_end=line_end, size=size):
                    splitter = server_sent_events.EventSplitter()
                    split = [
                        event
                        for start in range(0, len(body), size)
                        for event in splitter.split(body[start : start + size])
                    ]
                    self.assertEqual([item.id for item in split], [1, None, 3])
                    self.assertTrue(split[1].is_comment)
                    self.assertFalse(splitter.has_partial_event)
                    joined = b"".join(item.data for item in split)
                    self.assertEqual(joined + splitter.take_rest(), body)

    def test_event_in_many_pieces_is_searched_once(self) -> None:
        """Guards against a large event that holds up the event loop."""
        searched_bytes = 0

        class CountingPattern:
            def search(self, data: bytearray, start: int) -> None:
                nonlocal searched_bytes
                searched_bytes += len(data) - start

        size = server_sent_events.MAX_EVENT_BYTES // 4
        splitter = server_sent_events.EventSplitter()
        with mock.patch.object(
            server_sent_events, "_EVENT_END", CountingPattern()
        ):
            for _ in range(0, size, 512):
                splitter.split(b"x" * 512)
        self.assertLess(searched_bytes, 2 * size)

    def test_events_are_the_same_for_each_cut(self) -> None:
        data = b"id: 7\ndata: a\n\nweight-versions: 2\nid: 8\ndata: b\n\n"
        for cut in range(len(data)):
            splitter = server_sent_events.EventSplitter()
            events = splitter.split(data[:cut]) + splitter.split(data[cut:])
            self.assertEqual(b"".join(item.data for item in events), data)
            self.assertEqual([item.id for item in events], [7, 8])
            self.assertFalse(splitter.has_partial_event)

    def test_event_above_the_size_limit_is_an_error(self) -> None:
        splitter = server_sent_events.EventSplitter()
        with self.assertRaises(ValueError):
            splitter.split(b"x" * (server_sent_events.MAX_EVENT_BYTES + 1))


class TargetTableTest(unittest.TestCase):
    """Starts, backoff and availability zones of targets."""

    def test_new_start_replaces_the_target(self) -> None:
        table = target_table.TargetTable()
        self.assertTrue(table.put(registrations.make_registration(1), 0.0))
        first = table.targets["i-1"]
        self.assertFalse(
            table.put(registrations.make_registration(1, slots=9), 1.0)
        )
        restarted = registrations.make_registration(
            1, started_at_ms=2, cold_left_s=3.0
        )
        self.assertTrue(table.put(restarted, 2.0))
        self.assertTrue(first.is_gone)
        self.assertTrue(table.targets["i-1"].is_cold(4.0))

    def test_backoff_doubles_and_ends_with_a_success(self) -> None:
        target = target_table.Target(
            registration=registrations.make_registration(1), now=0.0
        )
        target.record_failure(0.0)
        self.assertTrue(target.is_backing_off(0.3))
        self.assertFalse(target.is_backing_off(0.5))
        target.record_failure(0.5)
        self.assertTrue(target.is_backing_off(1.2))
        target.record_success(1.2)
        self.assertFalse(target.is_backing_off(1.2))

    def test_target_that_fails_half_of_its_requests_backs_off(
        self,
    ) -> None:
        target = target_table.Target(
            registration=registrations.make_registration(1), now=0.0
        )
        for number in range(6):
            target.record_success(number * 0.2)
            if number % 3 == 0:
                target.record_ambiguous_failure(number * 0.2)
        self.assertFalse(target.is_backing_off(1.1))
        for number in range(6):
            target.record_ambiguous_failure(1.2 + number * 0.1)
        self.assertTrue(target.is_backing_off(1.8))
        target.record_success(1.8)
        self.assertTrue(target.is_backing_off(1.8))

    def test_targets_of_a_reopened_zone_are_cold(self) -> None:
        table = target_table.TargetTable()
        table.put(registrations.make_registration(1), 0.0)
        table.set_closed_zones(["zone-a"], cold_s=3.0, now=1.0)
        self.assertEqual(table.list_usable("models", 1.0), [])
        table.set_closed_zones([], cold_s=3.0, now=5.0)
        [target] = table.list_usable("models", 5.0)
        self.assertTrue(target.is_cold(7.0))
        self.assertFalse(target.is_cold(8.5))


if __name__ == "__main__":
    unittest.main()
