"""Runs the benchmarks with real processes and prints one JSON line per figure.

The figures depend on the machine, so they don't affect the exit status.
"""

from collections import abc
import sys
import typing

import msgspec

from bench import live_control
from bench import live_data_path

MEASURES: dict[str, abc.Callable[[], abc.Iterable[typing.Any]]] = {
    "data-path": live_data_path.measure,
    "control": live_control.measure,
}


def main(names: list[str]) -> int:
    """Runs the named benchmarks, or all, and returns the exit status."""
    unknown = set(names) - MEASURES.keys()
    if unknown:
        print(f"no measure named {', '.join(sorted(unknown))}", file=sys.stderr)
        return 2
    for name, measure in MEASURES.items():
        if not names or name in names:
            for figure in measure():
                print(msgspec.json.encode(figure).decode(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
