"""Load generation, latency histograms, comparison and reports."""
