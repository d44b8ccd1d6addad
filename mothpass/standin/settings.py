"""Settings of the stand-ins, checked in full before one starts."""

import typing

import msgspec

from mothpass.core import catalogue
from mothpass.ports import members

Address = typing.Annotated[
    str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
]
Url = typing.Annotated[
    str, msgspec.Meta(pattern=r"^http://\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
]
NonNegative = typing.Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]
Share = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]


class TableSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A table service.

    Attributes:
        address: ``ip:port`` to listen at; port 0 takes a free one.
        reads_per_s: Reads and scans a second before 429.
        writes_per_s: Transactions a second before 429.
    """

    address: Address
    reads_per_s: catalogue.Count = 2000
    writes_per_s: catalogue.Count = 300


class ObjectsSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """An object store.

    Attributes:
        address: ``ip:port`` to listen at; port 0 takes a free one.
    """

    address: Address


class MembersSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A membership list.

    Attributes:
        address: ``ip:port`` to listen at; port 0 takes a free one.
        lag_ms: Time before a change shows in the list.
        heartbeat_ttl_ms: Time without a heartbeat after which an instance
            that sent one counts as gone.
        instances: Instances that are on the list from the start.
    """

    address: Address
    lag_ms: NonNegative = 1000
    heartbeat_ttl_ms: catalogue.Milliseconds = 3000
    instances: list[members.Instance] = []


class TargetSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """What engines and services have in common.

    Attributes:
        address: ``ip:port`` to listen at; port 0 takes a free one.
        id: Instance id.
        availability_zone: Zone that it runs in.
        serves: Models or services that it serves; empty takes all.
        members_url: Base URL of the membership list to register with.
        heartbeat_ms: Time between two heartbeats to it.
        load_lag_ms: Age of the figures in the load report.
        drain_ms: Time to be leaving after SIGTERM before it stops.
        seed: Seed of its random source.
    """

    address: Address
    id: catalogue.Name
    availability_zone: catalogue.Name = "local-a"
    serves: list[catalogue.Name] = []
    members_url: Url | None = None
    heartbeat_ms: catalogue.Milliseconds = 500
    load_lag_ms: NonNegative = 1000
    drain_ms: NonNegative = 0
    seed: NonNegative = 1


class ServiceSettings(
    TargetSettings, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A plain service.

    Attributes:
        run_ms: Time that a call takes.
        target_in_flight: Calls that run at once; more are refused.
    """

    run_ms: NonNegative = 5
    target_in_flight: catalogue.Count = 64


class EngineSettings(
    TargetSettings, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A model engine.

    Attributes:
        max_running: Requests in the running batch.
        max_queued: Requests that wait; more are refused.
        token_us: Time of a decoding step with one request in the batch.
        token_us_per_running: What each further request adds to it.
        prefill_us: Time for each prompt token that isn't cached.
        prefill_tokens_per_step: Most prompt tokens read in one step.
        cache_tokens: Size of the prefix cache.
        cold_in_flight: Requests in flight that it bears when cold.
        answers_per_step: Finished answers that let it bear one more.
        warm_in_flight: Requests in flight from which it is warm.
        fall_multiple: It falls over past this multiple of what it bears.
        fall: Whether it exits when it falls over, or restarts in the same
            process under a new boot id.
        restart_ms: Time that such a restart takes.
        start_warm: Whether it starts warm.
        cache_event_lag_ms: Age of a cache event when it is first shown.
        cache_event_loss: Share of the cache events that are never shown.
        crash_marker: A request with this text in a message kills it.
        attempt_kept_ms: Time that a finished attempt can be resumed.
        grace_ms: Time that an attempt runs on without a client.
    """

    max_running: catalogue.Count = 16
    max_queued: NonNegative = 64
    token_us: NonNegative = 10_000
    token_us_per_running: NonNegative = 500
    prefill_us: NonNegative = 100
    prefill_tokens_per_step: catalogue.Count = 2048
    cache_tokens: catalogue.Count = 200_000
    cold_in_flight: catalogue.Count = 2
    answers_per_step: catalogue.Count = 2
    warm_in_flight: catalogue.Count = 8
    fall_multiple: catalogue.Count = 2
    fall: typing.Literal["exit", "restart"] = "exit"
    restart_ms: NonNegative = 1000
    start_warm: bool = False
    cache_event_lag_ms: NonNegative = 500
    cache_event_loss: Share = 0.05
    crash_marker: str | None = None
    attempt_kept_ms: catalogue.Milliseconds = 30_000
    grace_ms: NonNegative = 5000
