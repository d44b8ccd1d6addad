"""The HTTP interface of callers, as docs/PROTOCOLS.md says."""

import asyncio
from collections import abc
import logging

import blacksheep
from blacksheep import contents

from mothpass.core import catalogue
from mothpass.core import errors
from mothpass.core import results
from mothpass.daemon import answers
from mothpass.daemon import calls
from mothpass.daemon import client_messages
from mothpass.daemon import dispatch
from mothpass.daemon import request_records
from mothpass.daemon import started_answers
from mothpass.daemon import telemetry
from mothpass.ports import clock
from mothpass.ports import targets

_log = logging.getLogger(__name__)

# Reads a request's body into a call of a team.
ReadCall = abc.Callable[
    [calls.CatalogueIndex, catalogue.Team, calls.Headers, bytes], calls.Call
]

# Answers a call.
Answer = abc.Callable[
    [request_records.Record, calls.Call], abc.Awaitable[blacksheep.Response]
]


class ServingState:
    """What the interface needs to know of the daemon.

    Attributes:
        directory: Entries of the catalogue in force, None before the first.
        leaving: Whether the daemon is to shut down.
        ready: Whether the balancer should send new requests.
        taking: Whether new requests are still taken.
    """

    __slots__ = ("catalogue_index", "leaving", "ready", "accepting")

    def __init__(self) -> None:
        """Starts without a catalogue."""
        self.catalogue_index: calls.CatalogueIndex | None = None
        self.leaving = False
        self.ready = False
        self.accepting = True


class ClientInterface:
    """Answers callers.

    Attributes:
        background: Calls that go on although their caller has left.
    """

    __slots__ = (
        "_body_limit",
        "_clock",
        "_dispatcher",
        "_state",
        "_telemetry",
        "background",
    )

    def __init__(
        self,
        *,
        state: ServingState,
        dispatcher: dispatch.Dispatcher,
        telemetry: telemetry.Telemetry,
        body_limit_bytes: int,
        clock: clock.Monotonic,
    ) -> None:
        """Keeps its parts.

        Args:
            state: State of the daemon.
            dispatcher: Runs calls.
            telemetry: Where the end of each request is reported.
            body_limit_bytes: Larger bodies get 413.
            clock: Monotonic seconds.
        """
        self._state = state
        self._dispatcher = dispatcher
        self._telemetry = telemetry
        self._body_limit = body_limit_bytes
        self._clock = clock
        self.background: set[asyncio.Task[targets.Answer]] = set()

    async def drain(self, deadline: float) -> int:
        """Waits for the calls that go on without their caller.

        Args:
            deadline: Time of the loop at which to stop waiting.

        Returns:
            Calls that are left.
        """
        while self.background:
            left_s = deadline - asyncio.get_running_loop().time()
            if left_s <= 0:
                break
            await asyncio.wait(self.background, timeout=left_s)
        return len(self.background)

    def build_application(self) -> blacksheep.Application:
        """Returns the application with its routes; it must be started."""
        application = blacksheep.Application(router=blacksheep.Router())
        router = application.router

        # The library sets attributes on its handlers, which methods lack.
        async def show_readiness(
            _request: blacksheep.Request,
        ) -> blacksheep.Response:
            if self._state.ready:
                return client_messages.respond(200, b'{"state":"ready"}')
            return client_messages.respond(503, b'{"state":"not ready"}')

        async def complete_chat(
            request: blacksheep.Request,
        ) -> blacksheep.Response:
            return await self._serve(
                request, self._read_chat, self._answer_chat
            )

        async def call_service(
            request: blacksheep.Request,
        ) -> blacksheep.Response:
            return await self._serve_call(request)

        router.add_get("/healthz", _show_health)
        router.add_get("/readyz", show_readiness)
        router.add_post("/v1/chat/completions", complete_chat)
        router.add_post("/v1/services/{name}", call_service)
        router.fallback = client_messages.handle_unknown_path
        return application

    async def _serve_call(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        def read_call(
            catalogue_index: calls.CatalogueIndex,
            team: catalogue.Team,
            headers: calls.Headers,
            body: bytes,
        ) -> calls.Call:
            name = (request.route_values or {}).get("name") or ""
            return calls.read_service_call(
                catalogue_index, team, name, headers, body, now=self._clock()
            )

        return await self._serve(request, read_call, self._answer_service)

    def _read_chat(
        self,
        catalogue_index: calls.CatalogueIndex,
        team: catalogue.Team,
        headers: calls.Headers,
        body: bytes,
    ) -> calls.Call:
        return calls.read_chat(
            catalogue_index, team, headers, body, now=self._clock()
        )

    async def _serve(
        self,
        request: blacksheep.Request,
        read_call: ReadCall,
        answer: Answer,
    ) -> blacksheep.Response:
        """Answers a request, whatever happens to it.

        While the daemon is leaving, answers ask for the connection to be
        closed, so that no request is on its way when it closes by itself.
        """
        response = await self._serve_open(request, read_call, answer)
        if self._state.leaving:
            response.add_header(b"Connection", b"close")
        return response

    async def _serve_open(
        self,
        request: blacksheep.Request,
        read_call: ReadCall,
        answer: Answer,
    ) -> blacksheep.Response:
        """Answers a request or says why not."""
        headers = client_messages.read_headers(request)
        record = request_records.Record(
            caller=client_messages.find_caller(request),
            headers=headers,
            started_at=self._clock(),
        )
        try:
            call = await self._read_call(request, headers, read_call)
            record.call = call
            self._telemetry.start_request(call.team, call.service_class)
            return await answer(record, call)
        except errors.RefusalError as error:
            refusal = record.correct(error.refusal)
            self._end(record, refusal.code)
            return client_messages.respond_refusal(refusal, record.request_id)
        except asyncio.CancelledError:
            self._end(record, results.Code.CALLER_GONE)
            raise
        except Exception:
            _log.exception(
                "request failed", extra={"request_id": record.request_id}
            )
            refusal = record.refuse_internal()
            self._end(record, refusal.code)
            return client_messages.respond_refusal(refusal, record.request_id)

    async def _read_call(
        self,
        request: blacksheep.Request,
        headers: calls.Headers,
        read_call: ReadCall,
    ) -> calls.Call:
        """Reads a request; its key is checked before its body is taken."""
        catalogue_index = self._state.catalogue_index
        if not self._state.accepting:
            raise client_messages.refuse_for_now(
                results.Code.SHUTTING_DOWN, "this daemon is shutting down"
            )
        if catalogue_index is None:
            raise client_messages.refuse_for_now(
                results.Code.NO_CATALOGUE, "no catalogue is in force yet"
            )
        team = catalogue_index.find_team(
            client_messages.read_header(request, b"authorization")
        )
        body = await client_messages.read_body(request, self._body_limit)
        return read_call(catalogue_index, team, headers, body)

    async def _answer_chat(
        self, record: request_records.Record, call: calls.Call
    ) -> blacksheep.Response:
        # The first events come before the status, so that a request that
        # fails before them gets an error answer of its own.
        begun = await self._dispatcher.start_answer(call, record.trace)
        if call.stream:
            record.caller.call_at_end(lambda: self._end_stream(record, begun))
            return _respond_events(self._show_events(record, begun), record)
        await begun.close()
        body = answers.encode_whole(begun.first)
        self._end(record, results.Code.OK)
        return client_messages.respond(200, body, record.request_id)

    def _show_events(
        self, record: request_records.Record, begun: started_answers.Answering
    ) -> abc.Callable[[], abc.AsyncIterator[bytes]]:
        """Returns what yields a streamed answer, to its end or its error."""

        async def show() -> abc.AsyncIterator[bytes]:
            try:
                yield answers.encode_events(begun.first)
                async for events in begun.batches:
                    yield answers.encode_events(events)
                record.code = results.Code.OK
            except errors.MothpassError as error:
                refusal = begun.fail(error, self._clock())
                record.code = refusal.code
                yield answers.encode_refusal_event(refusal, record.request_id)
            except Exception:
                _log.exception(
                    "stream failed", extra={"request_id": record.request_id}
                )
                refusal = record.refuse_internal()
                record.code = refusal.code
                yield answers.encode_refusal_event(refusal, record.request_id)

        return show

    async def _end_stream(
        self, record: request_records.Record, begun: started_answers.Answering
    ) -> None:
        """Ends a streamed answer, however far it has got."""
        self._end(record, record.code)
        await begun.close()

    async def _answer_service(
        self, record: request_records.Record, call: calls.Call
    ) -> blacksheep.Response:
        if call.repeatable:
            answer = await self._dispatcher.call_service(call, record.trace)
        else:
            answer = await self._call_to_the_end(record, call)
        code = results.Code.OK
        if answer.status >= 500:
            code = results.Code.TARGET_FAILED
        self._end(record, code)
        return client_messages.respond(
            answer.status, answer.body, record.request_id
        )

    async def _call_to_the_end(
        self, record: request_records.Record, call: calls.Call
    ) -> targets.Answer:
        """Runs a call that goes on although its caller leaves."""
        task = asyncio.ensure_future(
            self._dispatcher.call_service(call, record.trace)
        )
        self.background.add(task)
        task.add_done_callback(self._forget_background)
        return await asyncio.shield(task)

    def _forget_background(self, task: asyncio.Task[targets.Answer]) -> None:
        self.background.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None and not isinstance(error, errors.MothpassError):
            _log.error("call failed", exc_info=error)

    def _end(self, record: request_records.Record, code: results.Code) -> None:
        """Reports the end of a request."""
        self._telemetry.end_request(record.summarize(code, self._clock()))


async def _show_health(_request: blacksheep.Request) -> blacksheep.Response:
    return client_messages.respond(200, b'{"state":"running"}')


def _respond_events(
    show: abc.Callable[[], abc.AsyncIterator[bytes]],
    record: request_records.Record,
) -> blacksheep.Response:
    """Returns an answer whose body is a stream of events."""
    content = contents.StreamedContent(answers.EVENTS_TYPE, show)
    response = blacksheep.Response(200, content=content)
    response.add_header(b"X-Request-Id", record.request_id.encode())
    response.add_header(b"Cache-Control", b"no-store")
    return response
