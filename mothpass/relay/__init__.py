"""Relays requests to targets that register themselves."""
