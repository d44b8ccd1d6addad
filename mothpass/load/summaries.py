"""The summary of a run, worked out from its lines."""

import math
import pathlib
import typing

from hdrh import histogram

from mothpass.load import samples

_US_PER_MS = 1000.0
_HIGHEST_US = 3_600_000_000
_DIGITS = 3


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
        self._audit: samples.Audit | None = None
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

    def add(self, line: samples.Line) -> None:
        """Takes a line in."""
        if isinstance(line, samples.Sample):
            self._add_sample(line)
        elif isinstance(line, samples.Control):
            self._control.append(line.bytes_per_s)
        elif isinstance(line, samples.EngineLoad):
            self._add_load(line)
        elif isinstance(line, samples.Audit):
            self._audit = line

    def summarize(self) -> samples.Summary:
        """Returns the summary of all lines taken in."""
        reuse = self._cached / self._prompt if self._prompt else None
        of_best = self._cached / self._reusable if self._reusable else None
        return samples.Summary(
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

    def _add_load(self, line: samples.EngineLoad) -> None:
        self._loads_read += 1
        self._loads_over_bound += is_over_bound(line)
        skew = compute_skew(line)
        if skew is not None:
            self._skew.append(skew)

    def _add_sample(self, sample: samples.Sample) -> None:
        self._requests += 1
        self._fates[sample.fate] = self._fates.get(sample.fate, 0) + 1
        if sample.code:
            code = str(sample.code)
            self._codes[code] = self._codes.get(code, 0) + 1
        if sample.returning and sample.fate is samples.Fate.WHOLE:
            self._prompt += sample.prompt_tokens
            self._cached += sample.cached_tokens
            self._reusable += sample.reusable_tokens
        _record(self._teams.setdefault(sample.team, _Timings()), sample)
        label = sample.service_class
        _record(self._classes.setdefault(label, _Timings()), sample)


def compute_skew(line: samples.EngineLoad) -> float | None:
    """Returns the highest load over the mean; None below a mean of one."""
    loads = list(line.in_flight.values())
    if not loads or sum(loads) < len(loads):
        return None
    return max(loads) * len(loads) / sum(loads)


def is_over_bound(line: samples.EngineLoad) -> bool:
    """Tells whether an engine had more than the bound on skew allows."""
    loads = list(line.in_flight.values())
    if not loads:
        return False
    mean = sum(loads) / len(loads)
    return max(loads) > max(1, math.ceil(line.skew_multiple * mean))


def summarize_file(path: pathlib.Path) -> samples.Summary:
    """Returns the summary of a result file, worked out from its lines.

    Raises:
        msgspec.DecodeError: Where a line isn't one of a result.
        OSError: Where the file can't be read.
    """
    collector = Collector()
    for line in samples.read_lines(path):
        collector.add(line)
    return collector.summarize()


def _record(timings: _Timings, sample: samples.Sample) -> None:
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


def _spread_groups(groups: dict[str, _Timings]) -> dict[str, samples.Group]:
    return {
        name: samples.Group(
            first_token=_spread_histogram(timings.first_token),
            between_tokens=_spread_histogram(timings.between_tokens),
            whole=_spread_histogram(timings.whole),
        )
        for name, timings in sorted(groups.items())
    }


def _spread_histogram(source: typing.Any) -> samples.Spread:
    count = source.get_total_count()
    if count == 0:
        return samples.Spread()

    def read(percentile: float) -> float:
        value: float = source.get_value_at_percentile(percentile)
        return value / _US_PER_MS

    return samples.Spread(
        count=count,
        p50=read(50.0),
        p95=read(95.0),
        p99=read(99.0),
        highest=read(100.0),
    )


def _spread_values(values: list[float]) -> samples.Spread:
    """Returns the spread of plain numbers, by nearest rank."""
    if not values:
        return samples.Spread()
    ordered = sorted(values)

    def read(share: float) -> float:
        rank = min(int(share * len(ordered)), len(ordered) - 1)
        return ordered[rank]

    return samples.Spread(
        count=len(ordered),
        p50=read(0.5),
        p95=read(0.95),
        p99=read(0.99),
        highest=ordered[-1],
    )
