"""One attempt at a stand-in engine, from its prompt to its last event."""

import asyncio

import msgspec

from mothpass.standin import answers
from mothpass.standin import prefixes


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens of one answer."""

    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


class Delta(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What a chunk adds to the answer."""

    content: str | None = None


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """The one choice of a chunk."""

    delta: Delta
    finish_reason: str | None
    index: int = 0


class Chunk(msgspec.Struct, frozen=True, kw_only=True):
    """Data of one event; usage stands in the last one only."""

    id: str
    model: str
    choices: list[Choice]
    usage: Usage | msgspec.UnsetType = msgspec.UNSET
    object: str = "chat.completion.chunk"


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """What an attempt is asked to do.

    Attributes:
        attempt_id: Unique id.
        model: Model as the caller named it.
        messages: Prompt.
        max_tokens: Tokens of the answer.
        priority: 0 is the most urgent.
    """

    attempt_id: str
    model: str
    messages: list[answers.Message]
    max_tokens: int
    priority: int


class Attempt:
    """State of one attempt.

    Attributes:
        order: What it is asked to do.
        blocks: Blocks of its prompt.
        prefill_left: Prompt tokens still to be read.
        cached_tokens: Prompt tokens that were cached.
        events: Data of the events so far, by position.
        finished: Whether the last event is among them.
        stopped: Whether it ended without its last event.
        readers: Answers that are being sent from it.
        expires_at: Monotonic seconds at which it is cancelled for want of a
            reader, or forgotten after its end; None while it is read.
    """

    __slots__ = (
        "_changed",
        "_tokens",
        "blocks",
        "cached_tokens",
        "events",
        "expires_at",
        "finished",
        "order",
        "prefill_left",
        "readers",
        "stopped",
    )

    def __init__(self, *, order: Order) -> None:
        """Composes the answer, of which nothing is shown yet."""
        self.order = order
        self.blocks = prefixes.split_prompt(order.messages)
        self.prefill_left = 0
        self.cached_tokens = 0
        self.events: list[bytes] = []
        self.finished = False
        self.stopped = False
        self.readers = 0
        self.expires_at: float | None = None
        self._tokens = answers.compose_answer(order.messages, order.max_tokens)
        self._changed = asyncio.Event()

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the prompt."""
        return sum(block.tokens for block in self.blocks)

    @property
    def ended(self) -> bool:
        """Whether no more events follow."""
        return self.finished or self.stopped

    @property
    def text(self) -> str:
        """The whole text of the answer."""
        return "".join(self._tokens)

    @property
    def usage(self) -> Usage:
        """Tokens of the whole answer."""
        return Usage(
            prompt_tokens=self.prompt_tokens,
            completion_tokens=len(self._tokens),
            cached_tokens=self.cached_tokens,
        )

    def start(self, *, cached_tokens: int) -> None:
        """Starts to read the prompt, of which some tokens are cached."""
        self.cached_tokens = cached_tokens
        self.prefill_left = self.prompt_tokens - cached_tokens

    def emit(self) -> None:
        """Adds the event of the next token, or the last event."""
        position = len(self.events)
        if position < len(self._tokens):
            delta = Delta(content=self._tokens[position])
            self._add(Choice(delta=delta, finish_reason=None))
            return
        self._add(Choice(delta=Delta(), finish_reason="stop"), self.usage)
        self.finished = True

    def stop(self) -> None:
        """Ends it without its last event."""
        self.stopped = True
        self._changed.set()

    def wake(self) -> None:
        """Wakes all that wait for a change."""
        self._changed.set()

    async def wait_changed(self) -> None:
        """Returns at the next event, end or wake."""
        self._changed.clear()
        await self._changed.wait()

    def _add(
        self,
        choice: Choice,
        usage: Usage | msgspec.UnsetType = msgspec.UNSET,
    ) -> None:
        chunk = Chunk(
            id=self.order.attempt_id,
            model=self.order.model,
            choices=[choice],
            usage=usage,
        )
        self.events.append(msgspec.json.encode(chunk))
        self._changed.set()
