"""Computes time series from the lines of a result file."""

from collections import abc
import pathlib

import msgspec

from mothpass.load import samples
from mothpass.load import summaries

_MS_PER_S = 1000.0


class TimeSeries(msgspec.Struct, kw_only=True):
    """Points of one curve.

    Attributes:
        seconds: Times from the start of the run.
        values: Value at each time.
    """

    seconds: list[float] = []
    values: list[float] = []

    def add(self, at_ms: float, value: float) -> None:
        """Adds a point."""
        self.seconds.append(at_ms / _MS_PER_S)
        self.values.append(value)


class RunData(msgspec.Struct, kw_only=True):
    """Data of one run for the figures of a report.

    Attributes:
        label: Name of the result file without its suffix.
        cache_reuse: Cached share of the prompt tokens of returning chats in
            each second.
        skew: Highest load of an engine over the mean load.
        control: Control traffic in bytes per second, by daemon.
        first_token_p95: 95th percentile of the time to the first token in
            each second, in milliseconds.
        whole: Requests due in each second that got a complete answer.
        failed: Other requests due in each second.
        marks: Actions on the fleet.
        summary: Summary of the run.
    """

    label: str
    cache_reuse: TimeSeries = msgspec.field(default_factory=TimeSeries)
    skew: TimeSeries = msgspec.field(default_factory=TimeSeries)
    control: dict[str, TimeSeries] = {}
    first_token_p95: TimeSeries = msgspec.field(default_factory=TimeSeries)
    whole: TimeSeries = msgspec.field(default_factory=TimeSeries)
    failed: TimeSeries = msgspec.field(default_factory=TimeSeries)
    marks: list[samples.Mark] = []
    summary: samples.Summary


class BenchMeasure(msgspec.Struct, frozen=True, kw_only=True):
    """One line that ``python -m bench`` prints.

    Attributes:
        measure: Name of the measure.
        value: Measured value.
        bound: Bound that the value must keep, None if there is none.
        ok: Whether the value keeps the bound.
        baselines: Values of simpler algorithms by name.
        best: Best possible value, None if it isn't known.
        seed: Seed of the benchmark.
    """

    measure: str
    value: float
    bound: float | None = None
    ok: bool = True
    baselines: dict[str, float | None] = {}
    best: float | None = None
    seed: int = 0


def read_run(path: pathlib.Path) -> RunData:
    """Reads a result file of the load tool.

    Raises:
        msgspec.DecodeError: A line isn't a line of a result file.
        OSError: The file can't be read.
    """
    builder = summaries.SummaryBuilder()
    samples_by_second: dict[int, list[samples.Sample]] = {}
    lines = list(samples.read_lines(path))
    for line in lines:
        builder.add(line)
        if isinstance(line, samples.Sample):
            samples_by_second.setdefault(
                int(line.at_ms / _MS_PER_S), []
            ).append(line)
    run = RunData(label=path.stem, summary=builder.summarize())
    for line in lines:
        _add_fleet_line(run, line)
    for second in sorted(samples_by_second):
        _add_second(run, second, samples_by_second[second])
    return run


def read_measures(path: pathlib.Path) -> list[BenchMeasure]:
    """Reads the lines of ``python -m bench``; skips other lines.

    Raises:
        OSError: The file can't be read.
    """
    found = []
    for data in path.read_bytes().splitlines():
        try:
            found.append(msgspec.json.decode(data, type=BenchMeasure))
        except msgspec.DecodeError:
            continue
    return found


def _add_fleet_line(run: RunData, line: samples.Line) -> None:
    if isinstance(line, samples.Mark):
        run.marks.append(line)
    elif isinstance(line, samples.Control):
        series = run.control.setdefault(line.daemon, TimeSeries())
        series.add(line.at_ms, line.bytes_per_s)
    elif isinstance(line, samples.EngineLoad):
        skew = summaries.compute_skew(line)
        if skew is not None:
            run.skew.add(line.at_ms, skew)


def _add_second(
    run: RunData, second: int, samples_in_second: list[samples.Sample]
) -> None:
    at_ms = second * _MS_PER_S
    whole = [
        item for item in samples_in_second if item.fate is samples.Fate.WHOLE
    ]
    run.whole.add(at_ms, len(whole))
    run.failed.add(at_ms, len(samples_in_second) - len(whole))
    returning = [item for item in whole if item.returning]
    prompt = sum(item.prompt_tokens for item in returning)
    if prompt:
        cached = sum(item.cached_tokens for item in returning)
        run.cache_reuse.add(at_ms, cached / prompt)
    first = _list_first_tokens(samples_in_second)
    if first:
        rank = min(int(len(first) * 0.95), len(first) - 1)
        run.first_token_p95.add(at_ms, first[rank])


def _list_first_tokens(
    samples_in_second: abc.Iterable[samples.Sample],
) -> list[float]:
    return sorted(
        item.first_token_ms
        for item in samples_in_second
        if item.first_token_ms is not None
    )
