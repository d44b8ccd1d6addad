"""What a stand-in engine bears while it is cold."""


class Warmup:
    """Requests in flight that an engine bears, grown by finished answers.

    Attributes:
        warm: Whether it bears all it is made for.
    """

    __slots__ = (
        "_answers",
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
        """Starts cold or warm.

        Args:
            cold_in_flight: Requests in flight that it bears at first.
            answers_per_step: Finished answers that let it bear one more.
            warm_in_flight: Requests in flight from which it is warm.
            warm: Whether it starts warm.
        """
        self._cold_in_flight = cold_in_flight
        self._answers_per_step = answers_per_step
        self._warm_in_flight = warm_in_flight
        self._answers = 0
        self.warm = warm

    @property
    def bears(self) -> int:
        """Requests in flight that it bears while it is cold."""
        earned = self._answers // self._answers_per_step
        return self._cold_in_flight + earned

    def record_answer(self) -> None:
        """Notes a finished answer."""
        self._answers += 1
        if self.bears >= self._warm_in_flight:
            self.warm = True

    def turn_cold(self) -> None:
        """Goes back to the start."""
        self._answers = 0
        self.warm = False
