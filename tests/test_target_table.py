"""Tests of the table of registered targets."""

import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from mothpass.core import target_table

_ADDRESS = "10.0.0.1:80"


class AddressTest(unittest.TestCase):
    """Targets that are replaced at the same address."""

    def setUp(self) -> None:
        self.table = target_table.TargetTable()
        self.old = _make_registration("i-old", started_at_ms=1000)
        self.new = _make_registration("i-new", started_at_ms=2000)

    def test_new_registration_ends_the_old_one_at_its_address(self) -> None:
        """Guards against requests to a target whose address another one has."""
        self.table.put(self.old, 0.0)
        self.table.put(self.new, 1.0)
        self.assertEqual(self.list_usable_ids(), ["i-new"])

    def test_old_registration_that_arrives_late_is_not_used(self) -> None:
        """Guards against the same where the rows come in the other order."""
        self.table.put(self.new, 0.0)
        self.table.put(self.old, 1.0)
        self.assertEqual(self.list_usable_ids(), ["i-new"])

    def test_old_registration_is_used_again_when_the_later_one_goes(
        self,
    ) -> None:
        """Guards against a wrong entry that ends a target for good."""
        self.table.put(self.old, 0.0)
        self.table.put(self.new, 1.0)
        self.table.remove("i-new")
        self.assertEqual(self.list_usable_ids(), ["i-old"])

    def test_target_that_moves_to_another_address_is_used(self) -> None:
        """Guards against a claim that outlives a target's address."""
        self.table.put(self.old, 0.0)
        self.table.put(self.new, 1.0)
        moved = msgspec.structs.replace(self.old, address="10.0.0.2:80")
        self.table.put(moved, 2.0)
        self.assertEqual(self.list_usable_ids(), ["i-new", "i-old"])

    def list_usable_ids(self) -> list[str]:
        """Returns the ids of the targets that may get requests."""
        return [target.id for target in self.table.list_usable("models", 9.0)]


def _vary_registration(
    target_id: str,
    service: str,
    address: str,
    started_at_ms: int | None,
    is_draining: bool,
) -> target_table.Registration:
    return msgspec.structs.replace(
        _make_registration(target_id, started_at_ms=started_at_ms),
        service=service,
        address=address,
        is_draining=is_draining,
    )


_REGISTRATIONS = strategies.builds(
    _vary_registration,
    strategies.sampled_from(["i-1", "i-2"]),
    strategies.sampled_from(["models", "plain"]),
    strategies.sampled_from(["10.0.0.1:80", "10.0.0.2:80"]),
    strategies.sampled_from([None, 1000, 2000]),
    strategies.booleans(),
)
# A registration, or the id of one that ends.
_CHANGES = strategies.lists(
    _REGISTRATIONS | strategies.sampled_from(["i-1", "i-2"]), max_size=12
)


class OneRecordTest(unittest.TestCase):
    """Registrations that go back and forth, whoever wrote them."""

    def test_former_start_leaves_no_second_record(self) -> None:
        """Guards against a record that no later registration reaches."""
        table = target_table.TargetTable()
        own = _make_registration("i-1", started_at_ms=1000)
        torn = _make_registration("i-1", started_at_ms=None)
        for number, registration in enumerate((own, torn, own)):
            table.put(registration, float(number))
        draining = msgspec.structs.replace(own, is_draining=True)
        table.put(draining, 3.0)
        self.assertEqual(table.list_usable("models", 9.0), [])

    def test_state_of_a_start_outlives_a_torn_registration(self) -> None:
        """Guards against a pause that is forgotten with one entry."""
        table = target_table.TargetTable()
        own = _make_registration("i-1", started_at_ms=1000)
        table.put(own, 0.0)
        table.targets["i-1"].paused_until = 60.0
        table.put(_make_registration("i-1", started_at_ms=None), 1.0)
        self.assertFalse(table.put(own, 2.0))
        self.assertEqual(table.list_usable("models", 9.0), [])

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(_CHANGES)
    def test_all_indexes_hold_what_the_last_registration_said(
        self, changes: list[target_table.Registration | str]
    ) -> None:
        """Guards against targets that one index has and another hasn't."""
        table = target_table.TargetTable()
        expected: dict[str, target_table.Registration] = {}
        for number, change in enumerate(changes):
            if isinstance(change, str):
                table.remove(change)
                expected.pop(change, None)
            else:
                table.put(change, float(number))
                expected[change.id] = change
            self.check(table, expected)

    def check(
        self,
        table: target_table.TargetTable,
        expected: dict[str, target_table.Registration],
    ) -> None:
        """Checks each index against the last registrations."""
        known = {key: item.registration for key, item in table.targets.items()}
        self.assertEqual(known, expected)
        self.assertFalse(any(item.is_gone for item in table.targets.values()))
        for service in ("models", "plain"):
            listed = [item.id for item in table.list_registered(service)]
            wanted = [
                key for key, item in expected.items() if item.service == service
            ]
            self.assertEqual(sorted(listed), sorted(wanted))
        owned = [
            item.address
            for key, item in expected.items()
            if key not in table._owners.superseded
        ]
        # Each address has one owner.
        self.assertEqual(
            sorted(owned), sorted({item.address for item in expected.values()})
        )


class FormerTargetsTest(unittest.TestCase):
    """Targets whose registration ends and comes back."""

    def setUp(self) -> None:
        self.table = target_table.TargetTable()

    def register(self, target_id: str, started_at_ms: int | None) -> bool:
        """Returns whether a registration shows a start that is new."""
        registration = _make_registration(
            target_id, started_at_ms=started_at_ms
        )
        return self.table.put(registration, 1.0)

    def test_same_start_comes_back_as_it_was(self) -> None:
        """Guards against state that ends with the registration."""
        self.register("i-1", 1000)
        target = self.table.targets["i-1"]
        target.is_leaving = True
        target.in_flight = 2
        self.table.remove("i-1")
        self.assertTrue(target.is_gone)
        self.assertFalse(self.register("i-1", 1000))
        self.assertIs(self.table.targets["i-1"], target)
        self.assertFalse(target.is_gone)
        self.assertEqual(self.table.list_usable("models", 2.0), [])
        self.assertEqual(self.table.list_registered("models"), [target])

    def test_new_or_unknown_start_begins_anew(self) -> None:
        """Guards against a mark that outlives the process that set it."""
        for first, second in ((1000, 2000), (None, None)):
            self.register("i-1", first)
            self.table.targets["i-1"].is_leaving = True
            self.table.remove("i-1")
            self.assertTrue(self.register("i-1", second))
            self.assertFalse(self.table.targets["i-1"].is_leaving)
            self.table.remove("i-1")

    def test_former_targets_are_bounded(self) -> None:
        """Guards against memory that grows with each target that was."""
        for number in range(1500):
            self.register(f"i-{number}", 1000)
            self.table.remove(f"i-{number}")
        self.assertFalse(self.register("i-1499", 1000))
        self.assertTrue(self.register("i-0", 1000))


class DispatchCountTest(unittest.TestCase):
    """Attempts that are counted against a target's rate and limit."""

    def setUp(self) -> None:
        table = target_table.TargetTable()
        table.put(_make_registration("i-1", started_at_ms=1000), 0.0)
        self.target = table.targets["i-1"]

    def count(self, now: float) -> tuple[int, int]:
        """Returns the counts for the rate of cold targets and the limit."""
        limit = self.target.limit.count(now)
        return self.target.count_dispatches(now), limit.sent

    def test_attempt_counts_from_when_it_leaves(self) -> None:
        """Guards against seconds in which two seconds' attempts arrive."""
        self.target.reserve_slot()
        self.assertEqual(self.count(0.0), (1, 1))
        self.assertEqual(self.count(9.0), (1, 1))
        self.target.record_sent(9.0)
        self.assertEqual(self.count(9.9), (1, 1))
        self.target.release_slot(was_sent=True)
        self.assertEqual(self.count(9.9), (1, 1))
        self.assertEqual(self.count(10.1), (0, 1))
        self.assertEqual(self.count(14.0), (0, 0))

    def test_attempt_that_never_left_does_not_count(self) -> None:
        """Guards against rates that unsent attempts use up."""
        self.target.reserve_slot()
        self.target.release_slot(was_sent=False)
        self.assertEqual(self.count(0.1), (0, 0))
        self.assertEqual(self.target.in_flight, 0)


def _make_registration(
    target_id: str, *, started_at_ms: int | None
) -> target_table.Registration:
    return target_table.Registration(
        id=target_id,
        service="models",
        address=_ADDRESS,
        availability_zone="zone-a",
        slots=4,
        is_draining=False,
        cold_left_s=0.0,
        started_at_ms=started_at_ms,
    )
