"""Applies what the answers of targets say of the targets themselves."""

import asyncio
import logging

from mothpass.adapters import event_log
from mothpass.core import departures
from mothpass.core import fragile_targets
from mothpass.core import target_table
from mothpass.ports import relay
from mothpass.relay import metrics as metrics_module

_logger = logging.getLogger("mothpass.requests")


class TargetNotices:
    """Marks targets that are replaced, leave, pause, or state limits."""

    __slots__ = ("_departure_table", "_fragile_services", "_metrics")

    def __init__(
        self,
        *,
        departure_table: departures.DepartureTable,
        fragile_services: fragile_targets.FragileServices,
        metrics: metrics_module.Metrics,
    ) -> None:
        """Creates an object without state of its own.

        Args:
            departure_table: Targets that answers show to be gone or leaving.
            fragile_services: Services whose targets are fragile.
            metrics: Counters and histograms.
        """
        self._fragile_services = fragile_services
        self._departure_table = departure_table
        self._metrics = metrics

    def find_trouble_start(self, now: float) -> float | None:
        """Returns since when targets have been found replaced, if any were."""
        return self._departure_table.find_start(now)

    def record_head(
        self,
        request_id: str,
        target: target_table.Target,
        head: relay.AnswerHead,
    ) -> None:
        """Records what a target says of itself in the head of an answer."""
        now = asyncio.get_running_loop().time()
        if head.is_leaving and self._departure_table.record_leaving(
            target, now
        ):
            self._count("leaving_targets", target)
            event_log.log(
                _logger,
                "target_leaving",
                request_id=request_id,
                target=target.id,
            )
        if not head.is_other_target and target.limit.record_answer(
            head.limit_per_s, now=now
        ):
            self._count("target_limits", target)
            event_log.log(
                _logger,
                "target_limit",
                request_id=request_id,
                target=target.id,
                per_s=head.limit_per_s,
            )
        service = target.registration.service
        if not head.is_other_target and self._fragile_services.record_answer(
            service, head.turned_away_per_s, now
        ):
            event_log.log(
                _logger,
                "fragile_targets",
                request_id=request_id,
                service=service,
                turned_away_per_s=head.turned_away_per_s,
            )
        if head.pause_s is not None:
            target.paused_until = max(target.paused_until, now + head.pause_s)
            self._count("target_pauses", target)
            event_log.log(
                _logger,
                "target_paused",
                request_id=request_id,
                target=target.id,
                pause_s=head.pause_s,
            )

    def record_rejection(
        self, target: target_table.Target, *, daemons: int
    ) -> None:
        """Records that a target had no room for a request."""
        self._count("target_rejections", target)
        self._fragile_services.record_rejection(
            target.registration.service,
            target.id,
            daemons=daemons,
            now=asyncio.get_running_loop().time(),
        )

    def record_replaced(
        self, request_id: str, target: target_table.Target
    ) -> None:
        """Stops using a target at whose address another one answered."""
        now = asyncio.get_running_loop().time()
        self._departure_table.record_replaced(target, now)
        self._count("replaced_targets", target)
        event_log.log(
            _logger,
            "target_replaced",
            logging.WARNING,
            request_id=request_id,
            target=target.id,
            address=target.registration.address,
            hold_s=departures.REPLACED_HOLD_S,
        )

    def _count(self, name: str, target: target_table.Target) -> None:
        self._metrics.count(name, service=target.registration.service)
