"""Simulates the warm-up of a cold engine."""


class Warmup:
    """Limit on requests in flight that rises with finished answers.

    Attributes:
        warm: Whether the engine is warm, without such a limit.
    """

    __slots__ = (
        "_answer_count",
        "_answers_per_step",
        "_cold_in_flight",
        "_warm_in_flight",
        "warm",
    )

    def __init__(
        self,
        *,
        cold_in_flight: int,
        answers_per_step: int,
        warm_in_flight: int,
        warm: bool,
    ) -> None:
        """Initializes a cold or warm engine.

        Args:
            cold_in_flight: Initial limit on requests in flight.
            answers_per_step: Finished answers that raise the limit by one.
            warm_in_flight: Limit at which the engine is warm.
            warm: Whether the engine starts warm.
        """
        self._cold_in_flight = cold_in_flight
        self._answers_per_step = answers_per_step
        self._warm_in_flight = warm_in_flight
        self._answer_count = 0
        self.warm = warm

    @property
    def cold_in_flight_limit(self) -> int:
        """Limit on requests in flight while the engine is cold."""
        earned_slots = self._answer_count // self._answers_per_step
        return self._cold_in_flight + earned_slots

    def record_answer(self) -> None:
        """Counts a finished answer."""
        self._answer_count += 1
        if self.cold_in_flight_limit >= self._warm_in_flight:
            self.warm = True

    def reset(self) -> None:
        """Makes the engine cold with the initial limit."""
        self._answer_count = 0
        self.warm = False
