"""Results of a run: one JSON line each, and the summary of them all."""

from collections import abc
import enum
import math
import pathlib
import typing

from hdrh import histogram
import msgspec

_US_PER_MS = 1000.0
_HIGHEST_US = 3_600_000_000
_DIGITS = 3


class Fate(enum.StrEnum):
    """What became of a request."""

    WHOLE = "whole"
    REFUSED = "refused"
    BROKEN_OFF = "broken off"
    LOST = "lost"
    WRONG = "wrong"
    NOT_SENT = "not sent"


class Sample(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag="request"
):
    """One request.

    Times are milliseconds from the moment the schedule gave.

    Attributes:
        at_ms: When it was due, from the start of the run.
        team: Team that sent it.
        service_class: Label for the histograms.
        name: Model or service.
        daemon: Callers' address it went to.
        fate: What became of it. ``broken off`` has an error event, ``lost``
            ended without any, ``wrong`` looks whole but isn't its own whole
            answer, ``not sent`` met the limit on requests in flight.
        code: Result code of a refusal, 0 for none.
        ran: Whether it ran, as a refusal says.
        detail: What was wrong, for a person.
        first_token_ms: To the first event of a streamed answer.
        gaps_ms: Between two events each.
        whole_ms: To the end of a whole answer.
        prompt_tokens: Tokens of the prompt.
        cached_tokens: Those of them that were cached.
        reusable_tokens: Those of them that an engine which holds all that the
            chat sent before has cached.
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
    """Loads of all engines at one moment.

    Attributes:
        at_ms: When, from the start of the run.
        in_flight: Requests running or waiting, by engine; those that don't
            answer are missing.
        skew_multiple: Multiple of the mean that no engine may exceed.
    """

    at_ms: float
    in_flight: dict[str, int]
    skew_multiple: float = 1.25


class Control(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag="control"
):
    """Cost of control of one daemon at one moment.

    Attributes:
        at_ms: When, from the start of the run.
        daemon: Id of the daemon.
        bytes_per_s: Bytes a second for control.
        processor_share: Share of a core for control, None where the daemon
            doesn't measure it.
        version: Catalogue version in force.
    """

    at_ms: float
    daemon: str
    bytes_per_s: float
    processor_share: float | None
    version: int


class Mark(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag="mark"
):
    """Something that was done to the fleet.

    Attributes:
        at_ms: When, from the start of the run.
        text: What.
        done: Whether it was confirmed.
    """

    at_ms: float
    text: str
    done: bool = True


class Audit(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag="audit"
):
    """What the services' ledgers say of the calls that run at most once.

    Attributes:
        keys: Keys that were sent.
        ran: Keys that ran.
        ran_twice: Keys that ran more than once.
        untrue_not_run: Keys that ran although each answer said "not run".
        unrecorded: Keys with a whole answer that no ledger has.
    """

    keys: int = 0
    ran: int = 0
    ran_twice: int = 0
    untrue_not_run: int = 0
    unrecorded: int = 0

    @property
    def good(self) -> bool:
        """Whether nothing ran twice and every answer was true."""
        return not (self.ran_twice or self.untrue_not_run or self.unrecorded)


class Run(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag="run"
):
    """The run that the lines after it belong to.

    Attributes:
        profile: File name of the profile.
        seed: Its seed.
        duration_ms: Time during which requests started.
        daemons: Number of daemons.
    """

    profile: str
    seed: int
    duration_ms: int
    daemons: int


class Spread(msgspec.Struct, frozen=True, kw_only=True):
    """Summary of one histogram, in milliseconds.

    Attributes:
        count: Values recorded.
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


class Group(msgspec.Struct, frozen=True, kw_only=True):
    """Histograms of one team or class.

    Attributes:
        first_token: Time to the first event of streamed answers.
        between_tokens: Time between two events.
        whole: Time to the end of whole answers.
    """

    first_token: Spread = Spread()
    between_tokens: Spread = Spread()
    whole: Spread = Spread()


class Summary(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag="summary"
):
    """All of a run in figures.

    Attributes:
        requests: Requests that were due.
        fates: How many ended how.
        codes: Refusals by result code.
        cache_reuse: Cached share of the prompt tokens of returning chats;
            None without any.
        cache_reuse_of_best: The same as a share of what an oracle would have
            found cached.
        skew: Highest load of an engine over the mean, at each moment with a
            mean of at least one; count, p50, p95, p99 and highest.
        loads_over_bound: Moments at which an engine had more than the larger
            of one and the multiple of the mean, rounded up.
        loads_read: Moments at which the engines were read.
        control_bytes_per_s: The same of the daemons' control traffic.
        audit: What the services' ledgers say; None where none was read.
        teams: Histograms by team.
        classes: Histograms by class.
    """

    requests: int
    fates: dict[str, int]
    codes: dict[str, int] = {}
    cache_reuse: float | None = None
    cache_reuse_of_best: float | None = None
    skew: Spread = Spread()
    loads_over_bound: int = 0
    loads_read: int = 0
    control_bytes_per_s: Spread = Spread()
    audit: Audit | None = None
    teams: dict[str, Group] = {}
    classes: dict[str, Group] = {}


Line = Sample | EngineLoad | Control | Mark | Audit | Run | Summary


class _Timings:
    """Histograms of one team or class."""

    __slots__ = ("between_tokens", "first_token", "whole")

    def __init__(self) -> None:
        self.first_token = _open_histogram()
        self.between_tokens = _open_histogram()
        self.whole = _open_histogram()


class Collector:
    """Gathers the lines of a run into a summary."""

    __slots__ = (
        "_audit",
        "_cached",
        "_classes",
        "_codes",
        "_control",
        "_fates",
        "_loads_over_bound",
        "_loads_read",
        "_prompt",
        "_requests",
        "_reusable",
        "_skew",
        "_teams",
    )

    def __init__(self) -> None:
        """Starts empty."""
        self._audit: Audit | None = None
        self._requests = 0
        self._fates: dict[str, int] = {}
        self._codes: dict[str, int] = {}
        self._prompt = 0
        self._cached = 0
        self._reusable = 0
        self._skew: list[float] = []
        self._loads_over_bound = 0
        self._loads_read = 0
        self._control: list[float] = []
        self._teams: dict[str, _Timings] = {}
        self._classes: dict[str, _Timings] = {}

    def add(self, line: Line) -> None:
        """Takes a line in."""
        if isinstance(line, Sample):
            self._add_sample(line)
        elif isinstance(line, Control):
            self._control.append(line.bytes_per_s)
        elif isinstance(line, EngineLoad):
            self._add_load(line)
        elif isinstance(line, Audit):
            self._audit = line

    def summarize(self) -> Summary:
        """Returns the summary of all lines taken in."""
        reuse = self._cached / self._prompt if self._prompt else None
        of_best = self._cached / self._reusable if self._reusable else None
        return Summary(
            requests=self._requests,
            fates=dict(sorted(self._fates.items())),
            codes=dict(sorted(self._codes.items())),
            cache_reuse=reuse,
            cache_reuse_of_best=of_best,
            skew=_spread_values(self._skew),
            loads_over_bound=self._loads_over_bound,
            loads_read=self._loads_read,
            control_bytes_per_s=_spread_values(self._control),
            audit=self._audit,
            teams=_spread_groups(self._teams),
            classes=_spread_groups(self._classes),
        )

    def _add_load(self, line: EngineLoad) -> None:
        self._loads_read += 1
        self._loads_over_bound += is_over_bound(line)
        skew = compute_skew(line)
        if skew is not None:
            self._skew.append(skew)

    def _add_sample(self, sample: Sample) -> None:
        self._requests += 1
        self._fates[sample.fate] = self._fates.get(sample.fate, 0) + 1
        if sample.code:
            code = str(sample.code)
            self._codes[code] = self._codes.get(code, 0) + 1
        if sample.returning and sample.fate is Fate.WHOLE:
            self._prompt += sample.prompt_tokens
            self._cached += sample.cached_tokens
            self._reusable += sample.reusable_tokens
        _record(self._teams.setdefault(sample.team, _Timings()), sample)
        label = sample.service_class
        _record(self._classes.setdefault(label, _Timings()), sample)


def compute_skew(line: EngineLoad) -> float | None:
    """Returns the highest load over the mean; None below a mean of one."""
    loads = list(line.in_flight.values())
    if not loads or sum(loads) < len(loads):
        return None
    return max(loads) * len(loads) / sum(loads)


def is_over_bound(line: EngineLoad) -> bool:
    """Tells whether an engine had more than the bound on skew allows."""
    loads = list(line.in_flight.values())
    if not loads:
        return False
    mean = sum(loads) / len(loads)
    return max(loads) > max(1, math.ceil(line.skew_multiple * mean))


def encode_line(line: Line) -> bytes:
    """Encodes a line as JSON with its line end."""
    return msgspec.json.encode(line) + b"\n"


def read_lines(path: pathlib.Path) -> abc.Iterator[Line]:
    """Yields the lines of a result file.

    Raises:
        msgspec.DecodeError: Where a line isn't one of a result.
        OSError: Where the file can't be read.
    """
    decoder = msgspec.json.Decoder(Line)
    with path.open("rb") as file:
        for data in file:
            if data.strip():
                yield decoder.decode(data)


def summarize_file(path: pathlib.Path) -> Summary:
    """Returns the summary of a result file, worked out from its lines.

    Raises:
        msgspec.DecodeError: Where a line isn't one of a result.
        OSError: Where the file can't be read.
    """
    collector = Collector()
    for line in read_lines(path):
        collector.add(line)
    return collector.summarize()


def _record(timings: _Timings, sample: Sample) -> None:
    if sample.first_token_ms is not None:
        _add_value(timings.first_token, sample.first_token_ms)
    if sample.whole_ms is not None:
        _add_value(timings.whole, sample.whole_ms)
    for gap in sample.gaps_ms:
        _add_value(timings.between_tokens, gap)


def _open_histogram() -> typing.Any:
    return histogram.HdrHistogram(1, _HIGHEST_US, _DIGITS)


def _add_value(target: typing.Any, value_ms: float) -> None:
    value = round(value_ms * _US_PER_MS)
    target.record_value(min(max(value, 1), _HIGHEST_US))


def _spread_groups(groups: dict[str, _Timings]) -> dict[str, Group]:
    return {
        name: Group(
            first_token=_spread_histogram(timings.first_token),
            between_tokens=_spread_histogram(timings.between_tokens),
            whole=_spread_histogram(timings.whole),
        )
        for name, timings in sorted(groups.items())
    }


def _spread_histogram(source: typing.Any) -> Spread:
    count = source.get_total_count()
    if count == 0:
        return Spread()

    def read(percentile: float) -> float:
        value: float = source.get_value_at_percentile(percentile)
        return value / _US_PER_MS

    return Spread(
        count=count,
        p50=read(50.0),
        p95=read(95.0),
        p99=read(99.0),
        highest=read(100.0),
    )


def _spread_values(values: list[float]) -> Spread:
    """Returns the spread of plain numbers, by nearest rank."""
    if not values:
        return Spread()
    ordered = sorted(values)

    def read(share: float) -> float:
        rank = min(int(share * len(ordered)), len(ordered) - 1)
        return ordered[rank]

    return Spread(
        count=len(ordered),
        p50=read(0.5),
        p95=read(0.95),
        p99=read(0.99),
        highest=ordered[-1],
    )
