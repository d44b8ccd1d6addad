"""Registrations of targets for tests of the relay."""

from mothpass.core import target_table


def make_registration(
    number: int, **fields: object
) -> target_table.Registration:
    """Returns the registration of a target at an address of its own.

    Args:
        number: Number of the target, in its id and its address.
        **fields: Fields with other values than the usual ones.
    """
    values: dict[str, object] = {
        "id": f"i-{number}",
        "service": "models",
        "address": f"10.0.0.{number}:80",
        "availability_zone": "zone-a",
        "slots": 8,
        "is_draining": False,
        "cold_left_s": 0.0,
        "started_at_ms": 1,
    }
    return target_table.Registration(**values | fields)  # type: ignore[arg-type]
