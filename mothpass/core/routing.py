"""Chooses the target of each attempt in one daemon.

A chat goes to the first target of its order of preference that has headroom,
which is what is left below the watermark of a target's load. The daemons
share the headroom until the next report, so that daemons that see the same
stale report don't all fill it.
"""

from collections import abc
import random as random_module

import msgspec

from mothpass.core import address_owners
from mothpass.core import buckets
from mothpass.core import catalogue as catalogue_module
from mothpass.core import errors
from mothpass.core import gate_directory
from mothpass.core import gates
from mothpass.core import peer_counts
from mothpass.core import pool_table
from mothpass.core import pools
from mothpass.core import reserves
from mothpass.core import results
from mothpass.core import targets
from mothpass.ports import members as members_port

DEAD_BOOT_PUBLICATION_S = 2.0
EARLY_PUBLICATIONS_PER_S = 6.0
EARLY_PUBLICATION_BURST = 12.0
LOW_HEADROOM_REQUESTS = 8
RECHECK_INTERVAL_S = 0.1
WARM_UP_CHAT_DIVISOR = 4
RETRY_AFTER_MS = 1000
MAX_REQUEST_MS = 600_000


class RouteRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that needs a target.

    Attributes:
        name: Model or service.
        chat: 64-bit hash of the chat; None for a request to a service.
        excluded: Targets that the request must not go to.
        alone: Whether it is the trial of a crash suspect, which must be the
            only request at its target.
    """

    name: str
    chat: int | None
    excluded: frozenset[str] = frozenset()
    alone: bool = False


class Send(msgspec.Struct, frozen=True, kw_only=True):
    """Send the request to a target now.

    Attributes:
        target_id: Instance id of the target.
        address: ``ip:port`` of the target.
        permit: Permit from the reserve, None where none is needed.
    """

    target_id: str
    address: str
    permit: gates.Permit | None


class RequestPermit(msgspec.Struct, frozen=True, kw_only=True):
    """Send the request to a target once its gate has granted a permit.

    Attributes:
        target_id: Instance id of the target.
        boot_id: Boot id of the target.
        gates: Ids of the daemons to request the permit from, in order.
        alone: Whether the request is the trial of a crash suspect.
    """

    target_id: str
    boot_id: str
    gates: tuple[str, ...]
    alone: bool = False


class Wait(msgspec.Struct, frozen=True, kw_only=True):
    """No target accepts the request now.

    Attributes:
        until: Latest monotonic seconds at which to choose again.
    """

    until: float


Placement = Send | RequestPermit | Wait | errors.Refusal


class Router:
    """Places the requests of one daemon on targets.

    Attributes:
        targets: Local state of each target, by id.
        daemons: Ids of the live daemons of the region, sorted.
        publish_now: Called to publish this daemon's counts before the next
            tick, when a target is close to its watermark.
    """

    __slots__ = (
        "_instance_id",
        "_peers",
        "_gate_directory",
        "_owners",
        "_pools",
        "_publication_limiter",
        "_random",
        "_rank",
        "_reserves",
        "daemons",
        "publish_now",
        "targets",
    )

    def __init__(
        self,
        *,
        instance_id: str,
        availability_zone: str,
        slot: int,
        slots: int,
        random: random_module.Random,
        started_at: float = 0.0,
    ) -> None:
        """Starts without a catalogue and without targets.

        Args:
            instance_id: Id of this daemon.
            availability_zone: Zone of this daemon. Placement ignores it, as a
                hop between zones costs far less than a lost prompt cache.
            slot: This daemon's slot in the region.
            slots: Number of daemon slots in the region.
            random: Source of randomness.
            started_at: Monotonic seconds at which this daemon started.
        """
        del availability_zone
        self.targets: dict[str, targets.Target] = {}
        self.daemons: list[str] = [instance_id]
        self.publish_now: abc.Callable[[], None] | None = None
        self._publication_limiter = buckets.TokenBucket(
            rate=EARLY_PUBLICATIONS_PER_S,
            burst=EARLY_PUBLICATION_BURST,
            now=started_at,
        )
        self._gate_directory = gate_directory.GateDirectory(random=random)
        self._instance_id = instance_id
        self._peers = peer_counts.PeerCounts()
        self._owners = address_owners.AddressOwners()
        self._pools = pool_table.PoolTable(
            targets_by_id=self.targets, owners=self._owners
        )
        self._random = random
        self._rank = 0
        self._reserves = reserves.ReserveTable(
            instance_id=instance_id,
            slot=slot,
            slots=slots,
            started_at=started_at,
            call_limit_ms=MAX_REQUEST_MS,
        )

    def set_catalogue(
        self, catalogue: catalogue_module.Catalogue, *, now: float
    ) -> None:
        """Applies a version of the catalogue to later placements."""
        del now
        self._pools.set_catalogue(catalogue)

    def set_members(self, members: members_port.Members, *, now: float) -> None:
        """Adds, updates and removes targets and daemons as listed."""
        del now
        daemon = members_port.Role.DAEMON
        listed = {x.id: x for x in members.instances if x.role is not daemon}
        for target_id in self.targets.keys() - listed.keys():
            del self.targets[target_id]
            self._owners.release(target_id)
            self._reserves.remove_target(target_id)
        for instance in listed.values():
            self._owners.claim(instance.address, instance.id)
            known = self.targets.get(instance.id)
            if known is None:
                self.targets[instance.id] = targets.Target(instance=instance)
            else:
                known.instance = instance
        live = {
            item.id
            for item in members.instances
            if item.role is daemon and item.state is members_port.State.LIVE
        }
        self.daemons = sorted(live | {self._instance_id})
        self._rank = self.daemons.index(self._instance_id)
        self._peers.retain(self.daemons)
        self._gate_directory.set_daemons(self.daemons)
        self._pools.rebuild()

    def record_loads(
        self, records: abc.Iterable[targets.LoadRecord], *, now: float
    ) -> None:
        """Records load reports that this daemon or peers have read."""
        changed = False
        for record in records:
            target = self.targets.get(record.target_id)
            if target is None:
                continue
            was_leaving = target.is_leaving()
            if target.record_load(record):
                self._reserves.record_load(target, record)
                changed = changed or target.is_leaving() != was_leaving
        if changed:
            self._pools.rebuild()
        self._pools.mark_loads_changed(now)

    def choose(self, request: RouteRequest, *, now: float) -> Placement:
        """Returns the placement of a request.

        Args:
            request: The request.
            now: Monotonic seconds.

        Returns:
            A target, a permit to request, a wait, or a rejection where every
            known target is excluded or none may take work.
        """
        self._pools.refresh(now)
        pool = self._pools.find(request.name)
        if pool is None or pool.members.keys() <= request.excluded:
            return _reject_no_target(request.name)
        if request.alone:
            return self._choose_for_trial(pool, request, now)
        if request.chat is None:
            return self._choose_less_loaded(pool, request, now)
        return self._choose_preferred(pool, request, request.chat, now)

    def start_attempt(
        self, target_id: str, *, permit: gates.Permit | None, now: float
    ) -> bool:
        """Counts an attempt as in flight; called right before it is sent.

        Args:
            target_id: Instance id of the target.
            permit: Permit from a gate or the reserve, if one was needed.
            now: Monotonic seconds.

        Returns:
            Whether the attempt may be sent. It may not if the permit has
            expired or the target was taken out meanwhile; the caller then
            releases the permit and routes the request again.
        """
        target = self.targets.get(target_id)
        if target is None or not self.may_take_work(target):
            self._release_permit(permit)
            return False
        if permit is None:
            if target.is_cold():
                return False
        elif not self._check_permit(target, permit, now):
            self._release_permit(permit)
            return False
        target.start_attempt(now)
        for pool in self._pools.list_served(target):
            pool.record_attempt(now)
        if target.cold_start is not None:
            headroom = self.find_watermark(target_id) - target.load
            if headroom <= LOW_HEADROOM_REQUESTS:
                self._publish_now(now)
        return True

    def record_first_token(
        self,
        target_id: str,
        *,
        first_token_ms: float,
        now: float,
        prompt_tokens: int = 0,
    ) -> None:
        """Records the time to first token of an attempt.

        This detects a target that turned cold before its load report shows
        it. A target with queued requests or above its watermark is slow for
        another reason, so its times are ignored.

        Args:
            target_id: Instance id of the target.
            first_token_ms: Time from the start of the attempt.
            now: Monotonic seconds.
            prompt_tokens: Approximate length of the prompt; 0 if unknown.
        """
        target = self.targets.get(target_id)
        if target is None or self._is_queueing(target):
            return
        target.record_first_token(
            first_token_ms, prompt_tokens=prompt_tokens, now=now
        )

    def publish_counts(self, *, now: float) -> dict[str, int]:
        """Returns this daemon's requests in flight by target, to publish.

        The result must be sent to every other daemon now: what changes after
        this call counts as unpublished until the next one.
        """
        del now
        counts = {x.id: x.publish_count() for x in self.targets.values()}
        return {name: count for name, count in counts.items() if count}

    def list_dead_boots(self, *, now: float) -> dict[str, str]:
        """Returns the boot ids, by target, that were found dead recently.

        They are published with the counts, so that a daemon without a request
        at the target doesn't mistake its next boot for the last, warm one.
        """
        since = now - DEAD_BOOT_PUBLICATION_S
        return {
            item.id: item.dead_boot_id
            for item in self.targets.values()
            if item.found_dead_at > since
        }

    def record_dead_boots(
        self, boot_ids: abc.Mapping[str, str], *, now: float
    ) -> None:
        """Records the dead boot ids by target that another daemon published."""
        for target_id, boot_id in boot_ids.items():
            target = self.targets.get(target_id)
            if target is not None and target.boot_id == boot_id:
                target.mark_boot_unknown(now)

    def record_counts(
        self, daemon_id: str, counts: abc.Mapping[str, int], *, now: float
    ) -> None:
        """Records the requests in flight that another daemon published.

        Args:
            daemon_id: Id of the other daemon.
            counts: Its requests in flight by target, without zeros.
            now: Monotonic seconds; the earliest time at which the counts can
                have been taken.
        """
        self._peers.record(daemon_id, counts, now)
        if not self._peers.is_complete(self.daemons, now):
            return
        counted_at = self._peers.find_oldest_update()
        for target in self.targets.values():
            others = self._peers.sum_target(target.id)
            target.record_counts(others, counted_at=counted_at)
        self._pools.mark_loads_changed(now)

    def finish_attempt(
        self,
        target_id: str,
        outcome: targets.Outcome,
        *,
        first_token_ms: float | None,
        now: float,
        permit: gates.Permit | None = None,
        boot_id: str | None = None,
    ) -> None:
        """Ends an attempt and releases its permit.

        Args:
            target_id: Instance id of the target.
            outcome: How the attempt ended.
            first_token_ms: Time to first token, if there was one that was not
                passed to ``record_first_token`` already.
            now: Monotonic seconds.
            permit: Permit that the attempt was started with.
            boot_id: Boot id in the answer, if there was one.
        """
        answered = outcome is targets.Outcome.ANSWERED
        self._release_permit(permit, answered=answered)
        target = self.targets.get(target_id)
        if target is None:
            return
        if boot_id is not None:
            target.check_boot_id(boot_id, now)
        if first_token_ms is not None:
            self.record_first_token(
                target_id, first_token_ms=first_token_ms, now=now
            )
        target.finish_attempt(outcome, now)
        if target.found_dead_at == now:
            self._publish_now(now)

    def find_skew_bound(self, name: str) -> int:
        """Returns the skew bound of a model or service, 0 if unknown."""
        pool = self._pools.find(name)
        return pool.compute_skew_bound() if pool is not None else 0

    def find_watermark(self, target_id: str) -> int:
        """Returns the load up to which a warm target accepts requests.

        This is the largest watermark among what it serves; 0 for an unknown
        target.
        """
        target = self.targets.get(target_id)
        return self._pools.find_watermark(target) if target is not None else 0

    def rank(self, name: str, chat: int) -> list[str]:
        """Returns a chat's order of preference among usable targets."""
        pool = self._pools.find(name)
        return pool.ring.rank(chat) if pool is not None else []

    def may_take_work(self, target: targets.Target) -> bool:
        """Returns whether neither operators nor the target exclude new work."""
        return self._pools.may_take_work(target)

    def _publish_now(self, now: float) -> None:
        """Publishes the counts now unless the rate limit is exhausted."""
        if self.publish_now is not None and self._publication_limiter.try_take(
            now
        ):
            self.publish_now()

    def _choose_preferred(
        self, pool: pools.Pool, request: RouteRequest, chat: int, now: float
    ) -> Placement:
        """Chooses by the chat's order of preference."""
        watermark = pool.compute_watermark()
        rate = pool.compute_target_rate(len(self.daemons), now)
        usable = []
        for position, target_id in enumerate(pool.ring.rank(chat)):
            target = pool.members[target_id]
            if target_id in request.excluded or not _accepts_attempts(
                target, now
            ):
                continue
            usable.append(target)
            if target.is_cold():
                # A cold target processes prompts slowly. Only one in
                # WARM_UP_CHAT_DIVISOR of its chats warms it up; the others
                # stay where they are cached and return once it is warm.
                may_warm_up = position == 0 and chat % WARM_UP_CHAT_DIVISOR == 0
                choice = self._try_cold(target, now) if may_warm_up else None
            else:
                choice = self._try_warm(target, watermark, rate, now)
            if choice is not None:
                return choice
        return self._choose_fallback(pool, usable, now)

    def _try_warm(
        self, target: targets.Target, watermark: int, rate: float, now: float
    ) -> Send | None:
        """Returns a dispatch to a warm target, None without headroom.

        This daemon stays within its share of the headroom until it has
        published its counts. With very many daemons the share is less than
        one request; then one may go while the headroom is larger than the
        expected drift of the load.
        """
        share = self._share_headroom(target, watermark)
        drift = pools.estimate_load_drift(rate, now - target.counted_at)
        if watermark - target.load >= max(1.0, drift):
            share = max(1, share)
        return _send(target) if target.unpublished < share else None

    def _request_permit(
        self, target: targets.Target, now: float, *, alone: bool = False
    ) -> RequestPermit | None:
        """Returns a permit request, None if it is too soon for one."""
        if not self._gate_directory.try_request_permit(target, now):
            return None
        return RequestPermit(
            target_id=target.id,
            boot_id=target.boot_id,
            gates=self._gate_directory.find_gates(target.id),
            alone=alone,
        )

    def _choose_fallback(
        self, pool: pools.Pool, usable: list[targets.Target], now: float
    ) -> Placement:
        """Chooses among targets without headroom below the watermark.

        Warm targets are filled up to ``target_in_flight`` first; then cold
        ones are tried.
        """
        warm = [item for item in usable if not item.is_cold()]
        available = [
            item
            for item in warm
            if self._share_headroom(item, pool.target_in_flight)
            > item.unpublished
        ]
        if available:
            return _send(min(available, key=self._predict_load))
        for target in usable:
            if target.is_cold():
                choice = self._try_cold(target, now)
                if choice is not None:
                    return choice
        return Wait(until=now + RECHECK_INTERVAL_S)

    def _choose_less_loaded(
        self, pool: pools.Pool, request: RouteRequest, now: float
    ) -> Placement:
        """Chooses the less loaded of two random targets of a service."""
        usable = self._list_usable(pool, request, now)
        available = [x for x in usable if x.load < pool.target_in_flight]
        if not available:
            return Wait(until=now + RECHECK_INTERVAL_S)
        candidates = self._random.sample(available, min(2, len(available)))
        return _send(min(candidates, key=lambda item: item.load))

    def _choose_for_trial(
        self, pool: pools.Pool, request: RouteRequest, now: float
    ) -> Placement:
        """Requests a permit for the least loaded warm target.

        Targets for which it is too soon to request a permit are skipped.
        """
        usable = self._list_usable(pool, request, now)
        warm = [item for item in usable if not item.is_cold()]
        for target in sorted(warm, key=lambda item: item.load):
            choice = self._request_permit(target, now, alone=True)
            if choice is not None:
                return choice
        return Wait(until=now + RECHECK_INTERVAL_S)

    def _list_usable(
        self, pool: pools.Pool, request: RouteRequest, now: float
    ) -> list[targets.Target]:
        return [
            item
            for item in pool.members.values()
            if item.id not in request.excluded and _accepts_attempts(item, now)
        ]

    def _share_headroom(self, target: targets.Target, limit: int) -> int:
        """Returns this daemon's share of the headroom below a limit."""
        published = target.published_load
        return pools.share_headroom(
            limit - published,
            daemons=len(self.daemons),
            rank=self._rank,
            rotation=target.id_hash + published,
        )

    def _predict_load(self, target: targets.Target) -> float:
        """Returns the load if every daemon's count changed like this one's."""
        return target.published_load + target.unpublished * len(self.daemons)

    def _try_cold(
        self, target: targets.Target, now: float
    ) -> Send | RequestPermit | None:
        """Returns a dispatch or permit request for a cold target, or None."""
        permit = self._reserves.take(target, now)
        if permit is not None:
            return _send(target, permit)
        return (
            None
            if target.is_suspected_cold()
            else self._request_permit(target, now)
        )

    def _check_permit(
        self, target: targets.Target, permit: gates.Permit, now: float
    ) -> bool:
        if not gates.may_dispatch(permit, boot_id=target.boot_id, now=now):
            return False
        if permit.source is gates.Source.RESERVE:
            return self._reserves.start_attempt(permit)
        # A gate that has granted one permit may grant more at once.
        target.next_permit_request_at = now
        return True

    def _release_permit(
        self, permit: gates.Permit | None, *, answered: bool = False
    ) -> None:
        if permit is not None and permit.source is gates.Source.RESERVE:
            self._reserves.release(permit, answered=answered)

    def _is_queueing(self, target: targets.Target) -> bool:
        """Returns whether requests queue at a target; true without a report."""
        record = target.latest_record
        if record is None or record.queued:
            return True
        return target.load > self.find_watermark(target.id)


def _accepts_attempts(target: targets.Target, now: float) -> bool:
    """Returns whether a target is not in backoff after a failure."""
    return now >= target.backoff_until


def _send(target: targets.Target, permit: gates.Permit | None = None) -> Send:
    return Send(
        target_id=target.id, address=target.instance.address, permit=permit
    )


def _reject_no_target(name: str) -> errors.Refusal:
    return errors.Refusal(
        code=results.Code.NO_TARGET,
        ran=results.Ran.NO,
        message=f"no target of {name} may take work now",
        retry_after_ms=RETRY_AFTER_MS,
    )
