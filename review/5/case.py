"""Daemons stop following the servers after one entry that can't be read."""

import asyncio

from review.standins import case as case_module
from review.standins import draining as draining_module

FOREIGN_ID = "i-0badc0de"
# No JSON: it breaks off within nested lists.
UNREADABLE = b'{"x":' + b"[" * 4000
# All is calm for longer than the stability window before a server drains.
CALM_S = 6.0


async def play(case: case_module.Case) -> bool:
    """Writes an entry that can't be read; returns whether the rule breaks."""
    deployment = draining_module.Deployment(case)
    await deployment.start()
    if case.has_trouble:
        case.store.put("servers", FOREIGN_ID, UNREADABLE)
        case.record(
            f"entry {FOREIGN_ID} of another writer: {len(UNREADABLE)} bytes "
            f"that begin with {UNREADABLE[:20]!r}"
        )
    await asyncio.sleep(CALM_S)
    return await deployment.drain()


if __name__ == "__main__":
    case_module.main(__file__, play)
