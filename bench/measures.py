"""The form in which each measure is printed."""

import msgspec


class Measure(msgspec.Struct, frozen=True, kw_only=True):
    """One measure against its bound.

    Attributes:
        measure: Name, with the unit.
        value: What was measured.
        bound: What it is held against.
        ok: Whether it is within the bound.
        baselines: The same for simpler ways.
        best: The same for an oracle that knows all, None without one.
        seed: Seed of the first run.
        detail: Further figures of the same runs.
    """

    measure: str
    value: float
    bound: float
    ok: bool
    baselines: dict[str, float]
    best: float | None
    seed: int
    detail: dict[str, float] = {}
