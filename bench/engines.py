"""Simulates a model engine with a batch, a prefix cache and a cold start.

The times are those of a small engine. The measures rest on three properties:
a prompt that is not cached costs seconds, a cold engine dies when it is
overloaded, and load reports lag.
"""

import collections
from collections import abc

from bench import clock
from mothpass.core import catalogue
from mothpass.ports import targets as targets_port

PREFILL_TOKENS_PER_S = 20000.0
FIRST_TOKEN_DELAY_S = 0.05
TOKEN_INTERVAL_S = 0.043
COLD_SLOWDOWN = 3.0


class Attempt:
    """One attempt at an engine.

    Attributes:
        chat: 64-bit hash of the chat.
        prompt_tokens: Length of the prompt.
        output_tokens: Length of the answer.
        cached_tokens: Prompt tokens found in the cache.
        first_token_at: Virtual time of the first token, None before it.
        on_first_token: Called when the first token is sent.
        on_end: Called at the end with whether the answer is complete.
    """

    __slots__ = (
        "cached_tokens",
        "chat",
        "first_token_at",
        "on_end",
        "on_first_token",
        "output_tokens",
        "prompt_tokens",
    )

    def __init__(
        self,
        *,
        chat: int,
        prompt_tokens: int,
        output_tokens: int,
        on_first_token: abc.Callable[[], None],
        on_end: abc.Callable[[bool], None],
    ) -> None:
        """Creates an attempt that has not started."""
        self.chat = chat
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.cached_tokens = 0
        self.first_token_at: float | None = None
        self.on_first_token = on_first_token
        self.on_end = on_end


class Engine:
    """A model engine in virtual time.

    Attributes:
        id: Instance id.
        boot_number: Number of starts so far.
        up: Whether it accepts attempts.
        cold: Whether it is cold.
        overload_deaths: Times that it died of too many attempts in flight
            while cold.
        peak_excess: Largest number of attempts in flight above the cold limit
            of that moment.
        finished: Answers since it started or became cold.
    """

    __slots__ = (
        "_batch_size",
        "_cache",
        "_cached_tokens",
        "_cold_start",
        "_dies_when_overloaded",
        "_loop",
        "_max_cached_tokens",
        "_prefill_free_at",
        "_queue",
        "_restart_s",
        "_running",
        "boot_number",
        "cold",
        "finished",
        "id",
        "overload_deaths",
        "peak_excess",
        "up",
    )

    def __init__(
        self,
        *,
        loop: clock.EventLoop,
        engine_id: str,
        batch_size: int,
        cache_tokens: int,
        cold_start: catalogue.ColdStart,
        cold: bool,
        dies_when_overloaded: bool = True,
        restart_s: float = 4.0,
    ) -> None:
        """Starts warm or cold, with an empty cache."""
        self.id = engine_id
        self.boot_number = 1
        self.up = True
        self.cold = cold
        self.overload_deaths = 0
        self.peak_excess = 0
        self.finished = 0
        self._dies_when_overloaded = dies_when_overloaded
        self._restart_s = restart_s
        self._loop = loop
        self._batch_size = batch_size
        self._cold_start = cold_start
        self._max_cached_tokens = cache_tokens
        self._cached_tokens = 0
        self._cache: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        # A dict iterates in insertion order, unlike a set, so runs repeat.
        self._running: dict[Attempt, None] = {}
        self._queue: collections.deque[Attempt] = collections.deque()
        self._prefill_free_at = 0.0

    @property
    def boot_id(self) -> str:
        """Boot id of the present start."""
        return f"{self.id}-{self.boot_number}"

    @property
    def running(self) -> int:
        """Number of attempts in the batch."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of attempts that wait for the batch."""
        return len(self._queue)

    @property
    def in_flight(self) -> int:
        """Number of attempts in the batch or waiting."""
        return len(self._running) + len(self._queue)

    @property
    def phase(self) -> targets_port.Phase:
        """Phase that it reports."""
        if self.cold:
            return targets_port.Phase.COLD
        return targets_port.Phase.WARM

    @property
    def cold_limit(self) -> int:
        """Attempts in flight that it survives while cold."""
        earned_slots = self.finished // self._cold_start.answers_per_step
        return min(
            self._cold_start.in_flight + earned_slots,
            self._cold_start.warm_in_flight,
        )

    def count_cached_tokens(self, chat: int) -> int:
        """Returns how many tokens of a chat are cached."""
        return self._cache.get(chat, 0)

    def enqueue(self, attempt: Attempt) -> bool:
        """Queues an attempt; returns False where the engine is down."""
        if not self.up:
            return False
        self._queue.append(attempt)
        if self.cold and self.in_flight > self.cold_limit:
            self.peak_excess = max(
                self.peak_excess, self.in_flight - self.cold_limit
            )
            if self._dies_when_overloaded:
                self.overload_deaths += 1
                self.crash()
                return True
        self._fill_batch()
        return True

    def crash(self) -> None:
        """Loses all attempts and the cache, and schedules a cold restart."""
        lost = [*self._running, *self._queue]
        self._running.clear()
        self._queue.clear()
        self._cache.clear()
        self._cached_tokens = 0
        self.up = False
        for attempt in lost:
            attempt.on_end(False)
        self._loop.call_later(self._restart_s, self.start)

    def start(self) -> None:
        """Starts cold under a new boot id."""
        if not self.up:
            self.boot_number += 1
            self.up = True
            self.become_cold()

    def become_cold(self) -> None:
        """Becomes cold without a restart."""
        self.cold = True
        self.finished = 0
        self._cache.clear()
        self._cached_tokens = 0

    def _fill_batch(self) -> None:
        while self._queue and len(self._running) < self._batch_size:
            self._start_attempt(self._queue.popleft())

    def _start_attempt(self, attempt: Attempt) -> None:
        self._running[attempt] = None
        attempt.cached_tokens = min(
            self.count_cached_tokens(attempt.chat), attempt.prompt_tokens
        )
        slowdown = COLD_SLOWDOWN if self.cold else 1.0
        uncached_tokens = attempt.prompt_tokens - attempt.cached_tokens
        prefill_start = max(self._loop.now, self._prefill_free_at)
        self._prefill_free_at = (
            prefill_start + uncached_tokens / PREFILL_TOKENS_PER_S * slowdown
        )
        first_at = self._prefill_free_at + FIRST_TOKEN_DELAY_S * slowdown
        self._cache_prompt(
            attempt.chat, attempt.prompt_tokens + attempt.output_tokens
        )
        self._loop.call_at(first_at, lambda: self._emit_first_token(attempt))
        finish_at = first_at + attempt.output_tokens * TOKEN_INTERVAL_S
        self._loop.call_at(finish_at, lambda: self._finish_attempt(attempt))

    def _emit_first_token(self, attempt: Attempt) -> None:
        if attempt in self._running:
            attempt.first_token_at = self._loop.now
            attempt.on_first_token()

    def _finish_attempt(self, attempt: Attempt) -> None:
        if attempt not in self._running:
            return
        del self._running[attempt]
        self.finished += 1
        if self.cold and self.cold_limit >= self._cold_start.warm_in_flight:
            self.cold = False
        self._fill_batch()
        attempt.on_end(True)

    def _cache_prompt(self, chat: int, tokens: int) -> None:
        """Caches a chat's prompt and evicts the least recently used chats."""
        self._cached_tokens += tokens - self._cache.pop(chat, 0)
        self._cache[chat] = tokens
        while (
            self._cached_tokens > self._max_cached_tokens
            and len(self._cache) > 1
        ):
            _, evicted_tokens = self._cache.popitem(last=False)
            self._cached_tokens -= evicted_tokens
