"""Simulates continuous batching: attempts join and leave between steps."""

import heapq
import itertools

import msgspec

from mothpass.standin import attempts
from mothpass.standin import prefix_cache
from mothpass.standin import settings

_US_PER_S = 1_000_000

# Priority, arrival number, attempt.
_QueueItem = tuple[int, int, attempts.Attempt]


class StepCosts(msgspec.Struct, frozen=True, kw_only=True):
    """Costs from which the duration of a step is computed.

    Attributes:
        base_s: Duration of a step with one attempt.
        per_running_s: Time that each further attempt adds.
        per_prefill_token_s: Time that each prefilled prompt token adds.
        prefill_tokens: Maximum number of prompt tokens per step.
    """

    base_s: float
    per_running_s: float
    per_prefill_token_s: float
    prefill_tokens: int


def build_step_costs(options: settings.EngineSettings) -> StepCosts:
    """Builds the step costs from the settings."""
    return StepCosts(
        base_s=options.token_us / _US_PER_S,
        per_running_s=options.token_us_per_running / _US_PER_S,
        per_prefill_token_s=options.prefill_us / _US_PER_S,
        prefill_tokens=options.prefill_tokens_per_step,
    )


class BatchScheduler:
    """Scheduler of the running batch, with a priority queue before it.

    Attributes:
        running: Attempts in the batch.
    """

    __slots__ = (
        "_arrival_numbers",
        "_cache",
        "_decoding",
        "_max_running",
        "_queue",
        "_step_costs",
        "running",
    )

    def __init__(
        self,
        *,
        cache: prefix_cache.PrefixCache,
        max_running: int,
        step_costs: StepCosts,
    ) -> None:
        """Initializes an empty batch and queue.

        Args:
            cache: Prefix cache that is searched for the prompts.
            max_running: Maximum size of the batch.
            step_costs: Costs of a step.
        """
        self._cache = cache
        self._max_running = max_running
        self._step_costs = step_costs
        self._queue: list[_QueueItem] = []
        self._arrival_numbers = itertools.count()
        self._decoding: list[attempts.Attempt] = []
        self.running: list[attempts.Attempt] = []

    @property
    def queued(self) -> int:
        """Number of queued attempts."""
        return len(self._queue)

    @property
    def in_flight(self) -> int:
        """Number of running and queued attempts."""
        return len(self.running) + len(self._queue)

    def add(self, attempt: attempts.Attempt) -> None:
        """Queues an attempt."""
        item = (
            attempt.generation.priority,
            next(self._arrival_numbers),
            attempt,
        )
        heapq.heappush(self._queue, item)

    def remove(self, attempt: attempts.Attempt) -> None:
        """Removes an attempt from the batch or the queue."""
        if attempt in self.running:
            self.running.remove(attempt)
            return
        self._queue = [item for item in self._queue if item[2] is not attempt]
        heapq.heapify(self._queue)

    def clear(self) -> list[attempts.Attempt]:
        """Removes all attempts and returns them."""
        removed = [*self.running, *(item[2] for item in self._queue)]
        self.running = []
        self._decoding = []
        self._queue = []
        return removed

    def plan_step(self) -> float:
        """Admits queued attempts and schedules the work of the next step.

        Returns:
            Duration of the step in seconds.
        """
        while self._queue and len(self.running) < self._max_running:
            self._admit(heapq.heappop(self._queue)[2])
        self._decoding = [
            item for item in self.running if item.prefill_remaining == 0
        ]
        prefill_tokens = self._plan_prefill()
        further_requests = max(len(self.running) - 1, 0)
        return (
            self._step_costs.base_s
            + further_requests * self._step_costs.per_running_s
            + prefill_tokens * self._step_costs.per_prefill_token_s
        )

    def finish_step(self) -> list[attempts.Attempt]:
        """Emits the tokens of the step and returns the finished attempts."""
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
        budget = self._step_costs.prefill_tokens
        for attempt in self.running:
            prefilled = min(attempt.prefill_remaining, budget)
            attempt.prefill_remaining -= prefilled
            budget -= prefilled
        return self._step_costs.prefill_tokens - budget
