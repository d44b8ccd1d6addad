"""Operator commands, as a library on top of the operators' HTTP API."""
