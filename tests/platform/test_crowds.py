"""Tests of daemons beside crowds of clients that don't behave.

The bounds come from the machines of the sites: 300 MB of memory and 4,100
descriptors, at a ``maxBodyBytes`` of 4,194,304.
"""

import asyncio
import unittest

from mothpass.relay import peer_requests
from tests import crowds
from tests.platform import crowd as crowd_module
from tests.platform import daemon_process
from tests.platform import fleet
from tests.platform import target_standin
from tests.platform import wire

_HOST = "127.0.7.1"
_BASE_PORT = 20_860
_CLIENTS = f"{_HOST}:{_BASE_PORT}"
_HEALTH = f"{_HOST}:{_BASE_PORT + 1}"
_PEERS = f"{_HOST}:{_BASE_PORT + 2}"
_METRICS = f"{_HOST}:{_BASE_PORT + 3}"
_WAIT_S = 30.0

_MEMORY_BOUND_MB = 200.0
_DESCRIPTORS = 4_100
# For crowds that use up descriptors.
_FEW_DESCRIPTORS = 256
# Leaves some for targets, peers and the store.
_DESCRIPTOR_SHARE = 7 / 8

_MAX_BODY_BYTES = 4_194_304
_MAX_HEADER_BYTES = 16_384
_BODY = b"x" * _MAX_BODY_BYTES
_SHORT_BODY = _BODY[:-1]
_CHUNK_BYTES = 65_536
_LARGE_CHUNK = b"%x\r\n%s\r\n" % (_CHUNK_BYTES, b"x" * _CHUNK_BYTES)
# Just short of the limit, and without an end.
_LARGE_CHUNKS = _LARGE_CHUNK * (_MAX_BODY_BYTES // _CHUNK_BYTES - 1)
_SMALL_CHUNKS = b"2\r\nxx\r\n" * (_MAX_BODY_BYTES // 2 - 1)
_LAST_CHUNK = b"0\r\n\r\n"
_TINY_REQUEST = b"GET / HTTP/1.1\r\n\r\n"
_TINY_REQUEST_WITH_LINES = b"GET / HTTP/1.1\r\n" + b"aa:bb\r\n" * 6 + b"\r\n"
_MEGABYTE = b"x" * 1_048_576


class CrowdTest(fleet.FleetTest):
    """Base class: a daemon as a process of its own and a crowd.

    Attributes:
        address: Address to which the crowd connects.
        path: Path of the crowd's requests.
        descriptors: Limit on open descriptors of the daemon.
    """

    daemons = 0
    address = _CLIENTS
    path = "/read/1"
    descriptors = _DESCRIPTORS

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.stuck = [await self.add_target("stuck") for _ in range(2)]
        for target in self.stuck:
            target.answer = target_standin.hang
        self.store.put("op", "config", _make_document())

    async def start_process(self) -> None:
        """Starts the daemon and waits until it is ready."""
        self.process = await daemon_process.start(
            self,
            host=_HOST,
            base_port=_BASE_PORT,
            timeout_s=_WAIT_S,
            log=asyncio.subprocess.DEVNULL,
            max_descriptors=self.descriptors,
        )

    async def check_crowd(
        self,
        messages: list[crowd_module.Message],
        receive_buffer_bytes: int | None = None,
    ) -> None:
        """Checks the bounds and an ordinary request beside a crowd."""
        await self.start_process()
        crowd = crowd_module.Crowd(address=self.address)
        self.addAsyncCleanup(crowd.close)
        crowd.open(messages, receive_buffer_bytes)
        await crowd.settle(self.process.pid, _WAIT_S)
        self.check_bounds()
        await self.check_ordinary_request()
        self.check_bounds()
        await crowd.close()
        await self.check_ordinary_request()
        self.check_bounds()

    def check_bounds(self) -> None:
        """Checks that the daemon lives within its bounds."""
        self.assertIsNone(self.process.returncode, "the daemon has ended")
        pid = self.process.pid
        descriptors = crowds.count_descriptors(pid)
        memory_mb = crowds.read_peak_memory(pid) / 1024**2
        with self.subTest("descriptors"):
            bound = self.descriptors * _DESCRIPTOR_SHARE
            self.assertLessEqual(descriptors, bound)
        with self.subTest("memory"):
            self.assertLessEqual(memory_mb, _MEMORY_BOUND_MB)

    async def check_ordinary_request(self) -> None:
        """Checks that another client gets an answer."""
        client = await wire.Client.connect(_CLIENTS)
        client.send("POST", "/read/1", self.make_crowd_headers(), b"hi")
        answer = await client.read(_WAIT_S)
        client.close()
        with self.subTest("ordinary request"):
            self.assertEqual((answer.status, answer.body), (200, b"done"))

    def make_crowd_headers(self, **fields: str) -> dict[str, str]:
        """Returns headers of a request whose budget no test uses up."""
        return self.make_headers(Deadline_Ms="60000", **fields)

    def make_head(self, path: str = "", **fields: str) -> bytes:
        """Returns the head of a request of the crowd."""
        headers = self.make_crowd_headers(**fields)
        lines = [f"POST {path or self.path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def make_chunked(self, *parts: bytes) -> crowd_module.Message:
        """Returns a request with a chunked body of raw parts."""
        return [self.make_head(Transfer_Encoding="chunked"), *parts]

    def make_whole(self, path: str) -> crowd_module.Message:
        """Returns a whole request with the largest body."""
        return [self.make_head(path, Content_Length=str(len(_BODY))), _BODY]


class ListenerCrowdTest(CrowdTest):
    """Crowds that each listener may meet, at that of the clients."""

    async def test_unfinished_bodies_in_large_chunks_use_up_the_memory(
        self,
    ) -> None:
        """Guards against unfinished bodies that are held without a bound."""
        await self.check_crowd(
            [self.make_chunked(_LARGE_CHUNKS) for _ in range(60)]
        )

    async def test_unfinished_bodies_in_tiny_chunks_use_up_the_memory(
        self,
    ) -> None:
        """Guards against a cost for each chunk that the limit doesn't count."""
        await self.check_crowd(
            [self.make_chunked(_SMALL_CHUNKS) for _ in range(6)]
        )

    async def test_endless_trailers_use_up_the_memory(self) -> None:
        """Guards against trailer values without a bound."""
        await self.check_crowd(
            [
                self.make_chunked(b"2\r\nxx\r\n0\r\naa: ", *[_MEGABYTE] * 16)
                for _ in range(16)
            ]
        )


class ClientCrowdTest(CrowdTest):
    """Crowds that only the listener of the clients meets."""

    async def test_bodies_one_byte_short_use_up_the_memory(self) -> None:
        """Guards against announced bodies that are held without a bound."""
        await self.check_crowd(
            [
                [self.make_head(Content_Length=str(len(_BODY))), _SHORT_BODY]
                for _ in range(60)
            ]
        )

    async def test_pipelined_large_requests_use_up_the_memory(self) -> None:
        """Guards against queues whose bound counts requests, not bytes."""
        await self.check_crowd(
            [
                [part for _ in range(9) for part in self.make_whole("/stuck/1")]
                for _ in range(12)
            ]
        )

    async def test_pipelined_tiny_requests_use_up_the_memory(self) -> None:
        """Guards against a burst whose requests are all held at once."""
        request = _TINY_REQUEST_WITH_LINES
        requests = request * (131_072 // len(request))
        await self.check_crowd([[requests]] * 100, receive_buffer_bytes=4096)

    async def test_unfinished_heads_of_tiny_lines_use_up_the_memory(
        self,
    ) -> None:
        """Guards against a cost for each line that the limit doesn't count."""
        start = f"POST {self.path} HTTP/1.1\r\n".encode()
        line = b"aa:bb\r\n"
        lines = line * ((_MAX_HEADER_BYTES - len(start)) // len(line) - 1)
        await self.check_crowd([[start + lines]] * 600)

    async def test_trailers_of_many_lines_use_up_the_memory(self) -> None:
        """Guards against trailer lines that are kept."""
        lines = b"aa:bb\r\n" * 150_000
        await self.check_crowd(
            [
                self.make_chunked(b"2\r\nxx\r\n0\r\n", lines, lines)
                for _ in range(8)
            ]
        )

    async def test_endless_chunk_extensions_use_up_the_memory(self) -> None:
        """Guards against chunk extensions without a bound."""
        await self.check_crowd(
            [self.make_chunked(b"2;a=", *[_MEGABYTE] * 16) for _ in range(16)]
        )

    async def test_announced_bodies_over_the_limit_use_up_the_memory(
        self,
    ) -> None:
        """Guards against bodies that are read though they are too large."""
        size = str(64 * len(_MEGABYTE))
        await self.check_crowd(
            [
                [self.make_head(Content_Length=size), *[_MEGABYTE] * 64]
                for _ in range(24)
            ]
        )

    async def test_chunked_bodies_over_the_limit_use_up_the_memory(
        self,
    ) -> None:
        """Guards against bodies that are held though they are too large."""
        await self.check_crowd(
            [self.make_chunked(*[_LARGE_CHUNK] * 1024) for _ in range(60)]
        )

    async def test_requests_at_silent_targets_use_up_the_memory(self) -> None:
        """Guards against requests in service that have no common bound."""
        await self.check_crowd([self.make_whole("/stuck/1") for _ in range(60)])

    async def test_large_answers_that_nobody_reads_use_up_the_memory(
        self,
    ) -> None:
        """Guards against answers that are held without a bound."""
        for target in self.models:
            target.answer = target_standin.answer_largely(2 * _MAX_BODY_BYTES)
        await self.check_crowd(
            [[self.make_head("/large/1")] for _ in range(60)],
            receive_buffer_bytes=4096,
        )

    async def test_largest_request_is_served_in_calm(self) -> None:
        """Guards against bounds that a request inside the limits meets."""
        await self.check_served(self.make_whole(self.path))

    async def test_largest_request_in_large_chunks_is_served_in_calm(
        self,
    ) -> None:
        """Guards against bounds that a request inside the limits meets."""
        await self.check_served(self.make_chunked(_LARGE_CHUNKS, _LAST_CHUNK))

    async def test_largest_request_in_tiny_chunks_is_served_in_calm(
        self,
    ) -> None:
        """Guards against one request that uses up the memory."""
        await self.check_served(self.make_chunked(_SMALL_CHUNKS, _LAST_CHUNK))

    async def check_served(self, message: crowd_module.Message) -> None:
        """Checks that the only client of a daemon is answered."""
        await self.start_process()
        client = await wire.Client.connect(_CLIENTS)
        client.write(b"".join(message))
        answer = await client.read(_WAIT_S)
        client.close()
        self.assertEqual((answer.status, answer.body), (200, b"done"))
        self.check_bounds()


class SilentCrowdTest(CrowdTest):
    """Crowds above the descriptors."""

    descriptors = _FEW_DESCRIPTORS

    async def test_silent_connections_use_up_the_descriptors(self) -> None:
        """Guards against connections without a bound."""
        await self.check_crowd([[]] * 300)


class PeerCrowdTest(ListenerCrowdTest):
    """The same at the listener of the peers."""

    address = _PEERS
    path = peer_requests.PATH.decode()


class HealthCrowdTest(ListenerCrowdTest):
    """The same at the address of the health checks."""

    address = _HEALTH
    path = "/-/readiness"


class MetricsCrowdTest(ListenerCrowdTest):
    """The same at the address of the metrics."""

    address = _METRICS
    path = "/metrics"

    async def test_metrics_that_nobody_reads_use_up_the_memory(self) -> None:
        """Guards against answers that are held without a bound."""
        requests = _TINY_REQUEST * (262_144 // len(_TINY_REQUEST))
        await self.check_crowd([[requests]] * 32, receive_buffer_bytes=4096)


class SilentPeerCrowdTest(SilentCrowdTest):
    """Silent connections at the listener of the peers."""

    address = _PEERS


class SilentHealthCrowdTest(SilentCrowdTest):
    """Silent connections at the address of the health checks."""

    address = _HEALTH


class SilentMetricsCrowdTest(SilentCrowdTest):
    """Silent connections at the address of the metrics."""

    address = _METRICS


def _make_document() -> dict[str, object]:
    """Returns a document with the sites' limits and without haste."""
    document = fleet.make_document(version=2)
    patient: dict[str, object] = {
        "timeoutMs": 60_000,
        "targetLatencyMs": 60_000,
        "maxAttempts": 1,
    }
    engine = {"kvBytes": 18_432, "linkMbps": 550_000}
    return document | {
        "routes": [
            fleet.make_route("read", "idempotent", **patient),
            fleet.make_route("stuck", "idempotent", service="stuck", **patient),
            fleet.make_route(
                "large", "idempotent", service="models", **patient
            ),
        ],
        "services": [
            {"name": "plain", "healthPath": "/health", "maxConns": 50},
            {"name": "stuck", "healthPath": "/health", "maxConns": 50},
            {
                "name": "models",
                "healthPath": "/health",
                "maxConns": 50,
                "engine": engine,
            },
        ],
        "limits": {
            "maxHeaderBytes": _MAX_HEADER_BYTES,
            "maxBodyBytes": _MAX_BODY_BYTES,
            "headerTimeoutMs": 15_000,
            "idleTimeoutMs": 60_000,
        },
    }


if __name__ == "__main__":
    unittest.main()
