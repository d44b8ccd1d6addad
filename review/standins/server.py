"""Stand-in of a runner: registers itself, and runs requests one by one."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import json
import time
import typing

from review.standins import store as store_module
from review.standins import wire

HEARTBEAT_S = 1.2
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"


@dataclasses.dataclass(slots=True)
class Run:
    """A request that a server got.

    Attributes:
        request: The request.
        server: Id of the server.
        at: Monotonic seconds of its arrival.
        has_run: Whether the server began to work on it.
        ended_at: Monotonic seconds at which the work ended.
        end: ``done``, ``cut`` by the caller, or how it was turned away.
    """

    request: wire.Message
    server: str
    at: float
    has_run: bool = False
    ended_at: float | None = None
    end: str = "at work"

    @property
    def attempt_id(self) -> str:
        """Id of the request."""
        return self.request.headers.get("attempt-id", "")


# Works on a request and writes its answer.
Work = abc.Callable[["Server", Run, asyncio.StreamWriter], abc.Awaitable[None]]


class Server:
    """A runner of one service.

    Attributes:
        id: Its id.
        runs: Requests that arrived, over all boots.
        is_draining: Whether it has reported that it drains.
    """

    def __init__(
        self,
        *,
        server_id: str,
        service: str,
        zone: str,
        store: store_module.Store,
        work: Work,
        slots: int = 64,
    ) -> None:
        """Creates a server that isn't started."""
        self.id = server_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.address = ""
        self.born = 0
        self.is_draining = False
        self.runs: list[Run] = []
        self._store = store
        self._work = work
        self._seq = 0
        self._running = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beat: asyncio.Task[None] | None = None

    async def start(self, host: str) -> None:
        """Boots: listens, at the same address as before, and registers."""
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = await asyncio.start_server(self._serve, host, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        self.born = int(time.time() * 1000)
        self._seq = 0
        self._running = 0
        self._beat = asyncio.create_task(self._run_heartbeat())

    def crash(self) -> None:
        """Ends at once; the entry stays until it expires."""
        if self._server is not None:
            self._server.close()
        if self._beat is not None:
            self._beat.cancel()
        for writer in list(self._writers):
            writer.transport.abort()

    def drain(self) -> None:
        """Reports that it drains; it goes on to serve."""
        self.is_draining = True
        self.write_entry()

    def write_entry(self) -> None:
        """Writes its entry; the return is the store's acknowledgement.

        The row changes only when more than the count of writes does.
        """
        self._seq += 1
        entry = self.make_entry()
        known = self._store.read("servers", self.id)
        if known is not None:
            with contextlib.suppress(ValueError):
                if json.loads(known) | {"seq": self._seq} == entry:
                    return
        self._store.put("servers", self.id, json.dumps(entry).encode())

    def make_entry(self) -> dict[str, object]:
        """Returns its entry."""
        return {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "draining" if self.is_draining else "ready",
            "coldLeftMs": 0,
            "seq": self._seq,
            "born": self.born,
        }

    async def _run_heartbeat(self) -> None:
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        following = asyncio.ensure_future(wire.read_request(reader))
        try:
            while True:
                request = await following
                following = asyncio.ensure_future(wire.read_request(reader))
                await self._answer(request, writer, following)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            following.cancel()
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self,
        request: wire.Message,
        writer: asyncio.StreamWriter,
        following: "asyncio.Future[wire.Message]",
    ) -> None:
        now = asyncio.get_running_loop().time()
        run = Run(request=request, server=self.id, at=now)
        if request.url == "/health":
            headers = {"Instance-Id": self.id}
            status = 503 if self.is_draining else 200
            writer.write(wire.encode_answer(status, headers, b""))
            return
        self.runs.append(run)
        if request.headers.get("expect-instance", self.id) != self.id:
            run.end = "421"
            headers = {"Instance-Id": self.id}
            writer.write(wire.encode_answer(421, headers, b""))
            return
        if self._running >= self.slots:
            run.end = "full"
            writer.write(wire.encode_answer(503, {"Not-Run": "1"}, b""))
            return
        self._running += 1
        work = asyncio.ensure_future(self._work(self, run, writer))
        budget_s = int(request.headers.get("deadline-ms", "30000")) / 1000
        # A sound server stops at the time budget or when its caller leaves.
        waiting: set[asyncio.Future[typing.Any]] = {work, following}
        await asyncio.wait(
            waiting, timeout=budget_s, return_when=asyncio.FIRST_COMPLETED
        )
        self._running -= 1
        run.ended_at = asyncio.get_running_loop().time()
        if work.done():
            if run.end == "at work":
                run.end = "done"
            work.result()
            return
        work.cancel()
        run.end = "cut" if following.done() else "time budget"
        with contextlib.suppress(asyncio.CancelledError):
            await work
        writer.transport.abort()


def make_plain_work(work_s: float) -> Work:
    """Returns work with an answer of 800 bytes."""

    async def work(
        server: Server, run: Run, writer: asyncio.StreamWriter
    ) -> None:
        del server
        run.has_run = True
        await asyncio.sleep(work_s)
        writer.write(wire.encode_answer(200, make_headers(run), b"x" * 800))

    return work


def make_stream_work(events: int, gap_s: float) -> Work:
    """Returns work whose answer is a stream of events."""

    async def work(
        server: Server, run: Run, writer: asyncio.StreamWriter
    ) -> None:
        del server
        run.has_run = True
        headers = make_headers(run)
        headers["Content-Type"] = "text/event-stream"
        headers["Transfer-Encoding"] = "chunked"
        writer.write(wire.encode("HTTP/1.1 200 X", headers))
        first = int(run.request.headers.get("last-event-id", "-1")) + 1
        for number in range(first, events):
            await asyncio.sleep(gap_s)
            event = b"id: %d\ndata: part %d\n\n" % (number, number)
            writer.write(wire.encode_chunk(event))
        writer.write(wire.encode_chunk(b""))

    return work


def make_headers(run: Run) -> dict[str, str]:
    """Returns the headers of a sound answer."""
    return {"Attempt-Id": run.attempt_id, "Server-Seal": SEAL}
