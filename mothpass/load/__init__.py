"""Load generation, histograms, comparison and reports."""
