"""Tests for mothpass.core.leases with the fake table of the benchmark."""

import unittest

from bench import store
from mothpass.core import errors
from mothpass.core import leases


class LeaseTest(unittest.TestCase):
    """Checks which daemon holds a lease, and until when."""

    def setUp(self) -> None:
        self.table = store.Table()
        self.first = leases.Lease(partition=0, daemon="a")
        self.second = leases.Lease(partition=0, daemon="b")

    def _run(
        self, lease: leases.Lease, now: float, *, candidate: bool = True
    ) -> None:
        """Runs the store calls that are due, in order."""
        for _ in range(4):
            step = lease.plan(candidate=candidate, now=now)
            if step is None:
                return
            self._call(lease, step, now)

    def _call(
        self, lease: leases.Lease, step: leases.Read | leases.Take, now: float
    ) -> None:
        try:
            if isinstance(step, leases.Read):
                lease.record_row(self.table.read(step.key), now)
            elif self.table.write(step.write):
                lease.record_committed(step, now)
            else:
                lease.record_conflict(now)
        except errors.StoreUnavailableError:
            lease.record_unavailable(now)
        except errors.StoreUnconfirmedError:
            lease.record_unconfirmed(now)

    def test_only_the_first_writer_holds_the_lease(self) -> None:
        self._run(self.first, 0.0)
        self._run(self.second, 0.0)
        held = (self.first.is_held(0.0), self.second.is_held(0.0))
        self.assertEqual(held, (True, False))

    def test_lease_of_a_silent_holder_is_taken_after_it_ends(
        self,
    ) -> None:
        self._run(self.first, 0.0)
        now = 0.0
        while not self.second.is_held(now):
            now += 1.0
            self._run(self.second, now)
        self.assertFalse(self.first.is_held(now))
        self.assertGreater(self.second.fencing, self.first.fencing)

    def test_renewal_keeps_the_fencing_token(self) -> None:
        for now in range(40):
            self._run(self.first, float(now))
            self._run(self.second, float(now))
        self.assertTrue(self.first.is_held(39.0))
        self.assertEqual((self.first.fencing, self.first.taken_at), (1, 0.0))

    def test_write_whose_answer_was_lost_is_read_back(self) -> None:
        self.table.lose_answers = True
        step = self.first.plan(candidate=True, now=0.0)
        assert isinstance(step, leases.Read)
        self._call(self.first, step, 0.0)
        step = self.first.plan(candidate=True, now=0.0)
        assert step is not None
        self._call(self.first, step, 0.0)
        self.assertFalse(self.first.is_held(0.0))
        self._run(self.first, 1.0)
        self.assertTrue(self.first.is_held(10.9))
        self.assertFalse(self.first.is_held(11.0))

    def test_lease_ends_while_the_store_is_down(self) -> None:
        self._run(self.first, 0.0)
        self.table.down = True
        for now in range(1, 12):
            self._run(self.first, float(now))
        self.assertFalse(self.first.is_held(11.0))

    def test_released_lease_is_free_at_once(self) -> None:
        self._run(self.first, 0.0)
        step = self.first.release(1.0)
        assert step is not None
        self.assertFalse(self.first.is_held(1.0))
        self._call(self.first, step, 1.0)
        self._run(self.second, 1.0)
        self.assertTrue(self.second.is_held(1.0))


if __name__ == "__main__":
    unittest.main()
