"""Decodes, encodes and checks the catalogue that operators maintain.

docs/CATALOGUE.md describes each field; a test compares that page with these
structs.
"""

from collections import abc
import hashlib
import typing

import msgspec

from mothpass.core import decoding
from mothpass.core import documents
from mothpass.core import errors

Name = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")
]
Count = typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Milliseconds = typing.Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]
Sha256 = typing.Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]


class Limits(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Limits of a team, model or service over the whole fleet.

    Attributes:
        in_flight: Maximum requests in flight at once.
        requests_per_s: Maximum requests admitted per second, on average.
        queued: Maximum requests queued for a target at once.
    """

    in_flight: Count
    requests_per_s: Count
    queued: typing.Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]


class ServiceClass(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Priority and deadline of a class of requests.

    Attributes:
        name: Name that teams, models and services refer to.
        priority: 0 is the most urgent; passed on to the engines.
        deadline_ms: Time after which an answer is of no use.
    """

    name: Name
    priority: typing.Annotated[int, msgspec.Meta(ge=0, le=9)]
    deadline_ms: Milliseconds


class ColdStart(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Limits on the load of a target until it is warm.

    Attributes:
        in_flight: Maximum requests in flight right after the target's start.
        answers_per_step: Finished answers that raise the limit by one.
        warm_in_flight: Limit at which the target counts as warm.
    """

    in_flight: Count
    answers_per_step: Count
    warm_in_flight: Count


class Model(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A model that engines serve; its requests may always be retried.

    Attributes:
        name: Name that clients use.
        owner: Who is responsible for it.
        service_class: Name of its class; ``class`` in JSON.
        limits: Limits over the fleet.
        target_in_flight: Maximum requests in flight at one warm target.
        skew_multiple: Skew bound on a target's load, as a multiple of the
            mean.
        cold_start: Limits of a target until it is warm.
    """

    name: Name
    owner: str
    service_class: Name = msgspec.field(name="class")
    limits: Limits
    target_in_flight: Count
    skew_multiple: typing.Annotated[float, msgspec.Meta(ge=1.0, le=10.0)] = 1.25
    cold_start: ColdStart


class Service(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A service such as booking or payment.

    Attributes:
        name: Name that clients use.
        owner: Who is responsible for it.
        service_class: Name of its class; ``class`` in JSON.
        limits: Limits over the fleet.
        repeatable: Whether a request may run more than once. If not, clients
            must send an idempotency key.
        target_in_flight: Maximum requests in flight at one target.
        result_kept_ms: How long a result is kept for repeated requests.
    """

    name: Name
    owner: str
    service_class: Name = msgspec.field(name="class")
    limits: Limits
    repeatable: bool
    target_in_flight: Count
    result_kept_ms: typing.Annotated[
        int, msgspec.Meta(ge=60_000, le=2_592_000_000)
    ] = 86_400_000


class Team(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A customer of the fleet.

    Attributes:
        name: Name of the team.
        owner: Who is responsible for it.
        service_class: Name of its class; ``class`` in JSON.
        limits: Limits over the fleet.
        weight: Share of a contended target, relative to other teams.
        key_sha256: SHA-256, in hex, of each API key of the team.
        uses: Models and services that the team may use.
    """

    name: Name
    owner: str
    service_class: Name = msgspec.field(name="class")
    limits: Limits
    weight: Count = 1
    key_sha256: typing.Annotated[
        list[Sha256], msgspec.Meta(min_length=1, max_length=8)
    ]
    uses: list[Name]


class AvailabilityZone(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """An availability zone.

    Attributes:
        name: Name, unique in the catalogue.
        region: Region that it belongs to.
        out: Whether operators have taken it out of service.
    """

    name: Name
    region: Name
    out: bool = False


class Catalogue(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """All entries of one accepted version.

    The version isn't part of it: the store assigns it on acceptance.

    Attributes:
        classes: Service classes that entries refer to.
        models: Models by name.
        services: Services by name.
        teams: Teams by name.
        availability_zones: Zones and whether they are out of service.
        instances_out: Ids of the instances that operators have taken out of
            service.
    """

    classes: list[ServiceClass]
    models: list[Model]
    services: list[Service]
    teams: list[Team]
    availability_zones: list[AvailabilityZone]
    instances_out: list[Name] = []


def decode_catalogue(data: bytes) -> Catalogue:
    """Decodes and validates a catalogue.

    Args:
        data: UTF-8 JSON.

    Returns:
        The catalogue; names are unique and every reference resolves.

    Raises:
        errors.DocumentError: With every problem found, each with its path.
    """
    catalogue = _decode_structs(data)
    problems = list(check_catalogue(catalogue))
    if problems:
        raise errors.DocumentError(problems)
    return catalogue


def _decode_structs(data: bytes) -> Catalogue:
    """Decodes a catalogue and collects all problems if that fails.

    Collecting the problems takes many times as long as decoding and blocks
    the event loop meanwhile.
    """
    try:
        return decoding.decode_json(data, Catalogue)
    except msgspec.DecodeError:
        return documents.decode_document(data, Catalogue)


def encode_catalogue(catalogue: Catalogue) -> bytes:
    """Encodes a catalogue as JSON; equal catalogues give equal bytes."""
    return msgspec.json.encode(catalogue, order="deterministic")


def check_catalogue(catalogue: Catalogue) -> abc.Iterator[errors.Problem]:
    """Yields the problems that span several entries."""
    yield from _check_unique("classes", (x.name for x in catalogue.classes))
    yield from _check_unique("teams", (x.name for x in catalogue.teams))
    yield from _check_unique("models", (x.name for x in catalogue.models))
    yield from _check_unique("services", (x.name for x in catalogue.services))
    yield from _check_unique(
        "availability_zones", (x.name for x in catalogue.availability_zones)
    )
    yield from _check_class_references(catalogue)
    yield from _check_uses(catalogue)
    yield from _check_cold_starts(catalogue)
    yield from _check_keys(catalogue)


def hash_key(key: str) -> str:
    """Returns the hash of a team's API key as the catalogue stores it."""
    return hashlib.sha256(key.encode()).hexdigest()


def _check_unique(
    field: str, names: abc.Iterable[str]
) -> abc.Iterator[errors.Problem]:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            yield errors.Problem(
                path=f"$.{field}[{index}].name",
                message=f"{name} is a duplicate name",
            )
        seen.add(name)


def _check_class_references(
    catalogue: Catalogue,
) -> abc.Iterator[errors.Problem]:
    known = {item.name for item in catalogue.classes}
    references = {
        "models": [item.service_class for item in catalogue.models],
        "services": [item.service_class for item in catalogue.services],
        "teams": [item.service_class for item in catalogue.teams],
    }
    for field, names in references.items():
        for index, name in enumerate(names):
            if name not in known:
                yield errors.Problem(
                    path=f"$.{field}[{index}].class",
                    message=f"no class named {name}",
                )


def _check_uses(catalogue: Catalogue) -> abc.Iterator[errors.Problem]:
    known = {item.name for item in catalogue.models}
    known |= {item.name for item in catalogue.services}
    for index, team in enumerate(catalogue.teams):
        for position, name in enumerate(team.uses):
            if name not in known:
                yield errors.Problem(
                    path=f"$.teams[{index}].uses[{position}]",
                    message=f"no model or service named {name}",
                )


def _check_cold_starts(catalogue: Catalogue) -> abc.Iterator[errors.Problem]:
    for index, model in enumerate(catalogue.models):
        cold_start = model.cold_start
        if (
            not cold_start.in_flight
            <= cold_start.warm_in_flight
            <= model.target_in_flight
        ):
            yield errors.Problem(
                path=f"$.models[{index}].cold_start",
                message="needs in_flight <= warm_in_flight <= target_in_flight",
            )


def _check_keys(catalogue: Catalogue) -> abc.Iterator[errors.Problem]:
    owners: dict[str, str] = {}
    for index, team in enumerate(catalogue.teams):
        for key in team.key_sha256:
            other = owners.setdefault(key, team.name)
            if other != team.name:
                yield errors.Problem(
                    path=f"$.teams[{index}].key_sha256",
                    message=f"key of {team.name} is already used by {other}",
                )
