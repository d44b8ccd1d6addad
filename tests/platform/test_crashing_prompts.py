"""Tests of prompt parts that crash each target that answers on them."""

import asyncio
import itertools

from tests.platform import fleet
from tests.platform import target_standin
from tests.platform import wire

BAD_PART = "bad0"
# The users' rule: after the fifth crash and this time, three more requests.
STABILITY_WINDOW_S = 3.0
MAX_LATE_ARRIVALS = 3
RESTART_S = 0.3


class CrashingPromptTest(fleet.FleetTest):
    """Targets that crash on a part, behind three daemons, and come back."""

    daemons = 3
    late_daemon = 3

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.numbers = itertools.count()
        self.arrivals: list[float] = []
        self.restarts: set[asyncio.Task[None]] = set()
        self.models += [await self.add_target("models") for _ in range(4)]
        for target in self.models:
            target.answer = self.answer_or_crash
        for service in self.services:
            known = service.state.targets.targets
            await self.wait_for(
                lambda known=known: all(
                    item.id in known for item in self.models
                )
            )

    async def answer_or_crash(
        self,
        target: target_standin.Target,
        request: wire.Request,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Streams an answer, or begins one and crashes on the bad part."""
        if BAD_PART not in request.headers["prompt-prefix"]:
            await target_standin.answer_normally(target, request, writer)
            return
        self.arrivals.append(asyncio.get_running_loop().time())
        target_standin.start_stream(target, request, writer)
        await asyncio.sleep(0.02)
        target.close()
        restart = asyncio.ensure_future(self.restart(target))
        self.restarts.add(restart)
        restart.add_done_callback(self.restarts.discard)

    async def restart(self, target: target_standin.Target) -> None:
        """Starts a target again under its id and at its address."""
        await asyncio.sleep(RESTART_S)
        host, _, port = target.address.rpartition(":")
        await target.open(host, int(port))
        born = 2000 + next(self.numbers)
        entry = target.encode_entry("models", born=born)
        self.store.put("servers", target.id, entry)

    async def send_prompt(
        self, part: str, daemon: int = 0, route: str = "once"
    ) -> int:
        """Sends a request with a part and returns the status of its answer.

        No two requests are alike; all share their team and first part.
        """
        number = next(self.numbers)
        headers = self.make_chat_headers()
        headers["Prompt-Prefix"] = f"aa:80,{part}:30,{number:x}e:10"
        body = b"%d" % number
        answer = await self.send_request(
            "POST", f"/{route}/1", headers, body, daemon
        )
        return answer.status if answer.is_whole else 0

    async def test_part_that_crashes_targets_reaches_few_of_them(self) -> None:
        """Guards against quarantine that only knows whole requests."""
        loop = asyncio.get_running_loop()
        end = loop.time() + 2 * STABILITY_WINDOW_S + 1.0
        while loop.time() < end:
            await self.send_prompt(BAD_PART, next(self.numbers) % 3)
            await asyncio.sleep(0.2)
        fifth = self.arrivals[4] if len(self.arrivals) > 4 else loop.time()
        late = [
            arrived_at
            for arrived_at in self.arrivals
            if arrived_at > fifth + STABILITY_WINDOW_S
        ]
        self.assertGreater(len(self.arrivals), 2)
        self.assertLessEqual(len(late), MAX_LATE_ARRIVALS)

    async def test_sound_requests_beside_a_barred_part_are_served(self) -> None:
        """Guards against bars on the team or the parts that they share."""
        statuses = []
        for number in range(40):
            bad = self.send_prompt(BAD_PART, number % 3)
            sound = self.send_prompt("bb", (number + 1) % 3)
            _, status = await asyncio.gather(bad, sound)
            statuses.append(status)
            await asyncio.sleep(0.1)
        crashes = len(self.arrivals)
        self.assertGreater(crashes, 2)
        self.assertEqual(statuses[-20:], [200] * 20)
        for daemon in range(3):
            self.assertEqual(await self.send_prompt(BAD_PART, daemon), 503)
        self.assertEqual(len(self.arrivals), crashes)

    async def test_daemon_that_starts_later_knows_of_a_barred_part(
        self,
    ) -> None:
        """Guards against a restart after peers stopped to tell of it."""
        while not self.services[1].fleet_sync.suspected_parts.list_barred():
            await self.send_prompt(BAD_PART)
            await self.send_prompt("bb")
            await asyncio.sleep(0.3)
        # Longer than a change is gossiped for.
        await asyncio.sleep(1.0)
        crashes = len(self.arrivals)
        await self.add_daemon(self.late_daemon)
        late = self.services[self.late_daemon].fleet_sync.suspected_parts
        await self.wait_for(late.list_barred, 2.0)
        self.assertEqual(
            await self.send_prompt(BAD_PART, self.late_daemon), 503
        )
        self.assertEqual(len(self.arrivals), crashes)

    async def test_crash_on_a_used_connection_counts(self) -> None:
        """Guards against deaths that go unnoticed on reused connections."""
        for _ in range(3):
            # Leaves idle connections to all targets.
            await asyncio.gather(
                *(self.send_prompt(f"{n}b", route="chat") for n in range(30))
            )
            await self.send_prompt(BAD_PART, route="chat")
            await asyncio.sleep(1.1)
        # Each of the first two requests may crash two targets.
        self.assertLessEqual(len(self.arrivals), 4)


class CutLinksTest(fleet.FleetTest):
    """Sound requests in flight at daemons whose links are cut."""

    daemons = 3

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.models += [await self.add_target("models") for _ in range(4)]
        await self.wait_for(
            lambda: all(
                all(
                    item.id in service.state.targets.targets
                    for item in self.models
                )
                and len(service.fleet_sync.list_peer_ids()) == 2
                for service in self.services
            )
        )

    async def send_prompt(self, number: int, daemon: int) -> int:
        """Sends a request with a shared part; returns the answer's status."""
        headers = self.make_chat_headers()
        headers["Prompt-Prefix"] = f"aa:80,{number:x}b:30,cc:10"
        answer = await self.send_request(
            "POST", "/once/1", headers, b"%d" % number, daemon
        )
        return answer.status

    async def interrupt(self, *daemons: int, how: fleet.Cut) -> None:
        """Cuts daemons off three times while requests are in flight."""
        for _ in range(3):
            for target in self.models:
                target.answer = target_standin.hang
            sending = [
                asyncio.ensure_future(self.send_prompt(number, daemon))
                for daemon in daemons
                for number in range(6)
            ]
            await asyncio.sleep(0.2)
            for daemon in daemons:
                self.cut_daemon(daemon, how)
            await asyncio.gather(*sending)
            for target in self.models:
                target.answer = target_standin.answer_normally
            await asyncio.sleep(0.6)
            for daemon in daemons:
                self.pools[daemon].heal()
            await asyncio.sleep(0.6)

    async def check_nothing_barred(self) -> None:
        for daemon, service in enumerate(self.services):
            sync = service.fleet_sync
            self.assertEqual(sync.suspected_parts.list_barred(), [])
            self.assertEqual(await self.send_prompt(1, daemon), 200)

    async def test_cut_daemons_condemn_no_prompt_part(self) -> None:
        """Guards against cut links that pass for crashed targets."""
        await self.interrupt(0, 1, how=fleet.Cut.RESET)
        await self.check_nothing_barred()

    async def test_partition_of_a_whole_service_condemns_no_prompt_part(
        self,
    ) -> None:
        """Guards against targets that all daemons lose at the same time."""
        plain, self.plain = self.plain, []
        await self.interrupt(0, 1, 2, how=fleet.Cut.RESET)
        self.plain = plain
        await self.check_nothing_barred()

    async def test_daemon_that_lost_some_targets_condemns_no_prompt_part(
        self,
    ) -> None:
        """Guards against the same where other targets are in reach."""
        models, plain = self.models, self.plain
        self.plain = []
        self.models = models[:4]
        await self.interrupt(0, 1, how=fleet.Cut.RESET)
        self.models, self.plain = models, plain
        await self.check_nothing_barred()


class CrashBesideCutTest(CrashingPromptTest):
    """The same crashes while a fourth daemon is cut off from all targets."""

    daemons = 4
    late_daemon = 4

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.cut_daemon(3, fleet.Cut.RESET)
        await self.send_prompt("bb", 3)
