"""Benchmarks: simulations with bounds, and measurements of real processes."""
