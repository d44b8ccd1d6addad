"""Runs a profile as an open-loop load test with bounded requests."""

import asyncio
import contextlib
import itertools
import pathlib
import time
import typing

import msgspec

from mothpass.control import fleets
from mothpass.load import checks
from mothpass.load import clients
from mothpass.load import ledgers
from mothpass.load import monitoring
from mothpass.load import profiles
from mothpass.load import recordings
from mothpass.load import samples
from mothpass.load import summaries
from mothpass.load import traffic
from mothpass.ports import targets

_MS_PER_S = 1000.0


class _ResultWriter:
    """Writes the lines of a result file and adds them to the summary.

    Attributes:
        outcomes: Outcomes of the requests that may run at most once.
    """

    __slots__ = ("_file", "_summary_builder", "outcomes")

    def __init__(self, *, file: typing.BinaryIO) -> None:
        self._file = file
        self._summary_builder = summaries.SummaryBuilder()
        self.outcomes: list[ledgers.ReportedOutcome] = []

    def write(self, line: samples.Line) -> None:
        """Writes a line and adds it to the summary."""
        self._summary_builder.add(line)
        self._file.write(samples.encode_line(line))

    def finish(self) -> samples.Summary:
        """Writes the summary as the last line and returns it."""
        summary = self._summary_builder.summarize()
        self._file.write(samples.encode_line(summary))
        self._file.flush()
        return summary


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """A profile with the contents of the files that it names.

    Attributes:
        name: File name of the profile.
        profile: Decoded profile.
        keys: API keys of its teams and the operator token.
        recording: Recorded chats, None if the profile names none.
    """

    name: str
    profile: profiles.Profile
    keys: fleets.Keys
    recording: recordings.Recording | None = None


def read_plan(path: pathlib.Path, *, seed: int | None = None) -> Plan:
    """Reads a profile and the files that it names.

    Args:
        path: Path of the profile.
        seed: Overrides the profile's seed.

    Raises:
        errors.DocumentError: A file is invalid.
        OSError: A file can't be read.
    """
    profile = profiles.decode_profile(path.read_bytes())
    if seed is not None:
        profile = msgspec.structs.replace(profile, seed=seed)
    keys = profiles.read_keys(path, profile)
    recording = None
    if profile.recorded is not None:
        file = path.parent / profile.recorded.file
        recording = recordings.read_recording(file)
    return Plan(name=path.name, profile=profile, keys=keys, recording=recording)


async def run_plan(plan: Plan, output: typing.BinaryIO) -> samples.Summary:
    """Runs a plan and writes its results as JSON lines.

    Args:
        plan: Profile to run, with its files.
        output: Receives the lines.

    Returns:
        The summary, which is also written as the last line.

    Raises:
        errors.MothpassError: The services' ledgers can't be read.
    """
    writer = _ResultWriter(file=output)
    writer.write(
        samples.Run(
            profile=plan.name,
            seed=plan.profile.seed,
            duration_ms=plan.profile.duration_ms,
            daemons=len(plan.profile.daemons),
        )
    )
    await _run_profile(plan.profile, plan.keys, plan.recording, writer)
    if writer.outcomes:
        entries = await ledgers.read_entries(plan.profile.watch.services)
        writer.write(ledgers.audit_requests(writer.outcomes, entries))
    return writer.finish()


async def _run_profile(
    profile: profiles.Profile,
    keys: fleets.Keys,
    recording: recordings.Recording | None,
    writer: _ResultWriter,
) -> None:
    started = time.monotonic()
    token = keys.operator_token
    watcher = asyncio.create_task(
        monitoring.watch_fleet(
            profile.watch, token, writer.write, started=started
        )
    )
    action_runner = asyncio.create_task(
        monitoring.run_actions(profile, token, writer.write, started=started)
    )
    try:
        planned = traffic.plan_requests(profile, recording)
        await _send_all(profile, keys, planned, writer, started=started)
    finally:
        for task in (watcher, action_runner):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task


async def _send_all(
    profile: profiles.Profile,
    keys: fleets.Keys,
    planned: typing.Iterator[traffic.PlannedRequest],
    writer: _ResultWriter,
    *,
    started: float,
) -> None:
    """Sends each request when it is due, without waiting for earlier ones."""
    pool = clients.ConnectionPool()
    end_ms = profile.duration_ms + profile.drain_ms
    deadline = started + end_ms / _MS_PER_S
    tasks: set[asyncio.Task[None]] = set()
    addresses = itertools.cycle(profile.daemons)

    async def send(item: traffic.PlannedRequest, address: str) -> None:
        result = await clients.send_request(
            pool,
            address,
            keys.team_keys[item.team],
            item,
            due=started + item.at_ms / _MS_PER_S,
            deadline=deadline,
        )
        writer.write(clients.build_sample(item, address, result))
        if item.at_most_once:
            writer.outcomes.append(_build_outcome(item, result))

    for item in planned:
        due = started + item.at_ms / _MS_PER_S
        delay_s = due - time.monotonic()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        if len(tasks) >= profile.in_flight_limit:
            writer.write(_build_unsent_sample(item))
            continue
        task = asyncio.create_task(send(item, next(addresses)))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    if tasks:
        await asyncio.gather(*tasks)
    pool.close()


def _build_outcome(
    item: traffic.PlannedRequest, result: clients.Result
) -> ledgers.ReportedOutcome:
    return ledgers.ReportedOutcome(
        service=item.name,
        key=targets.scope_key(
            team=item.team, idempotency_key=item.idempotency_key
        ),
        fate=result.verdict.fate,
        ran=result.verdict.ran,
    )


def _build_unsent_sample(item: traffic.PlannedRequest) -> samples.Sample:
    verdict = checks.Verdict(
        fate=samples.Fate.NOT_SENT, detail="too many requests in flight"
    )
    return clients.build_sample(item, "", clients.Result(verdict=verdict))
