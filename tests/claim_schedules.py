"""Runs random schedules of requests with one key through two daemons.

Faults occur at random: outages of the store, writes that are lost before or
after they take effect or that take effect late, daemons that die or are paused
at any step, targets that can't be reached or whose answer is lost. Time is
virtual.
"""

import asyncio
import collections
from collections import abc
import logging
import random
import typing

from returns import result

from mothpass.core import claims as core_claims
from mothpass.core import errors
from mothpass.core import results
from mothpass.core import store_budgets
from mothpass.daemon import at_most_once
from mothpass.daemon import stores
from mothpass.ports import tables
from mothpass.ports import targets
from tests import fakes_platform
from tests import virtual_time

DAEMONS = 2
KEPT_MS = 60_000
LAST_DEADLINE_S = 20.0
# Faults after which the outcome of a key may stay unknown, and the outcomes
# that state it. Without such a fault, the last request of a schedule must have
# another outcome.
UNSETTLING_FAULTS = {"death", "pause", "request lost", "target answer lost"}
UNSETTLED_OUTCOMES = {
    "IN_PROGRESS unknown",
    "OUTCOME_UNKNOWN unknown",
    "no answer",
}
BODY = b'{"amount": 30}'
OTHER_BODY = b'{"amount": 31}'

Faults = collections.Counter[str]
RunOnce = abc.Callable[
    [at_most_once.Request, targets.Attempt, at_most_once.SendAttempt],
    abc.Awaitable[at_most_once.Outcome],
]


class Environment:
    """The clock, table, ledger and faults of one schedule.

    Attributes:
        faults: Number of occurrences of each fault.
        ledger: Attempts in the order in which the service ran them.
        loop: Event loop with virtual time.
        outage_until: Time until which the store is down.
        rng: Source of all random choices.
        tables: The store's tables.
        violations: Violations that were found.
    """

    __slots__ = (
        "faults",
        "ledger",
        "loop",
        "outage_until",
        "rng",
        "tables",
        "violations",
    )

    def __init__(self, *, seed: int, loop: asyncio.AbstractEventLoop) -> None:
        self.rng = random.Random(seed)
        self.loop = loop
        self.tables = fakes_platform.MemoryTables()
        self.ledger: list[targets.Attempt] = []
        self.outage_until = 0.0
        self.faults: Faults = collections.Counter()
        self.violations: list[str] = []

    def draw_fault(self, fault: str, chance: float) -> bool:
        """Draws whether a fault occurs now, and counts it."""
        if self.rng.random() >= chance:
            return False
        self.faults[fault] += 1
        return True


class DaemonRun:
    """A daemon from its start until it dies.

    Attributes:
        alive: Whether it still runs.
        name: Name that is unique among all runs.
        paused_until: Time until which it is paused.
    """

    __slots__ = ("_env", "alive", "name", "paused_until")

    def __init__(self, *, name: str, env: Environment) -> None:
        self.name = name
        self._env = env
        self.alive = True
        self.paused_until = 0.0

    async def pass_time(self, max_s: float) -> None:
        """Waits for a random time; never returns if the daemon dies."""
        await asyncio.sleep(self._env.rng.uniform(0.0, max_s))
        await self._wait_while_paused()

    async def _wait_while_paused(self) -> None:
        pause_s = self.paused_until - self._env.loop.time()
        if pause_s > 0:
            await asyncio.sleep(pause_s)
            await self._wait_while_paused()
        if not self.alive:
            await asyncio.get_running_loop().create_future()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        await self._wait_while_paused()

    def _check_store_up(self) -> None:
        env = self._env
        if env.loop.time() < env.outage_until:
            env.faults["refused in outage"] += 1
            raise errors.StoreUnavailableError("down")

    async def read_row(self, table: str, key: str) -> tables.Row | None:
        env = self._env
        await self.pass_time(0.02)
        self._check_store_up()
        row = await env.tables.read_row(table, key)
        await self.pass_time(1.0 if env.draw_fault("slow read", 0.05) else 0.02)
        if env.draw_fault("read lost", 0.04):
            raise errors.StoreUnavailableError("no answer")
        return row

    async def scan_rows(
        self, table: str, prefix: str, limit: int
    ) -> list[tables.Row]:
        raise NotImplementedError(table, prefix, limit)

    async def transact(
        self, writes: list[tables.Write]
    ) -> tables.Committed | tables.Conflict:
        env = self._env
        await self.pass_time(0.02)
        self._check_store_up()
        if env.draw_fault("write dropped", 0.06):
            await self.pass_time(0.5)
            raise errors.StoreUnconfirmedError("dropped")
        if env.draw_fault("write late", 0.08):
            delay = env.rng.uniform(0.0, 3.0)
            env.loop.call_later(delay, env.tables.apply_writes, writes)
            await self.pass_time(0.5)
            raise errors.StoreUnconfirmedError("late")
        outcome = env.tables.apply_writes(writes)
        await self.pass_time(
            1.0 if env.draw_fault("slow write", 0.05) else 0.02
        )
        if env.draw_fault("answer lost", 0.15):
            raise errors.StoreUnconfirmedError("lost")
        return outcome

    async def run(self, attempt: targets.Attempt) -> targets.Answer:
        """Sends an attempt to the service, as ``SendAttempt`` requires."""
        env = self._env
        await self.pass_time(0.05)
        if env.loop.time() >= attempt.deadline:
            raise errors.TargetUnreachableError("past the deadline")
        if env.draw_fault("target unreachable", 0.2):
            raise errors.TargetUnreachableError("refused")
        if env.draw_fault("request lost", 0.05):
            await self.pass_time(0.3)
            raise errors.TargetAnswerLostError("cut")
        env.ledger.append(attempt)
        await self.pass_time(0.3)
        if env.draw_fault("target answer lost", 0.1):
            raise errors.TargetAnswerLostError("cut")
        return targets.Answer(
            attempt_id=attempt.id,
            status=200,
            body=b'{"receipt": "%s"}' % attempt.id.encode(),
            boot_id="b1",
        )


BuildRunOnce = abc.Callable[[DaemonRun, Environment], RunOnce]


def build_at_most_once_runner(daemon: DaemonRun, env: Environment) -> RunOnce:
    """Builds the runner of mothpass for one run of a daemon."""
    store = stores.Store(
        read_row=daemon.read_row,
        scan_rows=daemon.scan_rows,
        transact=daemon.transact,
        get_object=fakes_platform.MemoryObjects().get_object,
        put_object=fakes_platform.MemoryObjects().put_object,
        store_budget=store_budgets.StoreBudget(
            reads_per_s=1e6, writes_per_s=1e6, daemons=1, now=0.0
        ),
        monotonic=env.loop.time,
    )
    return at_most_once.AtMostOnceRunner(
        store=store,
        monotonic=env.loop.time,
        wall=env.loop.time,
        sleep=daemon.sleep,
        random=env.rng,
    ).run_once


class Schedule:
    """Requests, deaths, pauses and outages at random times."""

    __slots__ = (
        "_build",
        "_daemons",
        "_request_count",
        "_run_once",
        "env",
        "outcomes",
    )

    def __init__(self, *, env: Environment, build: BuildRunOnce) -> None:
        self.env = env
        self._build = build
        self._request_count = 0
        self._daemons: list[DaemonRun] = []
        self._run_once: list[RunOnce] = []
        self.outcomes: collections.Counter[str] = collections.Counter()
        for number in range(DAEMONS):
            self._daemons.append(DaemonRun(name=f"d{number}.0", env=env))
            self._run_once.append(build(self._daemons[number], env))

    async def run(self) -> None:
        """Runs the schedule, then sends one more request.

        The store is up by then and no daemon is killed or paused any more,
        but messages may still get lost.
        """
        env = self.env
        requests = env.rng.randint(2, 5)
        tasks = [
            self._send_request_later(env.rng.uniform(0, 3))
            for _ in range(requests)
        ]
        tasks.append(self._inject_faults())
        await asyncio.gather(*tasks)
        env.outage_until = 0.0
        await asyncio.sleep(30.0)
        before = collections.Counter(self.outcomes)
        await self._send_request(BODY, LAST_DEADLINE_S)
        last_outcomes = self.outcomes - before
        if (
            not UNSETTLING_FAULTS & env.faults.keys()
            and UNSETTLED_OUTCOMES & last_outcomes.keys()
        ):
            env.violations.append("no fault that explains the last answer")
        if len(env.ledger) > 1:
            env.violations.append(f"ran {len(env.ledger)} times")

    async def _send_request_later(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        is_other = self.env.draw_fault("other body", 0.05)
        deadline_s = self.env.rng.uniform(0.3, 6.0)
        await self._send_request(OTHER_BODY if is_other else BODY, deadline_s)

    async def _send_request(self, body: bytes, deadline_s: float) -> None:
        """Sends a request through a daemon; a dead daemon never answers."""
        env = self.env
        self._request_count += 1
        number = env.rng.randrange(DAEMONS)
        deadline = env.loop.time() + deadline_s
        attempt = targets.Attempt(
            id=f"{self._daemons[number].name}-{self._request_count}",
            target_id="s1",
            address="127.0.0.1:1",
            path="/v1/call/payment",
            body=body,
            priority=0,
            idempotency_key="k1",
            deadline=deadline,
        )
        request = at_most_once.Request(
            team="north",
            service="payment",
            idempotency_key="k1",
            body=body,
            deadline=deadline,
            result_kept_ms=KEPT_MS,
        )
        pending = self._run_once[number](
            request, attempt, self._daemons[number].run
        )
        task = asyncio.ensure_future(pending)
        client_timeout_s = 60.0
        is_last = deadline_s >= LAST_DEADLINE_S
        if not is_last and env.draw_fault("client gone", 0.1):
            client_timeout_s = env.rng.uniform(0.0, 0.3)
        done, _ = await asyncio.wait({task}, timeout=client_timeout_s)
        if not done:
            task.cancel()
            done, _ = await asyncio.wait({task}, timeout=60.0)
        if not done or task.cancelled():
            self.outcomes["no answer"] += 1
            return
        self._check_outcome(task.result(), body)

    def _check_outcome(
        self, outcome: at_most_once.Outcome, body: bytes
    ) -> None:
        """Checks an outcome against the ledger at the time of the answer."""
        ran = len(self.env.ledger)
        if isinstance(outcome, result.Success):
            self.outcomes["answer"] += 1
            text = outcome.unwrap().body.decode()
            is_own = any(
                f'"{attempt.id}"' in text and attempt.body == body
                for attempt in self.env.ledger
            )
            if not is_own:
                self.env.violations.append("answer of no run of this body")
            return
        refusal = outcome.failure()
        self.outcomes[f"{refusal.code.name} {refusal.ran}"] += 1
        if refusal.ran is results.Ran.NO and ran > 0:
            self.env.violations.append(f'"not run" after {ran} runs')
        if refusal.ran is results.Ran.YES and ran == 0:
            self.env.violations.append('"ran" before any run')

    async def _inject_faults(self) -> None:
        """Injects outages, pauses and deaths at random times."""
        env = self.env
        for _ in range(env.rng.randint(0, 4)):
            await asyncio.sleep(env.rng.uniform(0.0, 1.5))
            number = env.rng.randrange(DAEMONS)
            if env.draw_fault("outage", 0.3):
                outage_s = env.rng.uniform(0.1, 4.0)
                env.outage_until = env.loop.time() + outage_s
            elif env.draw_fault("pause", 0.5):
                pause_s = env.rng.choice([0.5, 5.0, 200.0])
                self._daemons[number].paused_until = env.loop.time() + pause_s
            elif env.draw_fault("death", 0.9):
                self._restart_daemon(number)

    def _restart_daemon(self, number: int) -> None:
        name = f"d{number}.{self._request_count + 1}-{self.env.rng.random()}"
        self._daemons[number].alive = False
        self._daemons[number] = DaemonRun(name=name, env=self.env)
        self._run_once[number] = self._build(self._daemons[number], self.env)


class Report(typing.NamedTuple):
    """Result of a series of schedules.

    Attributes:
        violations: First violation of each seed that has one.
        faults: Faults over all schedules.
        outcomes: Outcomes over all schedules.
        runs: Number of schedules in which the call ran.
    """

    violations: dict[int, str]
    faults: Faults
    outcomes: collections.Counter[str]
    runs: int


def run_schedules(seeds: abc.Iterable[int], build: BuildRunOnce) -> Report:
    """Runs a schedule for each seed and returns a common report."""
    report = Report({}, collections.Counter(), collections.Counter(), 0)
    runs = 0
    logging.disable(logging.CRITICAL)
    try:
        for seed in seeds:
            loop = virtual_time.VirtualLoop()
            try:
                env = Environment(seed=seed, loop=loop)
                schedule = Schedule(env=env, build=build)
                loop.run_all(schedule.run())
            finally:
                loop.close()
            report.faults.update(env.faults)
            report.outcomes.update(schedule.outcomes)
            runs += bool(env.ledger)
            if env.violations:
                report.violations[seed] = env.violations[0]
    finally:
        logging.disable(logging.NOTSET)
    return report._replace(runs=runs)


def build_retry_baseline(daemon: DaemonRun, _env: Environment) -> RunOnce:
    """Builds a baseline without claims that retries after a lost answer."""

    async def run_once(
        _request: at_most_once.Request,
        attempt: targets.Attempt,
        run: at_most_once.SendAttempt,
    ) -> at_most_once.Outcome:
        for _ in range(3):
            try:
                return result.Success(await run(attempt))
            except (
                errors.TargetAnswerLostError,
                errors.TargetUnreachableError,
            ):
                await daemon.sleep(0.05)
        return _refuse(results.Ran.UNKNOWN)

    return run_once


def build_blind_baseline(daemon: DaemonRun, _env: Environment) -> RunOnce:
    """Builds a baseline that treats unconfirmed writes as not committed."""

    async def run_once(
        request: at_most_once.Request,
        attempt: targets.Attempt,
        run: at_most_once.SendAttempt,
    ) -> at_most_once.Outcome:
        call = core_claims.Call(
            team=request.team,
            service=request.service,
            idempotency_key=request.idempotency_key,
            body_sha256=core_claims.hash_body(request.body),
            token=attempt.id,
            deadline=request.deadline,
            may_run_until_ms=0,
            kept_until_ms=0,
        )
        step = core_claims.examine(call, None, wall_ms=0)
        assert isinstance(step, core_claims.Take)
        try:
            outcome = await daemon.transact([step.write])
        except (errors.StoreUnconfirmedError, errors.StoreUnavailableError):
            return _refuse(results.Ran.NO)
        if isinstance(outcome, tables.Conflict):
            return _refuse(results.Ran.NO)
        try:
            return result.Success(await run(attempt))
        except (errors.TargetAnswerLostError, errors.TargetUnreachableError):
            return _refuse(results.Ran.UNKNOWN)

    return run_once


def _refuse(ran: results.Ran) -> at_most_once.Outcome:
    return result.Failure(
        errors.Refusal(
            code=results.Code.TARGET_FAILED, ran=ran, message="baseline"
        )
    )
