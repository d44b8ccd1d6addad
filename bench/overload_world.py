"""Daemons before a bounded fleet of engines, with impatient callers.

Daemons run the real limits, fair queue, retry budget and router before
engines of bounded batches. The baseline is what a plain proxy does: every
request goes on at once, attempts that take long are sent again without a
budget, and nothing that was given up is taken back.
"""

from collections import abc
import itertools
import random

from bench import callers
from bench import clock
from mothpass.core import catalogue
from mothpass.core import fair_queue
from mothpass.core import limits
from mothpass.core import results
from mothpass.core import retries
from mothpass.core import routing
from mothpass.core import targets
from mothpass.ports import members
from mothpass.ports import targets as targets_port

MODEL = "advice"
TEAMS = tuple(f"team-{number}" for number in range(10))
DAEMONS = 8
ENGINES = 5
BATCH = 16
SERVICE_S = (0.6, 1.4)
FIRST_TOKEN_SHARE = 0.1
CAPACITY_PER_S = ENGINES * BATCH / (sum(SERVICE_S) / 2)
USUAL_PER_S = 0.7 * CAPACITY_PER_S
REPORT_S = 1.0
REPORT_LAG_S = (0.5, 1.0)
END_S = 80.0
NAIVE_TRIES = 3
NAIVE_TIMEOUT_S = 3.0


class _Engine:
    """A batch of bounded size before a queue without a bound."""

    def __init__(self, *, loop: clock.EventLoop, source: random.Random) -> None:
        self.running = 0
        self.queue: list[tuple[int, abc.Callable[[float], None]]] = []
        self._cancelled: set[int] = set()
        self._loop = loop
        self._random = source

    @property
    def queued(self) -> int:
        return len(self.queue) - len(self._cancelled)

    def take(self, work: int, on_start: abc.Callable[[float], None]) -> None:
        """Runs work once there is room; tells when it will end."""
        self.queue.append((work, on_start))
        self._fill()

    def cancel(self, work: int) -> None:
        """Drops work that waits; what runs has to end by itself."""
        if any(item == work for item, _ in self.queue):
            self._cancelled.add(work)

    def finish(self) -> None:
        """Frees one place."""
        self.running -= 1
        self._fill()

    def _fill(self) -> None:
        while self.queue and self.running < BATCH:
            work, on_start = self.queue.pop(0)
            if work in self._cancelled:
                self._cancelled.discard(work)
                continue
            self.running += 1
            on_start(self._random.uniform(*SERVICE_S))


class _Daemon:
    """One daemon with the real parts of the core."""

    def __init__(self, *, number: int, seed: int) -> None:
        entries = _make_catalogue()
        self.router = routing.Router(
            instance_id=f"d{number}",
            availability_zone="a",
            slot=number,
            slots=DAEMONS,
            random=random.Random(seed * 100 + number),
        )
        self.router.set_catalogue(entries, now=0.0)
        self.router.set_members(_make_members(), now=0.0)
        self.teams = limits.Limiter(code=results.Code.TEAM_LIMIT)
        self.teams.set_limits(
            {item.name: item.limits for item in entries.teams}
        )
        self.names = limits.Limiter(code=results.Code.OVERLOADED)
        self.names.set_limits({MODEL: entries.models[0].limits})
        for limiter in (self.teams, self.names):
            limiter.set_daemons(DAEMONS)
        self.queue = fair_queue.FairQueue(
            capacity=self.names.get_share(MODEL).queued
        )
        self.budget = retries.RetryBudget()
        self.waiting: dict[int, callers.Sending] = {}


class World:
    """Callers, daemons and engines under one way of working.

    Attributes:
        loop: Virtual time.
        sendings: All requests of callers.
    """

    def __init__(
        self,
        *,
        seed: int,
        naive: bool,
        rate: abc.Callable[[str, float], float],
    ) -> None:
        """Prepares a run.

        Args:
            seed: Seed of all randomness.
            naive: Whether daemons are plain proxies.
            rate: Requests a second of a team at a moment.
        """
        self.loop = clock.EventLoop()
        self.sendings: list[callers.Sending] = []
        self._random = random.Random(seed)
        self._naive = naive
        self._rate = rate
        self._ids = itertools.count()
        self._patience = callers.Patience()
        self._engines = {
            f"e{number}": _Engine(loop=self.loop, source=self._random)
            for number in range(ENGINES)
        }
        self._daemons = [
            _Daemon(number=number, seed=seed) for number in range(DAEMONS)
        ]

    def run(self) -> None:
        """Runs to the end."""
        for team in TEAMS:
            self._schedule_arrival(team)
        self.loop.call_every(REPORT_S, END_S, self._send_reports)
        self.loop.run(END_S)

    def _schedule_arrival(self, team: str) -> None:
        rate = self._rate(team, self.loop.now)
        pause = min(1.0, self._random.expovariate(rate))
        # A long pause is cut short and drawn anew, as the rate may change.
        arrives = pause < 1.0

        def arrive() -> None:
            self._schedule_arrival(team)
            if arrives:
                sending = callers.Sending(
                    id=len(self.sendings), team=team, born_at=self.loop.now
                )
                self.sendings.append(sending)
                self._send(sending)

        self.loop.call_later(pause, arrive)

    def _send(self, sending: callers.Sending) -> None:
        """Sends a request through the next daemon of the balancer."""
        if sending.done or sending.tries >= self._patience.most_tries:
            sending.done = True
            return
        sending.tries += 1
        tried = sending.tries
        daemon = self._daemons[next(self._ids) % DAEMONS]
        deadline = self.loop.now + self._patience.wait_s

        def give_up() -> None:
            if not sending.done and sending.tries == tried:
                self._send(sending)

        self.loop.call_at(deadline, give_up)
        if self._naive:
            self._forward(daemon, sending, tries=1)
        else:
            self._admit(daemon, sending, deadline)

    # The plain proxy.

    def _forward(
        self, daemon: _Daemon, sending: callers.Sending, *, tries: int
    ) -> None:
        engine = self._random.choice(list(self._engines.values()))
        work = next(self._ids)
        answered = [False]

        def start(service_s: float) -> None:
            begun = self.loop.now

            def end() -> None:
                engine.finish()
                answered[0] = True
                self._answer(sending, begun, service_s)

            self.loop.call_later(service_s, end)

        def retry() -> None:
            if not answered[0] and tries < NAIVE_TRIES:
                self._forward(daemon, sending, tries=tries + 1)

        engine.take(work, start)
        self.loop.call_later(NAIVE_TIMEOUT_S, retry)

    # The real parts.

    def _admit(
        self, daemon: _Daemon, sending: callers.Sending, deadline: float
    ) -> None:
        now = self.loop.now
        refusal = daemon.teams.admit(sending.team, now=now)
        if refusal is not None:
            self._refuse(sending, refusal.retry_after_ms)
            return
        refusal = daemon.names.admit(MODEL, now=now)
        if refusal is not None:
            daemon.teams.release(sending.team)
            self._refuse(sending, refusal.retry_after_ms)
            return
        ticket = fair_queue.QueuedRequest(
            id=next(self._ids),
            team=sending.team,
            weight=1,
            priority=5,
            deadline=deadline,
        )
        daemon.waiting[ticket.id] = sending
        for shed in daemon.queue.offer(ticket):
            self._drop(daemon, shed, refused=True)
        self._serve(daemon)

    def _serve(self, daemon: _Daemon) -> None:
        while True:
            popped = daemon.queue.pop(now=self.loop.now)
            for ticket in popped.expired:
                self._drop(daemon, ticket, refused=False)
            ticket_or_none = popped.request
            if ticket_or_none is None:
                return
            choice = daemon.router.choose(
                routing.RouteRequest(
                    name=MODEL, chat=self._random.getrandbits(64)
                ),
                now=self.loop.now,
            )
            if not isinstance(choice, routing.Send):
                daemon.queue.requeue(ticket_or_none)
                if isinstance(choice, routing.Wait):
                    self.loop.call_at(choice.until, lambda: self._serve(daemon))
                return
            self._dispatch(daemon, ticket_or_none, choice.target_id)

    def _dispatch(
        self, daemon: _Daemon, ticket: fair_queue.QueuedRequest, target_id: str
    ) -> None:
        sending = daemon.waiting.pop(ticket.id)
        engine = self._engines[target_id]
        daemon.router.start_attempt(target_id, permit=None, now=self.loop.now)

        def leave(outcome: targets.Outcome) -> None:
            daemon.router.finish_attempt(
                target_id, outcome, first_token_ms=None, now=self.loop.now
            )
            daemon.teams.release(ticket.team)
            daemon.names.release(MODEL)
            self._serve(daemon)

        started = [False]

        def start(service_s: float) -> None:
            started[0] = True
            begun = self.loop.now

            def end() -> None:
                engine.finish()
                self._answer(sending, begun, service_s)
                leave(targets.Outcome.ANSWERED)

            self.loop.call_later(service_s, end)

        def expire() -> None:
            if not started[0]:
                engine.cancel(ticket.id)
                leave(targets.Outcome.CANCELLED)

        engine.take(ticket.id, start)
        self.loop.call_at(ticket.deadline, expire)

    def _drop(
        self,
        daemon: _Daemon,
        ticket: fair_queue.QueuedRequest,
        *,
        refused: bool,
    ) -> None:
        sending = daemon.waiting.pop(ticket.id)
        daemon.teams.release(ticket.team)
        daemon.names.release(MODEL)
        if refused:
            self._refuse(sending, 1000)

    def _refuse(
        self, sending: callers.Sending, retry_after_ms: int | None
    ) -> None:
        sending.refused += 1
        pause_s = callers.draw_pause_s(
            self._patience, retry_after_ms, self._random
        )
        tried = sending.tries

        def again() -> None:
            if sending.tries == tried:
                self._send(sending)

        self.loop.call_later(pause_s, again)

    def _answer(
        self, sending: callers.Sending, begun: float, service_s: float
    ) -> None:
        if sending.done:
            return
        sending.done = True
        sending.answered_at = self.loop.now
        first_at = begun + FIRST_TOKEN_SHARE * service_s
        sending.first_token_s = first_at - sending.born_at

    def _send_reports(self) -> None:
        for target_id, engine in self._engines.items():
            record = targets.LoadRecord(
                target_id=target_id,
                boot_id="b1",
                phase=targets_port.Phase.WARM,
                running=engine.running,
                queued=engine.queued,
                received_at=self.loop.now,
            )
            for daemon in self._daemons:
                self.loop.call_later(
                    self._random.uniform(*REPORT_LAG_S),
                    _make_delivery(daemon, record, self.loop),
                )


def _make_delivery(
    daemon: _Daemon, record: targets.LoadRecord, loop: clock.EventLoop
) -> abc.Callable[[], None]:
    def deliver() -> None:
        daemon.router.record_loads([record], now=loop.now)

    return deliver


def _make_catalogue() -> catalogue.Catalogue:
    fleet_limits = catalogue.Limits(
        in_flight=2 * ENGINES * BATCH,
        requests_per_s=round(4 * CAPACITY_PER_S),
        queued=2 * ENGINES * BATCH,
    )
    team_limits = catalogue.Limits(
        in_flight=2 * ENGINES * BATCH // len(TEAMS),
        requests_per_s=round(2 * USUAL_PER_S / len(TEAMS)),
        queued=20,
    )
    return catalogue.Catalogue(
        classes=[
            catalogue.ServiceClass(name="chat", priority=5, deadline_ms=4000)
        ],
        models=[
            catalogue.Model(
                name=MODEL,
                owner="bench",
                service_class="chat",
                limits=fleet_limits,
                target_in_flight=BATCH,
                cold_start=catalogue.ColdStart(
                    in_flight=1, answers_per_step=1, warm_in_flight=4
                ),
            )
        ],
        services=[],
        teams=[
            catalogue.Team(
                name=team,
                owner="bench",
                service_class="chat",
                limits=team_limits,
                key_sha256=["0" * 64],
                uses=[MODEL],
            )
            for team in TEAMS
        ],
        availability_zones=[
            catalogue.AvailabilityZone(name="a", region="bc-west")
        ],
    )


def _make_members() -> members.Members:
    daemons = [
        members.Instance(
            id=f"d{number}",
            role=members.Role.DAEMON,
            state=members.State.LIVE,
            address=f"127.0.0.1:{1000 + number}",
            availability_zone="a",
        )
        for number in range(DAEMONS)
    ]
    engines = [
        members.Instance(
            id=f"e{number}",
            role=members.Role.ENGINE,
            state=members.State.LIVE,
            address=f"127.0.0.1:{2000 + number}",
            availability_zone="a",
            serves=[MODEL],
        )
        for number in range(ENGINES)
    ]
    return members.Members(revision=1, instances=daemons + engines)
