"""Revisions of the catalogue as an append-only log of changes.

A revision is the catalogue at one version. A change leads from one revision
to the next; its digest covers the digest of the revision before it, so that a
change fits exactly one history. The store decides which change is accepted:
compare-and-set moves the head row from one version to the next.
"""

import enum
import hashlib

import msgspec

from mothpass.core import catalogue
from mothpass.core import decoding
from mothpass.core import edits as edits_module
from mothpass.core import errors
from mothpass.ports import tables

TABLE = "catalogue"
HEAD_KEY = "head"
SNAPSHOT_KEY = "snapshot"
MAX_ROW_EDITS_BYTES = 32_768
SNAPSHOT_INTERVAL_CHANGES = 64
CHANGES_PER_SCAN = 10


class CommitStatus(enum.Enum):
    """Whether a change that was sent to the store is accepted."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One change of the log, as stored in a row and sent between daemons.

    Attributes:
        version: Version that the change leads to.
        id: Unique id, by which the proposer finds it after a lost answer.
        author: Who requested the change.
        at_ms: Wall time of the proposal, milliseconds since the epoch.
        summary: Human-readable summary of the edits.
        previous: Digest of the revision that the change builds on.
        edits_sha256: Digest of the encoded edits.
        edits: The edits; None where they are kept in the object store.
    """

    version: int
    id: str
    author: str
    at_ms: int
    summary: str
    previous: str
    edits_sha256: str
    edits: list[edits_module.Edit] | None


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """Head row, which names the newest accepted version.

    Attributes:
        version: Newest accepted version.
        digest: Digest of that revision.
    """

    version: int
    digest: str


class SnapshotPointer(msgspec.Struct, frozen=True, kw_only=True):
    """Row that names the newest snapshot.

    Attributes:
        version: Version of the snapshot.
    """

    version: int


class Revision(msgspec.Struct, frozen=True, kw_only=True):
    """The catalogue at one version.

    Attributes:
        version: 0 is the empty catalogue before the first change.
        digest: Digest of the change that led here; "" for version 0.
        catalogue: The catalogue, lists ordered by name.
    """

    version: int
    digest: str
    catalogue: catalogue.Catalogue


EMPTY = Revision(
    version=0,
    digest="",
    catalogue=catalogue.Catalogue(
        classes=[], models=[], services=[], teams=[], availability_zones=[]
    ),
)


def build_change(
    base: Revision,
    edits: list[edits_module.Edit],
    *,
    change_id: str,
    author: str,
    at_ms: int,
) -> Change:
    """Builds the change that leads from a revision to its successor.

    Args:
        base: Revision that the edits were made against.
        edits: The edits.
        change_id: Unique id of this proposal.
        author: Who requests the change.
        at_ms: Wall time, milliseconds since the epoch.

    Returns:
        The change, with its edits included whatever their size.
    """
    return Change(
        version=base.version + 1,
        id=change_id,
        author=author,
        at_ms=at_ms,
        summary=edits_module.summarize_edits(edits),
        previous=base.digest,
        edits_sha256=_hash(edits_module.encode_edits(edits)),
        edits=edits,
    )


def apply_change(base: Revision, change: Change) -> Revision:
    """Returns the revision that an accepted change leads to.

    Args:
        base: Revision that the change applies to.
        change: The next change, with its edits.

    Returns:
        The next revision.

    Raises:
        errors.ChangeMismatchError: The change does not build on this
            revision, its edits are not those that were accepted, or it was
            written by a daemon with other catalogue fields.
    """
    if change.version != base.version + 1 or change.previous != base.digest:
        raise errors.ChangeMismatchError(
            f"change {change.version} does not follow version {base.version}"
        )
    if change.edits is None:
        raise errors.ChangeMismatchError(
            f"change {change.version} has no edits"
        )
    if _hash(edits_module.encode_edits(change.edits)) != change.edits_sha256:
        raise errors.ChangeMismatchError(
            f"the edits of change {change.version} do not match its digest"
        )
    try:
        applied = edits_module.apply_edits(base.catalogue, change.edits)
    except msgspec.DecodeError as error:
        raise errors.ChangeMismatchError(
            f"the edits of change {change.version} can't be decoded: {error}"
        ) from error
    return Revision(
        version=change.version,
        digest=digest_change(change),
        catalogue=applied,
    )


def digest_change(change: Change) -> str:
    """Returns the digest of a change, which covers the edits' digest."""
    bare = msgspec.structs.replace(change, edits=None)
    return _hash(msgspec.json.encode(bare, order="deterministic"))


def strip_large_edits(change: Change) -> Change:
    """Returns the change as stored in its row, without large edits."""
    if change.edits is None:
        return change
    if edits_module.estimate_edits_bytes(change.edits) <= MAX_ROW_EDITS_BYTES:
        return change
    return msgspec.structs.replace(change, edits=None)


def attach_edits(change: Change, data: bytes | None) -> Change:
    """Returns a change with its edits from the object store.

    Args:
        change: Change whose row has no edits.
        data: Object named ``build_edits_object_name(change)``, None if
            missing.

    Returns:
        The change with its edits; ``apply_change`` checks their digest.

    Raises:
        errors.ChangeMismatchError: The object is missing.
    """
    if data is None:
        raise errors.ChangeMismatchError(
            f"the edits of change {change.version} are not in the object store"
        )
    return msgspec.structs.replace(
        change, edits=edits_module.decode_edits(data)
    )


def build_writes(change: Change) -> list[tables.Write]:
    """Returns the transaction that accepts a change.

    The version of the head row equals the version of the catalogue, since
    each change writes the row once. So the transaction succeeds for only one
    successor of a revision.

    Args:
        change: The change, stripped of large edits.

    Returns:
        The writes of the change's row and of the head row.
    """
    head = Head(version=change.version, digest=digest_change(change))
    return [
        tables.Write(
            table=TABLE,
            key=HEAD_KEY,
            expected_version=change.version - 1,
            value=msgspec.Raw(msgspec.json.encode(head)),
        ),
        tables.Write(
            table=TABLE,
            key=build_change_key(change.version),
            expected_version=0,
            value=msgspec.Raw(msgspec.json.encode(change)),
        ),
    ]


def build_change_key(version: int) -> str:
    """Returns the key of the row that holds a change."""
    return f"change/{version:010d}"


def build_change_key_prefix(version: int) -> str:
    """Returns the key prefix of the changes that are scanned with one."""
    return f"change/{version // CHANGES_PER_SCAN:09d}"


def build_edits_object_name(change: Change) -> str:
    """Returns the name of the object that holds a change's large edits."""
    return f"catalogue/edits/{change.edits_sha256}"


def build_snapshot_object_name(version: int) -> str:
    """Returns the name of the object that holds a snapshot."""
    return f"catalogue/snapshot/{version:010d}"


def encode_snapshot(revision: Revision) -> bytes:
    """Encodes a revision; equal revisions give equal bytes."""
    return msgspec.json.encode(revision, order="deterministic")


def decode_snapshot(data: bytes) -> Revision:
    """Decodes the result of ``encode_snapshot``."""
    return decoding.decode_json(data, Revision)


def decode_change(row: tables.Row) -> Change:
    """Decodes the row of a change."""
    return decoding.decode_json(row.value, Change)


def decode_head(row: tables.Row | None) -> Head:
    """Decodes the head row; version 0 without one."""
    if row is None:
        return Head(version=EMPTY.version, digest=EMPTY.digest)
    return decoding.decode_json(row.value, Head)


def needs_snapshot(row: Change) -> bool:
    """Returns whether a snapshot should be taken after a change's row."""
    return row.edits is None or row.version % SNAPSHOT_INTERVAL_CHANGES == 0


def classify_commit(
    outcome: tables.Committed | tables.Conflict | None, *, lost_before: bool
) -> CommitStatus:
    """Classifies one attempt to commit a change.

    Args:
        outcome: Answer of the store; None if it was lost.
        lost_before: Whether the answer to an earlier attempt was lost.

    Returns:
        ACCEPTED or REFUSED if that is certain. After a lost answer a
        conflict may be with the change itself, so the status is UNKNOWN until
        the row of the version is read.
    """
    if outcome is None:
        return CommitStatus.UNKNOWN
    if isinstance(outcome, tables.Committed):
        return CommitStatus.ACCEPTED
    return CommitStatus.UNKNOWN if lost_before else CommitStatus.REFUSED


def classify_row(found: Change | None, change_id: str) -> CommitStatus:
    """Classifies a proposed change by the row stored for its version.

    Args:
        found: Change in the row, None without a row.
        change_id: Id of the proposed change.

    Returns:
        ACCEPTED or REFUSED once the row exists. Without it the transaction
        may still take effect, so that only sending it again settles it.
    """
    if found is None:
        return CommitStatus.UNKNOWN
    return (
        CommitStatus.ACCEPTED if found.id == change_id else CommitStatus.REFUSED
    )


def _hash(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()
