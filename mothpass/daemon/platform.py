"""Builds a daemon's clients of the platform's services."""

import time

from mothpass.adapters import heartbeats_http
from mothpass.adapters import members_http
from mothpass.adapters import objects_http
from mothpass.adapters import platform_http
from mothpass.adapters import tables_http
from mothpass.core import store_budgets
from mothpass.daemon import settings
from mothpass.daemon import stores


class Platform:
    """Clients of the platform's services.

    Attributes:
        read_members: Reads the membership list.
        remove_instance: Removes this daemon from the membership list.
        send_heartbeat: Renews this daemon's entry in the membership list.
        store: Table service and object store, within this daemon's share of
            the store budget.
    """

    __slots__ = (
        "_clients",
        "read_members",
        "remove_instance",
        "send_heartbeat",
        "store",
    )

    def __init__(
        self, *, platform_settings: settings.Platform, region: str
    ) -> None:
        """Builds the clients without opening a connection.

        Args:
            platform_settings: Addresses, timeout and store budget.
            region: Region that this daemon serves.
        """
        tables_client = _build_client(
            platform_settings.tables_url, platform_settings
        )
        objects_client = _build_client(
            platform_settings.objects_url, platform_settings
        )
        members_client = _build_client(
            platform_settings.members_url, platform_settings
        )
        self._clients = (tables_client, objects_client, members_client)
        self.read_members = members_http.build_read_members(
            members_client, region
        )
        self.send_heartbeat = heartbeats_http.build_send_heartbeat(
            members_client
        )
        self.remove_instance = heartbeats_http.build_remove_instance(
            members_client
        )
        tables = tables_http.build_tables(tables_client)
        objects = objects_http.build_objects(objects_client)
        self.store = stores.Store(
            read_row=tables.read_row,
            scan_rows=tables.scan_rows,
            transact=tables.transact,
            get_object=objects.get_object,
            put_object=objects.put_object,
            store_budget=store_budgets.StoreBudget(
                reads_per_s=platform_settings.reads_per_s,
                writes_per_s=platform_settings.writes_per_s,
                daemons=1,
                now=time.monotonic(),
            ),
            monotonic=time.monotonic,
        )

    def close(self) -> None:
        """Closes the connections."""
        for client in self._clients:
            client.close()


def _build_client(
    url: str, platform_settings: settings.Platform
) -> platform_http.PlatformClient:
    return platform_http.PlatformClient(
        url=url, timeout_s=platform_settings.timeout_ms / 1000
    )
