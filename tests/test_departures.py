"""Tests of targets that are found replaced at their addresses."""

import random
import unittest

from mothpass.core import departures
from mothpass.core import prompts
from mothpass.core import target_choice
from mothpass.core import target_table
from tests import registrations


class ReplacedTargetsTest(unittest.TestCase):
    """One daemon's targets, its own findings and its peers' reports."""

    def setUp(self) -> None:
        self.table = target_table.TargetTable()
        for number in range(4):
            self.table.put(make_registration(number), 0.0)
        self.departures = departures.DepartureTable()
        self.chooser = target_choice.TargetChooser(
            prompt_caches=prompts.PromptCacheIndex(lifetime_s=60.0),
            count_load=lambda target: target.in_flight,
            count_prefill_backlog=lambda _: 0,
            allows_cold=lambda _: True,
            admits_limited=lambda *_: True,
            random=random.Random(1),
        )

    def choose_all(
        self, now: float, *, alive_since: float | None = None
    ) -> set[str]:
        """Returns the ids of the targets that a series of requests gets."""
        chosen = set()
        usable = self.table.list_usable("models", now)
        for _ in range(200):
            choice = self.chooser.choose(
                usable,
                registered=self.table.list_registered("models"),
                key=None,
                avoided=(),
                can_fetch=False,
                now=now,
                alive_since=alive_since,
            )
            assert choice is not None
            chosen.add(choice.target.id)
        return chosen

    def test_target_that_was_found_replaced_gets_no_more_requests(self) -> None:
        """Guards against rejections by the same target until its row goes."""
        self.departures.record_replaced(self.table.targets["i-0"], 1.0)
        hold_s = departures.REPLACED_HOLD_S
        self.assertNotIn("i-0", self.choose_all(0.9 + hold_s))
        self.assertIn("i-0", self.choose_all(1.1 + hold_s))

    def test_target_that_registers_anew_is_back_at_once(self) -> None:
        """Guards against a hold that outlives the trouble."""
        self.departures.record_replaced(self.table.targets["i-0"], 1.0)
        self.table.put(make_registration(0), 1.2)
        self.assertIn("i-0", self.choose_all(1.3))

    def test_reported_target_gets_requests_after_the_others(self) -> None:
        """Guards against a rejection at each daemon for each target."""
        self.departures.merge(["i-0"], self.table.targets, 1.0)
        self.assertNotIn("i-0", self.choose_all(1.1))

    def test_daemon_that_reports_all_targets_empties_no_table(self) -> None:
        """Guards against one wrong daemon that stops the whole fleet."""
        self.departures.merge(list(self.table.targets), self.table.targets, 1.0)
        self.assertEqual(self.choose_all(1.1), set(self.table.targets))

    def test_report_of_a_target_that_just_answered_is_ignored(self) -> None:
        """Guards against a wrong report about a target that serves."""
        self.table.targets["i-0"].record_success(0.9)
        self.departures.merge(["i-0"], self.table.targets, 1.0)
        self.assertIn("i-0", self.choose_all(1.1))

    def test_report_is_bounded_and_ends(self) -> None:
        """Guards against datagrams that grow with the trouble."""
        for number in range(40):
            target = target_table.Target(
                registration=make_registration(number), now=0.0
            )
            self.departures.record_replaced(target, 1.0 + number / 100)
        reported = self.departures.export(1.5)
        self.assertEqual(len(reported), departures.MAX_REPORTED)
        self.assertEqual(reported[-1], "i-39")
        self.assertEqual(self.departures.export(9.0), [])

    def test_request_that_met_a_replaced_target_prefers_a_live_one(
        self,
    ) -> None:
        """Guards against a request that goes from one ended target to another.

        They were registered at the same time, and end at the same time.
        """
        self.departures.record_replaced(self.table.targets["i-0"], 1.0)
        self.table.targets["i-2"].record_success(1.1)
        start = self.departures.find_start(1.2)
        self.assertEqual(start, 1.0)
        self.assertEqual(self.choose_all(1.2, alive_since=start), {"i-2"})


def make_registration(number: int) -> target_table.Registration:
    """Returns the registration of a target that doesn't state its slots."""
    return registrations.make_registration(
        number, slots=0, started_at_ms=1000 + number
    )


if __name__ == "__main__":
    unittest.main()
