"""Test fixtures: a daemon's request path with scripted targets."""

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
from mothpass.core import prompt_suspects
from mothpass.core import results
from mothpass.core import routing
from mothpass.core import suspects
from mothpass.core import targets as target_states
from mothpass.daemon import at_most_once
from mothpass.daemon import attempts
from mothpass.daemon import client_requests
from mothpass.daemon import dispatch
from mothpass.daemon import placement
from mothpass.daemon import resumption
from mothpass.ports import members
from mothpass.ports import targets

TEAM_KEY = "key-of-the-first-team"
OTHER_TEAM_KEY = "key-of-the-other-team"

# One step of a stream's script: a batch of events or an error to raise.
Step = targets.EventBatch | Exception


def build_catalogue(
    *, team_in_flight: int = 100, queued: int = 10
) -> catalogue.Catalogue:
    """Returns a catalogue with a model, two services and two teams."""
    large_limits = catalogue.Limits(
        in_flight=100, requests_per_s=1000, queued=queued
    )
    team_limits = catalogue.Limits(
        in_flight=team_in_flight, requests_per_s=1000, queued=queued
    )
    services = [
        catalogue.Service(
            name=name,
            owner="o",
            service_class="quick",
            limits=large_limits,
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
                limits=large_limits,
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
                limits=team_limits,
                key_sha256=[catalogue.hash_key(TEAM_KEY)],
                uses=["advice", "log", "payment"],
            ),
            catalogue.Team(
                name="other",
                owner="o",
                service_class="slow",
                limits=large_limits,
                key_sha256=[catalogue.hash_key(OTHER_TEAM_KEY)],
                uses=[],
            ),
        ],
        availability_zones=[catalogue.AvailabilityZone(name="a", region="r")],
    )


class ScriptedTargets:
    """Targets that answer according to scripts.

    Attributes:
        streams: Scripts of new streams, in order.
        resumes: Scripts of resumed streams, in order; after the last one the
            target is unreachable.
        answers: Answers or errors of service calls, in order.
        opened: Attempts whose stream was opened.
        resumed_at: Positions from which streams were resumed.
        called: Attempts sent as service calls.
        cancelled: Ids of cancelled attempts.
        alive: Whether polls of the load are answered.
        crashes: Whether a target whose answer is lost has crashed; it can't be
            reached until it has restarted.
        crashed: Addresses of the targets that have crashed.
        boot_id: Boot id of all targets.
        pause_s: Pause before each step of a stream.
    """

    def __init__(self) -> None:
        """Starts with no scripts."""
        self.streams: list[list[Step]] = []
        self.resumes: list[list[Step]] = []
        self.answers: list[targets.Answer | Exception] = []
        self.opened: list[targets.Attempt] = []
        self.resumed_at: list[int] = []
        self.called: list[targets.Attempt] = []
        self.cancelled: list[str] = []
        self.alive = True
        self.crashes = False
        self.crashed: set[str] = set()
        self.boot_id = "boot"
        self.pause_s = 0.0
        self._opened_event = asyncio.Event()
        self._cancelled_event = asyncio.Event()

    async def wait_for_open(self) -> None:
        """Waits until a stream is opened."""
        await self._opened_event.wait()

    async def wait_for_cancel(self) -> None:
        """Waits until an attempt is cancelled."""
        await self._cancelled_event.wait()

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
        self._opened_event.set()
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
        """Plays a script; events without an id get the attempt's id."""
        for step in script:
            await asyncio.sleep(self.pause_s)
            if isinstance(step, Exception):
                if self.crashes:
                    self.crashed.add(attempt.address)
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
        self._cancelled_event.set()

    async def _read_load(self, address: str) -> targets.LoadReport:
        if not self.alive or address in self.crashed:
            raise errors.TargetUnreachableError(address)
        return targets.LoadReport(
            target_id="t0",
            boot_id=self.boot_id,
            phase=targets.Phase.WARM,
            running=0,
            queued=0,
            age_ms=0,
        )


def make_batch(
    *positions: int, last: int | None = None, attempt_id: str = ""
) -> targets.EventBatch:
    """Returns a batch with events at the given positions."""
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
    """Returns a service's answer; an empty id stands for the attempt's."""
    return targets.Answer(
        attempt_id=attempt_id, status=200, body=body, boot_id="boot"
    )


class Daemon:
    """A dispatcher and its dependencies.

    Attributes:
        scripted: The scripted targets.
        dispatcher: The dispatcher under test.
        catalogue_index: Index of the catalogue.
        placement: Reserves slots at targets.
        released: Permits that were released.
        router: Chooses targets.
        suspects: Table of crash suspects.
        team_limiter: Limiter of the teams.
    """

    def __init__(
        self,
        *,
        target_count: int = 2,
        entries: catalogue.Catalogue | None = None,
        run_once: dispatch.RunOnce | None = None,
    ) -> None:
        """Builds a daemon with warm targets."""
        entries = entries or build_catalogue()
        now = time.monotonic()
        self.scripted = ScriptedTargets()
        self.catalogue_index = client_requests.CatalogueIndex(entries=entries)
        self.router = _build_router(entries, target_count, now)
        self.team_limiter = limits.Limiter(code=results.Code.TEAM_LIMIT)
        self.team_limiter.set_limits({x.name: x.limits for x in entries.teams})
        name_limiter = limits.Limiter(code=results.Code.OVERLOADED)
        by_name = {x.name: x.limits for x in entries.models}
        by_name |= {x.name: x.limits for x in entries.services}
        name_limiter.set_limits(by_name)
        self.suspects = suspects.SuspectTable(own_id="d0")
        self.suspected_parts = prompt_suspects.PromptSuspectTable(
            owns_trial=lambda _: True, random=random.Random(3)
        )
        self.released: list[gates.Permit] = []
        self.placement = placement.Placement(
            router=self.router,
            name_limiter=name_limiter,
            acquire=_grant_permit,
            release=self._record_release,
            clock=time.monotonic,
        )
        runner = attempts.AttemptRunner(
            instance_id="d0",
            ports=self.scripted.build_ports(),
            placement=self.placement,
            router=self.router,
            suspects=self.suspects,
            suspected_parts=self.suspected_parts,
            random=random.Random(1),
        )
        self.dispatcher = dispatch.Dispatcher(
            dependencies=dispatch.Dependencies(
                placement=self.placement,
                runner=runner,
                team_limiter=self.team_limiter,
                name_limiter=name_limiter,
                suspects=self.suspects,
                suspected_parts=self.suspected_parts,
                random=random.Random(2),
                clock=time.monotonic,
            ),
            run_once=run_once or run_without_claim,
        )

    def _record_release(
        self, permit: gates.Permit, outcome: target_states.Outcome
    ) -> None:
        del outcome
        self.released.append(permit)

    def restart_targets(self, boot_id: str) -> None:
        """Reports all targets as warm with a new boot id."""
        self.scripted.boot_id = boot_id
        self.scripted.crashed.clear()
        _report_warm(self.router, boot_id)

    def count_in_flight(self) -> int:
        """Returns the number of requests in flight at all targets."""
        return sum(item.own_in_flight for item in self.router.targets.values())


async def run_without_claim(
    request: at_most_once.Request,
    attempt: targets.Attempt,
    send_attempt: at_most_once.SendAttempt,
) -> at_most_once.Outcome:
    """Runs a non-repeatable request without a claim."""
    del request
    return result.Success(await send_attempt(attempt))


def make_request(
    name: str = "advice",
    *,
    deadline_ms: int = 5000,
    key: str | None = None,
    stream: bool = True,
    shared_parts: tuple[int, ...] = (),
) -> client_requests.ClientRequest:
    """Returns a request to a model or service."""
    now = time.monotonic()
    return client_requests.ClientRequest(
        request_id="r",
        team="team",
        weight=1,
        name=name,
        service_class="quick",
        priority=1,
        deadline=now + deadline_ms / 1000,
        path="/v1/chat/completions",
        body=b"{}",
        chat_hash=7 if name == "advice" else 0,
        stream=stream,
        repeatable=name != "payment",
        idempotency_key=key,
        result_kept_ms=0 if key is None else 60_000,
        fingerprint=99,
        shared_parts=shared_parts,
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
    """Reports all targets as warm with a boot id."""
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


async def _grant_permit(
    permit_request: routing.RequestPermit, deadline: float
) -> gates.Permit | None:
    """Grants every permit."""
    del deadline
    return gates.Permit(
        target_id=permit_request.target_id,
        boot_id=permit_request.boot_id,
        source=gates.Source.TRIAL
        if permit_request.alone
        else gates.Source.GATE,
        gate="d0",
        number=1,
        fencing=1,
        dispatch_by=time.monotonic() + 1.0,
    )
