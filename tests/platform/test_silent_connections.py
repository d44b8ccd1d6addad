"""Tests of connections to the store that go silent while new ones work."""

import asyncio
import unittest

from tests.platform import fleet

_SETTLE_S = 2.0
# Daemons are held to their time limits again after that long.
_STABILITY_S = 3.2
_DRAIN_S = 2.0


class SilentFeedsTest(fleet.FleetTest):
    """Change feed calls that nothing answers any more."""

    daemons = 3
    # The calls of all readers but the watcher's short ones have been idle for
    # that long.
    idle_s = 1.0

    async def silence_feeds(self) -> None:
        """Silences idle change feed calls, and waits until that is over."""
        await self.wait_until_followed()
        await asyncio.sleep(_SETTLE_S)
        silenced = [
            pool.silence_idle(self.store.address, self.idle_s)
            for pool in self.pools
        ]
        self.assertGreater(sum(silenced), 0)
        await asyncio.sleep(_STABILITY_S)

    async def test_drain_is_seen_in_time(self) -> None:
        """Guards against a drain that is seen when a long call times out."""
        await self.silence_feeds()
        await self.drain_target(self.plain[0], _DRAIN_S)

    async def test_removal_is_seen_in_time(self) -> None:
        """Guards against silence that passes for an outage of the store."""
        await self.silence_feeds()
        leaving = self.plain[0]
        self.store.remove("servers", leaving.id)
        await self.wait_for(
            lambda: all(
                leaving.id not in item.state.targets.targets
                for item in self.services
            ),
            _DRAIN_S,
        )


class SilentFeedOfOneDaemonTest(SilentFeedsTest):
    """The same without peers that could poll the store."""

    daemons = 1
    idle_s = 0.0


if __name__ == "__main__":
    unittest.main()
