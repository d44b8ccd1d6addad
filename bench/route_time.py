"""Times one placement among 1,000 targets of a model.

The measure is printed; the exit status doesn't depend on its bound.
"""

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
MAX_DECISION_US = 50.0
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
    instances = [
        fleet.make_instance(f"d{number}", members.Role.DAEMON, number)
        for number in range(DAEMONS)
    ] + [
        fleet.make_instance(f"e{number}", members.Role.ENGINE, number)
        for number in range(TARGETS)
    ]
    router.set_members(
        members.Members(revision=1, instances=instances), now=0.0
    )
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
    """Times placing, starting and finishing attempts at 59 per second."""
    router = make_router()
    rng = random.Random(SEED)
    decision_us = []
    attempt_us = []
    for number in range(DECISIONS):
        now = number / 59
        request = routing.RouteRequest(
            name=fleet.MODEL, chat=rng.getrandbits(64)
        )
        started_at = time.perf_counter()
        placement = router.choose(request, now=now)
        placed_at = time.perf_counter()
        if isinstance(placement, routing.Send):
            router.start_attempt(placement.target_id, permit=None, now=now)
            router.finish_attempt(
                placement.target_id,
                targets.Outcome.ANSWERED,
                first_token_ms=None,
                now=now,
            )
        decision_us.append((placed_at - started_at) * 1e6)
        attempt_us.append((time.perf_counter() - started_at) * 1e6)
    median = statistics.median(decision_us)
    return measures.Measure(
        measure="route_decision_median_us",
        value=median,
        bound=MAX_DECISION_US,
        ok=median < MAX_DECISION_US,
        baselines={},
        best=None,
        seed=SEED,
        detail={
            "p95_us": statistics.quantiles(decision_us, n=20)[-1],
            "with_start_and_end_median_us": statistics.median(attempt_us),
        },
    )


if __name__ == "__main__":
    print(msgspec.json.encode(measure()).decode())
