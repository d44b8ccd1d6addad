"""Tests of catalogue changes with real daemons under faults."""

import concurrent.futures
import time
import typing
import unittest

from tests import deployments
from tests import http_calls
from tests import processes

_IN_FORCE_TIMEOUT_S = 5.0
_STARTED_DAEMONS = ("d1", "d2", "d3")


class ChangeTest(unittest.TestCase):
    """Three daemons of a region with stand-ins of the store."""

    def setUp(self) -> None:
        started = processes.open_processes(self)
        self.deployment = deployments.Deployment(started=started)
        # A daemon without targets isn't ready.
        self.deployment.add_engine("e1", 1)
        for name in _STARTED_DAEMONS:
            self.deployment.add_daemon(name)
        self.deployment.wait_ready()

    def _move_zone(self, daemon: str, zone: int, step: str) -> int:
        path = f"/v1/availability-zones/{deployments.ZONES[zone]}/{step}"
        author = {"author": daemon}
        return self.deployment.call_operator_api(
            daemon, "POST", path, author
        ).status

    def _read(self, daemon: str) -> dict[str, typing.Any]:
        """Returns the catalogue in force, with its version."""
        answer = self.deployment.call_operator_api(
            daemon, "GET", "/v1/catalogue"
        )
        self.assertEqual(answer.status, http_calls.OK, answer.body)
        return answer.decode()

    def _read_version(self, daemon: str) -> int:
        return int(self._read(daemon)["version"])

    def _check_in_force(self, version: int) -> None:
        """Checks that all daemons have a version in force in time."""
        deadline = time.monotonic() + _IN_FORCE_TIMEOUT_S
        names = list(self.deployment.daemons)
        while True:
            versions = [self._read_version(name) for name in names]
            if versions == [version] * len(names):
                break
            self.assertLess(time.monotonic(), deadline, versions)
            time.sleep(0.05)
        digests = {self._read(name)["digest"] for name in names}
        self.assertEqual(len(digests), 1)

    def test_change_is_in_force_everywhere_while_the_store_is_down(
        self,
    ) -> None:
        self.assertEqual(self._move_zone("d1", 0, "out"), http_calls.OK)
        self.deployment.table.set_faults(down=True)
        self.deployment.objects.set_faults(down=True)
        self._check_in_force(2)

    def test_daemon_started_in_an_outage_has_the_newest_version(self) -> None:
        self.assertEqual(self._move_zone("d1", 0, "out"), http_calls.OK)
        self._check_in_force(2)
        self.deployment.table.kill()
        self.deployment.objects.kill()
        process = self.deployment.add_daemon("late")
        processes.wait_until(lambda: processes.is_ready(process), process)
        self.assertEqual(self._read_version("late"), 2)

    def test_suspended_daemon_catches_up(self) -> None:
        suspended = self.deployment.daemons["d3"]
        suspended.suspend()
        self.addCleanup(suspended.resume)
        self.assertEqual(self._move_zone("d1", 0, "out"), http_calls.OK)
        suspended.resume()
        self._check_in_force(2)

    def test_concurrent_changes_are_all_in_force(self) -> None:
        moves = [("d1", 0, "out"), ("d2", 1, "out")]
        with concurrent.futures.ThreadPoolExecutor() as pool:
            tasks = [pool.submit(self._move_zone, *move) for move in moves]
            statuses = [task.result() for task in tasks]
        self.assertEqual(statuses, [http_calls.OK] * 2)
        self._check_in_force(3)
        zones = self._read("d3")["catalogue"]["availability_zones"]
        self.assertEqual([zone["out"] for zone in zones], [True, True])

    def test_lost_answers_of_the_store_leave_one_outcome(self) -> None:
        for lost in (1, 2):
            with self.subTest(lost=lost):
                before = self._read_version("d1")
                step = "out" if lost == 1 else "in"
                self.deployment.table.set_faults(lose_answers=lost)
                status = self._move_zone("d1", 0, step)
                self.deployment.table.clear_faults()
                self.assertIn(status, (http_calls.OK, 503, 504))
                after = self._read_version("d1")
                if status == http_calls.OK:
                    self.assertEqual(after, before + 1)
                self.assertIn(after, (before, before + 1))
                self._check_in_force(after)


if __name__ == "__main__":
    unittest.main()
