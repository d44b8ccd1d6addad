"""HTTP interface for clients, as specified in docs/PROTOCOLS.md."""

import asyncio
from collections import abc
import logging

import blacksheep
from blacksheep import contents

from mothpass.core import catalogue
from mothpass.core import errors
from mothpass.core import results
from mothpass.daemon import answers
from mothpass.daemon import client_messages
from mothpass.daemon import client_requests
from mothpass.daemon import dispatch
from mothpass.daemon import request_records
from mothpass.daemon import started_answers
from mothpass.daemon import telemetry
from mothpass.ports import clock
from mothpass.ports import targets

# Refusals that a newer catalogue may lift.
_DECIDED_BY_CATALOGUE = frozenset(
    {
        results.Code.UNAUTHENTICATED,
        results.Code.FORBIDDEN,
        results.Code.UNKNOWN_MODEL,
        results.Code.UNKNOWN_SERVICE,
    }
)

_logger = logging.getLogger(__name__)

# Validates a team's request from its headers and body.
RequestReader = abc.Callable[
    [
        client_requests.CatalogueIndex,
        catalogue.Team,
        client_requests.Headers,
        bytes,
    ],
    client_requests.ClientRequest,
]

# Handles a validated request and returns its response.
RequestHandler = abc.Callable[
    [request_records.RequestRecord, client_requests.ClientRequest],
    abc.Awaitable[blacksheep.Response],
]


class ServingState:
    """State of the daemon that decides how requests are served.

    Attributes:
        accepting: Whether new requests are accepted.
        catalogue_index: Index of the catalogue in force, None before the
            first.
        is_catalogue_behind: Returns whether a newer catalogue is known of.
        leaving: Whether the daemon is shutting down.
        ready: Whether the load balancer should send new requests.
    """

    __slots__ = (
        "accepting",
        "catalogue_index",
        "is_catalogue_behind",
        "leaving",
        "ready",
    )

    def __init__(self) -> None:
        """Starts without a catalogue."""
        self.catalogue_index: client_requests.CatalogueIndex | None = None
        self.is_catalogue_behind: abc.Callable[[], bool] = lambda: False
        self.leaving = False
        self.ready = False
        self.accepting = True


class ClientInterface:
    """Serves clients over HTTP.

    Attributes:
        background: Non-repeatable requests in flight; they continue when
            their client disconnects.
    """

    __slots__ = (
        "_body_limit_bytes",
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
        """Starts with no requests in flight.

        Args:
            state: State of the daemon.
            dispatcher: Dispatches requests to targets.
            telemetry: Receives a record of each ended request.
            body_limit_bytes: Larger bodies are rejected with status 413.
            clock: Monotonic seconds.
        """
        self._state = state
        self._dispatcher = dispatcher
        self._telemetry = telemetry
        self._body_limit_bytes = body_limit_bytes
        self._clock = clock
        self.background: set[asyncio.Task[targets.Answer]] = set()

    async def drain(self, deadline: float) -> int:
        """Waits for the requests in ``background``.

        Args:
            deadline: Time of the event loop at which to stop waiting.

        Returns:
            The number of requests still in flight.
        """
        while self.background:
            remaining_s = deadline - asyncio.get_running_loop().time()
            if remaining_s <= 0:
                break
            await asyncio.wait(self.background, timeout=remaining_s)
        return len(self.background)

    def build_application(self) -> blacksheep.Application:
        """Returns the application with its routes, not yet started."""
        application = blacksheep.Application(router=blacksheep.Router())
        router = application.router

        # blacksheep sets attributes on handlers, which methods don't allow.
        async def get_readiness(
            _request: blacksheep.Request,
        ) -> blacksheep.Response:
            if self._state.ready:
                return client_messages.build_response(200, b'{"state":"ready"}')
            return client_messages.build_response(503, b'{"state":"not ready"}')

        async def complete_chat(
            http_request: blacksheep.Request,
        ) -> blacksheep.Response:
            return await self._serve(
                http_request, self._read_chat_request, self._handle_chat
            )

        async def call_service(
            http_request: blacksheep.Request,
        ) -> blacksheep.Response:
            return await self._serve_service_call(http_request)

        router.add_get("/healthz", _get_health)
        router.add_get("/readyz", get_readiness)
        router.add_post("/v1/chat/completions", complete_chat)
        router.add_post("/v1/services/{name}", call_service)
        router.fallback = client_messages.handle_unknown_path
        return application

    async def _serve_service_call(
        self, http_request: blacksheep.Request
    ) -> blacksheep.Response:
        def read_request(
            catalogue_index: client_requests.CatalogueIndex,
            team: catalogue.Team,
            headers: client_requests.Headers,
            body: bytes,
        ) -> client_requests.ClientRequest:
            name = (http_request.route_values or {}).get("name") or ""
            return client_requests.read_service_request(
                catalogue_index, team, name, headers, body, now=self._clock()
            )

        return await self._serve(
            http_request, read_request, self._handle_service_call
        )

    def _read_chat_request(
        self,
        catalogue_index: client_requests.CatalogueIndex,
        team: catalogue.Team,
        headers: client_requests.Headers,
        body: bytes,
    ) -> client_requests.ClientRequest:
        return client_requests.read_chat_request(
            catalogue_index, team, headers, body, now=self._clock()
        )

    async def _serve(
        self,
        http_request: blacksheep.Request,
        read_request: RequestReader,
        handle: RequestHandler,
    ) -> blacksheep.Response:
        """Returns the response to a request, also if it fails.

        During shutdown, responses carry ``Connection: close``, so that no
        request is in transit when the daemon closes the connection.
        """
        response = await self._handle_request(
            http_request, read_request, handle
        )
        if self._state.leaving:
            response.add_header(b"Connection", b"close")
        return response

    async def _handle_request(
        self,
        http_request: blacksheep.Request,
        read_request: RequestReader,
        handle: RequestHandler,
    ) -> blacksheep.Response:
        """Handles a request; returns an error response if it fails."""
        headers = client_messages.read_headers(http_request)
        record = request_records.RequestRecord(
            connection=client_messages.get_connection(http_request),
            headers=headers,
            started_at=self._clock(),
        )
        try:
            request = await self._read_request(
                http_request, headers, read_request
            )
            record.request = request
            self._telemetry.start_request(request.team, request.service_class)
            return await handle(record, request)
        except errors.RefusalError as error:
            refusal = record.correct_ran(error.refusal)
            self._report_end(record, refusal.code)
            return client_messages.build_error_response(
                refusal, record.request_id
            )
        except asyncio.CancelledError:
            self._report_end(record, results.Code.CALLER_GONE)
            raise
        except Exception:
            _logger.exception(
                "request failed", extra={"request_id": record.request_id}
            )
            refusal = record.build_internal_error()
            self._report_end(record, refusal.code)
            return client_messages.build_error_response(
                refusal, record.request_id
            )

    async def _read_request(
        self,
        http_request: blacksheep.Request,
        headers: client_requests.Headers,
        read_request: RequestReader,
    ) -> client_requests.ClientRequest:
        """Reads a request; checks its API key before reading its body.

        Raises:
            errors.RefusalError: If the request is rejected.
        """
        catalogue_index = self._state.catalogue_index
        if not self._state.accepting:
            raise client_messages.build_retryable_rejection(
                results.Code.SHUTTING_DOWN, "this daemon is shutting down"
            )
        if catalogue_index is None:
            raise client_messages.build_retryable_rejection(
                results.Code.NO_CATALOGUE, "no catalogue is in force yet"
            )
        try:
            team = catalogue_index.authenticate(
                client_messages.read_header(http_request, b"authorization")
            )
            body = await client_messages.read_body(
                http_request, self._body_limit_bytes
            )
            return read_request(catalogue_index, team, headers, body)
        except errors.RefusalError as error:
            is_lifted = error.refusal.code in _DECIDED_BY_CATALOGUE
            if is_lifted and self._state.is_catalogue_behind():
                raise client_messages.build_retryable_rejection(
                    results.Code.CATALOGUE_OUTDATED,
                    f"{error.refusal.message}, and a newer catalogue is known",
                ) from error
            raise

    async def _handle_chat(
        self,
        record: request_records.RequestRecord,
        request: client_requests.ClientRequest,
    ) -> blacksheep.Response:
        # The response starts after the first events, so that a request that
        # fails before them gets an error status.
        answer = await self._dispatcher.start_answer(request, record.trace)
        if request.stream:
            record.connection.set_end_callback(
                lambda: self._finish_stream(record, answer)
            )
            return _build_event_response(
                self._stream_events(record, answer), record
            )
        await answer.close()
        body = answers.encode_completion(answer.first)
        self._report_end(record, results.Code.OK)
        return client_messages.build_response(200, body, record.request_id)

    def _stream_events(
        self,
        record: request_records.RequestRecord,
        answer: started_answers.StartedAnswer,
    ) -> abc.Callable[[], abc.AsyncIterator[bytes]]:
        """Returns a generator function of a streamed answer's events.

        If the answer fails, its last event is an error.
        """

        async def generate_events() -> abc.AsyncIterator[bytes]:
            try:
                yield answers.encode_events(answer.first)
                async for events in answer.batches:
                    yield answers.encode_events(events)
                record.code = results.Code.OK
            except errors.MothpassError as error:
                refusal = answer.record_failure(error, self._clock())
                record.code = refusal.code
                yield answers.encode_refusal_event(refusal, record.request_id)
            except Exception:
                _logger.exception(
                    "stream failed", extra={"request_id": record.request_id}
                )
                refusal = record.build_internal_error()
                record.code = refusal.code
                yield answers.encode_refusal_event(refusal, record.request_id)

        return generate_events

    async def _finish_stream(
        self,
        record: request_records.RequestRecord,
        answer: started_answers.StartedAnswer,
    ) -> None:
        """Reports the end of a streamed answer and releases its attempt."""
        self._report_end(record, record.code)
        await answer.close()

    async def _handle_service_call(
        self,
        record: request_records.RequestRecord,
        request: client_requests.ClientRequest,
    ) -> blacksheep.Response:
        if request.repeatable:
            answer = await self._dispatcher.call_service(request, record.trace)
        else:
            answer = await self._call_detached(record, request)
        code = results.Code.OK
        if answer.status >= 500:
            code = results.Code.TARGET_FAILED
        self._report_end(record, code)
        return client_messages.build_response(
            answer.status, answer.body, record.request_id
        )

    async def _call_detached(
        self,
        record: request_records.RequestRecord,
        request: client_requests.ClientRequest,
    ) -> targets.Answer:
        """Runs a request that continues if its client disconnects."""
        task = asyncio.ensure_future(
            self._dispatcher.call_service(request, record.trace)
        )
        self.background.add(task)
        task.add_done_callback(self._discard_background)
        # Its body is held for as long as it runs, also without its client.
        record.connection.body.add_owner()
        task.add_done_callback(record.connection.body.release)
        return await asyncio.shield(task)

    def _discard_background(self, task: asyncio.Task[targets.Answer]) -> None:
        self.background.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None and not isinstance(error, errors.MothpassError):
            _logger.error("background request failed", exc_info=error)

    def _report_end(
        self, record: request_records.RequestRecord, code: results.Code
    ) -> None:
        """Reports the end of a request to telemetry."""
        self._telemetry.end_request(record.build_summary(code, self._clock()))


async def _get_health(_request: blacksheep.Request) -> blacksheep.Response:
    return client_messages.build_response(200, b'{"state":"running"}')


def _build_event_response(
    generate_events: abc.Callable[[], abc.AsyncIterator[bytes]],
    record: request_records.RequestRecord,
) -> blacksheep.Response:
    """Returns a response whose body is an event stream."""
    content = contents.StreamedContent(answers.EVENTS_TYPE, generate_events)
    response = blacksheep.Response(200, content=content)
    response.add_header(b"X-Request-Id", record.request_id.encode())
    response.add_header(b"Cache-Control", b"no-store")
    return response
