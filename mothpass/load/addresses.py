"""Which destinations the load tool accepts."""

import ipaddress

from mothpass.core import errors


def check_loopback(addresses: list[str], path: str) -> None:
    """Checks that all addresses are loopback addresses.

    The tool makes load and sends demo keys, so it must not reach a machine
    of someone else by a slip in a profile.

    Args:
        addresses: Each ``ip:port``.
        path: Where they stand in the document, for the message.

    Raises:
        errors.DocumentError: Naming each that is not.
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
