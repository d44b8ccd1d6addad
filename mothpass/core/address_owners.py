"""Decides which target owns an address that several are registered at.

A platform gives the address of a target that has ended to another one, while
daemons still have both registrations. A request to the older one is rejected
there, or runs where it shouldn't, so only the target that started last may get
requests. The older one owns the address again if the later registration goes,
as that may have been wrong.
"""

import msgspec


class _Claim(msgspec.Struct, frozen=True, kw_only=True):
    """Registration of a target at an address.

    Attributes:
        target_id: Id of the target.
        started_at_ms: Unix milliseconds of its start, None where unknown.
    """

    target_id: str
    started_at_ms: int | None


class AddressOwners:
    """Registrations by address, with their owners.

    Attributes:
        superseded: Ids of the targets whose address another target owns.
    """

    __slots__ = ("_addresses", "_claims", "superseded")

    def __init__(self) -> None:
        """Initializes an empty table."""
        self._addresses: dict[str, str] = {}
        # By address; the last one is that of the owner.
        self._claims: dict[str, list[_Claim]] = {}
        self.superseded: set[str] = set()

    def claim(
        self, address: str, target_id: str, *, started_at_ms: int | None = None
    ) -> None:
        """Records that a target is registered at an address.

        Args:
            address: ``ip:port`` of the target.
            target_id: Id of the target.
            started_at_ms: Unix milliseconds of its start. Without it, targets
                count as started in the order in which they are recorded.
        """
        claims = self._claims.get(address, [])
        claim = _Claim(target_id=target_id, started_at_ms=started_at_ms)
        if claim in claims:
            return
        self.release(target_id)
        claims = self._claims.setdefault(address, [])
        position = len(claims)
        while position and _is_later(claims[position - 1], claim):
            position -= 1
        claims.insert(position, claim)
        self._addresses[target_id] = address
        self._update(claims)

    def release(self, target_id: str) -> None:
        """Removes a target that is no longer registered at its address."""
        address = self._addresses.pop(target_id, None)
        if address is None:
            return
        claims = [
            item
            for item in self._claims.pop(address)
            if item.target_id != target_id
        ]
        self.superseded.discard(target_id)
        if claims:
            self._claims[address] = claims
            self._update(claims)

    def _update(self, claims: list[_Claim]) -> None:
        self.superseded.update(item.target_id for item in claims[:-1])
        self.superseded.discard(claims[-1].target_id)


def _is_later(known: _Claim, new: _Claim) -> bool:
    """Returns whether a known registration is of a later start."""
    if known.started_at_ms is None or new.started_at_ms is None:
        return False
    return known.started_at_ms > new.started_at_ms
