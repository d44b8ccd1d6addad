"""Tests of targets whose answers say that they are gone, leave or pause."""

import asyncio

import msgspec

from tests.platform import fleet
from tests.platform import target_standin
from tests.platform import wire

_REQUESTS = 60
_REJECTED = target_standin.reject(421, {})


class ReplacedTargetsTest(fleet.FleetTest):
    """Targets that are replaced at their addresses."""

    daemons = 2

    async def test_rejections_by_other_targets_stay_within_the_budget(
        self,
    ) -> None:
        """Guards against repeats after a 421 that no budget counts."""
        # Each entry is written again, as if its target were back each time.
        for service in self.services:
            service.reload(
                msgspec.structs.replace(service.settings, repeat_extra=10.0)
            )
        for target in self.plain:
            target.answer = _REJECTED
        for number in range(_REQUESTS):
            for target in self.plain:
                entry = target.encode_entry("plain", version=f"v{number}")
                self.store.put("servers", target.id, entry)
            answer = await self.send_request(
                "GET", f"/read/{number}", daemon=number % 2
            )
            self.assertEqual(answer.status, 503)
        settings = self.services[0].settings
        arrivals = sum(len(target.requests) for target in self.plain)
        budget = settings.repeat_ratio * _REQUESTS + settings.repeat_extra
        self.assertLessEqual(arrivals - _REQUESTS, budget)

    async def test_replaced_target_is_known_to_the_other_daemon(self) -> None:
        """Guards against one rejection for each daemon of the fleet."""
        self.plain[0].answer = _REJECTED
        for number in range(10):
            await self.send_request("GET", f"/read/{number}")
        self.assertEqual(len(self.plain[0].requests), 1)
        other = self.services[1].state.targets.targets[self.plain[0].id]
        await self.wait_for(lambda: other.backoff_until > 0.0)
        for number in range(10):
            await self.send_request("GET", f"/read/{number}", daemon=1)
        self.assertEqual(len(self.plain[0].requests), 1)


class LeavingTargetsTest(fleet.FleetTest):
    """Targets that say in answers that they leave."""

    async def check_leaves(
        self, script: target_standin.Script, path: str, *, is_chat: bool
    ) -> None:
        """Checks that a target gets no request after an answer by a script."""
        targets = self.models if is_chat else self.plain
        leaving = targets[0]
        leaving.answer = script
        leaving.extra_headers = {"Server-Leaving": "1"}
        make_headers = self.make_chat_headers if is_chat else self.make_headers
        for number in range(30):
            headers = make_headers()
            if is_chat:
                headers["Prompt-Prefix"] = f"aa:80,{number:x}b:30,cc:10"
            answer = await self.send_request("GET", path, headers)
            self.assertEqual(answer.status, 200)
        self.assertEqual(len(leaving.requests), 1)

    async def test_answer_is_the_last_one(self) -> None:
        """Guards against requests to a target that is listed as ready."""
        script = target_standin.answer_normally
        await self.check_leaves(script, "/read/1", is_chat=False)

    async def test_refusal_is_the_last_one(self) -> None:
        """Guards against the same where the target refuses the request."""
        script = target_standin.reject(503, {"Not-Run": "1"})
        await self.check_leaves(script, "/read/1", is_chat=False)

    async def test_stream_goes_on_and_is_the_last_one(self) -> None:
        """Guards against the same where the head of a stream says so."""
        await self.check_leaves(
            target_standin.stream(3, pause_s=0.05), "/chat/1", is_chat=True
        )

    async def test_new_start_under_the_same_id_gets_requests(self) -> None:
        """Guards against a mark that outlives the process that set it."""
        script = target_standin.answer_normally
        await self.check_leaves(script, "/read/1", is_chat=False)
        target = self.plain[0]
        target.extra_headers = {}
        # The same start in another state, then a new start.
        await self.change_entry(target, slots=9)
        await self.send_request("GET", "/read/1")
        self.assertEqual(len(target.requests), 1)
        await self.change_entry(target, slots=10, born=2000)
        for number in range(30):
            await self.send_request("GET", f"/read/{number}")
        self.assertGreater(len(target.requests), 1)

    async def change_entry(
        self, target: target_standin.Target, *, slots: int, born: int = 1000
    ) -> None:
        """Writes an entry and waits until the daemon has it."""
        entry = target.encode_entry("plain", slots=slots, born=born)
        self.store.put("servers", target.id, entry)
        known = self.services[0].state.targets.targets
        await self.wait_for(
            lambda: known[target.id].registration.slots == slots
        )


class PausingTargetsTest(fleet.FleetTest):
    """Targets that refuse requests and ask for a pause."""

    def pause(self, target: target_standin.Target, pause: str) -> None:
        """Makes a target refuse all requests and ask for a pause."""
        headers = {"Not-Run": "1", "Retry-After": pause}
        target.answer = target_standin.reject(503, headers)

    async def test_target_gets_nothing_until_its_pause_ends(self) -> None:
        """Guards against requests to a target that asked for none."""
        self.pause(self.plain[0], "0.8")
        for number in range(20):
            answer = await self.send_request("GET", f"/read/{number}")
            self.assertEqual(answer.status, 200)
        self.assertEqual(len(self.plain[0].requests), 1)
        self.plain[0].answer = target_standin.answer_normally
        await asyncio.sleep(0.9)
        for number in range(20):
            await self.send_request("GET", f"/read/{number}")
        self.assertGreater(len(self.plain[0].requests), 1)

    async def test_request_waits_for_the_end_of_a_short_pause(self) -> None:
        """Guards against refusals of what can still be served in time."""
        for target in self.plain:
            self.pause(target, "0.4")
        await self.send_request("GET", "/read/1")
        for target in self.plain:
            target.answer = target_standin.answer_normally
        answer = await self.send_request("GET", "/read/2")
        self.assertEqual(answer.status, 200)

    async def test_request_that_no_target_wants_is_refused_at_once(
        self,
    ) -> None:
        """Guards against a Retry-After that ends within the pause."""
        for target in self.plain:
            self.pause(target, "20")
        await self.send_request("GET", "/read/1")
        loop = asyncio.get_running_loop()
        start = loop.time()
        answer = await self.send_request("POST", "/pay/1", body=b"x")
        self.assertLess(loop.time() - start, 0.5)
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 18.0)
        self.assertEqual(sum(len(item.runs) for item in self.plain), 0)

    async def test_requests_return_one_by_one_after_a_pause(self) -> None:
        """Guards against all held requests at the moment that a pause ends."""
        arrivals = []

        async def run(
            target: target_standin.Target,
            request: wire.Request,
            writer: asyncio.StreamWriter,
        ) -> None:
            arrivals.append(asyncio.get_running_loop().time())
            await asyncio.sleep(0.1)
            await target_standin.answer_normally(target, request, writer)

        for target in self.plain:
            self.pause(target, "0.5")
        await self.send_request("GET", "/read/1")
        for target in self.plain:
            target.answer = run
        answers = await asyncio.gather(
            *(self.send_request("GET", f"/read/{item}") for item in range(10))
        )
        self.assertEqual({item.status for item in answers}, {200})
        first = min(arrivals)
        self.assertLessEqual(sum(at < first + 0.08 for at in arrivals), 2)


class ChangedEntryLogTest(fleet.FleetTest):
    """What the log says of a target whose entry changes."""

    async def test_log_says_what_the_target_had_asked_for(self) -> None:
        """Guards against a forgotten pause that no log shows."""
        target = self.plain[0]
        target.answer = target_standin.reject(
            503, {"Not-Run": "1", "Retry-After": "3"}
        )
        known = self.services[0].state.targets.targets
        while known[target.id].paused_until < 0:
            await self.send_request("GET", "/read/1")
        with self.assertLogs("mothpass.state", "INFO") as logs:
            entry = target.encode_entry("plain", slots=9)
            self.store.put("servers", target.id, entry)
            await self.wait_for(
                lambda: known[target.id].registration.slots == 9
            )
        (fields,) = [
            record.__dict__["fields"]
            for record in logs.records
            if record.getMessage() == "target_changed"
        ]
        self.assertFalse(fields["is_new"])
        self.assertFalse(fields["leaving"])
        self.assertGreater(fields["paused_ms"], 1000)


class ForgottenNoticesTest(fleet.FleetTest):
    """What a target said, while its entry goes and comes back."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.target = self.plain[0]
        self.known = self.services[0].state.targets.targets
        self.entry = self.target.encode_entry("plain")

    async def take_entry_away(self) -> None:
        """Removes the entry and writes it again for the same start."""
        self.store.remove("servers", self.target.id)
        await self.wait_for(lambda: self.target.id not in self.known)
        await self.put_entry_back()

    async def tear_entry(self) -> None:
        """Spoils the entry and writes it again for the same start."""
        self.store.put("servers", self.target.id, {"service": 7})
        await self.wait_for(lambda: self.target.id not in self.known)
        await self.put_entry_back()

    async def put_entry_back(self) -> None:
        self.store.put("servers", self.target.id, self.entry)
        await self.wait_for(lambda: self.target.id in self.known)

    async def send_until_asked(self) -> None:
        """Sends requests until the target has refused or answered one."""
        while not self.target.requests:
            await self.send_request("GET", "/read/1")

    async def check_left_alone(self) -> None:
        """Checks that the target gets nothing more."""
        arrived = len(self.target.requests)
        for _ in range(20):
            answer = await self.send_request("GET", "/read/1")
            self.assertEqual(answer.status, 200)
        self.assertEqual(len(self.target.requests), arrived)

    async def pause(self) -> None:
        """Makes the target ask for a pause."""
        self.target.answer = target_standin.reject(
            503, {"Not-Run": "1", "Retry-After": "5"}
        )
        await self.send_until_asked()

    async def test_pause_outlives_an_entry_that_was_missing(self) -> None:
        """Guards against a pause that ends with the registration."""
        await self.pause()
        await self.take_entry_away()
        await self.check_left_alone()

    async def test_pause_outlives_an_entry_that_was_torn(self) -> None:
        """Guards against the same where another writer spoils the entry."""
        await self.pause()
        await self.tear_entry()
        await self.check_left_alone()

    async def test_departure_outlives_an_entry_that_was_missing(self) -> None:
        """Guards against requests to a target that said that it leaves."""
        self.target.extra_headers = {"Server-Leaving": "1"}
        await self.send_until_asked()
        await self.take_entry_away()
        await self.check_left_alone()

    async def test_request_under_way_is_not_sent_into_a_pause(self) -> None:
        """Guards against a target that is chosen before its pause began."""
        self.store.remove("servers", self.plain[1].id)
        await self.wait_for(lambda: self.plain[1].id not in self.known)
        self.target.answer = _refuse_late
        sending = [asyncio.ensure_future(self.send_request("GET", "/read/1"))]
        await self.wait_for(lambda: bool(self.target.requests))
        self.pools[0].connect_delay_s = 0.25
        sending.append(
            asyncio.ensure_future(
                self.send_request("POST", "/pay/1", body=b"x")
            )
        )
        answers = await asyncio.gather(*sending)
        self.assertEqual({item.status for item in answers}, {503})
        self.assertEqual(len(self.target.requests), 1)


async def _refuse_late(
    target: target_standin.Target,
    request: wire.Request,
    writer: asyncio.StreamWriter,
) -> None:
    """Asks for a pause a tenth of a second after the request."""
    await asyncio.sleep(0.1)
    refuse = target_standin.reject(503, {"Not-Run": "1", "Retry-After": "5"})
    await refuse(target, request, writer)
