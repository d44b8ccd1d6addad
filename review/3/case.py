"""A drain goes unseen after channels to the store went silent."""

import asyncio

from review.standins import case as case_module
from review.standins import draining as draining_module
from review.standins import proxy as proxy_module

# Channels over which nothing has passed for this long go silent.
IDLE_S = 1.0
# Longer than the stability window: the daemons are in touch again.
CALM_S = 3.2


async def play(case: case_module.Case) -> bool:
    """Silences channels to the store; returns whether the rule is broken."""
    proxy = proxy_module.Proxy(case.store.address)
    await proxy.open("127.0.0.1")
    deployment = draining_module.Deployment(case, store=proxy.address)
    await deployment.start()
    if case.has_trouble:
        silenced = proxy.silence(IDLE_S)
        case.record(
            f"{silenced} open channels to the store go silent, over which "
            f"nothing has passed for {IDLE_S} s; others and new ones work"
        )
    await asyncio.sleep(CALM_S)
    return await deployment.drain()


if __name__ == "__main__":
    case_module.main(__file__, play)
