"""Carriers of bytes between the ports and the world."""
