"""Fixtures shared by the tests of routing and gates."""

import random

from mothpass.core import catalogue
from mothpass.core import routing
from mothpass.core import targets
from mothpass.ports import members
from mothpass.ports import targets as targets_port

MODEL = "advice"
SERVICE = "booking"
LIMITS = catalogue.Limits(in_flight=1000, requests_per_s=1000, queued=1000)


def make_catalogue(
    *,
    zones_out: tuple[str, ...] = (),
    instances_out: tuple[str, ...] = (),
    target_in_flight: int = 64,
    cold_in_flight: int = 4,
) -> catalogue.Catalogue:
    """Returns a catalogue of one model, one service and three zones."""
    cold_start = catalogue.ColdStart(
        in_flight=cold_in_flight, answers_per_step=2, warm_in_flight=16
    )
    return catalogue.Catalogue(
        classes=[],
        teams=[],
        models=[
            catalogue.Model(
                name=MODEL,
                owner="guild",
                service_class="chat",
                limits=LIMITS,
                target_in_flight=target_in_flight,
                cold_start=cold_start,
            )
        ],
        services=[
            catalogue.Service(
                name=SERVICE,
                owner="guild",
                service_class="chat",
                limits=LIMITS,
                repeatable=True,
                target_in_flight=4,
            )
        ],
        availability_zones=[
            catalogue.AvailabilityZone(
                name=zone, region="bc-west", out=zone in zones_out
            )
            for zone in ("a", "b", "c")
        ],
        instances_out=list(instances_out),
    )


def make_members(
    *, daemons: int = 8, engines: int = 5, leaving: tuple[str, ...] = ()
) -> members.Members:
    """Returns a membership list of daemons, engines and two services."""
    roles: list[tuple[str, members.Role, list[str]]] = []
    roles += [(f"d{i}", members.Role.DAEMON, []) for i in range(daemons)]
    roles += [(f"e{i}", members.Role.ENGINE, [MODEL]) for i in range(engines)]
    roles += [(f"s{i}", members.Role.SERVICE, [SERVICE]) for i in range(2)]
    return members.Members(
        revision=1,
        instances=[
            members.Instance(
                id=name,
                role=role,
                state=members.State.LEAVING
                if name in leaving
                else members.State.LIVE,
                address=f"127.0.0.1:{1000 + index}",
                availability_zone="abc"[index % 3],
                serves=serves,
            )
            for index, (name, role, serves) in enumerate(roles)
        ],
    )


def make_record(
    target_id: str,
    *,
    at: float,
    boot_id: str = "b1",
    phase: targets_port.Phase = targets_port.Phase.WARM,
    running: int = 0,
) -> targets.LoadRecord:
    """Returns a load report with an age of 0."""
    return targets.LoadRecord(
        target_id=target_id,
        boot_id=boot_id,
        phase=phase,
        running=running,
        queued=0,
        received_at=at,
    )


def make_router(*, daemon: int = 0) -> routing.Router:
    """Returns a router with a catalogue and members, but no load reports."""
    router = routing.Router(
        instance_id=f"d{daemon}",
        availability_zone="a",
        slot=daemon,
        slots=8,
        random=random.Random(daemon),
    )
    router.set_catalogue(make_catalogue(), now=0.0)
    router.set_members(make_members(), now=0.0)
    return router


def make_warm_router(
    *, daemon: int = 0, running: int = 10, now: float = 1.0
) -> routing.Router:
    """Returns a router with reports of warm engines of equal load."""
    router = make_router(daemon=daemon)
    records = [make_record(f"e{i}", at=now, running=running) for i in range(5)]
    router.record_loads(records, now=now)
    return router
