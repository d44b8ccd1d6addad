"""Decisions as plain functions and state, without input or output."""
