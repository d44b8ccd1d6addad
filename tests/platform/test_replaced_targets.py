"""Tests of requests that meet other targets at the registered addresses."""

import msgspec

from tests.platform import fleet
from tests.platform import target_standin

_REQUESTS = 60
_REJECTED = target_standin.reject(421, {})


class ReplacedTargetsTest(fleet.FleetTest):
    """Targets that are replaced at their addresses."""

    daemons = 2

    async def test_rejections_by_other_targets_stay_within_the_budget(
        self,
    ) -> None:
        """Guards against repeats after a 421 that no budget counts."""
        # Each entry is written again, as if its target were back each time.
        for service in self.services:
            service.reload(
                msgspec.structs.replace(service.settings, repeat_extra=10.0)
            )
        for target in self.plain:
            target.answer = _REJECTED
        for number in range(_REQUESTS):
            for target in self.plain:
                entry = target.encode_entry("plain", version=f"v{number}")
                self.store.put("servers", target.id, entry)
            answer = await self.send_request(
                "GET", f"/read/{number}", daemon=number % 2
            )
            self.assertEqual(answer.status, 503)
        settings = self.services[0].settings
        arrivals = sum(len(target.requests) for target in self.plain)
        budget = settings.repeat_ratio * _REQUESTS + settings.repeat_extra
        self.assertLessEqual(arrivals - _REQUESTS, budget)

    async def test_replaced_target_is_known_to_the_other_daemon(self) -> None:
        """Guards against one rejection for each daemon of the fleet."""
        self.plain[0].answer = _REJECTED
        for number in range(10):
            await self.send_request("GET", f"/read/{number}")
        self.assertEqual(len(self.plain[0].requests), 1)
        other = self.services[1].state.targets.targets[self.plain[0].id]
        await self.wait_for(lambda: other.backoff_until > 0.0)
        for number in range(10):
            await self.send_request("GET", f"/read/{number}", daemon=1)
        self.assertEqual(len(self.plain[0].requests), 1)
