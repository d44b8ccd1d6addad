"""Decodes and validates the profiles of the load tool.

docs/LOAD.md shows an example and describes each field; a test compares that
page with these structs.
"""

import pathlib
import typing

import msgspec

from mothpass.control import fleets
from mothpass.core import catalogue
from mothpass.core import documents
from mothpass.core import errors
from mothpass.daemon import settings
from mothpass.load import addresses

Rate = typing.Annotated[float, msgspec.Meta(gt=0.0, le=100_000.0)]
Offset = typing.Annotated[int, msgspec.Meta(ge=0, le=3_600_000)]


class Chats(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Generated chats of one team with several turns each.

    Attributes:
        team: Team that sends them.
        service_class: Label for the histograms; ``class`` in JSON.
        model: Requested model.
        requests_per_s: Mean request rate.
        chats: Chats that are open at the start.
        turns: Requests of a chat before a new one replaces it.
        pause_ms: Minimum time between two requests of a chat; when all chats
            are paused, another one is opened.
        opening_words: Words of a chat's first message.
        turn_words: Words of each further message.
        max_tokens: Tokens of each answer.
        stream: Whether answers are streamed.
    """

    team: catalogue.Name
    service_class: catalogue.Name = msgspec.field(name="class")
    model: catalogue.Name
    requests_per_s: Rate
    chats: catalogue.Count = 10
    turns: catalogue.Count = 8
    pause_ms: Offset = 3000
    opening_words: catalogue.Count = 300
    turn_words: catalogue.Count = 30
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=2, le=100_000)] = 32
    stream: bool = True


class Calls(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Requests to a plain service.

    Attributes:
        team: Team that sends them.
        service_class: Label for the histograms; ``class`` in JSON.
        service: Requested service.
        requests_per_s: Mean request rate.
        resent_share: Share of the requests that repeat an earlier one under
            the same key, as a client does that lost the answer.
        at_most_once: Whether each key may be in the service's ledgers at
            most once; needs ``watch.services``.
    """

    team: catalogue.Name
    service_class: catalogue.Name = msgspec.field(name="class")
    service: catalogue.Name
    requests_per_s: Rate
    resent_share: typing.Annotated[float, msgspec.Meta(ge=0.0, lt=1.0)] = 0.0
    at_most_once: bool = False


class Recorded(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Recorded chats, replayed repeatedly under new chat ids.

    Attributes:
        file: Path of the recording, relative to the profile.
        service_class: Label for the histograms; ``class`` in JSON.
        requests_per_s: Mean request rate.
        pause_ms: Minimum time between two requests of a chat.
    """

    file: str
    service_class: catalogue.Name = msgspec.field(name="class")
    requests_per_s: Rate
    pause_ms: Offset = 3000


class Surge(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Period during which one team sends at a multiple of its rates.

    Attributes:
        team: Team whose rates change.
        from_ms: Start of the period, from the start of the run.
        until_ms: End of the period, from the start of the run.
        multiple: Factor on the team's rates.
    """

    team: catalogue.Name
    from_ms: Offset
    until_ms: Offset
    multiple: typing.Annotated[float, msgspec.Meta(gt=0.0, le=1000.0)]


class Action(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Action on the fleet during the run.

    Attributes:
        at_ms: Time from the start of the run.
        action: ``zone out``, ``zone in``, ``instance out``, ``instance in``,
            ``faults`` (at a stand-in's address), or ``mark``, which only adds
            a mark to the time axis.
        name: Zone, instance, stand-in's ``ip:port``, or text of the mark.
        faults: Faults to set, for ``faults``; an empty object clears them.
    """

    at_ms: Offset
    action: typing.Literal[
        "zone out", "zone in", "instance out", "instance in", "faults", "mark"
    ]
    name: str
    faults: dict[str, object] = {}


class Watch(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Monitoring of the fleet during the run.

    Attributes:
        every_ms: Interval between two readings.
        engines: Addresses of the engines whose load reports are read.
        skew_multiple: Multiple of the mean load that no engine may exceed,
            as configured in the catalogue.
        operators: Operator addresses of the daemons whose status pages are
            read for the control traffic; actions are sent to them too.
        services: Addresses of the stand-in services whose ledgers are read
            at the end of the run.
    """

    every_ms: catalogue.Milliseconds = 500
    engines: list[settings.Address] = []
    skew_multiple: typing.Annotated[float, msgspec.Meta(ge=1.0, le=10.0)] = 1.25
    operators: list[settings.Address] = []
    services: list[settings.Address] = []


class Profile(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One run of the load tool.

    Attributes:
        seed: Seed of arrivals, chats and texts.
        duration_ms: Time during which requests are started.
        drain_ms: Time for the last requests to end after that.
        request_limit: Maximum number of requests of the run.
        in_flight_limit: Maximum number of requests in flight; those beyond
            it are counted but not sent.
        keys_file: File with the teams' API keys, relative to the profile.
        daemons: Client addresses of the daemons, used round robin.
        chats: Generated chats.
        calls: Requests to plain services.
        recorded: Recorded chats.
        surges: Periods of higher load.
        actions: Actions on the fleet.
        watch: Monitoring of the fleet.
    """

    seed: typing.Annotated[int, msgspec.Meta(ge=0)]
    duration_ms: catalogue.Milliseconds
    drain_ms: catalogue.Milliseconds = 30_000
    request_limit: typing.Annotated[int, msgspec.Meta(ge=1, le=10_000_000)] = (
        100_000
    )
    in_flight_limit: typing.Annotated[int, msgspec.Meta(ge=1, le=20_000)] = 2000
    keys_file: str
    daemons: typing.Annotated[
        list[settings.Address], msgspec.Meta(min_length=1, max_length=4096)
    ]
    chats: list[Chats] = []
    calls: list[Calls] = []
    recorded: Recorded | None = None
    surges: list[Surge] = []
    actions: list[Action] = []
    watch: Watch = Watch()


def decode_profile(data: bytes) -> Profile:
    """Decodes and validates a profile.

    Raises:
        errors.DocumentError: Lists the problems found, each with its path.
    """
    profile = documents.decode_document(data, Profile)
    addresses.check_loopback(profile.daemons, "$.daemons")
    addresses.check_loopback(profile.watch.engines, "$.watch.engines")
    addresses.check_loopback(profile.watch.operators, "$.watch.operators")
    addresses.check_loopback(profile.watch.services, "$.watch.services")
    _check_watch(profile)
    if not (profile.chats or profile.calls or profile.recorded):
        problem = errors.Problem(path="$", message="no requests to send")
        raise errors.DocumentError([problem])
    return profile


def read_keys(path: pathlib.Path, profile: Profile) -> fleets.Keys:
    """Reads the API keys of a profile and checks that each team has one.

    Args:
        path: Path of the profile.
        profile: Decoded profile.

    Raises:
        errors.DocumentError: The file is invalid or lacks a team's key.
        OSError: The file can't be read.
    """
    data = (path.parent / profile.keys_file).read_bytes()
    keys = documents.decode_document(data, fleets.Keys)
    teams = {x.team for x in profile.chats} | {x.team for x in profile.calls}
    missing = sorted(teams - keys.team_keys.keys())
    if missing:
        problems = [
            errors.Problem(path="$.keys_file", message=f"no key of {team}")
            for team in missing
        ]
        raise errors.DocumentError(problems)
    return keys


def _check_watch(profile: Profile) -> None:
    fault_addresses = [x.name for x in profile.actions if x.action == "faults"]
    addresses.check_loopback(fault_addresses, "$.actions")
    operator_actions = [
        x for x in profile.actions if x.action.endswith(("out", "in"))
    ]
    if operator_actions and not profile.watch.operators:
        problem = errors.Problem(
            path="$.watch.operators",
            message="required by zone and instance actions",
        )
        raise errors.DocumentError([problem])
    needs_ledgers = any(calls.at_most_once for calls in profile.calls)
    if needs_ledgers and not profile.watch.services:
        problem = errors.Problem(
            path="$.watch.services", message="required by at_most_once"
        )
        raise errors.DocumentError([problem])
