"""Tests of streams at targets of several software versions."""

import asyncio
import re

from mothpass.core import stream_origins
from tests.platform import fleet
from tests.platform import target_standin
from tests.platform import wire

_VERSIONS = ("v1", "v1.1", "v2")
_STREAMS = 12


def list_versions(body: bytes) -> set[str]:
    """Returns the versions that wrote the events of a stream."""
    return {
        (match[1] or b"v1").decode()
        for match in re.finditer(rb"data: part \d+(?: of (\S+))?", body)
    }


def find_last_id(body: bytes) -> int:
    """Returns the id of the last event."""
    return int(re.findall(rb"id: (\d+)", body)[-1])


class _VersionsTest(fleet.FleetTest):
    """Base class: two targets of each of three versions, some daemons."""

    daemons = 2
    versions: tuple[str, ...] = _VERSIONS

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for target in self.models:
            self.store.remove("servers", target.id)
        self.models = [
            await self.add_target("models", version)
            for version in self.versions
            for _ in range(2)
        ]
        await self.wait_for(self.has_all_targets)

    def has_all_targets(self) -> bool:
        """Returns whether each daemon has just these targets and peers."""
        ids = {target.id for target in (*self.models, *self.plain)}
        return all(
            service.state.targets.targets.keys() == ids
            and len(service.fleet_sync.list_peer_ids())
            == len(self.services) - 1
            for service in self.services
        )

    async def send_chat(
        self, number: int, daemon: int, **fields: str
    ) -> tuple[str, wire.Answer]:
        """Sends a model request; returns its id and the answer."""
        headers = self.make_chat_headers(**fields)
        headers["Prompt-Prefix"] = f"{number:x}a:80,bb:30,cc:10"
        answer = await self.send_request(
            "POST", "/chat/1", headers, b"x", daemon
        )
        return headers["Attempt-Id"], answer

    async def interrupt_streams(self, daemon: int) -> dict[str, wire.Answer]:
        """Begins streams of which no target gets further than one event."""
        for target in self.models:
            target.answer = target_standin.break_stream(1)
        interrupted = dict(
            [await self.send_chat(n, daemon) for n in range(_STREAMS)]
        )
        for target in self.models:
            target.answer = target_standin.answer_normally
        return interrupted

    async def take_up(
        self, began_as: str, begun: wire.Answer, daemon: int, number: int
    ) -> wire.Answer:
        """Takes a stream up as its client does."""
        position = str(find_last_id(begun.body))
        _, answer = await self.send_chat(
            number, daemon, Last_Event_Id=position, Resumes=began_as
        )
        return answer

    async def check_taken_up(
        self, interrupted: dict[str, wire.Answer], daemon: int
    ) -> int:
        """Takes streams up and checks their versions.

        Returns:
            How many streams went on.
        """
        served = 0
        for number, (began_as, begun) in enumerate(interrupted.items()):
            # Another prompt part, so that it is placed anew.
            answer = await self.take_up(
                began_as, begun, daemon, number + _STREAMS
            )
            versions = list_versions(begun.body + answer.body)
            self.assertEqual(len(versions), 1, versions)
            served += answer.status == 200 and answer.is_whole
        return served


class StreamLogsTest(_VersionsTest):
    """What the logs say of streams and versions."""

    daemons = 1

    async def test_logs_name_the_version_and_where_a_stream_began(self) -> None:
        began_as, _ = await self.send_chat(1, 0)
        with self.assertLogs("mothpass.requests", "INFO") as logs:
            await self.send_chat(1, 0, Last_Event_Id="1", Resumes=began_as)
        fields = {
            record.getMessage(): record.__dict__["fields"]
            for record in logs.records
        }
        self.assertEqual(fields["request"]["began_as"], began_as)
        self.assertEqual(fields["request"]["position"], 1)
        self.assertIn(fields["attempt"]["software"], _VERSIONS)


class WithinDaemonTest(_VersionsTest):
    """Streams that break while a daemon forwards them."""

    daemons = 1

    async def test_broken_stream_goes_on_at_the_version_that_began_it(
        self,
    ) -> None:
        """Guards against answers that two software versions wrote."""
        for target in self.models:
            target.answer = _break_first_run
        answers = [await self.send_chat(n, 0) for n in range(_STREAMS)]
        for _, answer in answers:
            self.assertEqual(answer.status, 200)
            self.assertEqual(len(list_versions(answer.body)), 1, answer.body)
        resumed = [
            item
            for target in self.models
            for item in target.requests
            if "last-event-id" in item.headers
        ]
        self.assertTrue(resumed)
        self.assertTrue(any(item.is_whole for _, item in answers))


class AcrossDaemonsTest(_VersionsTest):
    """Streams that clients take up at other daemons."""

    async def test_stream_taken_up_elsewhere_goes_on_at_its_version(
        self,
    ) -> None:
        """Guards against streams that go on at another software version."""
        interrupted = await self.interrupt_streams(0)
        await asyncio.sleep(0.5)
        served = await self.check_taken_up(interrupted, 1)
        self.assertEqual(served, _STREAMS)

    async def test_stream_taken_up_at_a_daemon_that_has_just_started(
        self,
    ) -> None:
        """Guards against a start that forgets which version began a stream."""
        interrupted = await self.interrupt_streams(0)
        await asyncio.sleep(0.5)
        await self.add_daemon(2)
        await self.wait_for(self.has_all_targets)
        served = await self.check_taken_up(interrupted, 2)
        self.assertEqual(served, _STREAMS)

    async def test_stream_of_a_daemon_that_is_gone_goes_on(self) -> None:
        """Guards against an origin that only the daemon itself had."""
        interrupted = await self.interrupt_streams(0)
        await asyncio.sleep(0.5)
        await self.services.pop(0).close()
        self.addresses.pop(0)
        served = await self.check_taken_up(interrupted, 0)
        self.assertEqual(served, _STREAMS)

    async def test_stream_whose_version_is_unknown_is_refused_at_once(
        self,
    ) -> None:
        """Guards against a guess at the version of a stream."""
        _, answer = await self.send_chat(
            1, 0, Last_Event_Id="1", Resumes="nobody-knows"
        )
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.assertFalse(any(target.runs for target in self.models))

    async def test_stream_whose_version_is_gone_is_refused_at_once(
        self,
    ) -> None:
        """Guards against a wait for a version that no target has."""
        interrupted = await self.interrupt_streams(0)
        await asyncio.sleep(0.5)
        gone = [item for item in self.models if item.version == "v1"]
        for target in gone:
            self.store.remove("servers", target.id)
        self.models = [item for item in self.models if item not in gone]
        await self.wait_for(self.has_all_targets)
        for number, (began_as, begun) in enumerate(interrupted.items()):
            answer = await self.take_up(began_as, begun, 1, number)
            expected = 503 if list_versions(begun.body) == {"v1"} else 200
            self.assertEqual(answer.status, expected)


class OneVersionTest(_VersionsTest):
    """Targets of one version."""

    versions = ("v1", "v1")

    async def test_stream_of_unknown_origin_goes_on_at_the_only_version(
        self,
    ) -> None:
        """Guards against refusals while all targets fit together."""
        for began_as in ("nobody-knows", ""):
            _, answer = await self.send_chat(
                1, 0, Last_Event_Id="1", Resumes=began_as
            )
            self.assertEqual(answer.status, 200)

    async def test_unknown_stream_is_refused_after_another_version_has_left(
        self,
    ) -> None:
        """Guards against a start that hides which versions served before."""
        other = await self.add_target("models", "v2")
        self.models.append(other)
        await self.wait_for(self.has_all_targets)
        self.store.remove("servers", other.id)
        self.models.remove(other)
        await self.wait_for(self.has_all_targets)
        await self.add_daemon(2)
        await self.wait_for(self.has_all_targets)
        _, answer = await self.send_chat(
            1, 2, Last_Event_Id="1", Resumes="nobody-knows"
        )
        self.assertEqual(answer.status, 503)

    async def test_daemon_that_is_cut_off_guesses_no_version(self) -> None:
        """Guards against a version that a daemon hasn't heard of."""
        self.store.is_silent = True
        for service in self.services:
            service.fleet_sync.close()
        await asyncio.sleep(2.5)
        _, answer = await self.send_chat(
            1, 0, Last_Event_Id="1", Resumes="nobody-knows"
        )
        self.assertEqual(answer.status, 503)
        _, answer = await self.send_chat(2, 0)
        self.assertEqual(answer.status, 200)


class LostFleetTest(_VersionsTest):
    """Streams that clients take up after the loss of all daemons."""

    daemons = 3

    async def lose_all_daemons(self, replaced_by: str = "") -> None:
        """Ends all daemons and starts them again.

        Args:
            replaced_by: Version by which all targets of models are replaced in
                the meantime, "" for none.
        """
        # The store has been told of the streams by then.
        await asyncio.sleep(1.5)
        for service in self.services:
            await service.close()
        if replaced_by:
            for target in self.models:
                self.store.remove("servers", target.id)
            self.models = [
                await self.add_target("models", replaced_by) for _ in range(2)
            ]
        self.services.clear()
        self.addresses.clear()
        self.pools.clear()
        for number in range(self.daemons):
            await self.add_daemon(number)
        await self.wait_for(self.has_all_targets)

    async def test_streams_go_on_at_their_versions(self) -> None:
        """Guards against daemons that know of no stream before their start."""
        interrupted = await self.interrupt_streams(0)
        await self.lose_all_daemons()
        served = await self.check_taken_up(interrupted, 1)
        self.assertEqual(served, _STREAMS)

    async def test_streams_go_on_after_a_second_loss(self) -> None:
        """Guards against memory that the first start overwrites."""
        interrupted = await self.interrupt_streams(0)
        await self.lose_all_daemons()
        await self.lose_all_daemons()
        served = await self.check_taken_up(interrupted, 2)
        self.assertEqual(served, _STREAMS)


class LostVersionTest(LostFleetTest):
    """The same where the only version is replaced in the meantime."""

    versions = ("v1",)

    async def test_stream_does_not_go_on_at_the_version_that_follows(
        self,
    ) -> None:
        """Guards against a version that is the only one after the loss."""
        interrupted = await self.interrupt_streams(0)
        await self.lose_all_daemons("v1.1")
        self.assertEqual(await self.check_taken_up(interrupted, 1), 0)
        _, answer = await self.send_chat(1, 0)
        self.assertEqual(answer.status, 200)


class SplitRouteTest(_VersionsTest):
    """A route whose streams two services share."""

    versions = ("v1", "v1")

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        document = fleet.make_document(version=2)
        routes = document["routes"]
        assert isinstance(routes, list)
        shares = [{"service": name, "weight": 1} for name in ("models", "more")]
        routes.append(
            fleet.make_route(
                "chat", "stream", streamResume=True, trafficSplit=shares
            )
        )
        document["routes"] = routes[-1:]
        self.models += [await self.add_target("more") for _ in range(2)]
        self.store.put("op", "config", document)
        await self.wait_for_version(2)
        await self.wait_for(self.has_all_targets)

    async def send_chat(
        self, number: int, daemon: int, **fields: str
    ) -> tuple[str, wire.Answer]:
        """Sends a model request without prompt parts that can be read."""
        del number
        headers = self.make_chat_headers(**fields)
        headers["Prompt-Prefix"] = "unread"
        answer = await self.send_request(
            "POST", "/chat/1", headers, b"x", daemon
        )
        return headers["Attempt-Id"], answer

    async def test_stream_goes_on_at_the_service_that_began_it(self) -> None:
        """Guards against a split that is drawn anew for the rest."""
        interrupted = await self.interrupt_streams(0)
        await asyncio.sleep(0.5)
        served = await self.check_taken_up(interrupted, 1)
        self.assertEqual(served, _STREAMS)


async def _break_first_run(
    target: target_standin.Target,
    request: wire.Request,
    writer: asyncio.StreamWriter,
) -> None:
    """Breaks the first run of a request off after an event."""
    is_first = "last-event-id" not in request.headers
    script = (
        target_standin.break_stream(1)
        if is_first
        else target_standin.answer_normally
    )
    await script(target, request, writer)


class OutOfStepTest(_VersionsTest):
    """Streams of a version that joins while a daemon is out of step."""

    daemons = 2
    versions = ("v1", "v1")

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.endpoint = await self.store.open_endpoint()
        await self.add_daemon(2, self.endpoint.address)
        await self.wait_for(self.has_all_targets)
        # They have run for long enough to know that there was one version.
        since = (
            asyncio.get_running_loop().time() - 2 * stream_origins.LIFETIME_S
        )
        for service in self.services:
            service.state.versions.record_start(since)

    def cut_off_from_store(self) -> None:
        """Makes the store silent for the last daemon."""
        self.endpoint.is_silent = True

    def cut_off_from_peers(self) -> None:
        """Cuts the last daemon off from all others."""
        self.services[2].fleet_sync._gossip.close()
        peers = [item.fleet_sync.address for item in self.services]
        self.pools[2].cut(peers[:2], fleet.Cut.SILENT)
        for pool in self.pools[:2]:
            pool.cut(peers[2:], fleet.Cut.SILENT)

    async def check_streams(self) -> int:
        """Lets a version join; its streams are taken up at the last daemon.

        Returns:
            How many streams went on.
        """
        joined = [await self.add_target("models", "v2") for _ in range(4)]
        await self.wait_for(
            lambda: joined[-1].id in self.services[0].state.targets.targets
        )
        for target in (*self.models, *joined):
            target.answer = target_standin.stream(4, pause_s=0.05)
        taken_up = served = 0
        for number in range(2 * _STREAMS):
            began_as, begun = await self.begin_stream(number)
            if list_versions(begun.body) == {"v2"}:
                # At once, often before the others have told of it.
                taken_up += 1
                served += await self.check_taken_up({began_as: begun}, 2)
        self.assertGreater(taken_up, 0)
        return served

    async def begin_stream(self, number: int) -> tuple[str, wire.Answer]:
        """Leaves a stream of the first daemon after its first event."""
        headers = self.make_chat_headers()
        headers["Prompt-Prefix"] = f"{number:x}a:80,{number:x}b:30,cc:10"
        client = await wire.Client.connect(self.addresses[0])
        client.send("POST", "/chat/1", headers, b"x")
        begun = await client.read_head()
        begun.body = await client.read_event()
        client.close()
        return headers["Attempt-Id"], begun

    async def test_daemon_in_step_takes_them_up_at_once(self) -> None:
        """Guards against a version that a daemon is about to hear of."""
        self.assertGreater(await self.check_streams(), 0)

    async def test_daemon_without_the_store_asks_others(self) -> None:
        """Guards against a version that the store knows of."""
        self.cut_off_from_store()
        self.assertGreater(await self.check_streams(), 0)

    async def test_daemon_without_peers_asks_the_store(self) -> None:
        """Guards against a version that only others know of."""
        self.cut_off_from_peers()
        await self.check_streams()

    async def test_version_that_came_and_went_unseen_is_no_other(self) -> None:
        """Guards against a stream of a version that only others have seen."""
        await self.check_unseen_version(drops_history=False)

    async def test_version_of_a_dropped_history_is_no_other(self) -> None:
        """Guards against the same where the store has dropped its removal."""
        await self.check_unseen_version(drops_history=True)
        self.assertIn("/-/rows-get", self.endpoint.calls)

    async def check_unseen_version(self, *, drops_history: bool) -> None:
        """Takes a stream up whose version came and went during a cut-off.

        Args:
            drops_history: Whether the store drops its history by then.
        """
        # A daemon that has run for long reads no memory of earlier ones.
        self.services[2]._stream_memory._started_at = float("-inf")
        self.cut_off_from_store()
        self.cut_off_from_peers()
        joined = await self.add_target("models", "v2")
        await self.wait_for(
            lambda: joined.id in self.services[0].state.targets.targets
        )
        self.store.remove("servers", joined.id)
        if drops_history:
            self.store.drop_history()
        self.endpoint.calls.clear()
        self.endpoint.is_silent = False
        # The last daemon reads the store again.
        last = self.services[2].fleet_sync
        for _ in range(150):
            if await last.confirm_targets():
                break
            await asyncio.sleep(0.1)
        _, answer = await self.send_chat(
            1, 2, Last_Event_Id="1", Resumes="begun-at-v2"
        )
        self.assertEqual(answer.status, 503)

    async def test_daemon_without_both_refuses(self) -> None:
        """Guards against a guess before a daemon notices that it is cut off."""
        self.cut_off_from_store()
        self.cut_off_from_peers()
        self.assertEqual(await self.check_streams(), 0)
