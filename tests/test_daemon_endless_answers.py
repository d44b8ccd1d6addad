"""Tests of a daemon that gets answers without end.

They come from targets or from the platform. The bound on memory comes from the
machines of the sites, which have 200 MB.
"""

from concurrent import futures
import contextlib
import json
import time
import typing
import unittest

from tests import chats
from tests import crowds
from tests import deployments
from tests import endless_server
from tests import http_calls
from tests import payments
from tests import processes

_MEMORY_BOUND_MB = 200.0
_ENDLESS = 2
_CHATS = 16
_PAYMENTS = 10
_READS_S = 3.0


class _EndlessTest(unittest.TestCase):
    """A daemon with a sound engine and a sound service."""

    has_loads = True

    def start_daemon(self, stack: contextlib.ExitStack) -> None:
        """Starts the deployment and waits until it is ready."""
        started = processes.Processes()
        stack.callback(started.close)
        self.deployment = deployments.Deployment(started=started)
        self.deployment.add_engine("e1")
        self.service = self.deployment.add_service("s1")
        self.daemon = self.deployment.add_daemon("d1")
        self.deployment.wait_ready()

    def check_requests(self) -> None:
        """Checks requests at once, the process and its memory."""
        with futures.ThreadPoolExecutor(_CHATS + _PAYMENTS) as pool:
            running = [
                pool.submit(
                    chats.Chat(
                        address=self.daemon.address,
                        content=f"chat {number}",
                        stream=bool(number % 2),
                    ).run
                )
                for number in range(_CHATS)
            ]
            paying = {
                f"p{number}": pool.submit(
                    payments.pay, self.daemon, f"p{number}"
                )
                for number in range(_PAYMENTS)
            }
            answers = [item.result() for item in running]
            outcomes = {key: item.result() for key, item in paying.items()}
        self.assertIsNone(self.daemon.popen.poll(), "the daemon has ended")
        peak = crowds.read_peak_memory(self.daemon.popen.pid) / 1024**2
        failed = [
            (item.kind, item.status, item.error)
            for item in answers
            if item.kind is not chats.Kind.WHOLE
        ]
        self.assertEqual(failed, [], f"{peak:.0f} MB")
        self.check_payments(outcomes)
        self.assertLessEqual(peak, _MEMORY_BOUND_MB)
        self.assertTrue(processes.is_ready(self.daemon))

    def check_payments(self, outcomes: dict[str, payments.Outcome]) -> None:
        """Checks that those that the sound service ran have a result."""
        for key, outcome in outcomes.items():
            runs = payments.count_runs([self.service], key)
            payments.check_outcome(self, outcome, runs)
            self.assertTrue(outcome.status, outcome)
            if runs:
                self.assertEqual(outcome.ran, "yes", outcome)


class EndlessTargetTest(_EndlessTest):
    """Targets whose answers have no end."""

    def check_forms(self, forms: dict[str, endless_server.Form]) -> None:
        """Checks requests beside endless targets of each form."""
        for name in forms:
            with self.subTest(name), contextlib.ExitStack() as stack:
                self.start_daemon(stack)
                for number in range(_ENDLESS):
                    self.add_target(stack, f"x{number}", "engine", name)
                    self.add_target(stack, f"y{number}", "service", name)
                if not self.has_loads:
                    # For several of its reads of load reports.
                    time.sleep(_READS_S)
                self.check_requests()

    def add_target(
        self, stack: contextlib.ExitStack, name: str, role: str, form: str
    ) -> None:
        """Starts an endless target; waits until the daemon knows it."""
        address = processes.find_free_address()
        has_loads = self.has_loads
        stack.enter_context(
            endless_server.run(address, name if has_loads else "", form)
        )
        is_engine = role == "engine"
        instance = {
            "id": name,
            "role": role,
            "state": "live",
            "address": address,
            "availability_zone": deployments.ZONES[0],
            "serves": [deployments.MODEL if is_engine else deployments.SERVICE],
        }
        members = self.deployment.members.address
        path = f"/v1/instances/{name}"
        http_calls.call(members, "PUT", path, json.dumps(instance).encode())
        processes.wait_until(lambda: self.knows_target(name), self.daemon)

    def knows_target(self, name: str) -> bool:
        """Returns whether the daemon lists a target, with a load report."""
        status = self.deployment.call_operator_api("d1", "GET", "/v1/status")
        targets = typing.cast(list[dict[str, str]], status.decode()["targets"])
        return any(
            item["id"] == name and (item["boot_id"] or not self.has_loads)
            for item in targets
        )

    def test_endless_bodies_cost_no_other_request_its_answer(self) -> None:
        """Guards against bodies that take answers of others."""
        self.check_forms(endless_server.BODIES)

    def test_endless_heads_cost_no_other_request_its_answer(self) -> None:
        """Guards against heads that take answers of others."""
        self.check_forms(endless_server.HEADS)

    def test_endless_streams_cost_no_other_request_its_answer(self) -> None:
        """Guards against streams that take answers of others."""
        self.check_forms(endless_server.STREAMS)

    def test_endless_load_reports_cost_no_request_its_answer(self) -> None:
        """Guards against load reports without end."""
        self.has_loads = False
        self.check_forms(endless_server.BODIES)


class EndlessPlatformTest(_EndlessTest):
    """Services of the platform whose answers have no end."""

    def check_forms(self, service: str) -> None:
        """Checks requests while a service sends each form."""
        for name in endless_server.BODIES | endless_server.HEADS:
            with self.subTest(name), contextlib.ExitStack() as stack:
                self.start_daemon(stack)
                process = getattr(self.deployment, service)
                process.kill()
                stack.enter_context(
                    endless_server.run(process.address, "", name)
                )
                self.check_requests()
                # For reads of it that began in the meantime.
                time.sleep(_READS_S)
                self.check_requests()

    def check_payments(self, outcomes: dict[str, payments.Outcome]) -> None:
        """Checks that none ran without a result, as none may be claimed."""
        for key, outcome in outcomes.items():
            runs = payments.count_runs([self.service], key)
            payments.check_outcome(self, outcome, runs)
            self.assertTrue(outcome.status, outcome)

    def test_endless_tables_cost_no_request_its_answer(self) -> None:
        """Guards against rows without end."""
        self.check_forms("table")

    def test_endless_objects_cost_no_request_its_answer(self) -> None:
        """Guards against objects without end."""
        self.check_forms("objects")

    def test_endless_member_lists_cost_no_request_its_answer(self) -> None:
        """Guards against membership lists without end."""
        self.check_forms("members")


if __name__ == "__main__":
    unittest.main()
