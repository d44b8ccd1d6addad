"""Compact form in which daemons tell each other their calls in flight.

A sender names the targets once in a list with a version and then sends one
or two bytes for each, in the order of the list. A receiver that lacks the
list says so, and gets it with the next report.
"""

from collections import abc

import msgspec

_SEVEN_BITS = 0x7F
_VERSION_MASK = 0xFFFFFFFF
_MORE = 0x80


class CountReport(msgspec.Struct, frozen=True, kw_only=True):
    """Calls in flight of one daemon.

    Attributes:
        names_version: List of targets that gives the order.
        names: That list, None where the receiver has it.
        counts: A count for each target, seven bits a byte, low bits first.
    """

    names_version: int
    names: list[str] | None
    counts: bytes


def pack_counts(
    names: abc.Sequence[str], counts: abc.Mapping[str, int]
) -> bytes:
    """Packs a count for each name; a name without one has 0."""
    packed = bytearray()
    for name in names:
        value = counts.get(name, 0)
        while value > _SEVEN_BITS:
            packed.append(value & _SEVEN_BITS | _MORE)
            value >>= 7
        packed.append(value)
    return bytes(packed)


def unpack_counts(names: abc.Sequence[str], packed: bytes) -> dict[str, int]:
    """Returns the counts that aren't 0.

    Raises:
        ValueError: There are more or fewer counts than names.
    """
    values = []
    value = shift = 0
    for byte in packed:
        value |= (byte & _SEVEN_BITS) << shift
        shift += 7
        if not byte & _MORE:
            values.append(value)
            value = shift = 0
    if shift or len(values) != len(names):
        raise ValueError(f"{len(values)} counts for {len(names)} targets")
    pairs = zip(names, values, strict=True)
    return {name: count for name, count in pairs if count}


class CountReportEncoder:
    """The list of targets that this daemon's reports refer to.

    Attributes:
        names: Ids of the targets, sorted.
        version: Another number after each change of the list, 32 bits.
    """

    __slots__ = ("names", "version")

    def __init__(self, *, first_version: int) -> None:
        """Starts with an empty list.

        Args:
            first_version: Number above all that an earlier process of the
                same id has used, as milliseconds since the epoch.
        """
        self.names: list[str] = []
        self.version = first_version & _VERSION_MASK

    def set_names(self, names: abc.Iterable[str]) -> None:
        """Takes the targets known now."""
        ordered = sorted(names)
        if ordered != self.names:
            self.names = ordered
            self.version = (self.version + 1) & _VERSION_MASK

    def encode_report(
        self, counts: abc.Mapping[str, int], *, with_names: bool
    ) -> CountReport:
        """Returns the report of these counts.

        Args:
            counts: Calls in flight by target.
            with_names: Whether the receiver lacks the list.
        """
        return CountReport(
            names_version=self.version,
            names=self.names if with_names else None,
            counts=pack_counts(self.names, counts),
        )


class CountReportDecoder:
    """The lists that other daemons' reports refer to."""

    __slots__ = ("_lists",)

    def __init__(self) -> None:
        """Knows no list."""
        self._lists: dict[str, tuple[int, list[str]]] = {}

    def decode_report(
        self, sender: str, report: CountReport
    ) -> dict[str, int] | None:
        """Returns the counts of a report, None where its list is not known."""
        if report.names is not None:
            self._lists[sender] = (report.names_version, report.names)
        version, names = self._lists.get(sender, (0, []))
        if version != report.names_version:
            self._lists.pop(sender, None)
            return None
        try:
            return unpack_counts(names, report.counts)
        except ValueError:
            del self._lists[sender]
            return None

    def lacks_names(self, sender: str) -> bool:
        """Tells whether no list of a sender is known."""
        return sender not in self._lists

    def retain(self, senders: abc.Iterable[str]) -> None:
        """Drops the lists of all senders but these."""
        kept = set(senders)
        self._lists = {
            sender: item
            for sender, item in self._lists.items()
            if sender in kept
        }
