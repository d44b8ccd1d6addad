"""Compares the summaries of two result files."""

from collections import abc

import msgspec

from mothpass.load import samples

_PERCENT = 100.0
_QUANTILE_FIELDS = ("p50", "p95", "p99")


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One figure of both summaries.

    Attributes:
        name: Path of the figure, such as ``teams.quay.first_token.p95``.
        before: Value in the first summary, None if it has none.
        after: Value in the second summary, None if it has none.
    """

    name: str
    before: float | None
    after: float | None

    @property
    def change_percent(self) -> float | None:
        """Relative change; None if a value is missing or the first is 0."""
        if self.before is None or self.after is None or self.before == 0:
            return None
        return (self.after - self.before) / self.before * _PERCENT


def compare_summaries(
    before: samples.Summary, after: samples.Summary
) -> list[Row]:
    """Returns a row for each figure that either summary has."""
    first = dict(_list_figures(before))
    second = dict(_list_figures(after))
    names = [*first, *(name for name in second if name not in first)]
    return [
        Row(name=name, before=first.get(name), after=second.get(name))
        for name in names
    ]


def list_regressions(rows: list[Row], bound_percent: float) -> list[Row]:
    """Returns the latencies that grew by more than a bound."""
    found = []
    for row in rows:
        change = row.change_percent
        is_time = row.name.startswith(("teams.", "classes."))
        if is_time and change is not None and change > bound_percent:
            found.append(row)
    return found


def format_rows(rows: list[Row]) -> list[str]:
    """Formats the rows as the lines of a text table."""
    width = max((len(row.name) for row in rows), default=0)
    lines = [f"{'':<{width}} {'before':>12} {'after':>12} {'change':>9}"]
    for row in rows:
        change = row.change_percent
        formatted = "-" if change is None else f"{change:+.1f}%"
        before, after = _format_value(row.before), _format_value(row.after)
        lines.append(
            f"{row.name:<{width}} {before:>12} {after:>12} {formatted:>9}"
        )
    return lines


def _list_figures(
    summary: samples.Summary,
) -> abc.Iterator[tuple[str, float]]:
    yield "requests", summary.requests
    for fate in samples.Fate:
        yield f"fates.{fate}", summary.fates.get(fate, 0)
    for code, count in summary.codes.items():
        yield f"codes.{code}", count
    if summary.cache_reuse is not None:
        yield "cache_reuse", summary.cache_reuse
    if summary.cache_reuse_of_best is not None:
        yield "cache_reuse_of_best", summary.cache_reuse_of_best
    yield from _list_quantiles("skew", summary.skew)
    yield "loads_over_bound", summary.loads_over_bound
    yield "loads_read", summary.loads_read
    yield from _list_quantiles(
        "control_bytes_per_s", summary.control_bytes_per_s
    )
    for label, groups in (
        ("teams", summary.teams),
        ("classes", summary.classes),
    ):
        for name, group in groups.items():
            path = f"{label}.{name}"
            yield from _list_quantiles(f"{path}.first_token", group.first_token)
            yield from _list_quantiles(
                f"{path}.between_tokens", group.between_tokens
            )
            yield from _list_quantiles(f"{path}.whole", group.whole)


def _list_quantiles(
    path: str, quantiles: samples.Quantiles
) -> abc.Iterator[tuple[str, float]]:
    if quantiles.count == 0:
        return
    for field in _QUANTILE_FIELDS:
        yield f"{path}.{field}", getattr(quantiles, field)


def _format_value(value: float | None) -> str:
    if value is None:
        return "-"
    return str(value) if isinstance(value, int) else f"{value:.3f}"
