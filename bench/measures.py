"""Defines the line that the benchmark prints for a measure."""

import msgspec


class Measure(msgspec.Struct, frozen=True, kw_only=True):
    """A measure and its bound.

    Attributes:
        measure: Name, with the unit.
        value: Measured value.
        bound: Limit of the value.
        ok: Whether it is within the bound.
        baselines: Values of baseline policies by name.
        best: Best possible value or that of an oracle, None without one.
        seed: Seed of the first run.
        detail: Further figures of the same runs by name.
    """

    measure: str
    value: float
    bound: float
    ok: bool
    baselines: dict[str, float]
    best: float | None
    seed: int
    detail: dict[str, float] = {}
