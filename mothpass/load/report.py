"""Renders the measures of one or more runs as an HTML page."""

import base64
from collections import abc
import html
import io
import typing

import matplotlib.backends.backend_agg
import matplotlib.figure

from mothpass.load import samples
from mothpass.load import series

_FIGURE_SIZE_INCHES = (9.0, 3.2)
_MARK_COLOR = "0.4"
_STYLE = (
    "body{font-family:sans-serif;max-width:60em;margin:2em auto}"
    "table{border-collapse:collapse}td,th{border:1px solid #ccc;"
    "padding:.2em .6em;text-align:right}th:first-child,td:first-child"
    "{text-align:left}img{max-width:100%}.bad{color:#b00;font-weight:bold}"
)
# Draws one run into Matplotlib axes.
Draw = abc.Callable[[typing.Any, series.RunData], None]


def build_page(
    runs: list[series.RunData], measures: list[series.BenchMeasure]
) -> str:
    """Returns the HTML page.

    Args:
        runs: Runs to show side by side, the main run first.
        measures: Measures of the benchmark, may be empty.
    """
    parts = [
        "<!doctype html><html><head><meta charset='utf-8'>",
        f"<title>mothpass</title><style>{_STYLE}</style></head><body>",
        "<h1>mothpass: load report</h1>",
    ]
    if runs:
        parts += _build_run_sections(runs)
    if measures:
        parts += ["<h2>Bench</h2>", _build_measures_table(measures)]
        parts += [_draw_measure(item) for item in measures]
    parts.append("</body></html>")
    return "\n".join(parts)


def _build_run_sections(runs: list[series.RunData]) -> list[str]:
    sections: list[tuple[str, str, Draw]] = [
        ("Cache reuse of returning chats", "share", _draw_reuse),
        ("Skew of load across engines", "highest / mean", _draw_skew),
        ("Control traffic of each daemon", "bytes / s", _draw_control),
        ("First token, 95th percentile", "ms", _draw_first_token),
        ("Requests by due time", "requests / s", draw_outcomes),
    ]
    parts = [_build_table(runs)]
    for title, unit, draw in sections:
        image = _build_image_tag(build_figure(runs, unit, draw), title)
        parts += [f"<h2>{html.escape(title)}</h2>", image]
    return parts


def _build_table(runs: list[series.RunData]) -> str:
    heads = "".join(f"<th>{html.escape(run.label)}</th>" for run in runs)
    lines = [f"<table><tr><th></th>{heads}</tr>"]
    for name, read in _list_summary_rows():
        cells = "".join(f"<td>{read(run.summary)}</td>" for run in runs)
        lines.append(f"<tr><td>{name}</td>{cells}</tr>")
    return "\n".join([*lines, "</table>"])


def _list_summary_rows() -> list[
    tuple[str, abc.Callable[[samples.Summary], str]]
]:
    rows: list[tuple[str, abc.Callable[[samples.Summary], str]]] = [
        ("requests", lambda x: str(x.requests)),
    ]
    rows += [(str(fate), _build_fate_format(fate)) for fate in samples.Fate]
    rows += [
        ("cache reuse", lambda x: _format_value(x.cache_reuse)),
        (
            "cache reuse, share of the best possible",
            lambda x: _format_value(x.cache_reuse_of_best),
        ),
        ("skew p95", lambda x: _format_value(x.skew.p95 or None)),
        ("skew highest", lambda x: _format_value(x.skew.highest or None)),
        (
            "readings over the bound on skew",
            lambda x: f"{x.loads_over_bound} of {x.loads_read}",
        ),
        ("keys that ran twice", _format_ran_twice),
        ("keys with an untrue &quot;not run&quot;", _format_untrue_not_run),
        (
            "control bytes/s p95",
            lambda x: _format_value(x.control_bytes_per_s.p95),
        ),
    ]
    return rows


def _format_ran_twice(summary: samples.Summary) -> str:
    audit = summary.audit
    return "-" if audit is None else str(audit.ran_twice)


def _format_untrue_not_run(summary: samples.Summary) -> str:
    audit = summary.audit
    return "-" if audit is None else str(audit.untrue_not_run)


def _build_fate_format(
    fate: samples.Fate,
) -> abc.Callable[[samples.Summary], str]:
    return lambda summary: str(summary.fates.get(fate, 0))


def build_figure(
    runs: list[series.RunData], unit: str, draw: Draw
) -> matplotlib.figure.Figure:
    """Draws the runs one below the other with shared axes.

    Args:
        runs: Runs to draw, at least one.
        unit: Label of the value axis.
        draw: Draws one run into axes.
    """
    figure = matplotlib.figure.Figure(
        figsize=(_FIGURE_SIZE_INCHES[0], _FIGURE_SIZE_INCHES[1] * len(runs)),
        layout="constrained",
    )
    matplotlib.backends.backend_agg.FigureCanvasAgg(figure)
    all_axes = figure.subplots(
        len(runs), 1, sharex=True, sharey=True, squeeze=False
    )
    for axes, run in zip(all_axes[:, 0], runs, strict=True):
        axes.set_title(run.label, loc="left", fontsize=9)
        axes.set_ylabel(unit)
        draw(axes, run)
        _draw_marks(axes, run.marks)
        if axes.get_legend_handles_labels()[0]:
            axes.legend(fontsize=7, loc="lower right")
    # Set after drawing, since a fixed limit disables automatic scaling.
    all_axes[0, 0].set_ylim(bottom=0)
    all_axes[-1, 0].set_xlabel("seconds from the start")
    return figure


def _draw_marks(axes: typing.Any, marks: list[samples.Mark]) -> None:
    """Draws a labelled vertical line for each action on the fleet."""
    for mark in marks:
        second = mark.at_ms / 1000.0
        style = "--" if mark.done else ":"
        axes.axvline(second, color=_MARK_COLOR, linestyle=style, linewidth=1)
        text = mark.text if mark.done else f"{mark.text} (not confirmed)"
        axes.annotate(
            text,
            (second, 1.0),
            xycoords=("data", "axes fraction"),
            rotation=90,
            va="top",
            ha="right",
            fontsize=7,
        )


def _draw_reuse(axes: typing.Any, run: series.RunData) -> None:
    axes.plot(run.cache_reuse.seconds, run.cache_reuse.values)


def _draw_skew(axes: typing.Any, run: series.RunData) -> None:
    axes.plot(run.skew.seconds, run.skew.values)


def _draw_control(axes: typing.Any, run: series.RunData) -> None:
    for daemon, points in sorted(run.control.items()):
        axes.plot(points.seconds, points.values, label=daemon, linewidth=0.8)


def _draw_first_token(axes: typing.Any, run: series.RunData) -> None:
    axes.plot(run.first_token_p95.seconds, run.first_token_p95.values)


def draw_outcomes(axes: typing.Any, run: series.RunData) -> None:
    """Draws the requests due in each second, complete and failed ones."""
    axes.plot(run.whole.seconds, run.whole.values, label="whole")
    axes.plot(run.failed.seconds, run.failed.values, label="not whole")


def _build_measures_table(measures: list[series.BenchMeasure]) -> str:
    lines = [
        "<table><tr><th>measure</th><th>value</th><th>bound</th><th>best</th>"
        "<th>within</th></tr>"
    ]
    for item in measures:
        verdict = "yes" if item.ok else "<span class='bad'>no</span>"
        lines.append(
            f"<tr><td>{html.escape(item.measure)}</td><td>{_format_value(item.value)}"
            f"</td><td>{_format_value(item.bound)}</td><td>{_format_value(item.best)}</td>"
            f"<td>{verdict}</td></tr>"
        )
    return "\n".join([*lines, "</table>"])


def _draw_measure(item: series.BenchMeasure) -> str:
    """Draws a measure of the benchmark with its baselines."""
    bars = {"mothpass": item.value}
    if item.best is not None:
        bars["best possible"] = item.best
    known = {k: x for k, x in item.baselines.items() if x is not None}
    bars |= known
    figure = matplotlib.figure.Figure(
        figsize=_FIGURE_SIZE_INCHES, layout="constrained"
    )
    matplotlib.backends.backend_agg.FigureCanvasAgg(figure)
    axes = figure.subplots()
    axes.barh(list(bars), list(bars.values()))
    axes.invert_yaxis()
    axes.set_title(item.measure, loc="left", fontsize=9)
    if item.bound is not None:
        axes.axvline(item.bound, color="tab:red", linestyle="--")
        axes.annotate("bound", (item.bound, -0.45), fontsize=7)
    return _build_image_tag(figure, item.measure)


def _build_image_tag(figure: typing.Any, title: str) -> str:
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=100)
    data = base64.b64encode(buffer.getvalue()).decode()
    return (
        f"<img alt='{html.escape(title, quote=True)}' "
        f"src='data:image/png;base64,{data}'>"
    )


def _format_value(value: float | None) -> str:
    return "-" if value is None else f"{value:.4g}"
