"""Tests of a daemon whose clients don't behave.

A crowd of connections sends what makes a daemon hold memory, descriptors or
connections, and stays open while an ordinary request comes.
"""

import json
import unittest

import grpc

from mothpass.adapters import peer_transport
from mothpass.adapters import peers_pb2
from mothpass.adapters import peers_pb2_grpc
from tests import crowds
from tests import deployments
from tests import http_calls
from tests import payments
from tests import processes

_MAX_MEMORY_BYTES = 256_000_000
_MAX_DESCRIPTORS = 1024
_BODY_LIMIT_BYTES = 4_194_304
_REST_BYTES = _BODY_LIMIT_BYTES - 65_536
_OPERATOR_BODY_LIMIT_BYTES = 33_554_432
_CHAT_PATH = "/v1/chat/completions"
_CHECK_PATH = "/v1/catalogue/check"
_SLOW_TOKEN_US = 5_000_000
_KEY = {"Authorization": f"Bearer {deployments.TEAM_KEY}"}
_TOKEN = {"Authorization": f"Bearer {deployments.OPERATOR_TOKEN}"}
_CHUNKED = {"Transfer-Encoding": "chunked"}
# Connection preface of HTTP/2 with an empty SETTINGS frame.
_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + bytes(3) + b"\x04" + bytes(5)
_HEADERS_FRAME = 1
_END_HEADERS = 4


def _build_chat(size: int, *, stream: bool = False) -> bytes:
    """Returns a whole chat request whose body has ``size`` bytes or more."""
    body = json.dumps(
        {
            "model": deployments.MODEL,
            "messages": [{"role": "user", "content": "x" * size}],
            "max_tokens": 2000,
            "stream": stream,
        }
    ).encode()
    headers = _KEY | {"Content-Length": str(len(body))}
    return crowds.build_head(_CHAT_PATH, headers) + body


def _build_frame(kind: int, stream: int, payload: bytes) -> bytes:
    """Returns a frame of HTTP/2 that ends a block of headers."""
    head = len(payload).to_bytes(3, "big") + bytes((kind, _END_HEADERS))
    return head + stream.to_bytes(4, "big") + payload


def _build_call_head() -> bytes:
    """Returns the headers of a gRPC call without a key, as HPACK literals."""
    fields = {
        ":method": "POST",
        ":scheme": "http",
        ":path": "/mothpass.peers.Peers/SendBatch",
        ":authority": "daemon",
        "te": "trailers",
        "content-type": "application/grpc",
    }
    return b"".join(
        b"\0%c%s%c%s" % (len(name), name.encode(), len(value), value.encode())
        for name, value in fields.items()
    )


class _CrowdTest(unittest.TestCase):
    """Starts a daemon and checks it while a crowd is connected to it."""

    deployment: deployments.Deployment
    daemon: processes.Process

    def start_daemon(
        self, max_descriptors: int | None = None, **callers: object
    ) -> None:
        """Starts a daemon with a slow engine and a service."""
        self.deployment = deployments.Deployment(
            started=processes.open_processes(self)
        )
        self.deployment.add_engine("e1", token_us=_SLOW_TOKEN_US)
        self.deployment.add_service("s1")
        self.daemon = self.deployment.add_daemon(
            "d1", changes={"callers": callers}, max_descriptors=max_descriptors
        )
        self.deployment.wait_ready()

    def send(self, count: int, payload: bytes) -> None:
        """Sends a payload to the clients' address over many connections."""
        crowds.open_crowd(self).send(self.daemon.address, count, payload)

    def send_to_operators(self, count: int, payload: bytes) -> None:
        """Sends a payload to the operators' address."""
        address = self.deployment.get_operator_address("d1")
        crowds.open_crowd(self).send(address, count, payload)

    def send_to_peers(self, count: int, payload: bytes) -> None:
        """Sends a payload to the peers' address."""
        address = self.deployment.get_peer_address("d1")
        crowds.open_crowd(self).send(address, count, payload)

    def check_daemon(self, *, max_descriptors: int = _MAX_DESCRIPTORS) -> None:
        """Checks the process and what it holds, and sends a request."""
        outcome = payments.pay(self.daemon, "ordinary")
        self.assertIsNone(self.daemon.popen.poll())
        pid = self.daemon.popen.pid
        peak = crowds.read_peak_memory(pid)
        descriptors = crowds.count_descriptors(pid)
        print(f"{self.id()}: {peak / 1e6:.0f} MB, {descriptors} descriptors")
        self.assertLess(peak, _MAX_MEMORY_BYTES)
        self.assertLess(descriptors, max_descriptors)
        self.assertEqual(outcome.ran, "yes", outcome)

    def check_operators(self) -> None:
        """Checks the daemon, and sends an operator's request."""
        answer = self.deployment.call_operator_api("d1", "GET", "/v1/status")
        self.check_daemon()
        self.assertEqual(answer.status, http_calls.OK)

    def check_peers(self) -> None:
        """Checks the daemon, and sends a call of a peer."""
        address = self.deployment.get_peer_address("d1")
        with grpc.insecure_channel(address) as channel:
            stub = peers_pb2_grpc.PeersStub(channel)
            request = peers_pb2.ChangesRequest(after_version=0, limit_bytes=1)
            key = (peer_transport.KEY_HEADER, deployments.PEER_KEY)
            reply = stub.FetchChanges(request, metadata=[key], timeout=20)
        self.check_daemon()
        self.assertEqual(reply.catalogue_version, 1)


class ClientCrowdTest(_CrowdTest):
    """Crowds at the clients' address."""

    def test_bodies_in_large_chunks_without_end_are_bounded(self) -> None:
        """Guards against bodies that stop short of their end."""
        self.start_daemon()
        chunks = crowds.build_chunks(_REST_BYTES, 65_536)
        head = crowds.build_head(_CHAT_PATH, _KEY | _CHUNKED)
        self.send(80, head + chunks)
        self.check_daemon()

    def test_bodies_in_small_chunks_without_end_are_bounded(self) -> None:
        """Guards against bodies that cost many times their size."""
        self.start_daemon()
        chunks = crowds.build_chunks(_REST_BYTES, 2)
        head = crowds.build_head(_CHAT_PATH, _KEY | _CHUNKED)
        self.send(80, head + chunks)
        self.check_daemon()

    def test_announced_bodies_without_end_are_bounded(self) -> None:
        """Guards against announced bodies that stop short of their end."""
        self.start_daemon()
        announced = {"Content-Length": str(_BODY_LIMIT_BYTES)}
        head = crowds.build_head(_CHAT_PATH, _KEY | announced)
        self.send(80, head + b"x" * _REST_BYTES)
        self.check_daemon()

    def test_whole_large_requests_in_a_row_are_bounded(self) -> None:
        """Guards against requests that are read before their turn."""
        self.start_daemon()
        self.send(24, _build_chat(4_000_000) * 9)
        self.check_daemon()

    def test_burst_of_tiny_requests_is_bounded(self) -> None:
        """Guards against requests that cost many times their size."""
        self.start_daemon()
        self.send(24, b"GET / HTTP/1.1\r\n\r\n" * 200_000)
        self.check_daemon()

    def test_tiny_requests_behind_a_slow_one_are_bounded(self) -> None:
        """Guards against a queue of a connection that has no bound."""
        self.start_daemon()
        tiny = b"GET / HTTP/1.1\r\n\r\n" * 200_000
        self.send(24, _build_chat(10) + tiny)
        self.check_daemon()

    def test_heads_without_end_are_bounded(self) -> None:
        """Guards against heads that stop short of their end."""
        self.start_daemon()
        head = crowds.build_head(_CHAT_PATH, {"X-Long": "x" * 32_000})[:-4]
        self.send(600, head)
        self.check_daemon()

    def test_endless_trailers_are_bounded(self) -> None:
        """Guards against trailers, which no limit of the head concerns."""
        self.start_daemon()
        head = crowds.build_head(_CHAT_PATH, _KEY | _CHUNKED)
        for trailers in (
            b"X-T: y\r\n" * 2_000_000,
            b"X-T: " + b"y" * (16 << 20),
        ):
            self.send(24, head + b"2\r\n{}\r\n0\r\n" + trailers)
        self.check_daemon()

    def test_endless_trailers_after_the_answer_are_bounded(self) -> None:
        """Guards against trailers of a request that was refused."""
        self.start_daemon()
        head = crowds.build_head(_CHAT_PATH, _CHUNKED)
        self.send(24, head + b"0\r\nX-T: " + b"y" * (16 << 20))
        self.check_daemon()

    def test_endless_chunk_extensions_are_bounded(self) -> None:
        """Guards against extensions of a chunk, which are part of no body."""
        self.start_daemon()
        head = crowds.build_head(_CHAT_PATH, _KEY | _CHUNKED)
        self.send(24, head + b"2;a=" + b"y" * (16 << 20))
        self.check_daemon()

    def test_bodies_far_over_the_limit_are_bounded(self) -> None:
        """Guards against large bodies, announced or just sent."""
        self.start_daemon()
        size = 16 * _BODY_LIMIT_BYTES
        announced = {"Content-Length": str(size)}
        head = crowds.build_head(_CHAT_PATH, _KEY | announced)
        self.send(24, head + b"x" * size)
        head = crowds.build_head(_CHAT_PATH, _KEY | _CHUNKED)
        self.send(24, head + crowds.build_chunks(size, 65_536))
        self.check_daemon()

    def test_silent_connections_give_way_to_a_request(self) -> None:
        """Guards against silent connections that take all places."""
        self.start_daemon(connections=64)
        self.send(200, b"")
        self.check_daemon(max_descriptors=160)

    def test_refused_bodies_at_rest_give_way_to_a_request(self) -> None:
        """Guards against answered requests that take all places."""
        self.start_daemon(connections=64)
        announced = {"Content-Length": str(_BODY_LIMIT_BYTES)}
        self.send(200, crowds.build_head(_CHAT_PATH, announced) + b"x")
        self.check_daemon(max_descriptors=160)

    def test_bodies_at_rest_give_way_to_a_request(self) -> None:
        """Guards against unfinished requests that take all places."""
        self.start_daemon(connections=64)
        announced = {"Content-Length": str(_BODY_LIMIT_BYTES)}
        self.send(200, crowds.build_head(_CHAT_PATH, _KEY | announced) + b"x")
        self.check_daemon(max_descriptors=160)

    def test_more_connections_than_descriptors_leave_some(self) -> None:
        """Guards against connections that leave no descriptor for targets."""
        self.start_daemon(max_descriptors=128)
        self.send(200, b"")
        self.check_daemon(max_descriptors=129)

    def test_large_bodies_whose_requests_wait_are_bounded(self) -> None:
        """Guards against whole requests that wait for a target."""
        self.start_daemon()
        self.send(100, _build_chat(4_000_000))
        self.check_daemon()

    def test_answers_that_are_not_read_are_bounded(self) -> None:
        """Guards against answers that a daemon keeps for its clients."""
        self.start_daemon()
        head = crowds.build_head("/" + "x" * 20, {}, method="GET")
        self.send(80, head * 100_000)
        self.check_daemon()


class OperatorCrowdTest(_CrowdTest):
    """Crowds at the operators' address."""

    def test_bodies_without_a_token_are_bounded(self) -> None:
        """Guards against bodies of those who may not send any."""
        self.start_daemon()
        head = crowds.build_head(_CHECK_PATH, _CHUNKED)
        chunks = crowds.build_chunks(8 << 20, 65_536)
        self.send_to_operators(80, head + chunks)
        self.check_operators()

    def test_bodies_with_a_token_are_bounded(self) -> None:
        """Guards against bodies that stop short of the operators' limit."""
        self.start_daemon()
        head = crowds.build_head(_CHECK_PATH, _TOKEN | _CHUNKED)
        size = _OPERATOR_BODY_LIMIT_BYTES - 65_536
        self.send_to_operators(24, head + crowds.build_chunks(size, 65_536))
        self.check_operators()

    def test_operator_bodies_in_small_chunks_are_bounded(self) -> None:
        """Guards against bodies that cost many times their size."""
        self.start_daemon()
        head = crowds.build_head(_CHECK_PATH, _TOKEN | _CHUNKED)
        self.send_to_operators(24, head + crowds.build_chunks(4 << 20, 2))
        self.check_operators()

    def test_silent_connections_give_way_to_an_operator(self) -> None:
        """Guards against silent connections that lock operators out."""
        self.start_daemon()
        self.send_to_operators(100, b"")
        self.check_operators()

    def test_bodies_at_rest_give_way_to_an_operator(self) -> None:
        """Guards against unfinished requests that lock operators out."""
        self.start_daemon()
        for headers in ({}, _TOKEN):
            announced = headers | {"Content-Length": "1000000"}
            head = crowds.build_head(_CHECK_PATH, announced)
            self.send_to_operators(100, head + b"x")
        self.check_operators()

    def test_burst_of_tiny_operator_requests_is_bounded(self) -> None:
        """Guards against requests that cost many times their size."""
        self.start_daemon()
        self.send_to_operators(24, b"GET / HTTP/1.1\r\n\r\n" * 200_000)
        self.check_operators()


class PeerCrowdTest(_CrowdTest):
    """Crowds at the peers' address."""

    def test_large_messages_without_the_key_are_bounded(self) -> None:
        """Guards against messages that are held before they are refused."""
        self.start_daemon()
        address = self.deployment.get_peer_address("d1")
        batch = peers_pb2.Batch(sender="crowd", changes=[b"x" * 4_000_000])
        calls = []
        for number in range(40):
            options = [("grpc.use_local_subchannel_pool", 1), ("n", number)]
            channel = grpc.insecure_channel(address, options=options)
            self.addCleanup(channel.close)
            stub = peers_pb2_grpc.PeersStub(channel)
            calls += [stub.SendBatch.future(batch) for _ in range(4)]
        for call in calls:
            call.exception()
        self.check_peers()

    def test_calls_without_their_message_are_bounded(self) -> None:
        """Guards against calls that wait for a message that never comes."""
        self.start_daemon()
        calls = b"".join(
            _build_frame(_HEADERS_FRAME, 2 * number + 1, _build_call_head())
            for number in range(5000)
        )
        self.send_to_peers(40, _PREFACE + calls)
        self.check_peers()

    def test_silent_connections_leave_place_for_a_peer(self) -> None:
        """Guards against silent connections that take all descriptors."""
        self.start_daemon(max_descriptors=128)
        self.send_to_peers(200, b"")
        self.check_peers()

    def test_prefaces_alone_leave_place_for_a_peer(self) -> None:
        """Guards against connections of HTTP/2 without a call."""
        self.start_daemon(max_descriptors=128)
        self.send_to_peers(200, _PREFACE)
        self.check_peers()


if __name__ == "__main__":
    unittest.main()
