"""Measures of the decisions in virtual time, with bounds."""
