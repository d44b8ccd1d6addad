"""Passes requests on to targets that register themselves."""
