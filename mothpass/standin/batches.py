"""Continuous batching: a bounded batch that changes between two steps."""

import heapq
import itertools

import msgspec

from mothpass.standin import attempts
from mothpass.standin import prefixes
from mothpass.standin import settings

_US_PER_S = 1_000_000

# Priority, order of arrival, attempt.
_Queued = tuple[int, int, attempts.Attempt]


class Steps(msgspec.Struct, frozen=True, kw_only=True):
    """How long steps take.

    Attributes:
        base_s: A step with one request.
        per_running_s: What each further request adds.
        per_prefill_token_s: What each prompt token read adds.
        prefill_tokens: Most prompt tokens read in one step.
    """

    base_s: float
    per_running_s: float
    per_prefill_token_s: float
    prefill_tokens: int


def read_steps(options: settings.EngineSettings) -> Steps:
    """Returns the times of steps as the settings give them."""
    return Steps(
        base_s=options.token_us / _US_PER_S,
        per_running_s=options.token_us_per_running / _US_PER_S,
        per_prefill_token_s=options.prefill_us / _US_PER_S,
        prefill_tokens=options.prefill_tokens_per_step,
    )


class Batch:
    """The requests that run and those that wait, by priority.

    Attributes:
        running: Attempts in the batch.
    """

    __slots__ = (
        "_arrivals",
        "_cache",
        "_decoding",
        "_max_running",
        "_queue",
        "_steps",
        "running",
    )

    def __init__(
        self,
        *,
        cache: prefixes.PrefixCache,
        max_running: int,
        steps: Steps,
    ) -> None:
        """Starts empty.

        Args:
            cache: Where the prompts' cached tokens are found.
            max_running: Attempts that run at once.
            steps: How long steps take.
        """
        self._cache = cache
        self._max_running = max_running
        self._steps = steps
        self._queue: list[_Queued] = []
        self._arrivals = itertools.count()
        self._decoding: list[attempts.Attempt] = []
        self.running: list[attempts.Attempt] = []

    @property
    def queued(self) -> int:
        """Attempts that wait."""
        return len(self._queue)

    @property
    def in_flight(self) -> int:
        """Attempts that run or wait."""
        return len(self.running) + len(self._queue)

    def add(self, attempt: attempts.Attempt) -> None:
        """Lets an attempt wait for a place."""
        item = (attempt.order.priority, next(self._arrivals), attempt)
        heapq.heappush(self._queue, item)

    def remove(self, attempt: attempts.Attempt) -> None:
        """Takes an attempt out wherever it is."""
        if attempt in self.running:
            self.running.remove(attempt)
            return
        self._queue = [item for item in self._queue if item[2] is not attempt]
        heapq.heapify(self._queue)

    def clear(self) -> list[attempts.Attempt]:
        """Takes all attempts out and returns them."""
        removed = [*self.running, *(item[2] for item in self._queue)]
        self.running = []
        self._decoding = []
        self._queue = []
        return removed

    def plan_step(self) -> float:
        """Chooses the work of the next step.

        Returns:
            Seconds that the step takes.
        """
        while self._queue and len(self.running) < self._max_running:
            self._admit(heapq.heappop(self._queue)[2])
        self._decoding = [
            item for item in self.running if item.prefill_left == 0
        ]
        prefill_tokens = self._plan_prefill()
        further = max(len(self.running) - 1, 0)
        return (
            self._steps.base_s
            + further * self._steps.per_running_s
            + prefill_tokens * self._steps.per_prefill_token_s
        )

    def finish_step(self) -> list[attempts.Attempt]:
        """Emits the tokens of the step and returns what finished with it."""
        finished = []
        for attempt in self._decoding:
            if attempt.stopped:
                continue
            attempt.emit()
            if attempt.finished:
                finished.append(attempt)
        for attempt in finished:
            self.running.remove(attempt)
        return finished

    def _admit(self, attempt: attempts.Attempt) -> None:
        attempt.start(cached_tokens=self._cache.count_cached(attempt.blocks))
        self.running.append(attempt)

    def _plan_prefill(self) -> int:
        budget = self._steps.prefill_tokens
        for attempt in self.running:
            taken = min(attempt.prefill_left, budget)
            attempt.prefill_left -= taken
            budget -= taken
        return self._steps.prefill_tokens - budget
