"""Tests, each module named after the module it holds."""
