"""Fixtures: a small catalogue and the catalogue components of a daemon."""

import asyncio
import random

import msgspec

from mothpass.core import catalogue
from mothpass.core import revisions
from mothpass.core import store_budgets
from mothpass.daemon import catalogue_log
from mothpass.daemon import catalogues
from mothpass.daemon import proposals
from mothpass.daemon import stores
from tests import fakes_platform

_LIMITS = {"in_flight": 10, "requests_per_s": 10, "queued": 10}
_SERVICE = {
    "name": "payment",
    "owner": "desk",
    "class": "quick",
    "limits": _LIMITS,
    "repeatable": False,
    "target_in_flight": 4,
}
CATALOGUE = {
    "classes": [{"name": "quick", "priority": 1, "deadline_ms": 5000}],
    "models": [],
    "services": [_SERVICE],
    "teams": [
        {
            "name": "north",
            "owner": "ann",
            "class": "quick",
            "limits": _LIMITS,
            "key_sha256": ["a" * 64],
            "uses": ["payment"],
        }
    ],
    "availability_zones": [
        {"name": "zone-a", "region": "west"},
        {"name": "zone-b", "region": "west"},
    ],
}


def decode_sample() -> catalogue.Catalogue:
    """Returns the sample catalogue."""
    return catalogue.decode_catalogue(msgspec.json.encode(CATALOGUE))


async def yield_once(_seconds: float) -> None:
    """Yields to other tasks once, in place of a sleep."""
    await asyncio.sleep(0)


class Node:
    """Catalogue components of one daemon.

    Attributes:
        name: Id of the daemon.
        served: Versions passed to ``on_change``, in order.
        now: Monotonic seconds that the components read.
    """

    __slots__ = (
        "budget",
        "catalogues",
        "name",
        "now",
        "proposals",
        "served",
    )

    def __init__(
        self,
        *,
        daemon_id: str,
        tables: fakes_platform.MemoryTables,
        objects: fakes_platform.MemoryObjects,
    ) -> None:
        self.name = daemon_id
        self.now = 0.0
        self.served: list[int] = []
        self.budget = store_budgets.StoreBudget(
            reads_per_s=1000, writes_per_s=1000, daemons=1, now=0.0
        )
        store = stores.Store(
            read_row=tables.read_row,
            scan_rows=tables.scan_rows,
            transact=tables.transact,
            get_object=objects.get_object,
            put_object=objects.put_object,
            store_budget=self.budget,
            monotonic=self.read_clock,
        )
        self.catalogues = catalogues.CatalogueReplica(
            log=catalogue_log.CatalogueLog(
                store=store,
                sleep=yield_once,
                priority=store_budgets.Priority.POLL,
            ),
            monotonic=self.read_clock,
            random=random.Random(1),
            on_change=self.record,
        )
        self.proposals = proposals.ChangeProposer(
            daemon_id=daemon_id,
            replica=self.catalogues,
            log=catalogue_log.CatalogueLog(
                store=store,
                sleep=yield_once,
                priority=store_budgets.Priority.CLAIM,
            ),
            wall=self.read_clock,
            sleep=yield_once,
            random=random.Random(daemon_id),
        )

    def read_clock(self) -> float:
        return self.now

    def record(self, revision: revisions.Revision) -> None:
        self.served.append(revision.version)

    def find_zone(self, name: str) -> catalogue.AvailabilityZone:
        """Returns a zone of the catalogue in force."""
        zones = self.catalogues.newest.catalogue.availability_zones
        return next(zone for zone in zones if zone.name == name)


def build_node(
    daemon_id: str,
    tables: fakes_platform.MemoryTables,
    objects: fakes_platform.MemoryObjects,
) -> Node:
    """Builds the catalogue components of one daemon over shared fakes."""
    return Node(daemon_id=daemon_id, tables=tables, objects=objects)
