"""What a cold target bears at this moment, earned by finished answers."""

from collections import abc

from mothpass.core import catalogue

RESERVE_SHARE = 4


def count_reserve(start: catalogue.ColdStart) -> int:
    """Returns how much of what a cold target bears no gate may grant.

    The reserve is taken from what a target bears right after its start, and
    does not grow, so that its holders need no news to know it.
    """
    return max(1, start.in_flight // RESERVE_SHARE)


class Ramp:
    """Count of finished answers since the start of a target.

    Attributes:
        start: The model's cold start.
        finished: Answers that finished since the target started.
    """

    __slots__ = ("finished", "start")

    def __init__(self, *, start: catalogue.ColdStart) -> None:
        """Starts with no answer finished."""
        self.start = start
        self.finished = 0

    @property
    def max_in_flight(self) -> int:
        """Calls in flight that the target bears now."""
        earned = self.finished // self.start.answers_per_step
        return min(self.start.in_flight + earned, self.start.warm_in_flight)

    def record_answer(self) -> None:
        """Counts one finished answer."""
        self.finished += 1

    def restart(self) -> None:
        """Forgets what was earned, as the target has started again."""
        self.finished = 0


def find_cold_start(
    catalogue_in_force: catalogue.Catalogue, serves: abc.Iterable[str]
) -> catalogue.ColdStart | None:
    """Returns the cold start of a target, None where it serves no model.

    Args:
        catalogue_in_force: The catalogue.
        serves: Models and services of the target; of several models the one
            that bears least counts.
    """
    names = set(serves)
    starts = [
        model.cold_start
        for model in catalogue_in_force.models
        if model.name in names
    ]
    return min(starts, key=lambda start: start.in_flight, default=None)
