"""Serves a stand-in engine over HTTP."""

import asyncio
from collections import abc
import time
import uuid

import blacksheep
import msgspec

from mothpass.ports import members
from mothpass.standin import answers
from mothpass.standin import attempts
from mothpass.standin import bodies
from mothpass.standin import connections
from mothpass.standin import engine
from mothpass.standin import heartbeats
from mothpass.standin import identities
from mothpass.standin import servers
from mothpass.standin import settings
from mothpass.standin import streams

_MS_PER_S = 1000
_DEFAULT_PRIORITY = 5


class ChatRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a chat request.

    Attributes:
        model: Requested model.
        messages: Prompt.
        stream: Whether the answer is streamed as events.
        max_tokens: Tokens of the answer.
        chat_id: Id of the chat, None if the client sent none.
    """

    model: str
    messages: list[answers.Message]
    stream: bool = False
    max_tokens: int | None = None
    chat_id: str | None = None


class WholeMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Message of an answer that isn't streamed."""

    role: str
    content: str


class WholeChoice(msgspec.Struct, frozen=True, kw_only=True):
    """Only choice of an answer that isn't streamed."""

    message: WholeMessage
    finish_reason: str = "stop"
    index: int = 0


class Completion(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an answer that isn't streamed."""

    id: str
    model: str
    choices: list[WholeChoice]
    usage: attempts.Usage
    object: str = "chat.completion"


def build_app(state: engine.Engine) -> blacksheep.Application:
    """Builds the HTTP application of an engine."""
    app = blacksheep.Application(router=blacksheep.Router())
    _add_attempt_routes(app.router, state)
    _add_report_routes(app.router, state)
    return app


def _add_attempt_routes(
    router: blacksheep.Router, state: engine.Engine
) -> None:
    @router.post("/v1/chat/completions")
    async def complete(request: blacksheep.Request) -> blacksheep.Response:
        return await _complete(state, request)

    @router.get("/v1/attempts/{id}/events")
    async def resume(request: blacksheep.Request) -> blacksheep.Response:
        return _resume(state, request)

    @router.delete("/v1/attempts/{id}")
    async def cancel(id: str) -> blacksheep.Response:
        state.cancel_attempt(id)
        return bodies.build_response(
            204, headers=state.identity.build_headers(id)
        )


def _add_report_routes(router: blacksheep.Router, state: engine.Engine) -> None:
    @router.get("/v1/load")
    async def read_load() -> blacksheep.Response:
        headers = state.identity.build_headers(None)
        return bodies.build_json_response(200, state.read_load(), headers)

    @router.get("/v1/cache-events")
    async def read_events(request: blacksheep.Request) -> blacksheep.Response:
        after = bodies.read_query_parameter(request, "after") or "0"
        now = time.monotonic()
        events = state.cache_events.read(int(after), now=now)
        headers = state.identity.build_headers(None)
        return bodies.build_json_response(200, events, headers)

    @router.get("/v1/stats")
    async def read_stats() -> blacksheep.Response:
        return bodies.build_json_response(200, state.read_stats())


async def _complete(
    state: engine.Engine, request: blacksheep.Request
) -> blacksheep.Response:
    """Starts an attempt and returns its answer, streamed or whole."""
    attempt_id = bodies.read_header(request, identities.ATTEMPT_HEADER)
    attempt_id = attempt_id or uuid.uuid4().hex
    body = await bodies.read_json(request, ChatRequest)
    if body is None or not body.messages:
        return state.identity.build_rejection(
            400, "invalid chat request", attempt_id
        )
    if state.options.serves and body.model not in state.options.serves:
        return state.identity.build_rejection(
            404, "model is not served by this engine", attempt_id
        )
    reason = state.find_rejection_reason()
    if reason is not None:
        return state.identity.build_rejection(503, reason, attempt_id)
    attempt = state.start_attempt(_build_generation(request, attempt_id, body))
    state.set_chat(attempt, _find_chat_id(body))
    if body.stream:
        return _respond_stream(state, request, attempt, 0)
    return await _respond_whole(state, request, attempt)


def _build_generation(
    request: blacksheep.Request, attempt_id: str, body: ChatRequest
) -> attempts.GenerationRequest:
    priority = bodies.read_header(request, "X-Priority") or ""
    return attempts.GenerationRequest(
        attempt_id=attempt_id,
        model=body.model,
        messages=body.messages,
        max_tokens=body.max_tokens or answers.DEFAULT_MAX_TOKENS,
        priority=int(priority) if priority.isdigit() else _DEFAULT_PRIORITY,
    )


def _find_chat_id(body: ChatRequest) -> str:
    """Returns the chat id, or a digest of the messages that open the chat."""
    if body.chat_id is not None:
        return body.chat_id
    first = []
    for message in body.messages:
        first.append(message)
        if message.role == "user":
            break
    return answers.digest_messages(first)


def _resume(
    state: engine.Engine, request: blacksheep.Request
) -> blacksheep.Response:
    attempt_id = bodies.read_path_parameter(request, "id")
    attempt = state.attempts.get(attempt_id)
    if attempt is None or state.fault_state.faults.forget_attempts:
        return state.identity.build_rejection(
            404, "attempt not found", attempt_id
        )
    start = bodies.read_query_parameter(request, "from") or "0"
    return _respond_stream(state, request, attempt, int(start))


def _respond_stream(
    state: engine.Engine,
    request: blacksheep.Request,
    attempt: attempts.Attempt,
    start: int,
) -> blacksheep.Response:
    connection = servers.get_connection(request)
    attempt_id = attempt.generation.attempt_id

    async def send_events() -> abc.AsyncIterator[bytes]:
        state.add_reader(attempt)
        try:
            frames = streams.stream_events(attempt, start, connection)
            payloads = streams.inject_faults(
                frames,
                state.fault_state.take_stream_fault,
                attempt_id,
                connection,
            )
            async for data in payloads:
                yield data
            if attempt.stopped:
                connection.close()
        finally:
            state.remove_reader(attempt)

    content = blacksheep.StreamedContent(b"text/event-stream", send_events)
    headers = state.identity.build_headers(attempt_id)
    return bodies.build_response(200, content, headers)


async def _respond_whole(
    state: engine.Engine,
    request: blacksheep.Request,
    attempt: attempts.Attempt,
) -> blacksheep.Response:
    connection = servers.get_connection(request)
    state.add_reader(attempt)
    try:
        await _wait_until_ended(attempt, connection)
    finally:
        state.remove_reader(attempt)
    if not attempt.finished:
        connection.close()
        return bodies.build_response(500)
    attempt_id = attempt.generation.attempt_id
    if state.fault_state.take_crossed_answer():
        attempt_id = f"other-{attempt_id}"
    message = WholeMessage(role="assistant", content=attempt.text)
    completion = Completion(
        id=attempt_id,
        model=attempt.generation.model,
        choices=[WholeChoice(message=message)],
        usage=attempt.usage,
    )
    headers = state.identity.build_headers(attempt_id)
    return bodies.build_json_response(200, completion, headers)


async def _wait_until_ended(
    attempt: attempts.Attempt, connection: connections.Connection
) -> None:
    """Returns once the attempt ended or the client closed the connection."""
    connection.add_close_callback(attempt.wake)
    try:
        while not attempt.ended and not connection.closed.is_set():
            await attempt.wait_changed()
    finally:
        connection.remove_close_callback(attempt.wake)


async def run(options: settings.EngineSettings) -> None:
    """Serves an engine until SIGTERM or SIGINT."""
    state = engine.Engine(options=options)
    heartbeat_sender = heartbeats.HeartbeatSender(
        options=options,
        role=members.Role.ENGINE,
        read_state=state.read_state,
    )
    tasks = [
        asyncio.create_task(state.run_batch()),
        asyncio.create_task(state.expire_attempts()),
    ]

    async def stop() -> None:
        state.fault_state.faults.leaving = True
        if options.drain_ms:
            await heartbeat_sender.send_heartbeat()
            await asyncio.sleep(options.drain_ms / _MS_PER_S)
        await heartbeat_sender.remove()

    hooks = servers.Hooks(start=heartbeat_sender.start, stop=stop)
    app = build_app(state)
    await servers.serve(app, options.address, state.fault_state, hooks)
    for task in tasks:
        task.cancel()
