"""Computes the summary of a run from the lines of its result file."""

import math
import pathlib
import typing

from hdrh import histogram

from mothpass.load import samples

_US_PER_MS = 1000.0
_MAX_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 3


class _Histograms:
    """Latency histograms of one team or service class."""

    __slots__ = ("between_tokens", "first_token", "whole")

    def __init__(self) -> None:
        self.first_token = _build_histogram()
        self.between_tokens = _build_histogram()
        self.whole = _build_histogram()


class SummaryBuilder:
    """Accumulates the lines of a run into its summary."""

    __slots__ = (
        "_audit",
        "_cached_tokens",
        "_classes",
        "_codes",
        "_control_bytes_per_s",
        "_fates",
        "_loads_over_bound",
        "_loads_read",
        "_prompt_tokens",
        "_requests",
        "_reusable_tokens",
        "_skew",
        "_teams",
    )

    def __init__(self) -> None:
        """Initializes an empty summary."""
        self._audit: samples.Audit | None = None
        self._requests = 0
        self._fates: dict[str, int] = {}
        self._codes: dict[str, int] = {}
        self._prompt_tokens = 0
        self._cached_tokens = 0
        self._reusable_tokens = 0
        self._skew: list[float] = []
        self._loads_over_bound = 0
        self._loads_read = 0
        self._control_bytes_per_s: list[float] = []
        self._teams: dict[str, _Histograms] = {}
        self._classes: dict[str, _Histograms] = {}

    def add(self, line: samples.Line) -> None:
        """Adds a line."""
        if isinstance(line, samples.Sample):
            self._add_sample(line)
        elif isinstance(line, samples.Control):
            self._control_bytes_per_s.append(line.bytes_per_s)
        elif isinstance(line, samples.EngineLoad):
            self._add_load(line)
        elif isinstance(line, samples.Audit):
            self._audit = line

    def summarize(self) -> samples.Summary:
        """Returns the summary of all lines added so far."""
        reuse = (
            self._cached_tokens / self._prompt_tokens
            if self._prompt_tokens
            else None
        )
        reuse_of_best = (
            self._cached_tokens / self._reusable_tokens
            if self._reusable_tokens
            else None
        )
        return samples.Summary(
            requests=self._requests,
            fates=dict(sorted(self._fates.items())),
            codes=dict(sorted(self._codes.items())),
            cache_reuse=reuse,
            cache_reuse_of_best=reuse_of_best,
            skew=_summarize_values(self._skew),
            loads_over_bound=self._loads_over_bound,
            loads_read=self._loads_read,
            control_bytes_per_s=_summarize_values(self._control_bytes_per_s),
            audit=self._audit,
            teams=_summarize_groups(self._teams),
            classes=_summarize_groups(self._classes),
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
            self._prompt_tokens += sample.prompt_tokens
            self._cached_tokens += sample.cached_tokens
            self._reusable_tokens += sample.reusable_tokens
        _record_latencies(
            self._teams.setdefault(sample.team, _Histograms()), sample
        )
        label = sample.service_class
        _record_latencies(
            self._classes.setdefault(label, _Histograms()), sample
        )


def compute_skew(line: samples.EngineLoad) -> float | None:
    """Returns the highest load over the mean; None if the mean is below 1."""
    loads = list(line.in_flight.values())
    if not loads or sum(loads) < len(loads):
        return None
    return max(loads) * len(loads) / sum(loads)


def is_over_bound(line: samples.EngineLoad) -> bool:
    """Returns whether an engine exceeds the bound on skew.

    The bound is the multiple of the mean, rounded up, and at least one.
    """
    loads = list(line.in_flight.values())
    if not loads:
        return False
    mean = sum(loads) / len(loads)
    return max(loads) > max(1, math.ceil(line.skew_multiple * mean))


def summarize_file(path: pathlib.Path) -> samples.Summary:
    """Computes the summary of a result file from its lines.

    Raises:
        msgspec.DecodeError: A line isn't a line of a result file.
        OSError: The file can't be read.
    """
    builder = SummaryBuilder()
    for line in samples.read_lines(path):
        builder.add(line)
    return builder.summarize()


def _record_latencies(histograms: _Histograms, sample: samples.Sample) -> None:
    if sample.first_token_ms is not None:
        _add_value(histograms.first_token, sample.first_token_ms)
    if sample.whole_ms is not None:
        _add_value(histograms.whole, sample.whole_ms)
    for gap in sample.gaps_ms:
        _add_value(histograms.between_tokens, gap)


def _build_histogram() -> typing.Any:
    return histogram.HdrHistogram(1, _MAX_US, _SIGNIFICANT_DIGITS)


def _add_value(hdr_histogram: typing.Any, value_ms: float) -> None:
    value = round(value_ms * _US_PER_MS)
    hdr_histogram.record_value(min(max(value, 1), _MAX_US))


def _summarize_groups(
    groups: dict[str, _Histograms],
) -> dict[str, samples.LatencyStats]:
    return {
        name: samples.LatencyStats(
            first_token=_summarize_histogram(histograms.first_token),
            between_tokens=_summarize_histogram(histograms.between_tokens),
            whole=_summarize_histogram(histograms.whole),
        )
        for name, histograms in sorted(groups.items())
    }


def _summarize_histogram(hdr_histogram: typing.Any) -> samples.Quantiles:
    count = hdr_histogram.get_total_count()
    if count == 0:
        return samples.Quantiles()

    def read_value(percentile: float) -> float:
        value: float = hdr_histogram.get_value_at_percentile(percentile)
        return value / _US_PER_MS

    return samples.Quantiles(
        count=count,
        p50=read_value(50.0),
        p95=read_value(95.0),
        p99=read_value(99.0),
        highest=read_value(100.0),
    )


def _summarize_values(values: list[float]) -> samples.Quantiles:
    """Returns the quantiles of plain numbers by nearest rank."""
    if not values:
        return samples.Quantiles()
    ordered = sorted(values)

    def read_value(share: float) -> float:
        rank = min(int(share * len(ordered)), len(ordered) - 1)
        return ordered[rank]

    return samples.Quantiles(
        count=len(ordered),
        p50=read_value(0.5),
        p95=read_value(0.95),
        p99=read_value(0.99),
        highest=ordered[-1],
    )
