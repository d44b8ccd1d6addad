"""Forwards requests to peers that have a path to targets this daemon lacks.

A peer handles such a request like one of its own clients': it chooses the
target, keeps to the pauses, limits and rates that it knows of, and makes the
attempts. It never forwards the request again, and its answer is final unless it
took no part in the request.
"""

import asyncio
from collections import abc
import logging
import random as random_module

import msgspec

from mothpass.adapters import event_log
from mothpass.core import results
from mothpass.core import route_table
from mothpass.core import target_paths
from mothpass.relay import admission
from mothpass.relay import attempts
from mothpass.relay import metrics as metrics_module
from mothpass.relay import peer_requests
from mothpass.relay import progress as progress_module

# Peers that a request is sent to, as one may have lost its path as well.
MAX_PEERS = 2
# Idle connections kept to one peer.
MAX_IDLE_CONNECTIONS = 8
# Refusals that another peer may not give.
_LOCAL_REFUSALS = frozenset(
    {
        results.Code.NO_TARGET,
        results.Code.NO_CATALOGUE,
        results.Code.CATALOGUE_OUTDATED,
        results.Code.SHUTTING_DOWN,
        results.Code.NOT_FOUND,
        results.Code.UNAUTHENTICATED,
    }
)

_logger = logging.getLogger("mothpass.requests")


class PeerForwarding:
    """Sends requests to peers and delivers their answers."""

    __slots__ = (
        "_availability_zone",
        "_list_peer_paths",
        "_metrics",
        "_random",
        "_sender",
    )

    def __init__(
        self,
        *,
        availability_zone: str,
        list_peer_paths: abc.Callable[[], list[target_paths.PeerPath]],
        sender: attempts.AttemptSender,
        metrics: metrics_module.Metrics,
        random: random_module.Random,
    ) -> None:
        """Creates an object without state of its own.

        Args:
            availability_zone: Availability zone of this daemon.
            list_peer_paths: Returns what the live peers say of their paths.
            sender: Sends requests to peers.
            metrics: Counters.
            random: Source of randomness.
        """
        self._availability_zone = availability_zone
        self._list_peer_paths = list_peer_paths
        self._sender = sender
        self._metrics = metrics
        self._random = random

    async def forward(
        self, admitted: admission.Admitted, progress: progress_module.Progress
    ) -> attempts.Outcome | None:
        """Forwards a request to a peer, or to a second one.

        Returns:
            The outcome, None if no peer took the request.
        """
        while len(progress.tried_peers) < MAX_PEERS:
            peer = target_paths.pick_peer(
                self._list_peer_paths(),
                service=admitted.service.name,
                availability_zone=self._availability_zone,
                tried=progress.tried_peers,
                random=self._random,
            )
            if peer is None:
                return None
            progress.tried_peers.add(peer.id)
            outcome = await self._send(admitted, progress, peer)
            if not _may_ask_another(outcome):
                return outcome
            progress.not_run_attempts += 1
        return None

    async def _send(
        self,
        admitted: admission.Admitted,
        progress: progress_module.Progress,
        peer: target_paths.PeerPath,
    ) -> attempts.Outcome:
        loop = asyncio.get_running_loop()
        now = loop.time()
        progress.attempt_count += 1
        attempt = attempts.Attempt(
            request=admitted.request,
            address=peer.address,
            data=peer_requests.encode_request(
                peer.address,
                peer_requests.ForwardedRequest(
                    request=msgspec.structs.replace(
                        admitted.request, position=progress.delivery.position
                    ),
                    timeout_s=admitted.deadline - now,
                    max_attempts=max(1, progress.max_attempts - progress.runs),
                    avoided=sorted(progress.tried),
                    version=progress.version,
                ),
            ),
            deadline=admitted.deadline + attempts.DEADLINE_MARGIN_S,
            # The peer detects silent targets.
            silence_timeout_s=None,
            expects_stream=admitted.route.kind is route_table.Kind.STREAM,
            needs_new_connection=not admitted.route.is_retryable,
            max_idle_connections=MAX_IDLE_CONNECTIONS,
            may_send=lambda: True,
            on_connected=_ignore,
            on_sent=lambda: None,
            on_bytes=_ignore,
            on_head=_ignore,
            on_event=_ignore,
        )
        outcome = None
        try:
            outcome = await self._sender.send(attempt, progress.delivery)
        finally:
            end = "abandoned" if outcome is None else outcome.end.value
            self._metrics.count("forwarded_requests", end=end)
            event_log.log(
                _logger,
                "forwarded",
                request_id=admitted.request.id,
                peer=peer.id,
                service=admitted.service.name,
                end=end,
                status=0 if outcome is None else outcome.status,
                reason="" if outcome is None else outcome.reason,
                ms=round((loop.time() - now) * 1000, 1),
            )
        return outcome


def _may_ask_another(outcome: attempts.Outcome) -> bool:
    """Returns whether the peer took no part in the request."""
    if outcome.end is not attempts.End.NOT_RUN:
        return False
    refusal = None if outcome.head is None else outcome.head.refusal
    return refusal is None or refusal.code in _LOCAL_REFUSALS


def _ignore(_: object) -> None:
    """Ignores what a peer's answer shows of its progress."""
