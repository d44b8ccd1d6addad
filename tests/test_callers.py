"""Tests for mothpass.daemon.callers with a real listener."""

import asyncio
import logging
import time
import unittest
from unittest import mock

import msgspec

from mothpass.adapters import http_disconnects
from mothpass.adapters import http_listener
from mothpass.core import errors
from mothpass.core import results
from mothpass.daemon import answers
from mothpass.daemon import callers
from mothpass.daemon import client_messages
from mothpass.daemon import telemetry
from tests import daemon_parts

_BODY_LIMIT_BYTES = 2048
_HEADER_LIMIT_BYTES = 1024
_HELD_LIMIT_BYTES = 1 << 20
_MAX_CONNECTIONS = 4
_CHAT = b'{"model":"advice","messages":[{"role":"user","content":"hi"}]'


class CallersTest(unittest.IsolatedAsyncioTestCase):
    """Base with a listener on a free port."""

    async def asyncSetUp(self) -> None:
        self.daemon = daemon_parts.Daemon()
        self.scripted = self.daemon.scripted
        self.state = callers.ServingState()
        self.state.catalogue_index = self.daemon.catalogue_index
        self.state.ready = True
        logger = logging.getLogger("test")
        logger.disabled = True
        self.telemetry = telemetry.Telemetry(client=None, logger=logger)
        client_interface = callers.ClientInterface(
            state=self.state,
            dispatcher=self.daemon.dispatcher,
            telemetry=self.telemetry,
            body_limit_bytes=_BODY_LIMIT_BYTES,
            clock=time.monotonic,
        )
        application = client_interface.build_application()
        await application.start()  # type: ignore[no-untyped-call]
        self.listener = await http_listener.open_listener(
            http_disconnects.cancel_on_disconnect(application),
            "127.0.0.1:0",
            http_listener.ListenerLimits(
                header_limit_bytes=_HEADER_LIMIT_BYTES,
                max_connections=_MAX_CONNECTIONS,
                held_limit_bytes=_HELD_LIMIT_BYTES,
                encode_refusal=answers.encode_refusal_without_id,
            ),
        )

    async def asyncTearDown(self) -> None:
        self.listener.stop_accepting()
        self.listener.abort()
        await self.listener.drain(asyncio.get_running_loop().time() + 5)
        self.assertEqual(self.daemon.count_in_flight(), 0)

    async def _send(
        self, data: bytes, *, half_close: bool = False
    ) -> tuple[bytes, bytes]:
        """Sends bytes; returns the head and the body of the response."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.listener.port
        )
        writer.write(data)
        if half_close:
            writer.write_eof()
        answer = await reader.read()
        writer.close()
        head, _, body = answer.partition(b"\r\n\r\n")
        return head, body

    async def _post(
        self,
        body: bytes,
        *,
        path: str = "/v1/chat/completions",
        key: str = daemon_parts.TEAM_KEY,
        headers: str = "",
        connection: str = "close",
    ) -> tuple[bytes, bytes]:
        request = (
            f"POST {path} HTTP/1.1\r\nHost: x\r\n"
            f"Connection: {connection}\r\n"
            f"Authorization: Bearer {key}\r\n{headers}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return await self._send(request.encode() + body)

    def _check_error(
        self, answer: tuple[bytes, bytes], code: results.Code, ran: str = "no"
    ) -> dict[str, object]:
        head, body = answer
        error: dict[str, object] = msgspec.json.decode(body)["error"]
        status = results.get_http_status(code)
        self.assertTrue(head.startswith(b"HTTP/1.1 %d " % status), head)
        self.assertEqual(error["code"], int(code))
        self.assertEqual(error["name"], code.name)
        self.assertEqual(error["ran"], ran)
        return error


class ErrorTest(CallersTest):
    """Checks each error response."""

    async def test_wrong_api_key(self) -> None:
        answer = await self._post(_CHAT + b"}", key="wrong")
        self._check_error(answer, results.Code.UNAUTHENTICATED)

    async def test_model_without_access_for_the_team(self) -> None:
        answer = await self._post(_CHAT + b"}", key=daemon_parts.OTHER_TEAM_KEY)
        self._check_error(answer, results.Code.FORBIDDEN)

    async def test_refusals_that_a_newer_catalogue_may_lift_are_temporary(
        self,
    ) -> None:
        """Guards against 401, 403 and 404 by a catalogue known to be old."""
        self.state.is_catalogue_behind = lambda: True
        unknown_model = _CHAT.replace(b"advice", b"newest") + b"}"
        for body, key in (
            (_CHAT + b"}", "wrong"),
            (_CHAT + b"}", daemon_parts.OTHER_TEAM_KEY),
            (unknown_model, daemon_parts.TEAM_KEY),
        ):
            answer = await self._post(body, key=key)
            error = self._check_error(answer, results.Code.CATALOGUE_OUTDATED)
            self.assertIsNotNone(error["retry_after_ms"])

    async def test_body_that_is_not_json(self) -> None:
        answer = await self._post(b"{")
        self._check_error(answer, results.Code.BAD_REQUEST)

    async def test_body_without_messages(self) -> None:
        answer = await self._post(b'{"model":"advice","messages":[]}')
        self._check_error(answer, results.Code.BAD_REQUEST)

    async def test_deadline_that_is_not_a_number(self) -> None:
        answer = await self._post(
            _CHAT + b"}", headers="X-Deadline-Ms: soon\r\n"
        )
        self._check_error(answer, results.Code.BAD_REQUEST)

    async def test_unknown_model(self) -> None:
        body = _CHAT.replace(b"advice", b"nope") + b"}"
        self._check_error(await self._post(body), results.Code.UNKNOWN_MODEL)

    async def test_unknown_service(self) -> None:
        answer = await self._post(b"{}", path="/v1/services/nope")
        self._check_error(answer, results.Code.UNKNOWN_SERVICE)

    async def test_missing_idempotency_key(self) -> None:
        answer = await self._post(b"{}", path="/v1/services/payment")
        self._check_error(answer, results.Code.IDEMPOTENCY_KEY_MISSING)

    async def test_idempotency_key_that_is_too_long(self) -> None:
        answer = await self._post(
            b"{}",
            path="/v1/services/payment",
            headers=f"Idempotency-Key: {'k' * 129}\r\n",
        )
        self._check_error(answer, results.Code.BAD_REQUEST, ran="unknown")

    async def test_unknown_path(self) -> None:
        answer = await self._post(b"{}", path="/v2/else")
        self._check_error(answer, results.Code.NOT_FOUND)

    async def test_declared_body_above_the_limit(self) -> None:
        answer = await self._post(b"x" * (_BODY_LIMIT_BYTES + 1))
        self._check_error(answer, results.Code.BODY_TOO_LARGE)

    async def test_chunked_body_above_the_limit(self) -> None:
        chunk = b"%x\r\n%b\r\n" % (_BODY_LIMIT_BYTES, b"x" * _BODY_LIMIT_BYTES)
        answer = await self._send(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            b"Connection: close\r\nTransfer-Encoding: chunked\r\n"
            b"Authorization: Bearer "
            + daemon_parts.TEAM_KEY.encode()
            + b"\r\n\r\n"
            + chunk
            + chunk
            + b"0\r\n\r\n"
        )
        self._check_error(answer, results.Code.BODY_TOO_LARGE)

    async def test_headers_above_the_limit(self) -> None:
        answer = await self._post(
            b"{}", headers=f"X-Large: {'x' * _HEADER_LIMIT_BYTES}\r\n"
        )
        self._check_error(answer, results.Code.HEADERS_TOO_LARGE, ran="unknown")

    async def test_headers_without_an_end(self) -> None:
        answer = await self._send(
            b"GET /healthz HTTP/1.1\r\nX-Large: "
            + b"x" * 2 * _HEADER_LIMIT_BYTES
        )
        self._check_error(answer, results.Code.HEADERS_TOO_LARGE, ran="unknown")

    async def test_incomplete_body_of_each_framing(self) -> None:
        for framing in (
            b"Content-Length: 100\r\n\r\n{}",
            b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
        ):
            answer = await self._send(
                b"POST /v1/services/log HTTP/1.1\r\nHost: x\r\n"
                b"Authorization: Bearer "
                + daemon_parts.TEAM_KEY.encode()
                + b"\r\n"
                + framing,
                half_close=True,
            )
            self._check_error(answer, results.Code.BODY_INCOMPLETE)

    async def test_body_that_times_out(self) -> None:
        patch = mock.patch.object(client_messages, "BODY_TIMEOUT_MS", 30)
        patch.start()
        self.addCleanup(patch.stop)
        async with asyncio.timeout(5):
            answer = await self._send(
                b"POST /v1/services/log HTTP/1.1\r\nHost: x\r\n"
                b"Authorization: Bearer "
                + daemon_parts.TEAM_KEY.encode()
                + b"\r\nContent-Length: 100\r\n\r\n{}"
            )
        self._check_error(answer, results.Code.BODY_INCOMPLETE)

    async def test_endless_body_of_a_rejected_request(self) -> None:
        patch = mock.patch.object(http_listener, "DISCARD_LIMIT_BYTES", 4096)
        patch.start()
        self.addCleanup(patch.stop)
        _, writer = await asyncio.open_connection(
            "127.0.0.1", self.listener.port
        )
        writer.write(
            b"POST /v1/services/log HTTP/1.1\r\nHost: x\r\n"
            b"Content-Length: 999999999\r\n\r\n"
        )
        with self.assertRaises(ConnectionError):
            async with asyncio.timeout(5):
                while True:
                    writer.write(b"x" * 1024)
                    await writer.drain()
                    await asyncio.sleep(0)

    async def test_too_many_connections_with_requests(self) -> None:
        self.scripted.streams = [[] for _ in range(_MAX_CONNECTIONS)]
        body = _CHAT + b"}"
        request = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer {daemon_parts.TEAM_KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        open_connections = await self._open_connections(request)
        await self._wait_in_flight(_MAX_CONNECTIONS)
        answer = await self._send(b"")
        error = self._check_error(
            answer, results.Code.OVERLOADED, ran="unknown"
        )
        self.assertEqual(error["retry_after_ms"], 1000)
        self.assertIn(b"retry-after: 1", answer[0])
        self.assertEqual(self.daemon.count_in_flight(), _MAX_CONNECTIONS)
        for _, writer in open_connections:
            writer.close()
        await self._wait_in_flight(0)

    async def test_connection_without_whole_request_gives_way(self) -> None:
        """Guards against refusals while connections have nothing to do."""
        unfinished = b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nx"
        for sent in (b"", b"POST", unfinished):
            with self.subTest(sent):
                open_connections = await self._open_connections(sent)
                head, _ = await self._send(
                    b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n"
                )
                self.assertTrue(head.startswith(b"HTTP/1.1 200 "), head)
                for _, writer in open_connections:
                    writer.close()

    async def _wait_in_flight(self, count: int) -> None:
        """Waits until a number of requests is in flight."""
        for _ in range(1000):
            if self.daemon.count_in_flight() == count:
                return
            await asyncio.sleep(0.01)
        self.fail(f"{self.daemon.count_in_flight()} in flight, not {count}")

    async def _open_connections(
        self, sent: bytes
    ) -> list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
        """Opens as many connections as are allowed and sends on each."""
        opened = []
        for _ in range(_MAX_CONNECTIONS):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.listener.port
            )
            writer.write(sent)
            await writer.drain()
            opened.append((reader, writer))
        return opened

    async def test_no_catalogue(self) -> None:
        self.state.catalogue_index = None
        answer = await self._post(_CHAT + b"}")
        self._check_error(answer, results.Code.NO_CATALOGUE)
        self.assertIn(b"retry-after: 1", answer[0].lower())

    async def test_shutdown(self) -> None:
        self.state.accepting = False
        answer = await self._post(_CHAT + b"}")
        self._check_error(answer, results.Code.SHUTTING_DOWN)

    async def test_rejection_with_an_idempotency_key_reports_unknown(
        self,
    ) -> None:
        self.state.accepting = False
        answer = await self._post(
            b"{}",
            path="/v1/services/payment",
            headers="Idempotency-Key: k\r\n",
        )
        self._check_error(answer, results.Code.SHUTTING_DOWN, ran="unknown")

    async def test_internal_error(self) -> None:
        self.scripted.streams = [[RuntimeError("bug")]]
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        answer = await self._post(_CHAT + b"}")
        self._check_error(answer, results.Code.INTERNAL, ran="unknown")


class AnswerTest(CallersTest):
    """Checks successful responses."""

    async def test_readiness_follows_the_state(self) -> None:
        request = (
            b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        )
        head, _ = await self._send(request)
        self.assertIn(b" 200 ", head)
        self.state.ready = False
        head, _ = await self._send(request)
        self.assertIn(b" 503 ", head)

    async def test_merges_events_into_a_whole_answer(self) -> None:
        self.scripted.streams = [
            [daemon_parts.make_batch(0), daemon_parts.make_batch(1, last=1)]
        ]
        head, body = await self._post(
            _CHAT + b"}", headers="X-Request-Id: mine\r\n"
        )
        choice = msgspec.json.decode(body)["choices"][0]
        self.assertEqual(choice["message"]["content"], "0 1 ")
        self.assertEqual(choice["finish_reason"], "stop")
        self.assertIn(b"x-request-id: mine", head.lower())

    async def test_streams_events_and_the_end_marker(self) -> None:
        self.scripted.streams = [
            [daemon_parts.make_batch(0), daemon_parts.make_batch(1, last=1)]
        ]
        head, body = await self._post(_CHAT + b',"stream":true}')
        self.assertIn(b"text/event-stream", head)
        self.assertEqual(body.count(b"id: "), 2)
        self.assertIn(b"data: [DONE]\n\n", body)

    async def test_failed_stream_ends_in_an_error_event(self) -> None:
        lost = errors.TargetAnswerLostError("cut")
        self.scripted.streams = [[daemon_parts.make_batch(0), lost]]
        _, body = await self._post(_CHAT + b',"stream":true}')
        self.assertIn(b"event: error\n", body)
        self.assertIn(b'"name":"ANSWER_INCOMPLETE"', body)
        self.assertNotIn(b"[DONE]", body)

    async def test_stream_that_fails_before_its_first_event_has_an_error_status(
        self,
    ) -> None:
        unreachable = errors.TargetUnreachableError("refused")
        self.scripted.streams = [[unreachable], [unreachable]]
        answer = await self._post(_CHAT + b',"stream":true}')
        self._check_error(answer, results.Code.NO_TARGET)

    async def test_client_disconnect_cancels_the_stream(self) -> None:
        self.scripted.streams = [[daemon_parts.make_batch(0)]]
        body = _CHAT + b',"stream":true}'
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.listener.port
        )
        writer.write(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            b"Authorization: Bearer %b\r\nContent-Length: %d\r\n\r\n%b"
            % (daemon_parts.TEAM_KEY.encode(), len(body), body)
        )
        await reader.readuntil(b"id: 0")
        writer.close()
        async with asyncio.timeout(5):
            await self.scripted.wait_for_cancel()
        self.assertEqual(self.daemon.count_in_flight(), 0)

    async def test_counts_requests_by_team_and_class(self) -> None:
        self.scripted.streams = [[daemon_parts.make_batch(0, last=0)]]
        await self._post(_CHAT + b"}")
        for traffic in (
            self.telemetry.list_teams(),
            self.telemetry.list_classes(),
        ):
            self.assertEqual([x.complete for x in traffic], [1])
            self.assertEqual(traffic[0].first_token.count, 1)
            self.assertEqual(traffic[0].in_flight, 0)


class SlowClientTest(CallersTest):
    """Checks that slow clients can't hold connections open."""

    async def asyncSetUp(self) -> None:
        patch = mock.patch.object(http_listener, "HEADER_TIMEOUT_MS", 30)
        patch.start()
        self.addCleanup(patch.stop)
        await super().asyncSetUp()

    async def test_header_timeout_closes_the_connection(
        self,
    ) -> None:
        for data in (b"", b"GET /healthz HTT"):
            async with asyncio.timeout(5):
                self.assertEqual(await self._send(data), (b"", b""))

    async def test_header_timeout_of_a_later_request_closes_the_connection(
        self,
    ) -> None:
        data = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\nGET /hea"
        async with asyncio.timeout(5):
            head, _ = await self._send(data)
        self.assertEqual(head.count(b"HTTP/1.1 200"), 1)


class DrainTest(CallersTest):
    """Checks the listener during a graceful shutdown."""

    async def test_responses_close_the_connection_during_shutdown(self) -> None:
        self.state.leaving = True
        self.scripted.streams = [[daemon_parts.make_batch(0, last=0)]]
        head, _ = await self._post(_CHAT + b"}", connection="keep-alive")
        self.assertIn(b"connection: close", head.lower())

    async def test_response_in_flight_is_sent_whole(self) -> None:
        self.scripted.streams = [
            [
                daemon_parts.make_batch(0),
                daemon_parts.make_batch(1),
                daemon_parts.make_batch(2, last=2),
            ]
        ]
        self.scripted.pause_s = 0.02
        posting = asyncio.ensure_future(self._post(_CHAT + b"}"))
        await self.scripted.wait_for_open()
        self.listener.stop_accepting()
        deadline = asyncio.get_running_loop().time() + 5
        self.assertEqual(await self.listener.drain(deadline), 0)
        _, body = await posting
        self.assertIn(b"0 1 2 ", body)


if __name__ == "__main__":
    unittest.main()
