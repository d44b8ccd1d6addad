"""Adapters between the platform's protocols and the relay."""
