"""Asks peers which software version began a stream."""

import asyncio
from collections import abc
import logging
import random as random_module
from urllib import parse

import msgspec

from mothpass.adapters import event_log
from mothpass.adapters import http_pool
from mothpass.core import errors
from mothpass.core import stream_origins
from mothpass.relay import peer_questions

PATH = "/streams/"
# The client waits meanwhile; a peer that is partitioned never answers.
ANSWER_TIMEOUT_S = 0.25
# A few, as nearly all daemons know the origin of a stream.
MAX_ASKED_PEERS = 3

_logger = logging.getLogger("mothpass.requests")


class Question(msgspec.Struct, frozen=True, kw_only=True):
    """A question for the origin of a stream.

    Attributes:
        stream: Fingerprint of the id of the request that began it.
        service: Service of the stream.
    """

    stream: int
    service: str


class OriginQuestions:
    """Asks some live peers at a time."""

    __slots__ = ("_list_peer_addresses", "_pool", "_random")

    def __init__(
        self,
        *,
        pool: http_pool.ConnectionPool,
        list_peer_addresses: abc.Callable[[], list[str]],
        random: random_module.Random,
    ) -> None:
        """Creates an object without state of its own.

        Args:
            pool: Connections to peers.
            list_peer_addresses: Returns the ``ip:port`` of the live peers.
            random: Source of randomness.
        """
        self._pool = pool
        self._list_peer_addresses = list_peer_addresses
        self._random = random

    async def ask(self, question: Question) -> list[stream_origins.Answer]:
        """Returns what those of the asked peers know that answer in time."""
        addresses = self._list_peer_addresses()
        asked = self._random.sample(
            addresses, min(MAX_ASKED_PEERS, len(addresses))
        )
        answers = await asyncio.gather(
            *(self._ask_peer(address, question) for address in asked)
        )
        return [answer for answer in answers if answer is not None]

    async def _ask_peer(
        self, address: str, question: Question
    ) -> stream_origins.Answer | None:
        service = parse.quote(question.service, safe="")
        try:
            return await peer_questions.ask(
                self._pool,
                address,
                f"{PATH}{question.stream}?{service}",
                stream_origins.Answer,
                timeout_s=ANSWER_TIMEOUT_S,
            )
        except errors.MothpassError as error:
            event_log.log(
                _logger,
                "origin_question_failed",
                peer=address,
                reason=str(error),
            )
            return None


def read_question(url: str) -> Question | None:
    """Returns the question of a peer, None if the URL has none."""
    stream, _, service = url.removeprefix(PATH).partition("?")
    if not url.startswith(PATH) or not stream.isdigit():
        return None
    return Question(stream=int(stream), service=parse.unquote(service))
