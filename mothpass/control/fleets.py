"""Reads fleet files and generates the settings files of their instances.

A fleet file lists the instances of one region. The settings of its daemons
differ in few fields, so they are generated from it.
"""

import pathlib
import typing

import msgspec

from mothpass.core import catalogue
from mothpass.core import documents
from mothpass.daemon import settings

Ip = typing.Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}$")]
Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65_535)]


class Ports(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Ports that each daemon listens on at its own IP address.

    Attributes:
        callers: Port for clients.
        operators: Port for operators.
        peers: Port for peers.
    """

    callers: Port
    operators: Port
    peers: Port


class Platform(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Addresses of the platform's services or their stand-ins.

    Attributes:
        tables: Table service.
        objects: Object store.
        members: Membership list.
    """

    tables: settings.Address
    objects: settings.Address
    members: settings.Address


class Daemon(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One daemon.

    Attributes:
        id: Instance id.
        availability_zone: Its availability zone.
        slot: Index of the daemon in the fleet, below ``slots``.
        ip: Its IP address.
    """

    id: catalogue.Name
    availability_zone: catalogue.Name
    slot: typing.Annotated[int, msgspec.Meta(ge=0, le=4095)]
    ip: Ip


class Target(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One engine or plain service.

    Attributes:
        id: Instance id.
        availability_zone: Its availability zone.
        address: ``ip:port``.
        serves: Models or services that it serves.
    """

    id: catalogue.Name
    availability_zone: catalogue.Name
    address: settings.Address
    serves: list[catalogue.Name]


class Standins(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Options of the stand-ins for targets and platform services.

    Attributes:
        engine: Options of each engine.
        service: Options of each plain service.
        table: Options of the table service.
        objects: Options of the object store.
        members: Options of the membership list.
    """

    engine: dict[str, object] = {}
    service: dict[str, object] = {}
    table: dict[str, object] = {}
    objects: dict[str, object] = {}
    members: dict[str, object] = {}


class Fleet(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """All instances of one region.

    Attributes:
        region: Name of the region.
        slots: Number of daemon slots; more than there are daemons, so that a
            replacement can start before the old daemon is gone.
        ports: Ports of the daemons.
        platform: The platform's services.
        daemons: The daemons.
        engines: Model engines.
        services: Plain services.
        standins: Options of their stand-ins.
    """

    region: catalogue.Name
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=4096)]
    ports: Ports
    platform: Platform
    daemons: list[Daemon]
    engines: list[Target]
    services: list[Target]
    standins: Standins = Standins()


class Keys(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Plain-text keys of a fleet, for demonstrations and tests.

    Attributes:
        note: Warning for readers of the file.
        operator_token: Token of operators.
        peer_key: Secret that all daemons share.
        team_keys: API key of each team.
    """

    note: str = ""
    operator_token: settings.Secret
    peer_key: settings.Secret
    team_keys: dict[str, str]


def read_fleet(folder: pathlib.Path) -> Fleet:
    """Reads ``fleet.json`` of a folder.

    Raises:
        errors.DocumentError: If it is invalid.
        OSError: If it can't be read.
    """
    return documents.decode_document(
        (folder / "fleet.json").read_bytes(), Fleet
    )


def read_keys(folder: pathlib.Path) -> Keys:
    """Reads ``keys.json`` of a folder.

    Raises:
        errors.DocumentError: If it is invalid.
        OSError: If it can't be read.
    """
    return documents.decode_document((folder / "keys.json").read_bytes(), Keys)


def list_client_addresses(fleet: Fleet) -> list[str]:
    """Returns the address for clients of each daemon, in file order."""
    return [f"{item.ip}:{fleet.ports.callers}" for item in fleet.daemons]


def list_operator_addresses(fleet: Fleet) -> list[str]:
    """Returns the operators' address of each daemon, in file order."""
    return [f"{item.ip}:{fleet.ports.operators}" for item in fleet.daemons]


def build_settings(
    fleet: Fleet, keys: Keys, daemon: Daemon
) -> settings.Settings:
    """Returns the settings of one daemon of a fleet."""
    return settings.Settings(
        instance=settings.Instance(
            id=daemon.id,
            region=fleet.region,
            availability_zone=daemon.availability_zone,
            slot=daemon.slot,
            slots=fleet.slots,
        ),
        callers=settings.Callers(address=f"{daemon.ip}:{fleet.ports.callers}"),
        operators=settings.Operators(
            address=f"{daemon.ip}:{fleet.ports.operators}",
            token_sha256=[catalogue.hash_key(keys.operator_token)],
        ),
        peers=settings.Peers(
            address=f"{daemon.ip}:{fleet.ports.peers}", key=keys.peer_key
        ),
        platform=settings.Platform(
            tables_url=f"http://{fleet.platform.tables}",
            objects_url=f"http://{fleet.platform.objects}",
            members_url=f"http://{fleet.platform.members}",
        ),
    )


def encode_settings(document: settings.Settings) -> bytes:
    """Encodes settings as indented JSON, including default values."""
    return _format_json(document)


def list_standins(fleet: Fleet) -> dict[str, dict[str, object]]:
    """Returns the settings of all stand-ins of a fleet, by file name.

    A file name starts with the stand-in's subcommand of `mothpass-standin`.
    """
    options = fleet.standins
    members_url = f"http://{fleet.platform.members}"
    configs: dict[str, dict[str, object]] = {
        "members": {"address": fleet.platform.members, **options.members},
        "table": {"address": fleet.platform.tables, **options.table},
        "objects": {"address": fleet.platform.objects, **options.objects},
    }
    for kind, targets, shared in (
        ("engine", fleet.engines, options.engine),
        ("service", fleet.services, options.service),
    ):
        for target in targets:
            configs[f"{kind}-{target.id}"] = {
                "id": target.id,
                "address": target.address,
                "availability_zone": target.availability_zone,
                "serves": target.serves,
                "members_url": members_url,
                **shared,
            }
    return configs


def write_settings(folder: pathlib.Path) -> list[pathlib.Path]:
    """Writes the settings files for the fleet file of a folder.

    Each daemon gets ``daemons/<id>.json``, each stand-in of a target
    ``standins/<kind>-<id>.json``, and each stand-in of a platform service
    ``standins/<kind>.json``.

    Args:
        folder: Folder with ``fleet.json`` and ``keys.json``.

    Returns:
        Paths of the written files.

    Raises:
        errors.DocumentError: If the fleet or the keys are invalid.
        OSError: If a file can't be read or written.
    """
    fleet = read_fleet(folder)
    keys = read_keys(folder)
    files: dict[pathlib.Path, bytes] = {}
    for daemon in fleet.daemons:
        path = folder / "daemons" / f"{daemon.id}.json"
        files[path] = encode_settings(build_settings(fleet, keys, daemon))
    for name, config in list_standins(fleet).items():
        path = folder / "standins" / f"{name}.json"
        files[path] = _format_json(config)
    for path, data in files.items():
        path.parent.mkdir(exist_ok=True)
        path.write_bytes(data)
    return list(files)


def _format_json(document: object) -> bytes:
    return msgspec.json.format(msgspec.json.encode(document)) + b"\n"
