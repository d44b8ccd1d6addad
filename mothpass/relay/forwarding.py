"""Forwards a request: admission, attempts and the final answer."""

import asyncio
from collections import abc
import functools
import logging
import random as random_module

from mothpass.adapters import event_log
from mothpass.adapters import relay_listener
from mothpass.core import errors
from mothpass.core import fleet_retry_budget
from mothpass.core import prompts
from mothpass.core import queue_admission
from mothpass.core import results
from mothpass.core import route_table
from mothpass.core import shutdowns
from mothpass.core import target_choice
from mothpass.core import target_table
from mothpass.ports import relay
from mothpass.relay import admission
from mothpass.relay import attempts
from mothpass.relay import crashes
from mothpass.relay import metrics as metrics_module
from mothpass.relay import path_probes
from mothpass.relay import peer_forwarding as peer_forwarding_module
from mothpass.relay import peer_requests
from mothpass.relay import progress as progress_module
from mothpass.relay import request_queues
from mothpass.relay import stream_resumption
from mothpass.relay import target_notices

# A target that is silent for this long beyond the route's target latency is
# abandoned for another.
STREAM_SILENCE_TIMEOUT_S = 1.0
PLAIN_SILENCE_TIMEOUT_FACTOR = 2.0
MIN_PLAIN_SILENCE_TIMEOUT_S = 0.25
# A target with a prefill backlog is silent for longer. The engines of the
# deployments prefill 55,000 tokens a second, fewer beside running streams.
MIN_PREFILL_TOKENS_PER_S = 20_000
# Attempts that end without a run before the request is rejected.
MAX_NOT_RUN_ATTEMPTS = 4

# Outcome of an attempt that the client or the deadline cancelled.
_ABANDONED = attempts.Outcome(
    end=attempts.End.LOST, reason="client disconnected or deadline passed"
)

_logger = logging.getLogger("mothpass.requests")


class Forwarder:
    """Forwards the requests of clients to targets.

    Attributes:
        cut_count: Answers that had begun and that a shutdown has cut.
    """

    __slots__ = (
        "_admission",
        "_budgets",
        "_count_daemons",
        "_count_prefill_backlog",
        "_crash_detector",
        "_make_budget",
        "_metrics",
        "_notices",
        "_path_monitor",
        "_peer_forwarding",
        "_prompt_caches",
        "_queues",
        "_random",
        "_read_request",
        "_resumption",
        "_sender",
        "_shutdown",
        "_timeouts",
        "_write_request",
        "cut_count",
    )

    def __init__(
        self,
        *,
        admission_control: admission.AdmissionControl,
        queues: request_queues.RequestQueues,
        prompt_caches: prompts.PromptCacheIndex,
        sender: attempts.AttemptSender,
        make_budget: abc.Callable[[], fleet_retry_budget.FleetRetryBudget],
        count_daemons: abc.Callable[[], int],
        count_prefill_backlog: target_choice.CountPrefillBacklog,
        crash_detector: crashes.CrashDetector,
        notices: target_notices.TargetNotices,
        resumption: stream_resumption.StreamResumption,
        path_monitor: path_probes.PathMonitor,
        peer_forwarding: peer_forwarding_module.PeerForwarding,
        metrics: metrics_module.Metrics,
        read_request: relay.ReadRequest,
        write_request: relay.WriteRequest,
        random: random_module.Random,
    ) -> None:
        """Creates a forwarder.

        Args:
            admission_control: Admits or rejects requests.
            queues: Queues of requests that wait for a slot.
            prompt_caches: Which targets hold which prompts.
            sender: Makes attempts.
            make_budget: Creates the retry budget of a service.
            count_daemons: Counts the daemons that share limits.
            count_prefill_backlog: Counts the tokens that a target has yet to
                prefill.
            crash_detector: Detects crashes of targets.
            notices: Applies what answers say of their targets.
            resumption: Finds the version at which a stream goes on.
            path_monitor: To which services this daemon has no path.
            peer_forwarding: Forwards requests to peers.
            metrics: Counters and histograms.
            read_request: Decodes a client's request.
            write_request: Encodes a target's request.
            random: Source of randomness.
        """
        self._admission = admission_control
        self._queues = queues
        self._prompt_caches = prompt_caches
        self._sender = sender
        self._make_budget = make_budget
        self._budgets: dict[str, fleet_retry_budget.FleetRetryBudget] = {}
        self._count_daemons = count_daemons
        self._count_prefill_backlog = count_prefill_backlog
        self._crash_detector = crash_detector
        self._notices = notices
        self._resumption = resumption
        self._path_monitor = path_monitor
        self._peer_forwarding = peer_forwarding
        self._metrics = metrics
        self._read_request = read_request
        self._write_request = write_request
        self._random = random
        self._shutdown = shutdowns.NONE
        self.cut_count = 0
        # Of the requests in progress.
        self._timeouts: set[asyncio.Timeout] = set()

    @property
    def _is_stopping(self) -> bool:
        return self._shutdown is not shutdowns.NONE

    def start_shutdown(self, shutdown: shutdowns.Shutdown) -> None:
        """Ends all requests by the end of a shutdown, those in progress too.

        Each gets an answer, as far as none has begun.
        """
        self._shutdown = shutdown
        for timeout in self._timeouts:
            when = timeout.when()
            if when is not None and not timeout.expired():
                timeout.reschedule(min(when, shutdown.ends_at))

    def set_retry_limits(self, *, ratio: float, extra: float) -> None:
        """Changes the retry budget of each service."""
        for budget in self._budgets.values():
            budget.set_limits(ratio=ratio, extra=extra)

    async def handle(
        self,
        head: relay.ClientHead,
        body: bytes,
        client: relay_listener.ClientConnection,
    ) -> None:
        """Handles one request; see ``relay_listener.Handle``."""
        await self._serve(self._read_request(head, body), client)

    async def handle_forwarded(
        self,
        forwarded: peer_requests.ForwardedRequest,
        client: relay_listener.ClientConnection,
    ) -> None:
        """Handles a request that a peer has forwarded."""
        self._metrics.count("requests_from_peers")
        responder = peer_requests.PeerResponder(client)
        await self._serve(forwarded.request, responder, forwarded)

    async def _serve(
        self,
        request: relay.Request,
        client: relay_listener.Responder,
        forwarded: peer_requests.ForwardedRequest | None = None,
    ) -> None:
        admitted = self._admit(request)
        if isinstance(admitted, errors.Refusal):
            self._log_end(request, None, None, admitted.code, admitted.message)
            client.write_rejection(admitted)
            return
        if forwarded is None:
            self._get_budget(admitted.service.name).record_request(
                asyncio.get_running_loop().time()
            )
        progress = progress_module.Progress(
            delivery=attempts.Delivery(
                client=client, position=request.position
            ),
            max_attempts=admitted.route.max_attempts,
            forwarded=forwarded,
        )
        refusal: errors.Refusal | None
        timeout = asyncio.timeout_at(
            min(admitted.deadline, self._shutdown.ends_at)
        )
        self._timeouts.add(timeout)
        try:
            async with timeout:
                refusal = await self._find_version(admitted, progress)
                if refusal is None:
                    refusal = await self._make_attempts(admitted, progress)
        except TimeoutError:
            refusal = progress_module.make_timeout_refusal(
                progress, is_shutdown=self._shutdown.ends_at < admitted.deadline
            )
        except asyncio.CancelledError:
            self._log_end(
                request,
                admitted,
                progress,
                results.Code.CALLER_GONE,
                "client disconnected",
            )
            raise
        finally:
            self._timeouts.discard(timeout)
            # It refers to the task. The traceback of a cancelled request would
            # be part of a cycle, and keep its body until that is collected.
            del timeout
        self._finish(admitted, progress, refusal)

    def _admit(
        self, request: relay.Request
    ) -> admission.Admitted | errors.Refusal:
        """Returns the admitted request or a refusal."""
        admitted = self._admission.admit(request)
        if isinstance(admitted, errors.Refusal):
            return admitted
        now = asyncio.get_running_loop().time()
        if self._shutdown.takes_request(now=now, deadline=admitted.deadline):
            return admitted
        return progress_module.make_shutdown_refusal()

    async def _find_version(
        self, admitted: admission.Admitted, progress: progress_module.Progress
    ) -> errors.Refusal | None:
        """Sets the software version at which a stream goes on, if it must."""
        if progress.version is not None:
            return None
        version = await self._resumption.find_version(admitted)
        if isinstance(version, errors.Refusal):
            return version
        progress.version = version
        return None

    async def _make_attempts(
        self, admitted: admission.Admitted, progress: progress_module.Progress
    ) -> errors.Refusal | None:
        """Makes attempts until one ends the request.

        Returns:
            The refusal to send, None if the answer was delivered or the
            failure that a target answered is to be forwarded.
        """
        while True:
            # An attempt that never reached a target needs no retry budget.
            if progress.reached_attempts and not self._spend_retry(admitted):
                return self._make_final_refusal(admitted, progress)
            if self._lacks_path(admitted, progress):
                is_final, refusal = await self._forward(admitted, progress)
                if is_final:
                    return refusal
            choice = await self._acquire_slot(admitted, progress)
            if isinstance(choice, errors.Refusal):
                if not progress.attempt_count:
                    return choice
                return self._make_final_refusal(admitted, progress)
            outcome = await self._dispatch_attempt(admitted, progress, choice)
            progress.reason = outcome.reason
            if outcome.end is attempts.End.DELIVERED:
                return None
            if not self._may_try_again(admitted, progress, outcome):
                return self._make_final_refusal(admitted, progress)

    def _lacks_path(
        self, admitted: admission.Admitted, progress: progress_module.Progress
    ) -> bool:
        """Returns whether this daemon may have no path to the targets."""
        return progress.lacks_path or self._path_monitor.is_cut_off(
            admitted.service.name
        )

    async def _forward(
        self, admitted: admission.Admitted, progress: progress_module.Progress
    ) -> tuple[bool, errors.Refusal | None]:
        """Forwards a request to a peer, as this daemon may have no path.

        Returns:
            Whether that ends the request, and the refusal to send; see
            ``_make_attempts``.
        """
        outcome = None
        if not progress.is_forwarded:
            outcome = await self._peer_forwarding.forward(admitted, progress)
        progress.lacks_path = False
        if outcome is not None:
            return True, self._conclude(admitted, progress, outcome)
        if progress.is_forwarded or self._path_monitor.has_tried_all(
            admitted.service.name
        ):
            return True, self._make_no_path_refusal(admitted, progress)
        return False, None

    def _conclude(
        self,
        admitted: admission.Admitted,
        progress: progress_module.Progress,
        outcome: attempts.Outcome,
    ) -> errors.Refusal | None:
        """Returns the refusal of a request that a peer has handled, if any."""
        progress.reason = outcome.reason
        if outcome.end is attempts.End.DELIVERED:
            return None
        refusal = None if outcome.head is None else outcome.head.refusal
        if refusal is not None and not progress.runs:
            return refusal
        progress.runs += 1
        if outcome.end is attempts.End.FAILED:
            progress.failure = outcome
        return self._make_final_refusal(admitted, progress)

    def _make_no_path_refusal(
        self, admitted: admission.Admitted, progress: progress_module.Progress
    ) -> errors.Refusal:
        if progress.runs:
            return self._make_final_refusal(admitted, progress)
        return admission.make_refusal(
            results.Code.NO_TARGET,
            "no path to the targets",
            request_queues.NO_TARGET_RETRY_AFTER_MS,
        )

    def _may_try_again(
        self,
        admitted: admission.Admitted,
        progress: progress_module.Progress,
        outcome: attempts.Outcome,
    ) -> bool:
        """Records how an attempt ended; returns whether to make another."""
        if outcome.has_arrived:
            progress.reached_attempts += 1
        if outcome.end is attempts.End.NOT_RUN:
            progress.not_run_attempts += 1
            return progress.not_run_attempts < MAX_NOT_RUN_ATTEMPTS
        progress.runs += 1
        progress.failure = (
            outcome if outcome.end is attempts.End.FAILED else None
        )
        if not admitted.route.is_retryable:
            return False
        delivery = progress.delivery
        if delivery.is_streaming and not (
            admitted.route.is_resumable and delivery.is_numbered
        ):
            return False
        if self._crash_detector.crash_suspects.is_quarantined(
            admitted.fingerprint, now=asyncio.get_running_loop().time()
        ):
            return False
        return progress.runs < progress.max_attempts

    async def _acquire_slot(
        self, admitted: admission.Admitted, progress: progress_module.Progress
    ) -> target_choice.Choice | errors.Refusal:
        """Returns a slot at a target for the next attempt, or a refusal."""
        now = asyncio.get_running_loop().time()
        choice = await self._queues.acquire_slot(
            request_queues.SlotRequest(
                request_id=admitted.request.id,
                service=admitted.service.name,
                key=admitted.prompt_key,
                avoided=progress.tried,
                can_fetch=admitted.service.can_fetch,
                priority=admitted.priority,
                team="" if admitted.team is None else admitted.team.name,
                deadline=admitted.deadline,
                version=progress.version,
                alive_since=self._notices.find_trouble_start(now)
                if progress.not_run_attempts
                else None,
            )
        )
        refusal = self._admission.check_parts(admitted.shared_parts)
        if refusal is None or isinstance(choice, errors.Refusal):
            return choice
        self._queues.release_slot(choice.target, was_sent=False)
        return refusal

    async def _dispatch_attempt(
        self,
        admitted: admission.Admitted,
        progress: progress_module.Progress,
        choice: target_choice.Choice,
    ) -> attempts.Outcome:
        loop = asyncio.get_running_loop()
        now = loop.time()
        target = choice.target
        registration = target.registration
        cache_source = choice.cache_source
        dispatch = relay.Dispatch(
            target_id=target.id,
            team=None if admitted.team is None else admitted.team.name,
            priority=admitted.priority,
            timeout_ms=max(1, int((admitted.deadline - now) * 1000)),
            position=progress.delivery.position,
            cache_source=None
            if cache_source is None
            else cache_source.registration.address,
        )
        shared, own = prompts.count_tokens(
            admitted.request.prompt, admitted.request.prompt_tokens
        )
        pending_prefill = progress_module.PendingPrefill(
            target=target, tokens=own if choice.is_cached else shared + own
        )

        connected_at: float | None = None
        was_sent = False

        def record_connected(is_new: bool) -> None:
            nonlocal connected_at
            connected_at = loop.time()
            if is_new:
                self._path_monitor.record_connected(registration.service)

        def record_sent() -> None:
            nonlocal was_sent
            was_sent = True
            target.record_sent(loop.time())

        def record_bytes(at: float) -> None:
            target.last_byte_at = at

        def record_event(position: int) -> None:
            pending_prefill.finish()
            self._crash_detector.record_progress(in_flight, position)
            if progress.version is None and admitted.route.is_resumable:
                progress.version = self._resumption.record_start(
                    admitted.request.id, registration
                )

        attempt = attempts.Attempt(
            request=admitted.request,
            address=registration.address,
            data=self._write_request(admitted.request, dispatch),
            deadline=admitted.deadline + attempts.DEADLINE_MARGIN_S,
            silence_timeout_s=self._compute_silence_timeout(
                admitted, progress, target
            ),
            expects_stream=admitted.route.kind is route_table.Kind.STREAM,
            needs_new_connection=not admitted.route.is_retryable
            or progress.attempt_count > 0,
            max_idle_connections=self._compute_idle_share(admitted),
            may_send=lambda: target.may_get_requests(loop.time()),
            on_connected=record_connected,
            on_sent=record_sent,
            on_bytes=record_bytes,
            on_head=functools.partial(
                self._notices.record_head, admitted.request.id, target
            ),
            on_event=record_event,
        )
        progress.tried.add(target.id)
        progress.attempt_count += 1
        in_flight = self._crash_detector.record_start(
            target,
            admitted.fingerprint,
            admitted.shared_parts,
        )
        self._crash_detector.suspected_parts.record_start(
            admitted.shared_parts, now=now
        )
        if admitted.prompt_key is not None:
            self._prompt_caches.record(
                admitted.prompt_key, target.id, now, tokens=shared
            )
        outcome = _ABANDONED
        try:
            outcome = await self._sender.send(attempt, progress.delivery)
            self._record_outcome(admitted, target, in_flight, outcome)
            if not outcome.is_reachable:
                progress.lacks_path = self._record_unreachable(
                    target, outcome, attempted_at=now
                )
        finally:
            pending_prefill.finish()
            self._queues.release_slot(target, was_sent=was_sent)
            self._crash_detector.record_end(target, in_flight)
            if outcome is _ABANDONED:
                self._record_abandoned(
                    admitted, target, is_connected=connected_at is not None
                )
            event_log.log(
                _logger,
                "attempt",
                request_id=admitted.request.id,
                target=target.id,
                source=None if cache_source is None else cache_source.id,
                prompt=admitted.prompt_key,
                is_held=choice.is_cached,
                reading_tokens=target.prefill_backlog_tokens,
                in_flight=target.in_flight,
                routes_version=admitted.version,
                send=progress.attempt_count,
                end=outcome.end.value,
                status=outcome.status,
                reason=outcome.reason,
                framing=progress.delivery.framing,
                is_whole=progress.delivery.has_whole_answer,
                position=progress.delivery.position,
                is_reused=outcome.is_reused,
                connect_ms=None
                if connected_at is None
                else round((connected_at - now) * 1000, 1),
                software=registration.software_version,
                ms=round((loop.time() - now) * 1000, 1),
            )
        return outcome

    def _record_abandoned(
        self,
        admitted: admission.Admitted,
        target: target_table.Target,
        *,
        is_connected: bool,
    ) -> None:
        """Records an attempt that its request's end has cut short."""
        now = asyncio.get_running_loop().time()
        self._metrics.count(
            "abandoned_attempts", phase="sent" if is_connected else "connecting"
        )
        self._path_monitor.check(target.registration.service)
        if now >= admitted.deadline:
            target.record_ambiguous_failure(now)

    def _compute_idle_share(self, admitted: admission.Admitted) -> int:
        """Returns the idle connections that may be kept to one target.

        Half of the connections that the target allows, split equally among
        the daemons.
        """
        max_idle = admitted.service.max_connections // 2
        return max(1, max_idle // max(1, self._count_daemons()))

    def _record_outcome(
        self,
        admitted: admission.Admitted,
        target: target_table.Target,
        in_flight: crashes.InFlightAttempt,
        outcome: attempts.Outcome,
    ) -> None:
        """Updates metrics and the target's health after an attempt."""
        self._metrics.count("attempts", end=outcome.end.value)
        now = asyncio.get_running_loop().time()
        if outcome.end is attempts.End.DELIVERED:
            target.record_success(now)
            self._crash_detector.record_progress(
                in_flight, crashes.AFTER_LAST_POSITION
            )
            return
        if outcome.is_replaced:
            self._notices.record_replaced(admitted.request.id, target)
        elif outcome.end is attempts.End.NOT_RUN and outcome.status:
            self._notices.record_rejection(
                target, daemons=self._count_daemons()
            )
        if not outcome.is_reachable:
            target.record_failure(now)
        else:
            target.record_ambiguous_failure(now)
        if outcome.is_disconnected:
            self._crash_detector.probe(target)

    def _record_unreachable(
        self,
        target: target_table.Target,
        outcome: attempts.Outcome,
        *,
        attempted_at: float,
    ) -> bool:
        """Records that a target seems out of reach.

        Returns:
            Whether that may be due to the path.
        """
        service = target.registration.service
        if outcome.has_arrived:
            self._path_monitor.check(service)
            return False
        self._path_monitor.record_unreachable(target)
        return self._path_monitor.paths.may_be_cut_off(
            service,
            attempted_at=attempted_at,
            now=asyncio.get_running_loop().time(),
        )

    def _spend_retry(self, admitted: admission.Admitted) -> bool:
        budget = self._get_budget(admitted.service.name)
        now = asyncio.get_running_loop().time()
        is_allowed = budget.try_spend(self._count_daemons(), now)
        if not is_allowed:
            event_log.log(
                _logger,
                "repeat_denied",
                request_id=admitted.request.id,
                service=admitted.service.name,
                daemons=self._count_daemons(),
            )
        return is_allowed

    def _get_budget(self, service: str) -> fleet_retry_budget.FleetRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = self._make_budget()
        return budget

    def _compute_silence_timeout(
        self,
        admitted: admission.Admitted,
        progress: progress_module.Progress,
        target: target_table.Target,
    ) -> float | None:
        """Returns the silence after which another target is tried, if any."""
        route = admitted.route
        is_last = progress.runs + 1 >= progress.max_attempts
        if not route.is_retryable or is_last:
            return None
        if route.kind is route_table.Kind.STREAM:
            prefill_s = (
                self._count_prefill_backlog(target) / MIN_PREFILL_TOKENS_PER_S
            )
            return STREAM_SILENCE_TIMEOUT_S + route.latency_target_s + prefill_s
        return max(
            MIN_PLAIN_SILENCE_TIMEOUT_S,
            PLAIN_SILENCE_TIMEOUT_FACTOR * route.latency_target_s,
        )

    def _make_final_refusal(
        self, admitted: admission.Admitted, progress: progress_module.Progress
    ) -> errors.Refusal:
        """Returns the refusal after the last allowed attempt."""
        if progress.runs:
            return errors.Refusal(
                code=results.Code.TARGET_FAILED,
                ran=results.Ran.UNKNOWN,
                message=progress.reason,
            )
        retry_after_ms = queue_admission.draw_retry_after(
            expected_s=0.0,
            now=asyncio.get_running_loop().time(),
            deadline=admitted.deadline,
            random=self._random,
        )
        return admission.make_refusal(
            results.Code.RETRIES_EXHAUSTED, progress.reason, retry_after_ms
        )

    def _finish(
        self,
        admitted: admission.Admitted,
        progress: progress_module.Progress,
        refusal: errors.Refusal | None,
    ) -> None:
        """Completes the answer to the client and logs the request."""
        client = progress.delivery.client
        code = results.Code.OK
        message = ""
        if client.response_started:
            if refusal is not None:
                code, message = results.Code.ANSWER_INCOMPLETE, progress.reason
                self._metrics.count(
                    "incomplete_answers",
                    shutdown="yes" if self._is_stopping else "no",
                )
                self.cut_count += self._is_stopping
                client.abort()
        elif progress.failure is not None and progress.failure.head is not None:
            head = progress.failure.head
            code, message = results.Code.TARGET_FAILED, progress.reason
            client.write_response(
                head.status, head.headers, progress.failure.body
            )
        elif refusal is not None:
            code, message = refusal.code, refusal.message
            client.write_rejection(refusal)
        self._log_end(admitted.request, admitted, progress, code, message)

    def _log_end(
        self,
        request: relay.Request,
        admitted: admission.Admitted | None,
        progress: progress_module.Progress | None,
        code: results.Code,
        message: str,
    ) -> None:
        now = asyncio.get_running_loop().time()
        route = "" if admitted is None else admitted.route.name
        team = ""
        if admitted is not None and admitted.team is not None:
            team = admitted.team.name
        self._metrics.count("requests", route=route, code=str(int(code)))
        first_ms = None
        if progress is not None and progress.delivery.first_byte_at is not None:
            first_s = progress.delivery.first_byte_at - request.arrived_at
            first_ms = round(first_s * 1000, 1)
            self._metrics.observe("first_byte", first_s, team=team, route=route)
        event_log.log(
            _logger,
            "request",
            request_id=request.id,
            route=route,
            team=team,
            code=int(code),
            message=message,
            routes_version=self._admission.get_routes_version(admitted),
            newer_known_ms=self._admission.measure_lag_ms(admitted),
            sends=0 if progress is None else progress.attempt_count,
            peers=[] if progress is None else sorted(progress.tried_peers),
            is_forwarded=progress is not None and progress.is_forwarded,
            runs=0 if progress is None else progress.runs,
            is_stopping=self._is_stopping,
            reason="" if progress is None else progress.reason,
            began_as=request.resumed_id,
            position=request.position,
            first_ms=first_ms,
            gap_ms=0.0
            if progress is None
            else round(progress.delivery.longest_gap_s * 1000, 1),
            ms=round((now - request.arrived_at) * 1000, 1),
        )
