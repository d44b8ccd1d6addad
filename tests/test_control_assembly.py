"""Tests for mothpass.daemon.control_assembly."""

import unittest
from unittest import mock

from mothpass.core import gate_table
from mothpass.daemon import control_assembly
from mothpass.ports import members
from tests import daemon_parts


class GateLoadForwarderTest(unittest.TestCase):
    """Tests which load reports are forwarded to the gates."""

    def setUp(self) -> None:
        self.daemon = daemon_parts.Daemon(target_count=2)
        self.gates = mock.create_autospec(gate_table.GateTable, instance=True)
        self.load_forwarder = control_assembly.GateLoadForwarder(
            gates=self.gates, router=self.daemon.router
        )

    def _list_forwarded(self) -> list[tuple[str, str]]:
        """Returns target and boot id of the reports since the last call."""
        forwarded = [
            (call.args[0].target_id, call.args[0].boot_id)
            for call in self.gates.record_load.call_args_list
        ]
        self.gates.record_load.reset_mock()
        return sorted(forwarded)

    def test_forwards_each_report_once(self) -> None:
        self.load_forwarder.forward_new_reports()
        self.assertEqual(
            self._list_forwarded(), [("t0", "boot"), ("t1", "boot")]
        )
        self.load_forwarder.forward_new_reports()
        self.assertEqual(self._list_forwarded(), [])
        self.daemon.restart_targets("second")
        self.load_forwarder.forward_new_reports()
        self.assertEqual(
            self._list_forwarded(), [("t0", "second"), ("t1", "second")]
        )

    def test_removes_targets_that_left_the_list(self) -> None:
        self.load_forwarder.forward_new_reports()
        empty_listing = members.Members(revision=2, instances=[])
        self.daemon.router.set_members(empty_listing, now=0.0)
        self.load_forwarder.forward_new_reports()
        (removed,) = self.gates.remove_targets.call_args.args
        self.assertEqual(set(removed), {"t0", "t1"})


if __name__ == "__main__":
    unittest.main()
