"""Tests of what a daemon's shutdown does to the requests of its clients."""

import asyncio
from collections import abc
import unittest
from unittest import mock

import msgspec

from mothpass.core import results
from mothpass.relay import service as service_module
from tests.platform import fleet
from tests.platform import target_standin
from tests.platform import wire


class ShutdownTest(fleet.FleetTest):
    """Requests on connections that are open when a daemon is stopped."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        patch = mock.patch.object(service_module, "BALANCER_DRAIN_S", 0.2)
        patch.start()
        self.addCleanup(patch.stop)

    def stop(self, grace_s: float = 4.0) -> asyncio.Future[None]:
        """Stops the daemon, which has this time until it is killed."""
        [service] = self.services
        service.settings = msgspec.structs.replace(
            service.settings, grace_s=grace_s
        )
        return asyncio.ensure_future(service.stop())

    async def start_chat(self) -> wire.Client:
        """Returns the connection of a client that gets a stream."""
        for target in self.models:
            target.answer = target_standin.stream(8, pause_s=0.1)
        client = await wire.Client.connect(self.addresses[0])
        client.send("POST", "/chat/1", self.make_chat_headers(), b"hi")
        await client.read_head()
        return client

    async def test_connection_closes_after_a_stream_from_before_the_stop(
        self,
    ) -> None:
        """Guards against requests on kept connections that are cut later."""
        client = await self.start_chat()
        stopping = self.stop()
        while await client.read_event():
            pass
        # At once, so that the client sends nothing more over it.
        self.assertTrue(await client.is_closed(timeout_s=0.05))
        await stopping

    async def test_request_read_during_a_stream_is_answered(self) -> None:
        """Guards against whole requests that end without an answer."""
        client = await self.start_chat()
        stopping = self.stop()
        client.send("GET", "/read/1", self.make_headers())
        while await client.read_event():
            pass
        answer = await client.read()
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers["connection"], "close")
        self.assertTrue(await client.is_closed())
        await stopping

    async def test_request_read_before_an_answer_begins_is_answered(
        self,
    ) -> None:
        """Guards against whole requests that end without an answer."""
        for target in self.models:
            target.answer = target_standin.stream(2, first_s=0.6)
        client = await wire.Client.connect(self.addresses[0])
        self.addCleanup(client.close)
        client.send("POST", "/chat/1", self.make_chat_headers(), b"hi")
        client.send("GET", "/read/1", self.make_headers())
        await self.wait_for(lambda: any(item.runs for item in self.models))
        stopping = self.stop()
        first = await client.read()
        self.assertEqual((first.status, first.is_whole), (200, True))
        second = await client.read()
        self.assertEqual((second.status, second.is_whole), (200, True))
        self.assertEqual(second.headers["connection"], "close")
        self.assertTrue(await client.is_closed())
        await stopping

    async def test_long_request_after_the_handover_is_turned_away(self) -> None:
        """Guards against requests that are taken and cut at the end."""
        client = await wire.Client.connect(self.addresses[0])
        headers = self.make_chat_headers(Content_Length="2")
        client.send("POST", "/chat/1", headers)
        await asyncio.sleep(0.1)
        stopping = self.stop(grace_s=2.5)
        await asyncio.sleep(0.4)
        client.write(b"hi")
        answer = await client.read()
        self.assertEqual(answer.status, 503)
        self.assertIn(b'"code":%d' % results.Code.SHUTTING_DOWN, answer.body)
        self.assertEqual(answer.headers["connection"], "close")
        self.assertEqual([item.runs for item in self.models], [[], []])
        await stopping

    async def test_request_without_an_answer_gets_one_at_the_end(self) -> None:
        """Guards against connections that close without an answer."""
        for target in self.plain:
            target.answer = target_standin.hang
        paying = asyncio.ensure_future(self.send_request("POST", "/pay/1"))
        await self.wait_for(lambda: any(item.runs for item in self.plain))
        await self.stop(grace_s=1.2)
        answer = await paying
        self.assertEqual(answer.status, 504)
        self.assertIn(b'"ran":"unknown"', answer.body)

    async def test_request_without_a_slot_is_turned_away_at_the_end(
        self,
    ) -> None:
        """Guards against queued requests that are cut at the end."""
        for target in self.plain:
            target.answer = target_standin.hang
        calls = [
            asyncio.ensure_future(self.send_request("POST", "/pay/1"))
            for _ in range(60)
        ]
        await asyncio.sleep(0.3)
        await self.stop(grace_s=1.2)
        answers = [await call for call in calls]
        runs = sum(len(item.runs) for item in self.plain)
        statuses = [answer.status for answer in answers]
        self.assertEqual(statuses.count(504), runs)
        self.assertEqual(statuses.count(503), len(calls) - runs)
        self.assertGreater(len(calls), runs)


class LateRequestsTest(fleet.FleetTest):
    """Requests that come at any time of a shutdown's grace."""

    grace_s = 6.0

    async def asyncSetUp(self) -> None:
        """Gives the routes more time than the grace."""
        await super().asyncSetUp()
        document = fleet.make_document(2)
        routes = document["routes"]
        assert isinstance(routes, list)
        for route in routes:
            route["timeoutMs"] = 20_000
        self.store.put("op", "config", document)
        await self.wait_for_version(2)

    def set_answers(self, script: target_standin.Script) -> None:
        for target in (*self.plain, *self.models):
            target.answer = script

    async def open_client(self, path: str, headers: dict[str, str]) -> "_Send":
        """Returns a function that sends a request on a kept connection."""
        client = await wire.Client.connect(self.addresses[0])
        client.send("GET", "/open/1", self.make_headers())
        self.assertEqual((await client.read()).status, 200)

        async def send() -> wire.Answer:
            client.send("POST", path, headers, b"hi")
            return await client.read()

        return send

    async def begin_request(
        self, path: str, headers: dict[str, str]
    ) -> "_Send":
        """Returns a function that sends the body of a request begun before."""
        client = await wire.Client.connect(self.addresses[0])
        client.send("POST", path, headers | {"Content-Length": "2"})

        async def send() -> wire.Answer:
            client.write(b"hi")
            return await client.read()

        return send

    async def connect_late(self, path: str, headers: dict[str, str]) -> "_Send":
        """Returns a function that sends a request on a new connection."""

        async def send() -> wire.Answer:
            try:
                return await self.send_request("POST", path, headers, b"hi")
            except OSError:
                return wire.Answer()

        return send

    async def send_late(self, budget_ms: int) -> list[tuple[str, wire.Answer]]:
        """Sends requests each 0.5 s of a shutdown.

        Returns:
            Id and answer of each.
        """

        async def send(
            delay_s: float, request_id: str, send_now: _Send
        ) -> tuple[str, wire.Answer]:
            await asyncio.sleep(delay_s)
            return request_id, await send_now()

        planned = []
        for step in range(int(self.grace_s / 0.5)):
            for path in ("/pay/1", "/once/1"):
                for prepare in (
                    self.open_client,
                    self.begin_request,
                    self.connect_late,
                ):
                    # The budget of a request counts from its head.
                    ms = budget_ms
                    if prepare == self.begin_request:
                        ms += step * 500
                    headers = self.make_chat_headers(Deadline_Ms=str(ms))
                    if path == "/pay/1":
                        del headers["Prompt-Prefix"]
                    send_now = await prepare(path, headers)
                    planned.append(
                        (step * 0.5, headers["Attempt-Id"], send_now)
                    )
        [service] = self.services
        service.settings = msgspec.structs.replace(
            service.settings, grace_s=self.grace_s
        )
        stopping = asyncio.ensure_future(service.stop())
        answers = await asyncio.gather(*(send(*item) for item in planned))
        await stopping
        return answers

    def check_answers(self, answers: list[tuple[str, wire.Answer]]) -> None:
        """Checks that each request that ran, and only such, may be unclear."""
        runs = [
            run for target in (*self.plain, *self.models) for run in target.runs
        ]
        self.assertEqual(len(runs), len(set(runs)))
        for request_id, answer in answers:
            with self.subTest(request_id=request_id, status=answer.status):
                if request_id in runs:
                    self.assertIn(answer.status, (200, 502, 504))
                    self.assertTrue(answer.is_whole)
                else:
                    self.assertIn(answer.status, (0, 429, 503, 504))

    async def test_late_requests_that_run_get_their_answers(self) -> None:
        """Guards against requests that are passed on late, then cut."""
        for target in self.plain:
            target.answer = _answer_slowly
        for target in self.models:
            target.answer = target_standin.stream(4, pause_s=0.3)
        answers = await self.send_late(budget_ms=2000)
        self.check_answers(answers)
        statuses = [answer.status for _, answer in answers]
        self.assertGreater(statuses.count(200), len(answers) / 4)

    async def test_late_requests_that_hang_get_a_final_answer(self) -> None:
        """Guards against requests that end with their connection."""
        self.set_answers(_hang_if_posted)
        self.check_answers(await self.send_late(budget_ms=1500))

    async def test_late_requests_with_long_budgets_get_a_final_answer(
        self,
    ) -> None:
        """Guards against requests that outlast the grace."""
        self.set_answers(_hang_if_posted)
        self.check_answers(await self.send_late(budget_ms=20_000))


_Send = abc.Callable[[], abc.Awaitable[wire.Answer]]


async def _answer_slowly(
    target: target_standin.Target,
    request: wire.Request,
    writer: asyncio.StreamWriter,
) -> None:
    """Runs a posted request for 1.2 s; others at once."""
    target.runs.append(request.headers["attempt-id"])
    if request.method == "POST":
        await asyncio.sleep(1.2)
    headers = target_standin.make_headers(request)
    wire.write_answer(writer, 200, headers, b"done")


async def _hang_if_posted(
    target: target_standin.Target,
    request: wire.Request,
    writer: asyncio.StreamWriter,
) -> None:
    """Runs the request and never answers; others at once."""
    script = (
        target_standin.hang
        if request.method == "POST"
        else target_standin.answer_normally
    )
    await script(target, request, writer)


if __name__ == "__main__":
    unittest.main()
