"""Finds a target for each call, in fair order while they wait."""

import asyncio
from collections import abc
import itertools

import msgspec

from mothpass.core import errors
from mothpass.core import fairness
from mothpass.core import gates
from mothpass.core import limits
from mothpass.core import routing
from mothpass.core import targets
from mothpass.daemon import calls
from mothpass.daemon import places
from mothpass.ports import clock

# Calls that are looked at, past one that has to wait, for one that hasn't.
LOOK_AHEAD = 8
ROUTE_AGAIN_MS = 20

# Asks the gates of a cold target for a permit until a deadline in monotonic
# seconds; None where none was given.
AcquirePermit = abc.Callable[
    [routing.RequestPermit, float], abc.Awaitable[gates.Permit | None]
]

# Gives a permit back once its call has ended.
ReleasePermit = abc.Callable[[gates.Permit, targets.Outcome], None]


class _Waiting(msgspec.Struct, kw_only=True):
    """A call in a queue.

    Attributes:
        ticket: Its place in the queue.
        request: What it asks of the router.
        future: Gets what the router chose.
    """

    ticket: fairness.Ticket
    request: routing.RouteRequest
    future: asyncio.Future[places.Place | routing.RequestPermit]


class Placement:
    """Places calls at targets and counts them there."""

    __slots__ = (
        "_acquire",
        "_clock",
        "_ids",
        "_names",
        "_queues",
        "_release",
        "_router",
        "_timers",
        "_waiting",
    )

    def __init__(
        self,
        *,
        router: routing.Router,
        names: limits.Limiter,
        acquire: AcquirePermit,
        release: ReleasePermit,
        clock: clock.Monotonic,
    ) -> None:
        """Starts with empty queues.

        Args:
            router: Chooses targets.
            names: Limits of models and services, for the length of queues.
            acquire: Asks for permits.
            release: Gives permits back.
            clock: Monotonic seconds.
        """
        self._router = router
        self._names = names
        self._acquire = acquire
        self._release = release
        self._clock = clock
        self._ids = itertools.count()
        self._queues: dict[str, fairness.FairQueue] = {}
        self._waiting: dict[int, _Waiting] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}

    def count_waiting(self, team: str) -> int:
        """Returns how many calls of a team wait."""
        return sum(item.count_waiting(team) for item in self._queues.values())

    async def place(
        self, call: calls.Call, *, excluded: frozenset[str], alone: bool
    ) -> places.Place:
        """Waits until a target takes a call.

        The caller ends the place with ``finish``.

        Raises:
            errors.RefusalError: If none will before the deadline; the refusal
                speaks of this attempt only.
        """
        request = routing.RouteRequest(
            name=call.name,
            chat=call.chat or None,
            excluded=excluded,
            alone=alone,
        )
        while True:
            if self._clock() >= call.deadline:
                raise errors.RefusalError(places.refuse_late())
            chosen = await self._choose(call, request)
            if isinstance(chosen, places.Place):
                return chosen
            place = await self._ask(chosen, call)
            if place is not None:
                return place

    def finish(
        self,
        place: places.Place,
        outcome: targets.Outcome,
        *,
        boot_id: str | None,
    ) -> None:
        """Counts a call out and lets others have its room.

        Args:
            place: Where it ran.
            outcome: How it ended.
            boot_id: Boot id that came with the answer, if one came.
        """
        self._router.finish_attempt(
            place.target_id,
            outcome,
            first_token_ms=None,
            now=self._clock(),
            permit=place.permit,
            boot_id=boot_id,
        )
        permit = place.permit
        if permit is not None and places.may_release(permit, outcome):
            self._release(permit, outcome)
        self.wake()

    def end_trial(self, place: places.Place) -> None:
        """Lets another suspect be tried at the target of a cleared one."""
        permit = place.permit
        if permit is not None and permit.source is gates.Source.TRIAL:
            self._release(permit, targets.Outcome.ANSWERED)

    def wake(self) -> None:
        """Looks again at what waits, after something has changed."""
        for name, queue in self._queues.items():
            if len(queue):
                self._serve(name)

    async def _choose(
        self, call: calls.Call, request: routing.RouteRequest
    ) -> places.Place | routing.RequestPermit:
        """Chooses at once where nobody waits, else in turn."""
        queue = self._find_queue(call.name)
        if not len(queue):
            chosen = self._route(request)
            if isinstance(chosen, errors.Refusal):
                raise errors.RefusalError(chosen)
            if not isinstance(chosen, routing.Wait):
                return chosen
            self._set_timer(call.name, chosen.until)
        return await self._wait_in_queue(call, request, queue)

    async def _wait_in_queue(
        self,
        call: calls.Call,
        request: routing.RouteRequest,
        queue: fairness.FairQueue,
    ) -> places.Place | routing.RequestPermit:
        ticket = fairness.Ticket(
            id=next(self._ids),
            team=call.team,
            weight=call.weight,
            priority=call.priority,
            deadline=call.deadline,
        )
        future: asyncio.Future[places.Place | routing.RequestPermit] = (
            asyncio.get_running_loop().create_future()
        )
        waiting = _Waiting(ticket=ticket, request=request, future=future)
        self._waiting[ticket.id] = waiting
        for shed in queue.offer(ticket):
            self._refuse(self._waiting[shed.id], places.refuse_full())
        chosen = None
        try:
            async with asyncio.timeout_at(call.deadline):
                chosen = await future
                return chosen
        except TimeoutError:
            raise errors.RefusalError(places.refuse_late()) from None
        finally:
            queue.cancel(ticket.id)
            self._waiting.pop(ticket.id, None)
            if chosen is None:
                self._take_back(future)

    def _take_back(
        self, future: asyncio.Future[places.Place | routing.RequestPermit]
    ) -> None:
        """Frees the place of a call that went away as it was placed."""
        if not future.done() or future.cancelled() or future.exception():
            return
        place = future.result()
        if isinstance(place, places.Place):
            self.finish(place, targets.Outcome.CANCELLED, boot_id=None)

    async def _ask(
        self, ask: routing.RequestPermit, call: calls.Call
    ) -> places.Place | None:
        """Asks for a permit and counts the call at the target."""
        permit = await self._acquire(ask, call.deadline)
        now = self._clock()
        if permit is None:
            return None
        if now >= call.deadline:
            self._release(permit, targets.Outcome.CANCELLED)
            return None
        target = self._router.targets.get(ask.target_id)
        if target is None or not self._router.start_attempt(
            ask.target_id, permit=permit, now=now
        ):
            self._release(permit, targets.Outcome.CANCELLED)
            return None
        return places.Place(
            target_id=ask.target_id,
            address=target.instance.address,
            permit=permit,
        )

    def _route(
        self, request: routing.RouteRequest
    ) -> places.Place | routing.RequestPermit | routing.Wait | errors.Refusal:
        """Chooses and, where the call goes at once, counts it."""
        now = self._clock()
        chosen = self._router.choose(request, now=now)
        if not isinstance(chosen, routing.Send):
            return chosen
        if not self._router.start_attempt(
            chosen.target_id, permit=chosen.permit, now=now
        ):
            return routing.Wait(until=now + ROUTE_AGAIN_MS / 1000)
        return places.Place(
            target_id=chosen.target_id,
            address=chosen.address,
            permit=chosen.permit,
        )

    def _serve(self, name: str) -> None:
        """Places what waits for a model or service, as far as there is room."""
        queue = self._queues[name]
        passed: list[fairness.Ticket] = []
        while len(passed) < LOOK_AHEAD:
            popped = queue.pop(now=self._clock())
            for ticket in popped.expired:
                self._refuse(self._waiting[ticket.id], places.refuse_late())
            if popped.ticket is None:
                break
            if not self._try_ticket(name, popped.ticket):
                passed.append(popped.ticket)
        for ticket in passed:
            queue.put_back(ticket)

    def _try_ticket(self, name: str, ticket: fairness.Ticket) -> bool:
        """Places one call; returns False where it has to wait."""
        waiting = self._waiting[ticket.id]
        if waiting.future.done():
            return True
        chosen = self._route(waiting.request)
        if isinstance(chosen, routing.Wait):
            self._set_timer(name, chosen.until)
            return False
        if isinstance(chosen, errors.Refusal):
            self._refuse(waiting, chosen)
        else:
            waiting.future.set_result(chosen)
        return True

    def _set_timer(self, name: str, until: float) -> None:
        """Looks again at a queue at a moment, at the latest."""
        timer = self._timers.get(name)
        if timer is not None and not timer.cancelled():
            if timer.when() <= until:
                return
            timer.cancel()
        loop = asyncio.get_running_loop()
        self._timers[name] = loop.call_at(until, self._expire_timer, name)

    def _expire_timer(self, name: str) -> None:
        del self._timers[name]
        self._serve(name)

    def _find_queue(self, name: str) -> fairness.FairQueue:
        capacity = self._names.share(name).queued
        queue = self._queues.get(name)
        if queue is None:
            queue = fairness.FairQueue(capacity=capacity)
            self._queues[name] = queue
        queue.set_capacity(capacity)
        return queue

    def _refuse(self, waiting: _Waiting, refusal: errors.Refusal) -> None:
        if not waiting.future.done():
            waiting.future.set_exception(errors.RefusalError(refusal))
