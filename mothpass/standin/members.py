"""Serves a membership list whose changes are published after a lag."""

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
_UPDATE_INTERVAL_S = 0.05
_MAX_CHANGES = 10_000


class Listing(msgspec.Struct, frozen=True, kw_only=True):
    """Response to a read of the list.

    Attributes:
        revision: Revision of the list after the changes of this response.
        full: Whether it lists all instances instead of the changes.
        instances: All instances, or those that were added or changed.
        gone: Ids of removed instances; empty if ``full``.
    """

    revision: int
    full: bool
    instances: list[members.Instance]
    gone: list[str]


class _Change(msgspec.Struct, frozen=True, kw_only=True):
    """Pending change; an instance of None removes the entry."""

    id: str
    instance: members.Instance | None
    visible_at: float


class MembershipList:
    """Membership list whose changes are published after a lag.

    Attributes:
        revision: Revision of the published list, one more with each change.
    """

    __slots__ = (
        "_current",
        "_expiry_times",
        "_lag_s",
        "_pending",
        "_published",
        "_published_changes",
        "_ttl_s",
        "revision",
    )

    def __init__(
        self, *, options: settings.MembersSettings, revision: int
    ) -> None:
        """Initializes the list with the instances of the settings.

        Args:
            options: Settings.
            revision: First revision; must be larger than any that an earlier
                list at this address can have reached.
        """
        self._lag_s = options.lag_ms / _MS_PER_S
        self._ttl_s = options.heartbeat_ttl_ms / _MS_PER_S
        self._current = {item.id: item for item in options.instances}
        self._published = dict(self._current)
        self._expiry_times: dict[str, float] = {}
        self._pending: collections.deque[_Change] = collections.deque()
        self._published_changes: collections.deque[tuple[int, str]] = (
            collections.deque(maxlen=_MAX_CHANGES)
        )
        self.revision = revision

    def put(self, instance: members.Instance, *, now: float) -> None:
        """Adds or updates an instance."""
        if self._current.get(instance.id) == instance:
            return
        self._current[instance.id] = instance
        self._schedule_change(instance.id, instance, now)

    def remove(self, instance_id: str, *, now: float) -> None:
        """Removes an instance."""
        self._expiry_times.pop(instance_id, None)
        if self._current.pop(instance_id, None) is not None:
            self._schedule_change(instance_id, None, now)

    def record_heartbeat(
        self, instance: members.Instance, *, now: float
    ) -> None:
        """Updates an instance, which expires without a further heartbeat."""
        self._expiry_times[instance.id] = now + self._ttl_s
        self.put(instance, now=now)

    def expire_and_publish(self, *, now: float) -> None:
        """Removes expired instances and publishes the changes that are due."""
        for instance_id, expiry in list(self._expiry_times.items()):
            if expiry <= now:
                self.remove(instance_id, now=now)
        while self._pending and self._pending[0].visible_at <= now:
            self._publish(self._pending.popleft())

    def read(self, since: int | None) -> Listing:
        """Lists all instances, or the changes after a known revision."""
        if since is None or not self._is_known(since):
            return Listing(
                revision=self.revision,
                full=True,
                instances=list(self._published.values()),
                gone=[],
            )
        changed = {
            instance_id
            for revision, instance_id in self._published_changes
            if revision > since
        }
        return Listing(
            revision=self.revision,
            full=False,
            instances=[
                self._published[item]
                for item in changed
                if item in self._published
            ],
            gone=[item for item in changed if item not in self._published],
        )

    def _is_known(self, since: int) -> bool:
        oldest = self.revision - len(self._published_changes)
        return oldest <= since <= self.revision

    def _schedule_change(
        self, instance_id: str, instance: members.Instance | None, now: float
    ) -> None:
        self._pending.append(
            _Change(
                id=instance_id, instance=instance, visible_at=now + self._lag_s
            )
        )

    def _publish(self, change: _Change) -> None:
        if change.instance is None:
            self._published.pop(change.id, None)
        else:
            self._published[change.id] = change.instance
        self.revision += 1
        self._published_changes.append((self.revision, change.id))


def build_app(membership_list: MembershipList) -> blacksheep.Application:
    """Builds the HTTP application of a membership list."""
    app = blacksheep.Application(router=blacksheep.Router())
    _add_read_routes(app.router, membership_list)
    _add_write_routes(app.router, membership_list)
    return app


def _add_read_routes(
    router: blacksheep.Router, membership_list: MembershipList
) -> None:
    @router.get("/v1/members")
    async def read(request: blacksheep.Request) -> blacksheep.Response:
        membership_list.expire_and_publish(now=time.monotonic())
        since = bodies.read_query_parameter(request, "since")
        known = int(since) if since and since.isdigit() else None
        return bodies.build_json_response(200, membership_list.read(known))


def _add_write_routes(
    router: blacksheep.Router, membership_list: MembershipList
) -> None:
    @router.put("/v1/instances/{id}")
    async def put(request: blacksheep.Request) -> blacksheep.Response:
        instance = await bodies.read_json(request, members.Instance)
        if instance is None:
            return bodies.build_rejection(400, "invalid instance")
        membership_list.put(instance, now=time.monotonic())
        return bodies.build_response(204)

    @router.delete("/v1/instances/{id}")
    async def remove(id: str) -> blacksheep.Response:
        membership_list.remove(id, now=time.monotonic())
        return bodies.build_response(204)

    @router.post("/v1/heartbeats/{id}")
    async def record_heartbeat(
        request: blacksheep.Request,
    ) -> blacksheep.Response:
        instance = await bodies.read_json(request, members.Instance)
        if instance is None:
            return bodies.build_rejection(400, "invalid instance")
        membership_list.record_heartbeat(instance, now=time.monotonic())
        return bodies.build_json_response(200, {})


async def run(options: settings.MembersSettings) -> None:
    """Serves a membership list until SIGTERM or SIGINT."""
    membership_list = MembershipList(
        options=options, revision=time.time_ns() // _NS_PER_MS
    )

    async def expire_and_publish() -> None:
        while True:
            membership_list.expire_and_publish(now=time.monotonic())
            await asyncio.sleep(_UPDATE_INTERVAL_S)

    update_task = asyncio.create_task(expire_and_publish())
    state = faults.FaultState()
    await servers.serve(build_app(membership_list), options.address, state)
    update_task.cancel()
