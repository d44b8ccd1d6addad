"""Tests of what counts as a passed specification."""

import unittest

import minicheck

from spec import results
from spec import runner


def _count_to(most: int, allowed: int) -> minicheck.Protocol:
    """Builds a model that counts up and may not pass a number."""

    def list_moves(state: tuple[int]) -> list[tuple[str, tuple[int]]]:
        return [("up", (state[0] + 1,))] if state[0] < most else []

    return minicheck.Protocol(
        name="count",
        candidate=False,
        fields=("n",),
        initial=(0,),
        transitions=list_moves,
        invariants={"bounded": lambda state: state["n"] <= allowed},
    )


class RunnerTest(unittest.TestCase):
    """Checks models of which the result is known."""

    def test_model_that_holds_with_a_refuted_mutant_passes(self) -> None:
        checked = runner.check_model(
            "count", _count_to(3, 3), {"bound": _count_to(9, 3)}
        )
        self.assertTrue(results.is_passed(checked))
        self.assertEqual(checked.states, 4)
        self.assertEqual(checked.mutants[0].trace, ["up"] * 4)
        self.assertEqual(checked.mutants[0].invariant, "bounded")

    def test_violation_fails_and_shows_its_steps(self) -> None:
        checked = runner.check_model("count", _count_to(3, 1), {})
        self.assertFalse(results.is_passed(checked))
        self.assertEqual(checked.trace, ["up", "up"])

    def test_mutant_that_survives_fails(self) -> None:
        checked = runner.check_model(
            "count", _count_to(3, 3), {"nothing": _count_to(2, 3)}
        )
        self.assertFalse(results.is_passed(checked))

    def test_search_that_is_not_exhaustive_fails(self) -> None:
        most = runner.MOST_STATES
        self.addCleanup(setattr, runner, "MOST_STATES", most)
        runner.MOST_STATES = 10
        checked = runner.check_model("count", _count_to(100, 100), {})
        self.assertFalse(checked.exhaustive)
        self.assertFalse(results.is_passed(checked))


if __name__ == "__main__":
    unittest.main()
