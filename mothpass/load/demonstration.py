"""Sends a deployment's example requests and checks the answers."""

import asyncio
from collections import abc
import itertools
import pathlib
import time

import msgspec

from mothpass.control import fleets
from mothpass.control import http_client
from mothpass.core import errors
from mothpass.load import addresses
from mothpass.load import clients
from mothpass.load import ledgers
from mothpass.load import recordings
from mothpass.load import samples
from mothpass.load import traffic
from mothpass.ports import targets

_CHAT_ROUNDS = 2
_PAYMENT_REPEATS = 3
_ANSWER_TIMEOUT_S = 15.0
_DEMO_TIMEOUT_S = 40.0
_PROBE_TIMEOUT_MS = 1000
_PROBE_INTERVAL_S = 0.1
_MAX_ANSWER_CHARACTERS = 48
_OK = 200
_SERVICE_CLASS = "demo"

# Prints a line of progress.
WriteLine = abc.Callable[[str], None]


class Totals(msgspec.Struct, kw_only=True):
    """Result of the demo, which prints it as JSON on its last line.

    Attributes:
        requests: Requests sent.
        complete: Requests with a complete answer.
        cache_reuse: Cached share of the prompt tokens of returning chats.
        payment_runs: How often the payment ran according to the services'
            ledgers; None if a ledger could not be read.
        refused: Requests that were rejected.
    """

    requests: int = 0
    complete: int = 0
    cache_reuse: float = 0.0
    payment_runs: int | None = None
    refused: int = 0

    @property
    def good(self) -> bool:
        """Whether all answers are complete and the payment ran once."""
        return self.complete == self.requests > 0 and self.payment_runs == 1


class _Demo:
    """State of a running demo."""

    __slots__ = (
        "addresses",
        "cached_tokens",
        "deadline",
        "keys",
        "pool",
        "prompt_tokens",
        "totals",
    )

    def __init__(
        self, *, fleet: fleets.Fleet, keys: fleets.Keys, deadline: float
    ) -> None:
        client_addresses = fleets.list_client_addresses(fleet)
        addresses.check_loopback(client_addresses, "$.daemons")
        self.addresses = itertools.cycle(client_addresses)
        self.cached_tokens = 0
        self.deadline = deadline
        self.keys = keys
        self.pool = clients.ConnectionPool()
        self.prompt_tokens = 0
        self.totals = Totals()


async def run_demo(
    folder: pathlib.Path, *, write_line: WriteLine, ready_timeout_s: float
) -> Totals:
    """Runs the demo of a deployment whose processes are running.

    Args:
        folder: Folder of the deployment.
        write_line: Prints a line of progress.
        ready_timeout_s: Time for the daemons to become ready.

    Returns:
        The result of the demo.

    Raises:
        errors.DocumentError: A file of the folder is invalid.
        OSError: A file can't be read.
        TimeoutError: The daemons don't become ready in time.
    """
    fleet = fleets.read_fleet(folder)
    recording = recordings.read_recording(folder / "chats.json")
    now = time.monotonic()
    demo = _Demo(
        fleet=fleet,
        keys=fleets.read_keys(folder),
        deadline=now + _DEMO_TIMEOUT_S,
    )
    client_addresses = fleets.list_client_addresses(fleet)
    await _wait_ready(client_addresses, now + ready_timeout_s)
    for round_number in range(_CHAT_ROUNDS):
        write_line(f"round {round_number + 1}")
        for chat in recording.chats:
            await _send_chat(
                demo, recording.model, chat, round_number, write_line
            )
    for service_request in recording.calls:
        repeats = (
            _PAYMENT_REPEATS
            if service_request.name == recording.paid_once
            else 1
        )
        for _ in range(repeats):
            await _send(
                demo,
                _plan_service_request(service_request),
                service_request.name,
                write_line,
            )
    demo.pool.close()
    payment = next(x for x in recording.calls if x.name == recording.paid_once)
    demo.totals.payment_runs = await _count_runs(fleet, payment)
    if demo.prompt_tokens:
        demo.totals.cache_reuse = round(
            demo.cached_tokens / demo.prompt_tokens, 4
        )
    return demo.totals


async def _wait_ready(client_addresses: list[str], deadline: float) -> None:
    """Waits until each daemon reports that it is ready."""
    request = http_client.Request(method="GET", path="/readyz")
    waiting = list(client_addresses)
    while waiting:
        address = waiting[0]
        try:
            response = await http_client.fetch(
                address, request, timeout_ms=_PROBE_TIMEOUT_MS
            )
        except errors.MothpassError:
            response = None
        if response is not None and response.status == _OK:
            waiting.pop(0)
            continue
        if time.monotonic() >= deadline:
            raise TimeoutError(f"daemons not ready: {', '.join(waiting)}")
        await asyncio.sleep(_PROBE_INTERVAL_S)


async def _send_chat(
    demo: _Demo,
    model: str,
    chat: recordings.Chat,
    round_number: int,
    write_line: WriteLine,
) -> None:
    for turn in range(len(chat.turns)):
        planned = traffic.PlannedRequest(
            at_ms=0.0,
            team=chat.team,
            service_class=_SERVICE_CLASS,
            name=model,
            chat_id=chat.chat_id,
            turn=turn,
            messages=recordings.build_messages(
                chat.turns, turn, chat.max_tokens
            ),
            max_tokens=chat.max_tokens,
            stream=True,
            returning=round_number > 0 or turn > 0,
        )
        await _send(demo, planned, f"{chat.name} turn {turn + 1}", write_line)


def _plan_service_request(
    service_request: recordings.ServiceRequest,
) -> traffic.PlannedRequest:
    return traffic.PlannedRequest(
        at_ms=0.0,
        team=service_request.team,
        service_class=_SERVICE_CLASS,
        name=service_request.service,
        idempotency_key=service_request.idempotency_key,
        body=msgspec.json.encode(service_request.body),
    )


async def _send(
    demo: _Demo,
    planned: traffic.PlannedRequest,
    label: str,
    write_line: WriteLine,
) -> None:
    """Sends a request to the next daemon and counts its outcome."""
    address = next(demo.addresses)
    due = time.monotonic()
    result = await clients.send_request(
        demo.pool,
        address,
        demo.keys.team_keys[planned.team],
        planned,
        due=due,
        deadline=min(due + _ANSWER_TIMEOUT_S, demo.deadline),
    )
    verdict = result.verdict
    demo.totals.requests += 1
    demo.totals.complete += verdict.fate is samples.Fate.WHOLE
    demo.totals.refused += verdict.fate is samples.Fate.REFUSED
    if planned.returning:
        demo.prompt_tokens += verdict.usage.prompt_tokens
        demo.cached_tokens += verdict.usage.cached_tokens
    write_line(
        f"{label:<26} {address:<16} {verdict.fate:<10} {_format_result(result)}"
    )


def _format_result(result: clients.Result) -> str:
    verdict = result.verdict
    if verdict.fate is not samples.Fate.WHOLE:
        return f"{verdict.code} {verdict.detail}".strip()
    text = verdict.text
    if len(text) > _MAX_ANSWER_CHARACTERS:
        half = _MAX_ANSWER_CHARACTERS // 2
        text = f"{text[:half]} ... {text[-half:]}"
    if not verdict.usage.prompt_tokens:
        return text
    usage = verdict.usage
    return f"{text} cached {usage.cached_tokens}/{usage.prompt_tokens}"


async def _count_runs(
    fleet: fleets.Fleet, service_request: recordings.ServiceRequest
) -> int | None:
    """Returns how often a request ran according to the services' ledgers."""
    try:
        entries = await ledgers.read_entries(
            [service.address for service in fleet.services]
        )
    except errors.MothpassError:
        return None
    key = targets.scope_key(
        team=service_request.team,
        idempotency_key=service_request.idempotency_key,
    )
    return ledgers.count_runs(entries, service_request.service, key)
