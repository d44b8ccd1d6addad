"""Tests of flapping targets, frequent changes and moving clients."""

import asyncio

from tests.platform import fleet
from tests.platform import target_standin
from tests.platform import wire


class FlappingTest(fleet.FleetTest):
    """Targets that go down and up repeatedly, or fail every request."""

    async def flap(self, target: target_standin.Target) -> None:
        """Takes a target down and up repeatedly, at the same address."""
        host, _, port = target.address.rpartition(":")
        while True:
            await asyncio.sleep(0.3)
            target.close()
            await asyncio.sleep(0.3)
            await target.open(host, int(port))

    async def test_reads_are_served_beside_a_target_that_flaps(self) -> None:
        flapping = asyncio.ensure_future(self.flap(self.plain[0]))
        self.addCleanup(flapping.cancel)
        statuses = []
        for number in range(150):
            answer = await self.send_request("GET", f"/read/{number}")
            statuses.append(answer.status)
            await asyncio.sleep(0.02)
        self.assertEqual(set(statuses), {200})

    async def test_same_request_twice_at_a_target_that_resets_both(
        self,
    ) -> None:
        """Guards against an internal error for the second of two callers.

        The first to end took the entry of both from the in-flight table.
        """

        async def reset_in_turn(
            target: target_standin.Target,
            request: wire.Request,
            writer: asyncio.StreamWriter,
        ) -> None:
            target.runs.append(request.headers["attempt-id"])
            await asyncio.sleep(0.1 * len(target.runs))
            writer.transport.abort()

        for target in self.plain:
            target.answer = reset_in_turn
        answers = await asyncio.gather(
            *(self.send_request("POST", "/pay/1", body=b"x") for _ in range(6))
        )
        self.assertEqual({item.status for item in answers}, {502})

    async def test_target_that_fails_all_requests_gets_few(self) -> None:
        self.plain[0].answer = target_standin.fail(500)
        for number in range(60):
            answer = await self.send_request("GET", f"/read/{number}")
            self.assertEqual(answer.status, 200)
            await asyncio.sleep(0.01)
        self.assertLess(len(self.plain[0].runs), 20)


class ManyChangesTest(fleet.FleetTest):
    """Frequent changes of the document, and large documents."""

    daemons = 2

    async def test_frequent_changes_fail_no_request(self) -> None:
        async def change() -> None:
            for version in range(2, 42):
                self.store.put(
                    "op", "config", fleet.make_document(version=version)
                )
                await asyncio.sleep(0.02)

        changing = asyncio.ensure_future(change())
        for number in range(60):
            answer = await self.send_request(
                "GET", f"/read/{number}", daemon=number % 2
            )
            self.assertEqual(answer.status, 200)
        await changing
        await self.wait_for_version(41)

    async def test_routes_of_a_large_document_are_served(self) -> None:
        document = fleet.make_document(version=2)
        routes = document["routes"]
        assert isinstance(routes, list)
        routes += [
            fleet.make_route(f"more{number}", "idempotent")
            for number in range(800)
        ]
        self.store.put("op", "config", document)
        await self.wait_for_version(2)
        for number in (0, 799):
            answer = await self.send_request(
                "GET", f"/more{number}/1", daemon=1
            )
            self.assertEqual(answer.status, 200)


class MovingClientsTest(fleet.FleetTest):
    """Clients that resume a stream through another daemon."""

    daemons = 2

    async def test_stream_is_resumed_through_another_daemon(self) -> None:
        for target in self.models:
            target.answer = target_standin.stream(4, pause_s=0.1)
        client = await wire.Client.connect(self.addresses[0])
        client.send("POST", "/chat/1", self.make_chat_headers(), b"x")
        await client.read_head()
        first = await client.read_event()
        client.close()
        headers = self.make_chat_headers(Last_Event_Id="0")
        rest = await self.send_request("POST", "/chat/1", headers, b"x", 1)
        self.assertEqual(first, target_standin.make_event(0))
        self.assertTrue(rest.is_whole)
        self.assertEqual(
            rest.body,
            b"".join(target_standin.make_event(item) for item in (1, 2, 3)),
        )
        # The first run ends, as its client has disconnected.
        await self.wait_for(
            lambda: sum(len(item.cancelled_runs) for item in self.models) == 1,
            0.5,
        )
