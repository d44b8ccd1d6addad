"""Addresses of processes, as they stand in rows and messages."""

import ipaddress

_MAX_PORT = 65_535


def parse_address(text: str) -> tuple[str, int] | None:
    """Returns the host and the port of ``ip:port``; None if it isn't one."""
    host, _, port_text = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        port = int(port_text)
    except ValueError:
        return None
    return (host, port) if 0 < port <= _MAX_PORT else None
