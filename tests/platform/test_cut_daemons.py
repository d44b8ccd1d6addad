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


class ForwardedRequestsTest(_CutTest):
    """Requests that go through a peer."""

    async def asyncSetUp(self) -> None:
        """Cuts the first daemon off and waits until it knows."""
        await super().asyncSetUp()
        self.cut_daemon(0, fleet.Cut.SILENT)
        await self.send_request("GET", "/read/1")
        await self.send_request("GET", "/chat/1", self.make_chat_headers())
        monitor = self.services[0].fleet_sync.path_monitor
        await self.wait_for(
            lambda: monitor.is_cut_off("plain") and monitor.is_cut_off("models")
        )
        for target in (*self.plain, *self.models):
            target.runs.clear()

    def set_answers(self, script: target_standin.Script) -> None:
        for target in (*self.plain, *self.models):
            target.answer = script

    async def test_answer_comes_unchanged(self) -> None:
        """Guards against a peer that adds to an answer or takes from it."""
        headers = self.make_headers()
        answer = await self.send_request("POST", "/pay/1", headers, b"x")
        direct = await self.send_request("POST", "/pay/1", body=b"x", daemon=1)
        self.assertEqual(answer.body, b"done")
        self.assertEqual(answer.headers.keys(), direct.headers.keys())
        self.assertEqual(answer.headers["attempt-id"], headers["Attempt-Id"])

    async def test_deadline_is_what_is_left(self) -> None:
        """Guards against time that begins anew at the peer."""
        self.set_answers(target_standin.hang)
        loop = asyncio.get_running_loop()
        begun_at = loop.time()
        headers = self.make_headers(Deadline_Ms="600")
        answer = await self.send_request("POST", "/pay/1", headers, b"x")
        self.assertEqual(answer.status, 504)
        self.assertLess(loop.time() - begun_at, 0.9)
        (request,) = [
            item
            for target in self.plain
            for item in target.requests
            if item.headers["attempt-id"] == headers["Attempt-Id"]
        ]
        self.assertLessEqual(int(request.headers["deadline-ms"]), 600)

    async def test_broken_stream_of_a_peer_ends_incomplete(self) -> None:
        """Guards against an error's text, or an end, that a peer adds."""
        events = target_standin.make_event(0) + target_standin.make_event(1)
        for rest in ([b"event: error\ndata: x\n\n"], []):
            with self.subTest(rest=rest):
                self.script_all(
                    self.models,
                    target_standin.break_stream(2),
                    target_standin.stream_text(*rest),
                )
                answer = await self.send_request(
                    "POST", "/chat/1", self.make_chat_headers()
                )
                self.assertEqual(answer.body, events)
                self.assertFalse(answer.is_whole)

    async def test_unrepeatable_request_runs_once_and_its_loss_is_unknown(
        self,
    ) -> None:
        """Guards against a promise that a lost request hasn't run."""
        self.set_answers(target_standin.lose_answer)
        answers = [
            await self.send_request("POST", "/pay/1", body=b"x")
            for _ in range(6)
        ]
        self.assertEqual({item.status for item in answers}, {502})
        runs = self.list_runs()
        self.assertEqual(len(runs), len(set(runs)))

    async def test_end_of_the_peer_is_unknown(self) -> None:
        """Guards against a promise, or a repeat, where a peer ends."""
        self.set_answers(target_standin.hang)
        sending = asyncio.ensure_future(
            self.send_request("POST", "/pay/1", body=b"x")
        )
        await self.wait_for(lambda: any(item.runs for item in self.plain))
        for service in self.services[1:]:
            await service.close()
        answer = await sending
        self.assertEqual(answer.status, 502)
        self.assertEqual(sum(len(item.runs) for item in self.plain), 1)

    async def test_stream_whose_peer_ends_is_not_complete(self) -> None:
        """Guards against a part of a stream that looks whole."""
        self.set_answers(target_standin.silence_stream(2))
        client = await wire.Client.connect(self.addresses[0])
        client.send("POST", "/chat/1", self.make_chat_headers(), b"x")
        head = await client.read_head()
        self.assertEqual(head.status, 200)
        # Both events may come as one piece.
        await client.read_event()
        for service in self.services[1:]:
            await service.close()
        self.assertTrue(await client.is_closed())
        client.close()

    async def test_run_ends_when_the_client_leaves(self) -> None:
        """Guards against targets that work on for a client that is gone."""
        self.set_answers(target_standin.hang)
        client = await wire.Client.connect(self.addresses[0])
        client.send("GET", "/read/1", self.make_headers())
        await self.wait_for(lambda: any(item.runs for item in self.plain))
        client.close()
        await self.wait_for(
            lambda: any(item.cancelled_runs for item in self.plain), 1.0
        )

    async def test_failure_of_a_target_is_passed_on(self) -> None:
        """Guards against another status than the target's own."""
        self.set_answers(target_standin.fail(500))
        answer = await self.send_request("POST", "/pay/1", body=b"x")
        self.assertEqual(answer.status, 500)
        self.assertEqual(answer.body, b"failed")

    async def test_repeats_stay_within_the_attempts_of_the_route(self) -> None:
        """Guards against attempts that each daemon counts anew."""
        self.set_answers(target_standin.lose_answer)
        headers = self.make_headers()
        answer = await self.send_request("GET", "/read/1", headers)
        self.assertEqual(answer.status, 502)
        runs = self.list_runs().count(headers["Attempt-Id"])
        self.assertLessEqual(runs, 2)

    async def test_pause_that_a_target_asked_of_the_peer_is_kept(self) -> None:
        """Guards against requests in a pause that another daemon knows of."""
        self.set_answers(
            target_standin.reject(503, {"Not-Run": "1", "Retry-After": "3"})
        )
        for daemon in (1, 2):
            for _ in range(3):
                await self.send_request("GET", "/read/1", daemon=daemon)
        await asyncio.sleep(0.5)
        before = sum(len(item.requests) for item in self.plain)
        for _ in range(6):
            answer = await self.send_request("GET", "/read/1")
            self.assertEqual(answer.status, 503)
            self.assertGreater(float(answer.headers["retry-after"]), 0)
        after = sum(len(item.requests) for item in self.plain)
        self.assertEqual(after, before)

    async def test_daemon_sends_to_targets_again_once_the_cut_is_over(
        self,
    ) -> None:
        """Guards against peers that carry requests for good."""
        self.pools[0].heal()
        monitor = self.services[0].fleet_sync.path_monitor
        await self.wait_for(
            lambda: (
                not monitor.is_cut_off("plain")
                and not monitor.is_cut_off("models")
            ),
            2.0,
        )
        with self.assertLogs("mothpass.requests", "INFO") as logs:
            self.check_served(await self.send_mixed(0, 6))
        events = {record.getMessage() for record in logs.records}
        self.assertNotIn("forwarded", events)


class OtherCutsTest(_CutTest):
    """Cuts of all daemons, of some targets, and cuts that come and go."""

    async def test_request_that_no_daemon_can_serve_is_rejected_at_once(
        self,
    ) -> None:
        """Guards against requests that wait for a path that nobody has."""
        for number in range(self.daemons):
            self.cut_daemon(number, fleet.Cut.SILENT)
        monitors = [item.fleet_sync.path_monitor for item in self.services]
        for number in range(self.daemons):
            await self.send_request("GET", "/read/1", daemon=number)
        await self.wait_for(
            lambda: all(item.has_tried_all("plain") for item in monitors)
        )
        await asyncio.sleep(0.3)
        loop = asyncio.get_running_loop()
        for number in range(self.daemons):
            begun_at = loop.time()
            answer = await self.send_request("GET", "/read/1", daemon=number)
            self.assertEqual(answer.status, 503)
            self.assertLess(loop.time() - begun_at, 0.2)
            self.assertGreater(float(answer.headers["retry-after"]), 0)

    async def test_daemon_that_is_cut_off_from_some_targets_uses_the_others(
        self,
    ) -> None:
        """Guards against a path that is given up for one target."""
        self.pools[0].cut([self.plain[0].address], fleet.Cut.SILENT)
        answers = [await self.send_request("GET", "/read/1") for _ in range(20)]
        served = [item for item in answers if item.status == 200]
        self.assertEqual(len(served), len(answers))
        monitor = self.services[0].fleet_sync.path_monitor
        self.assertFalse(monitor.is_cut_off("plain"))

    async def test_cuts_in_series_leave_first_tries_served(self) -> None:
        """Guards against a daemon that a short cut leaves without a way."""
        answers = []
        for how in (fleet.Cut.SILENT, fleet.Cut.RESET, fleet.Cut.REFUSED):
            self.cut_daemon(0, how)
            answers += await self.send_mixed(0, 6)
            self.pools[0].heal()
            answers += await self.send_mixed(0, 6)
        self.check_served(answers)


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
