"""Connections of a daemon to the platform's services."""

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
    """The platform's services, as this daemon may use them.

    Attributes:
        read_members: Reads the membership list.
        remove_instance: Takes this daemon off that list.
        send_heartbeat: Keeps this daemon on that list.
        store: Table service and object store, within this daemon's share.
    """

    __slots__ = (
        "_exchanges",
        "read_members",
        "remove_instance",
        "send_heartbeat",
        "store",
    )

    def __init__(self, *, chosen: settings.Platform, region: str) -> None:
        """Opens nothing yet.

        Args:
            chosen: Where the services are.
            region: Region that this daemon serves.
        """
        tables_exchange = _build_exchange(chosen.tables_url, chosen)
        objects_exchange = _build_exchange(chosen.objects_url, chosen)
        members_exchange = _build_exchange(chosen.members_url, chosen)
        self._exchanges = (tables_exchange, objects_exchange, members_exchange)
        self.read_members = members_http.build_read_members(
            members_exchange, region
        )
        self.send_heartbeat = heartbeats_http.build_send_heartbeat(
            members_exchange
        )
        self.remove_instance = heartbeats_http.build_remove_instance(
            members_exchange
        )
        rows = tables_http.build_tables(tables_exchange)
        items = objects_http.build_objects(objects_exchange)
        self.store = stores.Store(
            read_row=rows.read_row,
            scan_rows=rows.scan_rows,
            transact=rows.transact,
            get_object=items.get_object,
            put_object=items.put_object,
            store_budget=store_budgets.StoreBudget(
                reads_per_s=chosen.reads_per_s,
                writes_per_s=chosen.writes_per_s,
                daemons=1,
                now=time.monotonic(),
            ),
            monotonic=time.monotonic,
        )

    def close(self) -> None:
        """Closes the connections."""
        for exchange in self._exchanges:
            exchange.close()


def _build_exchange(
    url: str, chosen: settings.Platform
) -> platform_http.PlatformClient:
    return platform_http.PlatformClient(
        url=url, timeout_s=chosen.timeout_ms / 1000
    )
