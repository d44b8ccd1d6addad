"""Defines the line that a live benchmark prints for a figure."""

import msgspec


class Figure(msgspec.Struct, kw_only=True):
    """One figure, printed as a line of JSON.

    Attributes:
        measure: Name, with the unit.
        value: Measured value.
        bound: Limit of the value, None for none.
        detail: Further figures of the same run by name.
    """

    measure: str
    value: float
    bound: float | None
    detail: dict[str, float]
