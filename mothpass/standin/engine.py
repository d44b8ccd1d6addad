"""Simulates a model engine with batching, a prefix cache and a cold start."""

import asyncio
import os
import random
import time

import msgspec

from mothpass.ports import members
from mothpass.ports import targets
from mothpass.standin import attempts
from mothpass.standin import batches
from mothpass.standin import cache_events
from mothpass.standin import faults
from mothpass.standin import identities
from mothpass.standin import load_history
from mothpass.standin import prefix_cache
from mothpass.standin import settings
from mothpass.standin import warmups

EXIT_OVERLOADED = 70
EXIT_CRASHED = 72
_MS_PER_S = 1000
_EXPIRY_INTERVAL_S = 0.05


class Stats(msgspec.Struct, kw_only=True):
    """Counters of the engine since its process started.

    Attributes:
        started: Attempts that were accepted.
        finished: Attempts that ended with their last event.
        cancelled: Attempts that were cancelled or expired without a reader.
        refused: Requests rejected because the queue was full.
        deaths: Restarts in place after an overload or a crash.
        peak_in_flight: Maximum number of attempts in flight.
        peak_in_flight_cold: Maximum number in flight while it was cold.
        peak_past_cold: Maximum number in flight beyond the cold limit while
            it was cold.
        prompt_tokens: Prompt tokens of all finished attempts.
        cached_tokens: Prompt tokens of finished attempts that were cached.
        last_start_age_ms: Time since the last accepted attempt; None before
            the first.
    """

    started: int = 0
    finished: int = 0
    cancelled: int = 0
    refused: int = 0
    deaths: int = 0
    peak_in_flight: int = 0
    peak_in_flight_cold: int = 0
    peak_past_cold: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    last_start_age_ms: int | None = None


class Engine:
    """State of one engine.

    Attributes:
        options: Settings.
        fault_state: Injected faults.
        identity: Instance id and boot id.
        attempts: Attempts by id, including finished ones that are retained.
        cache_events: Published changes of the prefix cache.
    """

    __slots__ = (
        "_cache",
        "_chats_by_block",
        "_last_start_at",
        "_load_history",
        "_scheduler",
        "_stats",
        "_warmup",
        "_work_available",
        "attempts",
        "cache_events",
        "fault_state",
        "identity",
        "options",
    )

    def __init__(self, *, options: settings.EngineSettings) -> None:
        """Initializes an engine without attempts, cold unless configured."""
        self.options = options
        self.fault_state = faults.FaultState(on_change=self._apply_faults)
        self.identity = identities.Identity(
            target_id=options.id, random=random.SystemRandom()
        )
        self.attempts: dict[str, attempts.Attempt] = {}
        self.cache_events = cache_events.CacheEventLog(
            lag_s=options.cache_event_lag_ms / _MS_PER_S,
            loss=options.cache_event_loss,
            random=random.Random(options.seed),
        )
        self._cache = prefix_cache.PrefixCache(
            capacity_tokens=options.cache_tokens
        )
        self._scheduler = batches.BatchScheduler(
            cache=self._cache,
            max_running=options.max_running,
            step_costs=batches.build_step_costs(options),
        )
        self._warmup = warmups.Warmup(
            cold_in_flight=options.cold_in_flight,
            answers_per_step=options.answers_per_step,
            warm_in_flight=options.warm_in_flight,
            warm=options.start_warm,
        )
        self._load_history = load_history.LoadHistory(
            lag_s=options.load_lag_ms / _MS_PER_S
        )
        self._chats_by_block: dict[int, str] = {}
        self._stats = Stats()
        self._last_start_at: float | None = None
        self._work_available = asyncio.Event()
        self._record_load()

    def find_rejection_reason(self) -> str | None:
        """Returns why a new attempt is rejected, None if it is accepted."""
        if self._scheduler.queued >= self.options.max_queued:
            self._stats.refused += 1
            return "request queue is full"
        return None

    def start_attempt(
        self, generation: attempts.GenerationRequest
    ) -> attempts.Attempt:
        """Starts an attempt, or returns the existing one with the same id.

        The engine crashes here if the attempt overloads it while it is cold
        or if a message contains its crash marker.
        """
        existing = self.attempts.get(generation.attempt_id)
        if existing is not None:
            return existing
        attempt = attempts.Attempt(generation=generation)
        self.attempts[generation.attempt_id] = attempt
        self._scheduler.add(attempt)
        self._record_start()
        self._crash_if_marked(generation)
        self._crash_if_overloaded()
        self._work_available.set()
        return attempt

    def cancel_attempt(self, attempt_id: str) -> None:
        """Stops an attempt and removes it."""
        attempt = self.attempts.pop(attempt_id, None)
        if attempt is None or attempt.ended:
            return
        self._scheduler.remove(attempt)
        attempt.stop()
        self._stats.cancelled += 1
        self._record_load()

    def add_reader(self, attempt: attempts.Attempt) -> None:
        """Adds a response that reads from an attempt."""
        attempt.readers += 1
        attempt.expires_at = None

    def remove_reader(self, attempt: attempts.Attempt) -> None:
        """Removes a response; without another one, the attempt may expire."""
        attempt.readers -= 1
        if attempt.readers > 0:
            return
        retention_ms = self.options.grace_ms
        if attempt.ended:
            retention_ms = self.options.attempt_kept_ms
        attempt.expires_at = time.monotonic() + retention_ms / _MS_PER_S

    def set_chat(self, attempt: attempts.Attempt, chat: str) -> None:
        """Sets the chat that an attempt's cache events name."""
        if attempt.blocks:
            self._chats_by_block[attempt.blocks[-1].key] = chat

    def read_state(self) -> members.State:
        """Returns the state to register with the membership list."""
        if self.fault_state.faults.leaving:
            return members.State.LEAVING
        return members.State.LIVE

    def read_load(self) -> targets.LoadReport:
        """Returns the load report, which lags by the configured time."""
        now = time.monotonic()
        load = self._load_history.read(now=now)
        phase = load.phase
        if self.fault_state.faults.hide_phase:
            phase = "warm"
        return targets.LoadReport(
            target_id=self.identity.target_id,
            boot_id=self.identity.get_shown_boot_id(),
            phase=targets.Phase(phase),
            running=load.running,
            queued=load.queued,
            age_ms=round((now - load.at) * _MS_PER_S),
        )

    def read_stats(self) -> Stats:
        """Returns the counters."""
        if self._last_start_at is not None:
            age_s = time.monotonic() - self._last_start_at
            self._stats.last_start_age_ms = round(age_s * _MS_PER_S)
        return self._stats

    async def run_batch(self) -> None:
        """Runs the steps of the batch until it is cancelled."""
        while True:
            if self._scheduler.in_flight == 0:
                self._work_available.clear()
                await self._work_available.wait()
            step_s = self._scheduler.plan_step()
            self._record_load()
            await asyncio.sleep(step_s)
            await self.fault_state.wait_while_paused()
            for attempt in self._scheduler.finish_step():
                self._finish(attempt)

    async def expire_attempts(self) -> None:
        """Expires attempts without a reader until it is cancelled."""
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            now = time.monotonic()
            for attempt_id, attempt in list(self.attempts.items()):
                expiry = attempt.expires_at
                if expiry is not None and expiry <= now:
                    self.cancel_attempt(attempt_id)

    def _finish(self, attempt: attempts.Attempt) -> None:
        self._stats.finished += 1
        self._stats.prompt_tokens += attempt.prompt_tokens
        self._stats.cached_tokens += attempt.cached_tokens
        self._warmup.record_answer()
        self._store_prefix(attempt)
        if attempt.readers == 0:
            retention_s = self.options.attempt_kept_ms / _MS_PER_S
            attempt.expires_at = time.monotonic() + retention_s
        self._record_load()

    def _store_prefix(self, attempt: attempts.Attempt) -> None:
        """Caches the prompt and its answer, which the next turn repeats."""
        now = time.monotonic()
        blocks = prefix_cache.extend_prompt(attempt.blocks, attempt.text)
        chat = self._chats_by_block.pop(attempt.blocks[-1].key, None)
        for key in self._cache.store(blocks):
            evicted = self._chats_by_block.pop(key, None)
            if evicted is not None:
                self.cache_events.record(evicted, "evicted", now=now)
        if chat is not None:
            self._chats_by_block[blocks[-1].key] = chat
            self.cache_events.record(chat, "stored", now=now)

    def _record_start(self) -> None:
        in_flight = self._scheduler.in_flight
        stats = self._stats
        stats.started += 1
        stats.peak_in_flight = max(stats.peak_in_flight, in_flight)
        if not self._warmup.warm:
            stats.peak_in_flight_cold = max(
                stats.peak_in_flight_cold, in_flight
            )
            excess = in_flight - self._warmup.cold_in_flight_limit
            stats.peak_past_cold = max(stats.peak_past_cold, excess)
        self._last_start_at = time.monotonic()
        self._record_load()

    def _crash_if_marked(self, generation: attempts.GenerationRequest) -> None:
        marker = self.options.crash_marker
        if marker is None:
            return
        if any(marker in message.content for message in generation.messages):
            self._crash(EXIT_CRASHED)

    def _crash_if_overloaded(self) -> None:
        if self._warmup.warm:
            return
        limit = self._warmup.cold_in_flight_limit * self.options.fall_multiple
        if self._scheduler.in_flight > limit:
            self._crash(EXIT_OVERLOADED)

    def _crash(self, status: int) -> None:
        """Exits the process, or restarts in place with all state dropped."""
        if self.options.fall == "exit":
            os._exit(status)
        self._stats.deaths += 1
        for attempt in self._scheduler.clear():
            attempt.stop()
        self.attempts.clear()
        self._chats_by_block.clear()
        self._cache.clear()
        self._warmup.reset()
        self.identity.renew_boot_id()
        self.fault_state.simulate_restart(self.options.restart_ms / _MS_PER_S)
        self._record_load()

    def _apply_faults(self, current: faults.Faults) -> None:
        self.identity.shows_wrong_boot_id = current.wrong_boot_id
        if current.cold:
            self._warmup.reset()
            self._cache.clear()
        self._record_load()

    def _record_load(self) -> None:
        phase = "warm" if self._warmup.warm else "cold"
        if self.fault_state.faults.leaving:
            phase = "leaving"
        self._load_history.record(
            load_history.LoadSample(
                at=time.monotonic(),
                running=len(self._scheduler.running),
                queued=self._scheduler.queued,
                phase=phase,
            )
        )
