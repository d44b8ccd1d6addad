"""Places a returning chat on a target with the router of mothpass.core alone.

Run it with ``python examples/embed/choose_target.py``.
"""

import random

from mothpass.core import catalogue
from mothpass.core import preference
from mothpass.core import routing
from mothpass.core import targets
from mothpass.ports import members
from mothpass.ports import targets as targets_port

_CATALOGUE = b"""{
  "classes": [{"name": "chat", "priority": 1, "deadline_ms": 30000}],
  "models": [{
    "name": "advice", "owner": "guild", "class": "chat",
    "limits": {"in_flight": 500, "requests_per_s": 100, "queued": 100},
    "target_in_flight": 64,
    "cold_start": {"in_flight": 2, "answers_per_step": 2, "warm_in_flight": 16}
  }],
  "services": [], "teams": [],
  "availability_zones": [{"name": "bc-west-a", "region": "bc-west"}]
}"""
_ENGINES = ("runner-1", "runner-2", "runner-3")


def build_router() -> routing.Router:
    """Returns a router that knows three warm engines."""
    router = routing.Router(
        instance_id="embedded",
        availability_zone="bc-west-a",
        slot=0,
        slots=1,
        random=random.Random(1),
    )
    router.set_catalogue(catalogue.decode_catalogue(_CATALOGUE), now=0.0)
    router.set_members(
        members.Members(
            revision=1,
            instances=[
                members.Instance(
                    id=name,
                    role=members.Role.ENGINE,
                    state=members.State.LIVE,
                    address=f"127.0.0.1:{9000 + number}",
                    availability_zone="bc-west-a",
                    serves=["advice"],
                )
                for number, name in enumerate(_ENGINES)
            ],
        ),
        now=0.0,
    )
    router.record_loads(
        [
            targets.LoadRecord(
                target_id=name,
                boot_id="boot-1",
                phase=targets_port.Phase.WARM,
                running=10,
                queued=0,
                received_at=0.0,
            )
            for name in _ENGINES
        ],
        now=0.0,
    )
    return router


def choose_for_chat(router: routing.Router, chat: str, now: float) -> str:
    """Returns the engine chosen for a chat's next request.

    Raises:
        RuntimeError: No engine can take the request now.
    """
    request = routing.RouteRequest(
        name="advice", chat=preference.hash_name(chat)
    )
    placement = router.choose(request, now=now)
    if not isinstance(placement, routing.Send):
        raise RuntimeError(f"no engine can take the request now: {placement}")
    return placement.target_id


def main() -> None:
    """Prints that later requests of a chat go to the same engine."""
    router = build_router()
    for chat in ("lease-of-anna", "reply-of-ben", "note-of-cleo"):
        first = choose_for_chat(router, chat, now=1.0)
        again = choose_for_chat(router, chat, now=2.0)
        print(f"{chat}: {first}, and again {again}")


if __name__ == "__main__":
    main()
