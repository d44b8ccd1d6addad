"""Where the next call goes, or what to wait for.

A chat goes to the first target of its order of preference that has room.
Room is what is left below the bound on a target's load, shared among the
daemons until the next report, so that daemons that all see the same lagging
report do not fill the same room.
"""

from collections import abc
import random as random_module

import msgspec

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

LOST_TOLD_S = 2.0
TELLS_PER_S = 6.0
TELLS_BURST = 12.0
TIGHT_ROOM = 8
WAIT_S = 0.1
WARM_UP_SHARE = 4
RETRY_AFTER_MS = 1000
CALL_LIMIT_MS = 600_000


class RouteRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A call that needs a target.

    Attributes:
        name: Model or service.
        chat: 64-bit hash of the chat; None for a call of a plain service.
        excluded: Targets that the call must not go to.
        alone: Whether it is a suspect on trial, which must be the only one
            at its target.
    """

    name: str
    chat: int | None
    excluded: frozenset[str] = frozenset()
    alone: bool = False


class Send(msgspec.Struct, frozen=True, kw_only=True):
    """The call goes to a target now.

    Attributes:
        target_id: The target.
        address: ``ip:port`` of it.
        permit: Permit from the reserve, None where none is needed.
    """

    target_id: str
    address: str
    permit: gates.Permit | None


class AskPermit(msgspec.Struct, frozen=True, kw_only=True):
    """The call may go to a target once its gate has permitted it.

    Attributes:
        target_id: The target.
        boot_id: Its start.
        gates: Ids of the daemons to ask, in order.
        alone: Whether the call is the trial of a suspect.
    """

    target_id: str
    boot_id: str
    gates: tuple[str, ...]
    alone: bool = False


class Wait(msgspec.Struct, frozen=True, kw_only=True):
    """No target takes the call now.

    Attributes:
        until: Monotonic seconds at which to choose again at the latest.
    """

    until: float


Choice = Send | AskPermit | Wait | errors.Refusal


class Router:
    """Chooses targets for the calls of one daemon.

    Attributes:
        targets: What is known of each target, by id.
        daemons: Ids of the live daemons of the region, sorted.
        tell_now: Called when the other daemons should be told this one's
            counts before the next tick, as a target is close to its bound.
    """

    __slots__ = (
        "_asks",
        "_instance_id",
        "_peers",
        "_pools",
        "_random",
        "_rank",
        "_reserves",
        "_tells",
        "daemons",
        "targets",
        "tell_now",
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
        """Knows no catalogue and no target yet.

        Args:
            instance_id: This daemon.
            availability_zone: Its zone. A hop between zones costs far less
                than a lost cache, so that it has no part in a choice.
            slot: Its slot in the region.
            slots: Slots of the region.
            random: Source of randomness.
            started_at: Monotonic seconds at which this daemon started.
        """
        del availability_zone
        self.targets: dict[str, targets.Target] = {}
        self.daemons: list[str] = [instance_id]
        self.tell_now: abc.Callable[[], None] | None = None
        self._tells = buckets.TokenBucket(
            rate=TELLS_PER_S, burst=TELLS_BURST, now=started_at
        )
        self._asks = gate_directory.GateDirectory(random=random)
        self._instance_id = instance_id
        self._peers = peer_counts.PeerCounts()
        self._pools = pool_table.PoolTable(known=self.targets)
        self._random = random
        self._rank = 0
        self._reserves = reserves.ReserveTable(
            instance_id=instance_id,
            slot=slot,
            slots=slots,
            started_at=started_at,
            call_limit_ms=CALL_LIMIT_MS,
        )

    def set_catalogue(
        self, catalogue: catalogue_module.Catalogue, *, now: float
    ) -> None:
        """Takes a version of the catalogue into force for new choices."""
        del now
        self._pools.set_catalogue(catalogue)

    def set_members(self, members: members_port.Members, *, now: float) -> None:
        """Takes the membership list in."""
        del now
        daemon = members_port.Role.DAEMON
        listed = {x.id: x for x in members.instances if x.role is not daemon}
        for gone in self.targets.keys() - listed.keys():
            del self.targets[gone]
            self._reserves.forget(gone)
        for item in listed.values():
            known = self.targets.get(item.id)
            if known is None:
                self.targets[item.id] = targets.Target(instance=item)
            else:
                known.instance = item
        live = {
            item.id
            for item in members.instances
            if item.role is daemon and item.state is members_port.State.LIVE
        }
        self.daemons = sorted(live | {self._instance_id})
        self._rank = self.daemons.index(self._instance_id)
        self._peers.keep(self.daemons)
        self._asks.set_daemons(self.daemons)
        self._pools.rebuild()

    def record_loads(
        self, records: abc.Iterable[targets.LoadRecord], *, now: float
    ) -> None:
        """Takes load reports in, own ones and those that peers pass on."""
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
        self._pools.note_loads(now)

    def choose(self, request: RouteRequest, *, now: float) -> Choice:
        """Chooses what happens to a call now.

        Args:
            request: The call.
            now: Monotonic seconds.

        Returns:
            A target, a permit to ask for, a wait, or a refusal where no
            target is known that could ever take the call.
        """
        self._pools.refresh(now)
        pool = self._pools.find(request.name)
        if pool is None or pool.members.keys() <= request.excluded:
            return _refuse_no_target(request.name)
        if request.alone:
            return self._choose_alone(pool, request, now)
        if request.chat is None:
            return self._choose_least(pool, request, now)
        return self._choose_preferred(pool, request, request.chat, now)

    def start_call(
        self, target_id: str, *, permit: gates.Permit | None, now: float
    ) -> bool:
        """Counts a call in, right before it is sent.

        Args:
            target_id: The target.
            permit: Permit from a gate or the reserve, if one was needed.
            now: Monotonic seconds.

        Returns:
            Whether the call may be sent. Where it may not, as the permit is
            late or the target was taken out meanwhile, the permit must be
            given back and the call must be routed again.
        """
        target = self.targets.get(target_id)
        if target is None or not self.may_take_work(target):
            self._give_back(permit)
            return False
        if permit is None:
            if target.is_cold():
                return False
        elif not self._check_permit(target, permit, now):
            self._give_back(permit)
            return False
        target.start_call(now)
        for pool in self._pools.list_served(target):
            pool.record_start(now)
        if target.cold_start is not None:
            room = self.find_bound(target_id) - target.load
            if room <= TIGHT_ROOM:
                self._tell_now(now)
        return True

    def record_first_token(
        self,
        target_id: str,
        *,
        first_token_ms: float,
        now: float,
        prompt_tokens: int = 0,
    ) -> None:
        """Takes in how long a target took to its first token.

        It tells a target that turned cold before its report does. A target
        above the bound is slow for another reason, and is not judged.

        Args:
            target_id: The target.
            first_token_ms: Time from the start of the call.
            now: Monotonic seconds.
            prompt_tokens: Length of the prompt, roughly; 0 where unknown.
        """
        target = self.targets.get(target_id)
        if target is None or self._is_busy(target):
            return
        target.record_first_token(
            first_token_ms, prompt_tokens=prompt_tokens, now=now
        )

    def tell_counts(self, *, now: float) -> dict[str, int]:
        """Returns this daemon's calls in flight by target, to be sent out.

        Every other daemon must be sent them now: calls from here on are
        counted as unknown to the others until the next time.
        """
        del now
        counts = {x.id: x.tell_count() for x in self.targets.values()}
        return {name: count for name, count in counts.items() if count}

    def list_lost(self, *, now: float) -> dict[str, str]:
        """Returns the boot ids, by target, that were just found dead.

        They go out with the counts, so that a daemon without a call there
        does not take the target's next start for the warm one before.
        """
        since = now - LOST_TOLD_S
        return {
            item.id: item.lost_boot_id
            for item in self.targets.values()
            if item.lost_at > since
        }

    def record_lost(self, lost: abc.Mapping[str, str], *, now: float) -> None:
        """Takes in what another daemon has found dead, by ``list_lost``."""
        for target_id, boot_id in lost.items():
            target = self.targets.get(target_id)
            if target is not None and target.boot_id == boot_id:
                target.doubt_boot(now)

    def record_counts(
        self, daemon_id: str, counts: abc.Mapping[str, int], *, now: float
    ) -> None:
        """Takes in the calls in flight that another daemon has told.

        Args:
            daemon_id: The other daemon.
            counts: Its calls in flight by target, without zeros.
            now: Monotonic seconds; the earliest moment at which it may have
                counted.
        """
        self._peers.record(daemon_id, counts, now)
        if not self._peers.is_complete(self.daemons, now):
            return
        known_at = self._peers.known_at()
        for target in self.targets.values():
            others = self._peers.total(target.id)
            target.record_counts(others, known_at=known_at)
        self._pools.note_loads(now)

    def finish_call(
        self,
        target_id: str,
        outcome: targets.Outcome,
        *,
        first_token_ms: float | None,
        now: float,
        permit: gates.Permit | None = None,
        boot_id: str | None = None,
    ) -> None:
        """Counts a call out.

        Args:
            target_id: The target.
            outcome: How the call ended.
            first_token_ms: Time to the first token, if one came and was not
                given to ``record_first_token`` already.
            now: Monotonic seconds.
            permit: The permit it was started with.
            boot_id: Boot id that came with the answer, if one came.
        """
        answered = outcome is targets.Outcome.ANSWERED
        self._give_back(permit, answered=answered)
        target = self.targets.get(target_id)
        if target is None:
            return
        if boot_id is not None:
            target.note_boot(boot_id, now)
        if first_token_ms is not None:
            self.record_first_token(
                target_id, first_token_ms=first_token_ms, now=now
            )
        target.finish_call(outcome, now)
        if target.lost_at == now:
            self._tell_now(now)

    def bound(self, name: str) -> int:
        """Returns the load that no warm target of a model may exceed."""
        pool = self._pools.find(name)
        return pool.bound() if pool is not None else 0

    def find_bound(self, target_id: str) -> int:
        """Returns the load up to which a warm target takes calls.

        Of several models the largest counts; 0 for an unknown target.
        """
        target = self.targets.get(target_id)
        return self._pools.find_watermark(target) if target is not None else 0

    def rank(self, name: str, chat: int) -> list[str]:
        """Returns a chat's order of preference among what may take work."""
        pool = self._pools.find(name)
        return pool.ring.rank(chat) if pool is not None else []

    def may_take_work(self, target: targets.Target) -> bool:
        """Tells whether neither operators nor the target itself forbid it."""
        return self._pools.may_take_work(target)

    def _tell_now(self, now: float) -> None:
        """Has the counts sent at once, as far as the budget goes."""
        if self.tell_now is not None and self._tells.try_take(now):
            self.tell_now()

    def _choose_preferred(
        self, pool: pools.Pool, request: RouteRequest, chat: int, now: float
    ) -> Choice:
        """Chooses by the chat's order of preference."""
        bound = pool.watermark()
        rate = pool.target_rate(len(self.daemons), now)
        usable = []
        for place, target_id in enumerate(pool.ring.rank(chat)):
            target = pool.members[target_id]
            if target_id in request.excluded or not _is_open(target, now):
                continue
            usable.append(target)
            if target.is_cold():
                # A prompt is read slowly there: the other chats stay where
                # they are cached, and return once the target is warm.
                first = place == 0 and chat % WARM_UP_SHARE == 0
                choice = self._enter_cold(target, now) if first else None
            else:
                choice = self._enter_warm(target, bound, rate, now)
            if choice is not None:
                return choice
        return self._choose_fallback(pool, usable, now)

    def _enter_warm(
        self, target: targets.Target, bound: int, rate: float, now: float
    ) -> Send | None:
        """Finds a way into a warm target, None where there is no room.

        This daemon keeps to its part of the room until it has told the
        others. With very many daemons that is less than one call: then a
        call may go while the room is larger than what may stray unseen.
        """
        part = self._part(target, bound)
        noise = pools.estimate_noise(rate, now - target.known_at)
        if bound - target.load >= max(1.0, noise):
            part = max(1, part)
        return _send(target) if target.growth < part else None

    def _ask(
        self, target: targets.Target, now: float, *, alone: bool = False
    ) -> AskPermit | None:
        """Returns what to ask the target's gates, None if not now."""
        if not self._asks.try_ask(target, now):
            return None
        return AskPermit(
            target_id=target.id,
            boot_id=target.boot_id,
            gates=self._asks.find_gates(target.id),
            alone=alone,
        )

    def _choose_fallback(
        self, pool: pools.Pool, usable: list[targets.Target], now: float
    ) -> Choice:
        """Chooses where no preferred target has room below the bound."""
        warm = [item for item in usable if not item.is_cold()]
        able = [
            item
            for item in warm
            if self._part(item, pool.target_in_flight) > item.growth
        ]
        if able:
            return _send(min(able, key=self._expect_load))
        for target in usable:
            if target.is_cold():
                choice = self._enter_cold(target, now)
                if choice is not None:
                    return choice
        return Wait(until=now + WAIT_S)

    def _choose_least(
        self, pool: pools.Pool, request: RouteRequest, now: float
    ) -> Choice:
        """Chooses the less loaded of two random targets."""
        usable = self._list_usable(pool, request, now)
        able = [x for x in usable if x.load < pool.target_in_flight]
        if not able:
            return Wait(until=now + WAIT_S)
        two = self._random.sample(able, min(2, len(able)))
        return _send(min(two, key=lambda item: item.load))

    def _choose_alone(
        self, pool: pools.Pool, request: RouteRequest, now: float
    ) -> Choice:
        """Chooses the least loaded warm target whose gate may be asked."""
        usable = self._list_usable(pool, request, now)
        warm = [item for item in usable if not item.is_cold()]
        for target in sorted(warm, key=lambda item: item.load):
            ask = self._ask(target, now, alone=True)
            if ask is not None:
                return ask
        return Wait(until=now + WAIT_S)

    def _list_usable(
        self, pool: pools.Pool, request: RouteRequest, now: float
    ) -> list[targets.Target]:
        return [
            item
            for item in pool.members.values()
            if item.id not in request.excluded and _is_open(item, now)
        ]

    def _part(self, target: targets.Target, limit: int) -> int:
        """Returns this daemon's part of the room below a limit."""
        reported = target.reported
        return pools.share_room(
            limit - reported,
            daemons=len(self.daemons),
            rank=self._rank,
            spread=target.spread + reported,
        )

    def _expect_load(self, target: targets.Target) -> float:
        """Returns the load if all daemons do as this one has done."""
        return target.reported + target.growth * len(self.daemons)

    def _enter_cold(
        self, target: targets.Target, now: float
    ) -> Send | AskPermit | None:
        """Finds a way into a cold target, None where there is none now."""
        permit = self._reserves.take(target, now)
        if permit is not None:
            return _send(target, permit)
        return None if target.is_suspected() else self._ask(target, now)

    def _check_permit(
        self, target: targets.Target, permit: gates.Permit, now: float
    ) -> bool:
        if not gates.may_dispatch(permit, boot_id=target.boot_id, now=now):
            return False
        if permit.source is gates.Source.RESERVE:
            return self._reserves.start(permit)
        # A gate that has let one call through may let more through.
        target.ask_after = now
        return True

    def _give_back(
        self, permit: gates.Permit | None, *, answered: bool = False
    ) -> None:
        if permit is not None and permit.source is gates.Source.RESERVE:
            self._reserves.release(permit, answered=answered)

    def _is_busy(self, target: targets.Target) -> bool:
        """Tells whether calls have to wait at a target."""
        record = target.record
        if record is None or record.queued:
            return True
        return target.load > self.find_bound(target.id)


def _is_open(target: targets.Target, now: float) -> bool:
    """Tells whether no failure keeps calls away from a target for now."""
    return now >= target.closed_until


def _send(target: targets.Target, permit: gates.Permit | None = None) -> Send:
    return Send(
        target_id=target.id, address=target.instance.address, permit=permit
    )


def _refuse_no_target(name: str) -> errors.Refusal:
    return errors.Refusal(
        code=results.Code.NO_TARGET,
        ran=results.Ran.NO,
        message=f"no target of {name} may take work now",
        retry_after_ms=RETRY_AFTER_MS,
    )
