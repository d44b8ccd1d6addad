"""A model engine: batch, prefix cache, cold start, attempts and reports."""

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
from mothpass.standin import loads
from mothpass.standin import prefixes
from mothpass.standin import settings
from mothpass.standin import warmups

EXIT_FELL_OVER = 70
EXIT_CRASHED = 72
_MS_PER_S = 1000
_SWEEP_S = 0.05


class Stats(msgspec.Struct, kw_only=True):
    """What the engine did since its process started.

    Attributes:
        started: Attempts that were taken.
        finished: Attempts that ended with their last event.
        cancelled: Attempts that were cancelled or lost their readers.
        refused: Calls that were not run.
        deaths: Restarts after falling over or a crash.
        peak_in_flight: Most attempts in flight at once.
        peak_in_flight_cold: The same while it was cold.
        peak_past_cold: Most in flight beyond what it bore while it was cold.
        prompt_tokens: Prompt tokens of all finished attempts.
        cached_tokens: Those of them that were cached.
        last_start_age_ms: Time since an attempt was last taken; None before
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
        faults: Faults that are set.
        identity: Id and boot id.
        attempts: Attempts that are known, by id.
        cache_events: What is published of the cache.
    """

    __slots__ = (
        "_batch",
        "_cache",
        "_chats",
        "_history",
        "_last_start",
        "_stats",
        "_warmup",
        "_work",
        "attempts",
        "cache_events",
        "faults",
        "identity",
        "options",
    )

    def __init__(self, *, options: settings.EngineSettings) -> None:
        """Starts without attempts, cold unless the settings say otherwise."""
        self.options = options
        self.faults = faults.FaultState(on_change=self._change_faults)
        self.identity = identities.Identity(
            target_id=options.id, random=random.SystemRandom()
        )
        self.attempts: dict[str, attempts.Attempt] = {}
        self.cache_events = cache_events.CacheEvents(
            lag_s=options.cache_event_lag_ms / _MS_PER_S,
            loss=options.cache_event_loss,
            random=random.Random(options.seed),
        )
        self._cache = prefixes.PrefixCache(limit_tokens=options.cache_tokens)
        self._batch = batches.Batch(
            cache=self._cache,
            max_running=options.max_running,
            steps=batches.read_steps(options),
        )
        self._warmup = warmups.Warmup(
            cold_in_flight=options.cold_in_flight,
            answers_per_step=options.answers_per_step,
            warm_in_flight=options.warm_in_flight,
            warm=options.start_warm,
        )
        self._history = loads.LoadHistory(lag_s=options.load_lag_ms / _MS_PER_S)
        self._chats: dict[int, str] = {}
        self._stats = Stats()
        self._last_start: float | None = None
        self._work = asyncio.Event()
        self._record_load()

    def refuse_reason(self) -> str | None:
        """Returns why no attempt is taken at the moment, None if one is."""
        if self._batch.queued >= self.options.max_queued:
            self._stats.refused += 1
            return "too many requests wait"
        return None

    def start_attempt(self, order: attempts.Order) -> attempts.Attempt:
        """Takes an attempt; one with a known id is the one it was.

        An engine that is pushed too far, or meets its crash marker, dies
        here.
        """
        known = self.attempts.get(order.attempt_id)
        if known is not None:
            return known
        attempt = attempts.Attempt(order=order)
        self.attempts[order.attempt_id] = attempt
        self._batch.add(attempt)
        self._note_start()
        self._die_if_crashed(order)
        self._die_if_pushed()
        self._work.set()
        return attempt

    def cancel_attempt(self, attempt_id: str) -> None:
        """Stops an attempt and forgets it."""
        attempt = self.attempts.pop(attempt_id, None)
        if attempt is None or attempt.ended:
            return
        self._batch.remove(attempt)
        attempt.stop()
        self._stats.cancelled += 1
        self._record_load()

    def add_reader(self, attempt: attempts.Attempt) -> None:
        """Notes that an answer is being sent from an attempt."""
        attempt.readers += 1
        attempt.expires_at = None

    def remove_reader(self, attempt: attempts.Attempt) -> None:
        """Notes that an answer is sent no longer, whole or not."""
        attempt.readers -= 1
        if attempt.readers > 0:
            return
        kept_ms = self.options.grace_ms
        if attempt.ended:
            kept_ms = self.options.attempt_kept_ms
        attempt.expires_at = time.monotonic() + kept_ms / _MS_PER_S

    def note_chat(self, attempt: attempts.Attempt, chat: str) -> None:
        """Names the chat that cache events of an attempt are about."""
        if attempt.blocks:
            self._chats[attempt.blocks[-1].key] = chat

    def read_state(self) -> members.State:
        """Returns the state that the membership list shows."""
        if self.faults.faults.leaving:
            return members.State.LEAVING
        return members.State.LIVE

    def read_load(self) -> targets.LoadReport:
        """Returns the lagging load report."""
        now = time.monotonic()
        load = self._history.read(now=now)
        phase = load.phase
        if self.faults.faults.hide_phase:
            phase = "warm"
        return targets.LoadReport(
            target_id=self.identity.target_id,
            boot_id=self.identity.show_boot_id(),
            phase=targets.Phase(phase),
            running=load.running,
            queued=load.queued,
            age_ms=round((now - load.at) * _MS_PER_S),
        )

    def read_stats(self) -> Stats:
        """Returns what the engine did so far."""
        if self._last_start is not None:
            age_s = time.monotonic() - self._last_start
            self._stats.last_start_age_ms = round(age_s * _MS_PER_S)
        return self._stats

    async def run_batch(self) -> None:
        """Runs steps for ever."""
        while True:
            if self._batch.in_flight == 0:
                self._work.clear()
                await self._work.wait()
            step_s = self._batch.plan_step()
            self._record_load()
            await asyncio.sleep(step_s)
            await self.faults.wait_while_paused()
            for attempt in self._batch.finish_step():
                self._finish(attempt)

    async def run_sweeps(self) -> None:
        """Cancels and forgets attempts that nobody reads, for ever."""
        while True:
            await asyncio.sleep(_SWEEP_S)
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
            kept_s = self.options.attempt_kept_ms / _MS_PER_S
            attempt.expires_at = time.monotonic() + kept_s
        self._record_load()

    def _store_prefix(self, attempt: attempts.Attempt) -> None:
        """Stores the prompt with its answer, as the chat will return it."""
        now = time.monotonic()
        blocks = prefixes.extend_prompt(attempt.blocks, attempt.text)
        chat = self._chats.pop(attempt.blocks[-1].key, None)
        for key in self._cache.store(blocks):
            evicted = self._chats.pop(key, None)
            if evicted is not None:
                self.cache_events.record(evicted, "evicted", now=now)
        if chat is not None:
            self._chats[blocks[-1].key] = chat
            self.cache_events.record(chat, "stored", now=now)

    def _note_start(self) -> None:
        in_flight = self._batch.in_flight
        stats = self._stats
        stats.started += 1
        stats.peak_in_flight = max(stats.peak_in_flight, in_flight)
        if not self._warmup.warm:
            stats.peak_in_flight_cold = max(
                stats.peak_in_flight_cold, in_flight
            )
            past = in_flight - self._warmup.bears
            stats.peak_past_cold = max(stats.peak_past_cold, past)
        self._last_start = time.monotonic()
        self._record_load()

    def _die_if_crashed(self, order: attempts.Order) -> None:
        marker = self.options.crash_marker
        if marker is None:
            return
        if any(marker in message.content for message in order.messages):
            self._die(EXIT_CRASHED)

    def _die_if_pushed(self) -> None:
        if self._warmup.warm:
            return
        limit = self._warmup.bears * self.options.fall_multiple
        if self._batch.in_flight > limit:
            self._die(EXIT_FELL_OVER)

    def _die(self, status: int) -> None:
        """Ends the process, or all it holds where it restarts in place."""
        if self.options.fall == "exit":
            os._exit(status)
        self._stats.deaths += 1
        for attempt in self._batch.clear():
            attempt.stop()
        self.attempts.clear()
        self._chats.clear()
        self._cache.clear()
        self._warmup.turn_cold()
        self.identity.renew()
        self.faults.die_for(self.options.restart_ms / _MS_PER_S)
        self._record_load()

    def _change_faults(self, present: faults.Faults) -> None:
        self.identity.show_wrong = present.wrong_boot_id
        if present.cold:
            self._warmup.turn_cold()
            self._cache.clear()
        self._record_load()

    def _record_load(self) -> None:
        phase = "warm" if self._warmup.warm else "cold"
        if self.faults.faults.leaving:
            phase = "leaving"
        self._history.record(
            loads.Load(
                at=time.monotonic(),
                running=len(self._batch.running),
                queued=self._batch.queued,
                phase=phase,
            )
        )
