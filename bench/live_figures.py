"""The form in which each live measure is printed."""

import msgspec


class Figure(msgspec.Struct, kw_only=True):
    """One figure, printed as a line of JSON.

    Attributes:
        measure: Name, with the unit.
        value: What was measured.
        bound: What it is held against, None for none.
        detail: Other figures of the same run.
    """

    measure: str
    value: float
    bound: float | None
    detail: dict[str, float]
