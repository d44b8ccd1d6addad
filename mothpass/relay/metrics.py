"""Collects counters and latency histograms and renders them as text."""

import bisect

# Upper bounds of the buckets; the deployments' target latencies lie between
# 0.1 s and 12 s.
BUCKET_BOUNDS_S = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
# Bounds the memory with many teams; applies to counters and to histograms.
MAX_SERIES = 2000


class Metrics:
    """Counters by name and labels, and histograms of seconds."""

    __slots__ = ("_counters", "_histograms")

    def __init__(self) -> None:
        """Creates empty metrics."""
        self._counters: dict[tuple[str, tuple[tuple[str, str], ...]], int] = {}
        self._histograms: dict[
            tuple[str, tuple[tuple[str, str], ...]], list[float]
        ] = {}

    def count(self, name: str, /, *, amount: int = 1, **labels: str) -> None:
        """Increases a counter by an amount."""
        key = (name, tuple(labels.items()))
        if key in self._counters:
            self._counters[key] += amount
        elif len(self._counters) < MAX_SERIES:
            self._counters[key] = amount

    def set_count(self, name: str, value: int) -> None:
        """Sets a counter that is kept elsewhere."""
        self._counters[(name, ())] = value

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Adds a duration to a histogram."""
        key = (name, tuple(labels.items()))
        buckets = self._histograms.get(key)
        if buckets is None:
            if len(self._histograms) >= MAX_SERIES:
                return
            # A count for each bucket, one above all bounds, and the sum.
            buckets = self._histograms[key] = [0.0] * (len(BUCKET_BOUNDS_S) + 2)
        buckets[bisect.bisect_left(BUCKET_BOUNDS_S, seconds)] += 1
        buckets[-1] += seconds

    def render(self) -> bytes:
        """Returns all series, one per line."""
        lines = [
            f"mothpass_{name}_total{_render_labels(labels)} {value}"
            for (name, labels), value in self._counters.items()
        ]
        for (name, labels), buckets in self._histograms.items():
            total = 0.0
            for bound, count in zip(
                (*BUCKET_BOUNDS_S, "+Inf"), buckets[:-1], strict=True
            ):
                total += count
                bucket_labels = _render_labels((*labels, ("le", str(bound))))
                lines.append(
                    f"mothpass_{name}_seconds_bucket{bucket_labels} {total:g}"
                )
            suffix = _render_labels(labels)
            lines.append(f"mothpass_{name}_seconds_count{suffix} {total:g}")
            lines.append(f"mothpass_{name}_seconds_sum{suffix} {buckets[-1]:g}")
        return ("\n".join(lines) + "\n").encode()


def _render_labels(labels: tuple[tuple[str, str], ...]) -> str:
    if not labels:
        return ""
    pairs = ",".join(f'{name}="{value}"' for name, value in labels)
    return "{" + pairs + "}"
