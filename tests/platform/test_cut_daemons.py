"""Tests of daemons that are cut off from targets and still reach peers."""

import asyncio

from tests.platform import fleet
from tests.platform import target_standin
from tests.platform import wire

_REQUESTS = 15
# Of the first tries at daemons that are cut off, at least this share is served
# as often as at the others.
_MIN_SERVED = 2 / 3


class _CutTest(fleet.FleetTest):
    """Base class: three daemons that know each other."""

    daemons = 3

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.wait_for(
            lambda: all(
                len(service.fleet_sync.list_peer_ids())
                == len(self.services) - 1
                for service in self.services
            )
        )

    async def send_mixed(self, daemon: int, count: int) -> list[wire.Answer]:
        """Sends plain, unrepeatable and model requests, one after another."""
        answers = []
        for number in range(count):
            path = ("/read/1", "/pay/1", "/chat/1")[number % 3]
            make = self.make_chat_headers if number % 3 == 2 else None
            headers = make() if make else self.make_headers()
            # Plain requests come back soon.
            headers["Deadline-Ms"] = "3000" if make else "800"
            answers.append(
                await self.send_request("POST", path, headers, b"x", daemon)
            )
            await asyncio.sleep(0.02)
        return answers

    def list_runs(self) -> list[str]:
        """Returns the ids of all requests that targets ran."""
        return [
            run for item in (*self.plain, *self.models) for run in item.runs
        ]

    def check_served(self, answers: list[wire.Answer]) -> None:
        """Checks that most first tries were served, and none ran twice."""
        served = [item for item in answers if item.status == 200]
        self.assertGreaterEqual(len(served), _MIN_SERVED * len(answers))
        self.assertTrue(all(item.is_whole for item in served))
        runs = self.list_runs()
        self.assertEqual(len(runs), len(set(runs)))


class FirstTriesTest(_CutTest):
    """First tries at daemons that are cut off from all targets."""

    async def check_cut(self, *daemons: int, how: fleet.Cut) -> None:
        for number in daemons:
            await self.send_mixed(number, 3)
        for number in daemons:
            self.cut_daemon(number, how)
        for number in daemons:
            self.check_served(await self.send_mixed(number, _REQUESTS))

    async def test_silently_cut_daemon_serves_first_tries(self) -> None:
        """Guards against refusals for as long as one daemon is cut off."""
        await self.check_cut(0, how=fleet.Cut.SILENT)

    async def test_refused_daemon_serves_first_tries(self) -> None:
        """Guards against the same where open connections live on."""
        await self.check_cut(0, how=fleet.Cut.REFUSED)

    async def test_most_of_a_zone_serves_first_tries(self) -> None:
        """Guards against the same where most daemons are reset."""
        await self.check_cut(0, 1, how=fleet.Cut.RESET)

    async def test_daemon_that_starts_cut_off_serves_first_tries(self) -> None:
        """Guards against waiting for a first success that can't come."""
        await self.add_daemon(3, cut=fleet.Cut.SILENT)
        await self.wait_for(lambda: self.services[3].fleet_sync.list_peer_ids())
        self.check_served(await self.send_mixed(3, _REQUESTS))


class AttemptLogTest(fleet.FleetTest):
    """What the logs say of attempts that end with their deadline."""

    async def find_connect_ms(self) -> object:
        """Returns the field of the only attempt of a short request."""
        headers = self.make_headers(Deadline_Ms="150")
        with self.assertLogs("mothpass.requests", "INFO") as logs:
            await self.send_request("GET", "/read/1", headers)
        (attempt,) = [
            record.__dict__["fields"]
            for record in logs.records
            if record.getMessage() == "attempt"
        ]
        self.assertEqual(attempt["end"], "lost")
        return attempt["connect_ms"]

    async def test_attempt_without_a_connection_says_so(self) -> None:
        """Guards against a cut that looks like a slow target."""
        for target in self.plain:
            target.answer = target_standin.hang
        self.assertIsNotNone(await self.find_connect_ms())
        self.cut_daemon(0, fleet.Cut.SILENT)
        self.assertIsNone(await self.find_connect_ms())
