"""Tests of target placement, compared with the baselines that it replaces."""

import collections
from collections import abc
import random
import unittest

from mothpass.core import prompts
from mothpass.core import target_choice
from mothpass.core import target_table
from tests import registrations

_DAEMONS = 9
_TARGETS = 5
# Delay after which daemons learn of each other's requests by gossip.
_GOSSIP_LAG_S = 0.1
_RUN_S = 1.5
_KEYS = 40
_LONG_PREFIX_TOKENS = 10_000
# Prefill rate of the deployments' engines.
_PREFILL_TOKENS_PER_S = 55_000

# Picks a target for the arguments (daemon, key, now).
_PickTarget = abc.Callable[[int, str, float], target_table.Target]


def make_target(number: int, **fields: object) -> target_table.Target:
    """Returns a target that has been registered for a long time."""
    values: dict[str, object] = {"slots": 64}
    registration = registrations.make_registration(number, **values | fields)
    return target_table.Target(registration=registration, now=-100.0)


class Replay:
    """Replay of a load in virtual time over daemons with delayed peer counts.

    Attributes:
        prefills: Requests whose prompt their target had not prefilled before.
        over_bound: Requests placed at a target with a load above the bound of
            twice the mean plus three.
        requests: Number of requests so far.
    """

    def __init__(self, *, seed: int, hot_share: float, closed: int = 0) -> None:
        self.targets = [make_target(number) for number in range(_TARGETS)]
        self.usable = self.targets[closed:] if closed else self.targets
        self.prefills = 0
        self.over_bound = 0
        self.requests = 0
        self._random = random.Random(seed)
        self._hot_share = hot_share
        self._running: collections.deque[tuple[float, str]] = (
            collections.deque()
        )
        self._starts: collections.deque[tuple[float, int, str]] = (
            collections.deque()
        )
        self._prefilled: set[tuple[str, str]] = set()

    def count(self, target_id: str) -> int:
        """Returns the number of requests in flight at a target."""
        return sum(1 for _, item in self._running if item == target_id)

    def count_known(self, daemon: int, target_id: str, now: float) -> int:
        """Returns the number of requests in flight as a daemon knows it."""
        unseen = sum(
            1
            for started, other, item in self._starts
            if item == target_id
            and other != daemon
            and started > now - _GOSSIP_LAG_S
        )
        return self.count(target_id) - unseen

    def run(
        self,
        pick: _PickTarget,
        *,
        per_s: float,
        seconds: float,
        start: float = 0.0,
    ) -> None:
        """Sends requests at random times."""
        now = start
        while now < start + seconds:
            now += self._random.expovariate(per_s)
            while self._running and self._running[0][0] <= now:
                self._running.popleft()
            while self._starts and self._starts[0][0] < now - _GOSSIP_LAG_S:
                self._starts.popleft()
            is_hot = self._random.random() < self._hot_share
            key = "hot" if is_hot else f"k{self._random.randrange(_KEYS)}"
            daemon = self._random.randrange(_DAEMONS)
            target = pick(daemon, key, now)
            mean = len(self._running) / _TARGETS
            self.over_bound += self.count(target.id) > 2 * mean + 3
            self.prefills += (target.id, key) not in self._prefilled
            self._prefilled.add((target.id, key))
            self._running.append((now + _RUN_S, target.id))
            self._starts.append((now, daemon, target.id))
            self.requests += 1


def make_picker(replay: Replay) -> _PickTarget:
    """Returns the placement under test, with one chooser per daemon."""
    clock = [0.0]
    choosers = []
    for daemon in range(_DAEMONS):

        def count(target: target_table.Target, daemon: int = daemon) -> int:
            return replay.count_known(daemon, target.id, clock[0])

        choosers.append(
            target_choice.TargetChooser(
                prompt_caches=prompts.PromptCacheIndex(lifetime_s=60.0),
                count_load=count,
                count_prefill_backlog=lambda _: 0,
                allows_cold=lambda _: True,
                admits_limited=lambda *_: True,
                random=random.Random(1),
            )
        )

    def pick(daemon: int, key: str, now: float) -> target_table.Target:
        clock[0] = now
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


class PrefillBacklogTest(unittest.TestCase):
    """Long prompts arrive together while few requests are in flight."""

    def count_late(self, *, knows_backlog: bool) -> int:
        """Returns the number of requests with a first token after 0.5 s."""
        targets = [make_target(number) for number in range(_TARGETS)]
        source = random.Random(4)
        free_at = {target.id: 0.0 for target in targets}
        now = 0.0

        def count_prefill_backlog(target: target_table.Target) -> int:
            left_s = max(0.0, free_at[target.id] - now)
            return int(left_s * _PREFILL_TOKENS_PER_S) if knows_backlog else 0

        chooser = target_choice.TargetChooser(
            prompt_caches=prompts.PromptCacheIndex(lifetime_s=60.0),
            count_load=lambda _: 0,
            count_prefill_backlog=count_prefill_backlog,
            allows_cold=lambda _: True,
            admits_limited=lambda *_: True,
            random=source,
        )
        late = 0
        for number in range(600):
            # Bursts of twenty within 0.2 s, 1.5 s apart.
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
            free_at[choice.target.id] = start + tokens / _PREFILL_TOKENS_PER_S
            late += free_at[choice.target.id] - now > 0.5
        return late

    def test_prefill_backlog_halves_the_late_requests(self) -> None:
        without_backlog = self.count_late(knows_backlog=False)
        self.assertGreater(without_backlog, 20)
        self.assertLess(
            self.count_late(knows_backlog=True), 0.5 * without_backlog
        )


class PromptCacheIndexTest(unittest.TestCase):
    """Records and announcements of the prompts that targets hold."""

    def setUp(self) -> None:
        self.index = prompts.PromptCacheIndex(lifetime_s=60.0)

    def take_all_announcements(self) -> list[prompts.CachedPrompt]:
        """Returns the announcements of the next 20 gossip messages."""
        return [
            cached
            for _ in range(20)
            for cached in self.index.take_announcements(2)
        ]

    def test_prompt_is_announced_again_after_the_interval(
        self,
    ) -> None:
        self.index.record("key", "i-1", 1.0, tokens=_LONG_PREFIX_TOKENS)
        self.index.record("key", "i-1", 2.0, tokens=_LONG_PREFIX_TOKENS)
        cached = prompts.CachedPrompt("key", "i-1")
        self.assertEqual(
            self.take_all_announcements(),
            [cached] * prompts.MESSAGES_PER_ANNOUNCEMENT,
        )
        self.index.record(
            "key",
            "i-1",
            1.0 + prompts.ANNOUNCEMENT_INTERVAL_S,
            tokens=_LONG_PREFIX_TOKENS,
        )
        self.assertEqual(
            self.take_all_announcements(),
            [cached] * prompts.MESSAGES_PER_ANNOUNCEMENT,
        )

    def test_all_prompts_of_a_burst_are_announced(self) -> None:
        for number in range(12):
            self.index.record(
                f"k{number}", "i-1", 1.0, tokens=_LONG_PREFIX_TOKENS
            )
        announced = self.take_all_announcements()
        self.assertEqual(len(set(announced)), 12)
        self.assertEqual(len(announced), 12 * prompts.MESSAGES_PER_ANNOUNCEMENT)

    def test_short_prompts_are_not_announced(self) -> None:
        self.index.record("key", "i-1", 1.0, tokens=700)
        self.assertEqual(self.take_all_announcements(), [])
        self.assertEqual(self.index.list_holders("key", 2.0), ["i-1"])

    def test_prompt_announced_by_a_peer_is_not_announced_again(self) -> None:
        self.index.merge([prompts.CachedPrompt("key", "i-1")], 1.0)
        self.index.record("key", "i-1", 2.0, tokens=_LONG_PREFIX_TOKENS)
        self.assertEqual(self.take_all_announcements(), [])
        self.assertEqual(self.index.list_holders("key", 2.0), ["i-1"])

    def test_removed_target_holds_nothing(self) -> None:
        self.index.record("key", "i-1", 1.0, tokens=_LONG_PREFIX_TOKENS)
        self.index.remove_target("i-1")
        self.assertEqual(self.index.list_holders("key", 1.0), [])
        self.take_all_announcements()
        self.index.record("key", "i-1", 1.5, tokens=_LONG_PREFIX_TOKENS)
        self.assertEqual(
            len(self.take_all_announcements()),
            prompts.MESSAGES_PER_ANNOUNCEMENT,
        )

    def test_number_of_keys_is_bounded(self) -> None:
        for number in range(prompts.MAX_KEYS + 10):
            self.index.record(
                f"k{number}", "i-1", 1.0, tokens=_LONG_PREFIX_TOKENS
            )
        self.assertEqual(self.index.list_holders("k0", 1.0), [])
        newest = f"k{prompts.MAX_KEYS + 9}"
        self.assertEqual(self.index.list_holders(newest, 1.0), ["i-1"])


class PlacementTest(unittest.TestCase):
    """Shared prompts, some of them hot, compared with baselines.

    Guards against load above the bound at the target of a hot prompt, and
    against prompts prefilled at more targets than needed.
    """

    def test_hot_prompt_stays_within_the_bound_with_few_prefills(
        self,
    ) -> None:
        replay = Replay(seed=7, hot_share=0.3)
        replay.run(make_picker(replay), per_s=25, seconds=60)
        self.assertLess(replay.over_bound / replay.requests, 0.03)

        least_loaded = Replay(seed=7, hot_share=0.3)
        least_loaded.run(
            lambda daemon, _, now: min(
                least_loaded.targets,
                key=lambda item: least_loaded.count_known(daemon, item.id, now),
            ),
            per_s=25,
            seconds=60,
        )
        hashed = Replay(seed=7, hot_share=0.3)
        hashed.run(
            lambda _, key, __: hashed.targets[hash_key(key) % _TARGETS],
            per_s=25,
            seconds=60,
        )
        self.assertGreater(hashed.over_bound / hashed.requests, 0.03)
        self.assertLess(replay.prefills, 0.7 * least_loaded.prefills)

    def test_bound_holds_while_a_zone_is_closed(self) -> None:
        # The mean of the bound includes the idle targets of the closed
        # availability zone.
        replay = Replay(seed=7, hot_share=0.6, closed=2)
        pick = make_picker(replay)
        replay.run(pick, per_s=25, seconds=60)
        self.assertLess(replay.over_bound / replay.requests, 0.03)

    def test_cache_reuse_is_near_that_of_an_oracle(self) -> None:
        replay = Replay(seed=3, hot_share=0.0)
        replay.run(make_picker(replay), per_s=12, seconds=60)
        # An oracle without a load bound prefills each prompt once.
        best = replay.requests - _KEYS
        self.assertGreaterEqual(replay.requests - replay.prefills, 0.95 * best)


class CacheSourceTest(unittest.TestCase):
    """Target from which another one fetches a cached prompt."""

    def setUp(self) -> None:
        self.index = prompts.PromptCacheIndex(lifetime_s=20.0)
        self.chooser = target_choice.TargetChooser(
            prompt_caches=self.index,
            count_load=lambda _: 0,
            count_prefill_backlog=lambda _: 0,
            allows_cold=lambda _: True,
            admits_limited=lambda *_: True,
            random=random.Random(1),
        )
        self.targets = [make_target(number) for number in range(4)]

    def choose(
        self,
        usable: list[target_table.Target],
        sources: list[target_table.Target],
    ) -> target_choice.Choice:
        """Places a request with a shared prompt."""
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

    def test_draining_holder_is_the_source(self) -> None:
        preferred = self.choose(self.targets, self.targets).target
        self.index.record("key", preferred.id, -1.0, tokens=_LONG_PREFIX_TOKENS)
        others = [target for target in self.targets if target is not preferred]
        self.assertIs(self.choose(others, self.targets).cache_source, preferred)

    def test_holder_announced_by_a_peer_is_the_source(self) -> None:
        preferred = self.choose(self.targets, self.targets).target
        holder = [target for target in self.targets if target is not preferred][
            -1
        ]
        self.index.merge([prompts.CachedPrompt("key", holder.id)], -1.0)
        choice = self.choose(self.targets, self.targets)
        self.assertEqual(
            (choice.target, choice.cache_source), (preferred, holder)
        )
        self.assertTrue(choice.is_cached)

    def test_next_in_order_is_the_source_without_a_known_holder(self) -> None:
        preferred = self.choose(self.targets, self.targets).target
        others = [target for target in self.targets if target is not preferred]
        self.assertIs(self.choose(others, self.targets).cache_source, preferred)

    def test_target_that_holds_the_prompt_has_no_source(self) -> None:
        preferred = self.choose(self.targets, self.targets).target
        self.index.record("key", preferred.id, -1.0, tokens=_LONG_PREFIX_TOKENS)
        self.assertIsNone(self.choose(self.targets, self.targets).cache_source)

    def test_new_and_backing_off_targets_are_no_source(self) -> None:
        preferred = self.choose(self.targets, self.targets).target
        others = [target for target in self.targets if target is not preferred]
        for target in others:
            target.first_seen = -1.0
        self.assertIsNone(self.choose([preferred], self.targets).cache_source)
        others[0].first_seen = -100.0
        others[0].backoff_until = 1.0
        self.assertIsNone(self.choose([preferred], self.targets).cache_source)


class AdmissibleTargetTest(unittest.TestCase):
    """Targets that may get a request."""

    def choose(
        self,
        targets: list[target_table.Target],
        *,
        avoided: abc.Container[str] = (),
        allows_cold: bool = True,
    ) -> target_choice.Choice | None:
        """Places a request without a shared prompt."""
        chooser = target_choice.TargetChooser(
            prompt_caches=prompts.PromptCacheIndex(lifetime_s=20.0),
            count_load=lambda target: target.in_flight,
            count_prefill_backlog=lambda _: 0,
            allows_cold=lambda _: allows_cold,
            admits_limited=lambda *_: True,
            random=random.Random(1),
        )
        return chooser.choose(
            targets,
            registered=targets,
            key=None,
            avoided=avoided,
            can_fetch=False,
            now=0.0,
        )

    def test_target_with_the_lowest_load_per_slot(self) -> None:
        large, small = make_target(1, slots=8), make_target(2, slots=2)
        large.in_flight, small.in_flight = 3, 1
        choice = self.choose([large, small])
        assert choice is not None
        self.assertIs(choice.target, large)

    def test_backing_off_targets_go_last_and_avoided_ones_never(self) -> None:
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

    def test_cold_target_without_allowance_gets_no_request(self) -> None:
        cold = make_target(1)
        cold.cold_until = 1.0
        self.assertIsNone(self.choose([cold], allows_cold=False))
        self.assertIsNotNone(self.choose([cold], allows_cold=True))


def hash_key(key: str) -> int:
    """Returns a number for a key that is the same in each process."""
    return sum(key.encode())


if __name__ == "__main__":
    unittest.main()
