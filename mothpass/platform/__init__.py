"""Translates between the users' platform and the relay."""
