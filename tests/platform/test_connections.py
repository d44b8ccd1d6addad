"""Tests of silent or reset connections and of early answers."""

import asyncio
import contextlib
import gc

from mothpass.ports import relay
from tests.platform import fleet
from tests.platform import target_standin
from tests.platform import wire


class ReusedConnectionsTest(fleet.FleetTest):
    """Requests over reused connections to targets."""

    async def use_connections(self) -> None:
        """Makes requests so that connections to all targets are pooled."""
        for number in range(6):
            await self.send_request("GET", f"/read/{number}")

    async def test_read_on_a_reset_connection_is_retried(self) -> None:
        await self.use_connections()
        for target in self.plain:
            target.on_reused_connection = target_standin.reset
        answer = await self.send_request("GET", "/read/1")
        self.assertEqual((answer.status, answer.body), (200, b"done"))

    async def test_read_on_a_silent_connection_is_retried(self) -> None:
        await self.use_connections()
        for target in self.plain:
            target.on_reused_connection = target_standin.stay_silent
        loop = asyncio.get_running_loop()
        start = loop.time()
        answer = await self.send_request("GET", "/read/1")
        self.assertEqual((answer.status, answer.body), (200, b"done"))
        self.assertLess(loop.time() - start, 1.5)

    async def test_payment_uses_no_reused_connection(self) -> None:
        await self.use_connections()
        for target in self.plain:
            target.on_reused_connection = target_standin.reset
        for _ in range(4):
            answer = await self.send_request("POST", "/pay/1", body=b"x")
            self.assertEqual(answer.status, 200)
        runs = [run for target in self.plain for run in target.runs]
        self.assertEqual(len(runs), len(set(runs)))


class RepeatedRefusalsTest(fleet.FleetTest):
    """Targets that write an earlier refusal once more, then run the request."""

    async def find_false_refusals(
        self, status: int, **fields: str
    ) -> list[str]:
        """Returns the requests that were refused though a target ran them."""
        for target in self.plain:
            target.answer = _make_repeating(
                status,
                {name.replace("_", "-"): fields[name] for name in fields},
            )
        refused = []
        for number in range(60):
            headers = self.make_headers()
            answer = await self.send_request(
                "GET", f"/read/{number}", headers=headers
            )
            if answer.status in (408, 421, 429, 503):
                refused.append(headers["Attempt-Id"])
        runs = {run for target in self.plain for run in target.runs}
        self.assertGreater(len(runs), 20)
        return [item for item in refused if item in runs]

    async def test_refusal_written_again_refuses_no_other_request(self) -> None:
        """Guards against callers told 'not run' for what a target runs."""
        for status in (503, 429):
            with self.subTest(status=status):
                false = await self.find_false_refusals(status, Not_Run="1")
                self.assertEqual(false, [])


def _make_repeating(
    status: int, headers: dict[str, str]
) -> target_standin.Script:
    """Returns a script that refuses each third request of a connection.

    When the next request of that connection arrives, it writes the refusal
    again before it runs the request.
    """
    counts: dict[asyncio.StreamWriter, int] = {}

    async def run(
        target: target_standin.Target,
        request: wire.Request,
        writer: asyncio.StreamWriter,
    ) -> None:
        counts[writer] = counts.get(writer, 0) + 1
        if counts[writer] % 3 == 0:
            wire.write_answer(writer, status, headers, b"")
            return
        if counts[writer] % 3 == 1 and counts[writer] > 1:
            wire.write_answer(writer, status, headers, b"")
        await target_standin.answer_normally(target, request, writer)

    return run


class EarlyAnswersTest(fleet.FleetTest):
    """A target that answers before it has read a long body.

    The unread rest of the body must not be parsed as a request.
    """

    async def test_rest_of_the_body_is_not_parsed_as_a_request(self) -> None:
        seen: list[bytes] = []

        async def read_head(reader: asyncio.StreamReader) -> bytes:
            with contextlib.suppress(
                asyncio.IncompleteReadError, asyncio.CancelledError
            ):
                return await reader.readuntil(b"\r\n\r\n")
            return b""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while head := await read_head(reader):
                if b"/pay/" in head:
                    answer = b"HTTP/1.1 413 X\r\nContent-Length: 0\r\n\r\n"
                    writer.write(answer)
                    await asyncio.sleep(0.05)
                    seen.append(await reader.readexactly(9000))
                    continue
                seen.append(head.split(b" ", 2)[1])
                request_id = head.lower().split(b"attempt-id: ")[1][:16]
                writer.write(
                    b"HTTP/1.1 200 X\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n"
                    b"Content-Length: 2\r\n\r\nok" % request_id
                )
            writer.close()

        for target in self.plain:
            self.store.remove("servers", target.id)
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        entry = self.plain[0].encode_entry("plain", addr=f"127.0.0.1:{port}")
        self.store.put("servers", "i-early", entry)
        targets = self.services[0].state.targets.targets
        await self.wait_for(lambda: "i-early" in targets, 8.0)
        await self.wait_for(
            lambda: not any(item.id in targets for item in self.plain), 8.0
        )
        body = b"GET /read/smuggled HTTP/1.1\r\n\r\n".ljust(9000, b"x")
        await self.send_request("POST", "/pay/1", body=body)
        await self.send_request("GET", "/read/after")
        self.assertEqual(seen, [body, b"/read/after"])


class BytesDuringAnswersTest(fleet.FleetTest):
    """Bytes that clients send while an answer is being written.

    The document gives a head 0.5 s to arrive.
    """

    async def start_stream(self, events: int = 10) -> wire.Client:
        """Returns the connection of a client that gets an event per 0.1 s."""
        for target in self.models:
            target.answer = target_standin.stream(events, pause_s=0.1)
        client = await wire.Client.connect(self.addresses[0])
        self.addCleanup(client.close)
        client.send("POST", "/chat/1", self.make_chat_headers(), b"hi")
        await client.read_head()
        return client

    async def read_events(self, client: wire.Client) -> int:
        """Reads a stream; returns its number of events, -1 if it is cut."""
        events = 0
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while await client.read_event():
                events += 1
            return events
        return -1

    async def test_empty_line_after_a_request_does_not_cut_its_stream(
        self,
    ) -> None:
        """Guards against the header timeout in the middle of an answer."""
        client = await self.start_stream()
        client.write(b"\r\n")
        self.assertEqual(await self.read_events(client), 10)
        client.send("GET", "/read/1", self.make_headers())
        answer = await client.read()
        self.assertEqual((answer.status, answer.is_whole), (200, True))

    async def test_part_of_the_next_head_does_not_cut_a_stream(self) -> None:
        """Guards against the header timeout in the middle of an answer."""
        client = await self.start_stream()
        client.write(b"GET /read/1 HTTP/1.1\r\nHo")
        self.assertEqual(await self.read_events(client), 10)
        self.assertFalse(await client.is_closed(timeout_s=0.2))
        self.assertTrue(await client.is_closed(timeout_s=1.5))

    async def test_part_of_a_head_behind_a_queued_request_times_out(
        self,
    ) -> None:
        """Guards against connections without a timeout."""
        client = await self.start_stream(events=3)
        client.send("GET", "/read/1", self.make_headers())
        await asyncio.sleep(0.1)
        client.write(b"GET /read/2 HTTP/1.1\r\nHo")
        self.assertEqual(await self.read_events(client), 3)
        answer = await client.read()
        self.assertEqual((answer.status, answer.is_whole), (200, True))
        self.assertTrue(await client.is_closed(timeout_s=1.5))


class AbandonedRequestsTest(fleet.FleetTest):
    """Requests whose clients leave before the answer."""

    async def test_request_of_a_client_that_has_left_is_freed(self) -> None:
        """Guards against bodies that are held until a garbage collection."""
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        for target in self.plain:
            target.answer = target_standin.hang
        client = await wire.Client.connect(self.addresses[0])
        headers = self.make_headers()
        client.send("POST", "/pay/1", headers, b"x" * 9000)
        await self.wait_for(lambda: any(item.runs for item in self.plain))
        self.assertTrue(_is_held(headers["Attempt-Id"]))
        client.close()
        await self.wait_for(lambda: not _is_held(headers["Attempt-Id"]))


def _is_held(request_id: str) -> bool:
    return any(
        isinstance(item, relay.Request) and item.id == request_id
        for item in gc.get_objects()
    )
