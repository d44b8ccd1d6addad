"""Tests of complete, correct answers and of the number of runs."""

import asyncio
import gc

import msgspec

from mothpass.relay import forwarding
from tests.platform import fleet
from tests.platform import target_standin
from tests.platform import wire


class PlainAnswersTest(fleet.FleetTest):
    """Requests with a plain answer."""

    def count_runs(self) -> int:
        """Returns the runs at all plain targets."""
        return sum(len(target.runs) for target in self.plain)

    async def test_answer_and_signature_are_forwarded(self) -> None:
        headers = self.make_headers(Odd="kept")
        answer = await self.send_request(
            "POST", "/pay/1?x=%20", headers, b"body"
        )
        self.assertEqual((answer.status, answer.body), (200, b"done"))
        self.assertEqual(
            answer.headers["server-seal"], target_standin.SIGNATURE
        )
        [seen] = [item for target in self.plain for item in target.requests]
        self.assertEqual(
            (seen.method, seen.url, seen.body),
            ("POST", "/pay/1?x=%20", b"body"),
        )
        self.assertEqual(seen.headers["tenant"], "red")
        self.assertEqual(seen.headers["odd"], "kept")
        self.assertNotIn("authorization", seen.headers)
        self.assertLessEqual(int(seen.headers["deadline-ms"]), 3000)

    async def test_headers_that_the_relay_sets_are_dropped_from_clients(
        self,
    ) -> None:
        forged = {
            "Tenant": "blue",
            "Hold": "1",
            "Pin-Ms": "9",
            "Kv-From": "x",
            "Kv-Backup": "x",
            "Connection": "odd",
            "Odd": "1",
        }
        await self.send_request("GET", "/read/1", self.make_headers() | forged)
        [seen] = [item for target in self.plain for item in target.requests]
        self.assertEqual(seen.headers["tenant"], "red")
        for name in ("hold", "pin-ms", "kv-from", "kv-backup", "odd"):
            self.assertNotIn(name, seen.headers)

    async def test_payment_whose_answer_is_lost_runs_once(self) -> None:
        self.script_all(self.plain, target_standin.lose_answer)
        answer = await self.send_request("POST", "/pay/1", body=b"x")
        self.assertEqual(answer.status, 502)
        self.assertEqual(self.count_runs(), 1)

    async def test_rejected_payment_may_run_elsewhere(self) -> None:
        self.script_all(
            self.plain, target_standin.reject(503, {"Not-Run": "1"})
        )
        answer = await self.send_request("POST", "/pay/1", body=b"x")
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.count_runs(), 1)

    async def test_503_without_not_run_header_is_not_retried(self) -> None:
        self.script_all(self.plain, target_standin.fail(503))
        answer = await self.send_request("POST", "/pay/1", body=b"x")
        self.assertEqual(answer.status, 502)
        self.assertEqual(self.count_runs(), 1)

    async def test_read_whose_answer_is_lost_is_retried(self) -> None:
        self.script_all(self.plain, target_standin.lose_answer)
        answer = await self.send_request("GET", "/read/1")
        self.assertEqual((answer.status, self.count_runs()), (200, 2))

    async def test_no_more_runs_than_the_route_allows(self) -> None:
        self.script_all(self.plain, *[target_standin.lose_answer] * 4)
        answer = await self.send_request("GET", "/read/1")
        self.assertEqual((answer.status, self.count_runs()), (502, 2))

    async def test_failure_of_a_target_keeps_its_status(self) -> None:
        self.script_all(self.plain, *[target_standin.fail(500)] * 2)
        answer = await self.send_request("GET", "/read/1")
        self.assertEqual((answer.status, answer.body), (500, b"failed"))
        self.assertIn("server-seal", answer.headers)

    async def test_invalid_answers_reach_no_client(self) -> None:
        for script in (
            target_standin.answer_garbage,
            target_standin.answer_short,
        ):
            with self.subTest(script=script.__name__):
                self.script_all(self.plain, script)
                answer = await self.send_request("POST", "/pay/1", body=b"x")
                self.assertEqual(answer.status, 502)
                self.assertNotIn("server-seal", answer.headers)

    async def test_late_answer_of_another_request_is_ignored(self) -> None:
        self.script_all(self.plain, target_standin.answer_another_first)
        answer = await self.send_request("GET", "/read/1")
        self.assertEqual((answer.status, answer.body), (200, b"done"))

    async def test_second_answer_is_ignored(self) -> None:
        self.script_all(self.plain, target_standin.answer_twice)
        for _ in range(6):
            answer = await self.send_request("GET", "/read/1")
            self.assertEqual((answer.status, answer.body), (200, b"done"))

    async def test_body_that_ends_with_the_connection_is_framed(self) -> None:
        self.script_all(self.plain, target_standin.answer_unframed)
        answer = await self.send_request("GET", "/read/1")
        self.assertEqual(answer.body, b"to the end")
        self.assertTrue(answer.is_whole)

    async def test_silent_target_is_abandoned_for_another(self) -> None:
        self.script_all(self.plain, target_standin.hang)
        answer = await self.send_request("GET", "/read/1")
        self.assertEqual(answer.status, 200)

    async def test_body_that_trickles_is_abandoned_for_another(self) -> None:
        """Guards against an answer that takes the time of the next attempt."""
        self.script_all(self.plain, target_standin.trickle_body)
        answer = await self.send_request("GET", "/read/1")
        self.assertEqual((answer.status, answer.body), (200, b"done"))
        self.assertEqual(self.count_runs(), 2)

    async def test_body_that_trickles_has_all_the_time_of_a_payment(
        self,
    ) -> None:
        """Guards against answers that are given up though none may follow."""
        self.script_all(self.plain, target_standin.trickle_body)
        headers = self.make_headers(Deadline_Ms="600")
        answer = await self.send_request("POST", "/pay/1", headers, b"x")
        self.assertIn(b"no answer before the deadline", answer.body)

    async def test_final_answer_is_due_at_the_deadline(self) -> None:
        self.script_all(self.plain, target_standin.hang)
        loop = asyncio.get_running_loop()
        started = loop.time()
        headers = self.make_headers(Deadline_Ms="400")
        with self.assertLogs("mothpass.requests", "INFO") as self.logged:
            answer = await self.send_request("POST", "/pay/1", headers, b"x")
            await asyncio.sleep(0.05)
        self.assertEqual(answer.status, 504)
        self.assertTrue(
            any(
                getattr(record, "fields", {}).get("end") == "lost"
                for record in self.logged.records
            )
        )
        self.assertAlmostEqual(loop.time() - started, 0.4, delta=0.15)

    async def test_run_ends_when_its_client_disconnects(self) -> None:
        self.script_all(self.plain, target_standin.hang)
        client = await wire.Client.connect(self.addresses[0])
        client.send("POST", "/pay/1", self.make_headers(), b"x")
        await self.wait_for(lambda: self.count_runs() == 1)
        client.close()
        await self.wait_for(
            lambda: any(target.cancelled_runs for target in self.plain), 0.5
        )

    async def test_unreachable_target_costs_no_run(self) -> None:
        self.plain[0].close()
        for _ in range(4):
            answer = await self.send_request("POST", "/pay/1", body=b"x")
            self.assertEqual(answer.status, 200)
        self.assertEqual(len(self.plain[1].runs), 4)

    async def test_attempts_that_reach_no_target_cost_no_budget(self) -> None:
        self.plain[0].close()
        settings = self.services[0].settings
        self.services[0].reload(
            msgspec.structs.replace(
                settings, repeat_ratio=0.0, repeat_extra=0.0
            )
        )
        for _ in range(4):
            answer = await self.send_request("POST", "/pay/1", body=b"x")
            self.assertEqual(answer.status, 200)

    async def test_other_target_at_the_address_is_retried_elsewhere(
        self,
    ) -> None:
        self.script_all(
            self.plain, target_standin.reject(421, {"Instance-Id": "i-other"})
        )
        answer = await self.send_request("POST", "/pay/1", body=b"x")
        self.assertEqual((answer.status, self.count_runs()), (200, 1))


class StreamsTest(fleet.FleetTest):
    """Requests with an event stream as answer."""

    async def test_stream_arrives_whole(self) -> None:
        answer = await self.send_request(
            "POST", "/chat/1", self.make_chat_headers()
        )
        self.assertTrue(answer.is_whole)
        self.assertEqual(answer.body, _make_stream(target_standin.EVENTS))

    async def test_broken_stream_is_resumed_at_another_target(self) -> None:
        broken = target_standin.break_stream(2, b"id: 2\nda")
        self.script_all(self.models, broken)
        answer = await self.send_request(
            "POST", "/chat/1", self.make_chat_headers()
        )
        self.assertTrue(answer.is_whole)
        self.assertEqual(answer.body, _make_stream(target_standin.EVENTS))
        self.assertEqual([len(target.runs) for target in self.models], [1, 1])

    async def test_stream_that_breaks_too_often_ends_incomplete(self) -> None:
        broken = target_standin.break_stream(1)
        self.script_all(self.models, broken, target_standin.break_stream(2))
        answer = await self.send_request(
            "POST", "/chat/1", self.make_chat_headers()
        )
        self.assertEqual(answer.body, _make_stream(2))
        self.assertFalse(answer.is_whole)

    async def test_silent_stream_is_resumed_and_its_first_run_ends(
        self,
    ) -> None:
        self.script_all(self.models, target_standin.silence_stream(2))
        answer = await self.send_request(
            "POST", "/chat/1", self.make_chat_headers()
        )
        self.assertTrue(answer.is_whole)
        self.assertEqual(answer.body, _make_stream(target_standin.EVENTS))
        # The first run must end within 0.4 s of the second one's start.
        await self.wait_for(
            lambda: sum(len(item.cancelled_runs) for item in self.models) == 1,
            0.4,
        )

    async def test_target_that_reads_a_long_prompt_is_not_abandoned(
        self,
    ) -> None:
        silence_s = forwarding.STREAM_SILENCE_TIMEOUT_S + 0.3
        slow = target_standin.stream(2, first_s=silence_s + 0.4)
        for target in self.models:
            target.answer = slow
        headers = self.make_chat_headers() | {
            "Token-Count": "40000,40",
            "Prompt-Prefix": "aa:80,bb:30,cc:39890",
        }
        answer = await self.send_request("POST", "/chat/1", headers)
        self.assertTrue(answer.is_whole)
        self.assertEqual(sum(len(item.runs) for item in self.models), 1)

    async def test_stream_that_only_drips_goes_on_at_another_target(
        self,
    ) -> None:
        """Guards against a stalled stream that a byte now and then keeps."""
        self.script_all(self.models, target_standin.drip_stream(1, pause_s=0.1))
        answer = await self.send_request(
            "POST", "/chat/1", self.make_chat_headers()
        )
        self.assertTrue(answer.is_whole)
        self.assertEqual(answer.body, _make_stream(target_standin.EVENTS))

    async def test_stream_of_comments_goes_on_at_another_target(self) -> None:
        """Guards against a stalled stream that comments keep."""
        for data in (b": beat\n\n", target_standin.make_event(0)):
            with self.subTest(data=data):
                self.script_all(
                    self.models,
                    target_standin.repeat_event(data, pause_s=0.1),
                )
                answer = await self.send_request(
                    "POST", "/chat/1", self.make_chat_headers()
                )
                self.assertTrue(answer.is_whole)
                body = answer.body.replace(b": beat\n\n", b"")
                self.assertEqual(body, _make_stream(target_standin.EVENTS))

    async def test_slow_stream_that_goes_on_is_not_cut(self) -> None:
        """Guards against sound streams that are given up for their pauses."""
        self.script_all(self.models, target_standin.stream(3, pause_s=0.7))
        answer = await self.send_request(
            "POST", "/chat/1", self.make_chat_headers()
        )
        self.assertTrue(answer.is_whole)
        self.assertEqual(sum(len(item.runs) for item in self.models), 1)

    async def test_log_has_the_longest_gap_of_a_stream(self) -> None:
        self.script_all(self.models, target_standin.stream(3, pause_s=0.2))
        # A full collection of the test process takes longer than the bound.
        gc.disable()
        self.addCleanup(gc.enable)
        with self.assertLogs("mothpass.requests") as logs:
            await self.send_request("POST", "/chat/1", self.make_chat_headers())
        [line] = [
            record.__dict__["fields"]
            for record in logs.records
            if record.getMessage() == "request"
        ]
        self.assertLess(line["first_ms"], 150)
        self.assertGreater(line["gap_ms"], 150)
        self.assertLess(line["gap_ms"], 400)

    async def test_log_has_how_far_an_answer_came(self) -> None:
        """Guards against cut streams whose cause the log doesn't show."""
        self.script_all(self.models, target_standin.break_stream(2))
        with self.assertLogs("mothpass.requests") as logs:
            await self.send_request("POST", "/once/1", self.make_chat_headers())
        lines = {
            record.getMessage(): record.__dict__["fields"]
            for record in logs.records
        }
        attempt = lines["attempt"]
        self.assertEqual(
            (attempt["framing"], attempt["is_whole"], attempt["position"]),
            ("chunks", False, 1),
        )
        self.assertFalse(lines["request"]["is_stopping"])

    async def test_stream_that_may_not_be_resumed_ends_incomplete(self) -> None:
        self.script_all(self.models, target_standin.break_stream(2))
        answer = await self.send_request(
            "POST", "/once/1", self.make_chat_headers()
        )
        self.assertEqual(answer.body, _make_stream(2))
        self.assertFalse(answer.is_whole)
        self.assertEqual(sum(len(item.runs) for item in self.models), 1)

    async def test_client_resumes_after_its_last_event(self) -> None:
        headers = self.make_chat_headers(Last_Event_Id="1")
        answer = await self.send_request("POST", "/chat/1", headers)
        self.assertEqual(
            answer.body,
            target_standin.make_event(2) + target_standin.make_event(3),
        )

    async def test_same_prompt_is_placed_at_the_same_target(self) -> None:
        for _ in range(6):
            await self.send_request("POST", "/chat/1", self.make_chat_headers())
        self.assertIn(6, [len(target.runs) for target in self.models])


def _make_stream(events: int) -> bytes:
    return b"".join(target_standin.make_event(item) for item in range(events))
