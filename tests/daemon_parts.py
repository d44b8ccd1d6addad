"""Parts of a daemon over scripted targets, for tests."""

import asyncio
from collections import abc
import random
import time

import msgspec
from returns import result

from mothpass.core import catalogue
from mothpass.core import errors
from mothpass.core import gates
from mothpass.core import limits
from mothpass.core import results
from mothpass.core import routing
from mothpass.core import suspects
from mothpass.core import targets as target_states
from mothpass.daemon import attempts
from mothpass.daemon import calls
from mothpass.daemon import claims
from mothpass.daemon import dispatch
from mothpass.daemon import placement
from mothpass.daemon import resumption
from mothpass.ports import members
from mothpass.ports import targets

KEY = "key-of-the-first-team"
OTHER_KEY = "key-of-the-other-team"

# One step of a script: a batch of events, or an error to raise.
Step = targets.EventBatch | Exception


def build_catalogue(
    *, team_in_flight: int = 100, queued: int = 10
) -> catalogue.Catalogue:
    """Returns a catalogue with a model, two services and two teams."""
    wide = catalogue.Limits(in_flight=100, requests_per_s=1000, queued=queued)
    narrow = catalogue.Limits(
        in_flight=team_in_flight, requests_per_s=1000, queued=queued
    )
    services = [
        catalogue.Service(
            name=name,
            owner="o",
            service_class="quick",
            limits=wide,
            repeatable=repeatable,
            target_in_flight=8,
        )
        for name, repeatable in (("log", True), ("payment", False))
    ]
    return catalogue.Catalogue(
        classes=[
            catalogue.ServiceClass(name="quick", priority=1, deadline_ms=5000),
            catalogue.ServiceClass(name="slow", priority=5, deadline_ms=9000),
        ],
        models=[
            catalogue.Model(
                name="advice",
                owner="o",
                service_class="quick",
                limits=wide,
                target_in_flight=8,
                skew_multiple=10.0,
                cold_start=catalogue.ColdStart(
                    in_flight=1, answers_per_step=1, warm_in_flight=1
                ),
            )
        ],
        services=services,
        teams=[
            catalogue.Team(
                name="team",
                owner="o",
                service_class="quick",
                limits=narrow,
                key_sha256=[catalogue.hash_key(KEY)],
                uses=["advice", "log", "payment"],
            ),
            catalogue.Team(
                name="other",
                owner="o",
                service_class="slow",
                limits=wide,
                key_sha256=[catalogue.hash_key(OTHER_KEY)],
                uses=[],
            ),
        ],
        availability_zones=[catalogue.AvailabilityZone(name="a", region="r")],
    )


class ScriptedTargets:
    """Targets that answer as a script says.

    Attributes:
        streams: Scripts of new streams, used in turn.
        resumes: Scripts of resumed streams, used in turn; after them the
            target can't be reached.
        answers: Answers of calls, or errors, used in turn.
        opened: Attempts whose stream was opened.
        resumed_at: Positions that were resumed from.
        called: Attempts that were called.
        cancelled: Ids of attempts that were cancelled.
        alive: Whether load reports are answered.
        pause_s: Pause before each step of a stream.
    """

    def __init__(self) -> None:
        """Starts without scripts."""
        self.streams: list[list[Step]] = []
        self.resumes: list[list[Step]] = []
        self.answers: list[targets.Answer | Exception] = []
        self.opened: list[targets.Attempt] = []
        self.resumed_at: list[int] = []
        self.called: list[targets.Attempt] = []
        self.cancelled: list[str] = []
        self.alive = True
        self.pause_s = 0.0
        self._opening = asyncio.Event()
        self._cancelling = asyncio.Event()

    async def wait_for_open(self) -> None:
        """Waits until a stream was opened."""
        await self._opening.wait()

    async def wait_for_cancel(self) -> None:
        """Waits until an attempt was cancelled."""
        await self._cancelling.wait()

    def build_ports(self) -> resumption.Ports:
        """Returns the functions that reach these targets."""
        return resumption.Ports(
            open_stream=self._open,
            resume_stream=self._resume,
            call=self._call,
            cancel=self._cancel,
            read_load=self._read_load,
            clock=time.monotonic,
        )

    def _open(
        self, attempt: targets.Attempt
    ) -> abc.AsyncGenerator[targets.EventBatch, None]:
        self.opened.append(attempt)
        self._opening.set()
        return self._play(attempt, self.streams.pop(0))

    def _resume(
        self, attempt: targets.Attempt, position: int
    ) -> abc.AsyncGenerator[targets.EventBatch, None]:
        self.resumed_at.append(position)
        if not self.resumes:
            return self._play(attempt, [errors.TargetUnreachableError("gone")])
        return self._play(attempt, self.resumes.pop(0))

    async def _play(
        self, attempt: targets.Attempt, script: list[Step]
    ) -> abc.AsyncGenerator[targets.EventBatch, None]:
        """Plays a script; events without an id get that of the attempt."""
        for step in script:
            await asyncio.sleep(self.pause_s)
            if isinstance(step, Exception):
                raise step
            events = [
                event
                if event.attempt_id
                else msgspec.structs.replace(event, attempt_id=attempt.id)
                for event in step.events
            ]
            yield msgspec.structs.replace(step, events=events)
        await asyncio.Event().wait()

    async def _call(self, attempt: targets.Attempt) -> targets.Answer:
        self.called.append(attempt)
        step = self.answers.pop(0)
        if isinstance(step, Exception):
            raise step
        if not step.attempt_id:
            return msgspec.structs.replace(step, attempt_id=attempt.id)
        return step

    async def _cancel(self, attempt: targets.Attempt) -> None:
        self.cancelled.append(attempt.id)
        self._cancelling.set()

    async def _read_load(self, address: str) -> targets.LoadReport:
        if not self.alive:
            raise errors.TargetUnreachableError(address)
        return targets.LoadReport(
            target_id="t0",
            boot_id="boot",
            phase=targets.Phase.WARM,
            running=0,
            queued=0,
            age_ms=0,
        )


def make_batch(
    *positions: int, last: int | None = None, attempt_id: str = ""
) -> targets.EventBatch:
    """Returns a batch of events at some positions."""
    events = [
        targets.Event(
            attempt_id=attempt_id,
            position=position,
            data=make_chunk(f"{position} ", finished=position == last),
            last=position == last,
        )
        for position in positions
    ]
    return targets.EventBatch(boot_id="boot", events=events)


def make_chunk(content: str, *, finished: bool) -> bytes:
    """Returns the JSON of one event."""
    reason = "stop" if finished else None
    choice = {
        "index": 0,
        "delta": {"content": content},
        "finish_reason": reason,
    }
    return msgspec.json.encode({"id": "x", "choices": [choice]})


def make_answer(body: bytes = b"{}", attempt_id: str = "") -> targets.Answer:
    """Returns an answer of a service; without an id it gets the right one."""
    return targets.Answer(
        attempt_id=attempt_id, status=200, body=body, boot_id="boot"
    )


class Daemon:
    """The dispatcher and what it rests on.

    Attributes:
        scripted: The targets.
        dispatcher: What is tested.
        directory: The catalogue by what requests name.
        placement: Finds targets.
        released: Permits that were given back.
        router: Knows the targets.
        suspects: Requests that crash targets.
        teams: Limits of teams.
    """

    def __init__(
        self,
        *,
        target_count: int = 2,
        entries: catalogue.Catalogue | None = None,
        run_once: dispatch.RunOnce | None = None,
    ) -> None:
        """Builds a daemon before some warm targets."""
        entries = entries or build_catalogue()
        now = time.monotonic()
        self.scripted = ScriptedTargets()
        self.directory = calls.Directory(entries=entries)
        self.router = _build_router(entries, target_count, now)
        self.teams = limits.Limiter(code=results.Code.TEAM_LIMIT)
        self.teams.set_limits({x.name: x.limits for x in entries.teams})
        names = limits.Limiter(code=results.Code.OVERLOADED)
        by_name = {x.name: x.limits for x in entries.models}
        by_name |= {x.name: x.limits for x in entries.services}
        names.set_limits(by_name)
        self.suspects = suspects.Suspects(own_id="d0")
        self.released: list[gates.Permit] = []
        self.placement = placement.Placement(
            router=self.router,
            names=names,
            acquire=_acquire,
            release=self._note_release,
            clock=time.monotonic,
        )
        runner = attempts.AttemptRunner(
            instance_id="d0",
            ports=self.scripted.build_ports(),
            placement=self.placement,
            router=self.router,
            suspects=self.suspects,
            random=random.Random(1),
        )
        self.dispatcher = dispatch.Dispatcher(
            parts=dispatch.Parts(
                placement=self.placement,
                runner=runner,
                teams=self.teams,
                names=names,
                suspects=self.suspects,
                random=random.Random(2),
                clock=time.monotonic,
            ),
            run_once=run_once or run_at_once,
        )

    def _note_release(
        self, permit: gates.Permit, outcome: target_states.Outcome
    ) -> None:
        del outcome
        self.released.append(permit)

    def restart_targets(self, boot_id: str) -> None:
        """Shows all targets as warm under a new boot id."""
        _report_warm(self.router, boot_id)

    def count_in_flight(self) -> int:
        """Counts the calls at all targets."""
        return sum(item.own_in_flight for item in self.router.targets.values())


async def run_at_once(
    request: claims.Request, attempt: targets.Attempt, run: claims.Run
) -> claims.Outcome:
    """Runs a call without any claim."""
    del request
    return result.Success(await run(attempt))


def make_call(
    name: str = "advice",
    *,
    deadline_ms: int = 5000,
    key: str | None = None,
    stream: bool = True,
) -> calls.Call:
    """Returns a call of a model or service."""
    now = time.monotonic()
    return calls.Call(
        request_id="r",
        team="team",
        weight=1,
        name=name,
        service_class="quick",
        priority=1,
        deadline=now + deadline_ms / 1000,
        path="/v1/chat/completions",
        body=b"{}",
        chat=7 if name == "advice" else 0,
        stream=stream,
        repeatable=name != "payment",
        idempotency_key=key,
        kept_ms=0 if key is None else 60_000,
        fingerprint=99,
    )


def _build_router(
    entries: catalogue.Catalogue, target_count: int, now: float
) -> routing.Router:
    router = routing.Router(
        instance_id="d0",
        availability_zone="a",
        slot=0,
        slots=1,
        random=random.Random(3),
        started_at=now - 1000,
    )
    router.set_catalogue(entries, now=now)
    instances = [
        members.Instance(
            id=f"t{number}",
            role=members.Role.ENGINE,
            state=members.State.LIVE,
            address=f"127.0.0.1:{number + 1}",
            availability_zone="a",
            serves=["advice", "log", "payment"],
        )
        for number in range(target_count)
    ]
    router.set_members(
        members.Members(revision=1, instances=instances), now=now
    )
    _report_warm(router, "boot")
    return router


def _report_warm(router: routing.Router, boot_id: str) -> None:
    """Shows all targets as warm under a boot id."""
    now = time.monotonic()
    records = [
        target_states.LoadRecord(
            target_id=target_id,
            boot_id=boot_id,
            phase=targets.Phase.WARM,
            running=0,
            queued=0,
            received_at=now,
        )
        for target_id in router.targets
    ]
    router.record_loads(records, now=now)


async def _acquire(
    ask: routing.RequestPermit, deadline: float
) -> gates.Permit | None:
    """Gives each permit that is asked for."""
    del deadline
    return gates.Permit(
        target_id=ask.target_id,
        boot_id=ask.boot_id,
        source=gates.Source.TRIAL if ask.alone else gates.Source.GATE,
        gate="d0",
        number=1,
        fencing=1,
        dispatch_by=time.monotonic() + 1.0,
    )
