"""Lets requests wait for a target that may take them, in fair order."""

import asyncio
import itertools
import logging
import random

import msgspec

from mothpass.adapters import event_log
from mothpass.core import errors
from mothpass.core import fairness
from mothpass.core import results
from mothpass.core import target_choice
from mothpass.core import target_table
from mothpass.core import waiting
from mothpass.core import windows

# How often a line is looked at while nothing ends: a cold target has a place
# again after a part of a second.
DISPATCH_INTERVAL_S = 0.02
# Ends counted for the rate at which places become free.
RATE_WINDOW_S = 2.0
# Most requests that wait for one service at one daemon; each holds its body.
MOST_WAITING = 256
# Requests looked at before a line is left until the next tick, so that one
# that may only go to a full target doesn't hold up those behind it.
_MOST_PASSED = 4
NO_TARGET_RETRY_MS = 800

_logger = logging.getLogger("mothpass.places")


class SlotRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that needs a target.

    Attributes:
        request_id: Its id, for logs.
        service: Service that it is for.
        key: Key of its prompt, None where it shares none.
        avoided: Ids of the targets that it was sent to before.
        can_fetch: Whether targets fetch prompt memory from each other.
        urgency: 0 is the most urgent.
        team: Team that shares places with others.
        deadline: Monotonic seconds at which its final answer is due.
    """

    request_id: str
    service: str
    key: str | None
    avoided: set[str]
    can_fetch: bool
    urgency: int
    team: str
    deadline: float


_Place = asyncio.Future[target_choice.Choice | errors.Refusal]


class _Line:
    """Requests that wait for one service."""

    __slots__ = ("askings", "ends", "queue")

    def __init__(self) -> None:
        self.queue = fairness.FairQueue(capacity=MOST_WAITING)
        self.askings: dict[int, tuple[SlotRequest, _Place]] = {}
        self.ends = windows.SlidingCount(window_s=RATE_WINDOW_S)


class RequestQueues:
    """Gives places at targets to requests.

    A place that was given counts as in flight at its target until it is
    released.
    """

    __slots__ = ("_chooser", "_ids", "_lines", "_random", "_targets")

    def __init__(
        self,
        *,
        chooser: target_choice.Chooser,
        targets: target_table.TargetTable,
        source: random.Random,
    ) -> None:
        """Starts with nothing waiting."""
        self._chooser = chooser
        self._targets = targets
        self._random = source
        self._lines: dict[str, _Line] = {}
        self._ids = itertools.count()

    async def acquire_slot(
        self, asking: SlotRequest
    ) -> target_choice.Choice | errors.Refusal:
        """Returns a place, at once or after a wait, or why there is none."""
        line = self._lines.setdefault(asking.service, _Line())
        usable = self._targets.list_usable(asking.service)
        if all(target.id in asking.avoided for target in usable):
            return _refuse(
                results.Code.NO_TARGET, "no target", NO_TARGET_RETRY_MS
            )
        if not len(line.queue):
            choice = self._choose(asking)
            if choice is not None:
                return choice
        return await self._wait(asking, line)

    def release_slot(self, target: target_table.Target) -> None:
        """Gives a place back."""
        target.in_flight -= 1
        line = self._lines.get(target.entry.service)
        if line is not None:
            line.ends.record(asyncio.get_running_loop().time())
            self._advance(line)

    def dispatch_queued(self) -> None:
        """Looks at the lines; call it each ``TICK_S``."""
        for line in self._lines.values():
            if len(line.queue):
                self._advance(line)

    async def _wait(
        self, asking: SlotRequest, line: _Line
    ) -> target_choice.Choice | errors.Refusal:
        loop = asyncio.get_running_loop()
        now = loop.time()
        served_per_s = line.ends.count(now) / RATE_WINDOW_S
        ahead = line.queue.count_ahead(asking.urgency)
        verdict = waiting.decide(
            waiting=ahead,
            served_per_s=served_per_s,
            now=now,
            deadline=asking.deadline,
            source=self._random,
        )
        event_log.log(
            _logger,
            "no_place",
            request_id=asking.request_id,
            service=asking.service,
            ahead=ahead,
            served_per_s=served_per_s,
            waits=isinstance(verdict, waiting.Wait),
        )
        if isinstance(verdict, waiting.Refuse):
            return _refuse(
                results.Code.OVERLOADED,
                "targets bear no more now",
                verdict.retry_after_ms,
            )
        ticket = fairness.Ticket(
            id=next(self._ids),
            team=asking.team,
            weight=1,
            priority=asking.urgency,
            deadline=verdict.until,
        )
        place: _Place = loop.create_future()
        line.askings[ticket.id] = (asking, place)
        for shed in line.queue.offer(ticket):
            self._refuse_ticket(line, shed)
        # Those that others are served before leave the line in time, too.
        timer = loop.call_at(verdict.until, self._refuse_ticket, line, ticket)
        try:
            return await asyncio.shield(place)
        except asyncio.CancelledError:
            # A place may have been given while the request was cancelled.
            if place.done():
                self._return_unused(place.result())
            place.cancel()
            raise
        finally:
            timer.cancel()
            line.queue.cancel(ticket.id)
            line.askings.pop(ticket.id, None)

    def _return_unused(
        self, given: target_choice.Choice | errors.Refusal
    ) -> None:
        if isinstance(given, target_choice.Choice):
            self.release_slot(given.target)

    def _advance(self, line: _Line) -> None:
        """Gives places to those whose turn it is."""
        now = asyncio.get_running_loop().time()
        passed: list[fairness.Ticket] = []
        while len(passed) < _MOST_PASSED:
            popped = line.queue.pop(now=now)
            for expired in popped.expired:
                self._refuse_ticket(line, expired)
            ticket = popped.ticket
            if ticket is None:
                break
            asking, place = line.askings[ticket.id]
            choice = None if place.done() else self._choose(asking)
            if choice is not None:
                place.set_result(choice)
            elif not place.done():
                passed.append(ticket)
        for ticket in reversed(passed):
            line.queue.put_back(ticket)

    def _choose(self, asking: SlotRequest) -> target_choice.Choice | None:
        """Chooses a target and takes a place there."""
        now = asyncio.get_running_loop().time()
        choice = self._chooser.choose(
            self._targets.list_usable(asking.service),
            registered=self._targets.list_registered(asking.service),
            key=asking.key,
            avoided=asking.avoided,
            can_fetch=asking.can_fetch,
            now=now,
        )
        if choice is not None:
            choice.target.in_flight += 1
            choice.target.sends.record(now)
        return choice

    def _refuse_ticket(self, line: _Line, ticket: fairness.Ticket) -> None:
        asking, place = line.askings[ticket.id]
        now = asyncio.get_running_loop().time()
        retry_after_ms = waiting.draw_retry_after(
            expected_s=0.0,
            now=now,
            deadline=asking.deadline,
            source=self._random,
        )
        if not place.done():
            place.set_result(
                _refuse(
                    results.Code.OVERLOADED,
                    "targets bear no more now",
                    retry_after_ms,
                )
            )


def _refuse(
    code: results.Code, message: str, retry_after_ms: int
) -> errors.Refusal:
    return errors.Refusal(
        code=code,
        ran=results.Ran.NO,
        message=message,
        retry_after_ms=retry_after_ms,
    )
