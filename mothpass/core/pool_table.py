"""The pools of all models and services, by what may take work just now."""

from collections import abc

from mothpass.core import catalogue as catalogue_module
from mothpass.core import cold
from mothpass.core import pools
from mothpass.core import targets

REFRESH_S_PER_TARGET = 0.0001


class PoolTable:
    """Pools by name, built from the catalogue and the known targets."""

    __slots__ = (
        "_catalogue",
        "_instances_out",
        "_is_stale",
        "_pools",
        "_refreshed_at",
        "_targets",
        "_zones_out",
    )

    def __init__(self, *, known: abc.Mapping[str, targets.Target]) -> None:
        """Has no catalogue and so no pool.

        Args:
            known: Targets by id; ``rebuild`` must be called when it or what
                may take work has changed.
        """
        self._catalogue: catalogue_module.Catalogue | None = None
        self._instances_out: frozenset[str] = frozenset()
        self._is_stale = False
        self._pools: dict[str, pools.Pool] = {}
        self._refreshed_at = float("-inf")
        self._targets = known
        self._zones_out: frozenset[str] = frozenset()

    def set_catalogue(self, catalogue: catalogue_module.Catalogue) -> None:
        """Takes a version of the catalogue into force."""
        self._catalogue = catalogue
        self._instances_out = frozenset(catalogue.instances_out)
        self._zones_out = frozenset(
            zone.name for zone in catalogue.availability_zones if zone.out
        )
        self.rebuild()

    def find(self, name: str) -> pools.Pool | None:
        """Returns the pool of a model or service, None for an unknown one."""
        return self._pools.get(name)

    def list_served(self, target: targets.Target) -> list[pools.Pool]:
        """Returns the pools of what a target serves."""
        found = [self._pools.get(name) for name in target.instance.serves]
        return [pool for pool in found if pool is not None]

    def find_watermark(self, target: targets.Target) -> int:
        """Returns the load up to which a warm target takes calls.

        Of several models the largest counts; 0 where none is known.
        """
        marks = [pool.watermark() for pool in self.list_served(target)]
        return max(marks, default=0)

    def may_take_work(self, target: targets.Target) -> bool:
        """Tells whether neither operators nor the target itself forbid it."""
        if target.is_leaving() or self._catalogue is None:
            return False
        instance = target.instance
        if instance.id in self._instances_out:
            return False
        return instance.availability_zone not in self._zones_out

    def rebuild(self) -> None:
        """Builds the pools anew, after what may take work has changed."""
        catalogue = self._catalogue
        if catalogue is None:
            return
        old = self._pools
        self._pools = {}
        for model in catalogue.models:
            self._add_pool(
                old, model.name, model.target_in_flight, model.skew_multiple
            )
        for service in catalogue.services:
            self._add_pool(old, service.name, service.target_in_flight, None)
        members: dict[str, list[targets.Target]] = {}
        for target in self._targets.values():
            target.cold_start = cold.find_cold_start(
                catalogue, target.instance.serves
            )
            if self.may_take_work(target):
                for name in target.instance.serves:
                    members.setdefault(name, []).append(target)
        for name, pool in self._pools.items():
            pool.set_members(members.get(name, []))

    def note_loads(self, now: float) -> None:
        """Notes that loads have changed."""
        self._is_stale = True
        self.refresh(now)

    def refresh(self, now: float) -> None:
        """Computes mean loads anew, less often the more targets there are."""
        pause = len(self._targets) * REFRESH_S_PER_TARGET
        if not self._is_stale or now - self._refreshed_at < pause:
            return
        self._is_stale = False
        self._refreshed_at = now
        for pool in self._pools.values():
            pool.refresh()

    def _add_pool(
        self,
        old: abc.Mapping[str, pools.Pool],
        name: str,
        target_in_flight: int,
        skew_multiple: float | None,
    ) -> None:
        pool = old.get(name)
        if pool is None:
            pool = pools.Pool(
                name=name,
                target_in_flight=target_in_flight,
                skew_multiple=skew_multiple,
            )
        pool.target_in_flight = target_in_flight
        pool.skew_multiple = skew_multiple
        self._pools[name] = pool
