"""Tests of streams at targets of several software versions."""

import asyncio
import re

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
        with self.assertLogs("mothpass.requests", "INFO") as logs:
            await self.send_chat(1, 0, Last_Event_Id="1", Resumes="abc")
        fields = {
            record.getMessage(): record.__dict__["fields"]
            for record in logs.records
        }
        self.assertEqual(fields["request"]["began_as"], "abc")
        self.assertEqual(fields["request"]["position"], 1)
        self.assertIn(fields["attempt"]["software"], _VERSIONS)
