"""Runs a relay daemon on the users' platform."""

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
from mothpass.platform import callers
from mothpass.platform import catalogue
from mothpass.platform import members
from mothpass.platform import store as store_module
from mothpass.platform import targets
from mothpass.relay import service as service_module
from mothpass.relay import settings as settings_module
from mothpass.relay import state as state_module

# Names the file that the platform fills from deploy/settings.json.tmpl.
SETTINGS_VARIABLE = "MOTHPASS_SETTINGS"
EXIT_SETTINGS = 2
EXIT_FAILED = 1

_logger = logging.getLogger("mothpass.platform")


def build_service(
    settings: settings_module.Settings,
) -> service_module.Service:
    """Wires a daemon to the platform."""
    pool = http_pool.Pool(connect_timeout_ms=service_module.CONNECT_TIMEOUT_MS)
    store = store_module.Store(address=settings.store, pool=pool)
    memory = prompts.PromptMemory(lifetime_s=service_module.PROMPT_MEMORY_S)
    state = state_module.State(
        targets=target_table.TargetTable(),
        document_key=catalogue.DOCUMENT_KEY,
        evacuation_prefix=catalogue.EVACUATION_PREFIX,
        decode_routes=catalogue.decode_document,
        decode_entry=members.decode_entry,
        forget_target=memory.forget_target,
    )
    ports = service_module.Ports(
        operator_table=catalogue.TABLE,
        target_table=members.TABLE,
        read_table=store.read_table,
        follow_table=store.follow_table,
        write_row=store.write_row,
        read_request=callers.read_request,
        write_request=targets.write_request,
        read_answer_head=targets.read_answer_head,
    )
    return service_module.Service(
        settings=settings, ports=ports, pool=pool, state=state, memory=memory
    )


async def _run(settings: settings_module.Settings) -> None:
    # The settings hold nothing that changes while a process runs.
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGHUP, lambda: event_log.log(_logger, "reload_ignored")
    )
    await service_module.run_until_stopped(build_service(settings))


def main() -> int:
    """Runs until SIGTERM and returns the exit status."""
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
        uvloop.run(_run(settings))
    except OSError as error:
        event_log.log(_logger, "not_started", logging.ERROR, reason=str(error))
        return EXIT_FAILED
    return 0


if __name__ == "__main__":
    sys.exit(main())
