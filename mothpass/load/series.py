"""Series over time, worked out from the lines of a result file."""

from collections import abc
import pathlib

import msgspec

from mothpass.load import samples
from mothpass.load import summaries

_MS_PER_S = 1000.0


class Series(msgspec.Struct, kw_only=True):
    """Points of one curve.

    Attributes:
        seconds: Times from the start of the run.
        values: A value for each.
    """

    seconds: list[float] = []
    values: list[float] = []

    def add(self, at_ms: float, value: float) -> None:
        """Adds a point."""
        self.seconds.append(at_ms / _MS_PER_S)
        self.values.append(value)


class RunData(msgspec.Struct, kw_only=True):
    """What the figures of one run are drawn from.

    Attributes:
        label: Name of the result file.
        cache_reuse: Share of each second's returning prompt tokens.
        skew: Highest load over the mean.
        control: Control bytes a second, by daemon.
        first_token_p95: Milliseconds, of each second.
        whole: Whole answers that were due in each second.
        failed: Other requests that were due in each second.
        marks: What was done to the fleet.
        summary: All of the run in figures.
    """

    label: str
    cache_reuse: Series = msgspec.field(default_factory=Series)
    skew: Series = msgspec.field(default_factory=Series)
    control: dict[str, Series] = {}
    first_token_p95: Series = msgspec.field(default_factory=Series)
    whole: Series = msgspec.field(default_factory=Series)
    failed: Series = msgspec.field(default_factory=Series)
    marks: list[samples.Mark] = []
    summary: samples.Summary


class BenchMeasure(msgspec.Struct, frozen=True, kw_only=True):
    """One line that ``python -m bench`` prints.

    Attributes:
        measure: Its name.
        value: What was measured.
        bound: What it must keep.
        ok: Whether it did.
        baselines: The same of simpler ways, by name.
        best: The best possible, None where it isn't known.
        seed: Seed of the bench.
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
        msgspec.DecodeError: Where a line isn't one of a result.
        OSError: Where the file can't be read.
    """
    collector = summaries.Collector()
    due: dict[int, list[samples.Sample]] = {}
    lines = list(samples.read_lines(path))
    for line in lines:
        collector.add(line)
        if isinstance(line, samples.Sample):
            due.setdefault(int(line.at_ms / _MS_PER_S), []).append(line)
    run = RunData(label=path.stem, summary=collector.summarize())
    for line in lines:
        _add_watched(run, line)
    for second in sorted(due):
        _add_second(run, second, due[second])
    return run


def read_measures(path: pathlib.Path) -> list[BenchMeasure]:
    """Reads the lines of ``python -m bench``; others are passed over.

    Raises:
        OSError: Where the file can't be read.
    """
    found = []
    for data in path.read_bytes().splitlines():
        try:
            found.append(msgspec.json.decode(data, type=BenchMeasure))
        except msgspec.DecodeError:
            continue
    return found


def _add_watched(run: RunData, line: samples.Line) -> None:
    if isinstance(line, samples.Mark):
        run.marks.append(line)
    elif isinstance(line, samples.Control):
        series = run.control.setdefault(line.daemon, Series())
        series.add(line.at_ms, line.bytes_per_s)
    elif isinstance(line, samples.EngineLoad):
        skew = summaries.compute_skew(line)
        if skew is not None:
            run.skew.add(line.at_ms, skew)


def _add_second(run: RunData, second: int, due: list[samples.Sample]) -> None:
    at_ms = second * _MS_PER_S
    whole = [item for item in due if item.fate is samples.Fate.WHOLE]
    run.whole.add(at_ms, len(whole))
    run.failed.add(at_ms, len(due) - len(whole))
    returning = [item for item in whole if item.returning]
    prompt = sum(item.prompt_tokens for item in returning)
    if prompt:
        cached = sum(item.cached_tokens for item in returning)
        run.cache_reuse.add(at_ms, cached / prompt)
    first = _list_first_tokens(due)
    if first:
        rank = min(int(len(first) * 0.95), len(first) - 1)
        run.first_token_p95.add(at_ms, first[rank])


def _list_first_tokens(due: abc.Iterable[samples.Sample]) -> list[float]:
    return sorted(
        item.first_token_ms for item in due if item.first_token_ms is not None
    )
