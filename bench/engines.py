"""A fake model engine: batch, bounded prefix cache and cold start.

The times are those of a small engine: what matters to the measures is that
a prompt that is not cached costs seconds, that a cold engine falls over when
pushed, and that reports lag.
"""

import collections
from collections import abc

from bench import clock
from mothpass.core import catalogue
from mothpass.ports import targets as targets_port

PREFILL_TOKENS_PER_S = 20000.0
FIRST_TOKEN_S = 0.05
TOKEN_S = 0.043
COLD_FACTOR = 3.0


class Work:
    """One call at an engine.

    Attributes:
        chat: The chat.
        prompt_tokens: Length of the prompt.
        output_tokens: Length of the answer.
        cached_tokens: Prompt tokens found in the cache.
        first_token_at: Virtual seconds, None before the first token.
        on_first_token: Called at the first token.
        on_end: Called with whether the answer is whole.
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
        """Describes a call that has not started."""
        self.chat = chat
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.cached_tokens = 0
        self.first_token_at: float | None = None
        self.on_first_token = on_first_token
        self.on_end = on_end


class Engine:
    """One engine in virtual time.

    Attributes:
        id: Instance id.
        boot: Count of its starts.
        up: Whether it takes calls.
        fell_over: How often more than it bears was in flight.
        peak_over: Most calls in flight above what it bore at that moment.
        finished: Answers since it started or turned cold.
    """

    __slots__ = (
        "_cache",
        "_cache_tokens",
        "_cached",
        "_loop",
        "_queue",
        "_running",
        "_start",
        "_batch",
        "_falls_over",
        "_prefill_free_at",
        "_restart_s",
        "boot",
        "cold",
        "fell_over",
        "finished",
        "id",
        "peak_over",
        "up",
    )

    def __init__(
        self,
        *,
        loop: clock.Loop,
        engine_id: str,
        batch: int,
        cache_tokens: int,
        cold_start: catalogue.ColdStart,
        cold: bool,
        falls_over: bool = True,
        restart_s: float = 4.0,
    ) -> None:
        """Starts warm or cold, with an empty cache."""
        self.id = engine_id
        self.boot = 1
        self.up = True
        self.cold = cold
        self.fell_over = 0
        self.peak_over = 0
        self.finished = 0
        self._falls_over = falls_over
        self._restart_s = restart_s
        self._loop = loop
        self._batch = batch
        self._start = cold_start
        self._cache_tokens = cache_tokens
        self._cached = 0
        self._cache: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._running: set[Work] = set()
        self._queue: collections.deque[Work] = collections.deque()
        self._prefill_free_at = 0.0

    @property
    def boot_id(self) -> str:
        """Boot id of the present start."""
        return f"{self.id}-{self.boot}"

    @property
    def running(self) -> int:
        """Calls in the batch."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Calls that wait."""
        return len(self._queue)

    @property
    def in_flight(self) -> int:
        """Calls in the batch or waiting."""
        return len(self._running) + len(self._queue)

    @property
    def phase(self) -> targets_port.Phase:
        """What it says of itself."""
        if self.cold:
            return targets_port.Phase.COLD
        return targets_port.Phase.WARM

    @property
    def bears(self) -> int:
        """Calls in flight that it bears while cold."""
        earned = self.finished // self._start.answers_per_step
        return min(self._start.in_flight + earned, self._start.warm_in_flight)

    def find_cached(self, chat: int) -> int:
        """Returns how many tokens of a chat are cached."""
        return self._cache.get(chat, 0)

    def take(self, work: Work) -> bool:
        """Takes a call; False where the engine is down."""
        if not self.up:
            return False
        self._queue.append(work)
        if self.cold and self.in_flight > self.bears:
            self.peak_over = max(self.peak_over, self.in_flight - self.bears)
            if self._falls_over:
                self.fell_over += 1
                self.crash()
                return True
        self._fill_batch()
        return True

    def crash(self) -> None:
        """Loses all calls and the cache, and starts again cold."""
        lost = [*self._running, *self._queue]
        self._running.clear()
        self._queue.clear()
        self._cache.clear()
        self._cached = 0
        self.up = False
        for work in lost:
            work.on_end(False)
        self._loop.call_later(self._restart_s, self.start)

    def start(self) -> None:
        """Comes up cold under a new boot id."""
        if not self.up:
            self.boot += 1
            self.up = True
            self.turn_cold()

    def turn_cold(self) -> None:
        """Turns cold without a restart."""
        self.cold = True
        self.finished = 0
        self._cache.clear()
        self._cached = 0

    def _fill_batch(self) -> None:
        while self._queue and len(self._running) < self._batch:
            self._begin(self._queue.popleft())

    def _begin(self, work: Work) -> None:
        self._running.add(work)
        work.cached_tokens = min(
            self.find_cached(work.chat), work.prompt_tokens
        )
        factor = COLD_FACTOR if self.cold else 1.0
        fresh = work.prompt_tokens - work.cached_tokens
        begin = max(self._loop.now, self._prefill_free_at)
        self._prefill_free_at = begin + fresh / PREFILL_TOKENS_PER_S * factor
        first = self._prefill_free_at + FIRST_TOKEN_S * factor
        self._store(work.chat, work.prompt_tokens + work.output_tokens)
        self._loop.call_at(first, lambda: self._show_first(work))
        end = first + work.output_tokens * TOKEN_S
        self._loop.call_at(end, lambda: self._end(work))

    def _show_first(self, work: Work) -> None:
        if work in self._running:
            work.first_token_at = self._loop.now
            work.on_first_token()

    def _end(self, work: Work) -> None:
        if work not in self._running:
            return
        self._running.discard(work)
        self.finished += 1
        if self.cold and self.bears >= self._start.warm_in_flight:
            self.cold = False
        self._fill_batch()
        work.on_end(True)

    def _store(self, chat: int, tokens: int) -> None:
        """Keeps a chat's prefix and drops the chats used longest ago."""
        self._cached += tokens - self._cache.pop(chat, 0)
        self._cache[chat] = tokens
        while self._cached > self._cache_tokens and len(self._cache) > 1:
            _, dropped = self._cache.popitem(last=False)
            self._cached -= dropped
