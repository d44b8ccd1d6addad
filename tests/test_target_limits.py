"""Tests of the limits that targets state, in fleets of all sizes."""

import collections
import random
import unittest

import msgspec

from mothpass.core import target_limits

_STEP_S = 0.05
_DURATION_S = 30.0
# The users' rule holds from then on; see _play.
_STABILITY_WINDOW_S = 3.0


class _Daemon:
    """One daemon's view of the limited target."""

    def __init__(self) -> None:
        self.limit = target_limits.StatedLimit()
        self.reported: dict[int, target_limits.FleetCount] = {}
        self.waiting = 0

    def admit(self, now: float, random: random.Random) -> bool:
        peers = target_limits.FleetCount(
            sum(item.sent for item in self.reported.values()),
            sum(item.wanted for item in self.reported.values()),
        )
        is_admitted = self.limit.admit(peers=peers, now=now, random=random)
        if is_admitted:
            self.limit.dispatches.record(now)
        return is_admitted


class _Fleet:
    """Daemons that send to one target and tell each other what they sent."""

    def __init__(
        self, daemons: int, *, interval_s: float, per_s: float, seed: int
    ) -> None:
        self.random = random.Random(seed)
        self.interval_s = interval_s
        self.per_s = per_s
        self.daemons = [_Daemon() for _ in range(daemons)]
        self.next_report_at = [
            self.random.uniform(0.0, interval_s) for _ in range(daemons)
        ]
        self.arrivals: list[float] = []

    def report(self, now: float) -> None:
        """Sends the reports that are due; some are lost."""
        for sender, daemon in enumerate(self.daemons):
            if now < self.next_report_at[sender]:
                continue
            self.next_report_at[sender] = now + self.interval_s
            count = daemon.limit.count(now)
            limits = target_limits.list_reports({"t": daemon.limit}, now=now)
            for receiver in self.daemons:
                if receiver is daemon or self.random.random() < 0.03:
                    continue
                receiver.reported[sender] = count
                for per_s in limits.values():
                    receiver.limit.merge_report(per_s, now=now)

    def handle(self, daemon: _Daemon, now: float) -> bool:
        """Handles one request of the target; returns whether it was sent."""
        if not daemon.admit(now, self.random):
            return False
        self.arrivals.append(now)
        daemon.limit.record_answer(self.per_s, now=now)
        return True

    def retry_waiting(self, daemon: _Daemon, now: float) -> None:
        """Tries one waiting request, if the limit lets one be tried."""
        if not daemon.waiting or not daemon.limit.may_admit_waiting(now):
            return
        daemon.waiting -= self.handle(daemon, now)
        daemon.limit.record_waiting(
            daemons=len(self.daemons), now=now, random=self.random
        )

    def restart(self, number: int) -> None:
        self.daemons[number] = _Daemon()


def _play(fleet: _Fleet, demand_per_s: float, *, waits: bool) -> list[int]:
    """Plays a load; returns the arrivals of each window that counts."""
    for step in range(int(_DURATION_S / _STEP_S)):
        now = step * _STEP_S
        fleet.report(now)
        # The restart of the only daemon loses its counts; the rule allows it.
        if step % 200 == 150 and len(fleet.daemons) > 1:
            fleet.restart(fleet.random.randrange(len(fleet.daemons)))
        for daemon in fleet.daemons:
            chance = demand_per_s * _STEP_S / len(fleet.daemons)
            if fleet.random.random() < chance:
                is_sent = fleet.handle(daemon, now)
                if waits and not is_sent:
                    daemon.waiting = min(10, daemon.waiting + 1)
            fleet.retry_waiting(daemon, now)
    counts = []
    start = _STABILITY_WINDOW_S
    while start + target_limits.WINDOW_S < _DURATION_S:
        end = start + target_limits.WINDOW_S
        counts.append(sum(1 for at in fleet.arrivals if start <= at < end))
        start += 0.1
    return counts


class FleetLimitTest(unittest.TestCase):
    """A target gets what it states, and not much less."""

    # Daemons, and seconds between two reports of each.
    fleets = ((1, 0.1), (7, 0.1), (65, 0.5), (195, 1.1))

    def _check(self, multiple: float, *, waits: bool) -> None:
        for daemons, interval_s in self.fleets:
            for per_s in (1.7, 4.0, 12.0):
                with self.subTest(daemons=daemons, per_s=per_s):
                    fleet = _Fleet(
                        daemons, interval_s=interval_s, per_s=per_s, seed=3
                    )
                    counts = _play(fleet, multiple * per_s, waits=waits)
                    allowed = per_s * target_limits.WINDOW_S
                    self.assertLessEqual(max(counts), 1.5 * allowed + 5)
                    mean = sum(counts) / len(counts)
                    self.assertGreaterEqual(mean, allowed / 2)

    def test_twice_the_limit_is_cut_to_it(self) -> None:
        """Guards against daemons that each send their part of the load."""
        self._check(2.0, waits=False)

    def test_five_times_the_limit_is_cut_to_it(self) -> None:
        """Guards against many daemons that act on the same old counts."""
        self._check(5.0, waits=False)

    def test_waiting_requests_do_not_go_at_once(self) -> None:
        """Guards against queues that empty when the counts fall."""
        self._check(4.0, waits=True)

    def test_load_below_the_limit_passes(self) -> None:
        """Guards against limits that turn away what a target would take."""
        for daemons, interval_s in self.fleets:
            with self.subTest(daemons=daemons):
                fleet = _Fleet(
                    daemons, interval_s=interval_s, per_s=10.0, seed=4
                )
                counts = _play(fleet, 5.0, waits=False)
                mean = sum(counts) / len(counts)
                self.assertGreaterEqual(mean, 0.9 * 5.0 * 4.0)


class _ManyTargets:
    """A fleet whose requests go on to the next of many limited targets.

    All daemons see the newest message of each, so that sums are kept once.
    """

    def __init__(self, *, daemons: int, targets: int, per_s: float) -> None:
        self.random = random.Random(7)
        self.names = [f"i-{number:08x}" for number in range(targets)]
        self.limits = [
            {name: target_limits.StatedLimit() for name in self.names}
            for _ in range(daemons)
        ]
        for limits in self.limits:
            for limit in limits.values():
                limit.record_answer(per_s, now=0.0)
        self.reports: list[dict[str, target_limits.FleetCount]] = [
            {} for _ in range(daemons)
        ]
        self.sums = {name: target_limits.FleetCount() for name in self.names}
        self.arrivals: dict[str, list[float]] = {x: [] for x in self.names}

    def report(self, number: int, now: float) -> None:
        """Replaces what the fleet knows of one daemon."""
        counts = target_limits.list_counts(
            self.limits[number], now=now, random=self.random
        )
        for sign, report in ((-1, self.reports[number]), (1, counts)):
            for name, count in report.items():
                total = self.sums[name]
                self.sums[name] = target_limits.FleetCount(
                    total.sent + sign * count.sent,
                    total.wanted + sign * count.wanted,
                )
        self.reports[number] = counts

    def handle(self, number: int, now: float) -> None:
        """Sends a request to the first of its targets that admits it."""
        for name in self.random.sample(self.names, 6):
            own = self.reports[number].get(name, target_limits.FleetCount())
            peers = target_limits.FleetCount(
                self.sums[name].sent - own.sent,
                self.sums[name].wanted - own.wanted,
            )
            limit = self.limits[number][name]
            if limit.admit(peers=peers, now=now, random=self.random):
                limit.dispatches.record(now)
                self.arrivals[name].append(now)
                return

    def play(self, per_daemon_s: float, interval_s: float) -> None:
        """Plays a load for some seconds."""
        steps_per_report = round(interval_s / _STEP_S)
        for step in range(int(12.0 / _STEP_S)):
            now = step * _STEP_S
            for number in range(len(self.limits)):
                if (step + number) % steps_per_report == 0:
                    self.report(number, now)
                if self.random.random() < per_daemon_s * _STEP_S:
                    self.handle(number, now)


class ManyTargetsTest(unittest.TestCase):
    """Nearly all targets of a large fleet state limits at once."""

    def test_each_target_of_many_gets_no_more_than_it_states(self) -> None:
        """Guards against counts that don't fit into a message."""
        per_s = 4.5
        fleet = _ManyTargets(daemons=87, targets=126, per_s=per_s)
        fleet.play(per_daemon_s=11.0, interval_s=0.5)
        allowed = per_s * target_limits.WINDOW_S
        served = []
        for name, times in fleet.arrivals.items():
            starts = [at for at in times if at >= _STABILITY_WINDOW_S]
            most = max(
                sum(1 for at in times if start <= at < start + 4.0)
                for start in starts
            )
            self.assertLessEqual(most, 1.5 * allowed + 5, name)
            served.append(sum(1 for at in times if 4.0 <= at < 12.0) / 8.0)
        self.assertGreaterEqual(sum(served) / len(served), per_s / 2)


class StatedLimitTest(unittest.TestCase):
    """What one daemon knows of a limit."""

    def setUp(self) -> None:
        self.limit = target_limits.StatedLimit()

    def _admit(self, sent_by_peers: int, now: float = 1.0) -> bool:
        peers = target_limits.FleetCount(sent_by_peers, sent_by_peers)
        return self.limit.admit(peers=peers, now=now, random=random.Random(1))

    def test_answer_without_a_limit_lifts_it(self) -> None:
        """Guards against targets that stay limited after their trouble."""
        self.limit.record_answer(1.0, now=0.0)
        self.assertFalse(self._admit(100))
        self.assertTrue(self.limit.record_answer(None, now=0.5))
        self.assertTrue(self._admit(100))

    def test_own_answer_outweighs_the_report_of_a_peer(self) -> None:
        """Guards against reports that bring back a limit that was lifted."""
        self.limit.record_answer(None, now=0.0)
        self.limit.merge_report(1.0, now=0.5)
        self.assertIsNone(self.limit.per_s)
        now = target_limits.OWN_ANSWER_TTL_S
        self.limit.merge_report(1.0, now=now)
        self.assertEqual(self.limit.per_s, 1.0)

    def test_limit_of_a_report_is_not_reported_again(self) -> None:
        """Guards against daemons that keep a limit alive among themselves."""
        self.limit.record_answer(None, now=0.0)
        now = target_limits.OWN_ANSWER_TTL_S
        self.limit.merge_report(1.0, now=now)
        self.assertEqual(
            target_limits.list_reports({"t": self.limit}, now=now), {}
        )

    def test_limit_of_zero_lets_a_request_through_at_times(self) -> None:
        """Guards against a target that can't show that its limit is over."""
        self.limit.record_answer(0.0, now=0.0)
        self.assertTrue(self._admit(0))
        self.assertFalse(self._admit(3))

    def test_reports_are_bounded_and_carry_the_newest(self) -> None:
        """Guards against messages that grow with the number of targets."""
        limits: dict[str, target_limits.StatedLimit] = collections.defaultdict(
            target_limits.StatedLimit
        )
        for number in range(100):
            limit = limits[f"i-{number:08x}"]
            limit.record_answer(2.5, now=number / 100)
            limit.dispatches.record(number / 100)
        reports = target_limits.list_reports(limits, now=1.0)
        self.assertEqual(len(reports), target_limits.MAX_REPORTED)
        self.assertIn("i-00000063", reports)
        counts = target_limits.list_counts(
            limits, now=1.0, random=random.Random(1)
        )
        self.assertEqual(len(counts), target_limits.MAX_COUNTED)
        self.assertLess(len(msgspec.msgpack.encode([reports, counts])), 1500)

    def test_limit_that_was_read_long_ago_is_not_reported(self) -> None:
        """Guards against reports of limits that are over."""
        self.limit.record_answer(2.5, now=0.0)
        now = target_limits.REPORT_TTL_S
        self.assertEqual(
            target_limits.list_reports({"t": self.limit}, now=now), {}
        )


if __name__ == "__main__":
    unittest.main()
