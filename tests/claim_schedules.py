"""Random schedules of two daemons, one key, a table and a ledger.

Everything that can go wrong on the way of a call goes wrong here at random:
outages, writes that are lost before or after they take effect or that take
effect late, daemons that die or are paused at any step, targets that can't be
reached or whose answer is lost. Time is virtual.
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
# Faults after which a key may stay without a known outcome, and the answers
# that say so; without these faults the last ask must learn more.
STUCK_FAULTS = {"death", "pause", "request lost", "target answer lost"}
STUCK = {"IN_PROGRESS unknown", "OUTCOME_UNKNOWN unknown", "no answer"}
BODY = b'{"amount": 30}'
OTHER_BODY = b'{"amount": 31}'

Faults = collections.Counter[str]
RunOnce = abc.Callable[
    [at_most_once.Request, targets.Attempt, at_most_once.SendAttempt],
    abc.Awaitable[at_most_once.Outcome],
]


class World:
    """What one schedule shares: clock, table, ledger, faults.

    Attributes:
        faults: What went wrong, counted.
        ledger: Attempts in the order in which the service ran them.
        outage_until: The store is down before this time.
        rng: Source of all choices.
        violations: Rules that were broken.
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

    def hit(self, fault: str, chance: float) -> bool:
        """Draws whether a fault happens now, and counts it."""
        if self.rng.random() >= chance:
            return False
        self.faults[fault] += 1
        return True


class Life:
    """One life of a daemon: what it sees of the world until it dies.

    Attributes:
        alive: Whether it still runs.
        paused_until: It does nothing before this time.
    """

    __slots__ = ("_world", "alive", "name", "paused_until")

    def __init__(self, *, name: str, world: World) -> None:
        self.name = name
        self._world = world
        self.alive = True
        self.paused_until = 0.0

    async def pass_time(self, most_s: float) -> None:
        """Takes some time; ends never if the daemon dies meanwhile."""
        await asyncio.sleep(self._world.rng.uniform(0.0, most_s))
        await self.wake()

    async def wake(self) -> None:
        pause_s = self.paused_until - self._world.loop.time()
        if pause_s > 0:
            await asyncio.sleep(pause_s)
            await self.wake()
        if not self.alive:
            await asyncio.get_running_loop().create_future()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        await self.wake()

    def _check_up(self) -> None:
        world = self._world
        if world.loop.time() < world.outage_until:
            world.faults["refused in outage"] += 1
            raise errors.StoreUnavailableError("down")

    async def read_row(self, table: str, key: str) -> tables.Row | None:
        world = self._world
        await self.pass_time(0.02)
        self._check_up()
        row = await world.tables.read_row(table, key)
        await self.pass_time(1.0 if world.hit("slow read", 0.05) else 0.02)
        if world.hit("read lost", 0.04):
            raise errors.StoreUnavailableError("no answer")
        return row

    async def scan_rows(
        self, table: str, prefix: str, limit: int
    ) -> list[tables.Row]:
        raise NotImplementedError(table, prefix, limit)

    async def transact(
        self, writes: list[tables.Write]
    ) -> tables.Committed | tables.Conflict:
        world = self._world
        await self.pass_time(0.02)
        self._check_up()
        if world.hit("write dropped", 0.06):
            await self.pass_time(0.5)
            raise errors.StoreUnconfirmedError("dropped")
        if world.hit("write late", 0.08):
            delay = world.rng.uniform(0.0, 3.0)
            world.loop.call_later(delay, world.tables.apply_writes, writes)
            await self.pass_time(0.5)
            raise errors.StoreUnconfirmedError("late")
        outcome = world.tables.apply_writes(writes)
        await self.pass_time(1.0 if world.hit("slow write", 0.05) else 0.02)
        if world.hit("answer lost", 0.15):
            raise errors.StoreUnconfirmedError("lost")
        return outcome

    async def run(self, attempt: targets.Attempt) -> targets.Answer:
        """Sends an attempt to the service and keeps the contract of Run."""
        world = self._world
        await self.pass_time(0.05)
        if world.loop.time() >= attempt.deadline:
            raise errors.TargetUnreachableError("past the deadline")
        if world.hit("target unreachable", 0.2):
            raise errors.TargetUnreachableError("refused")
        if world.hit("request lost", 0.05):
            await self.pass_time(0.3)
            raise errors.TargetAnswerLostError("cut")
        world.ledger.append(attempt)
        await self.pass_time(0.3)
        if world.hit("target answer lost", 0.1):
            raise errors.TargetAnswerLostError("cut")
        return targets.Answer(
            attempt_id=attempt.id,
            status=200,
            body=b'{"receipt": "%s"}' % attempt.id.encode(),
            boot_id="b1",
        )


BuildRunOnce = abc.Callable[[Life, World], RunOnce]


def build_claims(life: Life, world: World) -> RunOnce:
    """Builds the product's claims for one life of a daemon."""
    store = stores.Store(
        read_row=life.read_row,
        scan_rows=life.scan_rows,
        transact=life.transact,
        get_object=fakes_platform.MemoryObjects().get_object,
        put_object=fakes_platform.MemoryObjects().put_object,
        store_budget=store_budgets.StoreBudget(
            reads_per_s=1e6, writes_per_s=1e6, daemons=1, now=0.0
        ),
        monotonic=world.loop.time,
    )
    return at_most_once.AtMostOnceRunner(
        store=store,
        monotonic=world.loop.time,
        wall=world.loop.time,
        sleep=life.sleep,
        random=world.rng,
    ).run_once


class Schedule:
    """One schedule: asks, deaths, pauses and outages at random times."""

    __slots__ = ("_asks", "_build", "_lives", "_run_once", "outcomes", "world")

    def __init__(self, *, world: World, build: BuildRunOnce) -> None:
        self.world = world
        self._build = build
        self._asks = 0
        self._lives: list[Life] = []
        self._run_once: list[RunOnce] = []
        self.outcomes: collections.Counter[str] = collections.Counter()
        for number in range(DAEMONS):
            self._lives.append(Life(name=f"d{number}.0", world=world))
            self._run_once.append(build(self._lives[number], world))

    async def play(self) -> None:
        """Plays the schedule, then asks once more when all is quiet."""
        world = self.world
        asks = world.rng.randint(2, 5)
        works = [self._ask_later(world.rng.uniform(0, 3)) for _ in range(asks)]
        works.append(self._disturb())
        await asyncio.gather(*works)
        world.outage_until = 0.0
        await asyncio.sleep(30.0)
        before = collections.Counter(self.outcomes)
        await self._ask(BODY, LAST_DEADLINE_S)
        last = self.outcomes - before
        if not STUCK_FAULTS & world.faults.keys() and STUCK & last.keys():
            world.violations.append("no fault that explains the last answer")
        if len(world.ledger) > 1:
            world.violations.append(f"ran {len(world.ledger)} times")

    async def _ask_later(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        other = self.world.hit("other body", 0.05)
        deadline_s = self.world.rng.uniform(0.3, 6.0)
        await self._ask(OTHER_BODY if other else BODY, deadline_s)

    async def _ask(self, body: bytes, deadline_s: float) -> None:
        """Asks through a daemon; a daemon that died gives no answer."""
        world = self.world
        self._asks += 1
        number = world.rng.randrange(DAEMONS)
        deadline = world.loop.time() + deadline_s
        attempt = targets.Attempt(
            id=f"{self._lives[number].name}-{self._asks}",
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
        work = self._run_once[number](request, attempt, self._lives[number].run)
        task = asyncio.ensure_future(work)
        patience_s = 60.0
        last = deadline_s >= LAST_DEADLINE_S
        if not last and world.hit("caller gone", 0.1):
            patience_s = world.rng.uniform(0.0, 0.3)
        done, _ = await asyncio.wait({task}, timeout=patience_s)
        if not done:
            task.cancel()
            done, _ = await asyncio.wait({task}, timeout=60.0)
        if not done or task.cancelled():
            self.outcomes["no answer"] += 1
            return
        self._judge(task.result(), body)

    def _judge(self, outcome: at_most_once.Outcome, body: bytes) -> None:
        """Checks an answer against the ledger as it is at this moment."""
        ran = len(self.world.ledger)
        if isinstance(outcome, result.Success):
            self.outcomes["answer"] += 1
            text = outcome.unwrap().body.decode()
            own = any(
                f'"{attempt.id}"' in text and attempt.body == body
                for attempt in self.world.ledger
            )
            if not own:
                self.world.violations.append("answer of no run of this body")
            return
        refusal = outcome.failure()
        self.outcomes[f"{refusal.code.name} {refusal.ran}"] += 1
        if refusal.ran is results.Ran.NO and ran > 0:
            self.world.violations.append(f'"not run" after {ran} runs')
        if refusal.ran is results.Ran.YES and ran == 0:
            self.world.violations.append('"ran" before any run')

    async def _disturb(self) -> None:
        """Brings down the store and daemons at random times."""
        world = self.world
        for _ in range(world.rng.randint(0, 4)):
            await asyncio.sleep(world.rng.uniform(0.0, 1.5))
            number = world.rng.randrange(DAEMONS)
            if world.hit("outage", 0.3):
                outage_s = world.rng.uniform(0.1, 4.0)
                world.outage_until = world.loop.time() + outage_s
            elif world.hit("pause", 0.5):
                pause_s = world.rng.choice([0.5, 5.0, 200.0])
                self._lives[number].paused_until = world.loop.time() + pause_s
            elif world.hit("death", 0.9):
                self._restart(number)

    def _restart(self, number: int) -> None:
        name = f"d{number}.{self._asks + 1}-{self.world.rng.random()}"
        self._lives[number].alive = False
        self._lives[number] = Life(name=name, world=self.world)
        self._run_once[number] = self._build(self._lives[number], self.world)


class Report(typing.NamedTuple):
    """What a series of schedules gave.

    Attributes:
        broken: Seeds with a violation, and the first one of each.
        faults: Faults over all schedules.
        outcomes: Answers over all schedules.
        runs: Schedules in which the call ran.
    """

    broken: dict[int, str]
    faults: Faults
    outcomes: collections.Counter[str]
    runs: int


def play_schedules(seeds: abc.Iterable[int], build: BuildRunOnce) -> Report:
    """Plays a schedule for each seed and reports all of them together."""
    report = Report({}, collections.Counter(), collections.Counter(), 0)
    runs = 0
    logging.disable(logging.CRITICAL)
    try:
        for seed in seeds:
            loop = virtual_time.VirtualLoop()
            try:
                world = World(seed=seed, loop=loop)
                schedule = Schedule(world=world, build=build)
                loop.run_all(schedule.play())
            finally:
                loop.close()
            report.faults.update(world.faults)
            report.outcomes.update(schedule.outcomes)
            runs += bool(world.ledger)
            if world.violations:
                report.broken[seed] = world.violations[0]
    finally:
        logging.disable(logging.NOTSET)
    return report._replace(runs=runs)


def build_retries(life: Life, _world: World) -> RunOnce:
    """Builds the baseline that sends again after a lost answer."""

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
                await life.sleep(0.05)
        return _refuse(results.Ran.UNKNOWN)

    return run_once


def build_blind_claims(life: Life, _world: World) -> RunOnce:
    """Builds the baseline that takes a lost answer for a failed write."""

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
            outcome = await life.transact([step.write])
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
