"""Tests for the parts of the stand-ins without input or output."""

import random
import unittest

from mothpass.ports import members
from mothpass.standin import answers
from mothpass.standin import attempts
from mothpass.standin import batches
from mothpass.standin import cache_events
from mothpass.standin import load_history
from mothpass.standin import members as standin_members
from mothpass.standin import prefix_cache
from mothpass.standin import settings


def _build_messages(*contents: str) -> list[answers.Message]:
    return [answers.Message(role="user", content=x) for x in contents]


def _build_attempt(name: str, priority: int = 5) -> attempts.Attempt:
    generation = attempts.GenerationRequest(
        attempt_id=name,
        model="advice",
        messages=_build_messages(name * 40),
        max_tokens=2,
        priority=priority,
    )
    return attempts.Attempt(generation=generation)


class AnswersTest(unittest.TestCase):
    """Checks that an answer identifies the messages it belongs to."""

    def test_only_the_complete_answer_to_the_messages_is_accepted(self) -> None:
        messages = _build_messages("lease")
        tokens = answers.compose_answer(messages, 5)
        cases = {
            "whole": (tokens, True),
            "cut": (tokens[:-1], False),
            "doubled": ([*tokens[:2], *tokens[1:]], False),
            "swapped": ([tokens[0], tokens[2], tokens[1], *tokens[3:]], False),
            "crossed": (
                answers.compose_answer(_build_messages("rent"), 5),
                False,
            ),
        }
        for name, (received, expected) in cases.items():
            with self.subTest(name):
                text = "".join(received)
                found = answers.is_whole_answer(text, messages, 5)
                self.assertEqual(found, expected)


class PrefixCacheTest(unittest.TestCase):
    """Checks the capacity and the order of eviction."""

    def test_evicts_the_least_recent_prompt_from_its_end(self) -> None:
        cache = prefix_cache.PrefixCache(capacity_tokens=40)
        first = prefix_cache.split_prompt(_build_messages("a" * 40, "b" * 40))
        second = prefix_cache.split_prompt(_build_messages("c" * 40))
        cache.store(first)
        evicted = cache.store(second)
        self.assertEqual(evicted, [])
        third = prefix_cache.split_prompt(_build_messages("d" * 40))
        self.assertEqual(cache.store(third), [first[1].key])
        self.assertEqual(cache.count_cached(first), first[0].tokens)
        self.assertLessEqual(cache.tokens, 40)

    def test_same_message_after_another_is_another_block(self) -> None:
        cache = prefix_cache.PrefixCache(capacity_tokens=1000)
        cache.store(prefix_cache.split_prompt(_build_messages("a", "b")))
        other = prefix_cache.split_prompt(_build_messages("c", "b"))
        self.assertEqual(cache.count_cached(other), 0)


class BatchSchedulerTest(unittest.TestCase):
    """Checks the scheduling order and the duration of steps."""

    def setUp(self) -> None:
        self.cache = prefix_cache.PrefixCache(capacity_tokens=1000)
        self.batch = batches.BatchScheduler(
            cache=self.cache,
            max_running=2,
            step_costs=batches.StepCosts(
                base_s=1.0,
                per_running_s=0.5,
                per_prefill_token_s=0.25,
                prefill_tokens=100,
            ),
        )

    def test_urgent_attempts_run_first_and_the_rest_is_queued(self) -> None:
        for name, priority in (("a", 5), ("b", 5), ("c", 0)):
            self.batch.add(_build_attempt(name, priority))
        self.batch.plan_step()
        names = [item.generation.attempt_id for item in self.batch.running]
        self.assertEqual(names, ["c", "a"])
        self.assertEqual(self.batch.queued, 1)

    def test_steps_grow_with_the_batch_and_uncached_tokens(self) -> None:
        attempt = _build_attempt("a")
        self.cache.store(attempt.blocks)
        self.batch.add(attempt)
        self.assertEqual(self.batch.plan_step(), 1.0)
        self.batch.add(_build_attempt("b"))
        self.assertEqual(self.batch.plan_step(), 1.0 + 0.5 + 11 * 0.25)

    def test_attempt_leaves_the_batch_with_its_last_event(self) -> None:
        attempt = _build_attempt("a")
        self.batch.add(attempt)
        finished = []
        for _ in range(4):
            self.batch.plan_step()
            finished.append(self.batch.finish_step())
        # The first step prefills the prompt; the next ones emit two tokens
        # and the last event.
        self.assertEqual(finished, [[], [], [], [attempt]])
        self.assertEqual(self.batch.in_flight, 0)


class LoadHistoryTest(unittest.TestCase):
    """Checks the lag of the load."""

    def test_returns_the_load_of_some_time_ago(self) -> None:
        history = load_history.LoadHistory(lag_s=1.0)
        for at, running in ((0.0, 1), (5.0, 7), (5.9, 9)):
            history.record(
                load_history.LoadSample(
                    at=at, running=running, queued=0, phase="warm"
                )
            )
        received = [history.read(now=x).running for x in (5.5, 6.0, 6.9)]
        self.assertEqual(received, [1, 7, 9])


class CacheEventLogTest(unittest.TestCase):
    """Checks that events are delayed and that losses leave gaps."""

    def test_lost_events_leave_gaps_in_the_sequence(self) -> None:
        event_log = cache_events.CacheEventLog(
            lag_s=1.0, loss=0.5, random=random.Random(7)
        )
        for at in range(20):
            event_log.record(f"chat {at}", "stored", now=float(at))
        self.assertEqual(event_log.read(0, now=0.5).events, [])
        received = event_log.read(5, now=100.0)
        sequences = [item.sequence for item in received.events]
        self.assertEqual(received.last, 20)
        self.assertEqual(sequences, sorted(set(sequences)))
        self.assertGreater(min(sequences), 5)
        self.assertLess(len(sequences), 15)


class MembershipListTest(unittest.TestCase):
    """Checks the publication lag and the listing of changes."""

    def setUp(self) -> None:
        options = settings.MembersSettings(
            address="127.0.0.1:0", lag_ms=1000, heartbeat_ttl_ms=3000
        )
        self.membership_list = standin_members.MembershipList(
            options=options, revision=10
        )

    def _build_instance(self, name: str) -> members.Instance:
        return members.Instance(
            id=name,
            role=members.Role.ENGINE,
            state=members.State.LIVE,
            address="127.0.0.1:1",
            availability_zone="perth-a",
        )

    def _read_ids(self, since: int | None, now: float) -> list[str]:
        self.membership_list.expire_and_publish(now=now)
        return [item.id for item in self.membership_list.read(since).instances]

    def test_changes_are_published_after_the_lag(self) -> None:
        self.membership_list.put(self._build_instance("e1"), now=0.0)
        self.assertEqual(self._read_ids(None, 0.9), [])
        self.assertEqual(self._read_ids(None, 1.0), ["e1"])

    def test_lists_only_what_changed_since_a_known_revision(self) -> None:
        self.membership_list.put(self._build_instance("e1"), now=0.0)
        self.assertEqual(self._read_ids(10, 1.0), ["e1"])
        self.membership_list.put(self._build_instance("e2"), now=1.0)
        self.membership_list.remove("e1", now=1.0)
        self.assertEqual(self._read_ids(11, 2.0), ["e2"])
        self.assertEqual(self.membership_list.read(11).gone, ["e1"])

    def test_lists_all_for_an_unknown_revision(self) -> None:
        self.membership_list.put(self._build_instance("e1"), now=0.0)
        self.membership_list.expire_and_publish(now=1.0)
        for since in (3, 99):
            listing = self.membership_list.read(since)
            self.assertTrue(listing.full)
            self.assertEqual(len(listing.instances), 1)

    def test_instance_without_heartbeats_is_removed_after_ttl_and_lag(
        self,
    ) -> None:
        self.membership_list.record_heartbeat(
            self._build_instance("e1"), now=0.0
        )
        self.membership_list.record_heartbeat(
            self._build_instance("e1"), now=2.0
        )
        self.assertEqual(self._read_ids(None, 5.9), ["e1"])
        self.assertEqual(self._read_ids(None, 6.9), [])


if __name__ == "__main__":
    unittest.main()
