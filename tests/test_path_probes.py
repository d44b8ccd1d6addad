"""Tests of the probes of a service's targets, in virtual time."""

import asyncio
import random
import typing
import unittest

from mothpass.core import errors
from mothpass.core import target_table
from mothpass.relay import metrics
from mothpass.relay import path_probes
from tests import registrations
from tests import virtual_time

_SERVICE = "models"
_TARGETS = 5
_CONNECT_TIMEOUT_S = 0.3
_PROBE_S = _CONNECT_TIMEOUT_S + path_probes.PROBE_INTERVAL_S


class _StuckRandom(random.Random):
    """Draws the same item for as long as it is among the candidates."""

    def choice(self, seq: typing.Any) -> typing.Any:
        return seq[0]


class _Connection:
    def close(self) -> None:
        pass


class _Pool:
    """Opens connections to all addresses but those that are cut.

    Attributes:
        cut: Addresses to which no connection can be opened.
        tried: Addresses, in the order of the attempts.
    """

    def __init__(self) -> None:
        self.cut: set[str] = set()
        self.tried: list[str] = []

    async def acquire(self, address: str, *, fresh: bool) -> _Connection:
        assert fresh
        self.tried.append(address)
        if address in self.cut:
            await asyncio.sleep(_CONNECT_TIMEOUT_S)
            raise errors.TargetUnreachableError(f"no connection to {address}")
        return _Connection()


class PathMonitorTest(unittest.TestCase):
    """What one daemon tries while it may be cut off."""

    def setUp(self) -> None:
        self.loop = virtual_time.VirtualLoop()
        self.addCleanup(self.loop.close)
        self.pool = _Pool()
        self.table = target_table.TargetTable()
        for number in range(_TARGETS):
            self.table.put(_make_registration(number), 0.0)
        self.addresses = [
            item.registration.address
            for item in self.table.list_registered(_SERVICE)
        ]
        self.monitor = self.make_monitor(_StuckRandom())

    def make_monitor(self, source: random.Random) -> path_probes.PathMonitor:
        """Returns the monitor of a daemon."""
        return path_probes.PathMonitor(
            pool=typing.cast(typing.Any, self.pool),
            targets=self.table,
            announce=lambda: None,
            metrics=metrics.Metrics(),
            random=source,
        )

    def fail_first_target(self) -> None:
        """Records that a request couldn't reach the first target."""
        first, *_ = self.table.list_registered(_SERVICE)
        self.monitor.record_unreachable(first)

    def test_lost_path_is_known_after_two_probes(self) -> None:
        """Guards against probes of one target that never meet another."""
        self.pool.cut.update(self.addresses)

        async def run() -> None:
            self.fail_first_target()
            await asyncio.sleep(2 * _PROBE_S)
            self.assertTrue(self.monitor.is_cut_off(_SERVICE))

        self.loop.run_all(run())

    def test_all_targets_are_tried_in_turn(self) -> None:
        """Guards against a target that draws leave out."""
        self.pool.cut.update(self.addresses)

        async def run() -> None:
            self.monitor.check(_SERVICE)
            await asyncio.sleep(_TARGETS * _PROBE_S)
            self.assertTrue(self.monitor.has_tried_all(_SERVICE))
            await asyncio.sleep(_TARGETS * _PROBE_S)

        self.loop.run_all(run())
        for begin in range(_TARGETS + 1):
            tried = self.pool.tried[begin : begin + _TARGETS]
            self.assertCountEqual(tried, self.addresses)

    def test_crashed_target_is_told_from_the_path_by_one_probe(self) -> None:
        """Guards against a daemon that probes a crashed target on and on."""
        self.pool.cut.add(self.addresses[0])

        async def run() -> None:
            self.fail_first_target()
            await asyncio.sleep(2 * _PROBE_S)
            self.assertFalse(self.monitor.is_cut_off(_SERVICE))

        self.loop.run_all(run())
        self.assertEqual(len(self.pool.tried), 1)

    def test_path_is_found_beside_a_crashed_target(self) -> None:
        """Guards against peers that carry requests while a path works."""
        self.pool.cut.update(self.addresses)

        async def run() -> None:
            self.fail_first_target()
            await asyncio.sleep(2 * _TARGETS * _PROBE_S)
            self.assertTrue(self.monitor.is_cut_off(_SERVICE))
            self.pool.cut = {self.addresses[0]}
            await asyncio.sleep(3 * _PROBE_S)
            self.assertFalse(self.monitor.is_cut_off(_SERVICE))

        self.loop.run_all(run())

    def test_daemons_spread_their_first_probes(self) -> None:
        """Guards against a fleet that probes one target at a time."""

        async def run() -> None:
            for seed in range(50):
                self.make_monitor(random.Random(seed)).check(_SERVICE)
            await asyncio.sleep(_PROBE_S)

        self.loop.run_all(run())
        self.assertEqual(set(self.pool.tried), set(self.addresses))


def _make_registration(number: int) -> target_table.Registration:
    return registrations.make_registration(
        number, service=_SERVICE, slots=4, started_at_ms=1000 + number
    )
