"""Finds the software version at which an interrupted stream goes on."""

import asyncio
from collections import abc
import logging

from mothpass.adapters import event_log
from mothpass.core import errors
from mothpass.core import results
from mothpass.core import stream_origins
from mothpass.core import target_table
from mothpass.relay import admission
from mothpass.relay import metrics as metrics_module
from mothpass.relay import origin_questions

# By then the daemon at which the stream began has announced it.
ORIGIN_RETRY_AFTER_MS = 1200

_logger = logging.getLogger("mothpass.requests")

# Asks peers for the origin of a stream.
AskOrigin = abc.Callable[
    [origin_questions.Question], abc.Awaitable[list[stream_origins.Answer]]
]
# Stands for a stream whose beginning the client doesn't name.
_UNNAMED = 0


class StreamResumption:
    """Knows which version began each stream, as far as it can be known."""

    __slots__ = (
        "_ask_origin",
        "_confirm_targets",
        "_load_memory",
        "_metrics",
        "_origins",
        "_targets",
        "_versions",
    )

    def __init__(
        self,
        *,
        origins: stream_origins.StreamOrigins,
        versions: stream_origins.VersionHistory,
        targets: target_table.TargetTable,
        ask_origin: AskOrigin,
        confirm_targets: abc.Callable[[], abc.Awaitable[bool]],
        load_memory: abc.Callable[[], abc.Awaitable[bool]],
        metrics: metrics_module.Metrics,
    ) -> None:
        """Creates an object without state of its own.

        Args:
            origins: Streams that began at this daemon and at its peers.
            versions: Software versions that have served each service.
            targets: Targets of all services.
            ask_origin: Asks peers for the origin of a stream.
            confirm_targets: Makes sure that all targets registered before the
                call are known; returns whether that is so.
            load_memory: Merges what earlier daemons knew into the origins and
                versions; returns whether that is done.
            metrics: Counters and histograms.
        """
        self._load_memory = load_memory
        self._origins = origins
        self._versions = versions
        self._targets = targets
        self._ask_origin = ask_origin
        self._confirm_targets = confirm_targets
        self._metrics = metrics

    def record_start(
        self, request_id: str, registration: target_table.Registration
    ) -> int:
        """Records a stream's first event; returns the version's fingerprint."""
        origin = stream_origins.Origin(
            stream_origins.fingerprint(request_id),
            stream_origins.fingerprint_version(registration),
        )
        self._origins.record(origin, asyncio.get_running_loop().time())
        return origin.version

    async def find_version(
        self, admitted: admission.Admitted
    ) -> int | errors.Refusal | None:
        """Returns the version at which a request may run.

        Returns:
            The fingerprint of the version, None for any, or the refusal of a
            stream whose version can't be known.
        """
        request = admitted.request
        if request.position is None or not admitted.route.is_resumable:
            return None
        source, version = await self._find_origin(admitted)
        self._metrics.count("stream_resumptions", origin=source)
        event_log.log(
            _logger,
            "stream_resumed",
            request_id=request.id,
            began_as=request.resumed_id,
            position=request.position,
            origin=source,
        )
        if version is not None:
            return version
        return admission.make_refusal(
            results.Code.NO_TARGET,
            "it isn't known which version began the stream",
            ORIGIN_RETRY_AFTER_MS,
        )

    async def answer(
        self, question: origin_questions.Question
    ) -> stream_origins.Answer:
        """Returns what this daemon knows by itself of a stream's origin."""
        recorded = self._origins.find(question.stream)
        if recorded is not None:
            return stream_origins.Answer(version=recorded)
        # The version may have joined since this daemon last heard of any.
        is_confirmed = await self._confirm_targets()
        return self._answer(question, is_confirmed=is_confirmed)

    def _answer(
        self, question: origin_questions.Question, *, is_confirmed: bool
    ) -> stream_origins.Answer:
        return stream_origins.answer_origin(
            recorded=self._origins.find(question.stream),
            versions=self._assess_versions(question.service),
            is_confirmed=is_confirmed,
        )

    async def _find_origin(
        self, admitted: admission.Admitted
    ) -> tuple[str, int | None]:
        """Returns how the version that began a stream is known, and which."""
        resumed_id = admitted.request.resumed_id
        question = origin_questions.Question(
            stream=_UNNAMED
            if resumed_id is None
            else stream_origins.fingerprint(resumed_id),
            service=admitted.service.name,
        )
        recorded = self._origins.find(question.stream)
        if recorded is not None:
            return "known", recorded
        is_confirmed = await self._confirm_targets()
        own = self._answer(question, is_confirmed=is_confirmed)
        is_remembered = True
        if own.version is None:
            is_remembered = await self._load_memory()
            own = self._answer(question, is_confirmed=is_confirmed)
        if own.version is not None:
            return "known", own.version
        answers = [own]
        if resumed_id is not None or not own.is_ambiguous:
            answers += await self._ask_origin(question)
        version = stream_origins.merge_answers(
            answers,
            versions=self._assess_versions(question.service),
            is_confirmed=is_remembered and is_confirmed,
        )
        return ("unknown" if version is None else "asked"), version

    def _assess_versions(self, service: str) -> stream_origins.Versions:
        return self._versions.assess(
            service,
            self._targets.list_registered(service),
            asyncio.get_running_loop().time(),
        )
