"""Stand-in of requesters: keeps channels open and reuses them."""

import asyncio
import contextlib
import dataclasses
import itertools

from review.standins import wire

_ids = itertools.count(1)


@dataclasses.dataclass(slots=True)
class Call:
    """One requester attempt.

    Attributes:
        attempt_id: Its id.
        daemon: Name of the daemon that took its channel.
        sent_at: Monotonic seconds at which its last byte was sent.
        ended_at: Monotonic seconds of the end of its answer or channel.
        status: Status of the answer, 0 without one.
        headers: Headers of the answer.
        body: The body as far as it arrived.
        is_whole: Whether the whole answer arrived.
        is_reused: Whether an earlier request used the channel.
    """

    attempt_id: str
    daemon: str
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    is_reused: bool = False


class Channel:
    """A connection to a daemon."""

    def __init__(
        self,
        daemon: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Wraps an open connection."""
        self.daemon = daemon
        self.is_open = True
        self._reader = reader
        self._writer = writer
        self._count = 0

    @classmethod
    async def open(cls, daemon: str, address: str) -> "Channel":
        """Opens a channel within a second, as requesters do."""
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
        return cls(daemon, reader, writer)

    def close(self) -> None:
        """Closes the channel."""
        self.is_open = False
        self._writer.close()

    async def call(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        *,
        budget_s: float,
        body: bytes = b"",
    ) -> Call:
        """Sends one request and reads its answer, as far as it arrives."""
        now = asyncio.get_running_loop().time
        call = Call(attempt_id=f"{next(_ids):016x}", daemon=self.daemon)
        call.is_reused = self._count > 0
        self._count += 1
        fields = {
            **headers,
            "Attempt-Id": call.attempt_id,
            "Deadline-Ms": str(int(budget_s * 1000)),
        }
        if method == "POST":
            fields["Content-Length"] = str(len(body))
        call.sent_at = now()
        try:
            data = wire.encode(f"{method} {path} HTTP/1.1", fields, body)
            self._writer.write(data)
            await self._writer.drain()
            call.sent_at = now()
            async with asyncio.timeout(budget_s):
                await self._read(call)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
        except asyncio.CancelledError:
            self.close()
            raise
        call.ended_at = now()
        if call.headers.get("connection", "").lower() == "close":
            self.close()
        return call

    async def _read(self, call: Call) -> None:
        message = await wire.read_head(self._reader)
        call.status = message.status
        call.headers = message.headers
        if "chunked" in message.headers.get("transfer-encoding", ""):
            while chunk := await wire.read_chunk(self._reader):
                call.body += chunk
        else:
            length = int(message.headers["content-length"])
            call.body = await self._reader.readexactly(length)
        call.is_whole = True


async def call_once(
    daemon: str,
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    *,
    budget_s: float,
    body: bytes = b"",
) -> Call | None:
    """Sends one request on a new channel; None if none could be opened."""
    try:
        channel = await Channel.open(daemon, address)
    except (OSError, TimeoutError):
        return None
    try:
        return await channel.call(
            method, path, headers, budget_s=budget_s, body=body
        )
    finally:
        with contextlib.suppress(OSError):
            channel.close()
