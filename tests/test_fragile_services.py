"""Tests of targets that fall over when they turn too many requests away."""

from collections import abc
import random
import tracemalloc
import unittest

from mothpass.core import fragile_targets

_SERVICE = "models"
_SLOTS = 8
# Requests that it lets wait.
_QUEUE = 1
_TICK_S = 0.02
_RUN_S = 0.5
_SECONDS = 20.0
_BEARS_PER_S = 3.0
# Two, and a tenth of the targets.
_MAX_FALLS = 2


class StatementTest(unittest.TestCase):
    """What targets say, and for how long it counts."""

    def setUp(self) -> None:
        self.services = fragile_targets.FragileServices()

    def admits(self, load: int, now: float = 1.0, daemons: int = 1) -> bool:
        return self.services.admits(
            _SERVICE,
            "i-1",
            own_load=0,
            load=load,
            slots=_SLOTS,
            daemons=daemons,
            report_interval_s=0.1,
            now=now,
            random=random.Random(1),
        )

    def test_sound_target_may_queue_requests(self) -> None:
        self.assertTrue(self.admits(_SLOTS))

    def test_fragile_target_gets_no_request_to_queue(self) -> None:
        """Guards against requests that a shrunken queue turns away."""
        self.assertTrue(self.services.record_answer(_SERVICE, 3.0, 1.0))
        self.assertFalse(self.services.record_answer(_SERVICE, 3.0, 1.0))
        self.assertFalse(self.admits(_SLOTS))
        self.assertTrue(self.admits(0))

    def test_answer_without_the_statement_ends_it(self) -> None:
        self.services.record_answer(_SERVICE, 3.0, 1.0)
        self.assertTrue(self.services.record_answer(_SERVICE, None, 1.1))
        self.assertTrue(self.admits(_SLOTS))

    def test_targets_that_come_and_go_are_forgotten(self) -> None:
        """Guards against memory that grows with each target that was."""
        self.services.record_answer(_SERVICE, 3.0, 1.0)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        sizes = []
        for start in (0, 20_000):
            for number in range(start, start + 20_000):
                self.services.record_rejection(
                    _SERVICE, f"i-{number}", daemons=1, now=1.0
                )
            sizes.append(tracemalloc.get_traced_memory()[0])
        self.assertLess(sizes[1], 1.1 * sizes[0])

    def test_daemon_that_was_turned_away_stays_away(self) -> None:
        """Guards against rejections that all daemons repeat each second."""
        self.services.record_answer(_SERVICE, 3.0, 1.0)
        self.services.record_rejection(_SERVICE, "i-1", daemons=9, now=1.0)
        self.assertFalse(self.admits(0, now=3.9))
        self.assertTrue(self.admits(0, now=4.1))


class _Target:
    """Fragile target that lets nobody wait."""

    def __init__(self) -> None:
        self.ends: list[float] = []
        self.rejected_at: list[float] = []
        self.served = 0
        self.falls = 0

    def offer(self, now: float) -> bool:
        self.ends = [end for end in self.ends if end > now]
        if len(self.ends) < _SLOTS + _QUEUE:
            self.ends.append(now + _RUN_S)
            self.served += 1
            return True
        since = now - 1.0
        self.rejected_at = [at for at in self.rejected_at if at > since]
        self.rejected_at.append(now)
        if len(self.rejected_at) > _BEARS_PER_S:
            self.falls += 1
            self.rejected_at.clear()
        return False


class _Daemon:
    """Daemon with its requests at one fragile target, and those that wait."""

    def __init__(self) -> None:
        self.services = fragile_targets.FragileServices()
        self.ends: list[float] = []
        self.reported = 0
        self.waiting: list[float] = []

    def count(self, now: float) -> int:
        self.ends = [end for end in self.ends if end > now]
        return len(self.ends)


class FleetTest(unittest.TestCase):
    """Daemons that together have more work than one fragile target takes."""

    def play(self, daemons: int, report_ticks: int, seed: int) -> _Target:
        """Plays daemons that report their requests at times.

        Twice as many requests as the target can run arrive at random daemons;
        each waits for a second at most.
        """
        rng = random.Random(seed)
        target = _Target()
        fleet = [_Daemon() for _ in range(daemons)]
        arrivals_per_tick = 2 * _SLOTS / _RUN_S * _TICK_S
        report_s = report_ticks * _TICK_S
        for tick in range(int(_SECONDS / _TICK_S)):
            now = tick * _TICK_S
            if tick % report_ticks == 0:
                for daemon in fleet:
                    daemon.reported = daemon.count(now)
            total = sum(daemon.reported for daemon in fleet)
            while rng.random() < arrivals_per_tick / (1 + arrivals_per_tick):
                daemon = rng.choice(fleet)
                if not self.dispatch(
                    daemon, fleet, total, target, now, rng, report_s
                ):
                    daemon.waiting.append(now)
            for daemon in rng.sample(fleet, daemons):
                daemon.waiting = [at for at in daemon.waiting if now - at < 1.0]
                if daemon.waiting and self.dispatch(
                    daemon, fleet, total, target, now, rng, report_s
                ):
                    daemon.waiting.pop(0)
        return target

    def dispatch(
        self,
        daemon: _Daemon,
        fleet: abc.Sequence[_Daemon],
        total: int,
        target: _Target,
        now: float,
        rng: random.Random,
        report_s: float,
    ) -> bool:
        """Returns whether the target took a request of the daemon."""
        daemon.services.record_answer(_SERVICE, _BEARS_PER_S, now)
        if not daemon.services.admits(
            _SERVICE,
            "i-1",
            own_load=daemon.count(now),
            load=daemon.count(now) + total - daemon.reported,
            slots=_SLOTS,
            daemons=len(fleet),
            report_interval_s=report_s,
            now=now,
            random=rng,
        ):
            return False
        if target.offer(now):
            daemon.ends.append(now + _RUN_S)
            return True
        daemon.services.record_rejection(
            _SERVICE, "i-1", daemons=len(fleet), now=now
        )
        return False

    def test_fleet_under_pressure_leaves_the_target_standing(self) -> None:
        """Guards against a slot that all daemons take at once."""
        # Daemons of a large fleet report less often.
        for daemons, report_ticks in ((3, 5), (7, 5), (65, 20), (195, 55)):
            for seed in range(3):
                with self.subTest(daemons=daemons, seed=seed):
                    target = self.play(daemons, report_ticks, seed)
                    self.assertLessEqual(target.falls, _MAX_FALLS)
                    self.assertGreater(target.served, _SLOTS)
