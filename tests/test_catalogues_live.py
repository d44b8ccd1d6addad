"""The catalogue over real processes: three daemons and the table service."""

import threading
import time
import typing
import unittest

from tests import deployments
from tests import http_calls
from tests import processes


class CatalogueTest(unittest.TestCase):
    """Each test changes the catalogue of one running deployment."""

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

    def read(self, daemon: str) -> dict[str, typing.Any]:
        """Returns the catalogue in force on a daemon, with its version."""
        answer = self.deployment.call_operator_api(
            daemon, "GET", "/v1/catalogue"
        )
        return typing.cast(dict[str, typing.Any], answer.decode())

    def take_out(self, daemon: str, instance: str) -> int:
        """Takes an instance out; returns the version in which it is."""
        answer = self.deployment.call_operator_api(
            daemon, "POST", f"/v1/instances/{instance}/out", {"author": "t"}
        )
        self.assertEqual(answer.status, http_calls.OK, answer.body)
        return typing.cast(int, answer.decode()["version"])

    def wait_in_force(self, version: int, *daemons: str) -> None:
        """Waits for a version on daemons."""
        processes.wait_until(
            lambda: all(self.read(x).get("version") == version for x in daemons)
        )

    def start_daemon(self) -> str:
        """Starts another daemon; returns its name once it is ready."""
        type(self).started += 1
        name = f"d{self.started}"
        self.deployment.add_daemon(name)
        self.deployment.wait_ready()
        return name

    def test_change_comes_into_force_everywhere(self) -> None:
        version = self.take_out("d1", "spread")
        self.wait_in_force(version, "d1", "d2", "d3")

    def test_change_reaches_all_through_peers_when_the_store_goes_down(
        self,
    ) -> None:
        version = self.take_out("d2", "through-peers")
        self.deployment.table.set_faults(down=True)
        self.wait_in_force(version, "d1", "d2", "d3")

    def test_daemon_that_starts_in_an_outage_serves_the_newest_version(
        self,
    ) -> None:
        version = self.take_out("d3", "before-outage")
        self.wait_in_force(version, "d1", "d2", "d3")
        self.deployment.table.set_faults(down=True)
        name = self.start_daemon()
        self.assertEqual(self.read(name)["version"], version)

    def test_change_in_an_outage_is_refused_and_not_in_force(self) -> None:
        version = self.read("d1")["version"]
        self.deployment.table.set_faults(down=True)
        answer = self.deployment.call_operator_api(
            "d1", "POST", "/v1/instances/refused/out", {"author": "t"}
        )
        error = typing.cast(dict[str, object], answer.decode()["error"])
        self.assertEqual(
            (answer.status, error["ran"]), (503, "no"), answer.body
        )
        self.assertEqual(self.read("d1")["version"], version)

    def test_lost_answers_accept_a_change_once(self) -> None:
        # Any call of the store may meet the fault, also a poll of another
        # daemon; so the operator asks until it is done, as a person would.
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

    def test_operators_who_race_all_get_their_change(self) -> None:
        names = ("d1", "d2", "d3")
        versions: list[int] = []

        def race(daemon: str) -> None:
            versions.append(self.take_out(daemon, f"race-{daemon}"))

        threads = [threading.Thread(target=race, args=(x,)) for x in names]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(len(set(versions)), len(names))
        self.wait_in_force(max(versions), *names)
        out = self.read("d2")["catalogue"]["instances_out"]
        self.assertLessEqual({f"race-{x}" for x in names}, set(out))


class FirstStartTest(unittest.TestCase):
    """A fleet that starts while the store is down knows no version."""

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
        begun = time.monotonic()
        deployment.add_daemon("d2")
        deployment.wait_ready()
        self.assertGreater(time.monotonic() - begun, 1.0)
        answer = deployment.call_operator_api("d2", "GET", "/v1/catalogue")
        self.assertEqual(answer.decode()["version"], 2)


if __name__ == "__main__":
    unittest.main()
