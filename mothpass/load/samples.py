"""Encodes and decodes the lines of a result file, one JSON object each."""

from collections import abc
import enum
import pathlib

import msgspec


class Fate(enum.StrEnum):
    """How a request ended.

    Attributes:
        WHOLE: The answer is complete and belongs to the request.
        REFUSED: The daemon rejected the request with an error status.
        BROKEN_OFF: The stream ended with an error event.
        LOST: The answer ended, or timed out, without an error event.
        WRONG: The answer looks complete, but isn't the expected one.
        NOT_SENT: The limit on requests in flight was reached.
    """

    WHOLE = "whole"
    REFUSED = "refused"
    BROKEN_OFF = "broken off"
    LOST = "lost"
    WRONG = "wrong"
    NOT_SENT = "not sent"


class Sample(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag="request"
):
    """One request with the latencies of its answer.

    Latencies count from the time at which the schedule has the request due.

    Attributes:
        at_ms: Time at which it was due, from the start of the run.
        team: Team that sent it.
        service_class: Label for the histograms.
        name: Model or service.
        daemon: Client address of the daemon that it was sent to.
        fate: How it ended.
        code: Result code of a rejection, 0 for none.
        ran: Whether it ran, as a rejection reports it.
        detail: Description of the fault.
        first_token_ms: Time to the first token of a streamed answer.
        gaps_ms: Times between two consecutive tokens.
        whole_ms: Time to the end of a complete answer.
        prompt_tokens: Tokens of the prompt.
        cached_tokens: Prompt tokens that were cached.
        reusable_tokens: Prompt tokens that are cached at an engine which
            holds everything that the chat sent before.
        returning: Whether the chat was sent before.
    """

    at_ms: float
    team: str
    service_class: str
    name: str
    daemon: str = ""
    fate: Fate
    code: int = 0
    ran: str = ""
    detail: str = ""
    first_token_ms: float | None = None
    gaps_ms: list[float] = []
    whole_ms: float | None = None
    prompt_tokens: int = 0
    cached_tokens: int = 0
    reusable_tokens: int = 0
    returning: bool = False


class EngineLoad(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag="load"
):
    """Loads of all engines at one time.

    Attributes:
        at_ms: Time from the start of the run.
        in_flight: Requests running or queued, by engine; engines that don't
            respond are missing.
        skew_multiple: Multiple of the mean load that no engine may exceed.
    """

    at_ms: float
    in_flight: dict[str, int]
    skew_multiple: float = 1.25


class Control(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag="control"
):
    """Control cost of one daemon at one time.

    Attributes:
        at_ms: Time from the start of the run.
        daemon: Id of the daemon.
        bytes_per_s: Control traffic in bytes per second.
        processor_share: Share of a core that control uses; None if the
            daemon doesn't measure it.
        version: Version of the catalogue in force.
    """

    at_ms: float
    daemon: str
    bytes_per_s: float
    processor_share: float | None
    version: int


class Mark(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag="mark"
):
    """Mark on the time axis for an action on the fleet.

    Attributes:
        at_ms: Time from the start of the run.
        text: Description of the action.
        done: Whether the action was confirmed.
    """

    at_ms: float
    text: str
    done: bool = True


class Audit(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag="audit"
):
    """Audit of the requests that run at most once against the ledgers.

    Attributes:
        keys: Number of idempotency keys that were sent.
        ran: Keys that ran.
        ran_twice: Keys that ran more than once.
        untrue_not_run: Keys that ran although every answer said "not run".
        unrecorded: Keys with a complete answer that are in no ledger.
    """

    keys: int = 0
    ran: int = 0
    ran_twice: int = 0
    untrue_not_run: int = 0
    unrecorded: int = 0

    @property
    def good(self) -> bool:
        """Whether no key ran twice and every answer was true."""
        return not (self.ran_twice or self.untrue_not_run or self.unrecorded)


class Run(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag="run"
):
    """Header of a run; the lines after it belong to the run.

    Attributes:
        profile: File name of the profile.
        seed: Seed of the run.
        duration_ms: Time during which requests were started.
        daemons: Number of daemons.
    """

    profile: str
    seed: int
    duration_ms: int
    daemons: int


class Quantiles(msgspec.Struct, frozen=True, kw_only=True):
    """Quantiles of one distribution.

    Attributes:
        count: Number of values.
        p50: Median.
        p95: 95th percentile.
        p99: 99th percentile.
        highest: Largest value.
    """

    count: int = 0
    p50: float = 0.0
    p95: float = 0.0
    p99: float = 0.0
    highest: float = 0.0


class LatencyStats(msgspec.Struct, frozen=True, kw_only=True):
    """Latencies of one team or service class, in milliseconds.

    Attributes:
        first_token: Time to the first token of streamed answers.
        between_tokens: Time between two consecutive tokens.
        whole: Time to the end of complete answers.
    """

    first_token: Quantiles = Quantiles()
    between_tokens: Quantiles = Quantiles()
    whole: Quantiles = Quantiles()


class Summary(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag="summary"
):
    """Summary of a run.

    Attributes:
        requests: Requests that were due.
        fates: Number of requests by fate.
        codes: Number of rejections and error events by result code.
        cache_reuse: Cached share of the prompt tokens of returning chats;
            None if there are none.
        cache_reuse_of_best: Cached tokens of returning chats as a share of
            their reusable tokens; None if there are none.
        skew: Highest load of an engine over the mean load, of all readings
            with a mean of at least one.
        loads_over_bound: Readings in which an engine had more than the larger
            of one and the multiple of the mean, rounded up.
        loads_read: Readings of the engines' loads.
        control_bytes_per_s: Control traffic of the daemons.
        audit: Audit against the services' ledgers; None if none was read.
        teams: Latencies by team.
        classes: Latencies by service class.
    """

    requests: int
    fates: dict[str, int]
    codes: dict[str, int] = {}
    cache_reuse: float | None = None
    cache_reuse_of_best: float | None = None
    skew: Quantiles = Quantiles()
    loads_over_bound: int = 0
    loads_read: int = 0
    control_bytes_per_s: Quantiles = Quantiles()
    audit: Audit | None = None
    teams: dict[str, LatencyStats] = {}
    classes: dict[str, LatencyStats] = {}


Line = Sample | EngineLoad | Control | Mark | Audit | Run | Summary


def encode_line(line: Line) -> bytes:
    """Encodes a line as JSON with a line feed at its end."""
    return msgspec.json.encode(line) + b"\n"


def read_lines(path: pathlib.Path) -> abc.Iterator[Line]:
    """Yields the lines of a result file.

    Raises:
        msgspec.DecodeError: A line isn't a line of a result file.
        OSError: The file can't be read.
    """
    decoder = msgspec.json.Decoder(Line)
    with path.open("rb") as file:
        for data in file:
            if data.strip():
                yield decoder.decode(data)
