"""Counters and latency histograms, served as text."""

import bisect

# Upper bounds of the classes in seconds; the sheets' targets lie between
# 0.1 s and 12 s.
BOUNDS_S = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
# Series kept at most, so that many teams don't fill the memory.
MOST_SERIES = 2000


class Metrics:
    """Counters by name and labels, and histograms of seconds."""

    __slots__ = ("_counters", "_histograms")

    def __init__(self) -> None:
        """Starts at 0."""
        self._counters: dict[tuple[str, tuple[tuple[str, str], ...]], int] = {}
        self._histograms: dict[
            tuple[str, tuple[tuple[str, str], ...]], list[float]
        ] = {}

    def count(self, name: str, **labels: str) -> None:
        """Adds one to a counter."""
        key = (name, tuple(labels.items()))
        if key in self._counters:
            self._counters[key] += 1
        elif len(self._counters) < MOST_SERIES:
            self._counters[key] = 1

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Adds a time to a histogram."""
        key = (name, tuple(labels.items()))
        classes = self._histograms.get(key)
        if classes is None:
            if len(self._histograms) >= MOST_SERIES:
                return
            # One count for each class, one above all, and the sum.
            classes = self._histograms[key] = [0.0] * (len(BOUNDS_S) + 2)
        classes[bisect.bisect_left(BOUNDS_S, seconds)] += 1
        classes[-1] += seconds

    def render(self) -> bytes:
        """Returns all series, a line each."""
        lines = [
            f"mothpass_{name}_total{_render(labels)} {value}"
            for (name, labels), value in self._counters.items()
        ]
        for (name, labels), classes in self._histograms.items():
            total = 0.0
            for bound, count in zip(
                (*BOUNDS_S, "+Inf"), classes[:-1], strict=True
            ):
                total += count
                labelled = _render((*labels, ("le", str(bound))))
                lines.append(
                    f"mothpass_{name}_seconds_bucket{labelled} {total:g}"
                )
            suffix = _render(labels)
            lines.append(f"mothpass_{name}_seconds_count{suffix} {total:g}")
            lines.append(f"mothpass_{name}_seconds_sum{suffix} {classes[-1]:g}")
        return ("\n".join(lines) + "\n").encode()


def _render(labels: tuple[tuple[str, str], ...]) -> str:
    if not labels:
        return ""
    pairs = ",".join(f'{name}="{value}"' for name, value in labels)
    return "{" + pairs + "}"
