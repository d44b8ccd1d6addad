"""Limits the requests in flight at a cold target while it warms up.

The limit starts low and grows with the answers that the target finishes.
"""

from collections import abc

from mothpass.core import catalogue

# The reserve is this fraction (1/n) of a target's initial limit.
RESERVE_DIVISOR = 4


def count_reserve(start: catalogue.ColdStart) -> int:
    """Returns the part of a cold target's limit that no gate may grant.

    The reserve is a fraction of the target's limit right after its start and
    doesn't grow, so that daemons compute it without any messages.
    """
    return max(1, start.in_flight // RESERVE_DIVISOR)


class Ramp:
    """Limit on the requests in flight at a cold target, grown by answers.

    Attributes:
        start: The model's cold start settings.
        finished: Answers finished since the target started.
    """

    __slots__ = ("finished", "start")

    def __init__(self, *, start: catalogue.ColdStart) -> None:
        """Starts without finished answers.

        Args:
            start: The model's cold start settings.
        """
        self.start = start
        self.finished = 0

    @property
    def max_in_flight(self) -> int:
        """Requests in flight that the target can take now."""
        earned = self.finished // self.start.answers_per_step
        return min(self.start.in_flight + earned, self.start.warm_in_flight)

    def record_answer(self) -> None:
        """Counts a finished answer."""
        self.finished += 1

    def restart(self) -> None:
        """Resets the limit, as the target has started again."""
        self.finished = 0


def find_cold_start(
    catalogue_in_force: catalogue.Catalogue, serves: abc.Iterable[str]
) -> catalogue.ColdStart | None:
    """Returns the cold start settings of a target, None without a model.

    Args:
        catalogue_in_force: The catalogue in force.
        serves: Names of the models and services of the target; of several
            models, the one with the lowest initial limit counts.
    """
    names = set(serves)
    starts = [
        model.cold_start
        for model in catalogue_in_force.models
        if model.name in names
    ]
    return min(starts, key=lambda start: start.in_flight, default=None)
