"""Holds the state of an attempt at a stand-in engine."""

import asyncio

import msgspec

from mothpass.standin import answers
from mothpass.standin import prefix_cache


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Token counts of one answer."""

    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


class Delta(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Text that a chunk appends to the answer."""

    content: str | None = None


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """Only choice of a chunk."""

    delta: Delta
    finish_reason: str | None
    index: int = 0


class Chunk(msgspec.Struct, frozen=True, kw_only=True):
    """Data of one event; only the last one carries the usage."""

    id: str
    model: str
    choices: list[Choice]
    usage: Usage | msgspec.UnsetType = msgspec.UNSET
    object: str = "chat.completion.chunk"


class GenerationRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request for a generation that an attempt runs.

    Attributes:
        attempt_id: Id of the attempt.
        model: Requested model.
        messages: Prompt.
        max_tokens: Tokens of the answer.
        priority: Priority in the queue; the lowest number runs first.
    """

    attempt_id: str
    model: str
    messages: list[answers.Message]
    max_tokens: int
    priority: int


class Attempt:
    """State of one attempt.

    Attributes:
        generation: Request that it runs.
        blocks: Blocks of its prompt.
        prefill_remaining: Prompt tokens that are still to be prefilled.
        cached_tokens: Prompt tokens that were cached.
        events: Data of the events emitted so far, by position.
        finished: Whether the last event was emitted.
        stopped: Whether it ended without its last event.
        readers: Responses that are being sent from it.
        expires_at: Monotonic time in seconds at which it is cancelled, or
            removed after its end, as it has no reader; None while it has one.
    """

    __slots__ = (
        "_changed",
        "_tokens",
        "blocks",
        "cached_tokens",
        "events",
        "expires_at",
        "finished",
        "generation",
        "prefill_remaining",
        "readers",
        "stopped",
    )

    def __init__(self, *, generation: GenerationRequest) -> None:
        """Composes the whole answer, without emitting events."""
        self.generation = generation
        self.blocks = prefix_cache.split_prompt(generation.messages)
        self.prefill_remaining = 0
        self.cached_tokens = 0
        self.events: list[bytes] = []
        self.finished = False
        self.stopped = False
        self.readers = 0
        self.expires_at: float | None = None
        self._tokens = answers.compose_answer(
            generation.messages, generation.max_tokens
        )
        self._changed = asyncio.Event()

    @property
    def prompt_tokens(self) -> int:
        """Number of tokens of the prompt."""
        return sum(block.tokens for block in self.blocks)

    @property
    def ended(self) -> bool:
        """Whether no more events will be emitted."""
        return self.finished or self.stopped

    @property
    def text(self) -> str:
        """Whole text of the answer."""
        return "".join(self._tokens)

    @property
    def usage(self) -> Usage:
        """Token counts of the whole answer."""
        return Usage(
            prompt_tokens=self.prompt_tokens,
            completion_tokens=len(self._tokens),
            cached_tokens=self.cached_tokens,
        )

    def start(self, *, cached_tokens: int) -> None:
        """Starts to prefill the prompt tokens that aren't cached."""
        self.cached_tokens = cached_tokens
        self.prefill_remaining = self.prompt_tokens - cached_tokens

    def emit(self) -> None:
        """Emits the event of the next token, or the last event."""
        position = len(self.events)
        if position < len(self._tokens):
            delta = Delta(content=self._tokens[position])
            self._add(Choice(delta=delta, finish_reason=None))
            return
        self._add(Choice(delta=Delta(), finish_reason="stop"), self.usage)
        self.finished = True

    def stop(self) -> None:
        """Ends the attempt without its last event."""
        self.stopped = True
        self._changed.set()

    def wake(self) -> None:
        """Wakes all tasks in wait_changed."""
        self._changed.set()

    async def wait_changed(self) -> None:
        """Waits for the next event, the end or a call of wake."""
        self._changed.clear()
        await self._changed.wait()

    def _add(
        self,
        choice: Choice,
        usage: Usage | msgspec.UnsetType = msgspec.UNSET,
    ) -> None:
        chunk = Chunk(
            id=self.generation.attempt_id,
            model=self.generation.model,
            choices=[choice],
            usage=usage,
        )
        self.events.append(msgspec.json.encode(chunk))
        self._changed.set()
