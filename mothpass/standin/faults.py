"""Faults that a stand-in shows when it is told to over HTTP.

``POST /faults`` sets the fields that it names and leaves the others,
``GET /faults`` shows them and ``DELETE /faults`` clears them. These calls
answer under every fault but ``exit``. docs/STANDINS.md describes each field.
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
_PATH = "/faults"

StreamKind = typing.Literal[
    "cut", "silent", "cross", "double", "skip", "reorder", "late"
]
_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
_Ms = typing.Annotated[int, msgspec.Meta(ge=0, le=3_600_000)]


class StreamFault(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """A fault where streams send an event at one position.

    Attributes:
        kind: ``cut`` closes the connection after the event ``at``;
            ``silent`` keeps it open and sends no more; ``cross`` puts an
            event of another attempt after it; ``double`` sends it twice;
            ``skip`` leaves it out; ``reorder`` sends it after the next one;
            ``late`` sends it and what follows ``delay_ms`` later.
        at: Position of the event.
        count: How often it is still shown; one less with each time.
        delay_ms: Delay of ``late`` in milliseconds.
    """

    kind: StreamKind
    at: _Count = 0
    count: _Count = 1
    delay_ms: _Ms = 0


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """All faults that are set.

    Attributes:
        exit: End the process at once, as a kill does.
        silent: Go silent for good on the connections that are open now.
        pause_ms: Answer nothing for this time, streams included.
        down: Refuse each call with 503; it has no effect.
        slow_ms: Wait before each call is run.
        late_ms: Wait after each call was run and before its answer.
        lose_answers: Calls that are still run and then cut without an answer.
        leaving: Engines and services: be leaving, no new work is wanted.
        cold: Engines: turn cold now, with the same boot id.
        hide_phase: Engines: report the phase ``warm`` whatever it is.
        wrong_boot_id: Targets: show a boot id that is not the right one.
        forget_attempts: Engines: know no attempt that is asked for again.
        crossed_answers: Targets: answers that are still given as those of
            another attempt, where they aren't streamed.
        streams: Engines: faults in streams.
    """

    exit: bool = False
    silent: bool = False
    pause_ms: _Ms = 0
    down: bool = False
    slow_ms: _Ms = 0
    late_ms: _Ms = 0
    lose_answers: _Count = 0
    leaving: bool = False
    cold: bool = False
    hide_phase: bool = False
    wrong_boot_id: bool = False
    forget_attempts: bool = False
    crossed_answers: _Count = 0
    streams: list[StreamFault] = []


class FaultState:
    """The faults of one stand-in and what they act on.

    Attributes:
        faults: What is set at the moment.
        connections: The server's open connections.
        on_change: Called after each change with what is set.
    """

    __slots__ = (
        "_dead_until",
        "_paused_until",
        "connections",
        "faults",
        "on_change",
    )

    def __init__(
        self,
        *,
        on_change: abc.Callable[[Faults], None] | None = None,
    ) -> None:
        """Starts without faults."""
        self.faults = Faults()
        self.connections = connections.Connections()
        self.on_change = on_change
        self._paused_until = 0.0
        self._dead_until = 0.0

    def change(self, fields: bytes) -> None:
        """Sets the fields that a JSON object names.

        Args:
            fields: The object.

        Raises:
            errors.DocumentError: The object isn't one of faults.
        """
        checked = documents.decode_document(fields, Faults)
        for name in msgspec.json.decode(fields):
            setattr(self.faults, name, getattr(checked, name))
        self._apply_at_once()
        if self.on_change is not None:
            self.on_change(self.faults)
        self.faults.cold = False

    def clear(self) -> None:
        """Clears all faults; a connection that went silent stays so."""
        self.faults = Faults()
        self._paused_until = 0.0
        if self.on_change is not None:
            self.on_change(self.faults)

    def take_stream_fault(self, position: int) -> StreamFault | None:
        """Returns the fault to show with the event sent now, None without."""
        for index, item in enumerate(self.faults.streams):
            if item.at == position and item.count > 0:
                self.faults.streams[index] = msgspec.structs.replace(
                    item, count=item.count - 1
                )
                return item
        return None

    def take_crossed_answer(self) -> bool:
        """Tells whether the answer given now is to show another attempt."""
        if self.faults.crossed_answers == 0:
            return False
        self.faults.crossed_answers -= 1
        return True

    def take_lost_answer(self) -> bool:
        """Tells whether the answer to the call that ran now is lost."""
        if self.faults.lose_answers == 0:
            return False
        self.faults.lose_answers -= 1
        return True

    def die_for(self, duration_s: float) -> None:
        """Cuts all connections, and each new one for some seconds."""
        self._dead_until = time.monotonic() + duration_s
        self.connections.abort()

    def is_dead(self) -> bool:
        """Tells whether each connection is cut at the moment."""
        return time.monotonic() < self._dead_until

    async def wait_while_paused(self) -> None:
        """Returns when no pause is running."""
        while True:
            left = self._paused_until - time.monotonic()
            if left <= 0:
                return
            await asyncio.sleep(min(left, 0.02))

    def _apply_at_once(self) -> None:
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
    """Adds the calls that set, show and clear faults."""

    @app.router.post(_PATH)
    async def set_faults(request: blacksheep.Request) -> blacksheep.Response:
        body = await request.read() or b""
        try:
            state.change(body)
        except errors.DocumentError as error:
            return bodies.answer_json(422, {"problems": error.problems})
        return bodies.answer_json(200, state.faults)

    @app.router.get(_PATH)
    async def show_faults() -> blacksheep.Response:
        return bodies.answer_json(200, state.faults)

    @app.router.delete(_PATH)
    async def clear_faults() -> blacksheep.Response:
        state.clear()
        return bodies.answer_json(200, state.faults)
