"""Compares the summaries of two result files."""

from collections import abc

import msgspec

from mothpass.load import samples

_PERCENT = 100.0
_SPREAD_FIELDS = ("p50", "p95", "p99")


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One figure of both files.

    Attributes:
        name: Which figure, as in ``teams.quay.first_token.p95``.
        before: Its value in the first file, None where it has none.
        after: Its value in the second.
    """

    name: str
    before: float | None
    after: float | None

    @property
    def change_percent(self) -> float | None:
        """Change from the first to the second; None where it has none."""
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
    """Returns the times that grew by more than a bound."""
    found = []
    for row in rows:
        change = row.change_percent
        is_time = row.name.startswith(("teams.", "classes."))
        if is_time and change is not None and change > bound_percent:
            found.append(row)
    return found


def format_rows(rows: list[Row]) -> list[str]:
    """Returns the rows as a table for a person, line by line."""
    width = max((len(row.name) for row in rows), default=0)
    lines = [f"{'':<{width}} {'before':>12} {'after':>12} {'change':>9}"]
    for row in rows:
        change = row.change_percent
        shown = "-" if change is None else f"{change:+.1f}%"
        before, after = _show(row.before), _show(row.after)
        lines.append(f"{row.name:<{width}} {before:>12} {after:>12} {shown:>9}")
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
    yield from _list_spread("skew", summary.skew)
    yield "loads_over_bound", summary.loads_over_bound
    yield "loads_read", summary.loads_read
    yield from _list_spread("control_bytes_per_s", summary.control_bytes_per_s)
    for label, groups in (
        ("teams", summary.teams),
        ("classes", summary.classes),
    ):
        for name, group in groups.items():
            path = f"{label}.{name}"
            yield from _list_spread(f"{path}.first_token", group.first_token)
            yield from _list_spread(
                f"{path}.between_tokens", group.between_tokens
            )
            yield from _list_spread(f"{path}.whole", group.whole)


def _list_spread(
    path: str, spread: samples.Spread
) -> abc.Iterator[tuple[str, float]]:
    if spread.count == 0:
        return
    for field in _SPREAD_FIELDS:
        yield f"{path}.{field}", getattr(spread, field)


def _show(value: float | None) -> str:
    if value is None:
        return "-"
    return str(value) if isinstance(value, int) else f"{value:.3f}"
