"""Clients of the soak, which use each connection until it is closed."""

import asyncio
import contextlib
import itertools
import random

import msgspec

from tests.platform import fleet
from tests.platform import wire
from tests.soak import checkers

DEADLINE_S = 3.0
_PAUSE_S = 0.03
_DISCONNECT_SHARE = 0.03
# Time after the deadline for which a client waits for an answer.
_ANSWER_GRACE_S = 3.0
_MAX_TAKE_UPS = 3


class Clients:
    """Sends requests of all kinds and records their answers.

    Attributes:
        keys: API keys that the clients use.
    """

    def __init__(
        self, *, addresses: list[str], history: checkers.History, seed: int
    ) -> None:
        self.keys: list[str] = []
        self._addresses = addresses
        self._history = history
        self._random = random.Random(seed)
        self._ids = itertools.count(1)
        self._seed = seed

    async def run(self, stop: asyncio.Event) -> None:
        """Uses one connection after another until ``stop`` is set."""
        while not stop.is_set():
            daemon = self._random.randrange(len(self._addresses))
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(1.0):
                    client = await wire.Client.connect(self._addresses[daemon])
                await self._use_connection(client, daemon, stop)
                client.close()
            await asyncio.sleep(_PAUSE_S)

    async def _use_connection(
        self, client: wire.Client, daemon: int, stop: asyncio.Event
    ) -> None:
        while not stop.is_set():
            answer = await self._make_request(client, daemon)
            if answer is None or not answer.is_whole:
                return
            if answer.headers.get("connection") == "close":
                return
            await asyncio.sleep(self._random.uniform(0, 2 * _PAUSE_S))

    async def _make_request(
        self, client: wire.Client, daemon: int
    ) -> wire.Answer | None:
        """Makes one request; None if the client disconnects early."""
        loop = asyncio.get_running_loop()
        kinds = (checkers.PAY, checkers.READ, checkers.CHAT, checkers.ONCE)
        kind = self._random.choice(kinds)
        name = f"{self._seed:08x}{next(self._ids):08x}"
        key = self._random.choice(self.keys)
        now = loop.time()
        sent = checkers.SentRequest(
            id=name,
            kind=kind,
            key=key,
            daemon=daemon,
            at=now,
            deadline=now + DEADLINE_S,
        )
        self._send(client, sent)
        if self._random.random() < _DISCONNECT_SHARE:
            await asyncio.sleep(self._random.uniform(0, 0.1))
            self._record_answer(sent, wire.Answer())
            return None
        answer = await client.read(DEADLINE_S + _ANSWER_GRACE_S)
        self._record_answer(sent, answer)
        if kind == checkers.CHAT and answer.status == 200:
            await self._take_up(sent, answer)
        return answer

    async def _take_up(
        self, begun: checkers.SentRequest, answer: wire.Answer
    ) -> None:
        """Takes an interrupted stream up, at any daemon, until it is whole."""
        position = begun.position
        for _ in range(_MAX_TAKE_UPS):
            events = checkers.find_versions(answer.body.decode("latin-1"))
            position += len(events)
            if answer.is_whole and answer.status == 200 or position < 0:
                return
            daemon = self._random.randrange(len(self._addresses))
            now = asyncio.get_running_loop().time()
            sent = msgspec.structs.replace(
                begun,
                id=f"{self._seed:08x}{next(self._ids):08x}",
                daemon=daemon,
                at=now,
                deadline=now + DEADLINE_S,
                began_as=begun.id,
                position=position,
            )
            answer = await self._send_alone(sent)

    async def _send_alone(self, sent: checkers.SentRequest) -> wire.Answer:
        """Makes a request over a new connection."""
        answer = wire.Answer()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                client = await wire.Client.connect(self._addresses[sent.daemon])
            self._send(client, sent)
            answer = await client.read(DEADLINE_S + _ANSWER_GRACE_S)
            client.close()
            self._record_answer(sent, answer)
        return answer

    def _send(self, client: wire.Client, sent: checkers.SentRequest) -> None:
        self._history.sent.append(sent)
        method = "GET" if sent.kind == checkers.READ else "POST"
        body = b"" if method == "GET" else b"x" * 200
        client.send(method, f"/{sent.kind}/1", self._make_headers(sent), body)

    def _make_headers(self, sent: checkers.SentRequest) -> dict[str, str]:
        headers = {
            "Host": fleet.HOST,
            "Attempt-Id": sent.id,
            "Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "Authorization": f"Bearer {sent.key}",
        }
        if sent.began_as:
            headers["Resumes"] = sent.began_as
            headers["Last-Event-Id"] = str(sent.position)
        if sent.kind in (checkers.CHAT, checkers.ONCE):
            shared = self._random.randrange(6)
            headers["Model"] = "m"
            headers["Token-Count"] = "130,48"
            headers["Prompt-Prefix"] = f"aa:80,b{shared}:40,{sent.id}:10"
        return headers

    def _record_answer(
        self, sent: checkers.SentRequest, answer: wire.Answer
    ) -> None:
        self._history.answers.append(
            checkers.ReceivedAnswer(
                id=sent.id,
                status=answer.status,
                body=answer.body.decode("latin-1"),
                is_whole=answer.is_whole,
                is_signed="server-seal" in answer.headers,
                at=asyncio.get_running_loop().time(),
            )
        )
