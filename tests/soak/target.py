"""Target process of the soak, which prints its ledger as JSON lines."""

import asyncio
import json
import random
import sys
import time

from tests.platform import target_standin
from tests.platform import wire
from tests.soak import checkers


class SoakTarget:
    """Answers with bodies that name the request, and fails at random."""

    def __init__(
        self, *, target_id: str, version: str, fault_share: float, seed: int
    ) -> None:
        self._id = target_id
        self._version = version
        self._fault_share = fault_share
        self._random = random.Random(seed)

    async def answer(
        self,
        target: target_standin.Target,
        request: wire.Request,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answers one request, maybe with a fault."""
        if request.headers.get("expect-instance") != self._id:
            headers = {"Instance-Id": self._id}
            wire.write_answer(writer, 421, headers, b"")
            return
        fault = self._random.random()
        share = self._fault_share
        if fault < share * 0.25:
            headers = {"Not-Run": "1"}
            if fault < share * 0.1:
                headers["Retry-After"] = "0.5"
            wire.write_answer(writer, 503, headers, b"")
            return
        self._record_run(request)
        if fault < share * 0.5:
            writer.transport.abort()
        elif fault < share * 0.6:
            writer.write(b"\x00 no answer \r\n\r\n")
        elif "prompt-prefix" in request.headers:
            is_broken = fault < share
            await self._stream(target, request, writer, is_broken)
        else:
            await asyncio.sleep(self._random.uniform(0.005, 0.05))
            body = checkers.make_body(request.headers["attempt-id"]).encode()
            if fault < share * 0.8:
                late = {"Attempt-Id": "late", "Server-Seal": "x"}
                wire.write_answer(writer, 200, late, b"of another request")
            headers = target_standin.make_headers(request)
            wire.write_answer(writer, 200, headers, body)

    async def _stream(
        self,
        target: target_standin.Target,
        request: wire.Request,
        writer: asyncio.StreamWriter,
        is_broken: bool,
    ) -> None:
        name = request.headers.get("resumes", request.headers["attempt-id"])
        first = target_standin.start_stream(target, request, writer)
        for number in range(first, checkers.EVENTS):
            event = checkers.make_event(name, number, self._version).encode()
            if is_broken and number == checkers.EVENTS // 2:
                wire.write_chunk(writer, event[: len(event) // 2])
                await asyncio.sleep(0.02)
                writer.transport.abort()
                return
            wire.write_chunk(writer, event)
            await asyncio.sleep(0.02)
        wire.write_chunk(writer, b"")

    def _record_run(self, request: wire.Request) -> None:
        line = {
            "id": request.headers.get("attempt-id", ""),
            "target": self._id,
            "path": request.url,
            "team": request.headers.get("tenant", ""),
            "at": time.monotonic(),
        }
        print(json.dumps(line), flush=True)


async def run(
    target_id: str, version: str, address: str, share: float, seed: int
) -> None:
    """Serves until the process is killed."""
    host, _, port = address.rpartition(":")
    target = target_standin.Target(target_id)
    target.answer = SoakTarget(
        target_id=target_id, version=version, fault_share=share, seed=seed
    ).answer
    await target.open(host, int(port))
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(
        run(
            sys.argv[1],
            sys.argv[2],
            sys.argv[3],
            float(sys.argv[4]),
            int(sys.argv[5]),
        )
    )
