"""Pays through a daemon and compares outcomes with the service's ledger."""

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
    """Outcome of a payment as the client sees it.

    Attributes:
        status: HTTP status, 0 if the connection was lost.
        ran: ``yes`` for a result, otherwise the error's value; ``unknown``
            if the connection was lost.
        name: Name of the error, empty for a result.
        receipt: The result, None with an error.
    """

    status: int
    ran: str
    name: str = ""
    receipt: dict[str, typing.Any] | None = None


_CONNECTION_LOST = Outcome(status=0, ran="unknown", name="CONNECTION_LOST")


def pay(daemon: processes.Process, key: str, amount: int = 40) -> Outcome:
    """Sends a payment to a daemon and returns its outcome."""
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
        return _CONNECTION_LOST
    document = answer.decode()
    if answer.status == http_calls.OK:
        return Outcome(status=answer.status, ran="yes", receipt=document)
    error = typing.cast(dict[str, str], document["error"])
    return Outcome(status=answer.status, ran=error["ran"], name=error["name"])


def start_payment(
    daemon: processes.Process, key: str
) -> tuple[threading.Thread, list[Outcome]]:
    """Starts a payment in a thread; returns it and a list for the outcome."""
    outcomes: list[Outcome] = []
    thread = threading.Thread(
        target=lambda: outcomes.append(pay(daemon, key)), daemon=True
    )
    thread.start()
    return thread, outcomes


def count_runs(services: list[processes.Process], key: str) -> int:
    """Returns how often the services ran the payment of a key."""
    count = 0
    for service in services:
        answer = http_calls.call(service.address, "GET", "/v1/ledger")
        entries = typing.cast(list[dict[str, str]], answer.decode()["entries"])
        ledger_key = f"{deployments.TEAM}/{key}"
        count += sum(item["key"] == ledger_key for item in entries)
    return count


def check_outcome(test: unittest.TestCase, outcome: Outcome, runs: int) -> None:
    """Checks an outcome against the number of runs in the ledger."""
    test.assertLessEqual(runs, 1)
    if outcome.ran == "no":
        test.assertEqual(runs, 0, outcome)
    if outcome.ran == "yes":
        test.assertEqual(runs, 1, outcome)
