"""Tests of entries that another writer left among those of the targets."""

import asyncio
import json
import typing
import unittest
from unittest import mock

from mothpass.adapters import http_pool
from mothpass.core import errors
from mothpass.core import target_table
from mothpass.platform import members
from mothpass.relay import gossip
from mothpass.relay import request_queues
from tests.platform import fleet

_ENTRY = {
    "service": "plain",
    "addr": "127.0.0.1:9",
    "zone": "zone-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "seq": 1,
    "born": 1000,
}
_WHOLE = json.dumps(_ENTRY)[:-1].encode()
_DEPTH = 3000


def _change(**fields: object) -> bytes:
    return json.dumps(_ENTRY | fields).encode()


# By what is odd about them.
_ODD = {
    "lists that break off": b'{"x":' + b"[" * 4000,
    "nested lists": b"[" * _DEPTH + b"]" * _DEPTH,
    "a whole entry with nested lists": _WHOLE
    + b',"x":'
    + b"[" * _DEPTH
    + b"]" * _DEPTH
    + b"}",
    "a whole entry with nested objects": _WHOLE
    + b',"x":'
    + b'{"x":' * _DEPTH
    + b"1"
    + b"}" * _DEPTH
    + b"}",
    "port out of range": _change(addr="127.0.0.1:70000"),
    "port of 400 digits": _change(addr="127.0.0.1:" + "7" * 400),
    "port of other digits": _change(addr="127.0.0.1:\u0667\u0667"),
    "port 0": _change(addr="127.0.0.1:0"),
    "address with a line break": _change(addr="127.0.0.1\r\nx: y:80"),
    "slots of 400 digits": _change(slots=10**400),
    "negative slots": _change(slots=-1),
    "start above 64 bits": _change(born=2**70),
    "cold for ever": _WHOLE.replace(b'"coldLeftMs": 0', b'"coldLeftMs": 1e300')
    + b"}",
    "number of 5,000 digits": _WHOLE.replace(
        b'"slots": 8', b'"slots": ' + b"8" * 5000
    )
    + b"}",
    "no UTF-8": b'{"service":"\xff"}',
    "nothing": b"",
}


class DecodeTest(unittest.TestCase):
    """One odd entry at a time."""

    def test_odd_entries_raise_one_error(self) -> None:
        """Guards against readers that end with an undeclared error."""
        for name, raw in _ODD.items():
            with (
                self.subTest(name),
                self.assertRaises(errors.MalformedInputError),
            ):
                members.decode_entry("i-1", raw)

    def test_id_that_breaks_a_header_is_no_target(self) -> None:
        for key in ("i-1\r\nx: y", "i 1", "\u00ef-1", ""):
            with (
                self.subTest(key),
                self.assertRaises(errors.MalformedInputError),
            ):
                members.decode_entry(key, _change())

    def test_odd_entries_are_as_old_as_any(self) -> None:
        for name, raw in _ODD.items():
            with self.subTest(name):
                self.assertEqual(members.compare_values("a", raw, _change()), 0)


class FollowingTest(fleet.FleetTest):
    """Daemons beside odd entries of all kinds."""

    daemons = 2

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # All daemons follow both tables.
        await self.wait_for(
            lambda: len(self.store.waiting_calls) == 2 * self.daemons
        )
        for number, raw in enumerate(_ODD.values()):
            # Sorted before and after those of the targets.
            self.store.put("servers", f"a-{number}", raw)
            self.store.put("servers", f"z-{number}", raw)
        await asyncio.sleep(0.3)

    async def check_service(self, daemon: int) -> None:
        """Checks that requests are served, and none by a drained target."""
        leaving = self.plain[0]
        await self.drain_target(leaving, 2.0)
        before = len(leaving.requests)
        for number in range(20):
            for path in ("/read", "/pay"):
                answer = await self.send_request(
                    "POST", f"{path}/{number}", daemon=daemon
                )
                self.assertEqual(answer.status, 200)
        self.assertEqual(len(leaving.requests), before)

    async def test_targets_are_followed_beside_odd_entries(self) -> None:
        """Guards against daemons that stop following the targets unseen."""
        await self.check_service(0)

    async def test_daemon_that_starts_beside_odd_entries_serves(self) -> None:
        """Guards against daemons that are ready and know no target."""
        await self.add_daemon(2)
        await self.check_service(2)

    async def test_address_that_can_not_exist_is_out_of_reach(
        self,
    ) -> None:
        """Guards against requests that end with the error of a connect."""
        for address in ("127.0.0.1:70000", "127.0.0.1:" + "7" * 400, "\x00:80"):
            with (
                self.subTest(address[:20]),
                self.assertRaises(errors.TargetUnreachableError),
            ):
                await self.pools[0].acquire(address, fresh=True)


class FailingRowsTest(fleet.FleetTest):
    """Rows that decode and fail where they are applied."""

    async def test_other_rows_of_the_page_are_applied(self) -> None:
        """Guards against one row that keeps the rest from being applied."""
        [service] = self.services
        await self.wait_until_followed()
        decode = service.state._decode_entry

        def fail(key: str, raw: bytes) -> target_table.Registration:
            if key == "a-odd":
                raise ZeroDivisionError("odd")
            return decode(key, raw)

        service.state._decode_entry = fail
        # One answer of the change feed has all of these.
        self.store.put("servers", "a-odd", _change())
        added = await self.add_target("plain")
        with self.assertLogs("mothpass.state", "ERROR"):
            await self.wait_for(
                lambda: added.id in service.state.targets.targets, 2.0
            )


class EndedTasksTest(fleet.FleetTest):
    """Tasks of a daemon that end by a fault."""

    async def test_each_task_starts_again_and_keeps_its_promise(self) -> None:
        """Guards against tasks on which a promise rests and that end unseen."""
        [service] = self.services
        await self.wait_until_followed()
        for owner, name in (
            (request_queues.RequestQueues, "dispatch_queued"),
            (http_pool.ConnectionPool, "prune"),
            (gossip.Gossip, "tick"),
        ):
            failing = _fail_times(getattr(owner, name), 2)
            patch = mock.patch.object(owner, name, failing)
            patch.start()
            self.addCleanup(patch.stop)
        ports = service.fleet_sync._ports
        for replica in service.fleet_sync._replicas.values():
            replica._follow = _fail_times(ports.follow_table, 1)
        leaving = self.plain[0]
        with self.assertLogs("mothpass.tasks", "ERROR") as logs:
            # The next calls of the change feed fail once these are applied.
            self.store.put("op", "config", fleet.make_document(version=2))
            self.store.put("servers", leaving.id, leaving.encode_entry("plain"))
            await asyncio.sleep(1.2)
        entry = leaving.encode_entry("plain", state="draining", seq=2)
        self.store.put("servers", leaving.id, entry)
        self.store.put("op", "config", fleet.make_document(version=3))
        await self.wait_for_version(3)
        targets = service.state.targets.targets
        await self.wait_for(
            lambda: targets[leaving.id].registration.is_draining, 2.0
        )
        answer = await self.send_request("GET", "/read/1")
        self.assertEqual(answer.status, 200)
        failed = {getattr(item, "fields")["task"] for item in logs.records}  # noqa: B009
        tasks = {"replica op", "replica servers", "dispatch", "gossip"}
        self.assertEqual(failed, tasks | {"housekeeping"})
        metrics = service._metrics.render().decode()
        self.assertIn('task_failures_total{task="gossip"}', metrics)


def _fail_times(function: typing.Any, times: int) -> typing.Any:
    """Returns a function that fails at its first calls."""
    left = times

    def run(*args: object, **kwargs: object) -> object:
        nonlocal left
        if left:
            left -= 1
            raise RuntimeError("injected")
        return function(*args, **kwargs)

    return run


if __name__ == "__main__":
    unittest.main()
