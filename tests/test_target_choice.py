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
    entry = target_table.Entry(**values | fields)  # type: ignore[arg-type]
    return target_table.Target(entry=entry, now=-100.0)


class Replay:
    """A load over daemons whose views of each other lag, in virtual time.

    Attributes:
        reads: Requests whose prompt their target had not read before.
        over: Requests that met a target above twice the mean, + 3.
        requests: Requests so far.
    """

    def __init__(self, *, seed: int, hot_share: float) -> None:
        self.targets = [make_target(number) for number in range(_TARGETS)]
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


def make_picker(
    replay: Replay, *, records: bool = False, tells: bool = False
) -> _Pick:
    """Returns the choice under test, one chooser a daemon.

    Args:
        replay: The load.
        records: Whether daemons remember what their requests made targets
            read.
        tells: Whether they tell the others.
    """
    now_of = [0.0]
    choosers = []
    for daemon in range(_DAEMONS):

        def count(target: target_table.Target, daemon: int = daemon) -> int:
            return replay.count_seen(daemon, target.id, now_of[0])

        choosers.append(
            target_choice.Chooser(
                memory=prompts.PromptMemory(lifetime_s=60.0),
                count_load=count,
                allows_cold=lambda _: True,
                source=random.Random(1),
            )
        )

    def pick(daemon: int, key: str, now: float) -> target_table.Target:
        now_of[0] = now
        choice = choosers[daemon].choose(
            replay.targets, key=key, avoided=(), sources=[], now=now
        )
        assert choice is not None
        memory = choosers[daemon].memory
        if records:
            memory.record(key, choice.target.id, now)
        if tells:
            for chooser in choosers:
                chooser.memory.merge(memory.export(since=now), now)
        return choice.target

    return pick


class HoldersTest(unittest.TestCase):
    """Targets are added while the traffic goes on."""

    def count_reads(
        self, *, per_s: float, records: bool = False, tells: bool = False
    ) -> int:
        """Returns the prompts read again after targets were added."""
        replay = Replay(seed=5, hot_share=0.0)
        pick = make_picker(replay, records=records, tells=tells)
        replay.run(pick, per_s=per_s, seconds=60)
        before = replay.reads
        replay.targets += [make_target(_TARGETS + n) for n in range(3)]
        replay.run(pick, per_s=per_s, seconds=60, start=60.0)
        return replay.reads - before

    def test_prompts_stay_where_they_were_read(self) -> None:
        by_order = self.count_reads(per_s=2)
        # Three of eight prompts come first in the order of a new target.
        self.assertGreater(by_order, 0.25 * _KEYS)
        alone = self.count_reads(per_s=2, records=True)
        told = self.count_reads(per_s=2, records=True, tells=True)
        self.assertGreater(alone, 2 * told)
        self.assertLess(told, 0.1 * _KEYS)

    def test_new_targets_still_take_load_off_the_others(self) -> None:
        by_order = self.count_reads(per_s=6)
        told = self.count_reads(per_s=6, records=True, tells=True)
        self.assertGreater(told, 0)
        self.assertLess(told, 0.75 * by_order)


class MemoryTest(unittest.TestCase):
    """What is remembered and told of the prompts that targets hold."""

    def setUp(self) -> None:
        self.memory = prompts.PromptMemory(lifetime_s=60.0)

    def test_read_is_told_once_and_again_before_others_forget(self) -> None:
        self.memory.record("key", "i-1", 1.0)
        self.memory.record("key", "i-1", 2.0)
        self.assertEqual(
            self.memory.export(since=1.0), [prompts.Read("key", "i-1")]
        )
        self.assertEqual(self.memory.export(since=1.5), [])
        later = 1.0 + prompts.RETELL_S
        self.memory.record("key", "i-1", later)
        self.assertEqual(len(self.memory.export(since=later)), 1)

    def test_read_that_another_told_is_not_told_again(self) -> None:
        self.memory.merge([prompts.Read("key", "i-1")], 1.0)
        self.memory.record("key", "i-1", 2.0)
        self.assertEqual(self.memory.export(since=0.0), [])
        self.assertEqual(self.memory.list_holders("key", 2.0), ["i-1"])

    def test_target_that_lost_its_memory_holds_nothing(self) -> None:
        self.memory.record("key", "i-1", 1.0)
        self.memory.forget_target("i-1")
        self.assertEqual(self.memory.list_holders("key", 1.0), [])
        self.memory.record("key", "i-1", 1.5)
        self.assertEqual(len(self.memory.export(since=1.5)), 1)

    def test_keys_are_bounded(self) -> None:
        for number in range(prompts.MOST_KEYS + 10):
            self.memory.record(f"k{number}", "i-1", 1.0)
        self.assertEqual(self.memory.list_holders("k0", 1.0), [])
        newest = f"k{prompts.MOST_KEYS + 9}"
        self.assertEqual(self.memory.list_holders(newest, 1.0), ["i-1"])


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

    def test_reuse_is_near_that_of_an_oracle(self) -> None:
        replay = Replay(seed=3, hot_share=0.0)
        replay.run(make_picker(replay), per_s=12, seconds=60)
        # An oracle without a bound on load reads each prompt once.
        best = replay.requests - _KEYS
        self.assertGreaterEqual(replay.requests - replay.reads, 0.95 * best)


class SourceTest(unittest.TestCase):
    """From where a target fetches a prompt's memory."""

    def setUp(self) -> None:
        self.memory = prompts.PromptMemory(lifetime_s=20.0)
        self.chooser = target_choice.Chooser(
            memory=self.memory,
            count_load=lambda _: 0,
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
            usable, key="key", avoided=(), sources=sources, now=0.0
        )
        assert choice is not None
        return choice

    def test_holder_that_drains_is_the_source(self) -> None:
        home = self.choose(self.targets, self.targets).target
        self.memory.record("key", home.id, -1.0)
        left = [target for target in self.targets if target is not home]
        self.assertIs(self.choose(left, self.targets).source, home)

    def test_daemon_that_knows_no_holder_takes_the_next_in_order(self) -> None:
        home = self.choose(self.targets, self.targets).target
        left = [target for target in self.targets if target is not home]
        self.assertIs(self.choose(left, self.targets).source, home)

    def test_target_that_holds_a_prompt_fetches_nothing(self) -> None:
        home = self.choose(self.targets, self.targets).target
        self.memory.record("key", home.id, -1.0)
        self.assertIsNone(self.choose(self.targets, self.targets).source)

    def test_targets_that_are_new_or_paused_are_no_source(self) -> None:
        home = self.choose(self.targets, self.targets).target
        others = [target for target in self.targets if target is not home]
        for target in others:
            target.first_seen = -1.0
        self.assertIsNone(self.choose([home], self.targets).source)
        others[0].first_seen = -100.0
        others[0].paused_until = 1.0
        self.assertIsNone(self.choose([home], self.targets).source)


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
            memory=prompts.PromptMemory(lifetime_s=20.0),
            count_load=lambda target: target.in_flight,
            allows_cold=lambda _: allows_cold,
            source=random.Random(1),
        )
        return chooser.choose(
            targets, key=None, avoided=avoided, sources=[], now=0.0
        )

    def test_least_loaded_for_its_slots(self) -> None:
        large, small = make_target(1, slots=8), make_target(2, slots=2)
        large.in_flight, small.in_flight = 3, 1
        choice = self.choose([large, small])
        assert choice is not None
        self.assertIs(choice.target, large)

    def test_paused_targets_go_last_and_avoided_ones_never(self) -> None:
        first, second = make_target(1), make_target(2)
        first.paused_until = 1.0
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
