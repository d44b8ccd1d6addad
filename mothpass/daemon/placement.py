"""Places requests at targets and queues them while no slot is free."""

import asyncio
from collections import abc
import itertools

import msgspec

from mothpass.core import errors
from mothpass.core import fair_queue
from mothpass.core import gates
from mothpass.core import limits
from mothpass.core import routing
from mothpass.core import targets
from mothpass.daemon import client_requests
from mothpass.daemon import target_slots
from mothpass.ports import clock

# Queued requests that one pass skips as they can't be placed yet.
MAX_SKIPPED_REQUESTS = 8
REROUTE_DELAY_MS = 20

# Requests a permit from the gates of a cold target until a deadline in
# monotonic seconds; returns None if no gate granted one.
AcquirePermit = abc.Callable[
    [routing.RequestPermit, float], abc.Awaitable[gates.Permit | None]
]

# Releases a permit after its request has ended.
ReleasePermit = abc.Callable[[gates.Permit, targets.Outcome], None]


class _QueuedRequest(msgspec.Struct, kw_only=True):
    """A request in a queue.

    Attributes:
        queue_entry: Its entry in the queue.
        route_request: What the router needs to choose a target.
        future: Resolves to the router's decision.
    """

    queue_entry: fair_queue.QueuedRequest
    route_request: routing.RouteRequest
    future: asyncio.Future[target_slots.TargetSlot | routing.RequestPermit]


class Placement:
    """Reserves slots at targets for requests, in fair order.

    Requests wait in one queue per model or service.
    """

    __slots__ = (
        "_acquire",
        "_clock",
        "_ids",
        "_name_limiter",
        "_queued",
        "_queues",
        "_release",
        "_router",
        "_timers",
    )

    def __init__(
        self,
        *,
        router: routing.Router,
        name_limiter: limits.Limiter,
        acquire: AcquirePermit,
        release: ReleasePermit,
        clock: clock.Monotonic,
    ) -> None:
        """Starts with empty queues.

        Args:
            router: Chooses targets and counts the requests in flight there.
            name_limiter: Limiter of models and services; bounds the queue
                lengths.
            acquire: Requests permits.
            release: Releases permits.
            clock: Monotonic seconds.
        """
        self._router = router
        self._name_limiter = name_limiter
        self._acquire = acquire
        self._release = release
        self._clock = clock
        self._ids = itertools.count()
        self._queues: dict[str, fair_queue.FairQueue] = {}
        self._queued: dict[int, _QueuedRequest] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}

    def count_queued(self, team: str) -> int:
        """Returns how many requests of a team are queued."""
        return sum(queue.count_queued(team) for queue in self._queues.values())

    async def reserve_slot(
        self,
        request: client_requests.ClientRequest,
        *,
        excluded: frozenset[str],
        alone: bool,
    ) -> target_slots.TargetSlot:
        """Waits until a target has a free slot and reserves it.

        The slot must be released with ``release_slot``.

        Raises:
            errors.RefusalError: If no slot is free before the deadline or the
                queue is full; the rejection is about this attempt only.
        """
        route_request = routing.RouteRequest(
            name=request.name,
            chat=request.chat_hash or None,
            excluded=excluded,
            alone=alone,
        )
        while True:
            if self._clock() >= request.deadline:
                raise errors.RefusalError(
                    target_slots.build_deadline_rejection()
                )
            decision = await self._route_or_queue(request, route_request)
            if isinstance(decision, target_slots.TargetSlot):
                return decision
            slot = await self._acquire_slot(decision, request)
            if slot is not None:
                return slot

    def release_slot(
        self,
        slot: target_slots.TargetSlot,
        outcome: targets.Outcome,
        *,
        boot_id: str | None,
    ) -> None:
        """Releases a slot and serves the queues with the free capacity.

        Args:
            slot: The slot.
            outcome: How the attempt ended.
            boot_id: Boot id in the answer, None without an answer.
        """
        self._router.finish_attempt(
            slot.target_id,
            outcome,
            first_token_ms=None,
            now=self._clock(),
            permit=slot.permit,
            boot_id=boot_id,
        )
        permit = slot.permit
        if permit is not None and target_slots.is_releasable(permit, outcome):
            self._release(permit, outcome)
        self.serve_queues()

    def end_trial(self, slot: target_slots.TargetSlot) -> None:
        """Releases the trial at the target of a cleared crash suspect."""
        permit = slot.permit
        if permit is not None and permit.source is gates.Source.TRIAL:
            self._release(permit, targets.Outcome.ANSWERED)

    def serve_queues(self) -> None:
        """Serves all queues, after routes or capacity have changed."""
        for name, queue in self._queues.items():
            if len(queue):
                self._serve_queue(name)

    async def _route_or_queue(
        self,
        request: client_requests.ClientRequest,
        route_request: routing.RouteRequest,
    ) -> target_slots.TargetSlot | routing.RequestPermit:
        """Routes a request at once if its queue is empty, else queues it."""
        queue = self._get_queue(request.name)
        if not len(queue):
            decision = self._try_route(route_request)
            if isinstance(decision, errors.Refusal):
                raise errors.RefusalError(decision)
            if not isinstance(decision, routing.Wait):
                return decision
            self._set_timer(request.name, decision.until)
        return await self._wait_in_queue(request, route_request, queue)

    async def _wait_in_queue(
        self,
        request: client_requests.ClientRequest,
        route_request: routing.RouteRequest,
        queue: fair_queue.FairQueue,
    ) -> target_slots.TargetSlot | routing.RequestPermit:
        queue_entry = fair_queue.QueuedRequest(
            id=next(self._ids),
            team=request.team,
            weight=request.weight,
            priority=request.priority,
            deadline=request.deadline,
        )
        future: asyncio.Future[
            target_slots.TargetSlot | routing.RequestPermit
        ] = asyncio.get_running_loop().create_future()
        queued = _QueuedRequest(
            queue_entry=queue_entry, route_request=route_request, future=future
        )
        self._queued[queue_entry.id] = queued
        for evicted in queue.offer(queue_entry):
            self._reject(
                self._queued[evicted.id],
                target_slots.build_queue_full_rejection(),
            )
        decision = None
        try:
            async with asyncio.timeout_at(request.deadline):
                decision = await future
                return decision
        except TimeoutError:
            raise errors.RefusalError(
                target_slots.build_deadline_rejection()
            ) from None
        finally:
            queue.cancel(queue_entry.id)
            self._queued.pop(queue_entry.id, None)
            if decision is None:
                self._free_unused_slot(future)

    def _free_unused_slot(
        self,
        future: asyncio.Future[target_slots.TargetSlot | routing.RequestPermit],
    ) -> None:
        """Releases the slot of a request cancelled as it was placed."""
        if not future.done() or future.cancelled() or future.exception():
            return
        slot = future.result()
        if isinstance(slot, target_slots.TargetSlot):
            self.release_slot(slot, targets.Outcome.CANCELLED, boot_id=None)

    async def _acquire_slot(
        self,
        permit_request: routing.RequestPermit,
        request: client_requests.ClientRequest,
    ) -> target_slots.TargetSlot | None:
        """Acquires a permit and reserves the slot; None if either fails."""
        permit = await self._acquire(permit_request, request.deadline)
        now = self._clock()
        if permit is None:
            return None
        if now >= request.deadline:
            self._release(permit, targets.Outcome.CANCELLED)
            return None
        target = self._router.targets.get(permit_request.target_id)
        if target is None or not self._router.start_attempt(
            permit_request.target_id, permit=permit, now=now
        ):
            self._release(permit, targets.Outcome.CANCELLED)
            return None
        return target_slots.TargetSlot(
            target_id=permit_request.target_id,
            address=target.instance.address,
            permit=permit,
        )

    def _try_route(
        self, route_request: routing.RouteRequest
    ) -> (
        target_slots.TargetSlot
        | routing.RequestPermit
        | routing.Wait
        | errors.Refusal
    ):
        """Routes a request and reserves its slot if a target is free."""
        now = self._clock()
        decision = self._router.choose(route_request, now=now)
        if not isinstance(decision, routing.Send):
            return decision
        if not self._router.start_attempt(
            decision.target_id, permit=decision.permit, now=now
        ):
            return routing.Wait(until=now + REROUTE_DELAY_MS / 1000)
        return target_slots.TargetSlot(
            target_id=decision.target_id,
            address=decision.address,
            permit=decision.permit,
        )

    def _serve_queue(self, name: str) -> None:
        """Places queued requests of a model or service in free slots."""
        queue = self._queues[name]
        skipped: list[fair_queue.QueuedRequest] = []
        while len(skipped) < MAX_SKIPPED_REQUESTS:
            popped = queue.pop(now=self._clock())
            for queue_entry in popped.expired:
                self._reject(
                    self._queued[queue_entry.id],
                    target_slots.build_deadline_rejection(),
                )
            if popped.request is None:
                break
            if not self._try_place(name, popped.request):
                skipped.append(popped.request)
        for queue_entry in skipped:
            queue.requeue(queue_entry)

    def _try_place(
        self, name: str, queue_entry: fair_queue.QueuedRequest
    ) -> bool:
        """Places one queued request; returns False if it has to wait."""
        queued = self._queued[queue_entry.id]
        if queued.future.done():
            return True
        decision = self._try_route(queued.route_request)
        if isinstance(decision, routing.Wait):
            self._set_timer(name, decision.until)
            return False
        if isinstance(decision, errors.Refusal):
            self._reject(queued, decision)
        else:
            queued.future.set_result(decision)
        return True

    def _set_timer(self, name: str, until: float) -> None:
        """Schedules the next serving of a queue, no later than a time."""
        timer = self._timers.get(name)
        if timer is not None and not timer.cancelled():
            if timer.when() <= until:
                return
            timer.cancel()
        loop = asyncio.get_running_loop()
        self._timers[name] = loop.call_at(until, self._handle_timer, name)

    def _handle_timer(self, name: str) -> None:
        del self._timers[name]
        self._serve_queue(name)

    def _get_queue(self, name: str) -> fair_queue.FairQueue:
        capacity = self._name_limiter.get_share(name).queued
        queue = self._queues.get(name)
        if queue is None:
            queue = fair_queue.FairQueue(capacity=capacity)
            self._queues[name] = queue
        queue.set_capacity(capacity)
        return queue

    def _reject(self, queued: _QueuedRequest, refusal: errors.Refusal) -> None:
        if not queued.future.done():
            queued.future.set_exception(errors.RefusalError(refusal))
