"""Injects faults into a stand-in on request over HTTP.

``POST /faults`` sets the fields that it names and leaves the others,
``GET /faults`` returns them and ``DELETE /faults`` clears them. These
endpoints respond under every fault except ``exit``. docs/STANDINS.md
describes each field.
"""

import asyncio
from collections import abc
import os
import time
import typing

import blacksheep
import msgspec

from mothpass.core import documents
from mothpass.core import errors
from mothpass.standin import bodies
from mothpass.standin import connections

EXIT_FAULT = 71
_MS_PER_S = 1000
_FAULTS_PATH = "/faults"

StreamKind = typing.Literal[
    "cut", "silent", "cross", "double", "skip", "reorder", "late"
]
_FaultCount = typing.Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
_Milliseconds = typing.Annotated[int, msgspec.Meta(ge=0, le=3_600_000)]


class StreamFault(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """Fault at the event of one position in streams.

    Attributes:
        kind: ``cut`` closes the connection after the event ``at``;
            ``silent`` keeps it open and sends no more; ``cross`` inserts an
            event of another attempt after it; ``double`` sends it twice;
            ``skip`` omits it; ``reorder`` sends it after the next one;
            ``late`` delays it and all later events by ``delay_ms``.
        at: Position of the event.
        count: How often the fault is still injected; decremented each time.
        delay_ms: Delay of ``late`` in milliseconds.
    """

    kind: StreamKind
    at: _FaultCount = 0
    count: _FaultCount = 1
    delay_ms: _Milliseconds = 0


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults of a stand-in.

    Attributes:
        exit: Exit the process at once, as a kill does.
        silent: Send nothing more on the connections that are open now.
        pause_ms: Send no responses for this time, streams included.
        down: Reject each request with 503, without running it.
        slow_ms: Delay before each request is run.
        late_ms: Delay between running a request and its response.
        lose_answers: Number of requests that are still run and whose
            connection is then aborted without a response.
        leaving: Engines and services: report the state ``leaving``.
        cold: Engines: turn cold now, with the same boot id.
        hide_phase: Engines: always report the phase ``warm``.
        wrong_boot_id: Targets: report another boot id than the right one.
        forget_attempts: Engines: answer each resumption of an attempt as if
            the attempt were unknown.
        crossed_answers: Targets: number of answers that still carry the id of
            another attempt; applies to answers that aren't streamed.
        streams: Engines: faults in streams.
    """

    exit: bool = False
    silent: bool = False
    pause_ms: _Milliseconds = 0
    down: bool = False
    slow_ms: _Milliseconds = 0
    late_ms: _Milliseconds = 0
    lose_answers: _FaultCount = 0
    leaving: bool = False
    cold: bool = False
    hide_phase: bool = False
    wrong_boot_id: bool = False
    forget_attempts: bool = False
    crossed_answers: _FaultCount = 0
    streams: list[StreamFault] = []


class FaultState:
    """Current faults of one stand-in and the connections they affect.

    Attributes:
        faults: Current faults.
        connections: Open connections of the server.
        on_change: Called with the current faults after each change.
    """

    __slots__ = (
        "_paused_until",
        "_restarting_until",
        "connections",
        "faults",
        "on_change",
    )

    def __init__(
        self,
        *,
        on_change: abc.Callable[[Faults], None] | None = None,
    ) -> None:
        """Initializes the state without faults."""
        self.faults = Faults()
        self.connections = connections.ConnectionTable()
        self.on_change = on_change
        self._paused_until = 0.0
        self._restarting_until = 0.0

    def update(self, document: bytes) -> None:
        """Sets the faults that a JSON object names.

        Args:
            document: JSON object with some fields of Faults.

        Raises:
            errors.DocumentError: The object is invalid.
        """
        decoded = documents.decode_document(document, Faults)
        for name in msgspec.json.decode(document):
            setattr(self.faults, name, getattr(decoded, name))
        self._apply_immediate_faults()
        if self.on_change is not None:
            self.on_change(self.faults)
        self.faults.cold = False

    def clear(self) -> None:
        """Clears all faults; silent connections stay silent."""
        self.faults = Faults()
        self._paused_until = 0.0
        if self.on_change is not None:
            self.on_change(self.faults)

    def take_stream_fault(self, position: int) -> StreamFault | None:
        """Returns the fault to inject at a position, None if there is none."""
        for index, item in enumerate(self.faults.streams):
            if item.at == position and item.count > 0:
                self.faults.streams[index] = msgspec.structs.replace(
                    item, count=item.count - 1
                )
                return item
        return None

    def take_crossed_answer(self) -> bool:
        """Returns whether the current answer carries another attempt's id."""
        if self.faults.crossed_answers == 0:
            return False
        self.faults.crossed_answers -= 1
        return True

    def take_lost_answer(self) -> bool:
        """Returns whether the current answer is lost."""
        if self.faults.lose_answers == 0:
            return False
        self.faults.lose_answers -= 1
        return True

    def simulate_restart(self, duration_s: float) -> None:
        """Aborts all connections, and new ones for the given seconds."""
        self._restarting_until = time.monotonic() + duration_s
        self.connections.abort()

    def is_restarting(self) -> bool:
        """Returns whether new connections are aborted."""
        return time.monotonic() < self._restarting_until

    async def wait_while_paused(self) -> None:
        """Waits until no pause is in effect."""
        while True:
            remaining_s = self._paused_until - time.monotonic()
            if remaining_s <= 0:
                return
            await asyncio.sleep(min(remaining_s, 0.02))

    def _apply_immediate_faults(self) -> None:
        if self.faults.exit:
            os._exit(EXIT_FAULT)
        if self.faults.silent:
            self.connections.silence()
            self.faults.silent = False
        if self.faults.pause_ms:
            pause_s = self.faults.pause_ms / _MS_PER_S
            self._paused_until = time.monotonic() + pause_s
            self.faults.pause_ms = 0


def add_fault_routes(app: blacksheep.Application, state: FaultState) -> None:
    """Adds the routes that set, return and clear faults."""

    @app.router.post(_FAULTS_PATH)
    async def set_faults(request: blacksheep.Request) -> blacksheep.Response:
        body = await request.read() or b""
        try:
            state.update(body)
        except errors.DocumentError as error:
            return bodies.build_json_response(422, {"problems": error.problems})
        return bodies.build_json_response(200, state.faults)

    @app.router.get(_FAULTS_PATH)
    async def show_faults() -> blacksheep.Response:
        return bodies.build_json_response(200, state.faults)

    @app.router.delete(_FAULTS_PATH)
    async def clear_faults() -> blacksheep.Response:
        state.clear()
        return bodies.build_json_response(200, state.faults)
