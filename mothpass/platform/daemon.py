"""Runs a relay daemon with the adapters of the platform."""

import asyncio
import logging
import os
import signal
import sys

import uvloop

from mothpass.adapters import event_log
from mothpass.adapters import http_pool
from mothpass.core import errors
from mothpass.core import prompts
from mothpass.core import target_table
from mothpass.platform import catalogue
from mothpass.platform import clients
from mothpass.platform import members
from mothpass.platform import store as store_module
from mothpass.platform import targets
from mothpass.relay import ports as ports_module
from mothpass.relay import service as service_module
from mothpass.relay import settings as settings_module
from mothpass.relay import state as state_module

# Holds the path of the file rendered from deploy/settings.json.tmpl.
SETTINGS_VARIABLE = "MOTHPASS_SETTINGS"
# A check of the file takes microseconds; changed settings aren't urgent.
SETTINGS_CHECK_INTERVAL_S = 2.0
EXIT_SETTINGS = 2
EXIT_FAILED = 1

_logger = logging.getLogger("mothpass.platform")


class Reloader:
    """Reloads the settings file when it has changed."""

    __slots__ = ("_modified_ns", "_path", "_service", "_store")

    def __init__(
        self,
        *,
        path: str,
        service: service_module.Service,
        store: store_module.Store,
    ) -> None:
        """Creates a reloader for a file that has just been read.

        Args:
            path: Path of the settings file.
            service: Daemon to reload.
            store: Store client, whose address may change.
        """
        self._path = path
        self._service = service
        self._store = store
        self._modified_ns = os.stat(path).st_mtime_ns

    def reload(self) -> None:
        """Reloads the file; an invalid one changes nothing."""
        try:
            self._modified_ns = os.stat(self._path).st_mtime_ns
            settings = service_module.load_settings(self._path)
        except (OSError, errors.DocumentError) as error:
            event_log.log(
                _logger, "settings_rejected", logging.ERROR, reason=str(error)
            )
            return
        self._store.set_address(settings.store)
        self._service.reload(settings)

    async def poll_file(self) -> None:
        """Polls the file for changes, as a signal may not arrive."""
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
            try:
                modified_ns = os.stat(self._path).st_mtime_ns
            except OSError as error:
                event_log.log(
                    _logger,
                    "settings_missing",
                    logging.WARNING,
                    reason=str(error),
                )
                continue
            if modified_ns != self._modified_ns:
                self.reload()


def build_store(
    settings: settings_module.Settings, pool: http_pool.ConnectionPool
) -> store_module.Store:
    """Creates the store client."""
    return store_module.Store(address=settings.store, pool=pool)


def build_pool() -> http_pool.ConnectionPool:
    """Creates the pool of connections to targets, peers and the store."""
    return http_pool.ConnectionPool(
        connect_timeout_ms=service_module.CONNECT_TIMEOUT_MS
    )


def build_service(
    settings: settings_module.Settings,
    pool: http_pool.ConnectionPool,
    store: store_module.Store,
) -> service_module.Service:
    """Creates a daemon with the adapters of the platform."""
    prompt_caches = prompts.PromptCacheIndex(
        lifetime_s=service_module.PROMPT_CACHE_LIFETIME_S
    )
    state = state_module.State(
        targets=target_table.TargetTable(),
        document_key=catalogue.DOCUMENT_KEY,
        closed_zone_prefix=catalogue.EVACUATION_PREFIX,
        decode_routes=catalogue.decode_document,
        decode_entry=members.decode_entry,
        remove_cached_prompts=prompt_caches.remove_target,
    )
    ports = ports_module.Ports(
        operator_table=catalogue.TABLE,
        target_table=members.TABLE,
        compare_operator_values=catalogue.compare_values,
        compare_target_values=members.compare_values,
        read_table=store.read_table,
        follow_table=store.follow_table,
        write_row=store.write_row,
        drop_store_connections=store.drop_connections,
        read_request=clients.read_request,
        write_request=targets.write_request,
        read_answer_head=targets.read_answer_head,
    )
    return service_module.Service(
        settings=settings,
        ports=ports,
        pool=pool,
        state=state,
        prompt_caches=prompt_caches,
    )


async def _run(path: str, settings: settings_module.Settings) -> bool:
    """Runs the daemon; returns whether it was shut down gracefully."""
    pool = build_pool()
    store = build_store(settings, pool)
    service = build_service(settings, pool, store)
    reloader = Reloader(path=path, service=service, store=store)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    polling = loop.create_task(reloader.poll_file())
    try:
        return await service_module.run_until_stopped(service)
    finally:
        polling.cancel()


def main() -> int:
    """Runs the daemon until SIGTERM or SIGINT; returns the exit status."""
    event_log.start_logging(sys.stdout.fileno())
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = service_module.load_settings(path)
    except (OSError, errors.DocumentError) as error:
        event_log.log(
            _logger, "settings_rejected", logging.ERROR, reason=str(error)
        )
        return EXIT_SETTINGS
    try:
        is_graceful = uvloop.run(_run(path, settings))
    except OSError as error:
        event_log.log(_logger, "not_started", logging.ERROR, reason=str(error))
        return EXIT_FAILED
    return 0 if is_graceful else EXIT_FAILED
