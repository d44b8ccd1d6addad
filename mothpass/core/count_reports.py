"""Encodes the requests in flight that daemons publish to each other.

A sender names the targets once in a list with a version and then sends one
or two bytes per target, in the order of the list. A receiver without the list
requests it and gets it with the next report.
"""

from collections import abc

import msgspec

_VALUE_MASK = 0x7F
_VERSION_MASK = 0xFFFFFFFF
_CONTINUATION_BIT = 0x80


class CountReport(msgspec.Struct, frozen=True, kw_only=True):
    """Requests in flight of one daemon by target.

    Attributes:
        names_version: Version of the list of targets that gives the order.
        names: Ids of the targets in order, None if the receiver has them.
        counts: Count of each target, seven bits per byte, low bits first.
    """

    names_version: int
    names: list[str] | None
    counts: bytes


def pack_counts(
    names: abc.Sequence[str], counts: abc.Mapping[str, int]
) -> bytes:
    """Packs the count of each name; a name without one has count 0."""
    packed = bytearray()
    for name in names:
        value = counts.get(name, 0)
        while value > _VALUE_MASK:
            packed.append(value & _VALUE_MASK | _CONTINUATION_BIT)
            value >>= 7
        packed.append(value)
    return bytes(packed)


def unpack_counts(names: abc.Sequence[str], packed: bytes) -> dict[str, int]:
    """Returns the counts by name, without zeros.

    Raises:
        ValueError: There are more or fewer counts than names.
    """
    values = []
    value = shift = 0
    for byte in packed:
        value |= (byte & _VALUE_MASK) << shift
        shift += 7
        if not byte & _CONTINUATION_BIT:
            values.append(value)
            value = shift = 0
    if shift or len(values) != len(names):
        raise ValueError(
            f"{len(values)} counts in a report for {len(names)} targets"
        )
    pairs = zip(names, values, strict=True)
    return {name: count for name, count in pairs if count}


class CountReportEncoder:
    """Encodes this daemon's reports and versions their list of targets.

    Attributes:
        names: Ids of the targets, sorted.
        version: Version of the list, 32 bits; incremented by each change.
    """

    __slots__ = ("names", "version")

    def __init__(self, *, first_version: int) -> None:
        """Starts with an empty list.

        Args:
            first_version: Number above all that an earlier process with the
                same id has used, such as milliseconds since the epoch.
        """
        self.names: list[str] = []
        self.version = first_version & _VERSION_MASK

    def set_names(self, names: abc.Iterable[str]) -> None:
        """Replaces the list by the targets known now."""
        ordered = sorted(names)
        if ordered != self.names:
            self.names = ordered
            self.version = (self.version + 1) & _VERSION_MASK

    def encode_report(
        self, counts: abc.Mapping[str, int], *, with_names: bool
    ) -> CountReport:
        """Returns a report of the counts.

        Args:
            counts: Requests in flight by target.
            with_names: Whether to include the list of targets.
        """
        return CountReport(
            names_version=self.version,
            names=self.names if with_names else None,
            counts=pack_counts(self.names, counts),
        )


class CountReportDecoder:
    """Decodes reports by the lists of targets of other daemons."""

    __slots__ = ("_lists",)

    def __init__(self) -> None:
        """Starts without lists."""
        self._lists: dict[str, tuple[int, list[str]]] = {}

    def decode_report(
        self, sender: str, report: CountReport
    ) -> dict[str, int] | None:
        """Returns the counts of a report, None if its list isn't known."""
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
        """Returns whether the list of a sender is missing."""
        return sender not in self._lists

    def retain(self, senders: abc.Iterable[str]) -> None:
        """Drops the lists of all other senders."""
        retained = set(senders)
        self._lists = {
            sender: entry
            for sender, entry in self._lists.items()
            if sender in retained
        }
