"""Converts messages between daemons to and from protobuf."""

from mothpass.adapters import peers_pb2
from mothpass.core import count_reports
from mothpass.core import gates
from mothpass.core import load_digests
from mothpass.core import prompt_suspects
from mothpass.core import suspects
from mothpass.ports import peers


def encode_batch(batch: peers.Batch) -> peers_pb2.Batch:
    """Encodes a batch."""
    return peers_pb2.Batch(
        sender=batch.sender,
        operators_address=batch.operators_address,
        catalogue_version=batch.catalogue_version,
        loads=[_encode_digest(item) for item in batch.loads],
        rosters=[_encode_roster(item) for item in batch.rosters],
        rosters_wanted=batch.rosters_wanted,
        suspicions=[_encode_suspect(item) for item in batch.suspicions],
        changes=batch.changes,
        counts=_encode_counts(batch.counts),
        names_wanted=batch.names_wanted,
        lost=[
            peers_pb2.LostStart(target_id=target_id, boot_id=boot_id)
            for target_id, boot_id in batch.lost.items()
        ],
        suspected_parts=[_encode_part(item) for item in batch.suspected_parts],
    )


def decode_batch(message: peers_pb2.Batch) -> peers.Batch:
    """Decodes a batch."""
    return peers.Batch(
        sender=message.sender,
        operators_address=message.operators_address,
        catalogue_version=message.catalogue_version,
        loads=[_decode_digest(item) for item in message.loads],
        rosters=[_decode_roster(item) for item in message.rosters],
        rosters_wanted=list(message.rosters_wanted),
        suspicions=[_decode_suspect(item) for item in message.suspicions],
        changes=list(message.changes),
        counts=_decode_counts(message),
        names_wanted=message.names_wanted,
        lost={item.target_id: item.boot_id for item in message.lost},
        suspected_parts=[
            _decode_part(item) for item in message.suspected_parts
        ],
    )


def encode_grant_request(
    request: gates.GrantRequest,
) -> peers_pb2.GrantRequest:
    """Encodes a permit request."""
    return peers_pb2.GrantRequest(
        target_id=request.target_id,
        boot_id=request.boot_id,
        call_ms=request.call_ms,
        alone=request.alone,
    )


def decode_grant_request(
    message: peers_pb2.GrantRequest,
) -> gates.GrantRequest:
    """Decodes a permit request."""
    return gates.GrantRequest(
        target_id=message.target_id,
        boot_id=message.boot_id,
        call_ms=message.call_ms,
        alone=message.alone,
    )


def encode_grant_reply(
    reply: gates.Granted | gates.Denied,
) -> peers_pb2.GrantReply:
    """Encodes a gate's decision on a permit request."""
    if isinstance(reply, gates.Denied):
        return peers_pb2.GrantReply(granted=False, reason=reply.reason.value)
    return peers_pb2.GrantReply(
        granted=True,
        number=reply.number,
        fencing=reply.fencing,
        dispatch_ms=reply.dispatch_ms,
    )


def decode_grant_reply(
    message: peers_pb2.GrantReply,
) -> gates.Granted | gates.Denied:
    """Decodes a gate's decision on a permit request.

    Raises:
        ValueError: If the reason is unknown.
    """
    if not message.granted:
        return gates.Denied(reason=gates.Reason(message.reason))
    return gates.Granted(
        number=message.number,
        fencing=message.fencing,
        dispatch_ms=message.dispatch_ms,
    )


def encode_release(release: gates.Release) -> peers_pb2.Release:
    """Encodes the release of a permit."""
    return peers_pb2.Release(
        target_id=release.target_id,
        boot_id=release.boot_id,
        source=release.source.value,
        number=release.number,
        fencing=release.fencing,
        answered=release.answered,
    )


def decode_release(message: peers_pb2.Release) -> gates.Release:
    """Decodes the release of a permit.

    Raises:
        ValueError: If the source is unknown.
    """
    return gates.Release(
        target_id=message.target_id,
        boot_id=message.boot_id,
        source=gates.Source(message.source),
        number=message.number,
        fencing=message.fencing,
        answered=message.answered,
    )


def _encode_counts(
    report: count_reports.CountReport | None,
) -> peers_pb2.CountReport | None:
    if report is None:
        return None
    return peers_pb2.CountReport(
        names_version=report.names_version,
        with_names=report.names is not None,
        names=report.names or [],
        counts=report.counts,
    )


def _decode_counts(
    message: peers_pb2.Batch,
) -> count_reports.CountReport | None:
    if not message.HasField("counts"):
        return None
    report = message.counts
    return count_reports.CountReport(
        names_version=report.names_version,
        names=list(report.names) if report.with_names else None,
        counts=report.counts,
    )


def _encode_digest(digest: load_digests.LoadDigest) -> peers_pb2.Digest:
    return peers_pb2.Digest(
        origin=digest.origin,
        roster_version=digest.roster_version,
        sequence=digest.sequence,
        age_ms=digest.age_ms,
        loads=digest.loads,
    )


def _decode_digest(message: peers_pb2.Digest) -> load_digests.LoadDigest:
    return load_digests.LoadDigest(
        origin=message.origin,
        roster_version=message.roster_version,
        sequence=message.sequence,
        age_ms=message.age_ms,
        loads=message.loads,
    )


def _encode_roster(roster: load_digests.Roster) -> peers_pb2.Roster:
    return peers_pb2.Roster(
        origin=roster.origin,
        version=roster.version,
        target_ids=roster.target_ids,
        boot_ids=roster.boot_ids,
    )


def _decode_roster(message: peers_pb2.Roster) -> load_digests.Roster:
    return load_digests.Roster(
        origin=message.origin,
        version=message.version,
        target_ids=list(message.target_ids),
        boot_ids=list(message.boot_ids),
    )


def _encode_suspect(record: suspects.Record) -> peers_pb2.Suspect:
    return peers_pb2.Suspect(
        fingerprint=record.fingerprint,
        boots=record.boots,
        position=record.position,
        forgiven=record.forgiven,
        trial_number=record.trial_number,
        trial_by=record.trial_by,
        age_ms=record.age_ms,
    )


def _decode_suspect(message: peers_pb2.Suspect) -> suspects.Record:
    return suspects.Record(
        fingerprint=message.fingerprint,
        boots=list(message.boots),
        position=message.position,
        forgiven=list(message.forgiven),
        trial_number=message.trial_number,
        trial_by=message.trial_by,
        age_ms=message.age_ms,
    )


def _encode_part(record: prompt_suspects.Record) -> peers_pb2.SuspectedPart:
    return peers_pb2.SuspectedPart(
        fingerprint=record.fingerprint,
        boots=list(record.deaths),
        ages_ms=list(record.deaths.values()),
        cleared_ms=record.cleared_ms,
    )


def _decode_part(message: peers_pb2.SuspectedPart) -> prompt_suspects.Record:
    return prompt_suspects.Record(
        message.fingerprint,
        dict(zip(message.boots, message.ages_ms, strict=False)),
        message.cleared_ms,
    )
