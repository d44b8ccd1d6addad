"""Tests for summaries, comparisons and reports of result files."""

import contextlib
import io
import pathlib
import tempfile
import unittest

from cleo.io.inputs import string_input
import msgspec

from bench import measures
from mothpass.load import comparison
from mothpass.load import report
from mothpass.load import samples
from mothpass.load import series
from mothpass.load import summaries
from mothpass.programs import mothpass_load


def build_sample(**changes: object) -> samples.Sample:
    """Returns the line of a complete answer with some fields replaced."""
    fields: dict[str, object] = {
        "at_ms": 500.0,
        "team": "quay",
        "service_class": "quick",
        "name": "advice",
        "fate": samples.Fate.WHOLE,
        "first_token_ms": 20.0,
        "gaps_ms": [4.0, 6.0],
        "whole_ms": 30.0,
        "prompt_tokens": 100,
        "cached_tokens": 80,
        "reusable_tokens": 90,
        "returning": True,
        **changes,
    }
    return samples.Sample(**fields)  # type: ignore[arg-type]


class ResultsCase(unittest.TestCase):
    """Base class that writes result files and runs commands on them."""

    def setUp(self) -> None:
        self.folder = pathlib.Path(
            self.enterContext(tempfile.TemporaryDirectory())
        )

    def write(self, name: str, lines: list[samples.Line]) -> pathlib.Path:
        path = self.folder / name
        path.write_bytes(b"".join(map(samples.encode_line, lines)))
        return path

    def run_load(self, line: str) -> int:
        app = mothpass_load.build_application()
        quiet = io.StringIO()
        with (
            contextlib.redirect_stdout(quiet),
            contextlib.redirect_stderr(quiet),
        ):
            return app.run(string_input.StringInput(line))


class SummaryTest(ResultsCase):
    """Checks the summary of a run."""

    def test_counts_fates_and_codes(self) -> None:
        refused = build_sample(fate=samples.Fate.REFUSED, code=201)
        path = self.write("a", [build_sample(), refused, refused])
        summary = summaries.summarize_file(path)
        self.assertEqual(summary.requests, 3)
        self.assertEqual(summary.fates, {"whole": 1, "refused": 2})
        self.assertEqual(summary.codes, {"201": 2})

    def test_reuse_counts_whole_answers_of_returning_chats(self) -> None:
        new = build_sample(returning=False, cached_tokens=0)
        cut = build_sample(fate=samples.Fate.LOST, cached_tokens=0)
        other = build_sample(prompt_tokens=300, cached_tokens=100)
        path = self.write("a", [build_sample(), new, cut, other])
        summary = summaries.summarize_file(path)
        self.assertEqual(summary.cache_reuse, 180 / 400)
        self.assertEqual(summary.cache_reuse_of_best, 180 / 180)

    def test_histograms_by_team_and_class(self) -> None:
        slow = build_sample(team="lake", first_token_ms=1000.0)
        lines = [build_sample() for _ in range(99)]
        summary = summaries.summarize_file(self.write("a", [*lines, slow]))
        quay = summary.teams["quay"]
        self.assertEqual(quay.first_token.count, 99)
        self.assertAlmostEqual(quay.first_token.p95, 20.0, delta=0.1)
        self.assertEqual(quay.between_tokens.count, 198)
        both = summary.classes["quick"].first_token
        self.assertAlmostEqual(both.highest, 1000.0, delta=2.0)
        self.assertAlmostEqual(both.p95, 20.0, delta=0.1)

    def test_skew_ignores_readings_with_a_mean_load_below_one(self) -> None:
        loads: list[samples.Line] = [
            samples.EngineLoad(at_ms=1.0, in_flight={"a": 3, "b": 1}),
            samples.EngineLoad(at_ms=2.0, in_flight={"a": 1, "b": 0}),
            samples.EngineLoad(at_ms=3.0, in_flight={}),
        ]
        summary = summaries.summarize_file(self.write("a", loads))
        self.assertEqual((summary.skew.count, summary.skew.highest), (1, 1.5))

    def test_bound_on_skew_is_rounded_up_and_at_least_one(self) -> None:
        for in_flight, over in (
            ({"a": 5, "b": 3}, False),
            ({"a": 6, "b": 2}, True),
            ({"a": 1, "b": 0, "c": 0}, False),
            ({}, False),
        ):
            with self.subTest(in_flight=in_flight):
                line = samples.EngineLoad(at_ms=0.0, in_flight=in_flight)
                self.assertEqual(summaries.is_over_bound(line), over)

    def test_summary_line_equals_the_recomputed_summary(self) -> None:
        builder = summaries.SummaryBuilder()
        builder.add(build_sample())
        summary = builder.summarize()
        path = self.write("a", [build_sample(), summary])
        self.assertEqual(list(samples.read_lines(path))[-1], summary)
        self.assertEqual(summaries.summarize_file(path), summary)


class ComparisonTest(ResultsCase):
    """Checks the comparison of two summaries."""

    def compare(self, line: samples.Sample) -> dict[str, comparison.Row]:
        before = summaries.summarize_file(self.write("a", [build_sample()]))
        after = summaries.summarize_file(self.write("b", [line]))
        rows = comparison.compare_summaries(before, after)
        return {row.name: row for row in rows}

    def test_rows_give_the_relative_change(self) -> None:
        rows = self.compare(build_sample(cached_tokens=40, whole_ms=60.0))
        self.assertAlmostEqual(rows["cache_reuse"].change_percent or 0, -50.0)
        change = rows["teams.quay.whole.p95"].change_percent or 0
        self.assertAlmostEqual(change, 100.0, delta=0.5)
        self.assertEqual(rows["teams.quay.first_token.p50"].change_percent, 0)

    def test_figure_of_only_one_summary_is_kept(self) -> None:
        rows = self.compare(build_sample(team="lake"))
        self.assertIsNone(rows["teams.quay.whole.p50"].after)
        self.assertIsNone(rows["teams.lake.whole.p50"].before)
        lines = comparison.format_rows(list(rows.values()))
        self.assertEqual(len(lines), len(rows) + 1)

    def test_exit_status_is_1_over_the_bound(self) -> None:
        before = self.write("a", [build_sample()])
        after = self.write("b", [build_sample(first_token_ms=23.0)])
        line = f"compare {before} {after} --bound"
        self.assertEqual(self.run_load(f"{line} 20"), 0)
        self.assertEqual(self.run_load(f"{line} 10"), 1)

    def test_invalid_result_file_is_bad_input(self) -> None:
        path = self.folder / "a"
        path.write_text('{"kind": "else"}\n')
        self.assertEqual(self.run_load(f"compare {path} {path}"), 2)


class ReportTest(ResultsCase):
    """Checks the time series and the HTML page."""

    def write_run(self, name: str) -> pathlib.Path:
        mark = samples.Mark(at_ms=900.0, text="zone out <a>")
        control = samples.Control(
            at_ms=100.0,
            daemon="d1",
            bytes_per_s=900.0,
            processor_share=0.001,
            version=1,
        )
        load = samples.EngineLoad(at_ms=1.0, in_flight={"a": 3, "b": 1})
        late = build_sample(at_ms=1500.0, fate=samples.Fate.REFUSED)
        return self.write(name, [build_sample(), late, mark, control, load])

    def test_series_group_requests_by_the_second_they_were_due(self) -> None:
        run = series.read_run(self.write_run("a.jsonl"))
        self.assertEqual(run.whole.seconds, [0.0, 1.0])
        self.assertEqual(run.whole.values, [1, 0])
        self.assertEqual(run.failed.values, [0, 1])
        self.assertEqual(run.cache_reuse.values, [0.8])
        self.assertEqual(run.skew.values, [1.5])
        self.assertEqual(run.control["d1"].values, [900.0])
        self.assertEqual([mark.at_ms for mark in run.marks], [900.0])

    def test_figure_scale_covers_all_runs(self) -> None:
        busy = self.write("busy", [build_sample() for _ in range(30)])
        runs = [
            series.read_run(self.write("quiet", [build_sample()])),
            series.read_run(busy),
        ]
        figure = report.build_figure(runs, "requests", report.draw_outcomes)
        for axes in figure.axes:
            low, high = axes.get_ylim()
            self.assertEqual(low, 0)
            self.assertGreaterEqual(high, 30)

    def test_page_shows_runs_side_by_side_and_measures(self) -> None:
        bench = self.folder / "bench"
        measure = measures.Measure(
            measure="skew <b>",
            value=1.4,
            bound=1.25,
            ok=False,
            baselines={"random": 1.9},
            best=1.0,
            seed=1,
        )
        data = msgspec.json.encode(measure).decode()
        bench.write_text(f"some text\n{data}\n")
        page = self.folder / "page.html"
        first, second = (
            self.write_run("now.jsonl"),
            self.write_run("then.jsonl"),
        )
        status = self.run_load(f"report {first} {second} {bench} -o {page}")
        self.assertEqual(status, 0)
        text = page.read_text()
        self.assertEqual(text.count("data:image/png;base64,"), 6)
        self.assertIn("<th>now</th><th>then</th>", text)
        self.assertIn("skew &lt;b&gt;", text)
        self.assertIn("<span class='bad'>no</span>", text)


if __name__ == "__main__":
    unittest.main()
