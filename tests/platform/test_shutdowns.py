"""Tests of what a daemon's shutdown does to the requests of its clients."""

import asyncio
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


if __name__ == "__main__":
    unittest.main()
