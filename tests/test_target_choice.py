"""Tests of the choice of a target, against the baselines that it replaces."""

import collections
from collections import abc
import random
import unittest

from mothpass.core import prompts
from mothpass.core import target_choice
from mothpass.core import target_table

_DAEMONS = 9
_TARGETS = 5
# Daemons hear of each other's work this late, as over datagrams.
_LAG_S = 0.1
_RUN_S = 1.5
_KEYS = 40
_LONG = 10_000
# What an engine of the sheets reads.
_TOKENS_PER_S = 55_000

# Picks a target for a daemon: (daemon, key, now).
_Pick = abc.Callable[[int, str, float], target_table.Target]


def make_target(number: int, **fields: object) -> target_table.Target:
    """Returns a target that has been known for long."""
    values: dict[str, object] = {
        "id": f"i-{number}",
        "service": "models",
        "address": f"10.0.0.{number}:80",
        "availability_zone": "zone-a",
        "slots": 64,
        "is_draining": False,
        "cold_left_s": 0.0,
        "started_at_ms": 1,
    }
    entry = target_table.Registration(**values | fields)  # type: ignore[arg-type]
    return target_table.Target(entry=entry, now=-100.0)


class Replay:
    """A load over daemons whose views of each other lag, in virtual time.

    Attributes:
        reads: Requests whose prompt their target had not read before.
        over: Requests that met a target above twice the mean, + 3.
        requests: Requests so far.
    """

    def __init__(self, *, seed: int, hot_share: float, closed: int = 0) -> None:
        self.targets = [make_target(number) for number in range(_TARGETS)]
        self.usable = self.targets[closed:] if closed else self.targets
        self.reads = 0
        self.over = 0
        self.requests = 0
        self._random = random.Random(seed)
        self._hot_share = hot_share
        self._running: collections.deque[tuple[float, str]] = (
            collections.deque()
        )
        self._starts: collections.deque[tuple[float, int, str]] = (
            collections.deque()
        )
        self._read: set[tuple[str, str]] = set()

    def count(self, target_id: str) -> int:
        """Returns what runs at a target."""
        return sum(1 for _, item in self._running if item == target_id)

    def count_seen(self, daemon: int, target_id: str, now: float) -> int:
        """Returns the same as a daemon knows it."""
        unseen = sum(
            1
            for started, other, item in self._starts
            if item == target_id and other != daemon and started > now - _LAG_S
        )
        return self.count(target_id) - unseen

    def run(
        self, pick: _Pick, *, per_s: float, seconds: float, start: float = 0.0
    ) -> None:
        """Sends requests at random moments."""
        now = start
        while now < start + seconds:
            now += self._random.expovariate(per_s)
            while self._running and self._running[0][0] <= now:
                self._running.popleft()
            while self._starts and self._starts[0][0] < now - _LAG_S:
                self._starts.popleft()
            is_hot = self._random.random() < self._hot_share
            key = "hot" if is_hot else f"k{self._random.randrange(_KEYS)}"
            daemon = self._random.randrange(_DAEMONS)
            target = pick(daemon, key, now)
            mean = len(self._running) / _TARGETS
            self.over += self.count(target.id) > 2 * mean + 3
            self.reads += (target.id, key) not in self._read
            self._read.add((target.id, key))
            self._running.append((now + _RUN_S, target.id))
            self._starts.append((now, daemon, target.id))
            self.requests += 1


def make_picker(replay: Replay) -> _Pick:
    """Returns the choice under test, one chooser a daemon."""
    now_of = [0.0]
    choosers = []
    for daemon in range(_DAEMONS):

        def count(target: target_table.Target, daemon: int = daemon) -> int:
            return replay.count_seen(daemon, target.id, now_of[0])

        choosers.append(
            target_choice.Chooser(
                prompt_caches=prompts.PromptCacheIndex(lifetime_s=60.0),
                count_load=count,
                count_prefill_backlog=lambda _: 0,
                allows_cold=lambda _: True,
                source=random.Random(1),
            )
        )

    def pick(daemon: int, key: str, now: float) -> target_table.Target:
        now_of[0] = now
        choice = choosers[daemon].choose(
            replay.usable,
            registered=replay.targets,
            key=key,
            avoided=(),
            can_fetch=False,
            now=now,
        )
        assert choice is not None
        return choice.target

    return pick


class ReadingTest(unittest.TestCase):
    """Long prompts arrive together, while few requests run."""

    def count_late(self, *, sees_reading: bool) -> int:
        """Returns the requests whose first token takes over half a second."""
        targets = [make_target(number) for number in range(_TARGETS)]
        source = random.Random(4)
        free_at = {target.id: 0.0 for target in targets}
        now = 0.0

        def count_prefill_backlog(target: target_table.Target) -> int:
            left_s = max(0.0, free_at[target.id] - now)
            return int(left_s * _TOKENS_PER_S) if sees_reading else 0

        chooser = target_choice.Chooser(
            prompt_caches=prompts.PromptCacheIndex(lifetime_s=60.0),
            count_load=lambda _: 0,
            count_prefill_backlog=count_prefill_backlog,
            allows_cold=lambda _: True,
            source=source,
        )
        late = 0
        for number in range(600):
            # Twenty come within 0.2 s, then none for a while.
            now += 0.01 if number % 20 else 1.5
            choice = chooser.choose(
                targets,
                registered=targets,
                key=f"k{source.randrange(_KEYS)}",
                avoided=(),
                can_fetch=False,
                now=now,
            )
            assert choice is not None
            start = max(now, free_at[choice.target.id])
            tokens = source.choice((800, 2400, 11_800))
            free_at[choice.target.id] = start + tokens / _TOKENS_PER_S
            late += free_at[choice.target.id] - now > 0.5
        return late

    def test_few_are_late(self) -> None:
        by_order = self.count_late(sees_reading=False)
        self.assertGreater(by_order, 20)
        self.assertLess(self.count_late(sees_reading=True), 0.5 * by_order)


class MemoryTest(unittest.TestCase):
    """What is remembered and told of the prompts that targets hold."""

    def setUp(self) -> None:
        self.prompt_caches = prompts.PromptCacheIndex(lifetime_s=60.0)

    def tell_all(self) -> list[prompts.CachedPrompt]:
        """Returns what is told in many datagrams."""
        return [
            read
            for _ in range(20)
            for read in self.prompt_caches.take_announcements(2)
        ]

    def test_read_is_told_some_times_and_again_before_others_forget(
        self,
    ) -> None:
        self.prompt_caches.record("key", "i-1", 1.0, tokens=_LONG)
        self.prompt_caches.record("key", "i-1", 2.0, tokens=_LONG)
        read = prompts.CachedPrompt("key", "i-1")
        self.assertEqual(
            self.tell_all(), [read] * prompts.MESSAGES_PER_ANNOUNCEMENT
        )
        self.prompt_caches.record(
            "key", "i-1", 1.0 + prompts.ANNOUNCEMENT_INTERVAL_S, tokens=_LONG
        )
        self.assertEqual(
            self.tell_all(), [read] * prompts.MESSAGES_PER_ANNOUNCEMENT
        )

    def test_reads_of_a_burst_are_all_told(self) -> None:
        for number in range(12):
            self.prompt_caches.record(f"k{number}", "i-1", 1.0, tokens=_LONG)
        told = self.tell_all()
        self.assertEqual(len(set(told)), 12)
        self.assertEqual(len(told), 12 * prompts.MESSAGES_PER_ANNOUNCEMENT)

    def test_short_prompts_are_not_told(self) -> None:
        self.prompt_caches.record("key", "i-1", 1.0, tokens=700)
        self.assertEqual(self.tell_all(), [])
        self.assertEqual(self.prompt_caches.list_holders("key", 2.0), ["i-1"])

    def test_read_that_another_told_is_not_told_again(self) -> None:
        self.prompt_caches.merge([prompts.CachedPrompt("key", "i-1")], 1.0)
        self.prompt_caches.record("key", "i-1", 2.0, tokens=_LONG)
        self.assertEqual(self.tell_all(), [])
        self.assertEqual(self.prompt_caches.list_holders("key", 2.0), ["i-1"])

    def test_target_that_lost_its_memory_holds_nothing(self) -> None:
        self.prompt_caches.record("key", "i-1", 1.0, tokens=_LONG)
        self.prompt_caches.forget_target("i-1")
        self.assertEqual(self.prompt_caches.list_holders("key", 1.0), [])
        self.tell_all()
        self.prompt_caches.record("key", "i-1", 1.5, tokens=_LONG)
        self.assertEqual(
            len(self.tell_all()), prompts.MESSAGES_PER_ANNOUNCEMENT
        )

    def test_keys_are_bounded(self) -> None:
        for number in range(prompts.MAX_KEYS + 10):
            self.prompt_caches.record(f"k{number}", "i-1", 1.0, tokens=_LONG)
        self.assertEqual(self.prompt_caches.list_holders("k0", 1.0), [])
        newest = f"k{prompts.MAX_KEYS + 9}"
        self.assertEqual(self.prompt_caches.list_holders(newest, 1.0), ["i-1"])


class PlacementTest(unittest.TestCase):
    """Prompts that many requests share, some of them hot."""

    def test_hot_prompt_stays_within_the_bound_and_few_are_read_again(
        self,
    ) -> None:
        replay = Replay(seed=7, hot_share=0.3)
        replay.run(make_picker(replay), per_s=25, seconds=60)
        self.assertLess(replay.over / replay.requests, 0.03)

        least = Replay(seed=7, hot_share=0.3)
        least.run(
            lambda daemon, _, now: min(
                least.targets,
                key=lambda item: least.count_seen(daemon, item.id, now),
            ),
            per_s=25,
            seconds=60,
        )
        alone = Replay(seed=7, hot_share=0.3)
        alone.run(
            lambda _, key, __: alone.targets[hash_key(key) % _TARGETS],
            per_s=25,
            seconds=60,
        )
        self.assertGreater(alone.over / alone.requests, 0.03)
        self.assertLess(replay.reads, 0.7 * least.reads)

    def test_bound_holds_while_a_zone_is_closed(self) -> None:
        # The mean counts the targets of the zone, which hold nothing.
        replay = Replay(seed=7, hot_share=0.6, closed=2)
        pick = make_picker(replay)
        replay.run(pick, per_s=25, seconds=60)
        self.assertLess(replay.over / replay.requests, 0.03)

    def test_reuse_is_near_that_of_an_oracle(self) -> None:
        replay = Replay(seed=3, hot_share=0.0)
        replay.run(make_picker(replay), per_s=12, seconds=60)
        # An oracle without a bound on load reads each prompt once.
        best = replay.requests - _KEYS
        self.assertGreaterEqual(replay.requests - replay.reads, 0.95 * best)


class SourceTest(unittest.TestCase):
    """From where a target fetches a prompt's memory."""

    def setUp(self) -> None:
        self.prompt_caches = prompts.PromptCacheIndex(lifetime_s=20.0)
        self.chooser = target_choice.Chooser(
            prompt_caches=self.prompt_caches,
            count_load=lambda _: 0,
            count_prefill_backlog=lambda _: 0,
            allows_cold=lambda _: True,
            source=random.Random(1),
        )
        self.targets = [make_target(number) for number in range(4)]

    def choose(
        self,
        usable: list[target_table.Target],
        sources: list[target_table.Target],
    ) -> target_choice.Choice:
        """Chooses for one prompt."""
        choice = self.chooser.choose(
            usable,
            registered=sources,
            key="key",
            avoided=(),
            can_fetch=True,
            now=0.0,
        )
        assert choice is not None
        return choice

    def test_holder_that_drains_is_the_source(self) -> None:
        home = self.choose(self.targets, self.targets).target
        self.prompt_caches.record("key", home.id, -1.0, tokens=_LONG)
        left = [target for target in self.targets if target is not home]
        self.assertIs(self.choose(left, self.targets).cache_source, home)

    def test_holder_that_another_daemon_told_of_is_the_source(self) -> None:
        home = self.choose(self.targets, self.targets).target
        far = [target for target in self.targets if target is not home][-1]
        self.prompt_caches.merge([prompts.CachedPrompt("key", far.id)], -1.0)
        choice = self.choose(self.targets, self.targets)
        self.assertEqual((choice.target, choice.cache_source), (home, far))
        self.assertTrue(choice.is_held)

    def test_daemon_that_knows_no_holder_takes_the_next_in_order(self) -> None:
        home = self.choose(self.targets, self.targets).target
        left = [target for target in self.targets if target is not home]
        self.assertIs(self.choose(left, self.targets).cache_source, home)

    def test_target_that_holds_a_prompt_fetches_nothing(self) -> None:
        home = self.choose(self.targets, self.targets).target
        self.prompt_caches.record("key", home.id, -1.0, tokens=_LONG)
        self.assertIsNone(self.choose(self.targets, self.targets).cache_source)

    def test_targets_that_are_new_or_paused_are_no_source(self) -> None:
        home = self.choose(self.targets, self.targets).target
        others = [target for target in self.targets if target is not home]
        for target in others:
            target.first_seen = -1.0
        self.assertIsNone(self.choose([home], self.targets).cache_source)
        others[0].first_seen = -100.0
        others[0].backoff_until = 1.0
        self.assertIsNone(self.choose([home], self.targets).cache_source)


class PoolTest(unittest.TestCase):
    """Which targets may be chosen at all."""

    def choose(
        self,
        targets: list[target_table.Target],
        *,
        avoided: abc.Container[str] = (),
        allows_cold: bool = True,
    ) -> target_choice.Choice | None:
        """Chooses for a request without a prompt."""
        chooser = target_choice.Chooser(
            prompt_caches=prompts.PromptCacheIndex(lifetime_s=20.0),
            count_load=lambda target: target.in_flight,
            count_prefill_backlog=lambda _: 0,
            allows_cold=lambda _: allows_cold,
            source=random.Random(1),
        )
        return chooser.choose(
            targets,
            registered=targets,
            key=None,
            avoided=avoided,
            can_fetch=False,
            now=0.0,
        )

    def test_least_loaded_for_its_slots(self) -> None:
        large, small = make_target(1, slots=8), make_target(2, slots=2)
        large.in_flight, small.in_flight = 3, 1
        choice = self.choose([large, small])
        assert choice is not None
        self.assertIs(choice.target, large)

    def test_paused_targets_go_last_and_avoided_ones_never(self) -> None:
        first, second = make_target(1), make_target(2)
        first.backoff_until = 1.0
        choice = self.choose([first, second])
        assert choice is not None
        self.assertIs(choice.target, second)
        choice = self.choose([first, second], avoided={second.id})
        assert choice is not None
        self.assertIs(choice.target, first)
        both = {first.id, second.id}
        self.assertIsNone(self.choose([first, second], avoided=both))

    def test_cold_target_without_allowance_gets_nothing(self) -> None:
        cold = make_target(1)
        cold.cold_until = 1.0
        self.assertIsNone(self.choose([cold], allows_cold=False))
        self.assertIsNotNone(self.choose([cold], allows_cold=True))


def hash_key(key: str) -> int:
    """Returns a number for a key, the same in each process."""
    return sum(key.encode())


if __name__ == "__main__":
    unittest.main()
