"""Monitors the fleet during a run and applies the actions of the profile."""

import asyncio
from collections import abc
import time

import msgspec

from mothpass.control import changes
from mothpass.control import config as configs
from mothpass.control import exits
from mothpass.control import fleet_status
from mothpass.control import http_client
from mothpass.core import errors
from mothpass.load import profiles
from mothpass.load import samples
from mothpass.ports import targets

_MS_PER_S = 1000.0
_REQUEST_TIMEOUT_MS = 2000
_OK = 200
_AUTHOR = "mothpass-load"
_COLLECTIONS = {"zone": "availability-zones", "instance": "instances"}

# Writes a line of the result file.
Write = abc.Callable[[samples.Line], None]


async def watch_fleet(
    watch: profiles.Watch, token: str, write: Write, *, started: float
) -> None:
    """Reads the engines and daemons periodically until it is cancelled.

    Args:
        watch: Addresses and interval.
        token: Operator token.
        write: Writes a line of the result file.
        started: Monotonic time of the start of the run, in seconds.
    """
    while True:
        if watch.engines:
            write(await _read_loads(watch, started=started))
        if watch.operators:
            for line in await _read_control(watch, token, started=started):
                write(line)
        await asyncio.sleep(watch.every_ms / _MS_PER_S)


async def run_actions(
    profile: profiles.Profile, token: str, write: Write, *, started: float
) -> None:
    """Applies the actions of a profile at their times.

    Writes a mark for each action, with whether it was confirmed.
    """
    for action in sorted(profile.actions, key=lambda item: item.at_ms):
        due = started + action.at_ms / _MS_PER_S
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        done = await _run_action(profile, token, action)
        text = _describe_action(action)
        at_ms = _elapsed_ms(started)
        write(samples.Mark(at_ms=at_ms, text=text, done=done))


def _describe_action(action: profiles.Action) -> str:
    """Returns the text of the mark of an action."""
    if action.action == "mark":
        return action.name
    if action.action != "faults":
        return f"{action.action} {action.name}"
    names = " ".join(action.faults) or "faults cleared"
    return f"{names} {action.name}"


async def _run_action(
    profile: profiles.Profile, token: str, action: profiles.Action
) -> bool:
    if action.action == "mark":
        return True
    if action.action == "faults":
        return await _set_faults(action)
    kind, direction = action.action.split()
    config = _build_config(profile.watch, token)
    try:
        outcome = await changes.set_in_service(
            config, _COLLECTIONS[kind], action.name, direction
        )
    except errors.MothpassError:
        return False
    return outcome.exit is exits.Exit.DONE


async def _set_faults(action: profiles.Action) -> bool:
    request = http_client.Request(method="DELETE", path="/faults")
    if action.faults:
        request = http_client.Request(
            method="POST",
            path="/faults",
            headers={"Content-Type": "application/json"},
            body=msgspec.json.encode(action.faults),
        )
    try:
        response = await http_client.fetch(
            action.name, request, timeout_ms=_REQUEST_TIMEOUT_MS
        )
    except errors.MothpassError:
        return False
    return response.status < 300


async def _read_loads(
    watch: profiles.Watch, *, started: float
) -> samples.EngineLoad:
    """Reads the load report of each engine that responds."""
    found = await asyncio.gather(*(_read_load(x) for x in watch.engines))
    in_flight = {
        report.target_id: report.running + report.queued
        for report in found
        if report is not None
    }
    return samples.EngineLoad(
        at_ms=_elapsed_ms(started),
        in_flight=in_flight,
        skew_multiple=watch.skew_multiple,
    )


async def _read_load(address: str) -> targets.LoadReport | None:
    request = http_client.Request(method="GET", path="/v1/load")
    try:
        response = await http_client.fetch(
            address, request, timeout_ms=_REQUEST_TIMEOUT_MS
        )
        if response.status != _OK:
            return None
        report: targets.LoadReport = http_client.decode_body(
            response, targets.LoadReport
        )
    except errors.MothpassError:
        return None
    return report


async def _read_control(
    watch: profiles.Watch, token: str, *, started: float
) -> list[samples.Control]:
    fleet = await fleet_status.read_fleet_status(_build_config(watch, token))
    return [
        samples.Control(
            at_ms=_elapsed_ms(started),
            daemon=page.id,
            bytes_per_s=page.control.bytes_per_s,
            processor_share=page.control.processor_share,
            version=page.catalogue.version,
        )
        for page in fleet.pages.values()
    ]


def _build_config(watch: profiles.Watch, token: str) -> configs.Config:
    return configs.Config(
        addresses=watch.operators,
        token=token,
        author=_AUTHOR,
        timeout_ms=_REQUEST_TIMEOUT_MS,
    )


def _elapsed_ms(started: float) -> float:
    return round((time.monotonic() - started) * _MS_PER_S, 3)
