"""Time and randomness as the core takes them."""

from collections import abc

# Returns seconds on a clock that never goes back; its zero has no meaning.
Monotonic = abc.Callable[[], float]

# Returns seconds since the epoch; only for what other processes must read.
WallClock = abc.Callable[[], float]
