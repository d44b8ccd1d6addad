"""Tests of the catalogue with three daemon processes and a table service."""

import threading
import time
import typing
import unittest

from tests import deployments
from tests import http_calls
from tests import processes


class CatalogueTest(unittest.TestCase):
    """Tests changes of the catalogue in one shared deployment."""

    deployment: typing.ClassVar[deployments.Deployment]
    started: typing.ClassVar[int]

    @classmethod
    def setUpClass(cls) -> None:
        opened = processes.open_class_processes(cls)
        cls.deployment = deployments.Deployment(started=opened)
        cls.deployment.add_service("s1")
        for name in ("d1", "d2", "d3"):
            cls.deployment.add_daemon(name)
        cls.deployment.wait_ready()
        cls.started = 3

    def setUp(self) -> None:
        self.addCleanup(self.deployment.table.clear_faults)

    def read_catalogue(self, daemon: str) -> dict[str, typing.Any]:
        """Returns the catalogue in force on a daemon, with its version."""
        answer = self.deployment.call_operator_api(
            daemon, "GET", "/v1/catalogue"
        )
        return typing.cast(dict[str, typing.Any], answer.decode())

    def take_instance_out(self, daemon: str, instance: str) -> int:
        """Takes an instance out; returns the version with that change."""
        answer = self.deployment.call_operator_api(
            daemon, "POST", f"/v1/instances/{instance}/out", {"author": "t"}
        )
        self.assertEqual(answer.status, http_calls.OK, answer.body)
        return typing.cast(int, answer.decode()["version"])

    def wait_in_force(self, version: int, *daemons: str) -> None:
        """Waits until a version is in force on daemons."""
        processes.wait_until(
            lambda: all(
                self.read_catalogue(x).get("version") == version
                for x in daemons
            )
        )

    def start_daemon(self) -> str:
        """Starts another daemon; returns its name once it is ready."""
        type(self).started += 1
        name = f"d{self.started}"
        self.deployment.add_daemon(name)
        self.deployment.wait_ready()
        return name

    def test_change_comes_into_force_everywhere(self) -> None:
        version = self.take_instance_out("d1", "spread")
        self.wait_in_force(version, "d1", "d2", "d3")

    def test_change_reaches_all_through_peers_when_the_store_goes_down(
        self,
    ) -> None:
        version = self.take_instance_out("d2", "through-peers")
        self.deployment.table.set_faults(down=True)
        self.wait_in_force(version, "d1", "d2", "d3")

    def test_daemon_started_in_an_outage_serves_the_newest_version(
        self,
    ) -> None:
        version = self.take_instance_out("d3", "before-outage")
        self.wait_in_force(version, "d1", "d2", "d3")
        self.deployment.table.set_faults(down=True)
        name = self.start_daemon()
        self.assertEqual(self.read_catalogue(name)["version"], version)

    def test_change_in_an_outage_is_rejected(self) -> None:
        version = self.read_catalogue("d1")["version"]
        self.deployment.table.set_faults(down=True)
        answer = self.deployment.call_operator_api(
            "d1", "POST", "/v1/instances/refused/out", {"author": "t"}
        )
        error = typing.cast(dict[str, object], answer.decode()["error"])
        self.assertEqual(
            (answer.status, error["ran"]), (503, "no"), answer.body
        )
        self.assertEqual(self.read_catalogue("d1")["version"], version)

    def test_change_is_accepted_once_despite_lost_answers(self) -> None:
        # The fault may also hit a poll of another daemon, so the change is sent
        # until it succeeds, as an operator would do.
        status = 0
        while status != http_calls.OK:
            self.deployment.table.set_faults(lose_answers=2)
            path = "/v1/instances/lost-answers/out"
            answer = self.deployment.call_operator_api(
                "d1", "POST", path, {"author": "t"}
            )
            status = answer.status
        self.deployment.table.clear_faults()
        answer = self.deployment.call_operator_api(
            "d1", "GET", "/v1/history?limit=99"
        )
        changes = typing.cast(list[dict[str, str]], answer.decode()["changes"])
        found = [x for x in changes if "lost-answers" in x["summary"]]
        self.assertEqual(len(found), 1)

    def test_concurrent_edits_are_all_accepted(self) -> None:
        names = ("d1", "d2", "d3")
        versions: list[int] = []

        def take_out_one(daemon: str) -> None:
            versions.append(self.take_instance_out(daemon, f"race-{daemon}"))

        threads = [
            threading.Thread(target=take_out_one, args=(x,)) for x in names
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(len(set(versions)), len(names))
        self.wait_in_force(max(versions), *names)
        out = self.read_catalogue("d2")["catalogue"]["instances_out"]
        self.assertLessEqual({f"race-{x}" for x in names}, set(out))


class FirstStartTest(unittest.TestCase):
    """Tests a fleet that starts while the store is down."""

    def test_daemon_is_not_ready_until_the_store_answers(self) -> None:
        deployment = deployments.Deployment(
            started=processes.open_processes(self)
        )
        deployment.add_service("s1")
        first = deployment.add_daemon("d1")
        deployment.wait_ready()
        deployment.call_operator_api(
            "d1", "POST", "/v1/instances/e1/out", {"author": "t"}
        )
        first.kill()
        deployment.table.set_faults(down=True)
        threading.Timer(2.0, deployment.table.clear_faults).start()
        started_at = time.monotonic()
        deployment.add_daemon("d2")
        deployment.wait_ready()
        self.assertGreater(time.monotonic() - started_at, 1.0)
        answer = deployment.call_operator_api("d2", "GET", "/v1/catalogue")
        self.assertEqual(answer.decode()["version"], 2)


if __name__ == "__main__":
    unittest.main()
