"""Simulates daemons and engines of bounded capacity with impatient clients.

Daemons use the limits, fair queue, retry budget and router of mothpass.core.
The baseline behaves like a plain proxy: it forwards every request at once,
retries slow attempts without a retry budget, and never cancels an attempt
whose client has given up.
"""

from collections import abc
import itertools
import random

from bench import clients
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
BATCH_SIZE = 16
SERVICE_TIME_S = (0.6, 1.4)
FIRST_TOKEN_SHARE = 0.1
CAPACITY_PER_S = ENGINES * BATCH_SIZE / (sum(SERVICE_TIME_S) / 2)
USUAL_RATE_PER_S = 0.7 * CAPACITY_PER_S
REPORT_INTERVAL_S = 1.0
REPORT_LAG_S = (0.5, 1.0)
END_S = 80.0
PROXY_MAX_ATTEMPTS = 3
PROXY_ATTEMPT_TIMEOUT_S = 3.0


class _Engine:
    """A model engine with a bounded batch and an unbounded queue."""

    def __init__(self, *, loop: clock.EventLoop, source: random.Random) -> None:
        self.running = 0
        self.queue: list[tuple[int, abc.Callable[[float], None]]] = []
        self._cancelled: set[int] = set()
        self._loop = loop
        self._random = source

    @property
    def queued(self) -> int:
        return len(self.queue) - len(self._cancelled)

    def enqueue(
        self, attempt_id: int, on_start: abc.Callable[[float], None]
    ) -> None:
        """Queues an attempt; ``on_start`` receives its service time."""
        self.queue.append((attempt_id, on_start))
        self._start_queued()

    def cancel(self, attempt_id: int) -> None:
        """Cancels a queued attempt; a running one continues to its end."""
        if any(item == attempt_id for item, _ in self.queue):
            self._cancelled.add(attempt_id)

    def finish(self) -> None:
        """Frees one slot of the batch."""
        self.running -= 1
        self._start_queued()

    def _start_queued(self) -> None:
        while self.queue and self.running < BATCH_SIZE:
            attempt_id, on_start = self.queue.pop(0)
            if attempt_id in self._cancelled:
                self._cancelled.discard(attempt_id)
                continue
            self.running += 1
            on_start(self._random.uniform(*SERVICE_TIME_S))


class _Daemon:
    """One daemon with limits, queue and router of mothpass.core."""

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
        self.team_limiter = limits.Limiter(code=results.Code.TEAM_LIMIT)
        self.team_limiter.set_limits(
            {item.name: item.limits for item in entries.teams}
        )
        self.model_limiter = limits.Limiter(code=results.Code.OVERLOADED)
        self.model_limiter.set_limits({MODEL: entries.models[0].limits})
        for limiter in (self.team_limiter, self.model_limiter):
            limiter.set_daemons(DAEMONS)
        self.queue = fair_queue.FairQueue(
            capacity=self.model_limiter.get_share(MODEL).queued
        )
        self.retry_budget = retries.RetryBudget()
        self.queued_requests: dict[int, clients.ClientRequest] = {}


class Simulation:
    """Simulation of clients, daemons and engines.

    Attributes:
        loop: Event loop in virtual time.
        requests: All requests of clients.
    """

    def __init__(
        self,
        *,
        seed: int,
        plain_proxy: bool,
        rate: abc.Callable[[str, float], float],
    ) -> None:
        """Prepares a run.

        Args:
            seed: Seed of all randomness.
            plain_proxy: Whether daemons behave like plain proxies.
            rate: Returns the requests per second of a team at a virtual time.
        """
        self.loop = clock.EventLoop()
        self.requests: list[clients.ClientRequest] = []
        self._random = random.Random(seed)
        self._plain_proxy = plain_proxy
        self._rate = rate
        self._ids = itertools.count()
        self._behaviour = clients.ClientBehaviour()
        self._engines = {
            f"e{number}": _Engine(loop=self.loop, source=self._random)
            for number in range(ENGINES)
        }
        self._daemons = [
            _Daemon(number=number, seed=seed) for number in range(DAEMONS)
        ]

    def run(self) -> None:
        """Runs the simulation to its end."""
        for team in TEAMS:
            self._schedule_arrival(team)
        self.loop.call_every(REPORT_INTERVAL_S, END_S, self._send_load_reports)
        self.loop.run(END_S)

    def _schedule_arrival(self, team: str) -> None:
        rate = self._rate(team, self.loop.now)
        delay_s = min(1.0, self._random.expovariate(rate))
        # Redraws after at most a second, as the rate may change.
        is_arrival = delay_s < 1.0

        def arrive() -> None:
            self._schedule_arrival(team)
            if is_arrival:
                request = clients.ClientRequest(
                    id=len(self.requests),
                    team=team,
                    first_sent_at=self.loop.now,
                )
                self.requests.append(request)
                self._send(request)

        self.loop.call_later(delay_s, arrive)

    def _send(self, request: clients.ClientRequest) -> None:
        """Sends a request through the next daemon, round-robin."""
        if request.done or request.send_count >= self._behaviour.max_sends:
            request.done = True
            return
        request.send_count += 1
        send_number = request.send_count
        daemon = self._daemons[next(self._ids) % DAEMONS]
        deadline = self.loop.now + self._behaviour.timeout_s

        def time_out() -> None:
            if not request.done and request.send_count == send_number:
                self._send(request)

        self.loop.call_at(deadline, time_out)
        if self._plain_proxy:
            self._forward(daemon, request, attempt_count=1)
        else:
            self._admit(daemon, request, deadline)

    # Plain proxy.

    def _forward(
        self,
        daemon: _Daemon,
        request: clients.ClientRequest,
        *,
        attempt_count: int,
    ) -> None:
        engine = self._random.choice(list(self._engines.values()))
        attempt_id = next(self._ids)
        answered = [False]

        def start(service_s: float) -> None:
            started_at = self.loop.now

            def end() -> None:
                engine.finish()
                answered[0] = True
                self._record_answer(request, started_at, service_s)

            self.loop.call_later(service_s, end)

        def retry() -> None:
            if not answered[0] and attempt_count < PROXY_MAX_ATTEMPTS:
                self._forward(daemon, request, attempt_count=attempt_count + 1)

        engine.enqueue(attempt_id, start)
        self.loop.call_later(PROXY_ATTEMPT_TIMEOUT_S, retry)

    # Daemon with admission, queue and routing.

    def _admit(
        self, daemon: _Daemon, request: clients.ClientRequest, deadline: float
    ) -> None:
        now = self.loop.now
        rejection = daemon.team_limiter.admit(request.team, now=now)
        if rejection is not None:
            self._reject(request, rejection.retry_after_ms)
            return
        rejection = daemon.model_limiter.admit(MODEL, now=now)
        if rejection is not None:
            daemon.team_limiter.release(request.team)
            self._reject(request, rejection.retry_after_ms)
            return
        queued_request = fair_queue.QueuedRequest(
            id=next(self._ids),
            team=request.team,
            weight=1,
            priority=5,
            deadline=deadline,
        )
        daemon.queued_requests[queued_request.id] = request
        for shed in daemon.queue.offer(queued_request):
            self._remove_queued(daemon, shed, rejected=True)
        self._dispatch_queued(daemon)

    def _dispatch_queued(self, daemon: _Daemon) -> None:
        while True:
            popped = daemon.queue.pop(now=self.loop.now)
            for queued_request in popped.expired:
                self._remove_queued(daemon, queued_request, rejected=False)
            popped_request = popped.request
            if popped_request is None:
                return
            placement = daemon.router.choose(
                routing.RouteRequest(
                    name=MODEL, chat=self._random.getrandbits(64)
                ),
                now=self.loop.now,
            )
            if not isinstance(placement, routing.Send):
                daemon.queue.requeue(popped_request)
                if isinstance(placement, routing.Wait):
                    self.loop.call_at(
                        placement.until, lambda: self._dispatch_queued(daemon)
                    )
                return
            self._start_attempt(daemon, popped_request, placement.target_id)

    def _start_attempt(
        self,
        daemon: _Daemon,
        queued_request: fair_queue.QueuedRequest,
        target_id: str,
    ) -> None:
        request = daemon.queued_requests.pop(queued_request.id)
        engine = self._engines[target_id]
        daemon.router.start_attempt(target_id, permit=None, now=self.loop.now)

        def finish_attempt(outcome: targets.Outcome) -> None:
            daemon.router.finish_attempt(
                target_id, outcome, first_token_ms=None, now=self.loop.now
            )
            daemon.team_limiter.release(queued_request.team)
            daemon.model_limiter.release(MODEL)
            self._dispatch_queued(daemon)

        started = [False]

        def start(service_s: float) -> None:
            started[0] = True
            started_at = self.loop.now

            def end() -> None:
                engine.finish()
                self._record_answer(request, started_at, service_s)
                finish_attempt(targets.Outcome.ANSWERED)

            self.loop.call_later(service_s, end)

        def cancel_unstarted() -> None:
            if not started[0]:
                engine.cancel(queued_request.id)
                finish_attempt(targets.Outcome.CANCELLED)

        engine.enqueue(queued_request.id, start)
        self.loop.call_at(queued_request.deadline, cancel_unstarted)

    def _remove_queued(
        self,
        daemon: _Daemon,
        queued_request: fair_queue.QueuedRequest,
        *,
        rejected: bool,
    ) -> None:
        request = daemon.queued_requests.pop(queued_request.id)
        daemon.team_limiter.release(queued_request.team)
        daemon.model_limiter.release(MODEL)
        if rejected:
            self._reject(request, 1000)

    def _reject(
        self, request: clients.ClientRequest, retry_after_ms: int | None
    ) -> None:
        request.rejections += 1
        resend_delay_s = clients.draw_resend_delay_s(
            self._behaviour, retry_after_ms, self._random
        )
        send_number = request.send_count

        def resend() -> None:
            if request.send_count == send_number:
                self._send(request)

        self.loop.call_later(resend_delay_s, resend)

    def _record_answer(
        self,
        request: clients.ClientRequest,
        started_at: float,
        service_s: float,
    ) -> None:
        if request.done:
            return
        request.done = True
        request.answered_at = self.loop.now
        first_at = started_at + FIRST_TOKEN_SHARE * service_s
        request.first_token_s = first_at - request.first_sent_at

    def _send_load_reports(self) -> None:
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
        in_flight=2 * ENGINES * BATCH_SIZE,
        requests_per_s=round(4 * CAPACITY_PER_S),
        queued=2 * ENGINES * BATCH_SIZE,
    )
    team_limits = catalogue.Limits(
        in_flight=2 * ENGINES * BATCH_SIZE // len(TEAMS),
        requests_per_s=round(2 * USUAL_RATE_PER_S / len(TEAMS)),
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
                target_in_flight=BATCH_SIZE,
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
