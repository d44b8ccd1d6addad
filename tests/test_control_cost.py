"""Tests for mothpass.daemon.control_cost."""

import unittest
from unittest import mock

from mothpass.adapters import peer_transport
from mothpass.daemon import control_cost
from mothpass.daemon import stores


class ControlCostTest(unittest.TestCase):
    """Tests the rates over the last minute."""

    def setUp(self) -> None:
        self.traffic = peer_transport.PeerTraffic()
        self.store = mock.create_autospec(stores.Store, instance=True)
        self.store.reads = 0
        self.store.writes = 0
        self.store.answered = True
        self.cost = control_cost.ControlCost(
            traffic=self.traffic, store=self.store
        )

    def test_rates_include_both_directions(self) -> None:
        self.cost.record_sample(100.0)
        self.traffic.sent_bytes += 600
        self.traffic.received_bytes += 400
        self.traffic.sent += 3
        self.traffic.received += 2
        self.store.reads += 20
        self.store.writes += 10
        rates = self.cost.compute_rates(110.0)
        self.assertEqual(rates.bytes_per_s, 100.0)
        self.assertEqual(rates.messages_per_s, 0.5)
        self.assertEqual(rates.store_reads_per_s, 2.0)
        self.assertEqual(rates.store_writes_per_s, 1.0)

    def test_samples_expire_after_a_minute(self) -> None:
        self.cost.record_sample(0.0)
        self.traffic.sent_bytes += 1_000_000
        self.cost.record_sample(1.0)
        self.cost.record_sample(61.5)
        self.assertEqual(self.cost.compute_rates(62.0).bytes_per_s, 0.0)

    def test_outage_of_the_store_is_reported(self) -> None:
        self.store.answered = False
        self.assertFalse(self.cost.compute_rates(5.0).store_up)
        self.cost.record_sample(5.0)
        self.assertFalse(self.cost.compute_rates(6.0).store_up)

    def test_rates_are_zero_before_the_first_sample(self) -> None:
        self.assertEqual(self.cost.compute_rates(5.0).bytes_per_s, 0.0)


if __name__ == "__main__":
    unittest.main()
