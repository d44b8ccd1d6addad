"""Randomized soak of the relay's processes under faults from outside."""
