"""Remembers which software version began each stream.

What two versions of a target's software write doesn't fit together, so that an
interrupted stream may only go on at the version that began it. The client may
take it up at another daemon. So each daemon tells the others of the streams
that begin at it, and a stream whose beginning isn't known goes on only while a
single version can have begun it.
"""

import collections
from collections import abc
import itertools

import msgspec
import xxhash

from mothpass.core import target_table

# Exceeds the time limits of streams; a client gives up by then.
LIFETIME_S = 20.0
# Lost datagrams aren't resent, so that two rounds carry each origin.
_ROUNDS_PER_ORIGIN = 2
# Stands for a version that no registration has named.
_UNSEEN_VERSION = 0
# Origins that wait for a round; the oldest are dropped in a burst.
_MAX_PENDING = 256


class Origin(msgspec.Struct, frozen=True, array_like=True):
    """The beginning of a stream.

    Attributes:
        stream: Fingerprint of the id of the request that began it.
        version: Fingerprint of the software version that began it.
    """

    stream: int
    version: int


class StreamOrigins:
    """Origins of the streams that began within the last seconds."""

    __slots__ = ("_current", "_pending", "_previous", "_turned_at")

    def __init__(self) -> None:
        """Starts without origins."""
        # Two generations of origins; the older one is dropped as a whole.
        self._current: dict[int, int] = {}
        self._previous: dict[int, int] = {}
        self._turned_at = float("-inf")
        self._pending: collections.deque[tuple[int, Origin]] = (
            collections.deque(maxlen=_MAX_PENDING)
        )

    def record(self, origin: Origin, now: float) -> None:
        """Records a stream that begins at this daemon."""
        self._add(origin, now)
        self._pending.append((_ROUNDS_PER_ORIGIN, origin))

    def merge(self, origins: abc.Iterable[Origin], now: float) -> None:
        """Merges the origins that another daemon announces."""
        for origin in origins:
            self._add(origin, now)

    def find(self, stream: int) -> int | None:
        """Returns the version that began a stream, None if it isn't known."""
        version = self._current.get(stream)
        return self._previous.get(stream) if version is None else version

    def list_newest(self) -> abc.Iterator[Origin]:
        """Yields the streams that are known, the newest first."""
        for generation in (self._current, self._previous):
            for stream, version in reversed(generation.items()):
                yield Origin(stream, version)

    def take_announcements(self, limit: int) -> list[Origin]:
        """Returns the origins that the next round carries.

        Args:
            limit: Maximum number of origins.
        """
        taken = []
        for _ in range(min(limit, len(self._pending))):
            rounds_left, origin = self._pending.popleft()
            taken.append(origin)
            if rounds_left > 1:
                self._pending.append((rounds_left - 1, origin))
        return taken

    def _add(self, origin: Origin, now: float) -> None:
        if now - self._turned_at >= LIFETIME_S:
            self._previous = self._current
            self._current = {}
            self._turned_at = now
        self._current[origin.stream] = origin.version


class VersionHistory:
    """Software versions that have served each service of late."""

    __slots__ = ("_departed_at", "_gap_at", "_known_since", "_unseen_at")

    def __init__(self) -> None:
        """Starts without knowledge."""
        self._departed_at: dict[tuple[str, int], float] = {}
        self._known_since = float("inf")
        self._unseen_at = float("-inf")
        self._gap_at = float("-inf")

    def record_start(self, now: float) -> None:
        """Records that the targets are known from now on."""
        self._known_since = min(self._known_since, now)

    def record_departure(
        self, registration: target_table.Registration, now: float
    ) -> None:
        """Records that a target no longer serves as it was registered."""
        since = now - LIFETIME_S
        for known, at in list(self._departed_at.items()):
            if at < since:
                del self._departed_at[known]
        key = registration.service, fingerprint_version(registration)
        self._departed_at[key] = now

    def record_unseen(self, now: float) -> None:
        """Records that a target has left whose registration wasn't seen.

        It may have served any service, at any version.
        """
        self._unseen_at = now

    def record_gap(self, now: float) -> None:
        """Records that targets may have come and gone unseen until now."""
        self._gap_at = now

    def merge_former(
        self, versions: abc.Mapping[str, abc.Iterable[int]], now: float
    ) -> None:
        """Merges the versions that served before this daemon started.

        Args:
            versions: Their fingerprints by service.
            now: Seconds of the caller's clock.
        """
        for service, fingerprints in versions.items():
            for version in fingerprints:
                self._departed_at.setdefault((service, version), now)

    def assess(
        self,
        service: str,
        registered: abc.Iterable[target_table.Target],
        now: float,
    ) -> "Versions":
        """Returns which versions can have begun a stream that still runs.

        Args:
            service: Name of the service.
            registered: Its targets.
            now: Seconds of the caller's clock.
        """
        since = now - LIFETIME_S
        departed = (
            version
            for (name, version), at in self._departed_at.items()
            if name == service and at >= since
        )
        present = (
            fingerprint_version(target.registration) for target in registered
        )
        unseen = (_UNSEEN_VERSION,) if self._unseen_at >= since else ()
        return Versions(
            known=frozenset(itertools.chain(departed, present, unseen)),
            is_complete=self._known_since <= since,
            has_gap=self._gap_at >= since,
        )


class Versions(msgspec.Struct, frozen=True, kw_only=True):
    """Software versions that have served a service of late.

    Attributes:
        known: Their fingerprints.
        is_complete: Whether there were no others; not so at a daemon that has
            just started.
        has_gap: Whether there may have been others that only peers have seen.
    """

    known: frozenset[int]
    is_complete: bool
    has_gap: bool = False


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """What a daemon knows of the origin of a stream.

    Attributes:
        version: Fingerprint of the version that began it, None if unknown.
        is_ambiguous: Whether it is unknown because there were several.
    """

    version: int | None = None
    is_ambiguous: bool = False


def answer_origin(
    *, recorded: int | None, versions: Versions, is_confirmed: bool
) -> Answer:
    """Returns what a daemon knows by itself of the origin of a stream.

    Args:
        recorded: Version that the daemon has recorded, None if none.
        versions: Versions that have served of late.
        is_confirmed: Whether it knows all targets that were registered when it
            was asked.
    """
    if recorded is not None:
        return Answer(version=recorded)
    if len(versions.known) > 1:
        return Answer(is_ambiguous=True)
    is_sure = versions.is_complete and not versions.has_gap and is_confirmed
    if not versions.known or not is_sure:
        return Answer()
    return Answer(version=next(iter(versions.known)))


def merge_answers(
    answers: abc.Iterable[Answer], *, versions: Versions, is_confirmed: bool
) -> int | None:
    """Returns the version at which a stream of unknown origin goes on.

    Args:
        answers: What the asked peers know.
        versions: Versions that this daemon knows of.
        is_confirmed: Whether it knows all targets that were registered when
            the stream was taken up.

    Returns:
        The fingerprint of the version, None if it can't be known.
    """
    answers = list(answers)
    found = {item.version for item in answers if item.version is not None}
    if found:
        return found.pop() if len(found) == 1 else None
    is_ambiguous = any(item.is_ambiguous for item in answers)
    if is_ambiguous or not is_confirmed or versions.has_gap:
        return None
    if len(versions.known) != 1:
        return None
    # No daemon has been up for long, as after the loss of all of them.
    return next(iter(versions.known))


def fingerprint(text: str) -> int:
    """Returns the number that stands for an id in messages."""
    return xxhash.xxh3_64_intdigest(text.encode())


def fingerprint_version(registration: target_table.Registration) -> int:
    """Returns the number that stands for a service's software version."""
    return fingerprint(
        f"{registration.service}\0{registration.software_version}"
    )
