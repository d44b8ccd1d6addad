"""Keeps a daemon's routes in force, targets and closed availability zones."""

import asyncio
from collections import abc
import functools
import logging

from mothpass.adapters import event_log
from mothpass.core import errors
from mothpass.core import route_table
from mothpass.core import stream_origins
from mothpass.core import target_table
from mothpass.ports import replicas

# Entries that expired during an outage of the store are written again within
# about 2 s of its recovery.
RECOVERY_HOLD_S = 2.5

_logger = logging.getLogger("mothpass.state")

# Decodes the operator's document. Raises errors.MalformedInputError.
DecodeRoutes = abc.Callable[[bytes], route_table.RouteTable]

# Decodes a target's entry. Raises errors.MalformedInputError.
DecodeEntry = abc.Callable[[str, bytes], target_table.Registration]


class State:
    """State of a daemon, built from the platform's tables.

    Attributes:
        routes: Routes in force, None before any are known.
        targets: Registered targets.
        has_targets: Whether the targets' table has been read.
        versions: Software versions that have served each service.
    """

    __slots__ = (
        "_closed_zone_prefix",
        "_closed_zones",
        "_decode_entry",
        "_decode_routes",
        "_document_key",
        "_held_until",
        "_rejected",
        "_remove_cached_prompts",
        "has_targets",
        "routes",
        "targets",
        "versions",
    )

    def __init__(
        self,
        *,
        targets: target_table.TargetTable,
        document_key: str,
        closed_zone_prefix: str,
        decode_routes: DecodeRoutes,
        decode_entry: DecodeEntry,
        remove_cached_prompts: abc.Callable[[str], None],
    ) -> None:
        """Creates a state without routes and targets.

        Args:
            targets: Table to keep up to date.
            document_key: Key of the operator's document.
            closed_zone_prefix: Prefix of the keys that close an availability
                zone.
            decode_routes: Decodes the document.
            decode_entry: Decodes a target's entry.
            remove_cached_prompts: Called for a target whose prompt cache is
                lost.
        """
        self.routes: route_table.RouteTable | None = None
        self.targets = targets
        self.has_targets = False
        self.versions = stream_origins.VersionHistory()
        self._document_key = document_key
        self._closed_zone_prefix = closed_zone_prefix
        self._decode_routes = decode_routes
        self._decode_entry = decode_entry
        self._remove_cached_prompts = remove_cached_prompts
        self._closed_zones: set[str] = set()
        self._held_until: dict[str, float] = {}
        # Keys of the entries that name no target.
        self._rejected: set[str] = set()

    def apply_operator_rows(
        self, rows: list[replicas.Row], is_store_stable: bool
    ) -> None:
        """Applies changes of the operator's table."""
        del is_store_stable
        for row in rows:
            _apply_guarded(
                row.key, functools.partial(self._apply_operator_row, row)
            )
        self._apply_closed_zones()

    def apply_target_rows(
        self, rows: list[replicas.Row], is_store_stable: bool
    ) -> None:
        """Applies changes of the targets' table."""
        now = asyncio.get_running_loop().time()
        for row in rows:
            if row.value is None:
                apply = functools.partial(
                    self._apply_removal, row.key, is_store_stable, now
                )
            else:
                apply = functools.partial(
                    self._apply_entry, row.key, row.value, now
                )
            _apply_guarded(row.key, apply)
        self.has_targets = True
        self.versions.record_start(now)

    def record_target_gap(self) -> None:
        """Records that targets may have come and gone unseen until now."""
        self.versions.record_gap(asyncio.get_running_loop().time())

    def expire_held_targets(self) -> None:
        """Removes held targets that didn't register again after an outage."""
        now = asyncio.get_running_loop().time()
        for key, until in list(self._held_until.items()):
            if now >= until:
                self._remove(
                    key, "not registered again after the store recovered"
                )

    def _apply_operator_row(self, row: replicas.Row) -> None:
        if row.key == self._document_key and row.value is not None:
            self._apply_document(row.value)
        elif row.key.startswith(self._closed_zone_prefix):
            zone = row.key.removeprefix(self._closed_zone_prefix)
            if row.value is None:
                self._closed_zones.discard(zone)
            else:
                self._closed_zones.add(zone)

    def _apply_document(self, raw: bytes) -> None:
        try:
            routes = self._decode_routes(raw)
        except errors.MalformedInputError as error:
            event_log.log(
                _logger, "routes_rejected", logging.ERROR, reason=str(error)
            )
            return
        if self.routes is not None and routes.version <= self.routes.version:
            return
        previous_version = None if self.routes is None else self.routes.version
        self.routes = routes
        event_log.log(
            _logger,
            "routes_in_force",
            version=routes.version,
            before=previous_version,
            routes=len(routes.routes),
            keys=len(routes.teams),
        )

    def _apply_closed_zones(self) -> None:
        now = asyncio.get_running_loop().time()
        services = {} if self.routes is None else self.routes.services
        cold_s = max(
            (item.cold_start_s for item in services.values()), default=0
        )
        if self.targets.set_closed_zones(
            self._closed_zones, cold_s=cold_s, now=now
        ):
            event_log.log(
                _logger, "zones_closed", zones=sorted(self._closed_zones)
            )

    def _apply_entry(self, key: str, raw: bytes, now: float) -> None:
        self._held_until.pop(key, None)
        try:
            registration = self._decode_entry(key, raw)
        except errors.MalformedInputError as error:
            event_log.log(
                _logger, "entry_rejected", target=key, reason=str(error)
            )
            self._record_departure(key, now)
            self.targets.remove(key)
            self._rejected.add(key)
            return
        self._rejected.discard(key)
        self._record_departure(key, now)
        is_new = self.targets.put(
            registration, now, may_predate_daemon=not self.has_targets
        )
        if is_new:
            self._remove_cached_prompts(key)
        target = self.targets.targets[key]
        event_log.log(
            _logger,
            "target_changed",
            target=key,
            service=registration.service,
            address=registration.address,
            software=registration.software_version,
            draining=registration.is_draining,
            cold_s=registration.cold_left_s,
            is_new=is_new,
            paused_ms=round((target.paused_until - now) * 1000)
            if target.paused_until > now
            else 0,
            leaving=target.is_leaving,
        )

    def _apply_removal(
        self, key: str, is_store_stable: bool, now: float
    ) -> None:
        is_known = key in self.targets.targets
        if not is_known and key not in self._rejected:
            # It came and went while this daemon was cut off.
            self.versions.record_unseen(now)
        self._rejected.discard(key)
        if is_store_stable or not is_known:
            self._remove(key, "removed")
            return
        self._held_until[key] = now + RECOVERY_HOLD_S
        event_log.log(
            _logger, "target_held", target=key, hold_s=RECOVERY_HOLD_S
        )

    def _record_departure(self, key: str, now: float) -> None:
        target = self.targets.targets.get(key)
        if target is not None:
            self.versions.record_departure(target.registration, now)

    def _remove(self, key: str, reason: str) -> None:
        self._held_until.pop(key, None)
        self._record_departure(key, asyncio.get_running_loop().time())
        self.targets.remove(key)
        self._remove_cached_prompts(key)
        event_log.log(_logger, "target_gone", target=key, reason=reason)


def _apply_guarded(key: str, apply: abc.Callable[[], None]) -> None:
    """Applies one row; a fault with it doesn't hold up the others."""
    try:
        apply()
    except Exception:  # noqa: BLE001 - decoded values may still be harmful
        _logger.exception("row_failed", extra={"fields": {"key": key}})
