"""Tests of what targets say of themselves, and of targets that fall silent."""

import asyncio
import socket

from tests.platform import fleet
from tests.platform import target_standin
from tests.platform import wire

_BRITTLE = {"Server-Brittle": "2"}
_SILENCE_S = 1.1


class FragileTargetsTest(fleet.FleetTest):
    """Targets that fall over when they turn too many requests away."""

    daemons = 2

    async def test_fragile_targets_get_no_requests_to_queue(self) -> None:
        """Guards against requests that a shrunken queue turns away."""
        most = 0

        async def run(
            target: target_standin.Target,
            request: wire.Request,
            writer: asyncio.StreamWriter,
        ) -> None:
            nonlocal most
            running[target.id] = running.get(target.id, 0) + 1
            most = max(most, running[target.id])
            await asyncio.sleep(0.2)
            running[target.id] -= 1
            await target_standin.answer_normally(target, request, writer)

        running: dict[str, int] = {}
        for target in self.plain:
            target.extra_headers = _BRITTLE
            target.answer = run
        for daemon in range(2):
            await self.send_request("GET", "/read/1", daemon=daemon)
        answers = await asyncio.gather(
            *(
                self.send_request("GET", "/read/1", daemon=number % 2)
                for number in range(60)
            )
        )
        # The stand-ins register with eight slots.
        self.assertLessEqual(most, 8)
        self.assertLessEqual({item.status for item in answers}, {200, 503})
        self.assertTrue(any(item.status == 200 for item in answers))

    async def test_target_that_turned_a_request_away_is_left_alone(
        self,
    ) -> None:
        """Guards against rejections until the target falls over."""
        for target in self.plain:
            target.extra_headers = _BRITTLE
        await self.send_request("GET", "/read/1")
        self.plain[0].answer = target_standin.reject(503, {"Not-Run": "1"})
        self.plain[0].requests.clear()
        for _ in range(30):
            answer = await self.send_request("GET", "/read/1")
            self.assertEqual(answer.status, 200)
        self.assertLessEqual(len(self.plain[0].requests), 2)


class SilentTargetTest(fleet.FleetTest):
    """Sound targets that are silent for a second and go on."""

    async def test_stream_goes_on_after_a_second_of_silence(self) -> None:
        """Guards against streams that are broken off for a short silence."""
        for target in self.models:
            target.answer = target_standin.stream(2, pause_s=_SILENCE_S)
        answer = await self.send_request(
            "POST", "/chat/1", self.make_chat_headers(Deadline_Ms="9000"), b"x"
        )
        self.assertTrue(answer.is_whole)
        self.assertEqual(sum(len(item.runs) for item in self.models), 1)

    async def test_unrepeatable_request_is_answered_after_a_second(
        self,
    ) -> None:
        """Guards against an unknown outcome for a short silence."""
        for target in self.plain:
            target.answer = _answer_late
        answer = await self.send_request("POST", "/pay/1", body=b"x")
        self.assertEqual(answer.status, 200)

    async def test_connections_set_no_timeout_of_the_system(self) -> None:
        """Guards against a system timeout that ends silent connections."""
        connection = await self.pools[0].acquire(
            self.plain[0].address, fresh=True
        )
        transport = connection._transport
        assert transport is not None
        opened = transport.get_extra_info("socket")
        timeout_ms = opened.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        )
        keeps_alive = opened.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        connection.close()
        self.assertEqual((timeout_ms, keeps_alive), (0, 0))


async def _answer_late(
    target: target_standin.Target,
    request: wire.Request,
    writer: asyncio.StreamWriter,
) -> None:
    await asyncio.sleep(_SILENCE_S)
    await target_standin.answer_normally(target, request, writer)
