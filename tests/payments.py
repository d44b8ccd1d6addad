"""Calls a service through a daemon and compares with the service's ledger."""

import http.client
import json
import threading
import typing
import unittest

import msgspec

from tests import deployments
from tests import http_calls
from tests import processes


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """What the caller was told.

    Attributes:
        status: HTTP status, 0 where the connection was lost.
        ran: ``yes`` for a result, else what the error says; ``unknown``
            where the connection was lost.
        name: Name of the error, empty for a result.
        receipt: The result, None with an error.
    """

    status: int
    ran: str
    name: str = ""
    receipt: dict[str, typing.Any] | None = None


_LOST = Outcome(status=0, ran="unknown", name="CONNECTION_LOST")


def pay(daemon: processes.Process, key: str, amount: int = 40) -> Outcome:
    """Asks a daemon to pay for a chair day."""
    headers = {
        "Authorization": f"Bearer {deployments.TEAM_KEY}",
        "Idempotency-Key": key,
        "Content-Type": "application/json",
        "X-Deadline-Ms": "1500",
    }
    body = json.dumps({"chair": 7, "amount": amount}).encode()
    path = f"/v1/services/{deployments.SERVICE}"
    try:
        answer = http_calls.call(daemon.address, "POST", path, body, headers)
    except (OSError, http.client.HTTPException):
        return _LOST
    document = answer.decode()
    if answer.status == http_calls.OK:
        return Outcome(status=answer.status, ran="yes", receipt=document)
    error = typing.cast(dict[str, str], document["error"])
    return Outcome(status=answer.status, ran=error["ran"], name=error["name"])


def start_pay(
    daemon: processes.Process, key: str
) -> tuple[threading.Thread, list[Outcome]]:
    """Pays in a thread of its own; the list gets the outcome."""
    outcomes: list[Outcome] = []
    thread = threading.Thread(
        target=lambda: outcomes.append(pay(daemon, key)), daemon=True
    )
    thread.start()
    return thread, outcomes


def count_runs(services: list[processes.Process], key: str) -> int:
    """Returns how often the services ran the call of a key."""
    count = 0
    for service in services:
        answer = http_calls.call(service.address, "GET", "/v1/ledger")
        entries = typing.cast(list[dict[str, str]], answer.decode()["entries"])
        shown = f"{deployments.TEAM}/{key}"
        count += sum(item["key"] == shown for item in entries)
    return count


def check_truth(test: unittest.TestCase, outcome: Outcome, runs: int) -> None:
    """Checks that the caller was told nothing that isn't so."""
    test.assertLessEqual(runs, 1)
    if outcome.ran == "no":
        test.assertEqual(runs, 0, outcome)
    if outcome.ran == "yes":
        test.assertEqual(runs, 1, outcome)
