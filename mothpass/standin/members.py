"""A membership list that lags behind the instances it lists."""

import asyncio
import collections
import time

import blacksheep
import msgspec

from mothpass.ports import members
from mothpass.standin import bodies
from mothpass.standin import faults
from mothpass.standin import servers
from mothpass.standin import settings

_MS_PER_S = 1000
_NS_PER_MS = 1_000_000
_SWEEP_S = 0.05
_KEPT_CHANGES = 10_000


class Listing(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a read of the list.

    Attributes:
        revision: Revision that the reader has with this answer.
        full: Whether all instances are listed, and not just changes.
        instances: Instances, all or those that changed.
        gone: Ids that are no longer on the list, where it isn't full.
    """

    revision: int
    full: bool
    instances: list[members.Instance]
    gone: list[str]


class _Change(msgspec.Struct, frozen=True, kw_only=True):
    """A change that shows from some time on; no instance means gone."""

    id: str
    instance: members.Instance | None
    shows_at: float


class List:
    """The list, with changes that show after a lag.

    Attributes:
        revision: Number of changes that show.
    """

    __slots__ = (
        "_actual",
        "_expires",
        "_lag_s",
        "_pending",
        "_shown",
        "_shown_changes",
        "_ttl_s",
        "revision",
    )

    def __init__(
        self, *, options: settings.MembersSettings, revision: int
    ) -> None:
        """Starts with the instances of the settings, shown at once.

        Args:
            options: Settings.
            revision: First revision; larger than any that an earlier list
                at this address can have reached.
        """
        self._lag_s = options.lag_ms / _MS_PER_S
        self._ttl_s = options.heartbeat_ttl_ms / _MS_PER_S
        self._actual = {item.id: item for item in options.instances}
        self._shown = dict(self._actual)
        self._expires: dict[str, float] = {}
        self._pending: collections.deque[_Change] = collections.deque()
        self._shown_changes: collections.deque[tuple[int, str]] = (
            collections.deque(maxlen=_KEPT_CHANGES)
        )
        self.revision = revision

    def put(self, instance: members.Instance, *, now: float) -> None:
        """Adds an instance or changes it."""
        if self._actual.get(instance.id) == instance:
            return
        self._actual[instance.id] = instance
        self._defer(instance.id, instance, now)

    def remove(self, instance_id: str, *, now: float) -> None:
        """Takes an instance off the list."""
        self._expires.pop(instance_id, None)
        if self._actual.pop(instance_id, None) is not None:
            self._defer(instance_id, None, now)

    def beat(self, instance: members.Instance, *, now: float) -> None:
        """Notes a heartbeat; the instance is gone when it is the last."""
        self._expires[instance.id] = now + self._ttl_s
        self.put(instance, now=now)

    def sweep(self, *, now: float) -> None:
        """Removes instances without heartbeats and shows what is due."""
        for instance_id, expiry in list(self._expires.items()):
            if expiry <= now:
                self.remove(instance_id, now=now)
        while self._pending and self._pending[0].shows_at <= now:
            self._show(self._pending.popleft())

    def read(self, since: int | None) -> Listing:
        """Lists all instances, or what changed after a known revision."""
        if since is None or not self._is_known(since):
            return Listing(
                revision=self.revision,
                full=True,
                instances=list(self._shown.values()),
                gone=[],
            )
        changed = {
            instance_id
            for revision, instance_id in self._shown_changes
            if revision > since
        }
        return Listing(
            revision=self.revision,
            full=False,
            instances=[
                self._shown[item] for item in changed if item in self._shown
            ],
            gone=[item for item in changed if item not in self._shown],
        )

    def _is_known(self, since: int) -> bool:
        oldest = self.revision - len(self._shown_changes)
        return oldest <= since <= self.revision

    def _defer(
        self, instance_id: str, instance: members.Instance | None, now: float
    ) -> None:
        self._pending.append(
            _Change(
                id=instance_id, instance=instance, shows_at=now + self._lag_s
            )
        )

    def _show(self, change: _Change) -> None:
        if change.instance is None:
            self._shown.pop(change.id, None)
        else:
            self._shown[change.id] = change.instance
        self.revision += 1
        self._shown_changes.append((self.revision, change.id))


def build_app(listing: List) -> blacksheep.Application:
    """Builds the application of a membership list."""
    app = blacksheep.Application(router=blacksheep.Router())
    _add_reads(app.router, listing)
    _add_writes(app.router, listing)
    return app


def _add_reads(router: blacksheep.Router, listing: List) -> None:
    @router.get("/v1/members")
    async def read(request: blacksheep.Request) -> blacksheep.Response:
        listing.sweep(now=time.monotonic())
        since = bodies.read_query(request, "since")
        known = int(since) if since and since.isdigit() else None
        return bodies.answer_json(200, listing.read(known))


def _add_writes(router: blacksheep.Router, listing: List) -> None:
    @router.put("/v1/instances/{id}")
    async def put(request: blacksheep.Request) -> blacksheep.Response:
        instance = await bodies.read_json(request, members.Instance)
        if instance is None:
            return bodies.refuse(400, "not an instance")
        listing.put(instance, now=time.monotonic())
        return bodies.answer(204)

    @router.delete("/v1/instances/{id}")
    async def remove(id: str) -> blacksheep.Response:
        listing.remove(id, now=time.monotonic())
        return bodies.answer(204)

    @router.post("/v1/heartbeats/{id}")
    async def beat(request: blacksheep.Request) -> blacksheep.Response:
        instance = await bodies.read_json(request, members.Instance)
        if instance is None:
            return bodies.refuse(400, "not an instance")
        listing.beat(instance, now=time.monotonic())
        return bodies.answer_json(200, {})


async def run(options: settings.MembersSettings) -> None:
    """Serves a membership list until it is told to stop."""
    listing = List(options=options, revision=time.time_ns() // _NS_PER_MS)

    async def sweep() -> None:
        while True:
            listing.sweep(now=time.monotonic())
            await asyncio.sleep(_SWEEP_S)

    sweeping = asyncio.create_task(sweep())
    state = faults.FaultState()
    await servers.serve(build_app(listing), options.address, state)
    sweeping.cancel()
