"""Tests for mothpass.daemon.control_assembly."""

import unittest
from unittest import mock

from mothpass.core import gate_table
from mothpass.daemon import control_assembly
from mothpass.ports import members
from tests import daemon_parts


class GateFeedTest(unittest.TestCase):
    """Checks which load reports a daemon's gates are shown."""

    def setUp(self) -> None:
        self.daemon = daemon_parts.Daemon(target_count=2)
        self.gates = mock.create_autospec(gate_table.GateTable, instance=True)
        self.feed = control_assembly.GateFeed(
            gates=self.gates, router=self.daemon.router
        )

    def _list_shown(self) -> list[tuple[str, str]]:
        """Returns target and boot id of each report shown since last."""
        shown = [
            (call.args[0].target_id, call.args[0].boot_id)
            for call in self.gates.record_load.call_args_list
        ]
        self.gates.record_load.reset_mock()
        return sorted(shown)

    def test_shows_each_report_once(self) -> None:
        self.feed.show_new()
        self.assertEqual(self._list_shown(), [("t0", "boot"), ("t1", "boot")])
        self.feed.show_new()
        self.assertEqual(self._list_shown(), [])
        self.daemon.restart_targets("second")
        self.feed.show_new()
        self.assertEqual(
            self._list_shown(), [("t0", "second"), ("t1", "second")]
        )

    def test_forgets_targets_that_are_gone(self) -> None:
        self.feed.show_new()
        nobody = members.Members(revision=2, instances=[])
        self.daemon.router.set_members(nobody, now=0.0)
        self.feed.show_new()
        (forgotten,) = self.gates.forget.call_args.args
        self.assertEqual(set(forgotten), {"t0", "t1"})


if __name__ == "__main__":
    unittest.main()
