"""The demo: sends a deployment's example chats and calls, and checks them."""

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

_ROUNDS = 2
_PAYMENTS = 3
_ANSWER_TIMEOUT_S = 15.0
_DEMO_TIMEOUT_S = 40.0
_PROBE_TIMEOUT_MS = 1000
_PROBE_PAUSE_S = 0.1
_SHOWN_CHARACTERS = 48
_OK = 200
_LABEL = "demo"

# Shows a line to the person who watches.
Show = abc.Callable[[str], None]


class Totals(msgspec.Struct, kw_only=True):
    """What the demo came to; its JSON is the demo's last line.

    Attributes:
        requests: Requests sent.
        complete: Whole answers among them.
        cache_reuse: Cached share of the prompt tokens of returning chats.
        payment_runs: Times that the payment ran, as the services' ledgers
            say; None where a ledger could not be read.
        refused: Refusals among the requests.
    """

    requests: int = 0
    complete: int = 0
    cache_reuse: float = 0.0
    payment_runs: int | None = None
    refused: int = 0

    @property
    def good(self) -> bool:
        """Whether all answers are whole and the payment ran once."""
        return self.complete == self.requests > 0 and self.payment_runs == 1


class _Demo:
    """State of one demo."""

    __slots__ = (
        "addresses",
        "cached",
        "deadline",
        "keys",
        "pool",
        "prompt",
        "totals",
    )

    def __init__(
        self, *, fleet: fleets.Fleet, keys: fleets.Keys, deadline: float
    ) -> None:
        callers = fleets.list_client_addresses(fleet)
        addresses.check_loopback(callers, "$.daemons")
        self.addresses = itertools.cycle(callers)
        self.cached = 0
        self.deadline = deadline
        self.keys = keys
        self.pool = clients.Pool()
        self.prompt = 0
        self.totals = Totals()


async def run_demo(
    folder: pathlib.Path, *, show: Show, ready_timeout_s: float
) -> Totals:
    """Runs the demo of a deployment whose processes are up.

    Args:
        folder: Folder of the deployment.
        show: Takes each line for the person who watches.
        ready_timeout_s: Time that the daemons have to become ready.

    Returns:
        What it came to.

    Raises:
        errors.DocumentError: Where a file of the folder has faults.
        OSError: Where one can't be read.
        TimeoutError: Where the daemons don't become ready.
    """
    fleet = fleets.read_fleet(folder)
    recording = recordings.read_recording(folder / "chats.json")
    now = time.monotonic()
    demo = _Demo(
        fleet=fleet,
        keys=fleets.read_keys(folder),
        deadline=now + _DEMO_TIMEOUT_S,
    )
    callers = fleets.list_client_addresses(fleet)
    await _wait_ready(callers, now + ready_timeout_s)
    for number in range(_ROUNDS):
        show(f"round {number + 1}")
        for chat in recording.chats:
            await _send_chat(demo, recording.model, chat, number, show)
    for call in recording.calls:
        times = _PAYMENTS if call.name == recording.paid_once else 1
        for _ in range(times):
            await _send(demo, _plan_call(call), call.name, show)
    demo.pool.close()
    paid = next(x for x in recording.calls if x.name == recording.paid_once)
    demo.totals.payment_runs = await _count_runs(fleet, paid)
    if demo.prompt:
        demo.totals.cache_reuse = round(demo.cached / demo.prompt, 4)
    return demo.totals


async def _wait_ready(callers: list[str], deadline: float) -> None:
    """Waits until each daemon says that it takes requests."""
    request = http_client.Request(method="GET", path="/readyz")
    waiting = list(callers)
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
            raise TimeoutError(f"not ready: {', '.join(waiting)}")
        await asyncio.sleep(_PROBE_PAUSE_S)


async def _send_chat(
    demo: _Demo,
    model: str,
    chat: recordings.Chat,
    number: int,
    show: Show,
) -> None:
    for turn in range(len(chat.turns)):
        planned = traffic.Planned(
            at_ms=0.0,
            team=chat.team,
            service_class=_LABEL,
            name=model,
            chat_id=chat.chat_id,
            turn=turn,
            messages=recordings.build_messages(
                chat.turns, turn, chat.max_tokens
            ),
            max_tokens=chat.max_tokens,
            stream=True,
            returning=number > 0 or turn > 0,
        )
        await _send(demo, planned, f"{chat.name} turn {turn + 1}", show)


def _plan_call(call: recordings.Call) -> traffic.Planned:
    return traffic.Planned(
        at_ms=0.0,
        team=call.team,
        service_class=_LABEL,
        name=call.service,
        idempotency_key=call.idempotency_key,
        body=msgspec.json.encode(call.body),
    )


async def _send(
    demo: _Demo, planned: traffic.Planned, label: str, show: Show
) -> None:
    """Sends a request to the next daemon and counts what became of it."""
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
        demo.prompt += verdict.usage.prompt_tokens
        demo.cached += verdict.usage.cached_tokens
    show(f"{label:<26} {address:<16} {verdict.fate:<10} {_shorten(result)}")


def _shorten(result: clients.Result) -> str:
    verdict = result.verdict
    if verdict.fate is not samples.Fate.WHOLE:
        return f"{verdict.code} {verdict.detail}".strip()
    text = verdict.text
    if len(text) > _SHOWN_CHARACTERS:
        half = _SHOWN_CHARACTERS // 2
        text = f"{text[:half]} ... {text[-half:]}"
    if not verdict.usage.prompt_tokens:
        return text
    usage = verdict.usage
    return f"{text} cached {usage.cached_tokens}/{usage.prompt_tokens}"


async def _count_runs(fleet: fleets.Fleet, call: recordings.Call) -> int | None:
    """Counts in the services' ledgers how often a call ran."""
    try:
        entries = await ledgers.read_entries(
            [service.address for service in fleet.services]
        )
    except errors.MothpassError:
        return None
    key = targets.scope_key(
        team=call.team, idempotency_key=call.idempotency_key
    )
    return ledgers.count_runs(entries, call.service, key)
