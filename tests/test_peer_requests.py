"""Tests of the requests that daemons forward to each other."""

import unittest

import msgspec

from mothpass.core import errors
from mothpass.core import prompts
from mothpass.core import results
from mothpass.platform import targets
from mothpass.ports import relay
from mothpass.relay import peer_requests

_READ_HEAD = peer_requests.make_read_head(targets.read_answer_head)


def make_request() -> relay.Request:
    return relay.Request(
        id="9c41d07be2a35f68",
        method=b"POST",
        url=b"/chat/1?x=%00",
        host="shop.example",
        headers=((b"x-odd", b"\xff\x00"),),
        body=bytes(range(256)),
        api_key="key",
        deadline=107.0,
        prompt=(prompts.Part(id="aa", tokens=80),),
        prompt_tokens=120,
        position=3,
        resumed_id="5c1e",
        arrived_at=100.0,
    )


class ForwardedRequestTest(unittest.TestCase):
    """The form of a forwarded request."""

    def test_request_arrives_as_it_was_with_times_of_the_receiver(self) -> None:
        """Guards against deadlines of another machine's clock."""
        sent = peer_requests.ForwardedRequest(
            request=make_request(),
            timeout_s=2.5,
            max_attempts=2,
            avoided=["i-1"],
            version=7,
        )
        data = peer_requests.encode_request("10.0.0.1:7", sent)
        body = data.partition(b"\r\n\r\n")[2]
        received = peer_requests.decode_request(body, 5000.0)
        self.assertEqual(
            received.request,
            msgspec.structs.replace(
                make_request(), arrived_at=5000.0, deadline=5002.5
            ),
        )
        self.assertEqual(received.avoided, ["i-1"])

    def test_field_that_is_missing_is_an_error(self) -> None:
        with self.assertRaises(errors.MalformedInputError):
            peer_requests.decode_request(msgspec.msgpack.encode({}), 0.0)


class PeerAnswerTest(unittest.TestCase):
    """What the head of a peer's answer says."""

    def read_refusal(self, ran: results.Ran) -> relay.AnswerHead:
        refusal = errors.Refusal(
            code=results.Code.OVERLOADED,
            ran=ran,
            message='all "full"\r\nx: y',
            retry_after_ms=300,
        )
        encoded = msgspec.json.encode(refusal)
        self.assertNotIn(b"\n", encoded)
        head = _READ_HEAD(
            503,
            (
                (b"x-mothpass-answer", b"refusal"),
                (b"x-mothpass-refusal", encoded),
            ),
        )
        self.assertEqual(head.refusal, refusal)
        return head

    def test_refusal_says_whether_the_request_ran(self) -> None:
        head = self.read_refusal(results.Ran.NO)
        self.assertIs(head.execution_state, relay.ExecutionState.NOT_RUN)
        head = self.read_refusal(results.Ran.UNKNOWN)
        self.assertIs(head.execution_state, relay.ExecutionState.UNKNOWN)

    def test_unmarked_answer_is_unknown(self) -> None:
        """Guards against a peer's own failure that passes for an answer."""
        for status in (200, 404, 500):
            head = _READ_HEAD(status, ((b"server-seal", b"x"),))
            self.assertIs(head.execution_state, relay.ExecutionState.UNKNOWN)

    def test_what_a_target_says_of_itself_holds_at_the_peer(self) -> None:
        """Guards against a pause that this daemon wasn't asked for."""
        head = _READ_HEAD(
            503,
            (
                (b"x-mothpass-answer", b"target"),
                (b"server-seal", b"x"),
                (b"server-leaving", b"1"),
                (b"retry-after", b"3"),
            ),
        )
        self.assertFalse(head.is_leaving)
        self.assertIsNone(head.pause_s)
        names = [name for name, _ in head.headers]
        self.assertNotIn(b"x-mothpass-answer", names)
