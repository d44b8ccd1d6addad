"""Tests of answers that break off, and of what may follow them."""

import unittest

from tests.platform import fleet
from tests.platform import target_standin
from tests.platform import wire

_TEXTS = (
    b"the server is out of memory\n\n",
    b"event: error\ndata: out of memory\n\n",
    b"data: out of memory\n\n",
    b"HTTP/1.1 500 Internal Server Error\nServer-Seal: x\n\n",
    b"id: last\ndata: part\n\n",
)
make_events = target_standin.make_events


class _AnswersTest(fleet.FleetTest):
    """Base class: streams by scripts."""

    async def send_chat(
        self,
        *scripts: target_standin.Script,
        path: str = "/chat/1",
        **fields: str,
    ) -> wire.Answer:
        """Sends a stream's request, whose runs follow the scripts."""
        self.script_all(self.models, *scripts)
        return await self.send_request(
            "POST", path, self.make_chat_headers(**fields)
        )

    def check_broken(self, answer: wire.Answer, events: int) -> None:
        """Checks that a stream has its first events and no end."""
        self.assertEqual(answer.body, make_events(0, events))
        self.assertFalse(answer.is_whole)

    def count_runs(self) -> int:
        """Returns the runs at all engines."""
        return sum(len(item.runs) for item in self.models)


class ContinuationTest(_AnswersTest):
    """Streams that break off after two events of four."""

    async def test_text_without_an_event_id_does_not_follow(self) -> None:
        """Guards against the text of an error in the middle of a stream."""
        for text in _TEXTS:
            with self.subTest(text=text):
                answer = await self.send_chat(
                    target_standin.break_stream(2),
                    target_standin.stream_text(text),
                )
                self.check_broken(answer, 2)

    async def test_text_amid_the_rest_ends_the_stream_incomplete(self) -> None:
        """Guards against the text of an error behind the next event."""
        for text in _TEXTS:
            with self.subTest(text=text):
                answer = await self.send_chat(
                    target_standin.break_stream(2),
                    target_standin.stream_text(make_events(2, 3) + text),
                )
                self.check_broken(answer, 3)

    async def test_rest_without_an_event_is_no_end(self) -> None:
        """Guards against a part of a stream that ends as if complete."""
        for rest in (b"", b": on my way\n\n", make_events(0, 2), b"id: 2\nda"):
            with self.subTest(rest=rest):
                script = target_standin.stream_text(*[rest] * bool(rest))
                answer = await self.send_chat(
                    target_standin.break_stream(2), script
                )
                self.check_broken(answer, 2)

    async def test_comments_of_the_rest_are_dropped(self) -> None:
        """Guards against streams that end for a heartbeat."""
        pieces = b": beat\n\n", make_events(2, 3), b":\n\n", make_events(3, 4)
        answer = await self.send_chat(
            target_standin.break_stream(2), target_standin.stream_text(*pieces)
        )
        self.assertEqual(answer.body, make_events(0, 4))
        self.assertTrue(answer.is_whole)

    async def test_unsigned_rest_does_not_follow(self) -> None:
        """Guards against events that no target has signed."""
        answer = await self.send_chat(
            target_standin.break_stream(2),
            target_standin.stream_text(make_events(2, 4), is_signed=False),
        )
        self.check_broken(answer, 2)

    async def test_text_in_a_first_run_lets_no_other_run_follow(self) -> None:
        """Guards against two runs that are joined where no id says how."""
        text = b"data: unnumbered\n\n"
        answer = await self.send_chat(
            target_standin.stream_text(text, is_whole=False)
        )
        self.assertEqual((answer.body, answer.is_whole), (text, False))
        self.assertEqual(self.count_runs(), 1)

    async def test_stream_on_a_plain_route_is_not_continued(self) -> None:
        """Guards against joined runs where a stream may not be resumed."""
        self.script_all(self.plain, target_standin.break_stream(2))
        answer = await self.send_request("GET", "/read/1")
        # All of the second run, and nothing of the first one.
        self.assertEqual((answer.status, answer.body), (200, b"done"))
        self.assertTrue(answer.is_whole)
        self.assertEqual(sum(len(item.runs) for item in self.plain), 2)

    async def test_stream_on_a_plain_route_is_whole_or_lost(self) -> None:
        """Guards against a part of a body where nothing may follow it."""
        self.script_all(self.plain, target_standin.break_stream(2))
        answer = await self.send_request("POST", "/pay/1", body=b"x")
        self.assertEqual(answer.status, 502)
        body = make_events(0, 3)
        self.script_all(self.plain, target_standin.stream_text(body))
        answer = await self.send_request("POST", "/pay/1", body=b"x")
        self.assertEqual((answer.status, answer.body), (200, body))
        self.assertEqual(answer.headers["content-type"], "text/event-stream")

    async def test_events_before_a_gap_are_not_lost(self) -> None:
        """Guards against a missing event where a gap follows at once."""
        for events in (1, 2):
            with self.subTest(first_run=events):
                # Two attempts are allowed: the rest breaks with the gap.
                answer = await self.send_chat(
                    target_standin.break_stream(events),
                    target_standin.stream_text(
                        make_events(events, events + 1)
                        + make_events(events + 2, events + 3)
                    ),
                )
                self.check_broken(answer, events + 1)

    async def test_rest_of_a_stream_that_skips_ids_may_skip_them(self) -> None:
        """Guards against whole streams that no other run may go on with."""
        part = make_events(0, 1) + make_events(2, 3)
        rest = make_events(4, 5) + make_events(6, 7)
        answer = await self.send_chat(
            target_standin.stream_text(part, is_whole=False),
            target_standin.stream_text(rest),
        )
        self.assertEqual((answer.body, answer.is_whole), (part + rest, True))


class FirstRunTest(_AnswersTest):
    """First answers to requests for a stream."""

    async def test_text_of_a_first_run_is_unchanged(self) -> None:
        """Guards against a body that is no longer the target's."""
        body = b": beat\n\n" + make_events(0, 1) + b"event: error\ndata: x\n\n"
        answer = await self.send_chat(target_standin.stream_text(body))
        self.assertEqual((answer.body, answer.is_whole), (body, True))

    async def test_stream_that_a_client_takes_up_goes_on_with_events(
        self,
    ) -> None:
        """Guards against the text of an error behind a client's events."""
        for text in _TEXTS:
            with self.subTest(text=text):
                answer = await self.send_chat(
                    target_standin.stream_text(text), Last_Event_Id="1"
                )
                self.assertEqual(answer.body, make_events(2, 4))
                self.assertTrue(answer.is_whole)

    async def test_stream_that_a_client_takes_up_may_skip_ids(self) -> None:
        """Guards against a rest that no target can deliver."""
        rest = make_events(6, 7) + make_events(8, 9)
        answer = await self.send_chat(
            target_standin.stream_text(rest),
            target_standin.stream_text(rest),
            Last_Event_Id="4",
        )
        self.assertEqual((answer.body, answer.is_whole), (rest, True))

    async def test_gap_at_one_target_is_filled_by_another(self) -> None:
        """Guards against a missing event where a client takes a stream up."""
        answer = await self.send_chat(
            target_standin.stream_text(make_events(3, 4)), Last_Event_Id="1"
        )
        self.assertEqual(answer.body, make_events(2, 4))
        self.assertTrue(answer.is_whole)

    async def test_client_with_all_events_gets_the_end(self) -> None:
        """Guards against a stream whose end can't be fetched."""
        answer = await self.send_chat(Last_Event_Id="3")
        self.assertEqual((answer.body, answer.is_whole), (b"", True))

    async def test_unsigned_stream_reaches_no_client(self) -> None:
        """Guards against a success that no target has signed."""
        script = target_standin.stream_text(make_events(0, 4), is_signed=False)
        answer = await self.send_chat(script, path="/once/1")
        self.assertEqual((answer.status, self.count_runs()), (502, 1))

    async def test_success_without_a_stream_is_none_on_a_stream_route(
        self,
    ) -> None:
        """Guards against an empty or short body in place of a stream."""
        for rest in target_standin.RESTS_WITHOUT_STREAM:
            with self.subTest(rest=rest):
                script = target_standin.close_after(
                    target_standin.SIGNED_HEAD + rest
                )
                answer = await self.send_chat(script, path="/once/1")
                self.assertEqual(answer.status, 502)


class TornHeadTest(_AnswersTest):
    """Targets that close in the middle of an answer's head."""

    async def test_torn_head_is_no_answer(self) -> None:
        """Guards against a short body that is framed as whole."""
        head = target_standin.SIGNED_HEAD + b"Content-Length: 800"
        for cut in (*range(10, len(head), 9), len(head) - 2, len(head)):
            for path, targets in (
                ("/pay/1", self.plain),
                ("/once/1", self.models),
            ):
                with self.subTest(head=head[:cut], path=path):
                    script = target_standin.close_after(head[:cut])
                    self.script_all(targets, script)
                    headers = self.make_chat_headers()
                    answer = await self.send_request("POST", path, headers)
                    self.assertEqual(answer.status, 502)
                    self.assertNotIn("server-seal", answer.headers)

    async def test_torn_head_does_not_end_a_stream(self) -> None:
        """Guards against a torn head in a stream, or as its end."""
        head = (
            target_standin.SIGNED_HEAD + b"Content-Type: text/event-stream\r\n"
        )
        for rest in (b"", b"Transfer-Enc", b"\r\n", b"\r\nerror\n\n"):
            with self.subTest(rest=rest):
                answer = await self.send_chat(
                    target_standin.break_stream(2),
                    target_standin.close_after(head + rest),
                )
                self.check_broken(answer, 2)


if __name__ == "__main__":
    unittest.main()
