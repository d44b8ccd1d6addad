"""Restricts the destinations of the load tool to loopback addresses."""

import ipaddress

from mothpass.core import errors


def check_loopback(addresses: list[str], path: str) -> None:
    """Checks that all addresses are loopback addresses.

    The tool generates load and sends demo keys, so a mistake in a profile
    must not direct it at another machine.

    Args:
        addresses: Addresses in the form ``ip:port``.
        path: Path of the list in the document, for the error message.

    Raises:
        errors.DocumentError: Names each address that isn't loopback.
    """
    problems = [
        errors.Problem(
            path=f"{path}[{index}]",
            message=f"{address} is not a loopback address",
        )
        for index, address in enumerate(addresses)
        if not _is_loopback(address)
    ]
    if problems:
        raise errors.DocumentError(problems)


def _is_loopback(address: str) -> bool:
    host, _, _ = address.rpartition(":")
    try:
        return ipaddress.IPv4Address(host).is_loopback
    except ValueError:
        return False
