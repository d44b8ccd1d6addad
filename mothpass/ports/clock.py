"""Types of the clocks that the core uses."""

from collections import abc

# Returns monotonic seconds, counted from an arbitrary start.
Monotonic = abc.Callable[[], float]

# Returns seconds since the epoch; only for times that other processes read.
WallClock = abc.Callable[[], float]
