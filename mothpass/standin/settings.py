"""Defines the settings of the stand-ins, validated before they start."""

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
    """Settings of a table service.

    Attributes:
        address: ``ip:port`` to listen on; port 0 selects a free port.
        reads_per_s: Rate limit of reads and scans; more are rejected with 429.
        writes_per_s: Rate limit of transactions; more are rejected with 429.
    """

    address: Address
    reads_per_s: catalogue.Count = 2000
    writes_per_s: catalogue.Count = 300


class ObjectsSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of an object store.

    Attributes:
        address: ``ip:port`` to listen on; port 0 selects a free port.
    """

    address: Address


class MembersSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of a membership list.

    Attributes:
        address: ``ip:port`` to listen on; port 0 selects a free port.
        lag_ms: Time before a change is published.
        heartbeat_ttl_ms: Time after its last heartbeat at which an instance
            is removed; those that never sent one stay.
        instances: Instances that are on the list from the start.
    """

    address: Address
    lag_ms: NonNegative = 1000
    heartbeat_ttl_ms: catalogue.Milliseconds = 3000
    instances: list[members.Instance] = []


class TargetSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Common settings of engines and services.

    Attributes:
        address: ``ip:port`` to listen on; port 0 selects a free port.
        id: Instance id.
        availability_zone: Availability zone of the instance.
        serves: Models or services that it serves; empty serves all.
        members_url: Base URL of the membership list to register with.
        heartbeat_ms: Interval between two heartbeats.
        load_lag_ms: Age of the load in load reports.
        drain_ms: Time in the state ``leaving`` after SIGTERM before it stops.
        seed: Seed of its random number generator.
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
    """Settings of a plain service.

    Attributes:
        run_ms: Duration of a request.
        target_in_flight: Limit on requests in flight; more are rejected.
    """

    run_ms: NonNegative = 5
    target_in_flight: catalogue.Count = 64


class EngineSettings(
    TargetSettings, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of a model engine.

    Attributes:
        max_running: Maximum number of requests in the running batch.
        max_queued: Maximum number of queued requests; more are rejected.
        token_us: Duration of a decoding step with one request in the batch.
        token_us_per_running: Time that each further request adds to a step.
        prefill_us: Time to prefill each prompt token that isn't cached.
        prefill_tokens_per_step: Maximum number of prompt tokens per step.
        cache_tokens: Capacity of the prefix cache.
        cold_in_flight: Initial limit on requests in flight when cold.
        answers_per_step: Finished answers that raise this limit by one.
        warm_in_flight: Limit at which the engine is warm.
        fall_multiple: A cold engine crashes when its requests in flight
            exceed this multiple of the limit.
        fall: Whether a crash exits the process, or restarts the engine in
            the same process under a new boot id.
        restart_ms: Duration of a restart in the same process.
        start_warm: Whether it starts warm.
        cache_event_lag_ms: Delay before a cache event is published.
        cache_event_loss: Share of the cache events that are lost.
        crash_marker: A request with this text in a message crashes the
            engine.
        attempt_kept_ms: Time for which a finished attempt can be resumed.
        grace_ms: Time for which an attempt continues without a client.
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
