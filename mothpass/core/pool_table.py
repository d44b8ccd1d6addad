"""Pools of all models and services, built from the targets in service."""

from collections import abc

from mothpass.core import address_owners
from mothpass.core import catalogue as catalogue_module
from mothpass.core import cold
from mothpass.core import pools
from mothpass.core import targets

REFRESH_INTERVAL_S_PER_TARGET = 0.0001


class PoolTable:
    """Pools by model or service, built from the catalogue and the targets."""

    __slots__ = (
        "_catalogue",
        "_instances_out",
        "_is_stale",
        "_owners",
        "_pools",
        "_refreshed_at",
        "_targets",
        "_zones_out",
    )

    def __init__(
        self,
        *,
        targets_by_id: abc.Mapping[str, targets.Target],
        owners: address_owners.AddressOwners,
    ) -> None:
        """Starts without a catalogue and without pools.

        Args:
            owners: Which target owns each address.
            targets_by_id: Known targets; ``rebuild`` must be called after they
                or the result of ``may_take_work`` have changed.
        """
        self._catalogue: catalogue_module.Catalogue | None = None
        self._instances_out: frozenset[str] = frozenset()
        self._is_stale = False
        self._owners = owners
        self._pools: dict[str, pools.Pool] = {}
        self._refreshed_at = float("-inf")
        self._targets = targets_by_id
        self._zones_out: frozenset[str] = frozenset()

    def set_catalogue(self, catalogue: catalogue_module.Catalogue) -> None:
        """Applies a version of the catalogue."""
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
        """Returns the pools of the models or services that a target serves."""
        served = [self._pools.get(name) for name in target.instance.serves]
        return [pool for pool in served if pool is not None]

    def find_watermark(self, target: targets.Target) -> int:
        """Returns the load up to which a warm target accepts requests.

        This is the largest watermark among what it serves; 0 without a pool.
        """
        watermarks = [
            pool.compute_watermark() for pool in self.list_served(target)
        ]
        return max(watermarks, default=0)

    def may_take_work(self, target: targets.Target) -> bool:
        """Returns whether a target in service may get new work."""
        if target.is_leaving() or self._catalogue is None:
            return False
        instance = target.instance
        if instance.id in self._instances_out:
            return False
        if instance.id in self._owners.superseded:
            return False
        return instance.availability_zone not in self._zones_out

    def rebuild(self) -> None:
        """Rebuilds the pools after the targets in service have changed."""
        catalogue = self._catalogue
        if catalogue is None:
            return
        previous = self._pools
        self._pools = {}
        for model in catalogue.models:
            self._add_pool(
                previous,
                model.name,
                model.target_in_flight,
                model.skew_multiple,
            )
        for service in catalogue.services:
            self._add_pool(
                previous, service.name, service.target_in_flight, None
            )
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

    def mark_loads_changed(self, now: float) -> None:
        """Schedules a refresh, or refreshes at once if one is due."""
        self._is_stale = True
        self.refresh(now)

    def refresh(self, now: float) -> None:
        """Recomputes mean loads, less often the more targets there are."""
        interval_s = len(self._targets) * REFRESH_INTERVAL_S_PER_TARGET
        if not self._is_stale or now - self._refreshed_at < interval_s:
            return
        self._is_stale = False
        self._refreshed_at = now
        for pool in self._pools.values():
            pool.refresh()

    def _add_pool(
        self,
        previous: abc.Mapping[str, pools.Pool],
        name: str,
        target_in_flight: int,
        skew_multiple: float | None,
    ) -> None:
        pool = previous.get(name)
        if pool is None:
            pool = pools.Pool(
                name=name,
                target_in_flight=target_in_flight,
                skew_multiple=skew_multiple,
            )
        pool.target_in_flight = target_in_flight
        pool.skew_multiple = skew_multiple
        self._pools[name] = pool
