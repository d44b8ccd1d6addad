"""Tests for spec.runner and spec.results."""

import unittest

import minicheck

from spec import results
from spec import runner


def _build_counter(last: int, bound: int) -> minicheck.Protocol:
    """Builds a model that counts to a number and must not pass a bound."""

    def list_transitions(state: tuple[int]) -> list[tuple[str, tuple[int]]]:
        return [("up", (state[0] + 1,))] if state[0] < last else []

    return minicheck.Protocol(
        name="count",
        candidate=False,
        fields=("n",),
        initial=(0,),
        transitions=list_transitions,
        invariants={"bounded": lambda state: state["n"] <= bound},
    )


class RunnerTest(unittest.TestCase):
    """Checks models whose result is known."""

    def test_model_that_holds_with_a_refuted_mutant_passes(self) -> None:
        checked = runner.check_model(
            "count", _build_counter(3, 3), {"bound": _build_counter(9, 3)}
        )
        self.assertTrue(results.is_passed(checked))
        self.assertEqual(checked.states, 4)
        self.assertEqual(checked.mutants[0].trace, ["up"] * 4)
        self.assertEqual(checked.mutants[0].invariant, "bounded")

    def test_violation_fails_and_shows_its_steps(self) -> None:
        checked = runner.check_model("count", _build_counter(3, 1), {})
        self.assertFalse(results.is_passed(checked))
        self.assertEqual(checked.trace, ["up", "up"])

    def test_mutant_that_survives_fails(self) -> None:
        checked = runner.check_model(
            "count", _build_counter(3, 3), {"nothing": _build_counter(2, 3)}
        )
        self.assertFalse(results.is_passed(checked))

    def test_search_that_is_not_exhaustive_fails(self) -> None:
        max_states = runner.MAX_STATES
        self.addCleanup(setattr, runner, "MAX_STATES", max_states)
        runner.MAX_STATES = 10
        checked = runner.check_model("count", _build_counter(100, 100), {})
        self.assertFalse(checked.exhaustive)
        self.assertFalse(results.is_passed(checked))


if __name__ == "__main__":
    unittest.main()
