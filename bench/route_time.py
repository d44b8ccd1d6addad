"""Times one decision with 1,000 targets for a model; printed, not gating."""

import random
import statistics
import time

import msgspec

from bench import fleet
from bench import measures
from mothpass.core import routing
from mothpass.core import targets
from mothpass.ports import members
from mothpass.ports import targets as targets_port

TARGETS = 1000
DAEMONS = 200
DECISIONS = 5000
BOUND_US = 50.0
SEED = 7


def make_router() -> routing.Router:
    """Returns a router of a large fleet whose targets are all warm."""
    router = routing.Router(
        instance_id="d0",
        availability_zone="a",
        slot=0,
        slots=DAEMONS,
        random=random.Random(SEED),
    )
    router.set_catalogue(
        fleet.make_catalogue(fleet.FleetConfig(batch_size=128)), now=0.0
    )
    listed = [
        fleet.make_instance(f"d{number}", members.Role.DAEMON, number)
        for number in range(DAEMONS)
    ] + [
        fleet.make_instance(f"e{number}", members.Role.ENGINE, number)
        for number in range(TARGETS)
    ]
    router.set_members(members.Members(revision=1, instances=listed), now=0.0)
    rng = random.Random(SEED)
    router.record_loads(
        [
            targets.LoadRecord(
                target_id=f"e{number}",
                boot_id="b",
                phase=targets_port.Phase.WARM,
                running=round(rng.gauss(75, 9)),
                queued=0,
                received_at=0.0,
            )
            for number in range(TARGETS)
        ],
        now=0.0,
    )
    return router


def measure() -> measures.Measure:
    """Times choosing, starting and ending calls at 59 a second."""
    router = make_router()
    rng = random.Random(SEED)
    choosing = []
    whole = []
    for number in range(DECISIONS):
        now = number / 59
        request = routing.RouteRequest(
            name=fleet.MODEL, chat=rng.getrandbits(64)
        )
        begin = time.perf_counter()
        choice = router.choose(request, now=now)
        chosen = time.perf_counter()
        if isinstance(choice, routing.Send):
            router.start_attempt(choice.target_id, permit=None, now=now)
            router.finish_attempt(
                choice.target_id,
                targets.Outcome.ANSWERED,
                first_token_ms=None,
                now=now,
            )
        choosing.append((chosen - begin) * 1e6)
        whole.append((time.perf_counter() - begin) * 1e6)
    median = statistics.median(choosing)
    return measures.Measure(
        measure="route_decision_median_us",
        value=median,
        bound=BOUND_US,
        ok=median < BOUND_US,
        baselines={},
        best=None,
        seed=SEED,
        detail={
            "p95_us": statistics.quantiles(choosing, n=20)[-1],
            "with_start_and_end_median_us": statistics.median(whole),
        },
    )


if __name__ == "__main__":
    print(msgspec.json.encode(measure()).decode())
