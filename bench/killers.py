"""Measures the containment of a request that crashes each target running it.

A client sends this poison request again and again. Daemons use the suspect
and trial tables of mothpass.core with simulated engines and exchange suspect
records periodically. The baselines have no suspects, or reject every request
that was in flight when a target died.
"""

from collections import abc
import enum
import itertools
import random

import msgspec

from bench import clock
from bench import measures
from mothpass.core import gates
from mothpass.core import suspects
from mothpass.core import trials

DAEMONS = 8
ENGINES = 5
RATE_PER_S = 40.0
SERVICE_TIME_S = (0.6, 1.4)
FIRST_EVENT_SHARE = 0.1
CRASH_DELAY_S = 0.2
RESTART_DELAY_S = 3.0
EXCHANGE_INTERVAL_S = 0.5
PEER_DELAY_S = 0.005
POISON_SENT_AT_S = 10.0
END_S = 60.0
DRAIN_S = 30.0
CLIENT_TIMEOUT_S = 20.0
RESEND_DELAY_S = 0.3
RETRY_DELAY_S = 0.05
MAX_CRASHES = 2
POISON_FINGERPRINT = 0


class SuspectPolicy(enum.Enum):
    """How daemons treat requests that were in flight when a target died."""

    TRIALS = "trials"
    NONE = "none"
    REJECT_ALL = "refuse_all"


class _Request:
    """One request of a client, including when it is sent again."""

    def __init__(self, *, fingerprint: int, sent_at: float) -> None:
        self.fingerprint = fingerprint
        self.sent_at = sent_at
        self.served = False
        self.was_bystander = False


class _Attempt:
    """One attempt of a request at an engine."""

    def __init__(
        self,
        *,
        request: _Request,
        daemon: int,
        on_death: abc.Callable[[], None],
    ) -> None:
        self.request = request
        self.daemon = daemon
        self.on_death = on_death
        self.events = 0
        self.ended = False


class _Engine:
    """An engine that dies ``CRASH_DELAY_S`` after the poison request starts."""

    def __init__(self, *, number: int) -> None:
        self.id = f"e{number}"
        self.boot_number = 1
        self.up = True
        self.attempts: list[_Attempt] = []

    @property
    def boot_id(self) -> str:
        return f"{self.id}-{self.boot_number}"


class Simulation:
    """Simulation of a fleet with one client whose request crashes targets.

    Attributes:
        loop: Event loop in virtual time.
        crashes: Number of engine crashes.
        requests: All requests but the poison request.
    """

    def __init__(self, *, seed: int, policy: SuspectPolicy) -> None:
        """Prepares a run.

        Args:
            seed: Seed of all randomness.
            policy: How daemons treat suspects.
        """
        self.loop = clock.EventLoop()
        self.crashes = 0
        self.requests: list[_Request] = []
        self._random = random.Random(seed)
        self._policy = policy
        self._engines = [_Engine(number=number) for number in range(ENGINES)]
        self._suspects = [
            suspects.SuspectTable(own_id=f"d{number}")
            for number in range(DAEMONS)
        ]
        self._gate = trials.TrialTable()
        self._rejected: set[int] = set()
        self._next_daemon = itertools.count()
        self._fingerprints = itertools.count(POISON_FINGERPRINT + 1)

    def run(self) -> None:
        """Runs the simulation to its end."""
        self._schedule_arrival()
        poison = _Request(
            fingerprint=POISON_FINGERPRINT, sent_at=POISON_SENT_AT_S
        )
        self.loop.call_at(POISON_SENT_AT_S, lambda: self._send(poison))
        self.loop.call_every(EXCHANGE_INTERVAL_S, END_S, self._exchange_records)
        self.loop.run(END_S)

    def _schedule_arrival(self) -> None:
        def arrive() -> None:
            request = _Request(
                fingerprint=next(self._fingerprints), sent_at=self.loop.now
            )
            self.requests.append(request)
            self._send(request)
            self._schedule_arrival()

        delay_s = self._random.expovariate(RATE_PER_S)
        self.loop.call_later(delay_s, arrive)

    def _exchange_records(self) -> None:
        """Sends each daemon's recent suspect records to all other daemons."""
        now = self.loop.now
        for sender in range(DAEMONS):
            records = self._suspects[sender].export(
                changed_since=now - 2 * EXCHANGE_INTERVAL_S, now=now
            )
            if records:
                self.loop.call_later(
                    PEER_DELAY_S, self._make_delivery(sender, records)
                )

    def _make_delivery(
        self, sender: int, records: list[suspects.Record]
    ) -> abc.Callable[[], None]:
        def deliver() -> None:
            for number, suspect_table in enumerate(self._suspects):
                if number != sender:
                    suspect_table.merge(records, now=self.loop.now)

        return deliver

    def _send(self, request: _Request) -> None:
        """Sends a request through the next daemon, round-robin."""
        is_timed_out = self.loop.now > request.sent_at + CLIENT_TIMEOUT_S
        if is_timed_out and request.fingerprint != POISON_FINGERPRINT:
            return
        self._route(request, next(self._next_daemon) % DAEMONS)

    def _resend(
        self, request: _Request, delay_s: float = RESEND_DELAY_S
    ) -> None:
        self.loop.call_later(delay_s, lambda: self._send(request))

    def _route(self, request: _Request, daemon: int) -> None:
        """Dispatches a request as a daemon's dispatcher does."""
        if self._policy is SuspectPolicy.REJECT_ALL and (
            request.fingerprint in self._rejected
        ):
            self._resend(request)
            return
        suspect_table = self._suspects[daemon]
        decision = suspects.Decision(verdict=suspects.Verdict.CLEAR)
        if self._policy is SuspectPolicy.TRIALS:
            decision = suspect_table.check(
                request.fingerprint, now=self.loop.now
            )
        if decision.verdict is suspects.Verdict.CLEAR:
            self._start_on_any_engine(request, daemon)
        elif decision.verdict is suspects.Verdict.HELD:
            self.loop.call_at(
                decision.until, lambda: self._route(request, daemon)
            )
        elif decision.verdict is suspects.Verdict.ALONE:
            self._start_trial(request, daemon)
        elif decision.verdict is suspects.Verdict.ELSEWHERE:
            self._resend(request, 2.0)
        else:
            # The client of the poison request ignores the retry-after time.
            self._resend(request)

    def _start_on_any_engine(self, request: _Request, daemon: int) -> None:
        up = [engine for engine in self._engines if engine.up]
        if not up:
            self.loop.call_later(
                RETRY_DELAY_S, lambda: self._route(request, daemon)
            )
            return
        self._start(request, daemon, self._random.choice(up), None)

    def _start_trial(self, request: _Request, daemon: int) -> None:
        """Starts a trial at the first engine granting it, in random order."""
        order = self._random.sample(self._engines, ENGINES)
        for engine in (item for item in order if item.up):
            grant_request = gates.GrantRequest(
                target_id=engine.id,
                boot_id=engine.boot_id,
                call_ms=5000,
                alone=True,
            )
            reply = self._gate.grant(
                grant_request, fencing=1, now=self.loop.now
            )
            if isinstance(reply, gates.Granted):
                permit = gates.make_permit(
                    grant_request, reply, gate="d0", requested_at=self.loop.now
                )
                self._start(request, daemon, engine, permit)
                return
        self.loop.call_later(
            RETRY_DELAY_S, lambda: self._start_trial(request, daemon)
        )

    def _start(
        self,
        request: _Request,
        daemon: int,
        engine: _Engine,
        permit: gates.Permit | None,
    ) -> None:
        def release() -> None:
            if permit is not None:
                self._gate.release(gates.make_release(permit, answered=True))

        def on_death() -> None:
            release()
            self._handle_loss(request, daemon, attempt)

        attempt = _Attempt(request=request, daemon=daemon, on_death=on_death)
        engine.attempts.append(attempt)
        if request.fingerprint == POISON_FINGERPRINT:
            self.loop.call_later(
                CRASH_DELAY_S, lambda: self._crash(engine, attempt)
            )
            return
        service_s = self._random.uniform(*SERVICE_TIME_S)

        def send_first_event() -> None:
            if not attempt.ended:
                attempt.events = 1
                self._record_progress(request, daemon, 1, release)

        def end() -> None:
            if not attempt.ended:
                attempt.ended = True
                engine.attempts.remove(attempt)
                request.served = True
                self._record_progress(request, daemon, 1 << 30, release)

        self.loop.call_later(FIRST_EVENT_SHARE * service_s, send_first_event)
        self.loop.call_later(service_s, end)

    def _record_progress(
        self,
        request: _Request,
        daemon: int,
        position: int,
        release: abc.Callable[[], None],
    ) -> None:
        suspect_table = self._suspects[daemon]
        if suspect_table.record_progress(
            request.fingerprint, position, now=self.loop.now
        ):
            release()

    def _crash(self, engine: _Engine, poison_attempt: _Attempt) -> None:
        if poison_attempt.ended or not engine.up:
            return
        self.crashes += 1
        engine.up = False
        lost, engine.attempts = engine.attempts, []
        boot_id = engine.boot_id
        for daemon in range(DAEMONS):
            running = [
                suspects.InFlightRequest(
                    fingerprint=attempt.request.fingerprint,
                    position=attempt.events,
                )
                for attempt in lost
                if attempt.daemon == daemon
            ]
            if running and self._policy is SuspectPolicy.TRIALS:
                self._suspects[daemon].record_death(
                    boot_id, running, now=self.loop.now
                )
        for attempt in lost:
            attempt.ended = True
            attempt.request.was_bystander = True
            self._rejected.add(attempt.request.fingerprint)
            attempt.on_death()
        self.loop.call_later(RESTART_DELAY_S, lambda: self._restart(engine))

    def _restart(self, engine: _Engine) -> None:
        engine.boot_number += 1
        engine.up = True

    def _handle_loss(
        self, request: _Request, daemon: int, attempt: _Attempt
    ) -> None:
        """Retries a lost request where its client has received nothing."""
        if attempt.events == 0:
            self._route(request, daemon)
            return
        self._suspects[daemon].release_trial(
            request.fingerprint, now=self.loop.now
        )
        self._resend(request)


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of a run.

    Attributes:
        crashes: Number of engine crashes.
        bystanders_served_share: Share of the requests in flight at a crash
            that got a complete answer in time; 1 where there were none.
        served_share: Share of all requests but the poison request.
    """

    crashes: int
    bystanders_served_share: float
    served_share: float


def run_poison(*, seed: int, policy: SuspectPolicy) -> Outcome:
    """Runs the poison request against one suspect policy."""
    simulation = Simulation(seed=seed, policy=policy)
    simulation.run()
    settled = [
        item for item in simulation.requests if item.sent_at < END_S - DRAIN_S
    ]
    bystanders = [item for item in settled if item.was_bystander]
    return Outcome(
        crashes=simulation.crashes,
        bystanders_served_share=_compute_served_share(bystanders),
        served_share=_compute_served_share(settled),
    )


def _compute_served_share(requests: list[_Request]) -> float:
    if not requests:
        return 1.0
    return sum(item.served for item in requests) / len(requests)


def measure(seed: int) -> list[measures.Measure]:
    """Measures crashes and the share of bystanders served."""
    with_trials = run_poison(seed=seed, policy=SuspectPolicy.TRIALS)
    without_suspects = run_poison(seed=seed, policy=SuspectPolicy.NONE)
    reject_all = run_poison(seed=seed, policy=SuspectPolicy.REJECT_ALL)
    return [
        measures.Measure(
            measure="killer_targets_killed",
            value=with_trials.crashes,
            bound=MAX_CRASHES,
            ok=with_trials.crashes <= MAX_CRASHES,
            baselines={
                "no_suspects": without_suspects.crashes,
                "refuse_all": reject_all.crashes,
            },
            best=1,
            seed=seed,
        ),
        measures.Measure(
            measure="killer_share_served_of_those_beside",
            value=with_trials.bystanders_served_share,
            bound=1.0,
            ok=with_trials.bystanders_served_share >= 1.0,
            baselines={
                "no_suspects": without_suspects.bystanders_served_share,
                "refuse_all": reject_all.bystanders_served_share,
            },
            best=1.0,
            seed=seed,
        ),
    ]
