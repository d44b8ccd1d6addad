"""Runs a profile: an open loop over several daemons, bounded on all sides."""

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
from mothpass.load import profiles
from mothpass.load import recordings
from mothpass.load import samples
from mothpass.load import summaries
from mothpass.load import traffic
from mothpass.load import watching
from mothpass.ports import targets

_MS_PER_S = 1000.0


class _Output:
    """Writes lines to a file and gathers them for the summary."""

    __slots__ = ("_collector", "_file", "told")

    def __init__(self, *, file: typing.BinaryIO) -> None:
        self._file = file
        self._collector = summaries.Collector()
        self.told: list[ledgers.Told] = []

    def write(self, line: samples.Line) -> None:
        """Writes a line."""
        self._collector.add(line)
        self._file.write(samples.encode_line(line))

    def finish(self) -> samples.Summary:
        """Writes the summary as the last line and returns it."""
        summary = self._collector.summarize()
        self._file.write(samples.encode_line(summary))
        self._file.flush()
        return summary


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """A profile with the files that it names.

    Attributes:
        name: File name of the profile.
        profile: The profile.
        keys: Keys of its teams.
        recording: Its recorded chats, None where it has none.
    """

    name: str
    profile: profiles.Profile
    keys: fleets.Keys
    recording: recordings.Recording | None = None


def read_plan(path: pathlib.Path, *, seed: int | None = None) -> Plan:
    """Reads a profile and the files that it names.

    Args:
        path: Path of the profile.
        seed: Goes before the profile's own seed.

    Raises:
        errors.DocumentError: Where one of them has faults.
        OSError: Where one of them can't be read.
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
        plan: What to run.
        output: Where the lines go.

    Returns:
        The summary, which is the last line as well.

    Raises:
        errors.MothpassError: Where the services' ledgers can't be read.
    """
    lines = _Output(file=output)
    lines.write(
        samples.Run(
            profile=plan.name,
            seed=plan.profile.seed,
            duration_ms=plan.profile.duration_ms,
            daemons=len(plan.profile.daemons),
        )
    )
    await _run(plan.profile, plan.keys, plan.recording, lines)
    if lines.told:
        entries = await ledgers.read_entries(plan.profile.watch.services)
        lines.write(ledgers.audit_calls(lines.told, entries))
    return lines.finish()


async def _run(
    profile: profiles.Profile,
    keys: fleets.Keys,
    recording: recordings.Recording | None,
    lines: _Output,
) -> None:
    started = time.monotonic()
    token = keys.operator_token
    watcher = asyncio.create_task(
        watching.watch_fleet(profile.watch, token, lines.write, started=started)
    )
    actor = asyncio.create_task(
        watching.act(profile, token, lines.write, started=started)
    )
    try:
        planned = traffic.plan_requests(profile, recording)
        await _send_all(profile, keys, planned, lines, started=started)
    finally:
        for task in (watcher, actor):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task


async def _send_all(
    profile: profiles.Profile,
    keys: fleets.Keys,
    planned: typing.Iterator[traffic.Planned],
    lines: _Output,
    *,
    started: float,
) -> None:
    """Starts each request when it is due, whatever became of the others."""
    pool = clients.Pool()
    end_ms = profile.duration_ms + profile.drain_ms
    deadline = started + end_ms / _MS_PER_S
    running: set[asyncio.Task[None]] = set()
    addresses = itertools.cycle(profile.daemons)

    async def send(item: traffic.Planned, address: str) -> None:
        result = await clients.send_request(
            pool,
            address,
            keys.team_keys[item.team],
            item,
            due=started + item.at_ms / _MS_PER_S,
            deadline=deadline,
        )
        lines.write(clients.build_sample(item, address, result))
        if item.at_most_once:
            lines.told.append(_build_told(item, result))

    for item in planned:
        due = started + item.at_ms / _MS_PER_S
        pause = due - time.monotonic()
        if pause > 0:
            await asyncio.sleep(pause)
        if len(running) >= profile.in_flight_limit:
            lines.write(_build_unsent(item))
            continue
        task = asyncio.create_task(send(item, next(addresses)))
        running.add(task)
        task.add_done_callback(running.discard)
    if running:
        await asyncio.gather(*running)
    pool.close()


def _build_told(item: traffic.Planned, result: clients.Result) -> ledgers.Told:
    return ledgers.Told(
        service=item.name,
        key=targets.scope_key(
            team=item.team, idempotency_key=item.idempotency_key
        ),
        fate=result.verdict.fate,
        ran=result.verdict.ran,
    )


def _build_unsent(item: traffic.Planned) -> samples.Sample:
    verdict = checks.Verdict(
        fate=samples.Fate.NOT_SENT, detail="too many requests in flight"
    )
    return clients.build_sample(item, "", clients.Result(verdict=verdict))
