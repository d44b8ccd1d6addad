"""Queues requests per service until a target has a free slot."""

import asyncio
import itertools
import logging
import random as random_module

import msgspec

from mothpass.adapters import event_log
from mothpass.core import errors
from mothpass.core import fair_queue
from mothpass.core import queue_admission
from mothpass.core import results
from mothpass.core import stream_origins
from mothpass.core import target_choice
from mothpass.core import target_table
from mothpass.core import windows

# Interval at which queues are dispatched while no request ends: a cold target
# gets a free slot again after a fraction of a second.
DISPATCH_INTERVAL_S = 0.02
# Window over which released slots are counted for the service rate.
SERVICE_RATE_WINDOW_S = 2.0
# Bounds the memory of queued requests at one daemon, as each holds its body.
MAX_QUEUED_PER_SERVICE = 256
# Requests that one dispatch may skip, so that a request that may only go to a
# full target doesn't block those behind it.
_MAX_SKIPPED = 4
NO_TARGET_RETRY_AFTER_MS = 800

_logger = logging.getLogger("mothpass.places")


class SlotRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that needs a slot at a target.

    Attributes:
        request_id: Id of the request, for logs.
        service: Service that the request is for.
        key: Prompt cache key, None without a shared prompt.
        avoided: Ids of the targets that the request was sent to before.
        can_fetch: Whether targets fetch cached prompts from each other.
        priority: Priority of the request; 0 is the most urgent.
        team: Team whose requests are queued fairly beside other teams'.
        deadline: Monotonic seconds at which the final answer is due.
        alive_since: Monotonic seconds; targets that have answered since then
            go first. None for no preference.
        version: Fingerprint of the only software version that may take the
            request, None for any.
    """

    request_id: str
    service: str
    key: str | None
    avoided: set[str]
    can_fetch: bool
    priority: int
    team: str
    deadline: float
    alive_since: float | None = None
    version: int | None = None

    def fits(self, target: target_table.Target) -> bool:
        """Returns whether a target has the required software version."""
        return self.version is None or self.version == (
            stream_origins.fingerprint_version(target.registration)
        )


_SlotFuture = asyncio.Future[target_choice.Choice | errors.Refusal]


class _ServiceQueue:
    """Queued requests of one service."""

    __slots__ = ("queue", "releases", "slot_requests")

    def __init__(self) -> None:
        self.queue = fair_queue.FairQueue(capacity=MAX_QUEUED_PER_SERVICE)
        self.slot_requests: dict[int, tuple[SlotRequest, _SlotFuture]] = {}
        self.releases = windows.SlidingCount(window_s=SERVICE_RATE_WINDOW_S)


class RequestQueues:
    """Grants slots at targets to requests, queued fairly per service.

    A granted slot counts as in flight at its target until it is released.
    """

    __slots__ = ("_chooser", "_queue_ids", "_queues", "_random", "_targets")

    def __init__(
        self,
        *,
        chooser: target_choice.TargetChooser,
        targets: target_table.TargetTable,
        random: random_module.Random,
    ) -> None:
        """Creates empty queues."""
        self._chooser = chooser
        self._targets = targets
        self._random = random
        self._queues: dict[str, _ServiceQueue] = {}
        self._queue_ids = itertools.count()

    async def acquire_slot(
        self, slot_request: SlotRequest
    ) -> target_choice.Choice | errors.Refusal:
        """Returns a slot, at once or after queueing, or a refusal."""
        service_queue = self._queues.setdefault(
            slot_request.service, _ServiceQueue()
        )
        usable = self._list_usable(
            slot_request, asyncio.get_running_loop().time()
        )
        if all(target.id in slot_request.avoided for target in usable):
            return await self._wait_for_resumption(slot_request, service_queue)
        if not len(service_queue.queue):
            choice = self._reserve_slot(slot_request)
            if choice is not None:
                return choice
        return await self._enqueue(slot_request, service_queue)

    async def _wait_for_resumption(
        self, slot_request: SlotRequest, service_queue: _ServiceQueue
    ) -> target_choice.Choice | errors.Refusal:
        """Queues a request until a target that paused takes requests again."""
        now = asyncio.get_running_loop().time()
        paused = self._targets.list_paused(slot_request.service, now)
        resumption_times = [
            target.paused_until
            for target in paused
            if target.id not in slot_request.avoided
            and slot_request.fits(target)
        ]
        if not resumption_times:
            return _make_refusal(
                results.Code.NO_TARGET, "no target", NO_TARGET_RETRY_AFTER_MS
            )
        decision = queue_admission.decide_pause(
            resumes_at=min(resumption_times),
            now=now,
            deadline=slot_request.deadline,
            random=self._random,
        )
        event_log.log(
            _logger,
            "targets_paused",
            request_id=slot_request.request_id,
            service=slot_request.service,
            paused=len(resumption_times),
            resumes_ms=round((min(resumption_times) - now) * 1000),
            waits=isinstance(decision, queue_admission.Enqueue),
        )
        if isinstance(decision, queue_admission.Reject):
            return _make_refusal(
                results.Code.OVERLOADED,
                "all targets asked for a pause",
                decision.retry_after_ms,
            )
        return await self._wait_in_queue(
            slot_request, service_queue, decision.until
        )

    def release_slot(
        self, target: target_table.Target, *, was_sent: bool
    ) -> None:
        """Releases a slot and dispatches requests of its service.

        Args:
            target: Target of the slot.
            was_sent: Whether ``target.record_sent`` was called for it.
        """
        target.release_slot(was_sent=was_sent)
        service_queue = self._queues.get(target.registration.service)
        if service_queue is not None:
            service_queue.releases.record(asyncio.get_running_loop().time())
            self._dispatch(service_queue)

    def dispatch_queued(self) -> None:
        """Dispatches all queues; call it each ``DISPATCH_INTERVAL_S``."""
        for service_queue in self._queues.values():
            if len(service_queue.queue):
                self._dispatch(service_queue)

    async def _enqueue(
        self, slot_request: SlotRequest, service_queue: _ServiceQueue
    ) -> target_choice.Choice | errors.Refusal:
        loop = asyncio.get_running_loop()
        now = loop.time()
        served_per_s = service_queue.releases.count(now) / SERVICE_RATE_WINDOW_S
        ahead = service_queue.queue.count_ahead(slot_request.priority)
        decision = queue_admission.decide(
            queued_ahead=ahead,
            served_per_s=served_per_s,
            now=now,
            deadline=slot_request.deadline,
            random=self._random,
        )
        event_log.log(
            _logger,
            "no_place",
            request_id=slot_request.request_id,
            service=slot_request.service,
            ahead=ahead,
            served_per_s=served_per_s,
            waits=isinstance(decision, queue_admission.Enqueue),
        )
        if isinstance(decision, queue_admission.Reject):
            return _make_refusal(
                results.Code.OVERLOADED,
                "targets are at capacity",
                decision.retry_after_ms,
            )
        return await self._wait_in_queue(
            slot_request, service_queue, decision.until
        )

    async def _wait_in_queue(
        self,
        slot_request: SlotRequest,
        service_queue: _ServiceQueue,
        until: float,
    ) -> target_choice.Choice | errors.Refusal:
        loop = asyncio.get_running_loop()
        queued = fair_queue.QueuedRequest(
            id=next(self._queue_ids),
            team=slot_request.team,
            weight=1,
            priority=slot_request.priority,
            deadline=until,
        )
        slot: _SlotFuture = loop.create_future()
        service_queue.slot_requests[queued.id] = (slot_request, slot)
        for evicted in service_queue.queue.offer(queued):
            self._reject_queued(service_queue, evicted)
        # A request that more urgent ones overtake is also rejected in time.
        timer = loop.call_at(until, self._reject_queued, service_queue, queued)
        try:
            return await asyncio.shield(slot)
        except asyncio.CancelledError:
            # A slot may have been granted while the request was cancelled.
            if slot.done():
                self._release_unused(slot.result())
            slot.cancel()
            raise
        finally:
            timer.cancel()
            service_queue.queue.cancel(queued.id)
            service_queue.slot_requests.pop(queued.id, None)

    def _release_unused(
        self, granted: target_choice.Choice | errors.Refusal
    ) -> None:
        if isinstance(granted, target_choice.Choice):
            self.release_slot(granted.target, was_sent=False)

    def _dispatch(self, service_queue: _ServiceQueue) -> None:
        """Grants free slots to queued requests in fair order."""
        now = asyncio.get_running_loop().time()
        skipped: list[fair_queue.QueuedRequest] = []
        while len(skipped) < _MAX_SKIPPED:
            popped = service_queue.queue.pop(now=now)
            for expired in popped.expired:
                self._reject_queued(service_queue, expired)
            queued = popped.request
            if queued is None:
                break
            slot_request, slot = service_queue.slot_requests[queued.id]
            choice = None
            if not slot.done():
                choice = self._reserve_slot(slot_request, is_waiting=True)
            if choice is not None:
                slot.set_result(choice)
            elif not slot.done():
                skipped.append(queued)
        for queued in reversed(skipped):
            service_queue.queue.requeue(queued)

    def _reserve_slot(
        self, slot_request: SlotRequest, *, is_waiting: bool = False
    ) -> target_choice.Choice | None:
        """Chooses a target and reserves a slot there; None if none fits."""
        now = asyncio.get_running_loop().time()
        choice = self._chooser.choose(
            self._list_usable(slot_request, now),
            registered=self._targets.list_registered(slot_request.service),
            key=slot_request.key,
            avoided=slot_request.avoided,
            can_fetch=slot_request.can_fetch,
            now=now,
            alive_since=slot_request.alive_since,
            is_waiting=is_waiting,
        )
        if choice is not None:
            choice.target.reserve_slot()
        return choice

    def _list_usable(
        self, slot_request: SlotRequest, now: float
    ) -> list[target_table.Target]:
        usable = self._targets.list_usable(slot_request.service, now)
        return [target for target in usable if slot_request.fits(target)]

    def _reject_queued(
        self, service_queue: _ServiceQueue, queued: fair_queue.QueuedRequest
    ) -> None:
        slot_request, slot = service_queue.slot_requests[queued.id]
        now = asyncio.get_running_loop().time()
        retry_after_ms = queue_admission.draw_retry_after(
            expected_s=0.0,
            now=now,
            deadline=slot_request.deadline,
            random=self._random,
        )
        if not slot.done():
            slot.set_result(
                _make_refusal(
                    results.Code.OVERLOADED,
                    "targets are at capacity",
                    retry_after_ms,
                )
            )


def _make_refusal(
    code: results.Code, message: str, retry_after_ms: int
) -> errors.Refusal:
    return errors.Refusal(
        code=code,
        ran=results.Ran.NO,
        message=message,
        retry_after_ms=retry_after_ms,
    )
